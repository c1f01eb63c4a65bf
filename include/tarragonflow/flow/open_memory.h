#ifndef TARRAGONFLOW_FLOW_OPEN_MEMORY_H
#define TARRAGONFLOW_FLOW_OPEN_MEMORY_H

#include <stdint.h>

#include "tarragonflow/net/inner.h"

/**
 * Opening packets that an agent handed on, for a bounded time and number: a
 * repeat goes the same way, so that no second server takes the connection.
 */

/** Opening packets that are remembered, a power of two. */
#define OPEN_MEMORY_SIZE 1024

/** Time that they are remembered, ms. */
#define OPEN_MEMORY_MS 10000

struct handed_on {
	/** Hash of the connection and its first sequence number. */
	uint64_t hash;
	int64_t until_ms;
	/** Who got it. */
	uint32_t member_id;
};

struct open_memory {
	struct handed_on entries[OPEN_MEMORY_SIZE];
};

/** Remembers that @packet went to @member_id. */
void open_memory_put(struct open_memory *memory,
		     const struct inner_packet *packet, uint32_t member_id,
		     int64_t now_ms);

/** Who got @packet before; 0 when it is new or forgotten. */
uint32_t open_memory_get(const struct open_memory *memory,
			 const struct inner_packet *packet, int64_t now_ms);

#endif
