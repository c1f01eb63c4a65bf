#include "tarragonflow/flow/server_report.h"

#include <string.h>

bool server_report_is_last(const struct server_report *report)
{
	return report->state == SERVER_ENDING || report->state == SERVER_GONE;
}

bool server_report_shows_restart(const struct server_report *report,
				 const struct server_report *known)
{
	return strcmp(report->id, known->id) != 0 ||
	       (report->started_ms && known->started_ms &&
		report->started_ms != known->started_ms);
}

bool server_report_is_outdated(const struct server_report *report,
			       const struct server_report *known)
{
	if (report->started_ms && known->started_ms &&
	    report->started_ms != known->started_ms)
		return report->started_ms < known->started_ms;
	return !strcmp(report->id, known->id) &&
	       !server_report_is_last(report) &&
	       report->sequence < known->sequence;
}
