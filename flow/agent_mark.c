#include "tarragonflow/flow/agent_mark.h"

#include <glib.h>
#include <string.h>

int agent_index_of(const struct packet_header *header, uint32_t member_id)
{
	for (int i = 0; i < header->n_candidates; i++)
		if (header->candidates[i].member_id == member_id)
			return i;
	return NO_CANDIDATE;
}

/*
 * The mark: whether the chain is not the one of our own view, services tried,
 * doubt, whether the servers of unsure candidates are asked, a check on the
 * chain, hops, candidates visited and unsure. The latter mean nothing in
 * another chain, so there the search of the service starts anew from the
 * agent whose server returned the packet.
 */
#define MARK_CHECK_BITS 3
#define MARK_HOPS_BITS 6
#define MARK_CHAIN_BITS 8
#define MARK_SERVICES_BITS 4

/* Tells most chains from one another. */
static uint32_t chain_check(const struct packet_header *header)
{
	uint32_t sum = header->n_candidates;

	for (int i = 0; i < header->n_candidates; i++)
		sum = sum * 31 + header->candidates[i].member_id;
	return sum >> (32 - MARK_CHECK_BITS);
}

/* Whether the candidates are, in order, those of our own view. */
static bool is_own_chain(const struct agent *agent,
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
	uint32_t hops = MIN(header->hops_left, (1U << MARK_HOPS_BITS) - 1);
	uint32_t mark = !is_own_chain(agent, header, packet);

	mark = mark << MARK_SERVICES_BITS | header->services_tried;
	mark = mark << 1 | header->doubt;
	mark = mark << 1 | header->asking;
	mark = mark << MARK_CHECK_BITS | chain_check(header);
	mark = mark << MARK_HOPS_BITS | hops;
	mark = mark << MARK_CHAIN_BITS | header->visited;
	mark = mark << MARK_CHAIN_BITS | header->unsure;
	return mark;
}

static uint32_t mark_take(uint32_t *mark, unsigned int bits)
{
	uint32_t value = *mark & ((1U << bits) - 1);

	*mark >>= bits;
	return value;
}

/* Begins the search through our service anew, with us as visited. */
static void begin_here(const struct agent *agent, struct packet_header *header)
{
	const struct candidate *self =
		view_find_member(agent->service, agent->member_id);
	int i = agent_index_of(header, agent->member_id);

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

bool agent_own_header(struct agent *agent, const struct inner_packet *packet,
		      struct packet_header *header)
{
	const struct service_view *service = agent->service;

	if (!service || !service->n_members)
		return false;
	memset(header, 0, sizeof(*header));
	header->hops_left = PACKET_HOP_BUDGET - 1;
	header->service_id = agent->service_id;
	header->config_revision = (uint64_t)agent->view->config_revision;
	header->roster_version = agent->view->roster_version;
	header->from = PACKET_FROM_OUTSIDE;
	header->placed = true;
	header->bucket = view_bucket_of(agent->view, service, &packet->key);
	view_fill_chain(service, header->bucket, header);
	begin_here(agent, header);
	return true;
}

bool agent_read_mark(struct agent *agent, const struct inner_packet *packet,
		     struct packet_header *header)
{
	uint32_t mark = packet->mark;
	uint32_t unsure, visited_before, check;
	bool asking;

	if (!agent_own_header(agent, packet, header))
		return false;
	unsure = mark_take(&mark, MARK_CHAIN_BITS);
	visited_before = mark_take(&mark, MARK_CHAIN_BITS);
	header->hops_left = (uint8_t)mark_take(&mark, MARK_HOPS_BITS);
	check = mark_take(&mark, MARK_CHECK_BITS);
	asking = mark_take(&mark, 1);
	header->doubt = mark_take(&mark, 1);
	header->services_tried = (uint8_t)mark_take(&mark, MARK_SERVICES_BITS);
	if (mark || check != chain_check(header) ||
	    header->candidates[header->position].member_id != agent->member_id)
		return true;
	header->unsure = (uint8_t)unsure;
	header->visited = (uint8_t)visited_before;
	header->asking = asking;
	return true;
}
