#ifndef TARRAGONFLOW_ROUTE_BALANCER_H
#define TARRAGONFLOW_ROUTE_BALANCER_H

#include "tarragonflow/common/counter.h"
#include "tarragonflow/flow/peer_load.h"
#include "tarragonflow/net/packet_format.h"
#include "tarragonflow/net/packet_sink.h"
#include "tarragonflow/route/view.h"

/** Owner hints that a balancer remembers, a power of two. */
#define BALANCER_HINTS 4096

/** What an agent said about the owner of a connection. */
struct owner_hint {
	/** High half of the connection's hash. */
	uint32_t flow_hash;
	/** 0 when the entry is free. */
	uint32_t member_id;
};

/**
 * The balancer's packet core: takes any packet of any connection and sends
 * it to the first candidate of its chain. Keeps nothing per connection that
 * correctness needs; a hint only saves the way through other agents.
 */
struct balancer {
	/** NULL until there is a configuration. */
	const struct view *view;
	struct counters *counters;
	/** Where agents send hints to; without a port they send none. */
	struct endpoint origin;
	/** How callers' packets look. */
	const struct packet_format *format;
	/** Opening packets go by the loads that agents tell. */
	bool places_by_load;
	struct peer_loads loads;
	/** Zone that the balancer is in. */
	struct name zone;
	/** Candidate that relays the next packet to an agent out of reach. */
	uint8_t next_relay;
	struct owner_hint hints[BALANCER_HINTS];
};

void balancer_init(struct balancer *balancer, struct counters *counters);

/** Reads callers' packets as @format from now on. */
void balancer_set_format(struct balancer *balancer,
			 const struct packet_format *format);

/**
 * Opening packets go to the least loaded backend server from now on, to one
 * in @zone while that is hardly busier.
 */
void balancer_place_by_load(struct balancer *balancer, const struct name *zone);

/** Agents send owner hints to @origin from now on. */
void balancer_set_origin(struct balancer *balancer,
			 const struct endpoint *origin);

/** Puts @view in force; the caller keeps it alive. */
void balancer_set_view(struct balancer *balancer, const struct view *view);

/** Handles one packet from the fabric, or an agent's hint. */
void balancer_handle(struct balancer *balancer, const uint8_t *data, size_t len,
		     int64_t now_ms, struct packet_sink *sink);

/**
 * Whether most agents of the view can't be reached, as their notices tell:
 * the balancer is cut off, or has just started.
 */
bool balancer_cut_off(const struct balancer *balancer, int64_t now_ms);

/** Handles an agent's hint or notice of its load. */
void balancer_handle_agent(struct balancer *balancer, const uint8_t *data,
			   size_t len, int64_t now_ms,
			   struct packet_sink *sink);

#endif
