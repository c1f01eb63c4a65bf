#include "tarragonflow/flow/agent_flow.h"

/* True when the server refused; its RST is not the caller's business. */
static bool take_refusal(struct agent *agent, struct flow *flow,
			 const struct inner_packet *packet, int64_t now_ms)
{
	if (!(packet->flags & TCP_RST) || flow->state != FLOW_HALF_OPEN ||
	    (flow->bits & FLOW_ANSWERED))
		return false;
	agent_count(agent, COUNTER_REFUSE_BY_SERVER);
	admit_refused(&agent->admit, now_ms);
	agent_flow_forget(agent, flow);
	return true;
}

/* What was open may be gone, so it no longer counts until it is proven. */
static void doubt_flows(struct agent *agent)
{
	struct flow_table *flows = &agent->flows;

	agent_count(agent, COUNTER_TURNED_COLD);
	admit_restarted(&agent->admit);
	for (uint32_t i = 0; i <= flows->mask; i++)
		if (flows->slots[i].state == FLOW_OPEN ||
		    flows->slots[i].state == FLOW_HALF_OPEN)
			flows->slots[i].bits |= FLOW_UNPROVEN;
}

/* A reset without a FIN before: the server forgot the connection. */
static void note_restart(struct agent *agent, struct flow *flow,
			 const struct inner_packet *packet, int64_t now_ms)
{
	const uint8_t fins = FLOW_CALLER_FIN | FLOW_SERVER_FIN;

	if (flow->state != FLOW_OPEN)
		return;
	if (!(packet->flags & TCP_RST)) {
		if (flow->bits & FLOW_UNPROVEN)
			admit_proven(&agent->admit);
		flow->bits &= (uint8_t)~FLOW_UNPROVEN;
		return;
	}
	if (!(flow->bits & (fins | FLOW_UNPROVEN)) &&
	    admit_reset(&agent->admit, now_ms))
		doubt_flows(agent);
}

static void note_answer(struct agent *agent, struct flow *flow,
			const struct inner_packet *packet, int64_t now_ms)
{
	if ((packet->flags & TCP_SYN) && flow->state == FLOW_HALF_OPEN) {
		if (!(flow->bits & FLOW_ANSWERED))
			admit_accepted(&agent->admit);
		flow->bits |= FLOW_ANSWERED;
		flow->server_seq = packet->seq + 1;
	}
	if (packet->payload_len && !(flow->bits & FLOW_ASKED))
		admit_pushed(&agent->admit);
	if (packet->payload_len && (flow->bits & FLOW_ASKED)) {
		flow->bits &= (uint8_t)~FLOW_ASKED;
		admit_answered(&agent->admit, (uint32_t)now_ms - flow->mark_ms,
			       now_ms);
	}
	note_restart(agent, flow, packet, now_ms);
}

static void track_server(struct agent *agent, struct flow *flow,
			 const struct inner_packet *packet, int64_t now_ms)
{
	note_answer(agent, flow, packet, now_ms);
	if (!(packet->flags & TCP_RST))
		agent_seq_advance(&flow->server_seq, agent_seq_after(packet));
	agent_flow_track(agent, flow, packet->flags, FLOW_SERVER_FIN, now_ms);
}

void agent_handle_server(struct agent *agent, const uint8_t *data, size_t len,
			 int64_t now_ms, struct packet_sink *sink)
{
	struct inner_packet packet;
	struct flow_key key;
	struct flow *flow;

	if (!inner_parse(&packet, data, len)) {
		agent_count(agent, inner_drop_reason(&packet));
		return;
	}
	flow_key_reverse(&key, &packet.key);
	flow = flow_table_find(&agent->flows, &key);
	if (!flow) {
		agent_count(agent, COUNTER_DROP_NO_OWNER);
		return;
	}
	if (take_refusal(agent, flow, &packet, now_ms))
		return;
	if (!packet.icmp)
		track_server(agent, flow, &packet, now_ms);
	agent_count(agent, COUNTER_PACKET_RETURNED);
	sink->to_fabric(sink, data, len);
}
