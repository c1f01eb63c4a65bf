#ifndef TARRAGONFLOW_FLOW_AGENT_ROUTE_H
#define TARRAGONFLOW_FLOW_AGENT_ROUTE_H

#include "tarragonflow/flow/agent.h"

/**
 * Forwarding of packets that do not belong to the agent's own server: along
 * the chain, to a less loaded candidate, and to members that are only in the
 * agent's own view.
 */

/**
 * Forwards the packet to the next candidate that has not received it. After
 * the last candidate the chain is resolved again from this agent's view, and
 * the search may go on in other services. When that leads nowhere a SYN is
 * refused or dropped; any other packet is dropped, or answered by a RST if
 * certainly no server has its connection.
 */
void agent_forward(struct agent *agent, struct packet_header *header,
		   const struct inner_packet *packet, int64_t now_ms,
		   struct packet_sink *sink);

/**
 * Forwards a SYN to a candidate with clearly less load, or, if the SYN is
 * retransmitted, to the one that received the first copy. Returns false when
 * this agent is to handle it.
 */
bool agent_redirect_syn(struct agent *agent, struct packet_header *header,
			const struct inner_packet *packet, int64_t now_ms,
			struct packet_sink *sink);

/**
 * Forwards a SYN that would have to be queued here to a candidate that lately
 * reported free slots. Returns false when there is none.
 */
bool agent_offload_syn(struct agent *agent, struct packet_header *header,
		       const struct inner_packet *packet, int64_t now_ms,
		       struct packet_sink *sink);

/**
 * Sends an owner hint to the balancer of a packet that was forwarded by other
 * agents before it reached this one, which owns the connection. The balancer
 * then sends later packets directly.
 */
void agent_send_owner_hint(struct agent *agent,
			   const struct packet_header *header,
			   const struct inner_packet *packet,
			   struct packet_sink *sink);

#endif
