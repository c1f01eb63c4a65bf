#ifndef TARRAGONFLOW_FLOW_SERVER_REPORT_H
#define TARRAGONFLOW_FLOW_SERVER_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "tarragonflow/common/str.h"

/** What a backend server says about whether it serves. */
enum server_state {
	/** Serves and may take new connections. */
	SERVER_READY = 1,
	/** Keeps its connections and takes nothing new. */
	SERVER_DRAINING = 2,
	/** Has left for good. */
	SERVER_GONE = 3,
};

/** Longest identifier of a backend server, in bytes with the terminator. */
#define SERVER_ID_MAX 128

/**
 * A backend server's word on itself. Of two reports the one with the later
 * start is the newer, within one start the one with the greater sequence.
 */
struct server_report {
	char id[SERVER_ID_MAX];
	/** Start of the server, wall-clock ms since 1970; 0 is not told. */
	uint64_t started_ms;
	/** Counts the reports of one start. */
	uint64_t sequence;
	/** Empty in SERVER_GONE. */
	struct name service;
	enum server_state state;
	/** SERVER_GONE: found out, as it refuses connections. */
	bool refused;
	/** Requests that it runs at once. */
	uint32_t slots;
	/** Time that it still needs to warm up, ms. */
	int64_t warm_in_ms;
};

/** Whether @report comes from another start of a server than @known. */
bool server_report_restarted(const struct server_report *report,
			     const struct server_report *known);

/** Whether @report was made before @known, by its own or a former start. */
bool server_report_late(const struct server_report *report,
			const struct server_report *known);

#endif
