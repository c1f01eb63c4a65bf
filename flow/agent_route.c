#include "tarragonflow/flow/agent_route.h"

#include "tarragonflow/admit/work_left.h"
#include "tarragonflow/flow/agent_flow.h"
#include "tarragonflow/flow/agent_mark.h"
#include "tarragonflow/flow/agent_load_report.h"
#include "tarragonflow/flow/agent_syn.h"

#include <glib.h>
#include <string.h>

/* A peer is preferred when its load is less by at least 1/80. */
#define LOAD_MARGIN_DIVISOR 80
/* The balancer gets an owner hint when this many agents forwarded the packet.
 */
#define HINT_MIN_HOPS 1
#define HASH_HIGH_SHIFT 32
/* Maximum number of services in one search: the header field `services_tried`
 * and the mark have 4 bits for it. */
#define SERVICES_SEARCHED_MAX 15
/* A server with less load has free slots, so a SYN does not wait there. */
#define OFFLOAD_LOAD_MAX (ADMIT_LOAD_SLOTS_FULL * 7 / 10)
/* Load added to a peer for each SYN offloaded to it, until it reports its load.
 */
#define OFFLOADED_SYN_LOAD (ADMIT_LOAD_SLOTS_FULL / 8)
/* A SYN with a hopeless wait is forwarded to a server of known load while fewer
 * agents than this have forwarded it: loads are up to a heartbeat interval old,
 * and one wrong expectation may be corrected. */
#define HOPELESS_SYN_HOPS_MAX 2
/* Expected response time of a peer's server while none has been reported. */
#define DEFAULT_RESPONSE_MS 50
/* Time after a load report of an agent that is not in the view for which
 * searches are inconclusive, in percent of the interval between such reports.
 * With three intervals more callers of ended servers waited out their deadline.
 */
#define UNLISTED_INTERVALS_PERCENT 150

static void count(struct agent *agent, enum counter_id id)
{
	counter_inc(agent->counters, id);
}

void agent_doubt_search(struct agent *agent, struct packet_header *header,
			const struct inner_packet *packet, uint32_t member_id,
			const char *reason, struct packet_sink *sink)
{
	if (!header->doubt && !inner_opens_connection(packet))
		agent_record_decision(agent, DECISION_SEARCH_DOUBTED, packet,
				      member_id, reason, sink);
	header->doubt = true;
}

void agent_compare_configuration(const struct agent *agent,
				 struct packet_header *header)
{
	header->doubt |= header->config_revision !=
			 (uint64_t)agent->view->config_revision;
}

static bool is_visited(const struct packet_header *header, int i)
{
	return header->visited & (1U << i);
}

static bool is_self(const struct agent *agent,
		    const struct packet_header *header, int i)
{
	return header->service_id == agent->service_id &&
	       header->candidates[i].member_id == agent->member_id;
}

/*
 * A SYN that is forwarded no longer waits here: the connection may be opened at
 * the other agent, and the end of the wait would reset it.
 */
static void forward_syn(struct agent *agent, const struct inner_packet *packet,
			const struct candidate *next, int64_t now_ms,
			struct packet_sink *sink)
{
	if (waiting_syns_remove(&agent->waiting_syns, agent_attempt_id(packet)))
		admit_adjust_waiting(&agent->admit,
				     agent_kind_of(agent, &packet->key), -1);
	forwarded_syns_add(&agent->forwarded_syns, packet, next->member_id,
			   now_ms);
	count(agent, COUNTER_OPEN_FORWARDED);
	agent_record_decision(agent, DECISION_OPEN_FORWARDED, packet,
			      next->member_id, NULL, sink);
}

/* Adds a SYN that is sent to @candidate to its load: one request of mean cost,
 * or @load where loads are not the work left. */
static void add_sent_syn(struct agent *agent, const struct candidate *candidate,
			 uint16_t load)
{
	if (agent->admit.by_work && agent->admit.has_server_report)
		peer_load_add_requests(&agent->peers, candidate->member_id, 1,
				       view_member_slots(agent->service,
							 candidate->member_id));
	else
		peer_load_add(&agent->peers, candidate->member_id, load);
}

static void forward_to(struct agent *agent, struct packet_header *header, int i,
		       const struct inner_packet *packet, int64_t now_ms,
		       struct packet_sink *sink)
{
	const struct candidate *next = &header->candidates[i];
	bool doubtful = header->doubt && !inner_opens_connection(packet) &&
			header->hops_left <=
				PACKET_HOP_BUDGET - PACKET_DOUBTFUL_HOPS;

	if (!header->hops_left || doubtful) {
		count(agent, COUNTER_DROP_HOP_BUDGET);
		agent_record_decision(agent, DECISION_SEARCH_ENDED, packet,
				      next->member_id, "hop-limit", sink);
		return;
	}
	header->hops_left--;
	header->position = (uint8_t)i;
	agent_write_load(agent, header, now_ms);
	if (inner_opens_connection(packet))
		forward_syn(agent, packet, next, now_ms, sink);
	else
		count(agent, COUNTER_PACKET_FORWARDED_BY_AGENT);
	/*
	 * When `from` does not name this agent, the receiver counts the packet
	 * as one of the balancer, and its load reports to this agent would not
	 * show that the packet has arrived.
	 */
	if (header->from < header->n_candidates &&
	    is_self(agent, header, header->from))
		peer_load_record_sent(&agent->peers, next->member_id, now_ms);
	sink->to_peer(sink, &next->data, header, packet->data, packet->len);
}

/* Of the candidates that accept new connections and have not received the
 * packet, the one with the least known load. */
static int least_loaded_candidate(const struct agent *agent,
				  const struct packet_header *header,
				  int64_t now_ms)
{
	int best = NO_CANDIDATE;
	uint16_t best_load = PACKET_LOAD_FULL;

	for (int i = 0; i < header->n_candidates; i++) {
		const struct candidate *candidate = &header->candidates[i];
		uint16_t load = peer_load_get(&agent->peers,
					      candidate->member_id, now_ms);

		if (is_visited(header, i) ||
		    !(candidate->flags & CANDIDATE_TAKES_NEW) ||
		    (best != NO_CANDIDATE && load >= best_load))
			continue;
		best = i;
		best_load = load;
	}
	return best;
}

/*
 * Whether candidate @i sends load reports and receives packets of this agent.
 * When agents send each other no heartbeats, all candidates count as reachable.
 */
static bool is_reachable(struct agent *agent,
			 const struct packet_header *header, int i,
			 int64_t now_ms)
{
	uint32_t id = header->candidates[i].member_id;

	if (!agent->reports_load_to_balancers || id == agent->member_id)
		return true;
	return peer_load_age_ms(&agent->peers, id, now_ms) <
		       AGENT_MISSED_LOAD_REPORTS_MAX *
			       agent->view->peer_heartbeat_interval_ms &&
	       !peer_load_is_unreachable(&agent->peers, id, now_ms);
}

/* The next reachable candidate that has not received the packet. */
static int next_reachable_candidate(struct agent *agent,
				    const struct packet_header *header,
				    int64_t now_ms)
{
	for (int i = 0; i < header->n_candidates; i++)
		if (!is_visited(header, i) &&
		    is_reachable(agent, header, i, now_ms))
			return i;
	return NO_CANDIDATE;
}

static uint8_t candidates_mask(const struct packet_header *header)
{
	return (uint8_t)((1U << header->n_candidates) - 1);
}

static bool all_visited(const struct packet_header *header)
{
	return !((uint8_t)~header->visited & candidates_mask(header));
}

/*
 * Index of the agent that sent the packet, or NO_CANDIDATE when the packet is
 * not to be returned to that agent. It is returned when this agent cannot reach
 * the remaining candidates, because the sender may reach them. Each agent
 * returns a packet only once: from then on `visited` includes the agent.
 */
static int return_to_sender(struct agent *agent,
			    const struct packet_header *header, uint8_t sender,
			    int64_t now_ms)
{
	if (all_visited(header) || sender >= header->n_candidates ||
	    sender == header->position ||
	    !is_reachable(agent, header, sender, now_ms))
		return NO_CANDIDATE;
	return sender;
}

/*
 * Marks the remaining candidates, which are unreachable, as visited. They may
 * be partitioned and have the connection, however long their load reports have
 * been missing, so the search is inconclusive. Only the roster shows that a
 * member has left.
 */
static void skip_unreachable_candidates(struct agent *agent,
					struct packet_header *header,
					const struct inner_packet *packet,
					struct packet_sink *sink)
{
	for (int i = 0; i < header->n_candidates; i++)
		if (!is_visited(header, i))
			agent_doubt_search(agent, header, packet,
					   header->candidates[i].member_id,
					   "unreachable", sink);
	header->visited = candidates_mask(header);
}

/*
 * Index of the candidate that gets the packet next, or NO_CANDIDATE. A SYN is
 * also forwarded to draining candidates, after all others: one of them may have
 * accepted an earlier copy.
 */
static int next_candidate(struct agent *agent, struct packet_header *header,
			  bool is_syn, int64_t now_ms)
{
	int next = is_syn ? least_loaded_candidate(agent, header, now_ms)
			  : NO_CANDIDATE;

	return next == NO_CANDIDATE
		       ? next_reachable_candidate(agent, header, now_ms)
		       : next;
}

static bool has_suspected_member(const struct agent *agent)
{
	for (size_t i = 0; i < agent->service->n_members; i++)
		if (agent->service->members[i].flags & CANDIDATE_SUSPECT)
			return true;
	return false;
}

/*
 * Whether the search that has ended shows that no running server has the
 * connection of @packet, and its caller may get a RST. Without `doubt` every
 * agent that received the packet had a complete flow table or queried its
 * server, no member was missing from the search, and all agents had the same
 * configuration. Only a packet with data justifies a RST, because its caller
 * waits for a response.
 */
static bool is_owner_ruled_out(const struct agent *agent,
			       const struct packet_header *header,
			       const struct inner_packet *packet)
{
	const struct view *view = agent->view;

	return agent->server.reports_expected && packet->payload_len &&
	       !header->doubt && view->n_configured <= SERVICES_SEARCHED_MAX &&
	       header->services_tried >= view->n_configured;
}

/*
 * Ends a search that found no owner, or no server that accepts the SYN. The
 * caller gets a RST only when all members of a view that is not older than the
 * sender's received the packet (@all_queried). Otherwise the packet is dropped
 * and the caller retransmits it.
 */
static void end_search(struct agent *agent, const struct packet_header *header,
		       const struct inner_packet *packet, bool all_queried,
		       struct packet_sink *sink)
{
	if (!inner_opens_connection(packet)) {
		if (all_queried && is_owner_ruled_out(agent, header, packet)) {
			count(agent, COUNTER_RESET_NO_OWNER);
			agent_record_decision(agent, DECISION_RESET_NO_OWNER,
					      packet, 0, NULL, sink);
			agent_reset_caller(agent, packet, sink);
		} else {
			count(agent, COUNTER_DROP_NO_OWNER);
			agent_record_decision(
				agent, DECISION_SEARCH_ENDED, packet, 0,
				header->doubt ? "doubt" : "unsure", sink);
		}
		return;
	}
	if (!all_queried || has_suspected_member(agent) ||
	    (uint64_t)agent->view->config_revision < header->config_revision) {
		count(agent, COUNTER_DROP_OPEN_UNCERTAIN);
		agent_record_decision(agent, DECISION_SEARCH_ENDED, packet, 0,
				      "unsure", sink);
		return;
	}
	/* A server is cold or down: it may accept a retransmission. */
	if (header->warming) {
		count(agent, COUNTER_DROP_OPEN_WARMING);
		agent_record_decision(agent, DECISION_SEARCH_ENDED, packet, 0,
				      "warming", sink);
		return;
	}
	count(agent, COUNTER_REFUSE_NO_CAPACITY);
	agent_record_decision(agent, DECISION_OPEN_REFUSED, packet, 0,
			      "no-room", sink);
	agent_reset_caller(agent, packet, sink);
}

/*
 * The first retired service, or the one after @service_id if that is retired;
 * NULL after the last one. Processes whose rosters differ may know different
 * retired services, so the position in the search is an id, not a count.
 */
static const struct service_view *next_retired_service(const struct view *view,
						       uint32_t service_id)
{
	const struct service_view *current =
		view_find_service(view, service_id);
	bool is_first = current && !current->retired;

	for (size_t i = view->n_configured; i < view->n_services; i++)
		if (is_first || view->services[i].service.id > service_id)
			return &view->services[i];
	return NULL;
}

/* The service to search after the one that @header names; NULL after the last
 * one. Services of the manifest come first. */
static const struct service_view *next_service(const struct view *view,
					       struct packet_header *header)
{
	const struct service_view *next;

	if (header->services_tried <
	    MIN(view->n_configured, SERVICES_SEARCHED_MAX))
		return &view->services[header->services_tried++];
	next = next_retired_service(view, header->service_id);
	if (next)
		header->service_id = next->service.id;
	return next;
}

static void start_search(const struct view *view,
			 const struct service_view *service,
			 const struct inner_packet *packet,
			 struct packet_header *header)
{
	header->service_id = service->service.id;
	header->bucket = view_bucket_of(view, service, &packet->key);
	view_fill_chain(service, header->bucket, header);
	header->visited = 0;
	header->unsure = 0;
	header->asking = false;
	header->resolves = 0;
	header->from = PACKET_FROM_OUTSIDE;
}

/*
 * Starts the search of the next service that has not been searched: the
 * connection may have been opened while the route led to that service. Returns
 * false when no service is left.
 */
static bool start_search_in_next_service(struct agent *agent,
					 struct packet_header *header,
					 const struct inner_packet *packet,
					 struct packet_sink *sink)
{
	const struct view *view = agent->view;
	const struct route_view *route = view_find_route(view, &packet->key);
	const struct service_view *first_service, *next;

	if (!route || !agent->server.reports_expected ||
	    inner_opens_connection(packet))
		return false;
	first_service = view_select_service(view, route, &packet->key);
	while ((next = next_service(view, header))) {
		if (next == first_service)
			continue;
		if (next->n_members) {
			start_search(view, next, packet, header);
			return true;
		}
		/* Without members in service there is no chain to search, but
		 * the servers in zones out of service may have the connection.
		 */
		if (view_searchable_count(next))
			agent_doubt_search(agent, header, packet, 0, "zone-out",
					   sink);
	}
	return false;
}

/* Whether load reports arrive of an agent that is not in the view: it has just
 * joined or changed its service, or the roster takes it for one that has left.
 * It may have any connection. */
static bool has_unlisted_agent(const struct agent *agent, int64_t now_ms)
{
	return now_ms - agent->unlisted_agent_seen_ms <
	       agent->view->peer_heartbeat_interval_ms *
		       UNLISTED_INTERVALS_PERCENT / 100;
}

/*
 * Replaces a chain whose candidates have all received the packet by the next
 * one from this agent's view. Returns false when the search of the service ends
 * instead: all members have received the packet (@all_queried), or a limit was
 * reached. Sets `doubt` at a limit or if the view may lack members.
 */
static bool resolve_chain_again(struct agent *agent,
				struct packet_header *header,
				const struct inner_packet *packet,
				bool *all_queried, int64_t now_ms,
				struct packet_sink *sink)
{
	*all_queried = false;
	if (!agent->service || header->service_id != agent->service_id) {
		agent_doubt_search(agent, header, packet, 0, "search-limit",
				   sink);
		return false;
	}
	if (!agent->chain_resolves_left) {
		count(agent, COUNTER_DROP_SEARCH_LIMIT);
		agent_doubt_search(agent, header, packet, 0, "search-limit",
				   sink);
		return false;
	}
	agent->chain_resolves_left--;
	/* Other agents continue after the new chain, so they don't search for
	 * members that it lacks either. */
	if (!agent->view->roster_complete)
		agent_doubt_search(agent, header, packet, 0,
				   "roster-incomplete", sink);
	if (header->agents_digest != agent->view->agents_digest)
		agent_doubt_search(agent, header, packet, 0, "rosters-differ",
				   sink);
	if (!view_resolve_chain(agent->service, header)) {
		*all_queried = true;
		if (has_unlisted_agent(agent, now_ms))
			agent_doubt_search(agent, header, packet, 0,
					   "unlisted-agent", sink);
		if (view_excludes_members(agent->view))
			agent_doubt_search(agent, header, packet, 0, "zone-out",
					   sink);
		return false;
	}
	count(agent, COUNTER_CHAIN_RECOMPUTED);
	return true;
}

/*
 * Index of the next candidate whose server is to be queried, or NO_CANDIDATE.
 * When no agent has the connection in its flow table, the search queries the
 * servers of the candidates whose tables may be incomplete (`unsure`).
 */
static int next_unsure_candidate(struct packet_header *header)
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

void agent_forward(struct agent *agent, struct packet_header *header,
		   const struct inner_packet *packet, int64_t now_ms,
		   struct packet_sink *sink)
{
	const struct candidate *self = &header->candidates[header->position];
	bool is_syn = inner_opens_connection(packet), all_queried;
	bool visited_before = is_visited(header, header->position);
	uint8_t sender = header->from;
	int next;

	header->visited |= (uint8_t)(1U << header->position);
	header->from = self->member_id == agent->member_id
			       ? header->position
			       : PACKET_FROM_OUTSIDE;
	next = next_candidate(agent, header, is_syn, now_ms);
	if (next == NO_CANDIDATE && !is_syn && !visited_before)
		next = return_to_sender(agent, header, sender, now_ms);
	if (next == NO_CANDIDATE)
		skip_unreachable_candidates(agent, header, packet, sink);
	if (next == NO_CANDIDATE && !is_syn)
		next = next_unsure_candidate(header);
	if (next == NO_CANDIDATE &&
	    (resolve_chain_again(agent, header, packet, &all_queried, now_ms,
				 sink) ||
	     start_search_in_next_service(agent, header, packet, sink))) {
		next = next_candidate(agent, header, is_syn, now_ms);
		if (next == NO_CANDIDATE)
			skip_unreachable_candidates(agent, header, packet,
						    sink);
	}
	if (next == NO_CANDIDATE)
		end_search(agent, header, packet, all_queried, sink);
	else if (is_self(agent, header, next))
		agent_query_server(agent, header, packet, next, now_ms, sink);
	else
		forward_to(agent, header, next, packet, now_ms, sink);
}

/*
 * Forwards a retransmitted SYN to the agent that received the first copy.
 * Returns false when that agent is suspected to be down, or, by work, when this
 * copy has been to all candidates and none had opened the connection.
 */
static bool forward_retransmitted_syn(struct agent *agent,
				      struct packet_header *header,
				      const struct inner_packet *packet,
				      uint32_t member_id, int64_t now_ms,
				      struct packet_sink *sink)
{
	int i = agent_candidate_index(header, member_id);

	if (i != NO_CANDIDATE &&
	    (header->candidates[i].flags & CANDIDATE_SUSPECT))
		return false;
	if (agent->waiting_syns.by_work && i != NO_CANDIDATE &&
	    all_visited(header) && !header->doubt)
		return false;
	count(agent, COUNTER_OPEN_RETRANSMITTED);
	if (i == NO_CANDIDATE || is_visited(header, i)) {
		agent_forward(agent, header, packet, now_ms, sink);
		return true;
	}
	header->visited |= (uint8_t)(1U << header->position);
	header->from = header->position;
	forward_to(agent, header, i, packet, now_ms, sink);
	return true;
}

/* By how much a peer's load must be less than @load for the peer to be
 * preferred.
 */
static uint16_t load_margin(const struct agent *agent, uint16_t load)
{
	uint16_t load_per_connection = admit_load_per_connection(&agent->admit);

	return agent_server_is_small(agent)
		       ? load_per_connection
		       : MAX(load_per_connection, load / LOAD_MARGIN_DIVISOR);
}

/*
 * Index of a candidate whose load is clearly less than that of this agent's
 * server, or NO_CANDIDATE. Power of two choices: only the next candidate is
 * considered. If this agent's server is small, all candidates are, because two
 * random choices would leave the load uneven.
 */
static int less_loaded_candidate(const struct agent *agent,
				 const struct packet_header *header,
				 int64_t now_ms)
{
	uint16_t own_load = agent_own_load(agent, now_ms);
	int best = NO_CANDIDATE;
	int64_t load_limit = (int64_t)own_load - load_margin(agent, own_load);

	if (own_load == PACKET_LOAD_FULL)
		return NO_CANDIDATE;
	for (int i = 0; i < header->n_candidates; i++) {
		const struct candidate *candidate = &header->candidates[i];
		uint16_t load;

		if (i == header->position || is_visited(header, i) ||
		    candidate->flags != CANDIDATE_TAKES_NEW)
			continue;
		load = peer_load_get(&agent->peers, candidate->member_id,
				     now_ms);
		if (load <= load_limit) {
			best = i;
			load_limit = (int64_t)load - 1;
		}
		if (!agent_server_is_small(agent))
			break;
	}
	return best;
}

bool agent_redirect_syn(struct agent *agent, struct packet_header *header,
			const struct inner_packet *packet, int64_t now_ms,
			struct packet_sink *sink)
{
	uint32_t previous_receiver =
		forwarded_syns_find(&agent->forwarded_syns, packet, now_ms);
	int best;

	if (previous_receiver &&
	    forward_retransmitted_syn(agent, header, packet, previous_receiver,
				      now_ms, sink))
		return true;
	if (header->placed)
		return false;
	best = less_loaded_candidate(agent, header, now_ms);
	if (best == NO_CANDIDATE)
		return false;
	header->placed = true;
	header->visited |= (uint8_t)(1U << header->position);
	header->from = header->position;
	add_sent_syn(agent, &header->candidates[best],
		     admit_load_per_connection(&agent->admit));
	count(agent, COUNTER_OPEN_PLACED_BY_LOAD);
	forward_to(agent, header, best, packet, now_ms, sink);
	return true;
}

bool agent_offload_syn(struct agent *agent, struct packet_header *header,
		       const struct inner_packet *packet, int64_t now_ms,
		       struct packet_sink *sink)
{
	int best = NO_CANDIDATE;
	uint16_t best_load = OFFLOAD_LOAD_MAX;
	int64_t max_age_ms = AGENT_MISSED_LOAD_REPORTS_MAX *
			     agent->view->peer_heartbeat_interval_ms;

	/* Only the first agent that receives a SYN offloads it, else busy
	 * agents would forward the SYN in circles. */
	if (header->hops_left < PACKET_HOP_BUDGET)
		return false;
	for (int i = 0; i < header->n_candidates; i++) {
		const struct candidate *candidate = &header->candidates[i];
		uint16_t load = peer_load_get_fresh(&agent->peers,
						    candidate->member_id,
						    max_age_ms, now_ms);

		if (i == header->position || is_visited(header, i) ||
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
	add_sent_syn(agent, &header->candidates[best], OFFLOADED_SYN_LOAD);
	count(agent, COUNTER_OPEN_OFFLOADED);
	agent_record_decision(agent, DECISION_OPEN_OFFLOADED, packet,
			      header->candidates[best].member_id, NULL, sink);
	forward_to(agent, header, best, packet, now_ms, sink);
	return true;
}

/* Expected wait for a slot at the server of @member_id that reports the work
 * left @load, ms. */
static int64_t peer_wait_ms(const struct agent *agent, uint32_t member_id,
			    uint16_t load, int64_t now_ms)
{
	int64_t service_ms = peer_load_response_ms(
		&agent->peers, member_id, PEER_LOAD_MAX_AGE_MS, now_ms);

	if (!service_ms)
		service_ms = DEFAULT_RESPONSE_MS;
	return (int64_t)((work_left_decode(load) - 1) * (double)service_ms);
}

/*
 * Index of the candidate for a SYN that can't run here in @time_left_ms, see
 * agent_forward_syn_in_time(), or NO_CANDIDATE. A candidate that reports no
 * load accepts nothing at the moment: it may be cold or have restarted. One
 * without reports is ignored.
 */
static int candidate_in_time(struct agent *agent,
			     const struct packet_header *header,
			     int64_t time_left_ms, int64_t now_ms)
{
	bool passed_on = PACKET_HOP_BUDGET - header->hops_left >=
			 HOPELESS_SYN_HOPS_MAX;
	int best = NO_CANDIDATE, closed = NO_CANDIDATE;
	uint16_t best_load = PACKET_LOAD_FULL;

	for (int i = 0; i < header->n_candidates; i++) {
		const struct candidate *candidate = &header->candidates[i];
		uint16_t load;

		if (i == header->position || is_visited(header, i) ||
		    candidate->flags != CANDIDATE_TAKES_NEW ||
		    !is_reachable(agent, header, i, now_ms))
			continue;
		load = peer_load_get(&agent->peers, candidate->member_id,
				     now_ms);
		if (load == PACKET_LOAD_FULL)
			closed = i;
		else if (!passed_on && load < best_load &&
			 peer_wait_ms(agent, candidate->member_id, load,
				      now_ms) < time_left_ms) {
			best = i;
			best_load = load;
		}
	}
	return best == NO_CANDIDATE ? closed : best;
}

/*
 * Index of the candidate with free slots to which a retransmission returns that
 * has been to all candidates, or NO_CANDIDATE. When the first copy came, that
 * candidate's server may have been down, so it forwards the retransmission. A
 * SYN returns once.
 */
static int candidate_to_return_to(const struct agent *agent,
				  const struct packet_header *header,
				  int64_t now_ms)
{
	uint16_t best_load = OFFLOAD_LOAD_MAX;
	int best = NO_CANDIDATE;

	if (!all_visited(header) || header->doubt ||
	    PACKET_HOP_BUDGET - header->hops_left >= header->n_candidates)
		return NO_CANDIDATE;
	for (int i = 0; i < header->n_candidates; i++) {
		const struct candidate *candidate = &header->candidates[i];
		uint16_t load = peer_load_get(&agent->peers,
					      candidate->member_id, now_ms);

		if (i == header->position ||
		    candidate->flags != CANDIDATE_TAKES_NEW ||
		    load >= best_load)
			continue;
		best = i;
		best_load = load;
	}
	return best;
}

bool agent_forward_syn_in_time(struct agent *agent,
			       struct packet_header *header,
			       const struct inner_packet *packet,
			       int64_t time_left_ms, int64_t now_ms,
			       struct packet_sink *sink)
{
	int next = candidate_in_time(agent, header, time_left_ms, now_ms);

	header->visited |= (uint8_t)(1U << header->position);
	if (next == NO_CANDIDATE && packet->sent_ago_ms)
		next = next_reachable_candidate(agent, header, now_ms);
	if (next == NO_CANDIDATE && packet->sent_ago_ms)
		next = candidate_to_return_to(agent, header, now_ms);
	if (next == NO_CANDIDATE)
		return false;
	header->from = header->position;
	add_sent_syn(agent, &header->candidates[next], OFFLOADED_SYN_LOAD);
	count(agent, COUNTER_REFUSE_EXPECTED_WAIT);
	agent_record_decision(agent, DECISION_OPEN_FORWARDED, packet, 0,
			      "wait-hopeless", sink);
	forward_to(agent, header, next, packet, now_ms, sink);
	return true;
}

void agent_send_owner_hint(struct agent *agent,
			   const struct packet_header *header,
			   const struct inner_packet *packet,
			   struct packet_sink *sink)
{
	int hops = PACKET_HOP_BUDGET - header->hops_left;
	struct packet_header hint = {
		.service_id = agent->service_id,
		.config_revision = (uint64_t)agent->view->config_revision,
		.agents_digest = agent->view->agents_digest,
		.kind = PACKET_OWNER,
		.from = 0,
		.n_candidates = 1,
	};

	if (hops < HINT_MIN_HOPS || !header->origin.port || !agent->hints_left)
		return;
	agent->hints_left--;
	hint.flow_hash =
		(uint32_t)(flow_key_hash(&packet->key, agent->view->seed) >>
			   HASH_HIGH_SHIFT);
	hint.candidates[0] = header->candidates[header->position];
	count(agent, COUNTER_OWNER_HINT_SENT);
	sink->to_peer(sink, &header->origin, &hint, NULL, 0);
}
