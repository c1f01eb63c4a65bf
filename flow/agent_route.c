#include "tarragonflow/flow/agent_route.h"

#include "tarragonflow/admit/slowness.h"
#include "tarragonflow/common/log.h"
#include "tarragonflow/flow/agent_flow.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define NO_CANDIDATE (-1)
/* Services whose servers carry this few compare all candidates. */
#define FEW_CONNECTIONS 64
/* A peer is clearly better when it has this share less, 1/80. */
#define MARGIN_SHARE 80
/* Detours after which a balancer is told the owner. */
#define HINT_HOPS 1
#define HASH_HIGH_SHIFT 32
/* Services that a search goes through; the header counts to this. */
#define SERVICES_SEARCHED_MAX 15
#define NOTICE_INTERVAL_MS 200
#define NOTICE_INTERVAL_FEW_MS 10
#define NOTICE_REPEAT_MS 500
/* Agents that miss some notices in a row are passed over. */
#define SILENT_NOTICES 3
/* Most slots are free: an opening packet need not wait there. */
#define RELIEF_LOAD (ADMIT_LOAD_BUSY * 7 / 10)
/* What one that was handed over adds until its receiver tells. */
#define PLACED_LOAD (ADMIT_LOAD_BUSY / 8)
/* Places that a sender may have in the table, from the one of its hash on. */
#define SENDER_PLACES 8
#define NOTICE_CHANGE_SHARE 100

static void count(struct agent *agent, enum counter_id id)
{
	counter_inc(agent->counters, id);
}

static bool visited(const struct packet_header *header, int i)
{
	return header->visited & (1U << i);
}

/* A server that may not open connections counts as full. */
static uint16_t own_load(const struct agent *agent, int64_t now_ms)
{
	if (!server_watch_opens(&agent->server, now_ms) || !agent->zone_in)
		return PACKET_LOAD_FULL;
	return admit_load(&agent->admit, now_ms);
}

static void stamp_load(struct agent *agent, struct packet_header *header,
		       int64_t now_ms)
{
	header->load = own_load(agent, now_ms);
	header->usual_ms = (uint16_t)(agent->admit.reported
					      ? agent->admit.mean_answer_ms
					      : agent->admit.usual_ms);
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
	stamp_load(agent, header, now_ms);
	if (opens)
		open_memory_put(&agent->handed_on, packet, next->member_id,
				now_ms);
	count(agent, opens ? COUNTER_OPEN_HANDED_ON : COUNTER_PACKET_HANDED_ON);
	if (opens)
		agent_decided(agent, DECISION_OPEN_PASSED, packet,
			      next->member_id, NULL, sink);
	if (header->service_id == agent->service_id)
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

/*
 * The next candidate that had no copy. Where agents tell one another that they
 * run, a silent one is passed over, for a packet would end there. However long
 * it is silent, it may be cut off and have the connection; only the roster
 * tells that it has left.
 */
static int next_unvisited(struct agent *agent, struct packet_header *header,
			  int64_t now_ms)
{
	for (int i = 0; i < header->n_candidates; i++) {
		uint32_t id = header->candidates[i].member_id;
		int64_t silent_ms;

		if (visited(header, i))
			continue;
		if (!agent->tells_balancers || id == agent->member_id)
			return i;
		silent_ms = peer_load_silent_ms(&agent->peers, id, now_ms);
		if (silent_ms < SILENT_NOTICES * agent->view->peers_alive_ms &&
		    !peer_load_deaf(&agent->peers, id, now_ms))
			return i;
		header->visited |= (uint8_t)(1U << i);
		header->doubt = true;
	}
	return NO_CANDIDATE;
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
	const struct route_view *route = view_route(agent->view, &packet->key);
	const struct service_view *first, *next;

	if (!route || !agent->server.required || inner_opens(packet))
		return false;
	first = view_route_service(agent->view, route, &packet->key);
	while (header->services_tried <
	       MIN(agent->view->n_services, SERVICES_SEARCHED_MAX)) {
		next = &agent->view->services[header->services_tried++];
		if (next == first || !next->n_members)
			continue;
		header->service_id = next->service.id;
		header->bucket = view_bucket(agent->view, next, &packet->key);
		view_chain(next, header->bucket, header);
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
	if (!view_resolve(agent->service, header)) {
		*asked_all = true;
		header->doubt |= !agent->view->roster_known ||
				 view_hides_members(agent->view);
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

static bool is_self(const struct agent *agent,
		    const struct packet_header *header, int i)
{
	return header->service_id == agent->service_id &&
	       header->candidates[i].member_id == agent->member_id;
}

static int index_of(const struct packet_header *header, uint32_t member_id)
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
	       view_chain_is(service,
			     view_bucket(agent->view, service, &packet->key),
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
		view_member(agent->service, agent->member_id);
	int i = index_of(header, agent->member_id);

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
	header->bucket = view_bucket(agent->view, service, &packet->key);
	view_chain(service, header->bucket, header);
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

void agent_pass_on(struct agent *agent, struct packet_header *header,
		   const struct inner_packet *packet, int64_t now_ms,
		   struct packet_sink *sink)
{
	const struct candidate *self = &header->candidates[header->position];
	bool opens = inner_opens(packet), asked_all;
	int next;

	header->visited |= (uint8_t)(1U << header->position);
	header->from = self->member_id == agent->member_id
			       ? header->position
			       : PACKET_FROM_OUTSIDE;
	next = next_candidate(agent, header, opens, now_ms);
	if (next == NO_CANDIDATE && !opens)
		next = next_unsure(header);
	if (next == NO_CANDIDATE && (resolve_again(agent, header, &asked_all) ||
				     next_service(agent, header, packet)))
		next = next_candidate(agent, header, opens, now_ms);
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
	int i = index_of(header, member_id);

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

static bool few(const struct agent *agent)
{
	return agent->admit.connections_max <= FEW_CONNECTIONS;
}

static uint16_t margin(const struct agent *agent, uint16_t load)
{
	uint16_t unit = admit_load_unit(&agent->admit);

	return few(agent) ? unit : MAX(unit, load / MARGIN_SHARE);
}

/*
 * The choice of two: the next candidate, when its load is clearly less. With
 * few connections for each server chance weighs more, so all are compared.
 */
static int better_candidate(const struct agent *agent,
			    const struct packet_header *header, int64_t now_ms)
{
	uint16_t own = own_load(agent, now_ms);
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
		if (!few(agent))
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
		      admit_load_unit(&agent->admit));
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
	int64_t fresh_ms = SILENT_NOTICES * agent->view->peers_alive_ms;

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

void agent_hear_load(struct agent *agent, const struct packet_header *header,
		     int64_t now_ms)
{
	uint32_t member_id;

	if (header->from >= header->n_candidates)
		return;
	member_id = header->candidates[header->from].member_id;
	if (member_id == agent->member_id)
		return;
	peer_load_hear(&agent->peers, member_id, header->load, now_ms);
	if (header->kind == PACKET_LOAD)
		peer_load_told(&agent->peers, member_id, header->received);
	if (agent->admit.reported)
		peer_load_answers(&agent->peers, member_id, header->usual_ms);
	else
		admit_hear_usual(&agent->admit, header->usual_ms);
}

void agent_compare_server(struct agent *agent, int64_t now_ms)
{
	int64_t fresh_ms = SILENT_NOTICES * agent->view->peers_alive_ms;
	uint16_t peers_ms[SLOWNESS_PEERS_MAX];
	double before = agent->admit.slow_factor;
	size_t n = 0;

	for (size_t i = 0; i < agent->service->n_members; i++) {
		uint16_t ms = peer_load_answer_ms(
			&agent->peers, agent->service->members[i].member_id,
			fresh_ms, now_ms);

		if (ms && n < SLOWNESS_PEERS_MAX)
			peers_ms[n++] = ms;
	}
	admit_compare(&agent->admit, peers_ms, n);
	if ((before > 1) != (agent->admit.slow_factor > 1))
		log_event(LOG_LEVEL_WARN,
			  before > 1 ? "server-quick" : "server-slow",
			  "answer_ms=%.0f peers=%zu factor=%.1f",
			  agent->admit.mean_answer_ms, n,
			  agent->admit.slow_factor);
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

static int64_t notice_interval_ms(const struct agent *agent)
{
	if (few(agent))
		return NOTICE_INTERVAL_FEW_MS;
	return agent->tells_balancers ? agent->view->notice_ms
				      : NOTICE_INTERVAL_MS;
}

static bool load_due(const struct agent *agent, uint16_t load, int64_t now_ms)
{
	int change = ABS((int)load - (int)agent->told_load);
	int worth = few(agent) ? 1 : MAX(load / NOTICE_CHANGE_SHARE, 1);
	int64_t repeat_ms = agent->tells_balancers ? agent->view->alive_ms
						   : NOTICE_REPEAT_MS;

	if (now_ms < agent->next_notice_ms)
		return false;
	return change >= worth || now_ms - agent->told_ms >= repeat_ms;
}

void agent_probe_deaf(struct agent *agent, const struct packet_header *header,
		      int64_t now_ms, struct packet_sink *sink)
{
	const struct candidate *self =
		agent->service ? view_member(agent->service, agent->member_id)
			       : NULL;
	struct packet_header probe = {
		.kind = PACKET_PROBE,
		.n_candidates = 1,
	};

	if (!self || !peer_load_deaf(&agent->peers,
				     header->candidates[0].member_id, now_ms))
		return;
	probe.candidates[0] = *self;
	sink->to_peer(sink, &header->candidates[0].data, &probe, NULL, 0);
}

static uint32_t sender_home(const struct endpoint *sender)
{
	uint64_t key = (uint64_t)sender->ip << 16 | sender->port;

	return (uint32_t)XXH3_64bits(&key, sizeof(key)) & (AGENT_SENDERS - 1);
}

/* The count of @sender, or the place for it when it has none. */
static struct sender_count *sender_place(struct agent *agent,
					 const struct endpoint *sender)
{
	uint32_t home = sender_home(sender);
	struct sender_count *place = &agent->senders[home];

	for (uint32_t i = 0; i < SENDER_PLACES; i++) {
		struct sender_count *next =
			&agent->senders[(home + i) & (AGENT_SENDERS - 1)];

		if (endpoint_equal(&next->sender, sender))
			return next;
		if (!next->sender.port && place->sender.port)
			place = next;
	}
	return place;
}

void agent_count_sender(struct agent *agent, const struct packet_header *header)
{
	const struct endpoint *sender = &header->origin;
	struct sender_count *count_of;

	if (header->from < header->n_candidates)
		sender = &header->candidates[header->from].data;
	count_of = sender_place(agent, sender);
	if (!endpoint_equal(&count_of->sender, sender)) {
		count_of->sender = *sender;
		count_of->packets = 0;
	}
	count_of->packets++;
}

uint32_t agent_packets_from(struct agent *agent, const struct endpoint *sender)
{
	const struct sender_count *count_of = sender_place(agent, sender);

	return endpoint_equal(&count_of->sender, sender) ? count_of->packets
							 : 0;
}

static void tell_process(struct agent *agent, const struct candidate *self,
			 const struct endpoint *process, int64_t now_ms,
			 struct packet_sink *sink)
{
	struct packet_header notice = {
		.service_id = agent->service_id,
		.config_revision = (uint64_t)agent->view->config_revision,
		.roster_version = agent->view->roster_version,
		.kind = PACKET_LOAD,
		.n_candidates = 1,
		.candidates = {*self},
	};

	notice.received = agent_packets_from(agent, process);
	stamp_load(agent, &notice, now_ms);
	count(agent, COUNTER_LOAD_SENT);
	sink->to_peer(sink, process, &notice, NULL, 0);
}

static void tell_balancers(struct agent *agent, const struct candidate *self,
			   int64_t now_ms, struct packet_sink *sink)
{
	for (size_t i = 0; i < agent->view->n_balancers; i++)
		tell_process(agent, self, &agent->view->balancers[i], now_ms,
			     sink);
}

/*
 * A few members of our service, in turn: they compare their load with ours.
 * Where silence does not mean that an agent is gone, they are all that hear.
 */
static void tell_some(struct agent *agent, const struct candidate *self,
		      int64_t now_ms, struct packet_sink *sink)
{
	const struct service_view *service = agent->service;
	size_t n = VIEW_NOTICE_PEERS;

	if (!agent->tells_balancers)
		n = MAX(n, service->n_members / VIEW_NOTICE_PEERS);
	n = MIN(n, view_searched(service));
	while (n--) {
		const struct candidate *member;

		agent->notice_cursor =
			(agent->notice_cursor + 1) % view_searched(service);
		member = &service->members[agent->notice_cursor];
		if (member != self)
			tell_process(agent, self, &member->data, now_ms, sink);
	}
}

/* All agents, of whatever service, need to know that we run. */
static void tell_all(struct agent *agent, const struct candidate *self,
		     int64_t now_ms, struct packet_sink *sink)
{
	agent->next_alive_ms = now_ms + agent->view->peers_alive_ms;
	for (size_t i = 0; i < agent->view->n_services; i++) {
		const struct service_view *service = &agent->view->services[i];

		/* Told of each change anyway. */
		if (service == agent->service &&
		    view_searched(service) <= VIEW_NOTICE_PEERS)
			continue;
		for (size_t j = 0; j < view_searched(service); j++)
			if (&service->members[j] != self)
				tell_process(agent, self,
					     &service->members[j].data, now_ms,
					     sink);
	}
}

void agent_tell_load(struct agent *agent, int64_t now_ms,
		     struct packet_sink *sink)
{
	const struct service_view *service = agent->service;
	uint16_t load = own_load(agent, now_ms);
	const struct candidate *self;

	/* Where silence means that an agent is gone, it tells on to the cut. */
	if (!service || (!agent->zone_in && !agent->tells_balancers))
		return;
	self = view_member(service, agent->member_id);
	if (!self)
		return;
	if (agent->tells_balancers && now_ms >= agent->next_alive_ms)
		tell_all(agent, self, now_ms, sink);
	if (!load_due(agent, load, now_ms))
		return;
	agent->next_notice_ms = now_ms + notice_interval_ms(agent);
	agent->told_load = load;
	agent->told_ms = now_ms;
	if (agent->tells_balancers)
		tell_balancers(agent, self, now_ms, sink);
	tell_some(agent, self, now_ms, sink);
}
