#include "tarragonflow/route/balancer.h"

#include <glib.h>
#include <string.h>

#include "tarragonflow/admit/work_left.h"
#include "tarragonflow/net/inner.h"

#define HASH_HIGH_SHIFT 32
/* Age of the last load report at which its agent may be unreachable, in percent
 * of the heartbeat interval: nearly three reports were lost in a row. */
#define REPORT_MAX_AGE_PERCENT 266
/* As REPORT_MAX_AGE_PERCENT, for the agent that got a SYN that the caller now
 * retransmits. The first copy was probably lost, so at most one load report may
 * be missing. */
#define RETRANSMIT_REPORT_MAX_AGE_PERCENT 133
/* Load added to servers in other zones, so that servers in the balancer's zone
 * are preferred: a third of a request at a server with five slots. */
#define CROSS_ZONE_LOAD (PACKET_LOAD_SCALE / 60)
/* The same in requests and slots, for loads that are the work left. */
#define CROSS_ZONE_REQUESTS (1.0 / 3)
#define CROSS_ZONE_SLOTS 5
/*
 * Loads that are the work left and differ by less count as equal: the other
 * balancers change them by more until the next report. The first one in the
 * chain is selected, so that not all balancers select the same one.
 */
#define EQUAL_LOAD_RANGE (PACKET_LOAD_SCALE / 30)
/* Load added to a server for each connection that was sent to it since its last
 * load report: one request at a server with a few slots. */
#define NEW_CONNECTION_LOAD (PACKET_LOAD_SCALE / 32)

void balancer_init(struct balancer *balancer, struct counters *counters)
{
	memset(balancer, 0, sizeof(*balancer));
	balancer->counters = counters;
	balancer->format = &packet_format_ip;
}

void balancer_set_format(struct balancer *balancer,
			 const struct packet_format *format)
{
	balancer->format = format;
}

void balancer_enable_least_load(struct balancer *balancer,
				const struct name *zone)
{
	balancer->least_load_enabled = true;
	balancer->zone = *zone;
}

void balancer_place_by_work(struct balancer *balancer)
{
	balancer->by_work = true;
}

void balancer_set_origin(struct balancer *balancer,
			 const struct endpoint *origin)
{
	balancer->origin = *origin;
}

void balancer_set_view(struct balancer *balancer, const struct view *view)
{
	balancer->view = view;
	peer_loads_set_heartbeat_interval(&balancer->loads,
					  view->heartbeat_interval_ms);
}

static uint32_t hint_index(uint32_t flow_hash)
{
	return flow_hash & (BALANCER_HINT_ENTRIES - 1);
}

static void set_hint(struct balancer *balancer, uint32_t flow_hash,
		     uint32_t member_id)
{
	struct owner_hint *hint = &balancer->hints[hint_index(flow_hash)];

	hint->flow_hash = flow_hash;
	hint->member_id = member_id;
}

/* The owner (member identifier) by the connection's owner hint, or 0 without a
 * hint. */
static uint32_t hinted_owner(const struct balancer *balancer,
			     uint32_t flow_hash)
{
	const struct owner_hint *hint = &balancer->hints[hint_index(flow_hash)];

	return hint->flow_hash == flow_hash ? hint->member_id : 0;
}

/* Sends a packet that the agent of the load report @report only counts. The
 * next load report shows whether the packet has arrived. */
static void send_probe(const struct balancer *balancer,
		       const struct packet_header *report,
		       struct packet_sink *sink)
{
	struct packet_header header = *report;

	header.kind = PACKET_PROBE;
	header.from = PACKET_FROM_OUTSIDE;
	header.origin = balancer->origin;
	sink->to_peer(sink, &header.candidates[0].data, &header, NULL, 0);
}

void balancer_handle_agent_packet(struct balancer *balancer,
				  const uint8_t *data, size_t len,
				  int64_t now_ms, struct packet_sink *sink)
{
	struct packet_header header;

	if (!packet_header_decode(&header, data, len) ||
	    header.kind == PACKET_DATA) {
		counter_inc(balancer->counters, COUNTER_DROP_MALFORMED_PACKET);
		return;
	}
	if (header.kind == PACKET_LOAD) {
		peer_load_update(&balancer->loads,
				 header.candidates[0].member_id, header.load,
				 now_ms);
		peer_load_record_received(&balancer->loads,
					  header.candidates[0].member_id,
					  header.received);
		counter_inc(balancer->counters, COUNTER_LOAD_REPORT_RECEIVED);
		if (peer_load_is_unreachable(&balancer->loads,
					     header.candidates[0].member_id,
					     now_ms))
			send_probe(balancer, &header, sink);
		return;
	}
	set_hint(balancer, header.flow_hash, header.candidates[0].member_id);
	counter_inc(balancer->counters, COUNTER_OWNER_HINT_RECEIVED);
}

/* Index of the first candidate that accepts new connections. */
static uint8_t first_accepting_position(const struct packet_header *header)
{
	for (uint8_t i = 0; i < header->n_candidates; i++)
		if (header->candidates[i].flags & CANDIDATE_TAKES_NEW)
			return i;
	return 0;
}

/* Index of @member_id in the chain; a member outside the chain replaces the
 * last candidate. */
static uint8_t position_of_member(const struct service_view *service,
				  struct packet_header *header,
				  uint32_t member_id)
{
	const struct candidate *member;

	for (uint8_t i = 0; i < header->n_candidates; i++)
		if (header->candidates[i].member_id == member_id)
			return i;
	member = view_find_member(service, member_id);
	if (!member)
		return 0;
	header->candidates[header->n_candidates - 1] = *member;
	return header->n_candidates - 1;
}

/* Age of the last load report up to which an agent counts as reachable, ms. */
static int64_t report_max_age_ms(const struct balancer *balancer)
{
	return balancer->view->heartbeat_interval_ms * REPORT_MAX_AGE_PERCENT /
	       100;
}

/* As report_max_age_ms(), for the agent that got a SYN that the caller now
 * retransmits. */
static int64_t retransmit_report_max_age_ms(const struct balancer *balancer)
{
	return balancer->view->heartbeat_interval_ms *
	       RETRANSMIT_REPORT_MAX_AGE_PERCENT / 100;
}

static void emit_decision(const struct balancer *balancer,
			  enum decision_kind kind,
			  const struct inner_packet *packet, uint32_t member_id,
			  int64_t now_ms, struct packet_sink *sink)
{
	const struct decision decision = {
		.kind = kind,
		.key = &packet->key,
		.open_seq = inner_opens_connection(packet) ? packet->seq : 0,
		.member_id = member_id,
		.load = peer_load_get(&balancer->loads, member_id, now_ms),
		.load_age_ms = now_ms - peer_load_last_seen_ms(&balancer->loads,
							       member_id, 0),
		.config_revision = (uint64_t)balancer->view->config_revision,
	};

	if (sink->record_decision)
		sink->record_decision(sink, &decision);
}

static bool is_same_zone(const struct balancer *balancer,
			 const struct service_view *service, uint32_t member_id)
{
	const struct candidate *member = view_find_member(service, member_id);

	return member && name_equal(&service->zones[member - service->members],
				    &balancer->zone);
}

/* The load @load of a server in another zone, for the comparison with servers
 * in the balancer's zone. */
static uint32_t cross_zone_load(const struct balancer *balancer, uint32_t load)
{
	if (load >= PACKET_LOAD_SCALE)
		return load;
	return balancer->by_work
		       ? work_left_add((uint16_t)load, CROSS_ZONE_REQUESTS,
				       CROSS_ZONE_SLOTS)
		       : load + CROSS_ZONE_LOAD;
}

struct candidate_load
balancer_candidate_load(const struct balancer *balancer,
			const struct service_view *service,
			const struct candidate *candidate, int64_t now_ms)
{
	struct candidate_load load = {
		.total = PACKET_LOAD_FULL,
		.max_age_ms = report_max_age_ms(balancer),
	};

	if (!(candidate->flags & CANDIDATE_TAKES_NEW))
		return load;
	load.total = peer_load_get_fresh(&balancer->loads, candidate->member_id,
					 load.max_age_ms, now_ms);
	if (!is_same_zone(balancer, service, candidate->member_id))
		load.cross_zone =
			cross_zone_load(balancer, load.total) - load.total;
	load.total += load.cross_zone;
	return load;
}

/*
 * The least loaded of the candidates whose load is known and not full.
 * Balancers that share the load with others treat nearly equal loads in one
 * zone as equal and take the first in the chain, which differs between
 * connections.
 */
static struct syn_target least_loaded(const struct balancer *balancer,
				      const struct service_view *service,
				      const struct packet_header *header,
				      int64_t now_ms)
{
	struct syn_target best = {first_accepting_position(header),
				  SYN_NO_LOAD_KNOWN};
	uint32_t loads[CHAIN_MAX], best_load = PACKET_LOAD_FULL;
	bool same_zone[CHAIN_MAX];

	for (uint8_t i = 0; i < header->n_candidates; i++) {
		const struct candidate *candidate = &header->candidates[i];

		same_zone[i] =
			is_same_zone(balancer, service, candidate->member_id);
		loads[i] = balancer_candidate_load(balancer, service, candidate,
						   now_ms)
				   .total;
		if (loads[i] >= best_load)
			continue;
		best = (struct syn_target){i, SYN_LEAST_LOADED};
		best_load = loads[i];
	}
	if (best_load >= PACKET_LOAD_SCALE || !balancer->by_work ||
	    balancer->view->n_balancers <= 1)
		return best;
	for (uint8_t i = 0; i < best.position; i++)
		if (same_zone[i] == same_zone[best.position] &&
		    loads[i] <= best_load + EQUAL_LOAD_RANGE)
			return (struct syn_target){i, SYN_LEAST_LOADED};
	return best;
}

/* Whether packets seem to arrive in both directions: load reports of @member_id
 * arrive, and count the packets sent by this balancer. */
static bool is_reachable(const struct balancer *balancer, uint32_t member_id,
			 int64_t now_ms)
{
	int64_t last_report_ms = peer_load_last_seen_ms(
		&balancer->loads, member_id, INT64_MIN / 2);

	return now_ms - last_report_ms <= report_max_age_ms(balancer) &&
	       !peer_load_is_unreachable(&balancer->loads, member_id, now_ms);
}

bool balancer_is_isolated(const struct balancer *balancer, int64_t now_ms)
{
	const struct view *view = balancer->view;
	size_t reachable = 0, total = 0;

	for (size_t i = 0; view && i < view->n_configured; i++)
		for (size_t j = 0; j < view->services[i].n_members;
		     j++, total++)
			reachable += is_reachable(
				balancer,
				view->services[i].members[j].member_id, now_ms);
	return reachable * 2 < total;
}

/* Index of the first reachable candidate, at which a search starts. A packet to
 * an unreachable agent would be lost, and the search with it. */
static uint8_t first_reachable_position(const struct balancer *balancer,
					const struct packet_header *header,
					int64_t now_ms)
{
	for (uint8_t i = 0;
	     balancer->least_load_enabled && i < header->n_candidates; i++)
		if (is_reachable(balancer, header->candidates[i].member_id,
				 now_ms))
			return i;
	return 0;
}

/*
 * Selects a candidate to relay the packet, in rotation, when load reports of
 * the owner arrive but packets to the owner are lost. Returns its index. Moves
 * the owner to the front of the chain, so that the relay forwards the packet to
 * the owner first. As the owner hint may be wrong, the search then continues
 * with the other candidates.
 */
static uint8_t select_relay(struct balancer *balancer,
			    struct packet_header *header,
			    uint8_t owner_position, int64_t now_ms)
{
	const struct candidate first = header->candidates[0];
	uint8_t n = header->n_candidates;

	header->candidates[0] = header->candidates[owner_position];
	header->candidates[owner_position] = first;
	for (uint8_t i = 0; i < n; i++) {
		uint8_t position = (uint8_t)((balancer->next_relay + i) % n);
		uint32_t id = header->candidates[position].member_id;

		if (!position || !is_reachable(balancer, id, now_ms))
			continue;
		balancer->next_relay = (uint8_t)(position + 1);
		counter_inc(balancer->counters, COUNTER_PACKET_RELAYED);
		return position;
	}
	return 0;
}

/*
 * Adds a connection that is sent to @member_id to its load. All balancers have
 * the same load reports and send about as many connections, so the others are
 * expected to send one each. Counting only its own, each of them would select
 * the server that reported the least load until the next report.
 */
static void add_new_connection(struct balancer *balancer,
			       const struct service_view *service,
			       uint32_t member_id)
{
	if (balancer->by_work)
		peer_load_add_requests(
			&balancer->loads, member_id,
			(double)MAX(balancer->view->n_balancers, 1),
			view_member_slots(service, member_id));
	else
		peer_load_add(&balancer->loads, member_id, NEW_CONNECTION_LOAD);
}

struct syn_target balancer_select_for_syn(const struct balancer *balancer,
					  const struct service_view *service,
					  struct packet_header *header,
					  uint64_t hash, uint16_t sent_ago_ms,
					  int64_t now_ms)
{
	uint32_t previous_receiver =
		hinted_owner(balancer, (uint32_t)(hash >> HASH_HIGH_SHIFT));
	int64_t max_age_ms = sent_ago_ms
				     ? retransmit_report_max_age_ms(balancer)
				     : report_max_age_ms(balancer);

	if (!balancer->least_load_enabled)
		return (struct syn_target){first_accepting_position(header),
					   SYN_FIRST_ACCEPTING};
	if (previous_receiver &&
	    peer_load_get_fresh(&balancer->loads, previous_receiver, max_age_ms,
				now_ms) != PACKET_LOAD_FULL)
		return (struct syn_target){
			position_of_member(service, header, previous_receiver),
			SYN_PREVIOUS_RECEIVER};
	return least_loaded(balancer, service, header, now_ms);
}

/* Index of the candidate for a SYN. Records a selection by load, so that later
 * SYNs and retransmissions take it into account. */
static uint8_t position_for_syn(struct balancer *balancer,
				const struct service_view *service,
				struct packet_header *header,
				const struct inner_packet *packet,
				uint64_t hash, int64_t now_ms,
				struct packet_sink *sink)
{
	struct syn_target target = balancer_select_for_syn(
		balancer, service, header, hash, packet->sent_ago_ms, now_ms);
	uint8_t best = target.position;

	if (target.reason == SYN_FIRST_ACCEPTING ||
	    target.reason == SYN_PREVIOUS_RECEIVER)
		return best;
	header->placed = true;
	add_new_connection(balancer, service,
			   header->candidates[best].member_id);
	set_hint(balancer, (uint32_t)(hash >> HASH_HIGH_SHIFT),
		 header->candidates[best].member_id);
	emit_decision(balancer, DECISION_OPEN_PLACED, packet,
		      header->candidates[best].member_id, now_ms, sink);
	return best;
}

static uint8_t initial_position(struct balancer *balancer,
				const struct service_view *service,
				struct packet_header *header,
				const struct inner_packet *packet,
				uint64_t hash, int64_t now_ms,
				struct packet_sink *sink)
{
	uint32_t flow_hash = (uint32_t)(hash >> HASH_HIGH_SHIFT);
	uint32_t owner;
	uint8_t position;

	if (inner_opens_connection(packet))
		return position_for_syn(balancer, service, header, packet, hash,
					now_ms, sink);
	owner = hinted_owner(balancer, flow_hash);
	if (!owner || !view_find_member(service, owner)) {
		emit_decision(balancer, DECISION_SEARCH_BEGUN, packet, owner,
			      now_ms, sink);
		return first_reachable_position(balancer, header, now_ms);
	}
	counter_inc(balancer->counters, COUNTER_OWNER_HINT_USED);
	position = position_of_member(service, header, owner);
	if (peer_load_is_unreachable(&balancer->loads, owner, now_ms))
		return select_relay(balancer, header, position, now_ms);
	return position;
}

/* Any service with members that are in chains, or NULL. */
static const struct service_view *
find_populated_service(const struct view *view)
{
	for (size_t i = 0; i < view->n_services; i++)
		if (view->services[i].n_members)
			return &view->services[i];
	return NULL;
}

/*
 * The service along whose chain @packet is sent, or NULL: the one that the
 * route selects. If that has no members, the connection of a packet other than
 * a SYN may still be open at another service. The search then starts at any
 * service and is inconclusive (@doubt).
 */
static const struct service_view *
select_service(const struct view *view, const struct inner_packet *packet,
	       bool *doubt)
{
	const struct route_view *route = view_find_route(view, &packet->key);
	const struct service_view *service;

	*doubt = false;
	if (!route)
		return NULL;
	service = view_select_service(view, route, &packet->key);
	if (service && service->n_members)
		return service;
	if (inner_opens_connection(packet))
		return NULL;
	*doubt = true;
	return find_populated_service(view);
}

static void forward_packet(struct balancer *balancer,
			   const struct service_view *service,
			   const struct inner_packet *packet, bool doubt,
			   int64_t now_ms, struct packet_sink *sink)
{
	const struct view *view = balancer->view;
	uint64_t hash = flow_key_hash(&packet->key, view->seed);
	struct packet_header header;

	header.service_id = service->service.id;
	header.config_revision = (uint64_t)view->config_revision;
	header.agents_digest = view->agents_digest;
	header.hops_left = PACKET_HOP_BUDGET;
	header.kind = PACKET_DATA;
	header.visited = 0;
	header.from = PACKET_FROM_OUTSIDE;
	header.resolves = 0;
	header.load = 0;
	header.usual_ms = 0;
	header.placed = false;
	header.warming = false;
	header.unsure = 0;
	header.asking = false;
	header.doubt = doubt;
	header.services_tried = 0;
	header.origin = balancer->origin;
	header.bucket = (uint32_t)hash & (service->n_buckets - 1);
	view_fill_chain(service, header.bucket, &header);
	header.position = initial_position(balancer, service, &header, packet,
					   hash, now_ms, sink);
	peer_load_record_sent(&balancer->loads,
			      header.candidates[header.position].member_id,
			      now_ms);
	counter_inc(balancer->counters, COUNTER_PACKET_FORWARDED);
	sink->to_peer(sink, &header.candidates[header.position].data, &header,
		      packet->data, packet->len);
}

void balancer_handle_packet(struct balancer *balancer, const uint8_t *data,
			    size_t len, int64_t now_ms,
			    struct packet_sink *sink)
{
	const struct view *view = balancer->view;
	const struct service_view *service;
	struct inner_packet packet;
	bool doubt;

	counter_inc(balancer->counters, COUNTER_PACKET_RECEIVED);
	if (!view) {
		counter_inc(balancer->counters, COUNTER_DROP_NO_CONFIG);
		return;
	}
	if (!balancer->format->parse(&packet, data, len)) {
		if (packet.fault == INNER_MALFORMED)
			balancer_handle_agent_packet(balancer, data, len,
						     now_ms, sink);
		else
			counter_inc(balancer->counters,
				    inner_drop_reason(&packet));
		return;
	}
	service = select_service(view, &packet, &doubt);
	if (!service) {
		counter_inc(balancer->counters,
			    view_lookup_service(view, &packet.key)
				    ? COUNTER_DROP_NO_SERVER
				    : COUNTER_DROP_NO_SERVICE);
		return;
	}
	forward_packet(balancer, service, &packet, doubt, now_ms, sink);
}
