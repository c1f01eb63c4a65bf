#ifndef TARRAGONFLOW_FLOW_SERVER_WATCH_H
#define TARRAGONFLOW_FLOW_SERVER_WATCH_H

#include "tarragonflow/flow/server_report.h"

/**
 * Tracks the reports of a backend server at its agent: the latest report, how
 * long it is valid, and whether the server has restarted since, which ends the
 * connections that were opened before.
 */
struct server_watch {
	/** No connection is opened at the server without a valid report. */
	bool reports_expected;
	/** At least one report has arrived. */
	bool has_report;
	/** The latest report. */
	struct server_report report;
	/** When the latest report arrived, ms. */
	int64_t report_ms;
	/**
	 * How long a report is valid, ms. The platform does not give the
	 * address to another server sooner than this after a server's end.
	 */
	int64_t lease_ms;
};

enum server_change {
	/** The report is older than the latest one and was ignored. */
	SERVER_REPORT_OUTDATED,
	/** The report is of the same start of the server. */
	SERVER_UNCHANGED,
	/** The server has restarted: its earlier connections are gone. */
	SERVER_RESTARTED,
};

void server_watch_init(struct server_watch *watch, bool reports_expected,
		       int64_t lease_ms);

/** Processes a report that arrived at @now_ms. */
enum server_change server_watch_update(struct server_watch *watch,
				       const struct server_report *report,
				       int64_t now_ms);

/** Whether the latest report is still valid. */
bool server_watch_report_valid(const struct server_watch *watch,
			       int64_t now_ms);

/** Whether the server may get new connections now. */
bool server_watch_accepts_new(const struct server_watch *watch, int64_t now_ms);

/** Remaining warm-up time of the server, ms. */
int64_t server_watch_warmup_left_ms(const struct server_watch *watch,
				    int64_t now_ms);

#endif
