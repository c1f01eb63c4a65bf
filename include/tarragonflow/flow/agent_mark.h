#ifndef TARRAGONFLOW_FLOW_AGENT_MARK_H
#define TARRAGONFLOW_FLOW_AGENT_MARK_H

#include "tarragonflow/flow/agent.h"

/**
 * The mark: search state in a packet field that a backend server sends back
 * with a packet whose connection it does not have. With it the agent continues
 * the search where it was.
 */

/** Candidate index of "none". */
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

/** Encodes the search state of @header as the mark of @packet. */
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
