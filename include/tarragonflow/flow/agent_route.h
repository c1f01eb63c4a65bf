#ifndef TARRAGONFLOW_FLOW_AGENT_ROUTE_H
#define TARRAGONFLOW_FLOW_AGENT_ROUTE_H

#include "tarragonflow/flow/agent.h"

/**
 * Forwarding of packets that are not for the agent's own server: along the
 * chain in their header, to a less loaded candidate, and to members that are
 * not in the chain but in the agent's view.
 */

/**
 * Forwards the packet to the next candidate that has not received it. After
 * the last candidate the chain is recomputed from this agent's view, and the
 * search may continue in other services. When no candidate is left, a SYN is
 * refused or dropped. Any other packet is dropped, or its caller gets a RST if
 * certainly no server has the connection.
 */
void agent_forward(struct agent *agent, struct packet_header *header,
		   const struct inner_packet *packet, int64_t now_ms,
		   struct packet_sink *sink);

/**
 * Records in @header that the search for the owner of @packet is inconclusive,
 * and logs the @reason the first time; @member_id is the agent that caused it,
 * or 0.
 */
void agent_doubt_search(struct agent *agent, struct packet_header *header,
			const struct inner_packet *packet, uint32_t member_id,
			const char *reason, struct packet_sink *sink);

/**
 * Marks the search in @header as inconclusive if it began with another
 * configuration than this agent has: by that one it may have been through other
 * services than this agent would search.
 */
void agent_compare_configuration(const struct agent *agent,
				 struct packet_header *header);

/**
 * Forwards a SYN to a candidate with clearly less load, or a retransmission to
 * the candidate that received the first copy. Returns false when this agent is
 * to handle the SYN itself.
 */
bool agent_redirect_syn(struct agent *agent, struct packet_header *header,
			const struct inner_packet *packet, int64_t now_ms,
			struct packet_sink *sink);

/**
 * Forwards a SYN that would wait here until its caller times out in
 * @time_left_ms. It goes to the candidate with the least known load, if that
 * one is expected to run it in time; else to one that may be cold or have
 * restarted; a retransmission to any of the chain, as one may have accepted an
 * earlier copy, then back to one that has free slots now. Returns false when
 * there is none.
 */
bool agent_forward_syn_in_time(struct agent *agent,
			       struct packet_header *header,
			       const struct inner_packet *packet,
			       int64_t time_left_ms, int64_t now_ms,
			       struct packet_sink *sink);

/**
 * Forwards a SYN that would have to wait at this agent to a candidate whose
 * latest load report shows free slots. Returns false without such a candidate.
 */
bool agent_offload_syn(struct agent *agent, struct packet_header *header,
		       const struct inner_packet *packet, int64_t now_ms,
		       struct packet_sink *sink);

/**
 * Sends an owner hint to the balancer of @packet, if other agents forwarded the
 * packet before it reached this agent, whose server has the connection. The
 * balancer then sends later packets to this agent directly.
 */
void agent_send_owner_hint(struct agent *agent,
			   const struct packet_header *header,
			   const struct inner_packet *packet,
			   struct packet_sink *sink);

#endif
