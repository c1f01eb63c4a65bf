#ifndef TARRAGONFLOW_FLOW_AGENT_LOAD_REPORT_H
#define TARRAGONFLOW_FLOW_AGENT_LOAD_REPORT_H

#include "tarragonflow/flow/agent.h"

/**
 * Load reports from agents to balancers and other agents. They contain the load
 * and the mean response time of the sender's server, and the number of packets
 * that the sender has received from the receiver of the report. Load reports
 * also serve as heartbeats.
 */

/** An agent counts as unreachable after this many missing load reports. */
#define AGENT_MISSED_LOAD_REPORTS_MAX 3

/**
 * Load of this agent's server; PACKET_LOAD_FULL when the server may not get
 * new connections.
 */
uint16_t agent_own_load(const struct agent *agent, int64_t now_ms);

/** Writes the load and response time of this agent's server to @header. */
void agent_write_load(struct agent *agent, struct packet_header *header,
		      int64_t now_ms);

/**
 * Whether this agent's server accepts so few connections that selecting servers
 * at random would leave the load uneven.
 */
bool agent_server_is_small(const struct agent *agent);

/** Records the load and response time that the sender wrote to @header. */
void agent_record_peer_load(struct agent *agent,
			    const struct packet_header *header, int64_t now_ms);

/**
 * Compares the response time of this agent's server with those of the other
 * servers of the service. Logs when it becomes slower than them or recovers.
 */
void agent_compare_with_peers(struct agent *agent, int64_t now_ms);

/**
 * Sends a probe to the sender of the load report @header if that sender does
 * not seem to receive packets from this agent.
 */
void agent_probe_if_unreachable(struct agent *agent,
				const struct packet_header *header,
				int64_t now_ms, struct packet_sink *sink);

/** Counts a received packet for its sender, for load reports to it. */
void agent_count_received(struct agent *agent,
			  const struct packet_header *header);

/** Number of packets received from @sender. */
uint32_t agent_packets_from(struct agent *agent, const struct endpoint *sender);

/** Sends load reports to other agents and balancers when they are due. */
void agent_send_load_reports(struct agent *agent, int64_t now_ms,
			     struct packet_sink *sink);

#endif
