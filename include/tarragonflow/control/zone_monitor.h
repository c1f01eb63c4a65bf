#ifndef TARRAGONFLOW_CONTROL_ZONE_MONITOR_H
#define TARRAGONFLOW_CONTROL_ZONE_MONITOR_H

#include "tarragonflow/control/message.h"
#include "tarragonflow/roster/roster.h"

/**
 * Detects the loss of a whole availability zone. When a large share of a zone's
 * members is suspect, one zone report marks the other members suspect too, and
 * changes of single members are no longer gossiped. Live members refute the
 * suspicion as usual.
 *
 * Each report on a zone has the greatest known id plus one, so that processes
 * that detect the same loss create the same report.
 */

/** Maximum number of zones that are monitored. */
#define ZONE_MONITOR_ZONES_MAX 256

/** The latest report on a zone. */
struct zone_status {
	struct zone_report report;
	/** When the report was applied here, ms; 0 for none. */
	int64_t reported_ms;
};

struct zone_monitor {
	struct zone_status zones[ZONE_MONITOR_ZONES_MAX];
	size_t n;
};

void zone_monitor_init(struct zone_monitor *monitor);

/**
 * Records @report if it is newer than the last report on its zone; if so,
 * returns true, and the caller must apply the reported state to the members of
 * the zone.
 */
bool zone_monitor_merge_report(struct zone_monitor *monitor,
			       const struct zone_report *report,
			       int64_t now_ms);

/**
 * Detects a zone of @roster that is probably lost and has no recent report.
 * If there is one, records a new report on the zone, copies it to @report and
 * returns true.
 */
bool zone_monitor_detect_loss(struct zone_monitor *monitor,
			      const struct roster *roster, int64_t now_ms,
			      struct zone_report *report);

/** Whether there is a recent report on @zone, which replaces gossip on its
 * single members. */
bool zone_monitor_has_recent_report(const struct zone_monitor *monitor,
				    const struct name *zone, int64_t now_ms);

/** The report on @zone, or NULL. */
const struct zone_report *
zone_monitor_report(const struct zone_monitor *monitor,
		    const struct name *zone);

#endif
