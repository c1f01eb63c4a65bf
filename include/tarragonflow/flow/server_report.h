#ifndef TARRAGONFLOW_FLOW_SERVER_REPORT_H
#define TARRAGONFLOW_FLOW_SERVER_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "tarragonflow/common/str.h"

/** State of a backend server, as it reports it. */
enum server_state {
	/** Accepts new connections. */
	SERVER_READY = 1,
	/** Keeps its connections and accepts no new ones. */
	SERVER_DRAINING = 2,
	/** Has ended; it sends no further reports. */
	SERVER_GONE = 3,
};

/** Longest identifier of a backend server, in bytes with the terminator. */
#define SERVER_ID_MAX 128

/**
 * A backend server's report on its own state. Of two reports the one with the
 * later start time is newer; within one start, the one with the greater
 * sequence.
 */
struct server_report {
	char id[SERVER_ID_MAX];
	/** Start of the server, wall-clock ms since 1970; 0 if not reported. */
	uint64_t started_ms;
	/** Number of the report, counted from the server's start. */
	uint64_t sequence;
	/** Empty in SERVER_GONE. */
	struct name service;
	enum server_state state;
	/** SERVER_GONE: detected because the server refuses connections. */
	bool refused;
	/** Requests that the server can run at once. */
	uint32_t slots;
	/** Remaining warm-up time, ms. */
	int64_t warm_in_ms;
};

/** Whether @report is of another server process or start than @known. */
bool server_report_restarted(const struct server_report *report,
			     const struct server_report *known);

/**
 * Whether @report is older than @known: of an earlier start of the server, or
 * of the same start with a smaller sequence.
 */
bool server_report_outdated(const struct server_report *report,
			    const struct server_report *known);

#endif
