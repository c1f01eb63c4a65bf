#ifndef TARRAGONFLOW_FLOW_PEER_LOAD_H
#define TARRAGONFLOW_FLOW_PEER_LOAD_H

#include <stdint.h>

/**
 * What the agents of the other backend servers last said about their load.
 * It rides on the packets between agents. A fixed table: a peer that falls
 * out of it is only not chosen by load.
 */

/** Peers that are remembered, a power of two. */
#define PEER_LOADS 256

/** Age at which a load is no longer used, ms. */
#define PEER_LOAD_FRESH_MS 2000

struct peer_load {
	/** 0 when the entry is free. */
	uint32_t member_id;
	uint16_t load;
	int64_t heard_ms;
};

struct peer_loads {
	struct peer_load entries[PEER_LOADS];
};

void peer_load_hear(struct peer_loads *loads, uint32_t member_id, uint16_t load,
		    int64_t now_ms);

/** The load last heard from @member_id, PACKET_LOAD_FULL when not known. */
uint16_t peer_load_of(const struct peer_loads *loads, uint32_t member_id,
		      int64_t now_ms);

/** The same, for loads not older than @fresh_ms. */
uint16_t peer_load_fresh(const struct peer_loads *loads, uint32_t member_id,
			 int64_t fresh_ms, int64_t now_ms);

/** When @member_id was heard last, ms; @since when it was not since then. */
int64_t peer_load_heard_ms(const struct peer_loads *loads, uint32_t member_id,
			   int64_t since);

/** Adds what we sent there ourselves since it was last heard. */
void peer_load_add(struct peer_loads *loads, uint32_t member_id, uint16_t load);

#endif
