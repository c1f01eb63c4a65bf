#ifndef TARRAGONFLOW_FLOW_SERVER_REPORT_H
#define TARRAGONFLOW_FLOW_SERVER_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "tarragonflow/common/str.h"
#include "tarragonflow/net/endpoint.h"

/** State of a backend server in its server reports. */
enum server_state {
	/** Accepts new connections. */
	SERVER_READY = 1,
	/** Keeps its connections and accepts no new ones. */
	SERVER_DRAINING = 2,
	/** Has announced its end: accepts no new connections, keeps its open
	 * ones until it ends. It sends no further server reports. */
	SERVER_ENDING = 3,
	/** Has ended: it refuses connections. */
	SERVER_GONE = 4,
};

/** Longest identifier of a backend server, in bytes with the terminator. */
#define SERVER_ID_MAX 128

/**
 * A server report: the message of a backend server on its own state. Of two
 * reports, the one with the later `started_ms` is newer; with equal start
 * times, the one with the greater `sequence`.
 */
struct server_report {
	char id[SERVER_ID_MAX];
	/** Start of the server, wall-clock ms since 1970; 0 if not reported. */
	uint64_t started_ms;
	/** Time since the start when the report arrived, by the wall clock, ms;
	 * negative: not known. */
	int64_t age_ms;
	/** Number of the report since the server's start. */
	uint64_t sequence;
	/** Where the server says that it is; port 0: not reported. */
	struct endpoint address;
	/** Empty in SERVER_ENDING. */
	struct name service;
	enum server_state state;
	/** Requests that the server runs concurrently. */
	uint32_t slots;
	/** Remaining warm-up time, ms. */
	int64_t warmup_left_ms;
	/** Accepted because it was repeated, although it contradicts what was
	 * known of the server: it isn't outdated. */
	bool confirmed;
};

/** Whether the server sends no reports after @report. */
bool server_report_is_last(const struct server_report *report);

/**
 * Whether @report shows that the server has restarted since the earlier report
 * @known: another server, or another start of the same one.
 */
bool server_report_shows_restart(const struct server_report *report,
				 const struct server_report *known);

/**
 * Whether @report was sent before @known: it is of an earlier start of the
 * server, or of the same start with a smaller sequence.
 */
bool server_report_is_outdated(const struct server_report *report,
			       const struct server_report *known);

#endif
