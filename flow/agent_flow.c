#include "tarragonflow/flow/agent_flow.h"

/* Distance of a packet from its connection's sequence numbers, bytes. */
#define SEQ_WINDOW (1 << 26)
#define RESET_BYTES 64

void agent_count(struct agent *agent, enum counter_id id)
{
	counter_inc(agent->counters, id);
}

void agent_flow_ask(struct agent *agent, struct flow *flow, bool asked,
		    int64_t now_ms)
{
	if (asked == ((flow->bits & FLOW_ASKED) != 0))
		return;
	flow->bits ^= FLOW_ASKED;
	admit_adjust_running(&agent->admit, asked ? 1 : -1, now_ms);
}

static void flow_give_back(struct agent *agent, struct flow *flow)
{
	agent_flow_ask(agent, flow, false, agent->admit.mean_updated_ms);
	if (flow->bits & FLOW_UNPROVEN)
		admit_close_unconfirmed(&agent->admit);
	else
		admit_close(&agent->admit);
}

void agent_flow_close(struct agent *agent, struct flow *flow)
{
	if (flow->state == FLOW_CLOSING)
		return;
	flow->state = FLOW_CLOSING;
	flow_give_back(agent, flow);
	agent_count(agent, COUNTER_FLOW_CLOSED);
}

void agent_flow_forget(struct agent *agent, struct flow *flow)
{
	if (flow->state != FLOW_CLOSING)
		flow_give_back(agent, flow);
	flow_table_remove(&agent->flows, flow);
}

uint32_t agent_seq_after(const struct inner_packet *packet)
{
	uint32_t next = packet->seq + packet->payload_len;

	return packet->flags & (TCP_SYN | TCP_FIN) ? next + 1 : next;
}

bool agent_seq_near(uint32_t a, uint32_t b)
{
	int32_t distance = (int32_t)(a - b);

	return distance > -SEQ_WINDOW && distance < SEQ_WINDOW;
}

void agent_seq_advance(uint32_t *next, uint32_t seq)
{
	if ((int32_t)(seq - *next) > 0)
		*next = seq;
}

void agent_flow_track(struct agent *agent, struct flow *flow, uint8_t flags,
		      uint8_t fin_bit, int64_t now_ms)
{
	const uint8_t both = FLOW_CALLER_FIN | FLOW_SERVER_FIN;

	flow->last_ms = (uint32_t)now_ms;
	if (flags & TCP_FIN)
		flow->bits |= fin_bit;
	if ((flags & TCP_RST) || (flow->bits & both) == both)
		agent_flow_close(agent, flow);
}

void agent_decided(const struct agent *agent, enum decision_kind kind,
		   const struct inner_packet *packet, uint32_t member_id,
		   const char *reason, struct packet_sink *sink)
{
	const struct decision decision = {
		.kind = kind,
		.key = &packet->key,
		.open_seq = inner_opens(packet) ? packet->seq : 0,
		.member_id = member_id,
		.reason = reason,
		.running = agent->admit.running,
		.waiting = agent->admit.waiting,
		.config_revision =
			agent->view ? (uint64_t)agent->view->config_revision
				    : 0,
	};

	if (sink->decided)
		sink->decided(sink, &decision);
}

void agent_reset_caller(struct agent *agent, const struct inner_packet *packet,
			struct packet_sink *sink)
{
	struct inner_spec spec = {
		.seq = packet->ack,
		.ack = packet->seq + 1 + packet->payload_len,
		.flags = TCP_RST | TCP_ACK,
	};
	uint8_t out[RESET_BYTES];

	flow_key_reverse(&spec.key, &packet->key);
	sink->to_fabric(sink, out,
			agent->format->build(&spec, out, sizeof(out)));
}

uint32_t agent_flow_age(const struct flow *flow, int64_t now_ms)
{
	return (uint32_t)now_ms - flow->last_ms;
}
