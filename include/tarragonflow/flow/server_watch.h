#ifndef TARRAGONFLOW_FLOW_SERVER_WATCH_H
#define TARRAGONFLOW_FLOW_SERVER_WATCH_H

#include "tarragonflow/flow/server_report.h"

/**
 * Tracks the server reports of a backend server at its agent: the latest one,
 * whether it is still valid, and whether it shows a restart of the server, by
 * which all earlier connections were lost.
 */
struct server_watch {
	/** The server sends server reports, and no connection is opened at it
	 * without a valid one. */
	bool reports_expected;
	/** At least one server report has arrived. */
	bool has_report;
	/** The latest server report. */
	struct server_report report;
	/** When `report` arrived, ms. */
	int64_t report_received_ms;
	/**
	 * How long a server report is valid, ms. After a server's end the
	 * platform waits at least as long before it gives the address to
	 * another server.
	 */
	int64_t lease_ms;
};

/** What a server report shows, compared with the previous one. */
enum server_change {
	/** The report is older than the previous one and was ignored. */
	SERVER_REPORT_OUTDATED,
	/** The server has not restarted. */
	SERVER_UNCHANGED,
	/** The server has restarted: its earlier connections are lost. */
	SERVER_RESTARTED,
};

void server_watch_init(struct server_watch *watch, bool reports_expected,
		       int64_t lease_ms);

/** Processes a server report that arrived at @now_ms. */
enum server_change server_watch_update(struct server_watch *watch,
				       const struct server_report *report,
				       int64_t now_ms);

/** Whether the latest server report is still valid. */
bool server_watch_report_valid(const struct server_watch *watch,
			       int64_t now_ms);

/** Whether the server's state permits new connections now. */
bool server_watch_accepts_new(const struct server_watch *watch, int64_t now_ms);

/** Remaining warm-up time of the server, ms. */
int64_t server_watch_warmup_left_ms(const struct server_watch *watch,
				    int64_t now_ms);

#endif
