#include "tarragonflow/flow/report_gate.h"

#include <string.h>

/* Time without a report after which the known server is overdue, in percent of
 * the interval between reports. */
#define OVERDUE_INTERVALS_PERCENT 150
/* The same, and the number of reports that have to be repeated, for a server
 * that may have run beside the known one: after three reports of the known
 * server are missing in a row. One or two may be lost. */
#define REPLACED_INTERVALS_PERCENT 350
#define REPLACED_REPORTS 4
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

static bool is_silent_for(const struct report_gate *gate,
			  const struct server_watch *known,
			  int64_t intervals_percent, int64_t now_ms)
{
	return now_ms - known->report_received_ms >=
	       gate->report_interval_ms * intervals_percent / 100;
}

static bool is_overdue(const struct report_gate *gate,
		       const struct server_watch *known, int64_t now_ms)
{
	if (!server_watch_report_valid(known, now_ms))
		return true;
	return gate->report_interval_ms &&
	       is_silent_for(gate, known, OVERDUE_INTERVALS_PERCENT, now_ms);
}

/*
 * Whether the server of @report has started before the last report of the known
 * one arrived, or may have, as its age isn't known. A successor starts after
 * the known server has ended.
 */
static bool may_run_beside(const struct server_watch *known,
			   const struct server_report *report, int64_t now_ms)
{
	return report->age_ms < 0 ||
	       report->age_ms >= now_ms - known->report_received_ms;
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

/* The earlier reports of the server of @report that were held back, or NULL. */
static struct held_reports *find_held(struct report_gate *gate,
				      const struct server_report *report)
{
	for (size_t i = 0; i < REPORT_GATE_HELD_MAX; i++) {
		struct held_reports *held = &gate->held[i];
		const struct server_report *last = &held->last;

		if (held->n && !server_report_shows_restart(report, last) &&
		    report->started_ms == last->started_ms &&
		    name_equal(&report->service, &last->service))
			return held;
	}
	return NULL;
}

/* Whether @report repeats those in @held, and not a moment after them, as in
 * the queue after a pause of this process. */
static bool is_repetition(const struct report_gate *gate,
			  const struct held_reports *held,
			  const struct server_report *report, int64_t now_ms)
{
	return report->sequence > held->last.sequence &&
	       now_ms - held->last_ms >= gate->report_interval_ms / 2;
}

/* Whether the known server has been silent for long enough to be replaced by
 * the server of @report, of which @n_held reports were held back. */
static bool is_replaceable(const struct report_gate *gate,
			   const struct server_watch *known, uint32_t n_held,
			   const struct server_report *report, int64_t now_ms)
{
	if (!is_known(known))
		return true;
	if (!may_run_beside(known, report, now_ms))
		return is_overdue(gate, known, now_ms);
	return n_held + 1 >= REPLACED_REPORTS &&
	       !server_watch_report_valid(known, now_ms) &&
	       is_silent_for(gate, known, REPLACED_INTERVALS_PERCENT, now_ms);
}

static bool accept_report(struct report_gate *gate,
			  const struct server_report *report)
{
	memset(gate->held, 0, sizeof(gate->held));
	gate->service = report->service;
	return true;
}

static struct held_reports *oldest_held(struct report_gate *gate)
{
	struct held_reports *oldest = &gate->held[0];

	for (size_t i = 0; i < REPORT_GATE_HELD_MAX; i++) {
		if (!gate->held[i].n)
			return &gate->held[i];
		if (gate->held[i].last_ms < oldest->last_ms)
			oldest = &gate->held[i];
	}
	return oldest;
}

static void hold(struct held_reports *held, const struct server_report *report,
		 int64_t now_ms)
{
	held->n++;
	held->last = *report;
	held->last_ms = now_ms;
}

/* Holds back a contradicting @report. Returns true if it is accepted instead.
 */
static bool is_confirmed(struct report_gate *gate,
			 const struct server_watch *known,
			 const struct server_report *report, int64_t now_ms)
{
	struct held_reports *held = find_held(gate, report);

	if (!held) {
		held = oldest_held(gate);
		held->n = 0;
		hold(held, report, now_ms);
		return false;
	}
	if (!is_repetition(gate, held, report, now_ms))
		return false;
	if (is_replaceable(gate, known, held->n, report, now_ms))
		return true;
	hold(held, report, now_ms);
	return false;
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
	report->confirmed = is_confirmed(gate, known, report, now_ms);
	return report->confirmed && accept_report(gate, report);
}
