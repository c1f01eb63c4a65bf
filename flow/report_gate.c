#include "tarragonflow/flow/report_gate.h"

#include <string.h>

/* Time without a report after which the known server is overdue, in percent of
 * the interval between reports. */
#define OVERDUE_INTERVALS_PERCENT 150
/* Reports that may be missing beyond those that the time since the last one
 * explains, such as numbers used up by failed calls. */
#define SEQUENCE_SLACK 20

void report_gate_init(struct report_gate *gate, const struct name *service,
		      int64_t report_interval_ms)
{
	memset(gate, 0, sizeof(*gate));
	gate->service = *service;
	gate->report_interval_ms = report_interval_ms;
}

/* Whether a server has reported here; an agent that has seen none knows only
 * that nothing listened. */
static bool is_known(const struct server_watch *known)
{
	return known->has_report && known->report.id[0];
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

static bool names_other_service(const struct report_gate *gate,
				const struct server_report *report)
{
	return !name_equal(&report->service, &gate->service);
}

/* Whether the number of @report is greater than the time since the last one
 * allows. */
static bool is_number_ahead(const struct report_gate *gate,
			    const struct server_watch *known,
			    const struct server_report *report, int64_t now_ms)
{
	int64_t age_ms = now_ms - known->report_received_ms;
	uint64_t n_expected;

	if (!gate->report_interval_ms)
		return false;
	n_expected = (uint64_t)(age_ms / gate->report_interval_ms) * 2;
	return report->sequence >
	       known->report.sequence + n_expected + SEQUENCE_SLACK;
}

const char *report_gate_contradiction(const struct report_gate *gate,
				      const struct server_watch *known,
				      const struct server_report *report,
				      int64_t now_ms)
{
	if (names_other_service(gate, report))
		return "service";
	if (!is_known(known))
		return NULL;
	if (strcmp(report->id, known->report.id) != 0)
		return "id";
	if (server_report_shows_restart(report, &known->report))
		return "start time";
	return is_number_ahead(gate, known, report, now_ms) ? "sequence" : NULL;
}

/* Whether a contradicting @report is plausible, as the known server has ended
 * or has announced its end. */
static bool is_plausible(const struct report_gate *gate,
			 const struct server_watch *known,
			 const struct server_report *report)
{
	if (!is_known(known))
		return false;
	if (known->report.state == SERVER_GONE)
		return true;
	/* The address goes to another service only some time after the end of
	 * its last server. */
	return known->report.state == SERVER_ENDING &&
	       !names_other_service(gate, report) &&
	       !server_report_is_outdated(report, &known->report);
}

/* Whether @report is of the same server as the one that was held back. */
static bool is_of_held_server(const struct report_gate *gate,
			      const struct server_report *report)
{
	const struct server_report *held = &gate->held;

	return gate->has_held && !server_report_shows_restart(report, held) &&
	       report->started_ms == held->started_ms &&
	       name_equal(&report->service, &held->service);
}

static bool is_repeated(const struct report_gate *gate,
			const struct server_watch *known,
			const struct server_report *report, int64_t now_ms)
{
	return is_of_held_server(gate, report) &&
	       report->sequence > gate->held.sequence &&
	       now_ms - gate->held_ms >= gate->report_interval_ms / 2 &&
	       (!is_known(known) || is_overdue(gate, known, now_ms));
}

static bool accept_report(struct report_gate *gate,
			  const struct server_report *report)
{
	gate->has_held = false;
	gate->service = report->service;
	return true;
}

/* Keeps the first report of a server, so that the time between it and a
 * repetition counts. */
static void hold(struct report_gate *gate, const struct server_report *report,
		 int64_t now_ms)
{
	if (is_of_held_server(gate, report))
		return;
	gate->has_held = true;
	gate->held = *report;
	gate->held_ms = now_ms;
}

bool report_gate_accepts(struct report_gate *gate,
			 const struct server_watch *known,
			 struct server_report *report, int64_t now_ms)
{
	/* An announcement of the end names no service, and that of another
	 * server is ignored as outdated. */
	if (server_report_is_last(report))
		return true;
	if (!report_gate_contradiction(gate, known, report, now_ms) ||
	    is_plausible(gate, known, report))
		return accept_report(gate, report);
	if (is_repeated(gate, known, report, now_ms)) {
		report->confirmed = true;
		return accept_report(gate, report);
	}
	hold(gate, report, now_ms);
	return false;
}
