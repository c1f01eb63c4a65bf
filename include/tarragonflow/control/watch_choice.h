#ifndef TARRAGONFLOW_CONTROL_WATCH_CHOICE_H
#define TARRAGONFLOW_CONTROL_WATCH_CHOICE_H

#include <stdbool.h>

#include "tarragonflow/roster/roster.h"

/** Processes of a zone that watch the platform. */
#define WATCHERS_PER_ZONE 2

/**
 * True when the member called @name is one of the watchers of @zone: the
 * first by rendezvous hash of the members that are live there. No lease:
 * processes with different rosters make extra watchers, which only cost.
 */
bool watch_choice(const struct roster *roster, const struct name *name,
		  const struct name *zone);

#endif
