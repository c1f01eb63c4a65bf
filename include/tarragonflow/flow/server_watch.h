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
	/** When the last report arrived, or packet of a connection that the
	 * server has, ms. */
	int64_t last_sign_of_life_ms;
	/** When the last packet arrived that the server sent or returned, ms.
	 * Packets may be returned on behalf of a server that has ended. */
	int64_t last_answer_ms;
	/** Start of the first check since then in which the server refused a
	 * connection, ms; CLOCK_NEVER: none. */
	int64_t refused_since_ms;
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

/** Records that the server returned a packet. */
void server_watch_record_returned(struct server_watch *watch, int64_t now_ms);

/** Records that a packet of a connection that the server has arrived. */
void server_watch_record_packet(struct server_watch *watch, int64_t now_ms);

/** Records that the server refused a connection in a check that began at
 * @began_ms. */
void server_watch_record_refusal(struct server_watch *watch, int64_t began_ms);

/** Whether the server has refused connections since its last sign of life. */
bool server_watch_refuses(const struct server_watch *watch);

/**
 * Whether the server has certainly ended. A refused connection shows only that
 * it does not listen: servers may close their listener before they end, or open
 * it after they have started. So it must also be silent: it owes a response
 * (@owes_response), or it has refused connections for @silence_ms.
 */
bool server_watch_shows_end(const struct server_watch *watch,
			    bool owes_response, int64_t silence_ms,
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
