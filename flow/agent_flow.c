#include "tarragonflow/flow/agent_flow.h"

#include <xxhash.h>

#define RST_BUFFER_BYTES 64

void agent_count(struct agent *agent, enum counter_id id)
{
	counter_inc(agent->counters, id);
}

uint8_t agent_kind_of(struct agent *agent, const struct flow_key *key)
{
	const struct route_view *route =
		agent->view ? view_find_route(agent->view, key) : NULL;
	uint64_t hash = XXH3_64bits_withSeed(&key->dst, sizeof(key->dst),
					     key->dst_port);

	return cost_find_kind(&agent->admit.cost, hash,
			      route ? route->timeout_ms : 0);
}

void agent_flow_count_open(struct agent *agent, struct flow *flow,
			   const struct flow_key *key, int64_t now_ms)
{
	flow->kind = agent_kind_of(agent, key);
	cost_adjust_open(&agent->admit.cost, flow->kind, 1, now_ms);
}

void agent_flow_start_request(struct agent *agent, struct flow *flow,
			      int64_t now_ms)
{
	if (flow->state_bits & FLOW_AWAITING_RESPONSE)
		return;
	flow->state_bits |= FLOW_AWAITING_RESPONSE;
	flow->pending_since_ms = (uint32_t)now_ms;
	admit_start_request(&agent->admit, flow->kind, now_ms);
}

void agent_flow_end_request(struct agent *agent, struct flow *flow,
			    bool responded, int64_t now_ms)
{
	if (!(flow->state_bits & FLOW_AWAITING_RESPONSE))
		return;
	flow->state_bits &= (uint8_t)~FLOW_AWAITING_RESPONSE;
	admit_end_request(&agent->admit, flow->kind, flow->pending_since_ms,
			  responded, now_ms);
}

static void uncount_connection(struct agent *agent, struct flow *flow)
{
	agent_flow_end_request(agent, flow, false,
			       agent->admit.mean_updated_ms);
	if (flow->state_bits & FLOW_UNCONFIRMED) {
		admit_remove_unconfirmed(&agent->admit);
		return;
	}
	admit_remove_connection(&agent->admit);
	cost_adjust_open(&agent->admit.cost, flow->kind, -1,
			 agent->admit.mean_updated_ms);
}

void agent_flow_close(struct agent *agent, struct flow *flow)
{
	if (flow->state == FLOW_CLOSING)
		return;
	flow->state = FLOW_CLOSING;
	uncount_connection(agent, flow);
	agent_count(agent, COUNTER_FLOW_CLOSED);
}

void agent_flow_remove(struct agent *agent, struct flow *flow)
{
	if (flow->state != FLOW_CLOSING)
		uncount_connection(agent, flow);
	flow_table_remove(&agent->flows, flow);
}

uint32_t agent_seq_after(const struct inner_packet *packet)
{
	uint32_t next = packet->seq + packet->payload_len;

	return packet->flags & (TCP_SYN | TCP_FIN) ? next + 1 : next;
}

bool agent_seq_in_window(const struct agent *agent, uint32_t a, uint32_t b)
{
	int32_t distance = (int32_t)(a - b);

	return distance > -agent->format->seq_window &&
	       distance < agent->format->seq_window;
}

bool agent_flow_has_packet(const struct agent *agent, const struct flow *flow,
			   const struct inner_packet *packet)
{
	return agent_seq_in_window(agent, packet->seq, flow->caller_seq) &&
	       (!(packet->flags & TCP_ACK) ||
		agent_seq_in_window(agent, packet->ack, flow->server_seq));
}

void agent_seq_advance(uint32_t *next, uint32_t seq)
{
	if ((int32_t)(seq - *next) > 0)
		*next = seq;
}

void agent_flow_track(struct agent *agent, struct flow *flow, uint8_t flags,
		      uint8_t fin_bit, int64_t now_ms)
{
	const uint8_t both_fins = FLOW_CALLER_FIN | FLOW_SERVER_FIN;

	flow->last_packet_ms = (uint32_t)now_ms;
	if (flags & TCP_FIN)
		flow->state_bits |= fin_bit;
	if ((flags & TCP_RST) || (flow->state_bits & both_fins) == both_fins)
		agent_flow_close(agent, flow);
}

void agent_record_decision(const struct agent *agent, enum decision_kind kind,
			   const struct inner_packet *packet,
			   uint32_t member_id, const char *reason,
			   struct packet_sink *sink)
{
	const struct decision decision = {
		.kind = kind,
		.key = &packet->key,
		.open_seq = inner_opens_connection(packet) ? packet->seq : 0,
		.member_id = member_id,
		.reason = reason,
		.running = agent->admit.running,
		.waiting = agent->admit.waiting,
		.config_revision =
			agent->view ? (uint64_t)agent->view->config_revision
				    : 0,
	};

	if (sink->record_decision)
		sink->record_decision(sink, &decision);
}

void agent_reset_caller(struct agent *agent, const struct inner_packet *packet,
			struct packet_sink *sink)
{
	struct inner_spec spec = {
		.seq = packet->ack,
		.ack = packet->seq + 1 + packet->payload_len,
		.flags = TCP_RST | TCP_ACK,
	};
	uint8_t out[RST_BUFFER_BYTES];

	flow_key_reverse(&spec.key, &packet->key);
	sink->to_fabric(sink, out,
			agent->format->build(&spec, out, sizeof(out)));
}

uint32_t agent_flow_age(const struct flow *flow, int64_t now_ms)
{
	return (uint32_t)now_ms - flow->last_packet_ms;
}
