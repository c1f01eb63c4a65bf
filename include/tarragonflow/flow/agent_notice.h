#ifndef TARRAGONFLOW_FLOW_AGENT_NOTICE_H
#define TARRAGONFLOW_FLOW_AGENT_NOTICE_H

#include "tarragonflow/flow/agent.h"

/**
 * What agents tell balancers and one another, and what they hear: their load,
 * that they run, how long their servers take, and how many packets of each
 * process they had.
 */

/** Agents that miss so many notices in a row are passed over. */
#define AGENT_SILENT_NOTICES 3

/** Our load; a server that may not open connections counts as full. */
uint16_t agent_own_load(const struct agent *agent, int64_t now_ms);

/** Puts our load and the time of our server's answers into @header. */
void agent_stamp_load(struct agent *agent, struct packet_header *header,
		      int64_t now_ms);

/** Whether the server carries so few connections that chance weighs more. */
bool agent_has_few(const struct agent *agent);

/** Takes the load that the sender of @header told. */
void agent_hear_load(struct agent *agent, const struct packet_header *header,
		     int64_t now_ms);

/** Compares our server's answers with those of the others of its service. */
void agent_compare_server(struct agent *agent, int64_t now_ms);

/** Sends a probe to the sender of the notice @header if it is deaf to us. */
void agent_probe_deaf(struct agent *agent, const struct packet_header *header,
		      int64_t now_ms, struct packet_sink *sink);

/** Counts a packet of @header for its sender, to be told in notices. */
void agent_count_sender(struct agent *agent,
			const struct packet_header *header);

/** Packets of @sender that were counted. */
uint32_t agent_packets_from(struct agent *agent, const struct endpoint *sender);

/** Tells peers and balancers our load when it is time. */
void agent_tell_load(struct agent *agent, int64_t now_ms,
		     struct packet_sink *sink);

#endif
