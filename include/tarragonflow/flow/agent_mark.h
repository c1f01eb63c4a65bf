#ifndef TARRAGONFLOW_FLOW_AGENT_MARK_H
#define TARRAGONFLOW_FLOW_AGENT_MARK_H

#include "tarragonflow/flow/agent.h"

/**
 * The mark: a packet field in which the agent writes the state of the search
 * for a packet's owner when it delivers the packet. A backend server that does
 * not have the connection returns the packet with the mark, and the agent
 * continues the search from that state.
 */

/** Stands for the index of a candidate when there is none. */
#define NO_CANDIDATE (-1)

/** Index of the candidate @member_id in @header, or NO_CANDIDATE. */
int agent_candidate_index(const struct packet_header *header,
			  uint32_t member_id);

/**
 * Restores the header of a packet that the server returned from its mark.
 * Returns false when the agent has no service or the service no members.
 */
bool agent_read_mark(struct agent *agent, const struct inner_packet *packet,
		     struct packet_header *header);

/** Encodes the search state in @header as the mark for @packet. */
uint32_t agent_make_mark(const struct agent *agent,
			 const struct packet_header *header,
			 const struct inner_packet *packet);

/**
 * Initializes @header for @packet with the chain of this agent's view and this
 * agent as the current candidate. Returns false when the agent has no service
 * or the service no members.
 */
bool agent_init_header(struct agent *agent, const struct inner_packet *packet,
		       struct packet_header *header);

#endif
