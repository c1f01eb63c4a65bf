#ifndef TARRAGONFLOW_CONTROL_ZONE_MONITOR_H
#define TARRAGONFLOW_CONTROL_ZONE_MONITOR_H

#include "tarragonflow/control/message.h"
#include "tarragonflow/roster/roster.h"

/**
 * Detects the loss of a whole availability zone. When a large share of a zone's
 * members is suspect, one zone report marks the others suspect too, and changes
 * of single members need not be gossiped any more. Live members refute the
 * suspicion as usual.
 *
 * Each report on a zone has the greatest known id plus one, so that processes
 * that detect the same loss create the same report.
 */
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
 * Records @report when it is newer than the known one. When true, the caller
 * must apply the reported state to the members of the zone.
 */
bool zone_monitor_merge_report(struct zone_monitor *monitor,
			       const struct zone_report *report,
			       int64_t now_ms);

/**
 * Detects a zone of @roster that is probably lost and has no recent report.
 * When true, its new report is recorded and copied to @report.
 */
bool zone_monitor_detect_loss(struct zone_monitor *monitor,
			      const struct roster *roster, int64_t now_ms,
			      struct zone_report *report);

/** Whether a recent report replaces gossip on single members of @zone. */
bool zone_monitor_has_recent_report(const struct zone_monitor *monitor,
				    const struct name *zone, int64_t now_ms);

/** The report on @zone, or NULL. */
const struct zone_report *
zone_monitor_report(const struct zone_monitor *monitor,
		    const struct name *zone);

#endif
