#ifndef TARRAGONFLOW_CONTROL_ZONE_MONITOR_H
#define TARRAGONFLOW_CONTROL_ZONE_MONITOR_H

#include "tarragonflow/control/message.h"
#include "tarragonflow/roster/roster.h"

/**
 * Turns the loss of a whole availability zone into one record: when a large
 * share of a zone's members is suspected, a report puts the others under
 * suspicion too, and the single records need not be told any more. Living
 * members refute for themselves, as they refute any suspicion.
 *
 * Reports on one zone are numbered from the greatest number known, so that
 * processes which find the same loss file the same report.
 */
#define ZONE_MONITOR_ZONES_MAX 256

struct zone_watch {
	struct zone_report report;
	/** When the report came into force here, ms; 0: none has yet. */
	int64_t since_ms;
};

struct zone_monitor {
	struct zone_watch zones[ZONE_MONITOR_ZONES_MAX];
	size_t n;
};

void zone_monitor_init(struct zone_monitor *monitor);

/**
 * Takes @report; true when it is news, and then the suspicion is to be
 * applied to the members of the zone.
 */
bool zone_monitor_take(struct zone_monitor *monitor,
		       const struct zone_report *report, int64_t now_ms);

/**
 * Looks for a zone of @roster that seems lost and is not reported. True
 * when one was found; its report is in @report and counts as taken.
 */
bool zone_monitor_find(struct zone_monitor *monitor,
		       const struct roster *roster, int64_t now_ms,
		       struct zone_report *report);

/** Whether a report covers single records about members of @zone. */
bool zone_monitor_covers(const struct zone_monitor *monitor,
			 const struct name *zone, int64_t now_ms);

/** The report on @zone, or NULL. */
const struct zone_report *
zone_monitor_report(const struct zone_monitor *monitor,
		    const struct name *zone);

#endif
