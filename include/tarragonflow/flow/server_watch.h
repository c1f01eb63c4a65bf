#ifndef TARRAGONFLOW_FLOW_SERVER_WATCH_H
#define TARRAGONFLOW_FLOW_SERVER_WATCH_H

#include "tarragonflow/flow/server_report.h"

/**
 * What an agent knows of its backend server from the server's own reports,
 * for how long it may rely on it, and whether the server is still the one
 * that connections were opened at.
 */
struct server_watch {
	/** The server reports; without a report nothing opens there. */
	bool required;
	bool heard;
	struct server_report report;
	/** When the last report was made, ms. */
	int64_t heard_ms;
	/**
	 * Time for which a report holds, ms. An address is not given to
	 * another server sooner after the end of the former.
	 */
	int64_t lease_ms;
};

enum server_change {
	/** Made before what is known; nothing changes. */
	SERVER_LATE,
	SERVER_SAME,
	/** Another start: the connections of the former are gone. */
	SERVER_RESTARTED,
};

void server_watch_init(struct server_watch *watch, bool required,
		       int64_t lease_ms);

/** Takes a report that arrived at @now_ms. */
enum server_change server_watch_take(struct server_watch *watch,
				     const struct server_report *report,
				     int64_t now_ms);

/** Whether the last report still holds. */
bool server_watch_holds(const struct server_watch *watch, int64_t now_ms);

/** Whether connections may open at the server now. */
bool server_watch_opens(const struct server_watch *watch, int64_t now_ms);

/** Time that the server still needs to warm up, ms. */
int64_t server_watch_cold_ms(const struct server_watch *watch, int64_t now_ms);

#endif
