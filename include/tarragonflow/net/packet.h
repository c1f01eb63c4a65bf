#ifndef TARRAGONFLOW_NET_PACKET_H
#define TARRAGONFLOW_NET_PACKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/net/endpoint.h"

/**
 * The header in front of a caller's packet between balancers and agents. It
 * carries a chain: the ordered list of candidate agents for the packet, so that
 * an agent can forward the packet without a view of its own.
 */

/** Maximum number of candidates in a chain. */
#define CHAIN_MAX 8

/**
 * Times that one packet may be forwarded between processes. Bounds the search
 * for a connection that no server has, which visits every agent: with 64 it was
 * cut off, and never conclusive, with more than some 60 agents.
 */
#define PACKET_HOP_BUDGET 240

/**
 * Hops after which a search that is already inconclusive ends: it can't lead to
 * a RST, and in a service of 200 agents, some of them unreachable, searches of
 * 240 hops doubled the bytes between zones.
 */
#define PACKET_DOUBTFUL_HOPS 64

/** Largest `resolves` that the header can carry. */
#define PACKET_RESOLVES_MAX 15

/** Load value for full, cold and draining servers and for unknown load. */
#define PACKET_LOAD_FULL 0xffff

/** Load of a server with all its connections in use. */
#define PACKET_LOAD_SCALE 60000

/** Value of `from` for a sender that is not in the chain. */
#define PACKET_FROM_OUTSIDE 0xff

enum packet_kind {
	/** A caller's packet follows. */
	PACKET_DATA = 0,
	/** Load report of the only candidate, an agent; no packet follows. */
	PACKET_LOAD = 1,
	/**
	 * Hint from an agent to a balancer: the only candidate owns the
	 * connection with the hash in `flow_hash`. May be lost without harm.
	 */
	PACKET_OWNER = 2,
	/**
	 * Makes the receiver increase `received` in its load reports, which
	 * shows that it still receives packets. Carries no caller's packet.
	 */
	PACKET_PROBE = 3,
};

enum candidate_flag {
	/** Accepts new connections. */
	CANDIDATE_TAKES_NEW = 0x1,
	/** Did not respond to probes of the failure detector. */
	CANDIDATE_SUSPECT = 0x2,
};

/** One backend server of a chain, identified by its agent. */
struct candidate {
	/** Address of the agent for data packets. */
	struct endpoint data;
	/** Hash of the member's name. */
	uint32_t member_id;
	/** packet_instance_check() of the agent, to detect a reused address. */
	uint16_t instance_check;
	/** Bits of enum candidate_flag. */
	uint8_t flags;
};

struct packet_header {
	uint32_t service_id;
	/** Configuration revision of the sender. */
	uint64_t config_revision;
	/** The sender's view_agents_digest(). */
	uint64_t agents_digest;
	/** Remaining hops of PACKET_HOP_BUDGET. */
	uint8_t hops_left;
	/** Index of the candidate that the packet is addressed to. */
	uint8_t position;
	uint8_t n_candidates;
	/** One of enum packet_kind. */
	uint8_t kind;
	/** Bit mask of the candidates that have received the packet. */
	uint8_t visited;
	/** Index of the sending candidate, or PACKET_FROM_OUTSIDE. */
	uint8_t from;
	/** Times that agents recomputed the chain from their own view, at most
	 * PACKET_RESOLVES_MAX. */
	uint8_t resolves;
	/** Load of the sender's backend server, 0 to PACKET_LOAD_SCALE. */
	uint16_t load;
	/** Usual response time of the sender's server, ms; 0: unknown. */
	uint16_t usual_ms;
	/** Balancer that received the packet from the fabric. */
	struct endpoint origin;
	/** SYNs: a candidate was already selected by load. */
	bool placed;
	/**
	 * SYNs: an agent refused the connection as its server will be ready
	 * only in some seconds. If no other agent accepts the connection, the
	 * caller gets no RST, so that it retransmits the SYN.
	 */
	bool warming;
	/**
	 * Bit mask of the candidates whose agents started too recently to have
	 * all connections of their servers in the flow table. If no agent has
	 * the connection, these servers are queried one by one.
	 */
	uint8_t unsure;
	/**
	 * Query to the server: the agent at `position` delivers the packet to
	 * its server, although its flow table lacks the connection.
	 */
	bool asking;
	/**
	 * The search for the owner of the connection is inconclusive, such as
	 * when an agent may lack connections and could not query its server.
	 * Prevents a RST to the caller.
	 */
	bool doubt;
	/** Number of services whose candidates have been searched. */
	uint8_t services_tried;
	union {
		/** Bucket of the connection, to recompute the chain. */
		uint32_t bucket;
		/** PACKET_OWNER: high 32 bits of the connection's hash. */
		uint32_t flow_hash;
		/**
		 * PACKET_LOAD: packets that the reporting agent has received
		 * from the process that it reports to.
		 */
		uint32_t received;
	};
	struct candidate candidates[CHAIN_MAX];
};

/** Bytes of an encoded header with the longest chain. */
#define PACKET_HEADER_MAX (44 + CHAIN_MAX * 12)

/** Encodes into @out of PACKET_HEADER_MAX bytes; returns the length. */
size_t packet_header_encode(const struct packet_header *header, uint8_t *out);

/** Decodes @data; returns the header's length, 0 when it is malformed. */
size_t packet_header_decode(struct packet_header *header, const uint8_t *data,
			    size_t len);

/** Hashes @instance to the 14 bits that a candidate in a header carries. */
uint16_t packet_instance_check(uint64_t instance);

#endif
