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
	/** Hash of the packet's connection and sequence number; 0: the entry is
	 * free. */
	uint64_t packet_hash;
	struct packet_header header;
};

struct server_queries {
	struct server_query entries[SERVER_QUERIES];
};

/** Records that @packet is delivered to the server with @header. */
void server_queries_add(struct server_queries *queries,
			const struct inner_packet *packet,
			const struct packet_header *header);

/**
 * Removes the query with @packet and writes its header to @header. False if
 * there is none. The entry of a query that the server answers stays, so it must
 * not count for a later connection from the same port.
 */
bool server_queries_take(struct server_queries *queries,
			 const struct inner_packet *packet,
			 struct packet_header *header);

#endif
