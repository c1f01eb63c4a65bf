#ifndef TARRAGONFLOW_FLOW_AGENT_SYN_H
#define TARRAGONFLOW_FLOW_AGENT_SYN_H

#include "tarragonflow/flow/agent.h"

/**
 * Opening of connections at an agent. A SYN is delivered to the agent's server,
 * queued until the server has a free slot, forwarded to another agent, or
 * refused. Also contains the functions that send packets to the server.
 */

/**
 * Delivers @packet to the server. After SYNs and data, the server is expected
 * to respond.
 */
void agent_deliver(struct agent *agent, const struct packet_header *header,
		   const struct inner_packet *packet, int64_t now_ms,
		   struct packet_sink *sink);

/**
 * Delivers @packet, whose connection is not in the flow table, as a query to
 * the server: a server that does not have the connection returns the packet.
 * This agent is candidate @position of @header.
 */
void agent_query_server(struct agent *agent, struct packet_header *header,
			const struct inner_packet *packet, int position,
			int64_t now_ms, struct packet_sink *sink);

/** Sends a RST to the server for a handshake that the caller abandoned. */
void agent_reset_server(struct agent *agent, const struct flow *flow,
			struct packet_sink *sink);

/** Handles a SYN: opens the connection, queues or forwards @packet. */
void agent_handle_syn(struct agent *agent, struct packet_header *header,
		      const struct inner_packet *packet, int64_t now_ms,
		      struct packet_sink *sink);

/** Opens connections for waiting SYNs while the server has free slots. */
void agent_admit_waiting_syns(struct agent *agent, int64_t now_ms,
			      struct packet_sink *sink);

/** Identifies the connection attempt of the SYN @packet; equal for all
 * retransmissions of it. */
uint64_t agent_attempt_id(const struct inner_packet *packet);

#endif
