#ifndef TARRAGONFLOW_FLOW_ABSENT_MEMORY_H
#define TARRAGONFLOW_FLOW_ABSENT_MEMORY_H

#include <stdbool.h>
#include <stdint.h>

#include "tarragonflow/net/inner.h"

/**
 * Connections that a backend server returned a packet of: it does not have
 * them. An agent that may not know all connections of its server asks it
 * about each at most once, so that the packets of a connection whose own
 * agent is away do not keep arriving at other servers. A fixed table: what
 * falls out of it may be asked about again.
 */

/** Connections that are remembered, a power of two. */
#define ABSENT_MEMORY_SIZE 4096

struct absent_memory {
	/** Hashes of connections; 0 is free. */
	uint64_t hashes[ABSENT_MEMORY_SIZE];
};

/** Remembers that the server does not have the connection @key. */
void absent_memory_put(struct absent_memory *memory,
		       const struct flow_key *key);

/** Whether the server is known not to have the connection @key. */
bool absent_memory_has(const struct absent_memory *memory,
		       const struct flow_key *key);

#endif
