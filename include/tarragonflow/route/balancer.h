#ifndef TARRAGONFLOW_ROUTE_BALANCER_H
#define TARRAGONFLOW_ROUTE_BALANCER_H

#include "tarragonflow/common/counter.h"
#include "tarragonflow/flow/peer_load.h"
#include "tarragonflow/net/packet_format.h"
#include "tarragonflow/net/packet_sink.h"
#include "tarragonflow/route/view.h"

/** Entries of a balancer's cache of owner hints, a power of two. */
#define BALANCER_HINT_ENTRIES 4096

/** The agent that owns a connection, as reported by an agent. */
struct owner_hint {
	/** High half of the connection's hash. */
	uint32_t flow_hash;
	/** The owner; 0 when the entry is free. */
	uint32_t member_id;
};

/**
 * The balancer's packet core: forwards any packet of any connection to a
 * candidate of its chain. Correctness needs no state per connection; a hint
 * only saves the detour through agents that do not own the connection.
 */
struct balancer {
	/** NULL until there is a configuration. */
	const struct view *view;
	struct counters *counters;
	/** Address of this balancer in forwarded packets. Agents send hints to
	 * it, none when its port is 0. */
	struct endpoint origin;
	/** Encoding of callers' packets. */
	const struct packet_format *format;
	/** Select the backend server of opening packets by reported load. */
	bool least_load_enabled;
	/** Load of the backend servers, as reported by their agents. */
	struct peer_loads loads;
	/** Zone of this balancer. */
	struct name zone;
	/** Index of the next candidate to relay packets for agents that this
	 * balancer cannot reach. */
	uint8_t next_relay;
	struct owner_hint hints[BALANCER_HINT_ENTRIES];
};

void balancer_init(struct balancer *balancer, struct counters *counters);

/** Sets the encoding of callers' packets. */
void balancer_set_format(struct balancer *balancer,
			 const struct packet_format *format);

/**
 * Sends opening packets to the least loaded backend server from now on, and
 * prefers servers in @zone unless they are clearly busier.
 */
void balancer_enable_least_load(struct balancer *balancer,
				const struct name *zone);

/** Sets the address of this balancer in forwarded packets. */
void balancer_set_origin(struct balancer *balancer,
			 const struct endpoint *origin);

/** Uses @view from now on; it must outlive its use. */
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
