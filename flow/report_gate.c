#include "tarragonflow/flow/report_gate.h"

#include <string.h>

/* Time without a report after which the known server is overdue, in percent of
 * the interval between reports. */
#define OVERDUE_INTERVALS_PERCENT 150

void report_gate_init(struct report_gate *gate, const struct name *service,
		      int64_t report_interval_ms)
{
	memset(gate, 0, sizeof(*gate));
	gate->service = *service;
	gate->report_interval_ms = report_interval_ms;
}

static bool is_overdue(const struct report_gate *gate,
		       const struct server_watch *known, int64_t now_ms)
{
	int64_t age_ms = now_ms - known->report_received_ms;

	if (!server_watch_report_valid(known, now_ms))
		return true;
	return gate->report_interval_ms &&
	       age_ms >= gate->report_interval_ms * OVERDUE_INTERVALS_PERCENT /
				 100;
}

static bool is_earlier_start(const struct server_report *report,
			     const struct server_report *known)
{
	return report->started_ms && known->started_ms &&
	       report->started_ms < known->started_ms;
}

/* Whether @report is of the known server as far as it can be told. */
static bool is_of_known_server(const struct report_gate *gate,
			       const struct server_watch *known,
			       const struct server_report *report)
{
	return name_equal(&report->service, &gate->service) &&
	       !(known->has_report &&
		 server_report_shows_restart(report, &known->report));
}

/* Whether @report is plausible although it is not of the known server. */
static bool is_plausible(const struct report_gate *gate,
			 const struct server_watch *known, bool refuses,
			 const struct server_report *report, int64_t now_ms)
{
	if (!known->has_report)
		return false;
	if (known->report.state == SERVER_GONE)
		return true;
	if (is_earlier_start(report, &known->report))
		return false;
	/* The address goes to another service only some time after the end of
	 * its last server, when that one's lease has expired. */
	if (!name_equal(&report->service, &gate->service))
		return server_report_shows_restart(report, &known->report) &&
		       !server_watch_report_valid(known, now_ms);
	return known->report.state == SERVER_ENDING || refuses ||
	       is_overdue(gate, known, now_ms);
}

/* Whether @report repeats the one that was held back. */
static bool is_repeated(const struct report_gate *gate,
			const struct server_watch *known,
			const struct server_report *report, int64_t now_ms)
{
	const struct server_report *held = &gate->held;

	if (!gate->has_held || server_report_shows_restart(report, held) ||
	    report->started_ms != held->started_ms ||
	    !name_equal(&report->service, &held->service) ||
	    report->sequence <= held->sequence)
		return false;
	/* Late reports of an earlier start may come in a row. */
	return !known->has_report ||
	       !is_earlier_start(report, &known->report) ||
	       is_overdue(gate, known, now_ms);
}

static void accept(struct report_gate *gate, const struct server_report *report)
{
	gate->has_held = false;
	gate->service = report->service;
}

bool report_gate_accepts(struct report_gate *gate,
			 const struct server_watch *known, bool refuses,
			 struct server_report *report, int64_t now_ms)
{
	/* An announcement of the end names no service, and that of another
	 * server is ignored as outdated. */
	if (server_report_is_last(report))
		return true;
	if (is_of_known_server(gate, known, report) ||
	    is_plausible(gate, known, refuses, report, now_ms)) {
		accept(gate, report);
		return true;
	}
	if (is_repeated(gate, known, report, now_ms)) {
		accept(gate, report);
		report->confirmed = true;
		return true;
	}
	gate->has_held = true;
	gate->held = *report;
	return false;
}

const char *report_gate_contradicted_field(const struct report_gate *gate,
					   const struct server_watch *known,
					   const struct server_report *report)
{
	if (!name_equal(&report->service, &gate->service))
		return "service";
	return strcmp(report->id, known->report.id) != 0 ? "id" : "start time";
}
