#ifndef TARRAGONFLOW_FLOW_AGENT_ROUTE_H
#define TARRAGONFLOW_FLOW_AGENT_ROUTE_H

#include "tarragonflow/flow/agent.h"

/**
 * Where an agent sends what it does not keep: along the chain, to a less
 * loaded candidate, to the members that the sender did not know; and what it
 * tells its peers on the way.
 */

/**
 * Sends the packet to the next candidate that did not have it. After the
 * last one the chain is resolved again from our own view; then an opening
 * packet is refused and any other dropped.
 */
void agent_pass_on(struct agent *agent, struct packet_header *header,
		   const struct inner_packet *packet, int64_t now_ms,
		   struct packet_sink *sink);

/** Gives @packet to our server, which may have the connection, as candidate
 * @position of @header. The server returns it when it has not. */
void agent_ask_server(struct agent *agent, struct packet_header *header,
		      const struct inner_packet *packet, int position,
		      int64_t now_ms, struct packet_sink *sink);

/** The header of a packet that our server returned, with its position. */
bool agent_read_mark(struct agent *agent, const struct inner_packet *packet,
		     struct packet_header *header);

/** What the server is to give back with @header's packet. */
uint32_t agent_make_mark(const struct agent *agent,
			 const struct packet_header *header,
			 const struct inner_packet *packet);

/**
 * Hands an opening packet to a candidate with clearly less load, or to the
 * one that got its first copy. Returns false when it is ours to admit.
 */
bool agent_place(struct agent *agent, struct packet_header *header,
		 const struct inner_packet *packet, int64_t now_ms,
		 struct packet_sink *sink);

/**
 * Hands an opening packet that would have to wait here to a candidate that is
 * known to have free slots. Returns false when there is none.
 */
bool agent_relieve(struct agent *agent, struct packet_header *header,
		   const struct inner_packet *packet, int64_t now_ms,
		   struct packet_sink *sink);

/** A header for @packet as if we were its first candidate; false without one.
 */
bool agent_own_header(struct agent *agent, const struct inner_packet *packet,
		      struct packet_header *header);

/** Sends a probe to the sender of the notice @header if it is deaf to us. */
void agent_probe_deaf(struct agent *agent, const struct packet_header *header,
		      int64_t now_ms, struct packet_sink *sink);

/** Counts a packet of @header for its sender, to be told in notices. */
void agent_count_sender(struct agent *agent,
			const struct packet_header *header);

/** Packets of @sender that were counted. */
uint32_t agent_packets_from(struct agent *agent, const struct endpoint *sender);

/** Takes the load that the sender of @header told. */
void agent_hear_load(struct agent *agent, const struct packet_header *header,
		     int64_t now_ms);

/** Compares our server's answers with those of the others of its service. */
void agent_compare_server(struct agent *agent, int64_t now_ms);

/** Tells the balancer of a packet that took detours that we own it. */
void agent_hint(struct agent *agent, const struct packet_header *header,
		const struct inner_packet *packet, struct packet_sink *sink);

/** Tells some peers our load when it is time. */
void agent_tell_load(struct agent *agent, int64_t now_ms,
		     struct packet_sink *sink);

#endif
