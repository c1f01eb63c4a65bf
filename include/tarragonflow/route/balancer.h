#ifndef TARRAGONFLOW_ROUTE_BALANCER_H
#define TARRAGONFLOW_ROUTE_BALANCER_H

#include "tarragonflow/common/counter.h"
#include "tarragonflow/flow/peer_load.h"
#include "tarragonflow/net/packet_format.h"
#include "tarragonflow/net/packet_sink.h"
#include "tarragonflow/route/view.h"

/** Entries of a balancer's cache of owner hints, a power of two. */
#define BALANCER_HINT_ENTRIES 4096

/** The agent whose server has a connection, as reported by that agent. */
struct owner_hint {
	/** High 32 bits of the connection's hash. */
	uint32_t flow_hash;
	/** The agent; 0 when the entry is free. */
	uint32_t member_id;
};

/**
 * The packet-handling core of the balancer: forwards a packet of any connection
 * to a candidate of the connection's chain. Correctness needs no state per
 * connection; an owner hint only saves the detour through agents whose servers
 * do not have the connection.
 */
struct balancer {
	/** NULL until there is a configuration. */
	const struct view *view;
	struct counters *counters;
	/** Address of this balancer, written to forwarded packets. Agents send
	 * owner hints to it, unless its port is 0. */
	struct endpoint origin;
	/** Format of callers' packets. */
	const struct packet_format *format;
	/** Whether the backend server for a SYN is selected by reported load.
	 */
	bool least_load_enabled;
	/** Loads are the work left of the servers, see work_left(). */
	bool by_work;
	/** Load of the backend servers, from the load reports of agents. */
	struct peer_loads loads;
	/** Zone of this balancer. */
	struct name zone;
	/** Index of the candidate that is next to relay a packet to an agent
	 * that this balancer cannot reach. */
	uint8_t next_relay;
	struct owner_hint hints[BALANCER_HINT_ENTRIES];
};

void balancer_init(struct balancer *balancer, struct counters *counters);

/** Sets the format of callers' packets. */
void balancer_set_format(struct balancer *balancer,
			 const struct packet_format *format);

/**
 * Forwards SYNs to the least loaded backend server from now on, and prefers
 * servers in @zone, the balancer's zone, unless their load is clearly greater.
 */
void balancer_enable_least_load(struct balancer *balancer,
				const struct name *zone);

/** Treats loads as the work left of the servers from now on. */
void balancer_place_by_work(struct balancer *balancer);

/** Sets the address of this balancer that is written to forwarded packets. */
void balancer_set_origin(struct balancer *balancer,
			 const struct endpoint *origin);

/** Uses @view from now on; it must stay valid until the next call. */
void balancer_set_view(struct balancer *balancer, const struct view *view);

/** Handles one packet from the fabric or from an agent. */
void balancer_handle_packet(struct balancer *balancer, const uint8_t *data,
			    size_t len, int64_t now_ms,
			    struct packet_sink *sink);

/**
 * Whether most agents of the view are unreachable, judging by their load
 * reports: the balancer is partitioned from them or has just started.
 */
bool balancer_is_isolated(const struct balancer *balancer, int64_t now_ms);

/** Handles an agent's owner hint or load report. */
void balancer_handle_agent_packet(struct balancer *balancer,
				  const uint8_t *data, size_t len,
				  int64_t now_ms, struct packet_sink *sink);

#endif
