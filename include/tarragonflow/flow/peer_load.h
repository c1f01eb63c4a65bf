#ifndef TARRAGONFLOW_FLOW_PEER_LOAD_H
#define TARRAGONFLOW_FLOW_PEER_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Load and reachability of agents, from the notices and the packets that they
 * send. The table has a fixed size. A peer whose entry was replaced is not
 * chosen by load, and is not taken for unreachable either.
 */

/** Entries of the table, a power of two; about the agents of one service. */
#define PEER_LOADS 1024

/** Consecutive slots, from the one of its id on, that may hold a peer. */
#define PEER_LOAD_PROBE_SLOTS 8

/** Age at which a load is no longer used, ms. */
#define PEER_LOAD_MAX_AGE_MS 2000

struct peer_load {
	/** 0 when the entry is free. */
	uint32_t member_id;
	/** Load as last reported, plus what was sent there since. */
	uint16_t load;
	/** Mean answer time of its server as last reported, ms; 0: none. */
	uint16_t answer_ms;
	/** When its last report arrived, or when the entry was created, ms. */
	int64_t last_seen_ms;
	/** Packets from this process that it reported as received. */
	uint32_t received;
	/**
	 * When the first packet was sent to it after the last notice with a
	 * new count of received packets, ms; 0: none.
	 */
	int64_t unacked_since_ms;
};

struct peer_loads {
	/** Time in which a notice should acknowledge a sent packet, ms. */
	int64_t ack_timeout_ms;
	struct peer_load entries[PEER_LOADS];
};

/** Sets the longest time between two notices of a peer to @alive_ms. */
void peer_loads_set_interval(struct peer_loads *loads, int64_t alive_ms);

/** Records a report of @member_id that its load is @load. */
void peer_load_update(struct peer_loads *loads, uint32_t member_id,
		      uint16_t load, int64_t now_ms);

/** Records the mean answer time that @member_id reported, ms. */
void peer_load_set_answer_ms(struct peer_loads *loads, uint32_t member_id,
			     uint16_t answer_ms);

/** Mean answer time of @member_id, ms; 0 if older than @fresh_ms. */
uint16_t peer_load_answer_ms(const struct peer_loads *loads, uint32_t member_id,
			     int64_t fresh_ms, int64_t now_ms);

/**
 * The load of @member_id; PACKET_LOAD_FULL when it is unknown, older than
 * PEER_LOAD_MAX_AGE_MS, or the peer is unreachable.
 */
uint16_t peer_load_get(const struct peer_loads *loads, uint32_t member_id,
		       int64_t now_ms);

/** As peer_load_get(), with @fresh_ms as the greatest age. */
uint16_t peer_load_get_fresh(const struct peer_loads *loads, uint32_t member_id,
			     int64_t fresh_ms, int64_t now_ms);

/** When the last report of @member_id arrived, ms; @since if earlier. */
int64_t peer_load_last_seen_ms(const struct peer_loads *loads,
			       uint32_t member_id, int64_t since);

/**
 * Time since the last report of @member_id, ms. For a peer that is not in the
 * table it counts from the first such call, which adds the peer: it may have
 * just started.
 */
int64_t peer_load_silent_ms(struct peer_loads *loads, uint32_t member_id,
			    int64_t now_ms);

/** Records that a packet was sent to @member_id. */
void peer_load_record_sent(struct peer_loads *loads, uint32_t member_id,
			   int64_t now_ms);

/**
 * Records the number of packets from this process that @member_id reports as
 * received.
 */
void peer_load_record_received(struct peer_loads *loads, uint32_t member_id,
			       uint32_t received);

/**
 * Whether packets sent to @member_id do not arrive, as its notices do not
 * acknowledge them. A probe in reply to each of its notices shows when the
 * link works again.
 */
bool peer_load_unreachable(const struct peer_loads *loads, uint32_t member_id,
			   int64_t now_ms);

/** Adds the load of a connection that was sent there since its report. */
void peer_load_add(struct peer_loads *loads, uint32_t member_id, uint16_t load);

#endif
