#ifndef TARRAGONFLOW_FLOW_AGENT_ROUTE_H
#define TARRAGONFLOW_FLOW_AGENT_ROUTE_H

#include "tarragonflow/flow/agent.h"

/**
 * Where an agent sends what it does not keep: along the chain, to a less
 * loaded candidate, and to the members that the sender did not know.
 */

/**
 * Sends the packet to the next candidate that did not have it. After the
 * last one the chain is resolved again from our own view; then an opening
 * packet is refused and any other dropped.
 */
void agent_pass_on(struct agent *agent, struct packet_header *header,
		   const struct inner_packet *packet, int64_t now_ms,
		   struct packet_sink *sink);

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

/** Tells the balancer of a packet that took detours that we own it. */
void agent_hint(struct agent *agent, const struct packet_header *header,
		const struct inner_packet *packet, struct packet_sink *sink);

#endif
