#ifndef TARRAGONFLOW_FLOW_AGENT_NOTICE_H
#define TARRAGONFLOW_FLOW_AGENT_NOTICE_H

#include "tarragonflow/flow/agent.h"

/**
 * Load notices from agents to balancers and other agents. A notice reports the
 * load and the mean answer time of the sender's server and the number of
 * packets that the sender got from the receiver. It also is a keepalive.
 */

/** Agents whose last so many notices are missing count as unreachable. */
#define AGENT_MISSED_NOTICES 3

/**
 * Load of this agent's server; PACKET_LOAD_FULL when the server may not get
 * new connections.
 */
uint16_t agent_own_load(const struct agent *agent, int64_t now_ms);

/** Writes the load and answer time of this agent's server to @header. */
void agent_write_load(struct agent *agent, struct packet_header *header,
		      int64_t now_ms);

/**
 * Whether the server's connection limit is so small that random placement
 * would leave the load uneven.
 */
bool agent_server_is_small(const struct agent *agent);

/** Records the load and answer time that the sender put in @header. */
void agent_receive_load(struct agent *agent, const struct packet_header *header,
			int64_t now_ms);

/**
 * Compares the server's answer time with those of the other servers of its
 * service, and logs when it becomes slower than them or recovers.
 */
void agent_compare_server(struct agent *agent, int64_t now_ms);

/**
 * Sends a probe to the sender of the notice @header if that sender does not
 * receive packets from this agent.
 */
void agent_probe_unreachable(struct agent *agent,
			     const struct packet_header *header, int64_t now_ms,
			     struct packet_sink *sink);

/** Counts a received packet for its sender, for the next notice to it. */
void agent_count_received(struct agent *agent,
			  const struct packet_header *header);

/** Number of packets received from @sender. */
uint32_t agent_packets_from(struct agent *agent, const struct endpoint *sender);

/** Sends load notices to other agents and balancers when they are due. */
void agent_send_notices(struct agent *agent, int64_t now_ms,
			struct packet_sink *sink);

#endif
