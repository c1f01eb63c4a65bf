#include "tarragonflow/flow/agent.h"

#include <glib.h>
#include <string.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/flow/agent_flow.h"
#include "tarragonflow/flow/agent_mark.h"
#include "tarragonflow/flow/agent_load_report.h"
#include "tarragonflow/flow/agent_syn.h"
#include "tarragonflow/flow/agent_route.h"

/*
 * Size of the flow table in percent of the connections that the server accepts.
 * The table also holds half-open and recently closed connections.
 */
#define TABLE_SIZE_PERCENT 140
#define TABLE_MIN_FLOWS 48
#define CLOSED_FLOW_LINGER_MS 10000
#define HALF_OPEN_TIMEOUT_MS 30000
/*
 * Callers of lost connections that have been silent for longer, and wait for no
 * response, get their RST only with their next packet: they may have given up
 * and opened another connection from the same port elsewhere.
 */
#define RESET_SILENCE_MAX_MS 10000
#define DEFAULT_IDLE_TIMEOUT_MS 3600000
#define EXPIRY_SLOTS_PER_TICK 512
/* A SYN that is retransmitted later than this counts as one that the server did
 * not respond to in time. */
#define SYN_RESPONSE_TIMEOUT_MS 900
/* How many chains may be recomputed, and owner hints sent, per REFILL_MS. */
#define REFILL_MS 1000
#define CHAIN_RESOLVES_PER_REFILL 2000
#define HINTS_PER_REFILL 500
/* Intervals between reports after a server's start within which it has sent its
 * first one. */
#define FIRST_REPORT_INTERVALS_MAX 10
/* Time without a report after which one is missing, in percent of the interval
 * between reports. */
#define SILENCE_INTERVALS_PERCENT 150

void agent_init(struct agent *agent, const struct agent_identity *identity,
		struct counters *counters, int64_t now_ms)
{
	uint32_t max_flows = (uint32_t)((uint64_t)identity->connections *
					TABLE_SIZE_PERCENT / 100);

	memset(agent, 0, sizeof(*agent));
	agent->counters = counters;
	agent->format = identity->format ? identity->format : &packet_format_ip;
	agent->reports_load_to_balancers = identity->reports_load_to_balancers;
	agent->flow_lifetime_ms = identity->flow_lifetime_ms;
	agent->table_incomplete_until_ms = now_ms + agent->flow_lifetime_ms;
	agent->open_not_before_ms = now_ms + identity->open_delay_ms;
	agent->report_interval_ms = identity->report_interval_ms;
	agent->awaiting_response_since_ms = CLOCK_NEVER;
	agent->unconfirmed_until_ms = CLOCK_NEVER;
	agent->unlisted_agent_seen_ms = INT64_MIN / 2;
	server_watch_init(&agent->server, identity->server_reports,
			  identity->report_lease_ms);
	agent->zone = identity->zone;
	agent->member_id = member_id(&identity->name);
	agent->service_id = service_id(&identity->service);
	agent->instance_check = packet_instance_check(identity->instance);
	agent->idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS;
	agent->chain_resolves_left = CHAIN_RESOLVES_PER_REFILL;
	agent->hints_left = HINTS_PER_REFILL;
	agent->next_refill_ms = now_ms + REFILL_MS;
	flow_table_init(&agent->flows, MAX(max_flows, TABLE_MIN_FLOWS),
			identity->seed);
	admit_init(&agent->admit, identity->connections, identity->slots,
		   now_ms);
	agent->admit.by_work = identity->place_by_work;
	waiting_syns_init(&agent->waiting_syns, identity->place_by_work);
}

void agent_finish(struct agent *agent)
{
	flow_table_finish(&agent->flows);
}

static int64_t cold_per_s(const struct agent *agent)
{
	return agent->service ? agent->service->service.cold_per_s : 0;
}

/*
 * When the zone leaves or enters service, the agent of a server that sends no
 * server reports drops all connections and treats its server as cold.
 */
static void apply_zone_state(struct agent *agent, bool in_service)
{
	if (agent->zone_in_service == in_service)
		return;
	agent->zone_in_service = in_service;
	/* Servers that send server reports keep their connections. They may
	 * have turned cold since their last report. */
	if (agent->server.reports_expected) {
		if (in_service)
			admit_suspect_cold(&agent->admit);
		return;
	}
	flow_table_clear(&agent->flows);
	cost_forget_running(&agent->admit.cost);
	cost_forget_open(&agent->admit.cost);
	agent->admit.open = 0;
	agent->admit.unconfirmed = 0;
	agent->admit.limit =
		MIN(agent->admit.limit, admit_cold_limit(&agent->admit));
}

void agent_set_view(struct agent *agent, const struct view *view)
{
	bool in_service = view_zone_in_service(view, &agent->zone);
	bool is_first_view = !agent->view;

	agent->view = view;
	agent->service = view_find_service(view, agent->service_id);
	admit_limit_cold_opens(&agent->admit, cold_per_s(agent));
	/* The first view does not change the state of the zone. */
	if (!is_first_view)
		apply_zone_state(agent, in_service);
	agent->zone_in_service = in_service;
	agent->zone_order = view_zone_order_state(view, &agent->zone);
	peer_loads_set_heartbeat_interval(&agent->peers,
					  view->peer_heartbeat_interval_ms);
	if (!agent->service || agent->service->retired)
		return;
	agent->idle_timeout_ms = agent->service->service.idle_timeout_s * 1000;
	agent->admit.warm_response_ms = agent->service->service.answer_ms;
}

void agent_drain(struct agent *agent)
{
	agent->drains = true;
	admit_drain(&agent->admit);
}

bool agent_accepts_new(const struct agent *agent, int64_t now_ms)
{
	return now_ms >= agent->open_not_before_ms &&
	       server_watch_accepts_new(&agent->server, now_ms);
}

uint32_t agent_connection_count(const struct agent *agent)
{
	return agent->admit.open + agent->admit.unconfirmed;
}

/* How a packet relates to the connection in the flow table that has the same
 * addresses and ports. */
enum flow_match {
	/** The packet belongs to this connection. */
	MATCH_SAME,
	/** The packet belongs to another connection with the same addresses and
	 * ports. */
	MATCH_OTHER,
	/** A late copy of the SYN of this connection, which is closed. */
	MATCH_LATE_SYN,
	/** A SYN that opens a new connection, which replaces this one. */
	MATCH_REOPENS,
	/** The caller has acknowledged another server's SYN-ACK instead. */
	MATCH_LOST_RACE,
};

/* Whether @packet, a SYN, is a copy of the one that opened @flow. That one is
 * not known of a connection that an earlier process opened; its sequence number
 * is near that of the caller's next packet. */
static bool is_copy_of_syn(const struct agent *agent, const struct flow *flow,
			   const struct inner_packet *packet)
{
	return packet->seq == flow->syn_seq ||
	       (flow->state == FLOW_OPEN && !flow->syn_seq &&
		agent_seq_in_window(agent, packet->seq, flow->caller_seq));
}

/*
 * Another SYN than the one of an open connection shows that its caller has
 * given up. It is admitted like any other, and the entry replaced only when it
 * is delivered: a late SYN must not end the connection.
 */
static enum flow_match match_syn(const struct agent *agent,
				 const struct flow *flow,
				 const struct inner_packet *packet)
{
	bool is_same_syn = is_copy_of_syn(agent, flow, packet);

	if (flow->state == FLOW_OPEN)
		return is_same_syn ? MATCH_SAME : MATCH_OTHER;
	if (!is_same_syn)
		return MATCH_REOPENS;
	return flow->state == FLOW_CLOSING ? MATCH_LATE_SYN : MATCH_SAME;
}

/*
 * A packet belongs to a half-open connection if it acknowledges the SYN-ACK of
 * this agent's server, or has no ACK and follows the SYN.
 */
static enum flow_match match_half_open(const struct flow *flow,
				       const struct inner_packet *packet)
{
	if (!(packet->flags & TCP_ACK))
		return packet->seq == flow->caller_seq ? MATCH_SAME
						       : MATCH_OTHER;
	if (!(flow->state_bits & FLOW_SYN_ACK_SEEN))
		return MATCH_OTHER;
	if (packet->ack == flow->server_seq)
		return MATCH_SAME;
	return packet->seq == flow->caller_seq ? MATCH_LOST_RACE : MATCH_OTHER;
}

static enum flow_match match_packet_to_flow(const struct agent *agent,
					    const struct flow *flow,
					    const struct inner_packet *packet)
{
	if (inner_opens_connection(packet))
		return match_syn(agent, flow, packet);
	if (flow->state == FLOW_HALF_OPEN)
		return match_half_open(flow, packet);
	return agent_flow_has_packet(agent, flow, packet) ? MATCH_SAME
							  : MATCH_OTHER;
}

static void handle_own_flow(struct agent *agent, struct flow *flow,
			    const struct packet_header *header,
			    const struct inner_packet *packet, int64_t now_ms,
			    struct packet_sink *sink)
{
	if (inner_opens_connection(packet)) {
		if (flow->state == FLOW_HALF_OPEN &&
		    !(flow->state_bits & FLOW_SYN_ACK_SEEN) &&
		    (uint32_t)now_ms - flow->pending_since_ms >
			    SYN_RESPONSE_TIMEOUT_MS)
			admit_record_no_response(&agent->admit, now_ms);
		agent_deliver(agent, header, packet, now_ms, sink);
		return;
	}
	agent_send_owner_hint(agent, header, packet, sink);
	if (flow->state == FLOW_HALF_OPEN)
		flow->state = FLOW_OPEN;
	if (packet->payload_len && flow->state == FLOW_OPEN)
		agent_flow_start_request(agent, flow, now_ms);
	agent_seq_advance(&flow->caller_seq, agent_seq_after(packet));
	agent_flow_track(agent, flow, packet->flags, FLOW_CALLER_FIN, now_ms);
	agent_deliver(agent, header, packet, now_ms, sink);
}

/* Whether the server may have the connection of @packet although it is not in
 * the flow table. */
static bool server_may_have_unlisted_flow(const struct agent *agent,
					  const struct inner_packet *packet,
					  int64_t now_ms)
{
	return now_ms < agent->table_incomplete_until_ms &&
	       !server_miss_cache_contains(&agent->server_miss_cache,
					   &packet->key);
}

/*
 * Whether @packet may be delivered to the server as a query for its connection.
 * Its route must lead to the server's service, because a server must not get
 * packets for another service. The latest server report, if there is one, must
 * not have expired.
 */
static bool may_query_server(const struct agent *agent,
			     const struct inner_packet *packet, int64_t now_ms)
{
	const struct route_view *route =
		view_find_route(agent->view, &packet->key);

	return route &&
	       view_route_has_service(agent->view, route, agent->service_id) &&
	       (!agent->server.has_report ||
		server_watch_report_valid(&agent->server, now_ms));
}

/*
 * Delivers a copy of the packet to a server that refuses connections. If it has
 * the connection, its response shows that it runs. It may be gone, so the
 * search goes on without it, and the copy is not forwarded if it returns.
 */
static void query_refusing_server(struct agent *agent,
				  const struct packet_header *header,
				  const struct inner_packet *packet,
				  int64_t now_ms, struct packet_sink *sink)
{
	struct packet_header copy = *header;

	copy.hops_left = 0;
	copy.doubt = true;
	agent_query_server(agent, &copy, packet, copy.position, now_ms, sink);
}

/* Whether a query to the server would be answered: it listens, or has sent a
 * packet or returned one a moment ago. */
static bool server_answers(const struct agent *agent, int64_t now_ms)
{
	return !server_watch_refuses(&agent->server) ||
	       now_ms - agent->server.last_answer_ms < AGENT_SERVER_CHECK_MS;
}

/*
 * Records in @header that the server may have the connection of @packet, which
 * its agent doesn't know.
 */
static void record_unlisted_flow(struct agent *agent,
				 struct packet_header *header,
				 const struct inner_packet *packet,
				 int64_t now_ms, struct packet_sink *sink)
{
	bool may_query = may_query_server(agent, packet, now_ms);

	if (may_query && server_answers(agent, now_ms)) {
		header->unsure |= (uint8_t)(1U << header->position);
		return;
	}
	if (may_query)
		query_refusing_server(agent, header, packet, now_ms, sink);
	agent_doubt_search(agent, header, packet, agent->member_id,
			   may_query ? "server-refuses" : "server-silent",
			   sink);
}

static void handle_other_flow(struct agent *agent, struct packet_header *header,
			      const struct inner_packet *packet, int64_t now_ms,
			      struct packet_sink *sink)
{
	if (inner_opens_connection(packet) && agent->service &&
	    agent->zone_in_service) {
		agent_handle_syn(agent, header, packet, now_ms, sink);
		return;
	}
	/* All agents have been tried; the search now queries servers. */
	if (header->asking) {
		agent_query_server(agent, header, packet, header->position,
				   now_ms, sink);
		return;
	}
	if (!inner_opens_connection(packet) &&
	    server_may_have_unlisted_flow(agent, packet, now_ms))
		record_unlisted_flow(agent, header, packet, now_ms, sink);
	agent_forward(agent, header, packet, now_ms, sink);
}

/* Delivers an ICMP error if it quotes a recent segment of the server. Otherwise
 * the error may be forged or of another connection. */
static void handle_icmp(struct agent *agent, const struct flow *flow,
			struct packet_header *header,
			const struct inner_packet *packet, int64_t now_ms,
			struct packet_sink *sink)
{
	if (flow && agent_seq_in_window(agent, packet->seq, flow->server_seq))
		agent_deliver(agent, header, packet, now_ms, sink);
	else
		agent_forward(agent, header, packet, now_ms, sink);
}

static void handle_flow(struct agent *agent, struct packet_header *header,
			const struct inner_packet *packet, int64_t now_ms,
			struct packet_sink *sink)
{
	struct flow *flow = flow_table_find(&agent->flows, &packet->key);

	if (packet->icmp_error) {
		handle_icmp(agent, flow, header, packet, now_ms, sink);
		return;
	}
	if (flow && (flow->state_bits & FLOW_LOST) &&
	    !inner_opens_connection(packet) &&
	    agent_flow_has_packet(agent, flow, packet)) {
		agent_count(agent, COUNTER_RESET_CONNECTION_LOST);
		agent_record_decision(agent, DECISION_RESET_LOST, packet, 0,
				      "server-ended", sink);
		agent_reset_caller(agent, packet, sink);
		return;
	}
	switch (flow ? match_packet_to_flow(agent, flow, packet)
		     : MATCH_OTHER) {
	case MATCH_SAME:
		handle_own_flow(agent, flow, header, packet, now_ms, sink);
		return;
	case MATCH_LATE_SYN:
		agent_count(agent, COUNTER_DROP_LATE_OPEN);
		return;
	case MATCH_LOST_RACE:
		agent_count(agent, COUNTER_OPEN_LOST_RACE);
		agent_reset_server(agent, flow, sink);
		agent_flow_remove(agent, flow);
		break;
	case MATCH_REOPENS:
		if (flow->state == FLOW_HALF_OPEN)
			agent_reset_server(agent, flow, sink);
		agent_flow_remove(agent, flow);
		break;
	case MATCH_OTHER:
		break;
	}
	handle_other_flow(agent, header, packet, now_ms, sink);
}

/*
 * Handles a packet when the agent's zone is out of service by an order and the
 * order's grace period is over (ZONE_ORDER_CUT): no packet may reach the
 * server. Packets of the server's connections are dropped without a RST,
 * because the connections may continue when the zone is in service again. Other
 * packets are forwarded to search for their owner.
 */
static void handle_zone_cut(struct agent *agent, struct packet_header *header,
			    const struct inner_packet *packet, int64_t now_ms,
			    struct packet_sink *sink)
{
	struct flow *flow = flow_table_find(&agent->flows, &packet->key);

	if (flow && (flow->state_bits & FLOW_LOST) &&
	    agent_flow_has_packet(agent, flow, packet)) {
		handle_flow(agent, header, packet, now_ms, sink);
		return;
	}
	if (flow && match_packet_to_flow(agent, flow, packet) != MATCH_OTHER) {
		flow->last_packet_ms = (uint32_t)now_ms;
		agent_count(agent, COUNTER_DROP_ZONE_CUT);
		return;
	}
	if (header->asking ||
	    server_may_have_unlisted_flow(agent, packet, now_ms))
		agent_doubt_search(agent, header, packet, agent->member_id,
				   "zone-out", sink);
	agent_forward(agent, header, packet, now_ms, sink);
}

static bool is_for_own_service(const struct agent *agent,
			       const struct inner_packet *packet)
{
	const struct route_view *route;

	if (!agent->service)
		return true;
	route = view_find_route(agent->view, &packet->key);
	return route && view_route_has_weighted_service(agent->view, route,
							agent->service_id);
}

/* Whether the packet is addressed to this agent and its service. */
static bool is_addressed_to_agent(struct agent *agent,
				  const struct packet_header *header)
{
	const struct candidate *self = &header->candidates[header->position];

	if (header->kind == PACKET_LOAD || header->kind == PACKET_PROBE)
		return true;
	if (header->service_id != agent->service_id)
		return false;
	if (self->member_id != agent->member_id)
		return false;
	/*
	 * The sender has an earlier instance of this agent in its view. The
	 * flow table decides, so the packet is still accepted.
	 */
	if (self->instance_check != agent->instance_check)
		agent_count(agent, COUNTER_STALE_INSTANCE);
	return true;
}

/*
 * Handles a packet for another agent or service, which had this address before
 * or has it by the sender's roster only. The packet must not reach this agent's
 * server. It is forwarded, because the next candidate may be the owner. The one
 * that it is for did not get it, so the search is inconclusive.
 */
static void handle_misaddressed(struct agent *agent,
				struct packet_header *header,
				const uint8_t *data, size_t len, int64_t now_ms,
				struct packet_sink *sink)
{
	struct inner_packet packet;

	agent_count(agent, COUNTER_STRAY_FORWARDED);
	if (header->kind != PACKET_DATA ||
	    !agent->format->parse(&packet, data, len))
		return;
	agent_doubt_search(agent, header, &packet,
			   header->candidates[header->position].member_id,
			   "stray", sink);
	agent_forward(agent, header, &packet, now_ms, sink);
}

static void handle_data(struct agent *agent, struct packet_header *header,
			const uint8_t *data, size_t len, int64_t now_ms,
			struct packet_sink *sink)
{
	struct inner_packet packet;

	if (!agent->format->parse(&packet, data, len)) {
		agent_count(agent, inner_drop_reason(&packet));
		return;
	}
	if (inner_opens_connection(&packet) &&
	    !is_for_own_service(agent, &packet)) {
		agent_count(agent, COUNTER_DROP_WRONG_SERVICE);
		return;
	}
	if (!inner_opens_connection(&packet) &&
	    !view_find_route(agent->view, &packet.key)) {
		agent_count(agent, COUNTER_DROP_WRONG_SERVICE);
		return;
	}
	if (agent->zone_order == ZONE_ORDER_CUT &&
	    !inner_opens_connection(&packet)) {
		handle_zone_cut(agent, header, &packet, now_ms, sink);
		return;
	}
	if (agent->zone_order == ZONE_ORDER_DRAINING &&
	    !inner_opens_connection(&packet)) {
		handle_flow(agent, header, &packet, now_ms, sink);
		return;
	}
	if (!agent->zone_in_service) {
		agent_count(agent, COUNTER_ZONE_OUT_FORWARDED);
		/* The server may have the connection but must not be queried,
		 * so the search is inconclusive. */
		agent_doubt_search(agent, header, &packet, agent->member_id,
				   "zone-out", sink);
		agent_forward(agent, header, &packet, now_ms, sink);
		return;
	}
	handle_flow(agent, header, &packet, now_ms, sink);
}

void agent_handle_peer(struct agent *agent, const uint8_t *data, size_t len,
		       int64_t now_ms, struct packet_sink *sink)
{
	struct packet_header header;
	size_t header_len;

	agent_count(agent, COUNTER_PACKET_RECEIVED);
	if (!agent->view) {
		agent_count(agent, COUNTER_DROP_NO_CONFIG);
		return;
	}
	header_len = packet_header_decode(&header, data, len);
	if (!header_len || header.kind == PACKET_OWNER) {
		agent_count(agent, COUNTER_DROP_MALFORMED_HEADER);
		return;
	}
	agent_compare_configuration(agent, &header);
	if (!is_addressed_to_agent(agent, &header)) {
		handle_misaddressed(agent, &header, data + header_len,
				    len - header_len, now_ms, sink);
		return;
	}
	if (header.kind != PACKET_PROBE)
		agent_record_peer_load(agent, &header, now_ms);
	if (header.kind == PACKET_LOAD)
		agent_probe_if_unreachable(agent, &header, now_ms, sink);
	else
		agent_count_received(agent, &header);
	if (header.kind == PACKET_DATA)
		handle_data(agent, &header, data + header_len, len - header_len,
			    now_ms, sink);
}

static int64_t flow_removal_timeout_ms(const struct agent *agent,
				       const struct flow *flow)
{
	switch (flow->state) {
	case FLOW_HALF_OPEN:
		return HALF_OPEN_TIMEOUT_MS;
	case FLOW_CLOSING:
		return CLOSED_FLOW_LINGER_MS;
	default:
		return agent->idle_timeout_ms;
	}
}

static void remove_if_timed_out(struct agent *agent, struct flow *flow,
				int64_t now_ms)
{
	if (agent_flow_age(flow, now_ms) < flow_removal_timeout_ms(agent, flow))
		return;
	if (flow->state != FLOW_CLOSING)
		agent_count(agent, COUNTER_FLOW_EXPIRED);
	agent_flow_remove(agent, flow);
}

static void refill_rate_limits(struct agent *agent, int64_t now_ms)
{
	if (now_ms < agent->next_refill_ms)
		return;
	agent->next_refill_ms = now_ms + REFILL_MS;
	agent->chain_resolves_left = CHAIN_RESOLVES_PER_REFILL;
	agent->hints_left = HINTS_PER_REFILL;
	if (agent->service && agent->admit.has_server_report)
		agent_compare_with_peers(agent, now_ms);
}

/*
 * Sends a RST to the caller of @flow. The sequence numbers of the last packets
 * are used, so the RST may be outside the caller's window.
 */
static void reset_caller_of_flow(struct agent *agent, const struct flow *flow,
				 struct packet_sink *sink)
{
	struct inner_packet last = {
		.ack = flow->server_seq,
		.seq = flow->caller_seq,
	};

	flow_get_key(&last.key, flow);
	agent_count(agent, COUNTER_RESET_CONNECTION_LOST);
	agent_record_decision(agent, DECISION_RESET_LOST, &last, 0,
			      "server-ended", sink);
	agent_reset_caller(agent, &last, sink);
}

/* Whether the caller of @flow may still wait for the response to a request: the
 * route's timeout hasn't passed. */
static bool caller_waits(const struct agent *agent, const struct flow *flow,
			 int64_t now_ms)
{
	const struct route_view *route;
	struct flow_key key;

	if (!(flow->state_bits & FLOW_AWAITING_RESPONSE))
		return false;
	flow_get_key(&key, flow);
	route = agent->view ? view_find_route(agent->view, &key) : NULL;
	return !route || !route->timeout_ms ||
	       (uint32_t)now_ms - flow->pending_since_ms < route->timeout_ms;
}

static void end_flow(struct agent *agent, struct flow *flow, int64_t now_ms,
		     struct packet_sink *sink)
{
	if (flow->state == FLOW_CLOSING)
		return;
	/* Another server may accept, or have accepted, a copy of its SYN. */
	if (flow->state == FLOW_HALF_OPEN &&
	    !(flow->state_bits & FLOW_SYN_ACK_SEEN)) {
		agent_flow_remove(agent, flow);
		return;
	}
	if (flow->state == FLOW_OPEN &&
	    (agent_flow_age(flow, now_ms) < RESET_SILENCE_MAX_MS ||
	     caller_waits(agent, flow, now_ms)))
		reset_caller_of_flow(agent, flow, sink);
	flow->state_bits |= FLOW_LOST;
	/* The entry lingers for the caller's next packet. */
	flow->last_packet_ms = (uint32_t)now_ms;
	agent_flow_close(agent, flow);
}

/* Forgets what was measured of a server that has ended or restarted. */
static void forget_server(struct agent *agent)
{
	agent_count(agent, COUNTER_SERVER_RESTARTED);
	admit_forget_running(&agent->admit);
	agent->admit.mean_response_ms = 0;
	agent->admit.slow_factor = 1;
	agent->admit.failure_rate = 0;
	agent->awaiting_response_since_ms = CLOCK_NEVER;
}

/* Closes all connections and resets their callers. */
static void end_all_flows(struct agent *agent, int64_t now_ms,
			  struct packet_sink *sink)
{
	struct flow_table *flows = &agent->flows;

	/* Removing an entry may move a later one into its slot. */
	for (uint32_t i = 0; i <= flows->mask; i++)
		while (flows->slots[i].state != FLOW_FREE &&
		       flows->slots[i].state != FLOW_CLOSING)
			end_flow(agent, &flows->slots[i], now_ms, sink);
	agent->unconfirmed_until_ms = CLOCK_NEVER;
	agent->table_incomplete_until_ms = INT64_MIN;
	forget_server(agent);
}

/*
 * Whether a packet of @flow has passed since the server of @report started. The
 * server may have accepted the connection before its first report.
 */
static bool has_packet_since_start(const struct flow *flow,
				   const struct server_report *report,
				   int64_t now_ms)
{
	return report->age_ms >= 0 &&
	       agent_flow_age(flow, now_ms) <= report->age_ms;
}

/*
 * Another server of the service has reported at this address. Its predecessor
 * may still be ending, so a connection is closed only when the server returns
 * its packets, or the predecessor sends nothing on any connection for some
 * time. It may have connections that are not in the flow table. A connection
 * that may be the new server's isn't closed for silence.
 */
static void suspect_open_flows(struct agent *agent,
			       const struct server_report *report,
			       int64_t now_ms)
{
	struct flow_table *flows = &agent->flows;

	for (uint32_t i = 0; i <= flows->mask; i++) {
		struct flow *flow = &flows->slots[i];

		if (flow->state != FLOW_OPEN ||
		    (flow->state_bits & FLOW_UNCONFIRMED))
			continue;
		agent_flow_end_request(agent, flow, false, now_ms);
		if (has_packet_since_start(flow, report, now_ms))
			continue;
		flow->state_bits |= FLOW_UNCONFIRMED | FLOW_OF_PREDECESSOR;
		admit_suspect_connection(&agent->admit);
		cost_adjust_open(&agent->admit.cost, flow->kind, -1, now_ms);
	}
	agent->unconfirmed_until_ms = now_ms + AGENT_SERVER_CHECK_MS;
	forget_server(agent);
}

static void end_unconfirmed_flows(struct agent *agent, int64_t now_ms,
				  struct packet_sink *sink)
{
	struct flow_table *flows = &agent->flows;

	if (now_ms < agent->unconfirmed_until_ms)
		return;
	agent->unconfirmed_until_ms = CLOCK_NEVER;
	for (uint32_t i = 0; i <= flows->mask; i++)
		if (flows->slots[i].state == FLOW_OPEN &&
		    (flows->slots[i].state_bits & FLOW_UNCONFIRMED))
			end_flow(agent, &flows->slots[i], now_ms, sink);
}

void agent_tick(struct agent *agent, int64_t now_ms, struct packet_sink *sink)
{
	struct flow_table *flows = &agent->flows;

	admit_tick(&agent->admit, now_ms);
	end_unconfirmed_flows(agent, now_ms, sink);
	refill_rate_limits(agent, now_ms);
	agent_admit_waiting_syns(agent, now_ms, sink);
	agent_send_load_reports(agent, now_ms, sink);
	for (int i = 0; i < EXPIRY_SLOTS_PER_TICK; i++) {
		struct flow *flow = &flows->slots[flows->cursor];

		if (flow->state != FLOW_FREE)
			remove_if_timed_out(agent, flow, now_ms);
		flows->cursor = (flows->cursor + 1) & flows->mask;
	}
}

int64_t agent_next_deadline(const struct agent *agent)
{
	return MIN(agent->admit.next_increase_ms, agent->next_load_report_ms);
}

/* Whether the server owes a response for longer than a running one takes. */
static bool owes_response(const struct agent *agent, int64_t now_ms)
{
	return now_ms - AGENT_SERVER_CHECK_MS >=
	       agent->awaiting_response_since_ms;
}

bool agent_server_check_due(struct agent *agent, int64_t now_ms)
{
	const struct server_watch *server = &agent->server;

	if (!server->reports_expected || server->report.state == SERVER_GONE ||
	    now_ms < agent->next_server_check_ms)
		return false;
	if (server_watch_report_valid(server, now_ms) &&
	    server->report.state != SERVER_ENDING &&
	    !owes_response(agent, now_ms) && !server_watch_refuses(server) &&
	    !agent->drains)
		return false;
	agent->next_server_check_ms = now_ms + AGENT_SERVER_CHECK_MS;
	return true;
}

/*
 * How long a server may be silent while it refuses connections. A running one
 * reports in every interval unless it has announced its end. Before the first
 * report there is mostly none, so two checks suffice, unless the connections of
 * the predecessor show that it ran a moment ago.
 */
static int64_t silence_limit_ms(const struct agent *agent)
{
	const struct server_watch *server = &agent->server;

	if (!server->has_report && !agent_connection_count(agent))
		return AGENT_SERVER_CHECK_MS;
	if (!agent->report_interval_ms || server->report.state == SERVER_ENDING)
		return server->lease_ms;
	return MIN(server->lease_ms,
		   agent->report_interval_ms * SILENCE_INTERVALS_PERCENT / 100);
}

bool agent_handle_server_refusal(struct agent *agent, int64_t began_ms,
				 int64_t now_ms, struct packet_sink *sink)
{
	struct server_watch *server = &agent->server;

	if (server->report.state == SERVER_GONE)
		return false;
	server_watch_record_refusal(server, began_ms);
	if (!server_watch_shows_end(server, owes_response(agent, now_ms),
				    silence_limit_ms(agent), now_ms))
		return false;
	agent->server_refused_ms = server->refused_since_ms;
	server->has_report = true;
	server->report.state = SERVER_GONE;
	end_all_flows(agent, now_ms, sink);
	admit_drain(&agent->admit);
	return true;
}

/*
 * Whether @report is certainly the first one since the server's start, so that
 * no earlier agent process has opened connections there. Servers may count from
 * zero or one: a report 1 is the second one of a server that counts from zero,
 * but not before a second one is due. Its age is negative if the clock was set.
 * A report 0 of a server that started long ago isn't its first one.
 */
static bool is_first_of_server(const struct agent *agent,
			       const struct server_report *report)
{
	if (server_report_is_last(report))
		return false;
	if (report->sequence == 0)
		return !agent->report_interval_ms ||
		       report->age_ms < agent->report_interval_ms *
						FIRST_REPORT_INTERVALS_MAX;
	return report->sequence == 1 && report->age_ms >= 0 &&
	       report->age_ms < agent->report_interval_ms / 2;
}

/* The server has not ended: it is queried again about connections, also about
 * those that were closed. */
static void forget_end(struct agent *agent, int64_t now_ms)
{
	struct flow_table *flows = &agent->flows;

	agent->table_incomplete_until_ms = now_ms + agent->flow_lifetime_ms;
	/* Removing an entry may move a later one into its slot. */
	for (uint32_t i = 0; i <= flows->mask; i++)
		while (flows->slots[i].state == FLOW_CLOSING &&
		       (flows->slots[i].state_bits & FLOW_LOST))
			agent_flow_remove(agent, &flows->slots[i]);
}

/*
 * Whether @report shows that a server that was taken for ended has run all the
 * while: it started before it refused connections. It has connections that were
 * closed here or opened before this process started.
 */
static bool shows_false_end(const struct agent *agent,
			    const struct server_report *report, int64_t now_ms)
{
	return agent->server.report.state == SERVER_GONE &&
	       !server_report_is_last(report) && report->age_ms >= 0 &&
	       now_ms - report->age_ms < agent->server_refused_ms;
}

void agent_handle_server_report(struct agent *agent,
				const struct server_report *report,
				int64_t now_ms, struct packet_sink *sink)
{
	bool is_first_report = !agent->server.has_report;
	bool is_false_end = shows_false_end(agent, report, now_ms);

	switch (server_watch_update(&agent->server, report, now_ms)) {
	case SERVER_REPORT_OUTDATED:
		return;
	case SERVER_RESTARTED:
		/* An address goes to another service only some time after its
		 * last server has ended. */
		if (service_id(&report->service) == agent->service_id)
			suspect_open_flows(agent, report, now_ms);
		else
			end_all_flows(agent, now_ms, sink);
		break;
	case SERVER_UNCHANGED:
		break;
	}
	if (is_first_report && is_first_of_server(agent, report))
		agent->table_incomplete_until_ms = now_ms;
	if (is_false_end)
		forget_end(agent, now_ms);
	if (report->state == SERVER_ENDING) {
		admit_drain(&agent->admit);
		return;
	}
	agent->service_id = service_id(&report->service);
	if (agent->view)
		agent->service =
			view_find_service(agent->view, agent->service_id);
	admit_apply_report(&agent->admit, report->slots, report->warmup_left_ms,
			   cold_per_s(agent), now_ms);
	if (report->state == SERVER_READY && !agent->drains)
		admit_undrain(&agent->admit);
	else
		admit_drain(&agent->admit);
}
