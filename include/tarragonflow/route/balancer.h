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

/** Why a SYN is sent to a candidate. */
enum syn_reason {
	/** The lowest load of all candidates. */
	SYN_LEAST_LOADED,
	/** No candidate's load is known and not full: the first candidate that
	 * accepts new connections, or the first one. */
	SYN_NO_LOAD_KNOWN,
	/** Servers report no load: as SYN_NO_LOAD_KNOWN. */
	SYN_FIRST_ACCEPTING,
	/** The owner hint names the agent that got an earlier copy. */
	SYN_PREVIOUS_RECEIVER,
};

/** The candidate for a SYN: its index in the chain, and why. */
struct syn_target {
	uint8_t position;
	enum syn_reason reason;
};

/**
 * Selects the candidate for a SYN whose connection has the hash @hash. Changes
 * nothing except @header, whose last candidate may be replaced by the previous
 * receiver. @sent_ago_ms: as in struct inner_packet.
 */
struct syn_target balancer_select_for_syn(const struct balancer *balancer,
					  const struct service_view *service,
					  struct packet_header *header,
					  uint64_t hash, uint16_t sent_ago_ms,
					  int64_t now_ms);

/** The load by which candidates for a SYN are compared. */
struct candidate_load {
	/** Includes `cross_zone`; PACKET_LOAD_FULL: ruled out. */
	uint32_t total;
	/** Added as the server is in another zone than the balancer. */
	uint32_t cross_zone;
	/** Loads older than this count as unknown, ms. */
	int64_t max_age_ms;
};

struct candidate_load
balancer_candidate_load(const struct balancer *balancer,
			const struct service_view *service,
			const struct candidate *candidate, int64_t now_ms);

/** Handles an agent's owner hint or load report. */
void balancer_handle_agent_packet(struct balancer *balancer,
				  const uint8_t *data, size_t len,
				  int64_t now_ms, struct packet_sink *sink);

#endif
