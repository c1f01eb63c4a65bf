#ifndef TARRAGONFLOW_FLOW_SERVER_QUERIES_H
#define TARRAGONFLOW_FLOW_SERVER_QUERIES_H

#include "tarragonflow/net/inner.h"
#include "tarragonflow/net/packet.h"

/**
 * The searches that the agent's latest queries to its server belong to. A
 * packet that the server returns continues its search from here. The mark in
 * the packet can express only the first chain of the agent's own view; from any
 * other one the search of the service would restart, so that a few queried
 * servers used up the hops of a search through a large service. Fixed size; a
 * query whose entry was overwritten is continued by its mark.
 */

/** Entries, a power of two: more than are queried within a server's response
 * time. */
#define SERVER_QUERIES 256

struct server_query {
	/** Hash of the connection's key; 0: the entry is free. */
	uint64_t flow_hash;
	struct packet_header header;
};

struct server_queries {
	struct server_query entries[SERVER_QUERIES];
};

/** Records that the packet of @key is delivered to the server with @header. */
void server_queries_add(struct server_queries *queries,
			const struct flow_key *key,
			const struct packet_header *header);

/** Removes the query for @key and writes its header to @header. False if there
 * is none. */
bool server_queries_take(struct server_queries *queries,
			 const struct flow_key *key,
			 struct packet_header *header);

#endif
