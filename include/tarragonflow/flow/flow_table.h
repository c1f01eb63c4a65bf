#ifndef TARRAGONFLOW_FLOW_FLOW_TABLE_H
#define TARRAGONFLOW_FLOW_FLOW_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/net/inner.h"

/**
 * The connections that live at one backend server. Open addressing with a
 * fixed number of slots, so nothing is allocated on the packet path.
 */
enum flow_state {
	FLOW_FREE = 0,
	/** SYN delivered, no acknowledgement from the caller yet. */
	FLOW_HALF_OPEN,
	FLOW_OPEN,
	/** A FIN or RST was seen; kept for late packets. */
	FLOW_CLOSING,
};

struct flow {
	struct flow_key key;
	/** Last packet in either direction, ms. */
	int64_t last_ms;
	/** When the caller opened it, ms. */
	int64_t opened_ms;
	/** Sequence number of the caller's SYN. */
	uint32_t syn_seq;
	/** Sequence number of the server's SYN-ACK. */
	uint32_t server_seq;
	uint8_t state;
	/** Bits: 1 caller's FIN seen, 2 server's FIN seen. */
	uint8_t fins;
	/** Whether server_seq is known. */
	uint8_t answered;
};

struct flow_table {
	struct flow *slots;
	/** Number of slots less one; slots are a power of two. */
	uint32_t mask;
	uint32_t used;
	uint32_t max_used;
	/** Where the next expiry step looks. */
	uint32_t cursor;
	uint64_t seed;
};

/** Room for @max flows; @seed keys the hash. */
void flow_table_init(struct flow_table *table, uint32_t max, uint64_t seed);
void flow_table_finish(struct flow_table *table);

/** The flow of @key, or NULL. Valid until the next insert or remove. */
struct flow *flow_table_find(const struct flow_table *table,
			     const struct flow_key *key);

/** A zeroed flow for @key, or NULL when the table is full. */
struct flow *flow_table_insert(struct flow_table *table,
			       const struct flow_key *key);

void flow_table_remove(struct flow_table *table, struct flow *flow);

#endif
