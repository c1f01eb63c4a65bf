#include "tarragonflow/flow/agent.h"

#include <glib.h>
#include <string.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/flow/agent_flow.h"
#include "tarragonflow/flow/agent_mark.h"
#include "tarragonflow/flow/agent_notice.h"
#include "tarragonflow/flow/agent_open.h"
#include "tarragonflow/flow/agent_route.h"

/* Open, half-open and lately closed connections, over the admission limit. */
#define TABLE_SLACK_PERCENT 140
#define TABLE_MIN_FLOWS 48
#define CLOSING_LINGER_MS 10000
#define HALF_OPEN_TIMEOUT_MS 30000
#define DEFAULT_IDLE_TIMEOUT_MS 3600000
#define EXPIRY_SLOTS_PER_TICK 512
#define SYN_REPEAT_MS 900
#define REFILL_MS 1000
#define SEARCHES_PER_REFILL 2000
#define HINTS_PER_REFILL 500
/* Reports are counted from zero or one at each start of a server. */
#define FIRST_SEQUENCE 1
/* A server with a few slots answers something within this time. */
#define DOUBT_MS 250

void agent_init(struct agent *agent, const struct agent_identity *identity,
		struct counters *counters, int64_t now_ms)
{
	uint32_t max = (uint32_t)((uint64_t)identity->connections *
				  TABLE_SLACK_PERCENT / 100);

	memset(agent, 0, sizeof(*agent));
	agent->counters = counters;
	agent->format = identity->format ? identity->format : &packet_format_ip;
	agent->tells_balancers = identity->tells_balancers;
	agent->unsure_until_ms = now_ms + identity->flow_lifetime_ms;
	agent->owed_since_ms = CLOCK_NEVER;
	server_watch_init(&agent->server, identity->server_reports,
			  identity->report_lease_ms);
	agent->zone = identity->zone;
	agent->member_id = member_id(&identity->name);
	agent->service_id = service_id(&identity->service);
	agent->instance_check = packet_instance_check(identity->instance);
	agent->idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS;
	agent->searches_left = SEARCHES_PER_REFILL;
	agent->hints_left = HINTS_PER_REFILL;
	agent->next_refill_ms = now_ms + REFILL_MS;
	flow_table_init(&agent->flows, MAX(max, TABLE_MIN_FLOWS),
			identity->seed);
	admit_init(&agent->admit, identity->connections, identity->slots,
		   now_ms);
}

void agent_finish(struct agent *agent)
{
	flow_table_finish(&agent->flows);
}

/* The connections of a zone that goes out are given up; it returns cold. */
static void zone_changed(struct agent *agent, bool zone_in)
{
	if (agent->zone_in == zone_in)
		return;
	/* A server that reports keeps its connections through an order. */
	if (agent->server.required) {
		agent->zone_in = zone_in;
		return;
	}
	agent->zone_in = zone_in;
	flow_table_clear(&agent->flows);
	agent->admit.open = 0;
	agent->admit.unconfirmed = 0;
	agent->admit.limit =
		MIN(agent->admit.limit, admit_cold_limit(&agent->admit));
}

void agent_set_view(struct agent *agent, const struct view *view)
{
	bool zone_in = view_zone_in_service(view, &agent->zone);

	/* A first view says nothing new about the zone. */
	if (agent->view)
		zone_changed(agent, zone_in);
	agent->zone_in = zone_in;
	agent->zone_order = view_zone_order_state(view, &agent->zone);
	agent->view = view;
	peer_loads_pace(&agent->peers, view->peer_heartbeat_interval_ms);
	agent->service = view_find_service(view, agent->service_id);
	if (!agent->service)
		return;
	agent->idle_timeout_ms = agent->service->service.idle_timeout_s * 1000;
	agent->admit.answer_ms = agent->service->service.answer_ms;
}

void agent_drain(struct agent *agent)
{
	admit_drain(&agent->admit);
}

uint32_t agent_open(const struct agent *agent)
{
	return agent->admit.open + agent->admit.unconfirmed;
}

/* What a flow of the packet's 5-tuple has to do with the packet. */
enum claim {
	/** It is of this connection. */
	CLAIM_OURS,
	/** It is of another connection with the same 5-tuple. */
	CLAIM_FOREIGN,
	/** A late copy of a closed connection's SYN. */
	CLAIM_LATE,
	/** It opens a new connection in place of this one. */
	CLAIM_REOPENS,
	/** The caller chose the SYN-ACK of another server. */
	CLAIM_LOST,
};

static enum claim claim_open(const struct flow *flow,
			     const struct inner_packet *packet)
{
	bool same = packet->seq == flow->syn_seq;

	if (flow->state == FLOW_OPEN)
		return CLAIM_OURS;
	if (!same)
		return CLAIM_REOPENS;
	return flow->state == FLOW_CLOSING ? CLAIM_LATE : CLAIM_OURS;
}

/* A half-open entry takes only what answers its own server's SYN-ACK. */
static enum claim claim_half_open(const struct flow *flow,
				  const struct inner_packet *packet)
{
	if (!(packet->flags & TCP_ACK))
		return packet->seq == flow->caller_seq ? CLAIM_OURS
						       : CLAIM_FOREIGN;
	if (!(flow->bits & FLOW_ANSWERED))
		return CLAIM_FOREIGN;
	if (packet->ack == flow->server_seq)
		return CLAIM_OURS;
	return packet->seq == flow->caller_seq ? CLAIM_LOST : CLAIM_FOREIGN;
}

static enum claim claim(const struct flow *flow,
			const struct inner_packet *packet)
{
	if (inner_opens(packet))
		return claim_open(flow, packet);
	if (flow->state == FLOW_HALF_OPEN)
		return claim_half_open(flow, packet);
	if (!agent_seq_near(packet->seq, flow->caller_seq) ||
	    ((packet->flags & TCP_ACK) &&
	     !agent_seq_near(packet->ack, flow->server_seq)))
		return CLAIM_FOREIGN;
	return CLAIM_OURS;
}

static void handle_ours(struct agent *agent, struct flow *flow,
			const struct packet_header *header,
			const struct inner_packet *packet, int64_t now_ms,
			struct packet_sink *sink)
{
	if (inner_opens(packet)) {
		if (flow->state == FLOW_HALF_OPEN &&
		    !(flow->bits & FLOW_ANSWERED) &&
		    (uint32_t)now_ms - flow->mark_ms > SYN_REPEAT_MS)
			admit_record_no_response(&agent->admit, now_ms);
		agent_deliver(agent, header, packet, now_ms, sink);
		return;
	}
	agent_hint(agent, header, packet, sink);
	if (flow->state == FLOW_HALF_OPEN)
		flow->state = FLOW_OPEN;
	if (packet->payload_len && !(flow->bits & FLOW_ASKED) &&
	    flow->state == FLOW_OPEN) {
		agent_flow_ask(agent, flow, true, now_ms);
		flow->mark_ms = (uint32_t)now_ms;
	}
	agent_seq_advance(&flow->caller_seq, agent_seq_after(packet));
	agent_flow_track(agent, flow, packet->flags, FLOW_CALLER_FIN, now_ms);
	agent_deliver(agent, header, packet, now_ms, sink);
}

/* Whether the server may have a connection that is not in our table. */
static bool may_have(const struct agent *agent,
		     const struct inner_packet *packet, int64_t now_ms)
{
	return now_ms < agent->unsure_until_ms &&
	       !absent_memory_has(&agent->absent, &packet->key);
}

/* No packet for one service reaches a server of another. */
static bool may_ask(const struct agent *agent,
		    const struct inner_packet *packet, int64_t now_ms)
{
	const struct route_view *route =
		view_find_route(agent->view, &packet->key);

	return route &&
	       view_route_has_service(agent->view, route, agent->service_id) &&
	       (!agent->server.heard ||
		server_watch_holds(&agent->server, now_ms));
}

static void handle_foreign(struct agent *agent, struct packet_header *header,
			   const struct inner_packet *packet, int64_t now_ms,
			   struct packet_sink *sink)
{
	if (inner_opens(packet) && agent->service && agent->zone_in) {
		agent_handle_open(agent, header, packet, now_ms, sink);
		return;
	}
	if (header->asking) {
		agent_ask_server(agent, header, packet, header->position,
				 now_ms, sink);
		return;
	}
	if (!inner_opens(packet) && may_have(agent, packet, now_ms)) {
		if (may_ask(agent, packet, now_ms))
			header->unsure |= (uint8_t)(1U << header->position);
		else
			header->doubt = true;
	}
	agent_pass_on(agent, header, packet, now_ms, sink);
}

/* The error quotes a segment of the server's, which must be a recent one. */
static void handle_icmp(struct agent *agent, const struct flow *flow,
			struct packet_header *header,
			const struct inner_packet *packet, int64_t now_ms,
			struct packet_sink *sink)
{
	if (flow && agent_seq_near(packet->seq, flow->server_seq))
		agent_deliver(agent, header, packet, now_ms, sink);
	else
		agent_pass_on(agent, header, packet, now_ms, sink);
}

static void handle_flow(struct agent *agent, struct packet_header *header,
			const struct inner_packet *packet, int64_t now_ms,
			struct packet_sink *sink)
{
	struct flow *flow = flow_table_find(&agent->flows, &packet->key);

	if (packet->icmp) {
		handle_icmp(agent, flow, header, packet, now_ms, sink);
		return;
	}
	if (flow && (flow->bits & FLOW_LOST) && !inner_opens(packet)) {
		agent_count(agent, COUNTER_RESET_LOST);
		agent_decided(agent, DECISION_RESET_LOST, packet, 0,
			      "server-ended", sink);
		agent_reset_caller(agent, packet, sink);
		return;
	}
	switch (flow ? claim(flow, packet) : CLAIM_FOREIGN) {
	case CLAIM_OURS:
		handle_ours(agent, flow, header, packet, now_ms, sink);
		return;
	case CLAIM_LATE:
		agent_count(agent, COUNTER_DROP_LATE);
		return;
	case CLAIM_LOST:
		agent_count(agent, COUNTER_OPEN_LOST_RACE);
		agent_reset_server(agent, flow, sink);
		agent_flow_forget(agent, flow);
		break;
	case CLAIM_REOPENS:
		if (flow->state == FLOW_HALF_OPEN)
			agent_reset_server(agent, flow, sink);
		agent_flow_forget(agent, flow);
		break;
	case CLAIM_FOREIGN:
		break;
	}
	handle_foreign(agent, header, packet, now_ms, sink);
}

/*
 * An order has taken our zone out: nothing reaches our server. What it has is
 * dropped, for its connections may live on after the order; what it has not
 * is searched for elsewhere.
 */
static void handle_cut(struct agent *agent, struct packet_header *header,
		       const struct inner_packet *packet, int64_t now_ms,
		       struct packet_sink *sink)
{
	const struct flow *flow = flow_table_find(&agent->flows, &packet->key);

	if (flow && (flow->bits & FLOW_LOST)) {
		handle_flow(agent, header, packet, now_ms, sink);
		return;
	}
	if (flow && claim(flow, packet) != CLAIM_FOREIGN) {
		agent_count(agent, COUNTER_DROP_ZONE_CUT);
		return;
	}
	header->doubt |= header->asking || may_have(agent, packet, now_ms);
	agent_pass_on(agent, header, packet, now_ms, sink);
}

static bool to_our_service(const struct agent *agent,
			   const struct inner_packet *packet)
{
	const struct route_view *route;

	if (!agent->service)
		return true;
	route = view_find_route(agent->view, &packet->key);
	return route && view_route_has_weighted_service(agent->view, route,
							agent->service_id);
}

/* True when the header addresses this very agent and service. */
static bool meant_for_us(struct agent *agent,
			 const struct packet_header *header)
{
	const struct candidate *self = &header->candidates[header->position];

	if (header->kind == PACKET_LOAD || header->kind == PACKET_PROBE)
		return true;
	if (header->service_id != agent->service_id)
		return false;
	if (self->member_id != agent->member_id)
		return false;
	/* The flow table decides; the sender only knows an older run of us. */
	if (self->instance_check != agent->instance_check)
		agent_count(agent, COUNTER_STALE_INSTANCE);
	return true;
}

/*
 * We have the address of a server that is gone. Nothing of it reaches our own
 * server; the next candidate may be the owner.
 */
static void handle_stray(struct agent *agent, struct packet_header *header,
			 const uint8_t *data, size_t len, int64_t now_ms,
			 struct packet_sink *sink)
{
	struct inner_packet packet;

	agent_count(agent, COUNTER_STRAY_PASSED);
	if (header->kind == PACKET_DATA &&
	    agent->format->parse(&packet, data, len))
		agent_pass_on(agent, header, &packet, now_ms, sink);
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
	if (inner_opens(&packet) && !to_our_service(agent, &packet)) {
		agent_count(agent, COUNTER_DROP_WRONG_SERVICE);
		return;
	}
	if (!inner_opens(&packet) &&
	    !view_find_route(agent->view, &packet.key)) {
		agent_count(agent, COUNTER_DROP_WRONG_SERVICE);
		return;
	}
	if (agent->zone_order == ZONE_ORDER_CUT && !inner_opens(&packet)) {
		handle_cut(agent, header, &packet, now_ms, sink);
		return;
	}
	if (agent->zone_order == ZONE_ORDER_DRAINING && !inner_opens(&packet)) {
		handle_flow(agent, header, &packet, now_ms, sink);
		return;
	}
	if (!agent->zone_in) {
		agent_count(agent, COUNTER_ZONE_OUT_PASSED);
		/* Our server may have it, and may get nothing. */
		header->doubt = true;
		agent_pass_on(agent, header, &packet, now_ms, sink);
		return;
	}
	handle_flow(agent, header, &packet, now_ms, sink);
}

void agent_handle_peer(struct agent *agent, const uint8_t *data, size_t len,
		       int64_t now_ms, struct packet_sink *sink)
{
	struct packet_header header;
	size_t header_len;

	agent_count(agent, COUNTER_PACKET_IN);
	if (!agent->view) {
		agent_count(agent, COUNTER_DROP_NO_CONFIG);
		return;
	}
	header_len = packet_header_decode(&header, data, len);
	if (!header_len || header.kind == PACKET_OWNER) {
		agent_count(agent, COUNTER_DROP_HEADER);
		return;
	}
	/* Another release may lead the search to other services. */
	header.doubt |= header.config_revision !=
			(uint64_t)agent->view->config_revision;
	if (!meant_for_us(agent, &header)) {
		handle_stray(agent, &header, data + header_len,
			     len - header_len, now_ms, sink);
		return;
	}
	if (header.kind != PACKET_PROBE)
		agent_hear_load(agent, &header, now_ms);
	if (header.kind == PACKET_LOAD)
		agent_probe_deaf(agent, &header, now_ms, sink);
	else
		agent_count_sender(agent, &header);
	if (header.kind == PACKET_DATA)
		handle_data(agent, &header, data + header_len, len - header_len,
			    now_ms, sink);
}

static int64_t flow_timeout(const struct agent *agent, const struct flow *flow)
{
	switch (flow->state) {
	case FLOW_HALF_OPEN:
		return HALF_OPEN_TIMEOUT_MS;
	case FLOW_CLOSING:
		return CLOSING_LINGER_MS;
	default:
		return agent->idle_timeout_ms;
	}
}

static void expire_slot(struct agent *agent, struct flow *flow, int64_t now_ms)
{
	if (agent_flow_age(flow, now_ms) < flow_timeout(agent, flow))
		return;
	if (flow->state != FLOW_CLOSING)
		agent_count(agent, COUNTER_FLOW_EXPIRED);
	agent_flow_forget(agent, flow);
}

static void refill(struct agent *agent, int64_t now_ms)
{
	if (now_ms < agent->next_refill_ms)
		return;
	agent->next_refill_ms = now_ms + REFILL_MS;
	agent->searches_left = SEARCHES_PER_REFILL;
	agent->hints_left = HINTS_PER_REFILL;
	if (agent->service && agent->admit.has_server_report)
		agent_compare_server(agent, now_ms);
}

void agent_tick(struct agent *agent, int64_t now_ms, struct packet_sink *sink)
{
	struct flow_table *flows = &agent->flows;

	admit_tick(&agent->admit, now_ms);
	refill(agent, now_ms);
	agent_serve_waiting(agent, now_ms, sink);
	agent_tell_load(agent, now_ms, sink);
	for (int i = 0; i < EXPIRY_SLOTS_PER_TICK; i++) {
		struct flow *flow = &flows->slots[flows->cursor];

		if (flow->state != FLOW_FREE)
			expire_slot(agent, flow, now_ms);
		flows->cursor = (flows->cursor + 1) & flows->mask;
	}
}

int64_t agent_next_deadline(const struct agent *agent)
{
	return MIN(agent->admit.next_increase_ms, agent->next_notice_ms);
}

/* Tells the caller of @flow, whose last acknowledgement is known roughly. */
static void reset_flow(struct agent *agent, const struct flow *flow,
		       struct packet_sink *sink)
{
	struct inner_packet last = {
		.ack = flow->server_seq,
		.seq = flow->caller_seq,
	};

	flow_key_of(&last.key, flow);
	agent_count(agent, COUNTER_RESET_LOST);
	agent_decided(agent, DECISION_RESET_LOST, &last, 0, "server-ended",
		      sink);
	agent_reset_caller(agent, &last, sink);
}

/*
 * What was open at the server is gone with it. Callers are told at once when
 * it is certain, else when they send.
 */
static void lose_flows(struct agent *agent, bool tell, struct packet_sink *sink)
{
	struct flow_table *flows = &agent->flows;

	agent_count(agent, COUNTER_SERVER_RESTARTED);
	for (uint32_t i = 0; i <= flows->mask; i++) {
		struct flow *flow = &flows->slots[i];

		if (flow->state == FLOW_FREE)
			continue;
		if (flow->state != FLOW_CLOSING)
			flow->bits |= FLOW_LOST;
		if (tell && flow->state == FLOW_OPEN)
			reset_flow(agent, flow, sink);
		agent_flow_close(agent, flow);
	}
	agent->admit.running = 0;
	agent->admit.mean_response_ms = 0;
	agent->admit.slow_factor = 1;
	agent->admit.failure_rate = 0;
	agent->owed_since_ms = CLOCK_NEVER;
	agent->unsure_until_ms = INT64_MIN;
}

bool agent_doubts_server(struct agent *agent, int64_t now_ms)
{
	const struct server_watch *server = &agent->server;
	bool overdue = !server->heard ||
		       now_ms - server->heard_ms >= server->lease_ms;
	bool owes = now_ms - DOUBT_MS >= agent->owed_since_ms;

	if (!server->required || server->report.state == SERVER_GONE ||
	    (!overdue && !owes) || now_ms < agent->next_doubt_ms)
		return false;
	agent->next_doubt_ms = now_ms + DOUBT_MS;
	return true;
}

static int64_t cold_per_s(const struct agent *agent)
{
	return agent->service ? agent->service->service.cold_per_s : 0;
}

void agent_take_report(struct agent *agent, const struct server_report *report,
		       int64_t now_ms, struct packet_sink *sink)
{
	bool first = !agent->server.heard;

	switch (server_watch_take(&agent->server, report, now_ms)) {
	case SERVER_LATE:
		return;
	case SERVER_RESTARTED:
		lose_flows(agent, true, sink);
		break;
	case SERVER_SAME:
		break;
	}
	/* A server that starts has no connections from before us. */
	if (first && report->sequence <= FIRST_SEQUENCE)
		agent->unsure_until_ms = now_ms;
	if (report->state == SERVER_GONE) {
		lose_flows(agent, report->refused, sink);
		admit_drain(&agent->admit);
		return;
	}
	agent->service_id = service_id(&report->service);
	if (agent->view)
		agent->service =
			view_find_service(agent->view, agent->service_id);
	admit_apply_report(&agent->admit, report->slots, report->warm_in_ms,
			   cold_per_s(agent), now_ms);
	if (report->state == SERVER_READY)
		admit_undrain(&agent->admit);
	else
		admit_drain(&agent->admit);
}
