#ifndef TARRAGONFLOW_FLOW_FLOW_TABLE_H
#define TARRAGONFLOW_FLOW_FLOW_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/net/inner.h"

/**
 * The flow table: the connections of one backend server. Open addressing with a
 * fixed number of slots, so the packet path allocates no memory.
 */
enum flow_state {
	FLOW_FREE = 0,
	/** SYN delivered, no acknowledgement from the caller yet. */
	FLOW_HALF_OPEN,
	FLOW_OPEN,
	/** Closed by FINs or a RST, or lost by the server; kept for late
	 * packets. */
	FLOW_CLOSING,
};

/** Details of a connection's state. */
enum flow_state_bit {
	/** The caller or the server has sent a FIN. */
	FLOW_CALLER_FIN = 0x1,
	FLOW_SERVER_FIN = 0x2,
	/** The server has sent its SYN-ACK; server_seq is known. */
	FLOW_SYN_ACK_SEEN = 0x4,
	/** The server has not responded to the caller's payload that arrived
	 * at pending_since_ms. */
	FLOW_AWAITING_RESPONSE = 0x8,
	/** Opened before a suspected restart of the server, which has sent no
	 * packet of the connection since. */
	FLOW_UNCONFIRMED = 0x10,
	/** The server has lost the connection; packets of the caller get a
	 * RST. */
	FLOW_LOST = 0x20,
	/** Opened before another server reported at the address. */
	FLOW_OF_PREDECESSOR = 0x40,
};

/** A connection. Times are ms modulo 2^32. */
struct flow {
	/** The key: caller's and service's address and port. */
	uint8_t src[16];
	uint8_t dst[16];
	uint16_t src_port;
	uint16_t dst_port;
	/** One of enum flow_state. */
	uint8_t state;
	/** Values of enum flow_state_bit, combined. */
	uint8_t state_bits;
	/** Kind of its requests in the cost model. */
	uint8_t kind;
	/** Time of the last packet in either direction. */
	uint32_t last_packet_ms;
	/** Arrival of the SYN, later of the payload that the server has not
	 * responded to (FLOW_AWAITING_RESPONSE). */
	uint32_t pending_since_ms;
	/** Sequence number of the caller's SYN; 0: not known. */
	uint32_t syn_seq;
	/** Next sequence numbers expected from the caller and the server. */
	uint32_t caller_seq, server_seq;
};

struct flow_table {
	struct flow *slots;
	/** Number of slots less one; slots are a power of two. */
	uint32_t mask;
	/** Slots in use, and how many may be. */
	uint32_t used;
	uint32_t max_used;
	/** The next slot that expiry or eviction examines. */
	uint32_t cursor;
	/** Seed of the hash of connections. */
	uint64_t seed;
};

/** Allocates slots for @max flows; @seed is the seed of the hash. */
void flow_table_init(struct flow_table *table, uint32_t max, uint64_t seed);
void flow_table_finish(struct flow_table *table);

/** The flow of @key, or NULL. Valid until the next insert or remove. */
struct flow *flow_table_find(const struct flow_table *table,
			     const struct flow_key *key);

/** A zeroed flow for @key, or NULL when the table is full. */
struct flow *flow_table_insert(struct flow_table *table,
			       const struct flow_key *key);

/** Writes the key of @flow to @key. */
void flow_get_key(struct flow_key *key, const struct flow *flow);

void flow_table_remove(struct flow_table *table, struct flow *flow);

/** Removes all flows. */
void flow_table_clear(struct flow_table *table);

/** Memory used by the slots, bytes. */
size_t flow_table_bytes(const struct flow_table *table);

#endif
