#ifndef TARRAGONFLOW_FLOW_AGENT_OPEN_H
#define TARRAGONFLOW_FLOW_AGENT_OPEN_H

#include "tarragonflow/flow/agent.h"

/**
 * Opening of connections at an agent. A SYN is delivered to the agent's server,
 * queued until the server has a free slot, forwarded to another agent, or
 * refused. Also the delivery of packets to the server.
 */

/** Delivers @packet to the server; SYNs and data then await an answer. */
void agent_deliver(struct agent *agent, const struct packet_header *header,
		   const struct inner_packet *packet, int64_t now_ms,
		   struct packet_sink *sink);

/**
 * Delivers @packet, of a connection that is not in the flow table, to the
 * server to find out whether it has the connection; otherwise the server
 * returns the packet. This agent is candidate @position of @header.
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

/** Opens connections for queued SYNs while the server has free slots. */
void agent_admit_waiting(struct agent *agent, int64_t now_ms,
			 struct packet_sink *sink);

#endif
