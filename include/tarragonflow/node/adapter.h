#ifndef TARRAGONFLOW_NODE_ADAPTER_H
#define TARRAGONFLOW_NODE_ADAPTER_H

#include <civetweb.h>
#include <stddef.h>

#include "tarragonflow/net/packet_format.h"
#include "tarragonflow/store/http_dialect.h"

/** A URL path that an adapter serves on the process's HTTP listener. */
struct http_mount {
	/** URI pattern for mg_set_request_handler(). */
	const char *pattern;
	/** Sends the response; @user is the struct node. Returns its status. */
	int (*handle)(struct mg_connection *conn, void *user);
};

/** Properties of an environment that a process can run in. */
struct adapter {
	/** Value of the setting `adapter` that selects this environment. */
	const char *name;
	const struct packet_format *format;
	const struct http_dialect *dialect;
	const struct http_mount *mounts;
	size_t n_mounts;
	/**
	 * Backend servers send server reports to their agent, which forwards no
	 * packets to its server before the first report.
	 */
	bool servers_report;
	/** The object store never returns stale data. */
	bool strong_reads;
	/**
	 * The process exits without freeing its resources: nothing of it
	 * remains in the environment, and no process serves until its successor
	 * starts.
	 */
	bool exits_immediately;
};

/** Raw IP packets and tarragonflow's own object-store API. */
extern const struct adapter adapter_native;

#endif
