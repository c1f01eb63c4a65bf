#include "tarragonflow/control/zone_monitor.h"

#include <string.h>

/* Minimum number of suspects in a zone that counts as lost. */
#define SUSPECTS_MIN 8
/* A zone counts as lost when one in this many of its members is suspect. */
#define SUSPECT_SHARE_DIVISOR 3
/* How long a zone report is recent and replaces gossip on single members. */
#define REPORT_LIFETIME_MS 60000

/** Numbers of members of one zone that have not left. */
struct zone_count {
	size_t n_live, n_suspects;
};

void zone_monitor_init(struct zone_monitor *monitor)
{
	memset(monitor, 0, sizeof(*monitor));
}

static size_t find_zone(const struct zone_monitor *monitor,
			const struct name *zone)
{
	size_t i = 0;

	while (i < monitor->n &&
	       !name_equal(&monitor->zones[i].report.zone, zone))
		i++;
	return i;
}

static struct zone_status *find_or_add_zone(struct zone_monitor *monitor,
					    const struct name *zone)
{
	size_t i = find_zone(monitor, zone);

	if (i == ZONE_MONITOR_ZONES_MAX)
		return NULL;
	if (i == monitor->n) {
		monitor->zones[i].report.zone = *zone;
		monitor->n++;
	}
	return &monitor->zones[i];
}

static bool is_report_recent(const struct zone_status *status, int64_t now_ms)
{
	return status->reported_ms &&
	       now_ms - status->reported_ms < REPORT_LIFETIME_MS;
}

bool zone_monitor_merge_report(struct zone_monitor *monitor,
			       const struct zone_report *report, int64_t now_ms)
{
	struct zone_status *status = find_or_add_zone(monitor, &report->zone);

	if (!status || report->id <= status->report.id)
		return false;
	status->report = *report;
	status->reported_ms = now_ms;
	return true;
}

bool zone_monitor_has_recent_report(const struct zone_monitor *monitor,
				    const struct name *zone, int64_t now_ms)
{
	size_t i = find_zone(monitor, zone);

	return i < monitor->n && is_report_recent(&monitor->zones[i], now_ms);
}

const struct zone_report *
zone_monitor_report(const struct zone_monitor *monitor, const struct name *zone)
{
	size_t i = find_zone(monitor, zone);

	return i < monitor->n ? &monitor->zones[i].report : NULL;
}

static void count_members(struct zone_monitor *monitor,
			  const struct roster *roster,
			  struct zone_count *counts)
{
	for (size_t i = 0; i < roster->n; i++) {
		const struct member *member = &roster->members[i];
		struct zone_status *status;

		if (member->state == MEMBER_LEFT)
			continue;
		status = find_or_add_zone(monitor, &member->zone);
		if (!status)
			continue;
		counts[status - monitor->zones].n_live++;
		if (member->state == MEMBER_SUSPECT)
			counts[status - monitor->zones].n_suspects++;
	}
}

bool zone_monitor_detect_loss(struct zone_monitor *monitor,
			      const struct roster *roster, int64_t now_ms,
			      struct zone_report *report)
{
	struct zone_count counts[ZONE_MONITOR_ZONES_MAX] = {0};

	count_members(monitor, roster, counts);
	for (size_t i = 0; i < monitor->n; i++) {
		struct zone_status *status = &monitor->zones[i];

		if (is_report_recent(status, now_ms) ||
		    counts[i].n_suspects < SUSPECTS_MIN ||
		    counts[i].n_suspects * SUSPECT_SHARE_DIVISOR <
			    counts[i].n_live)
			continue;
		status->report.id++;
		status->report.state = MEMBER_SUSPECT;
		status->reported_ms = now_ms;
		*report = status->report;
		return true;
	}
	return false;
}
