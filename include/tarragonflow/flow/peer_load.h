#ifndef TARRAGONFLOW_FLOW_PEER_LOAD_H
#define TARRAGONFLOW_FLOW_PEER_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/**
 * What the agents of the other backend servers last said about their load.
 * It rides on the packets between agents. A fixed table: a peer that falls
 * out of it is only not chosen by load, and not held for gone.
 */

/** Peers that are remembered, a power of two; about those of one service. */
#define PEER_LOADS 1024

/** Places that a peer may have in the table, from the one of its id on. */
#define PEER_LOAD_PLACES 8

/** Age at which a load is no longer used, ms. */
#define PEER_LOAD_FRESH_MS 2000

struct peer_load {
	/** 0 when the entry is free. */
	uint32_t member_id;
	uint16_t load;
	/** Mean time of its server's answers as last told, ms; 0: none. */
	uint16_t answer_ms;
	/** When it told last; before that, when its silence was first asked
	 * for, ms.
	 */
	int64_t heard_ms;
	/** Packets of ours that it has had, by its last word. */
	uint32_t received;
	/** When we sent the first packet that it has not told of, ms; 0: none.
	 */
	int64_t untold_ms;
};

struct peer_loads {
	/** Time after which a packet should have been told of, ms. */
	int64_t deaf_ms;
	struct peer_load entries[PEER_LOADS];
};

/** Peers tell at least every @alive_ms. */
void peer_loads_pace(struct peer_loads *loads, int64_t alive_ms);

void peer_load_hear(struct peer_loads *loads, uint32_t member_id, uint16_t load,
		    int64_t now_ms);

/** @member_id told that its server's answers take @answer_ms. */
void peer_load_answers(struct peer_loads *loads, uint32_t member_id,
		       uint16_t answer_ms);

/** The same as last told, ms; 0 when not told in the last @fresh_ms. */
uint16_t peer_load_answer_ms(const struct peer_loads *loads, uint32_t member_id,
			     int64_t fresh_ms, int64_t now_ms);

/** The load last heard from @member_id, PACKET_LOAD_FULL when not known. */
uint16_t peer_load_of(const struct peer_loads *loads, uint32_t member_id,
		      int64_t now_ms);

/** The same, for loads not older than @fresh_ms. */
uint16_t peer_load_fresh(const struct peer_loads *loads, uint32_t member_id,
			 int64_t fresh_ms, int64_t now_ms);

/** When @member_id was heard last, ms; @since when it was not since then. */
int64_t peer_load_heard_ms(const struct peer_loads *loads, uint32_t member_id,
			   int64_t since);

/**
 * How long @member_id has been silent, ms. Of one that is not known, silence
 * counts from the first such question: it may have been started just now.
 */
int64_t peer_load_silent_ms(struct peer_loads *loads, uint32_t member_id,
			    int64_t now_ms);

/** We sent a packet to @member_id. */
void peer_load_sent(struct peer_loads *loads, uint32_t member_id,
		    int64_t now_ms);

/** @member_id told that it has had @received packets of ours. */
void peer_load_told(struct peer_loads *loads, uint32_t member_id,
		    uint32_t received);

/**
 * Whether we hear @member_id and it does not hear us: packets pass one way
 * only. A probe for each of its notices finds out when that ends.
 */
bool peer_load_deaf(const struct peer_loads *loads, uint32_t member_id,
		    int64_t now_ms);

/** Adds what we sent there ourselves since it was last heard. */
void peer_load_add(struct peer_loads *loads, uint32_t member_id, uint16_t load);

#endif
