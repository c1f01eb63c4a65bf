#include "tarragonflow/flow/agent.h"

#include <glib.h>
#include <string.h>

/* Flows are never limited by memory before the admission limit is. */
#define TABLE_SLACK 2
#define TABLE_MIN_FLOWS 1024
#define CLOSING_LINGER_MS 10000
#define HALF_OPEN_TIMEOUT_MS 30000
#define DEFAULT_IDLE_TIMEOUT_MS 3600000
#define EXPIRY_SLOTS_PER_TICK 512
#define FIN_FROM_CALLER 1
#define FIN_FROM_SERVER 2
#define FIN_BOTH (FIN_FROM_CALLER | FIN_FROM_SERVER)

void agent_init(struct agent *agent, const struct agent_identity *identity,
		struct counters *counters, int64_t now_ms)
{
	uint32_t max =
		MAX(identity->connections * TABLE_SLACK, TABLE_MIN_FLOWS);

	memset(agent, 0, sizeof(*agent));
	agent->counters = counters;
	agent->zone = identity->zone;
	agent->member_id = member_id(&identity->name);
	agent->service_id = service_id(&identity->service);
	agent->instance_check = packet_instance_check(identity->instance);
	agent->idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS;
	flow_table_init(&agent->flows, max, identity->seed);
	admit_init(&agent->admit, identity->connections, now_ms);
}

void agent_finish(struct agent *agent)
{
	flow_table_finish(&agent->flows);
}

void agent_set_view(struct agent *agent, const struct view *view)
{
	const struct service_view *service =
		view_service(view, agent->service_id);

	agent->view = view;
	if (service)
		agent->idle_timeout_ms = service->service.idle_timeout_s * 1000;
}

void agent_drain(struct agent *agent)
{
	admit_drain(&agent->admit);
}

uint32_t agent_open(const struct agent *agent)
{
	return agent->flows.used;
}

static void count(struct agent *agent, enum counter_id id)
{
	counter_inc(agent->counters, id);
}

static void flow_close(struct agent *agent, struct flow *flow)
{
	if (flow->state == FLOW_CLOSING)
		return;
	flow->state = FLOW_CLOSING;
	admit_close(&agent->admit);
	count(agent, COUNTER_FLOW_CLOSED);
}

/* Follows the packet's flags; @fin_bit says who sent it. */
static void flow_track(struct agent *agent, struct flow *flow, uint8_t flags,
		       uint8_t fin_bit, int64_t now_ms)
{
	flow->last_ms = now_ms;
	if (flags & TCP_FIN)
		flow->fins |= fin_bit;
	if ((flags & TCP_RST) || flow->fins == FIN_BOTH)
		flow_close(agent, flow);
}

static void deliver(struct agent *agent, const struct inner_packet *packet,
		    struct packet_sink *sink)
{
	count(agent, COUNTER_PACKET_DELIVERED);
	sink->to_server(sink, packet->data, packet->len);
}

/* Sends the packet to the next candidate, or drops it after the last. */
static void pass_on(struct agent *agent, struct packet_header *header,
		    const struct inner_packet *packet, struct packet_sink *sink)
{
	bool opens = inner_opens(packet);

	if (!header->hops_left) {
		count(agent, COUNTER_DROP_HOPS);
		return;
	}
	header->hops_left--;
	for (header->position++; header->position < header->n_candidates;
	     header->position++) {
		const struct candidate *next =
			&header->candidates[header->position];

		if (opens && !(next->flags & CANDIDATE_TAKES_NEW))
			continue;
		count(agent, opens ? COUNTER_OPEN_HANDED_ON
				   : COUNTER_PACKET_HANDED_ON);
		sink->to_peer(sink, &next->data, header, packet->data,
			      packet->len);
		return;
	}
	count(agent, COUNTER_DROP_NO_OWNER);
}

static void count_refusal(struct agent *agent, enum admit_verdict verdict)
{
	switch (verdict) {
	case ADMIT_FULL:
		count(agent, COUNTER_REFUSE_CONNECTIONS);
		break;
	case ADMIT_COLD:
		count(agent, COUNTER_REFUSE_COLD);
		break;
	case ADMIT_DRAINING:
		count(agent, COUNTER_REFUSE_DRAINING);
		break;
	case ADMIT_YES:
		break;
	}
}

static void handle_open(struct agent *agent, struct packet_header *header,
			const struct inner_packet *packet, int64_t now_ms,
			struct packet_sink *sink)
{
	enum admit_verdict verdict = admit_open(&agent->admit);
	struct flow *flow;

	if (verdict != ADMIT_YES) {
		count_refusal(agent, verdict);
		pass_on(agent, header, packet, sink);
		return;
	}
	flow = flow_table_insert(&agent->flows, &packet->key);
	if (!flow) {
		admit_close(&agent->admit);
		count(agent, COUNTER_REFUSE_TABLE_FULL);
		pass_on(agent, header, packet, sink);
		return;
	}
	flow->opened_ms = now_ms;
	flow->last_ms = now_ms;
	flow->syn_seq = packet->seq;
	count(agent, COUNTER_FLOW_OPENED);
	deliver(agent, packet, sink);
}

/* A SYN on a closed flow's 5-tuple opens a new connection. */
static bool flow_reusable(const struct flow *flow,
			  const struct inner_packet *packet)
{
	return flow->state == FLOW_CLOSING && inner_opens(packet) &&
	       packet->seq != flow->syn_seq;
}

/* True when the header addresses this very agent and service. */
static bool meant_for_us(struct agent *agent,
			 const struct packet_header *header)
{
	const struct candidate *self = &header->candidates[header->position];

	if (header->service_id != agent->service_id) {
		count(agent, COUNTER_DROP_WRONG_SERVICE);
		return false;
	}
	if (self->member_id != agent->member_id) {
		count(agent, COUNTER_DROP_WRONG_MEMBER);
		return false;
	}
	if (view_zone_out(agent->view, &agent->zone)) {
		count(agent, COUNTER_DROP_ZONE_OUT);
		return false;
	}
	return true;
}

void agent_handle_peer(struct agent *agent, const uint8_t *data, size_t len,
		       int64_t now_ms, struct packet_sink *sink)
{
	struct packet_header header;
	struct inner_packet packet;
	struct flow *flow;
	size_t header_len;

	count(agent, COUNTER_PACKET_IN);
	if (!agent->view) {
		count(agent, COUNTER_DROP_NO_CONFIG);
		return;
	}
	header_len = packet_header_decode(&header, data, len);
	if (!header_len) {
		count(agent, COUNTER_DROP_HEADER);
		return;
	}
	if (!inner_parse(&packet, data + header_len, len - header_len)) {
		count(agent, inner_drop_reason(&packet));
		return;
	}
	if (!meant_for_us(agent, &header))
		return;
	flow = flow_table_find(&agent->flows, &packet.key);
	if (flow && flow_reusable(flow, &packet)) {
		flow_table_remove(&agent->flows, flow);
		flow = NULL;
	}
	if (flow) {
		if (flow->state == FLOW_HALF_OPEN && (packet.flags & TCP_ACK))
			flow->state = FLOW_OPEN;
		flow_track(agent, flow, packet.flags, FIN_FROM_CALLER, now_ms);
		deliver(agent, &packet, sink);
	} else if (inner_opens(&packet)) {
		handle_open(agent, &header, &packet, now_ms, sink);
	} else {
		pass_on(agent, &header, &packet, sink);
	}
}

void agent_handle_server(struct agent *agent, const uint8_t *data, size_t len,
			 int64_t now_ms, struct packet_sink *sink)
{
	struct inner_packet packet;
	struct flow_key key;
	struct flow *flow;

	if (!inner_parse(&packet, data, len)) {
		count(agent, inner_drop_reason(&packet));
		return;
	}
	flow_key_reverse(&key, &packet.key);
	flow = flow_table_find(&agent->flows, &key);
	if (!flow) {
		count(agent, COUNTER_DROP_NO_OWNER);
		return;
	}
	if (!flow->answered && (packet.flags & TCP_SYN)) {
		flow->answered = 1;
		flow->server_seq = packet.seq;
		admit_answered(&agent->admit);
	}
	flow_track(agent, flow, packet.flags, FIN_FROM_SERVER, now_ms);
	count(agent, COUNTER_PACKET_RETURNED);
	sink->to_fabric(sink, data, len);
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
	if (now_ms - flow->last_ms < flow_timeout(agent, flow))
		return;
	if (flow->state != FLOW_CLOSING) {
		admit_close(&agent->admit);
		count(agent, COUNTER_FLOW_EXPIRED);
	}
	flow_table_remove(&agent->flows, flow);
}

void agent_tick(struct agent *agent, int64_t now_ms)
{
	struct flow_table *flows = &agent->flows;

	admit_tick(&agent->admit, now_ms);
	for (int i = 0; i < EXPIRY_SLOTS_PER_TICK; i++) {
		struct flow *flow = &flows->slots[flows->cursor];

		if (flow->state != FLOW_FREE)
			expire_slot(agent, flow, now_ms);
		flows->cursor = (flows->cursor + 1) & flows->mask;
	}
}

int64_t agent_next_deadline(const struct agent *agent)
{
	return agent->admit.next_step_ms;
}
