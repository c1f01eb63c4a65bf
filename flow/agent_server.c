#include "tarragonflow/flow/agent_flow.h"

#include <string.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/log.h"
#include "tarragonflow/flow/agent_mark.h"
#include "tarragonflow/flow/agent_notice.h"
#include "tarragonflow/flow/agent_open.h"
#include "tarragonflow/flow/agent_route.h"

/* True when the server refused; its RST is not the caller's business. */
static bool take_refusal(struct agent *agent, struct flow *flow,
			 const struct inner_packet *packet, int64_t now_ms)
{
	if (!(packet->flags & TCP_RST) || flow->state != FLOW_HALF_OPEN ||
	    (flow->bits & FLOW_ANSWERED))
		return false;
	agent_count(agent, COUNTER_REFUSE_BY_SERVER);
	admit_record_refusal(&agent->admit, now_ms);
	agent_flow_forget(agent, flow);
	return true;
}

/* What was open may be gone, so it no longer counts until it is proven. */
static void doubt_flows(struct agent *agent)
{
	struct flow_table *flows = &agent->flows;

	agent_count(agent, COUNTER_TURNED_COLD);
	admit_handle_restart(&agent->admit);
	for (uint32_t i = 0; i <= flows->mask; i++)
		if (flows->slots[i].state == FLOW_OPEN ||
		    flows->slots[i].state == FLOW_HALF_OPEN)
			flows->slots[i].bits |= FLOW_UNPROVEN;
}

static void note_broken(struct agent *agent, const struct flow *flow,
			int64_t now_ms)
{
	if (!(flow->bits & FLOW_ASKED) ||
	    !admit_record_abort(&agent->admit, now_ms))
		return;
	agent_count(agent, COUNTER_SERVER_FAILING);
	log_event(LOG_LEVEL_WARN, "server-failing",
		  "broken_share=%.2f running=%u", agent->admit.failure_rate,
		  agent->admit.running);
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
			admit_confirm(&agent->admit);
		flow->bits &= (uint8_t)~FLOW_UNPROVEN;
		return;
	}
	if (flow->bits & (fins | FLOW_UNPROVEN))
		return;
	if (agent->admit.has_server_report)
		note_broken(agent, flow, now_ms);
	else if (admit_record_reset(&agent->admit, now_ms))
		doubt_flows(agent);
}

static void note_answer(struct agent *agent, struct flow *flow,
			const struct inner_packet *packet, int64_t now_ms)
{
	if ((packet->flags & TCP_SYN) && flow->state == FLOW_HALF_OPEN) {
		if (!(flow->bits & FLOW_ANSWERED))
			admit_record_accept(&agent->admit);
		flow->bits |= FLOW_ANSWERED;
		flow->server_seq = packet->seq + 1;
	}
	if (packet->payload_len && !(flow->bits & FLOW_ASKED))
		admit_record_push(&agent->admit);
	if (packet->payload_len && (flow->bits & FLOW_ASKED)) {
		agent_flow_ask(agent, flow, false, now_ms);
		histogram_record(&agent->answers,
				 (uint32_t)now_ms - flow->mark_ms);
		admit_record_response(&agent->admit,
				      (uint32_t)now_ms - flow->mark_ms, now_ms);
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

/* The server has a connection that our table, younger than it, lacks. */
static struct flow *adopt(struct agent *agent, const struct flow_key *key,
			  const struct inner_packet *packet, int64_t now_ms,
			  struct packet_sink *sink)
{
	const struct inner_packet from_caller = {.key = *key};
	struct flow *flow;

	if (now_ms >= agent->unsure_until_ms || packet->icmp ||
	    (packet->flags & (TCP_SYN | TCP_RST)))
		return NULL;
	flow = flow_table_insert(&agent->flows, key);
	if (!flow)
		return NULL;
	flow->state = FLOW_OPEN;
	flow->bits = FLOW_ANSWERED;
	flow->last_ms = (uint32_t)now_ms;
	flow->caller_seq = packet->ack;
	flow->server_seq = packet->seq;
	admit_add_open(&agent->admit);
	agent_count(agent, COUNTER_FLOW_ADOPTED);
	agent_decided(agent, DECISION_FLOW_ADOPTED, &from_caller, 0, NULL,
		      sink);
	return flow;
}

/*
 * The server took no new connection, or does not have the connection: the
 * search goes on where the mark left it. A caller whose connection was open
 * here is told that it is gone.
 */
static void handle_returned(struct agent *agent,
			    const struct inner_packet *packet, int64_t now_ms,
			    struct packet_sink *sink)
{
	struct flow *flow = flow_table_find(&agent->flows, &packet->key);
	struct packet_header header;
	uint8_t copy[INNER_MAX];
	struct inner_packet again = *packet;

	agent_count(agent, COUNTER_SERVER_RETURNED);
	agent_decided(agent, DECISION_SERVER_RETURNED, packet, 0, NULL, sink);
	if (flow && !inner_opens(packet) && flow->state == FLOW_OPEN) {
		agent_count(agent, COUNTER_RESET_LOST);
		agent_decided(agent, DECISION_RESET_LOST, packet, 0, "returned",
			      sink);
		flow->bits |= FLOW_LOST;
		agent_flow_close(agent, flow);
		agent_reset_caller(agent, packet, sink);
		return;
	}
	if (flow && flow->state == FLOW_HALF_OPEN)
		agent_flow_forget(agent, flow);
	if (!agent_read_mark(agent, packet, &header))
		return;
	memcpy(copy, packet->data, packet->len);
	agent->format->clear_returned(copy);
	again.data = copy;
	again.returned = false;
	if (inner_opens(packet))
		admit_record_return(&agent->admit, now_ms);
	else
		absent_memory_put(&agent->absent, &packet->key);
	agent_pass_on(agent, &header, &again, now_ms, sink);
}

void agent_handle_server(struct agent *agent, const uint8_t *data, size_t len,
			 int64_t now_ms, struct packet_sink *sink)
{
	struct inner_packet packet;
	struct flow_key key;
	struct flow *flow;

	if (!agent->format->parse(&packet, data, len)) {
		agent_count(agent, inner_drop_reason(&packet));
		return;
	}
	agent->owed_since_ms = CLOCK_NEVER;
	if (packet.returned) {
		handle_returned(agent, &packet, now_ms, sink);
		return;
	}
	flow_key_reverse(&key, &packet.key);
	flow = flow_table_find(&agent->flows, &key);
	if (!flow)
		flow = adopt(agent, &key, &packet, now_ms, sink);
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
	if (agent->waiting.n)
		agent_serve_waiting(agent, now_ms, sink);
}
