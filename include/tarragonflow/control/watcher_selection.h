#ifndef TARRAGONFLOW_CONTROL_WATCHER_SELECTION_H
#define TARRAGONFLOW_CONTROL_WATCHER_SELECTION_H

#include <stdbool.h>

#include "tarragonflow/roster/roster.h"

/** Number of processes in each zone that are selected to watch the platform. */
#define WATCHERS_PER_ZONE 2

/**
 * True if the member @name is one of the selected watchers of @zone: those
 * that rank first by rendezvous hash among its live members. There is no
 * lease: if rosters differ, more processes watch, which only adds load.
 */
bool watcher_is_selected(const struct roster *roster, const struct name *name,
			 const struct name *zone);

#endif
