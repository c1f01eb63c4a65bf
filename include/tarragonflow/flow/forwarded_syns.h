#ifndef TARRAGONFLOW_FLOW_FORWARDED_SYNS_H
#define TARRAGONFLOW_FLOW_FORWARDED_SYNS_H

#include <stdint.h>

#include "tarragonflow/net/inner.h"

/**
 * A cache of the SYNs that an agent forwarded to other agents, with the
 * receiver of each. A retransmission is forwarded to the receiver of the first
 * copy, so that no second server accepts the connection.
 */

/** Entries of the cache, a power of two. */
#define FORWARDED_SYNS_SIZE 1024

/** Lifetime of an entry, ms. */
#define FORWARDED_SYNS_TTL_MS 10000

struct forwarded_syn {
	/** Hash of the connection and the SYN's sequence number. */
	uint64_t hash;
	int64_t expires_ms;
	/** The agent that the SYN was forwarded to. */
	uint32_t member_id;
};

struct forwarded_syns {
	struct forwarded_syn entries[FORWARDED_SYNS_SIZE];
};

/** Records that @packet was forwarded to @member_id. */
void forwarded_syns_add(struct forwarded_syns *cache,
			const struct inner_packet *packet, uint32_t member_id,
			int64_t now_ms);

/**
 * The agent that an earlier copy of @packet was forwarded to; 0 when there is
 * no entry or the entry has expired.
 */
uint32_t forwarded_syns_find(const struct forwarded_syns *cache,
			     const struct inner_packet *packet, int64_t now_ms);

#endif
