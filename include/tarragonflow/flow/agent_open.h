#ifndef TARRAGONFLOW_FLOW_AGENT_OPEN_H
#define TARRAGONFLOW_FLOW_AGENT_OPEN_H

#include "tarragonflow/flow/agent.h"

/**
 * New connections at an agent: whether its server takes one now, whether the
 * opening packet waits for a slot, goes to another server or is refused; and
 * what is handed to the server on the way.
 */

/** Gives @packet to our server, which owes something for it from now on. */
void agent_deliver(struct agent *agent, const struct packet_header *header,
		   const struct inner_packet *packet, int64_t now_ms,
		   struct packet_sink *sink);

/** Gives @packet to our server, which may have the connection, as candidate
 * @position of @header. The server returns it when it has not. */
void agent_ask_server(struct agent *agent, struct packet_header *header,
		      const struct inner_packet *packet, int position,
		      int64_t now_ms, struct packet_sink *sink);

/** Makes the local server give up a handshake that the caller gave up. */
void agent_reset_server(struct agent *agent, const struct flow *flow,
			struct packet_sink *sink);

/** Opens the connection of @packet here, lets it wait or passes it on. */
void agent_handle_open(struct agent *agent, struct packet_header *header,
		       const struct inner_packet *packet, int64_t now_ms,
		       struct packet_sink *sink);

/** Opens connections for those that wait, as far as slots are free. */
void agent_serve_waiting(struct agent *agent, int64_t now_ms,
			 struct packet_sink *sink);

#endif
