#include "tarragonflow/flow/server_watch.h"

#include <glib.h>
#include <string.h>

void server_watch_init(struct server_watch *watch, bool required,
		       int64_t lease_ms)
{
	memset(watch, 0, sizeof(*watch));
	watch->required = required;
	watch->lease_ms = lease_ms;
}

enum server_change server_watch_take(struct server_watch *watch,
				     const struct server_report *report,
				     int64_t now_ms)
{
	enum server_change change = SERVER_SAME;

	if (watch->heard && server_report_late(report, &watch->report))
		return SERVER_LATE;
	if (watch->heard && server_report_restarted(report, &watch->report)) {
		/* The word of a server that was replaced here meanwhile. */
		if (report->state == SERVER_GONE)
			return SERVER_LATE;
		change = SERVER_RESTARTED;
	}
	watch->heard = true;
	watch->report = *report;
	watch->heard_ms = now_ms;
	return change;
}

bool server_watch_holds(const struct server_watch *watch, int64_t now_ms)
{
	return watch->heard && now_ms - watch->heard_ms < watch->lease_ms;
}

bool server_watch_opens(const struct server_watch *watch, int64_t now_ms)
{
	if (!watch->required)
		return true;
	return watch->report.state == SERVER_READY &&
	       server_watch_holds(watch, now_ms);
}

int64_t server_watch_cold_ms(const struct server_watch *watch, int64_t now_ms)
{
	if (!watch->heard)
		return 0;
	return MAX(watch->heard_ms + watch->report.warm_in_ms - now_ms, 0);
}
