#include "tarragonflow/control/zone_monitor.h"

#include <string.h>

/* Fewer suspects than this are told one by one. */
#define SUSPECTS_MIN 8
/* A zone seems lost when one in so many of its members is suspected. */
#define SUSPECT_SHARE 3
/* A report stands for the single records for so long. */
#define REPORT_HOLDS_MS 60000

/** Members of one zone by state. */
struct zone_count {
	size_t live, suspects;
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

static struct zone_watch *get_zone(struct zone_monitor *monitor,
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

static bool in_force(const struct zone_watch *watch, int64_t now_ms)
{
	return watch->since_ms && now_ms - watch->since_ms < REPORT_HOLDS_MS;
}

bool zone_monitor_take(struct zone_monitor *monitor,
		       const struct zone_report *report, int64_t now_ms)
{
	struct zone_watch *watch = get_zone(monitor, &report->zone);

	if (!watch || report->id <= watch->report.id)
		return false;
	watch->report = *report;
	watch->since_ms = now_ms;
	return true;
}

bool zone_monitor_covers(const struct zone_monitor *monitor,
			 const struct name *zone, int64_t now_ms)
{
	size_t i = find_zone(monitor, zone);

	return i < monitor->n && in_force(&monitor->zones[i], now_ms);
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
		struct zone_watch *watch;

		if (member->state == MEMBER_LEFT)
			continue;
		watch = get_zone(monitor, &member->zone);
		if (!watch)
			continue;
		counts[watch - monitor->zones].live++;
		if (member->state == MEMBER_SUSPECT)
			counts[watch - monitor->zones].suspects++;
	}
}

bool zone_monitor_find(struct zone_monitor *monitor,
		       const struct roster *roster, int64_t now_ms,
		       struct zone_report *report)
{
	struct zone_count counts[ZONE_MONITOR_ZONES_MAX] = {0};

	count_members(monitor, roster, counts);
	for (size_t i = 0; i < monitor->n; i++) {
		struct zone_watch *watch = &monitor->zones[i];

		if (in_force(watch, now_ms) ||
		    counts[i].suspects < SUSPECTS_MIN ||
		    counts[i].suspects * SUSPECT_SHARE < counts[i].live)
			continue;
		watch->report.id++;
		watch->report.state = MEMBER_SUSPECT;
		watch->since_ms = now_ms;
		*report = watch->report;
		return true;
	}
	return false;
}
