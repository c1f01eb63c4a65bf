#ifndef TARRAGONFLOW_FLOW_SERVER_MISS_CACHE_H
#define TARRAGONFLOW_FLOW_SERVER_MISS_CACHE_H

#include <stdbool.h>
#include <stdint.h>

#include "tarragonflow/net/inner.h"

/**
 * A negative cache of connections that the agent's backend server does not
 * have, as it returned a packet of each.
 *
 * An agent whose flow table may be incomplete delivers the packets of
 * connections that are not in the table to its server, to find out whether the
 * server has them. With the cache it does so once for each connection. Without
 * it, packets of a connection whose owner's agent is unreachable would be
 * delivered to the other servers again and again. The size is fixed; after its
 * entry was overwritten a connection may be delivered once more.
 */

/** Entries of the cache, a power of two. */
#define SERVER_MISS_CACHE_ENTRIES 4096

struct server_miss_cache {
	/** Hashes of the connections' keys; 0: the entry is free. */
	uint64_t hashes[SERVER_MISS_CACHE_ENTRIES];
};

/** Records that the server does not have the connection @key. */
void server_miss_cache_add(struct server_miss_cache *cache,
			   const struct flow_key *key);

/** Whether it is recorded that the server does not have @key. */
bool server_miss_cache_contains(const struct server_miss_cache *cache,
				const struct flow_key *key);

#endif
