#include "tarragonflow/flow/agent_route.h"

#include "tarragonflow/flow/agent_flow.h"
#include "tarragonflow/flow/agent_mark.h"
#include "tarragonflow/flow/agent_notice.h"
#include "tarragonflow/flow/agent_open.h"

#include <glib.h>
#include <string.h>

/* A peer is clearly better when it has this share less, 1/80. */
#define MARGIN_SHARE 80
/* Detours after which a balancer is told the owner. */
#define HINT_HOPS 1
#define HASH_HIGH_SHIFT 32
/* Services that a search goes through; the header counts to this. */
#define SERVICES_SEARCHED_MAX 15
/* Most slots are free: an opening packet need not wait there. */
#define RELIEF_LOAD (ADMIT_LOAD_SLOTS_FULL * 7 / 10)
/* What one that was handed over adds until its receiver tells. */
#define PLACED_LOAD (ADMIT_LOAD_SLOTS_FULL / 8)

static void count(struct agent *agent, enum counter_id id)
{
	counter_inc(agent->counters, id);
}

static bool visited(const struct packet_header *header, int i)
{
	return header->visited & (1U << i);
}

static bool is_self(const struct agent *agent,
		    const struct packet_header *header, int i)
{
	return header->service_id == agent->service_id &&
	       header->candidates[i].member_id == agent->member_id;
}

static void send_to(struct agent *agent, struct packet_header *header, int i,
		    const struct inner_packet *packet, int64_t now_ms,
		    struct packet_sink *sink)
{
	const struct candidate *next = &header->candidates[i];
	bool opens = inner_opens(packet);

	if (!header->hops_left) {
		count(agent, COUNTER_DROP_HOPS);
		return;
	}
	header->hops_left--;
	header->position = (uint8_t)i;
	agent_stamp_load(agent, header, now_ms);
	if (opens)
		open_memory_put(&agent->handed_on, packet, next->member_id,
				now_ms);
	count(agent, opens ? COUNTER_OPEN_HANDED_ON : COUNTER_PACKET_HANDED_ON);
	if (opens)
		agent_decided(agent, DECISION_OPEN_PASSED, packet,
			      next->member_id, NULL, sink);
	/* Who is not told who sends it counts it for another. */
	if (header->from < header->n_candidates &&
	    is_self(agent, header, header->from))
		peer_load_sent(&agent->peers, next->member_id, now_ms);
	sink->to_peer(sink, &next->data, header, packet->data, packet->len);
}

/* Of those that take new connections, the one with the least known load. */
static int next_taker(const struct agent *agent,
		      const struct packet_header *header, int64_t now_ms)
{
	int best = NO_CANDIDATE;
	uint16_t best_load = PACKET_LOAD_FULL;

	for (int i = 0; i < header->n_candidates; i++) {
		const struct candidate *candidate = &header->candidates[i];
		uint16_t load = peer_load_of(&agent->peers,
					     candidate->member_id, now_ms);

		if (visited(header, i) ||
		    !(candidate->flags & CANDIDATE_TAKES_NEW) ||
		    (best != NO_CANDIDATE && load >= best_load))
			continue;
		best = i;
		best_load = load;
	}
	return best;
}

/* Where agents tell one another that they run, a silent one is out of reach. */
static bool reaches(struct agent *agent, const struct packet_header *header,
		    int i, int64_t now_ms)
{
	uint32_t id = header->candidates[i].member_id;

	if (!agent->tells_balancers || id == agent->member_id)
		return true;
	return peer_load_silent_ms(&agent->peers, id, now_ms) <
		       AGENT_SILENT_NOTICES *
			       agent->view->peer_heartbeat_interval_ms &&
	       !peer_load_deaf(&agent->peers, id, now_ms);
}

/* The next candidate that had no copy and is in reach. */
static int next_unvisited(struct agent *agent,
			  const struct packet_header *header, int64_t now_ms)
{
	for (int i = 0; i < header->n_candidates; i++)
		if (!visited(header, i) && reaches(agent, header, i, now_ms))
			return i;
	return NO_CANDIDATE;
}

static uint8_t all_candidates(const struct packet_header *header)
{
	return (uint8_t)((1U << header->n_candidates) - 1);
}

static bool all_visited(const struct packet_header *header)
{
	return !((uint8_t)~header->visited & all_candidates(header));
}

/*
 * The candidates that are left are out of our reach: whoever sent us the packet
 * may reach them. That happens once to each agent, which is marked as visited
 * when the packet comes again.
 */
static int back_to_sender(struct agent *agent,
			  const struct packet_header *header, uint8_t sender,
			  int64_t now_ms)
{
	if (all_visited(header) || sender >= header->n_candidates ||
	    sender == header->position ||
	    !reaches(agent, header, sender, now_ms))
		return NO_CANDIDATE;
	return sender;
}

/*
 * Nobody reaches those that are left. However long they are silent, they may
 * be cut off and have the connection; only the roster tells that one has left.
 */
static void pass_over(struct packet_header *header)
{
	if (all_visited(header))
		return;
	header->visited = all_candidates(header);
	header->doubt = true;
}

/* Draining candidates come last: they may hold the first copy of a SYN. */
static int next_candidate(struct agent *agent, struct packet_header *header,
			  bool opens, int64_t now_ms)
{
	int next = opens ? next_taker(agent, header, now_ms) : NO_CANDIDATE;

	return next == NO_CANDIDATE ? next_unvisited(agent, header, now_ms)
				    : next;
}

static bool has_suspect(const struct agent *agent)
{
	for (size_t i = 0; i < agent->service->n_members; i++)
		if (agent->service->members[i].flags & CANDIDATE_SUSPECT)
			return true;
	return false;
}

/*
 * Whether no server that lives has the connection of @packet, whose search
 * has ended: every agent was asked, each knew all connections of its server
 * or had the server itself say so, none is hidden from the search, and all
 * that passed it on had the same services. Only what a caller waits for is
 * worth a reset.
 */
static bool nobody_has(const struct agent *agent,
		       const struct packet_header *header,
		       const struct inner_packet *packet)
{
	const struct view *view = agent->view;

	return agent->server.required && packet->payload_len &&
	       !header->doubt && view->n_services <= SERVICES_SEARCHED_MAX &&
	       header->services_tried >= view->n_services;
}

/*
 * Nobody is left to ask. The caller is told so only when every member of a
 * view that is not older than the sender's was asked; otherwise it repeats.
 */
static void give_up(struct agent *agent, const struct packet_header *header,
		    const struct inner_packet *packet, bool asked_all,
		    struct packet_sink *sink)
{
	if (!inner_opens(packet)) {
		if (asked_all && nobody_has(agent, header, packet)) {
			count(agent, COUNTER_RESET_NO_OWNER);
			agent_decided(agent, DECISION_RESET_NO_OWNER, packet, 0,
				      NULL, sink);
			agent_reset_caller(agent, packet, sink);
		} else {
			count(agent, COUNTER_DROP_NO_OWNER);
			agent_decided(agent, DECISION_SEARCH_ENDED, packet, 0,
				      header->doubt ? "doubt" : "unsure", sink);
		}
		return;
	}
	if (!asked_all || has_suspect(agent) ||
	    (uint64_t)agent->view->config_revision < header->config_revision) {
		count(agent, COUNTER_DROP_OPEN_UNSURE);
		agent_decided(agent, DECISION_SEARCH_ENDED, packet, 0, "unsure",
			      sink);
		return;
	}
	/* Its TCP repeats the packet, by then there may be room. */
	if (header->warming) {
		count(agent, COUNTER_DROP_OPEN_WARMING);
		agent_decided(agent, DECISION_SEARCH_ENDED, packet, 0,
			      "warming", sink);
		return;
	}
	count(agent, COUNTER_REFUSE_NO_ROOM);
	agent_decided(agent, DECISION_OPEN_REFUSED, packet, 0, "no-room", sink);
	agent_reset_caller(agent, packet, sink);
}

/*
 * Goes on to a service that was not searched yet: the connection may have
 * been opened when the route led elsewhere.
 */
static bool next_service(struct agent *agent, struct packet_header *header,
			 const struct inner_packet *packet)
{
	const struct route_view *route =
		view_find_route(agent->view, &packet->key);
	const struct service_view *first, *next;

	if (!route || !agent->server.required || inner_opens(packet))
		return false;
	first = view_select_service(agent->view, route, &packet->key);
	while (header->services_tried <
	       MIN(agent->view->n_services, SERVICES_SEARCHED_MAX)) {
		next = &agent->view->services[header->services_tried++];
		/* Without a chain nobody is asked, though some may have it. */
		if (next != first && !next->n_members &&
		    view_searchable_count(next))
			header->doubt = true;
		if (next == first || !next->n_members)
			continue;
		header->service_id = next->service.id;
		header->bucket =
			view_bucket_of(agent->view, next, &packet->key);
		view_fill_chain(next, header->bucket, header);
		header->visited = 0;
		header->unsure = 0;
		header->asking = false;
		header->resolves = 0;
		header->from = PACKET_FROM_OUTSIDE;
		return true;
	}
	return false;
}

/*
 * Whether a chain of our own view replaced the used one. When not, the service
 * is searched to its end, and doubt stays where that end says little: the
 * search was cut short, or our view may lack members.
 */
static bool resolve_again(struct agent *agent, struct packet_header *header,
			  bool *asked_all)
{
	*asked_all = false;
	if (!agent->service || header->service_id != agent->service_id ||
	    header->resolves >= PACKET_RESOLVES_MAX) {
		header->doubt = true;
		return false;
	}
	if (!agent->searches_left) {
		count(agent, COUNTER_DROP_SEARCH_LIMIT);
		header->doubt = true;
		return false;
	}
	agent->searches_left--;
	if (!view_resolve_chain(agent->service, header)) {
		*asked_all = true;
		header->doubt |= !agent->view->roster_complete ||
				 view_excludes_members(agent->view);
		return false;
	}
	count(agent, COUNTER_CHAIN_RESOLVED);
	return true;
}

/* Once all agents were asked, the servers of those that may not know are. */
static int next_unsure(struct packet_header *header)
{
	for (int i = 0; i < header->n_candidates; i++) {
		if (!(header->unsure & (1U << i)))
			continue;
		header->asking = true;
		header->unsure &= (uint8_t) ~(1U << i);
		return i;
	}
	return NO_CANDIDATE;
}

void agent_pass_on(struct agent *agent, struct packet_header *header,
		   const struct inner_packet *packet, int64_t now_ms,
		   struct packet_sink *sink)
{
	const struct candidate *self = &header->candidates[header->position];
	bool opens = inner_opens(packet), asked_all;
	bool again = visited(header, header->position);
	uint8_t sender = header->from;
	int next;

	header->visited |= (uint8_t)(1U << header->position);
	header->from = self->member_id == agent->member_id
			       ? header->position
			       : PACKET_FROM_OUTSIDE;
	next = next_candidate(agent, header, opens, now_ms);
	if (next == NO_CANDIDATE && !opens && !again)
		next = back_to_sender(agent, header, sender, now_ms);
	if (next == NO_CANDIDATE)
		pass_over(header);
	if (next == NO_CANDIDATE && !opens)
		next = next_unsure(header);
	if (next == NO_CANDIDATE && (resolve_again(agent, header, &asked_all) ||
				     next_service(agent, header, packet))) {
		next = next_candidate(agent, header, opens, now_ms);
		if (next == NO_CANDIDATE)
			pass_over(header);
	}
	if (next == NO_CANDIDATE)
		give_up(agent, header, packet, asked_all, sink);
	else if (is_self(agent, header, next))
		agent_ask_server(agent, header, packet, next, now_ms, sink);
	else
		send_to(agent, header, next, packet, now_ms, sink);
}

/* Sends a repeated SYN the way of its first copy; false when that is gone. */
static bool place_repeat(struct agent *agent, struct packet_header *header,
			 const struct inner_packet *packet, uint32_t member_id,
			 int64_t now_ms, struct packet_sink *sink)
{
	int i = agent_index_of(header, member_id);

	if (i != NO_CANDIDATE &&
	    (header->candidates[i].flags & CANDIDATE_SUSPECT))
		return false;
	count(agent, COUNTER_OPEN_REPEATED);
	if (i == NO_CANDIDATE || visited(header, i)) {
		agent_pass_on(agent, header, packet, now_ms, sink);
		return true;
	}
	header->visited |= (uint8_t)(1U << header->position);
	header->from = header->position;
	send_to(agent, header, i, packet, now_ms, sink);
	return true;
}

static uint16_t margin(const struct agent *agent, uint16_t load)
{
	uint16_t unit = admit_load_per_connection(&agent->admit);

	return agent_has_few(agent) ? unit : MAX(unit, load / MARGIN_SHARE);
}

/*
 * The choice of two: the next candidate, when its load is clearly less. With
 * few connections for each server chance weighs more, so all are compared.
 */
static int better_candidate(const struct agent *agent,
			    const struct packet_header *header, int64_t now_ms)
{
	uint16_t own = agent_own_load(agent, now_ms);
	int best = NO_CANDIDATE;
	int64_t limit = (int64_t)own - margin(agent, own);

	if (own == PACKET_LOAD_FULL)
		return NO_CANDIDATE;
	for (int i = 0; i < header->n_candidates; i++) {
		const struct candidate *candidate = &header->candidates[i];
		uint16_t load;

		if (i == header->position || visited(header, i) ||
		    candidate->flags != CANDIDATE_TAKES_NEW)
			continue;
		load = peer_load_of(&agent->peers, candidate->member_id,
				    now_ms);
		if (load <= limit) {
			best = i;
			limit = (int64_t)load - 1;
		}
		if (!agent_has_few(agent))
			break;
	}
	return best;
}

bool agent_place(struct agent *agent, struct packet_header *header,
		 const struct inner_packet *packet, int64_t now_ms,
		 struct packet_sink *sink)
{
	uint32_t before = open_memory_get(&agent->handed_on, packet, now_ms);
	int best;

	if (before && place_repeat(agent, header, packet, before, now_ms, sink))
		return true;
	if (header->placed)
		return false;
	best = better_candidate(agent, header, now_ms);
	if (best == NO_CANDIDATE)
		return false;
	header->placed = true;
	header->visited |= (uint8_t)(1U << header->position);
	header->from = header->position;
	peer_load_add(&agent->peers, header->candidates[best].member_id,
		      admit_load_per_connection(&agent->admit));
	count(agent, COUNTER_OPEN_PLACED);
	send_to(agent, header, best, packet, now_ms, sink);
	return true;
}

bool agent_relieve(struct agent *agent, struct packet_header *header,
		   const struct inner_packet *packet, int64_t now_ms,
		   struct packet_sink *sink)
{
	int best = NO_CANDIDATE;
	uint16_t best_load = RELIEF_LOAD;
	int64_t fresh_ms =
		AGENT_SILENT_NOTICES * agent->view->peer_heartbeat_interval_ms;

	/* Once: agents that all wait must not send it round. */
	if (header->hops_left < PACKET_HOP_BUDGET)
		return false;
	for (int i = 0; i < header->n_candidates; i++) {
		const struct candidate *candidate = &header->candidates[i];
		uint16_t load = peer_load_fresh(
			&agent->peers, candidate->member_id, fresh_ms, now_ms);

		if (i == header->position || visited(header, i) ||
		    candidate->flags != CANDIDATE_TAKES_NEW ||
		    load >= best_load)
			continue;
		best = i;
		best_load = load;
	}
	if (best == NO_CANDIDATE)
		return false;
	header->visited |= (uint8_t)(1U << header->position);
	header->from = header->position;
	peer_load_add(&agent->peers, header->candidates[best].member_id,
		      PLACED_LOAD);
	count(agent, COUNTER_OPEN_RELIEVED);
	agent_decided(agent, DECISION_OPEN_RELIEVED, packet,
		      header->candidates[best].member_id, NULL, sink);
	send_to(agent, header, best, packet, now_ms, sink);
	return true;
}

void agent_hint(struct agent *agent, const struct packet_header *header,
		const struct inner_packet *packet, struct packet_sink *sink)
{
	int hops = PACKET_HOP_BUDGET - header->hops_left;
	struct packet_header hint = {
		.service_id = agent->service_id,
		.config_revision = (uint64_t)agent->view->config_revision,
		.roster_version = agent->view->roster_version,
		.kind = PACKET_OWNER,
		.from = 0,
		.n_candidates = 1,
	};

	if (hops < HINT_HOPS || !header->origin.port || !agent->hints_left)
		return;
	agent->hints_left--;
	hint.flow_hash =
		(uint32_t)(flow_key_hash(&packet->key, agent->view->seed) >>
			   HASH_HIGH_SHIFT);
	hint.candidates[0] = header->candidates[header->position];
	count(agent, COUNTER_HINT_SENT);
	sink->to_peer(sink, &header->origin, &hint, NULL, 0);
}
