#ifndef TARRAGONFLOW_FLOW_AGENT_MARK_H
#define TARRAGONFLOW_FLOW_AGENT_MARK_H

#include "tarragonflow/flow/agent.h"

/**
 * The state of a search in the field that a backend server gives back with a
 * packet that it does not have, so that the search goes on where it was.
 */

/** No candidate of a header. */
#define NO_CANDIDATE (-1)

/** The candidate of @header that is @member_id, or NO_CANDIDATE. */
int agent_index_of(const struct packet_header *header, uint32_t member_id);

/** The header of a packet that our server returned, with its position. */
bool agent_read_mark(struct agent *agent, const struct inner_packet *packet,
		     struct packet_header *header);

/** What the server is to give back with @header's packet. */
uint32_t agent_make_mark(const struct agent *agent,
			 const struct packet_header *header,
			 const struct inner_packet *packet);

/** A header for @packet as if we were its first candidate; false without one.
 */
bool agent_own_header(struct agent *agent, const struct inner_packet *packet,
		      struct packet_header *header);

#endif
