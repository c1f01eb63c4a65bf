#include "tarragonflow/flow/server_watch.h"

#include <glib.h>
#include <string.h>

#include "tarragonflow/common/clock.h"

void server_watch_init(struct server_watch *watch, bool reports_expected,
		       int64_t lease_ms)
{
	memset(watch, 0, sizeof(*watch));
	watch->reports_expected = reports_expected;
	watch->lease_ms = lease_ms;
	watch->last_sign_of_life_ms = INT64_MIN / 2;
	watch->last_answer_ms = INT64_MIN / 2;
	watch->refused_since_ms = CLOCK_NEVER;
}

enum server_change server_watch_update(struct server_watch *watch,
				       const struct server_report *report,
				       int64_t now_ms)
{
	enum server_change change = SERVER_UNCHANGED;
	uint64_t sequence = report->sequence;

	if (watch->has_report && !report->confirmed &&
	    server_report_is_outdated(report, &watch->report))
		return SERVER_REPORT_OUTDATED;
	if (watch->has_report &&
	    server_report_shows_restart(report, &watch->report)) {
		/* The end of a server after which another one has already
		 * started and reported. */
		if (server_report_is_last(report))
			return SERVER_REPORT_OUTDATED;
		change = SERVER_RESTARTED;
	}
	/* Reports that announce the end have no number. */
	if (watch->has_report && change == SERVER_UNCHANGED)
		sequence = MAX(sequence, watch->report.sequence);
	watch->has_report = true;
	watch->report = *report;
	watch->report.sequence = sequence;
	watch->report_received_ms = now_ms;
	server_watch_record_packet(watch, now_ms);
	return change;
}

void server_watch_record_returned(struct server_watch *watch, int64_t now_ms)
{
	watch->last_answer_ms = now_ms;
}

void server_watch_record_packet(struct server_watch *watch, int64_t now_ms)
{
	watch->last_answer_ms = now_ms;
	watch->last_sign_of_life_ms = now_ms;
	watch->refused_since_ms = CLOCK_NEVER;
}

void server_watch_record_refusal(struct server_watch *watch, int64_t began_ms)
{
	if (began_ms <= watch->last_sign_of_life_ms)
		return;
	watch->refused_since_ms = MIN(watch->refused_since_ms, began_ms);
}

bool server_watch_refuses(const struct server_watch *watch)
{
	return watch->refused_since_ms != CLOCK_NEVER;
}

bool server_watch_shows_end(const struct server_watch *watch,
			    bool owes_response, int64_t silence_ms,
			    int64_t now_ms)
{
	return server_watch_refuses(watch) &&
	       (owes_response ||
		now_ms - watch->refused_since_ms >= silence_ms);
}

bool server_watch_report_valid(const struct server_watch *watch, int64_t now_ms)
{
	return watch->has_report &&
	       now_ms - watch->report_received_ms < watch->lease_ms;
}

bool server_watch_accepts_new(const struct server_watch *watch, int64_t now_ms)
{
	if (!watch->reports_expected)
		return true;
	return watch->report.state == SERVER_READY &&
	       server_watch_report_valid(watch, now_ms);
}

int64_t server_watch_warmup_left_ms(const struct server_watch *watch,
				    int64_t now_ms)
{
	if (!watch->has_report)
		return 0;
	return MAX(watch->report_received_ms + watch->report.warmup_left_ms -
			   now_ms,
		   0);
}
