#ifndef TARRAGONFLOW_FLOW_ABSENT_MEMORY_H
#define TARRAGONFLOW_FLOW_ABSENT_MEMORY_H

#include <stdbool.h>
#include <stdint.h>

#include "tarragonflow/net/inner.h"

/**
 * A negative cache: connections that the backend server does not have, known
 * from packets that it returned. An agent whose flow table may be incomplete
 * delivers packets of an unlisted connection to its server to find out whether
 * the server has it. The cache limits that to once for each connection: while
 * the agent of a connection's owner is unreachable, its packets do not keep
 * arriving at other servers. The size is fixed; a connection whose entry was
 * overwritten may be delivered once more.
 */

/** Entries of the cache, a power of two. */
#define ABSENT_FLOWS_SIZE 4096

struct absent_flows {
	/** Hashes of connections; 0 marks a free entry. */
	uint64_t hashes[ABSENT_FLOWS_SIZE];
};

/** Records that the server does not have the connection @key. */
void absent_flows_add(struct absent_flows *memory, const struct flow_key *key);

/** Whether the connection @key is recorded as not at the server. */
bool absent_flows_has(const struct absent_flows *memory,
		      const struct flow_key *key);

#endif
