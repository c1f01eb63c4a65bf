#ifndef TARRAGONFLOW_FLOW_PEER_LOAD_H
#define TARRAGONFLOW_FLOW_PEER_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Load and reachability of agents (the peers), from their load reports and from
 * the load in the headers of packets that they forward. The table has a fixed
 * size. A peer without an entry has an unknown load, but does not count as
 * unreachable.
 */

/** Entries of the table, a power of two; enough for one large service. */
#define PEER_LOADS 1024

/** Number of consecutive slots that may hold a peer; the first one is
 * determined by its member_id. */
#define PEER_LOAD_PROBE_SLOTS 8

/** Maximum age of a load for peer_load_get(), ms. */
#define PEER_LOAD_MAX_AGE_MS 2000

struct peer_load {
	/** 0 when the entry is free. */
	uint32_t member_id;
	/** Load as last reported, plus that of connections sent to the peer
	 * since, see peer_load_add(). */
	uint16_t load;
	/** Mean response time of the peer's server as last reported, ms; 0:
	 * unknown. */
	uint16_t response_ms;
	/** When the load was last reported, or the entry created, ms. */
	int64_t last_seen_ms;
	/** Packets from this process that the peer has received, by its last
	 * load report. */
	uint32_t received;
	/** Load as last reported. */
	uint16_t reported_load;
	/**
	 * When the first packet was sent to the peer that it may not have
	 * received (`received` has not changed since), ms; 0: none.
	 */
	int64_t unacked_since_ms;
};

struct peer_loads {
	/** Time in which a load report should show that the peer received a
	 * packet, ms. */
	int64_t ack_timeout_ms;
	struct peer_load entries[PEER_LOADS];
};

/** Sets the longest time between two load reports of a peer, ms. */
void peer_loads_set_heartbeat_interval(struct peer_loads *loads,
				       int64_t heartbeat_interval_ms);

/** Records that @member_id reported the load @load. */
void peer_load_update(struct peer_loads *loads, uint32_t member_id,
		      uint16_t load, int64_t now_ms);

/** Records the mean response time that @member_id reported, ms. */
void peer_load_set_response_ms(struct peer_loads *loads, uint32_t member_id,
			       uint16_t response_ms);

/**
 * Mean response time that @member_id reported, ms; 0 when it is unknown or the
 * last report is older than @max_age_ms.
 */
uint16_t peer_load_response_ms(const struct peer_loads *loads,
			       uint32_t member_id, int64_t max_age_ms,
			       int64_t now_ms);

/**
 * The load of @member_id; PACKET_LOAD_FULL when it is unknown, older than
 * PEER_LOAD_MAX_AGE_MS, or the peer is unreachable.
 */
uint16_t peer_load_get(const struct peer_loads *loads, uint32_t member_id,
		       int64_t now_ms);

/** As peer_load_get(), with the maximum age @max_age_ms. */
uint16_t peer_load_get_fresh(const struct peer_loads *loads, uint32_t member_id,
			     int64_t max_age_ms, int64_t now_ms);

/** The entry of @member_id, or NULL. */
const struct peer_load *peer_load_find(const struct peer_loads *loads,
				       uint32_t member_id);

/**
 * When the load of @member_id was last reported, ms. Returns @earliest_ms when
 * that was earlier, or when the peer has no entry.
 */
int64_t peer_load_last_seen_ms(const struct peer_loads *loads,
			       uint32_t member_id, int64_t earliest_ms);

/**
 * Time since the load of @member_id was last reported, ms. A peer without an
 * entry may have just started: the call adds an entry and returns 0.
 */
int64_t peer_load_age_ms(struct peer_loads *loads, uint32_t member_id,
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
 * Whether packets sent to @member_id do not seem to arrive, as its load reports
 * do not count them. A probe in response to each of these load reports makes it
 * possible to detect that packets arrive again.
 */
bool peer_load_is_unreachable(const struct peer_loads *loads,
			      uint32_t member_id, int64_t now_ms);

/** Adds the load of a connection that was sent to @member_id. */
void peer_load_add(struct peer_loads *loads, uint32_t member_id, uint16_t load);

/** Adds @requests requests of mean cost to the load of @member_id, whose server
 * has @slots slots; for loads that are the work left. */
void peer_load_add_requests(struct peer_loads *loads, uint32_t member_id,
			    double requests, uint32_t slots);

#endif
