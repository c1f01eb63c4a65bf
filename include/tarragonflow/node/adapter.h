#ifndef TARRAGONFLOW_NODE_ADAPTER_H
#define TARRAGONFLOW_NODE_ADAPTER_H

#include <civetweb.h>
#include <stddef.h>

#include "tarragonflow/net/packet_format.h"
#include "tarragonflow/store/http_dialect.h"

/** A path that an adapter serves on the process's HTTP listener. */
struct http_mount {
	/** As mg_set_request_handler() takes it. */
	const char *pattern;
	/** Answers a request; @user is the struct node. Returns the status. */
	int (*handle)(struct mg_connection *conn, void *user);
};

/** What differs between the surroundings that a process may run in. */
struct adapter {
	/** Value of the setting `adapter` that picks it. */
	const char *name;
	const struct packet_format *format;
	const struct http_dialect *dialect;
	const struct http_mount *mounts;
	size_t n_mounts;
	/**
	 * Backend servers announce themselves: an agent passes nothing to a
	 * server that it has not heard from.
	 */
	bool servers_report;
	/** The object store's answers are current, never stale copies. */
	bool store_is_current;
	/**
	 * Nothing outlives a process there, and nobody serves in its place
	 * until the next one runs: it ends without tidying up.
	 */
	bool ends_at_once;
};

/** Raw IP packets and the product's own object-store API. */
extern const struct adapter adapter_native;

#endif
