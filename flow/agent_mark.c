#include "tarragonflow/flow/agent_mark.h"

#include <glib.h>
#include <string.h>

int agent_candidate_index(const struct packet_header *header,
			  uint32_t member_id)
{
	for (int i = 0; i < header->n_candidates; i++)
		if (header->candidates[i].member_id == member_id)
			return i;
	return NO_CANDIDATE;
}

/*
 * Fields of the mark, from the highest bit: whether the chain differs from that
 * of this agent's view, then the fields `services_tried`, `doubt`, `asking` of
 * the packet header, a checksum of the chain, and the header's `hops_left`,
 * `visited` and `unsure`. `visited` and `unsure` are bit masks over the chain
 * and do not fit another one. If the agent's view has another chain when the
 * server returns the packet, the search of the service restarts at this agent.
 */
#define MARK_CHECKSUM_BITS 3
/* Remaining hops are rounded down to a multiple of MARK_HOPS_UNIT. */
#define MARK_HOPS_BITS 6
#define MARK_HOPS_UNIT 4
#define MARK_CANDIDATES_BITS 8
#define MARK_SERVICES_BITS 4

/* A short hash that differs for most pairs of chains. */
static uint32_t chain_checksum(const struct packet_header *header)
{
	uint32_t hash = header->n_candidates;

	for (int i = 0; i < header->n_candidates; i++)
		hash = hash * 31 + header->candidates[i].member_id;
	return hash >> (32 - MARK_CHECKSUM_BITS);
}

/* Whether the chain of @header is that of this agent's view. */
static bool is_chain_of_own_view(const struct agent *agent,
				 const struct packet_header *header,
				 const struct inner_packet *packet)
{
	const struct service_view *service = agent->service;

	return service && header->service_id == agent->service_id &&
	       view_chain_matches(
		       service,
		       view_bucket_of(agent->view, service, &packet->key),
		       header) &&
	       header->candidates[header->position].member_id ==
		       agent->member_id;
}

uint32_t agent_make_mark(const struct agent *agent,
			 const struct packet_header *header,
			 const struct inner_packet *packet)
{
	uint32_t hops = MIN(header->hops_left / MARK_HOPS_UNIT,
			    (1U << MARK_HOPS_BITS) - 1);
	uint32_t mark = !is_chain_of_own_view(agent, header, packet);

	mark = mark << MARK_SERVICES_BITS | header->services_tried;
	mark = mark << 1 | header->doubt;
	mark = mark << 1 | header->asking;
	mark = mark << MARK_CHECKSUM_BITS | chain_checksum(header);
	mark = mark << MARK_HOPS_BITS | hops;
	mark = mark << MARK_CANDIDATES_BITS | header->visited;
	mark = mark << MARK_CANDIDATES_BITS | header->unsure;
	return mark;
}

/* Removes the field in the lowest @n_bits bits of @mark. */
static uint32_t pop_mark_field(uint32_t *mark, unsigned int n_bits)
{
	uint32_t field = *mark & ((1U << n_bits) - 1);

	*mark >>= n_bits;
	return field;
}

/* Restarts the search of this agent's service, with this agent as the current
 * candidate. */
static void restart_search(const struct agent *agent,
			   struct packet_header *header)
{
	const struct candidate *self =
		view_find_member(agent->service, agent->member_id);
	int i = agent_candidate_index(header, agent->member_id);

	if (i == NO_CANDIDATE) {
		i = header->n_candidates - 1;
		if (self)
			header->candidates[i] = *self;
	}
	header->position = (uint8_t)i;
	header->visited = 0;
	header->unsure = 0;
	header->asking = false;
}

bool agent_init_header(struct agent *agent, const struct inner_packet *packet,
		       struct packet_header *header)
{
	const struct service_view *service = agent->service;

	if (!service || !service->n_members)
		return false;
	memset(header, 0, sizeof(*header));
	header->hops_left = PACKET_HOP_BUDGET - 1;
	header->service_id = agent->service_id;
	header->config_revision = (uint64_t)agent->view->config_revision;
	header->agents_digest = agent->view->agents_digest;
	header->from = PACKET_FROM_OUTSIDE;
	header->placed = true;
	header->bucket = view_bucket_of(agent->view, service, &packet->key);
	view_fill_chain(service, header->bucket, header);
	restart_search(agent, header);
	return true;
}

bool agent_read_mark(struct agent *agent, const struct inner_packet *packet,
		     struct packet_header *header)
{
	uint32_t mark = packet->mark;
	uint32_t unsure, visited, checksum;
	bool queries_server;

	if (!agent_init_header(agent, packet, header))
		return false;
	unsure = pop_mark_field(&mark, MARK_CANDIDATES_BITS);
	visited = pop_mark_field(&mark, MARK_CANDIDATES_BITS);
	header->hops_left = (uint8_t)(pop_mark_field(&mark, MARK_HOPS_BITS) *
				      MARK_HOPS_UNIT);
	checksum = pop_mark_field(&mark, MARK_CHECKSUM_BITS);
	queries_server = pop_mark_field(&mark, 1);
	header->doubt = pop_mark_field(&mark, 1);
	header->services_tried =
		(uint8_t)pop_mark_field(&mark, MARK_SERVICES_BITS);
	if (mark || checksum != chain_checksum(header) ||
	    header->candidates[header->position].member_id != agent->member_id)
		return true;
	header->unsure = (uint8_t)unsure;
	header->visited = (uint8_t)visited;
	header->asking = queries_server;
	return true;
}
