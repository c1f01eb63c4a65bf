#include "tarragonflow/flow/agent_flow.h"

#include <string.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/log.h"
#include "tarragonflow/flow/agent_mark.h"
#include "tarragonflow/flow/agent_notice.h"
#include "tarragonflow/flow/agent_open.h"
#include "tarragonflow/flow/agent_route.h"

/* Returns true for a refusal: a RST to a SYN, not sent to the caller. */
static bool handle_refusal(struct agent *agent, struct flow *flow,
			   const struct inner_packet *packet, int64_t now_ms)
{
	if (!(packet->flags & TCP_RST) || flow->state != FLOW_HALF_OPEN ||
	    (flow->bits & FLOW_ANSWERED))
		return false;
	agent_count(agent, COUNTER_REFUSE_BY_SERVER);
	admit_record_refusal(&agent->admit, now_ms);
	agent_flow_remove(agent, flow);
	return true;
}

/*
 * After a suspected restart open connections may be gone. They do not count as
 * open until the server sends a packet on them.
 */
static void mark_flows_unproven(struct agent *agent)
{
	struct flow_table *flows = &agent->flows;

	agent_count(agent, COUNTER_SERVER_TREATED_AS_COLD);
	admit_handle_restart(&agent->admit);
	for (uint32_t i = 0; i <= flows->mask; i++)
		if (flows->slots[i].state == FLOW_OPEN ||
		    flows->slots[i].state == FLOW_HALF_OPEN)
			flows->slots[i].bits |= FLOW_UNPROVEN;
}

static void record_aborted_request(struct agent *agent, const struct flow *flow,
				   int64_t now_ms)
{
	if (!(flow->bits & FLOW_AWAITING_ANSWER) ||
	    !admit_record_abort(&agent->admit, now_ms))
		return;
	agent_count(agent, COUNTER_SERVER_FAILING);
	log_event(LOG_LEVEL_WARN, "server-failing",
		  "broken_share=%.2f running=%u", agent->admit.failure_rate,
		  agent->admit.running);
}

/*
 * A RST without a FIN before means that the server lost the connection. Any
 * other packet proves that it still has the connection.
 */
static void detect_restart(struct agent *agent, struct flow *flow,
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
		record_aborted_request(agent, flow, now_ms);
	else if (admit_record_reset(&agent->admit, now_ms))
		mark_flows_unproven(agent);
}

static void record_answer(struct agent *agent, struct flow *flow,
			  const struct inner_packet *packet, int64_t now_ms)
{
	if ((packet->flags & TCP_SYN) && flow->state == FLOW_HALF_OPEN) {
		if (!(flow->bits & FLOW_ANSWERED))
			admit_record_accept(&agent->admit);
		flow->bits |= FLOW_ANSWERED;
		flow->server_seq = packet->seq + 1;
	}
	if (packet->payload_len && !(flow->bits & FLOW_AWAITING_ANSWER))
		admit_record_push(&agent->admit);
	if (packet->payload_len && (flow->bits & FLOW_AWAITING_ANSWER)) {
		agent_flow_set_awaiting(agent, flow, false, now_ms);
		histogram_record(&agent->answers,
				 (uint32_t)now_ms - flow->pending_since_ms);
		admit_record_response(&agent->admit,
				      (uint32_t)now_ms - flow->pending_since_ms,
				      now_ms);
	}
	detect_restart(agent, flow, packet, now_ms);
}

static void track_server(struct agent *agent, struct flow *flow,
			 const struct inner_packet *packet, int64_t now_ms)
{
	record_answer(agent, flow, packet, now_ms);
	if (!(packet->flags & TCP_RST))
		agent_seq_advance(&flow->server_seq, agent_seq_after(packet));
	agent_flow_track(agent, flow, packet->flags, FLOW_SERVER_FIN, now_ms);
}

/*
 * Adds a connection that the server has but the flow table lacks, as it was
 * opened before this agent started.
 */
static struct flow *adopt_flow(struct agent *agent, const struct flow_key *key,
			       const struct inner_packet *packet,
			       int64_t now_ms, struct packet_sink *sink)
{
	const struct inner_packet from_caller = {.key = *key};
	struct flow *flow;

	if (now_ms >= agent->table_incomplete_until_ms || packet->icmp ||
	    (packet->flags & (TCP_SYN | TCP_RST)))
		return NULL;
	flow = flow_table_insert(&agent->flows, key);
	if (!flow)
		return NULL;
	flow->state = FLOW_OPEN;
	flow->bits = FLOW_ANSWERED;
	flow->last_packet_ms = (uint32_t)now_ms;
	flow->caller_seq = packet->ack;
	flow->server_seq = packet->seq;
	admit_add_open(&agent->admit);
	agent_count(agent, COUNTER_FLOW_ADOPTED);
	agent_report_decision(agent, DECISION_FLOW_ADOPTED, &from_caller, 0,
			      NULL, sink);
	return flow;
}

/*
 * Handles a packet that the server returned: a SYN that it did not accept or a
 * packet of a connection that it does not have. The search continues from the
 * state in the mark. If the connection was open here, the server has lost it
 * and the caller gets a RST.
 */
static void handle_returned(struct agent *agent,
			    const struct inner_packet *packet, int64_t now_ms,
			    struct packet_sink *sink)
{
	struct flow *flow = flow_table_find(&agent->flows, &packet->key);
	struct packet_header header;
	uint8_t copy[INNER_MAX];
	struct inner_packet original = *packet;

	agent_count(agent, COUNTER_PACKET_REJECTED_BY_SERVER);
	agent_report_decision(agent, DECISION_SERVER_RETURNED, packet, 0, NULL,
			      sink);
	if (flow && !inner_opens_connection(packet) &&
	    flow->state == FLOW_OPEN) {
		agent_count(agent, COUNTER_RESET_CONNECTION_LOST);
		agent_report_decision(agent, DECISION_RESET_LOST, packet, 0,
				      "returned", sink);
		flow->bits |= FLOW_LOST;
		agent_flow_close(agent, flow);
		agent_reset_caller(agent, packet, sink);
		return;
	}
	if (flow && flow->state == FLOW_HALF_OPEN)
		agent_flow_remove(agent, flow);
	if (!agent_read_mark(agent, packet, &header))
		return;
	memcpy(copy, packet->data, packet->len);
	agent->format->clear_returned(copy);
	original.data = copy;
	original.returned = false;
	if (inner_opens_connection(packet))
		admit_record_return(&agent->admit, now_ms);
	else
		absent_flows_add(&agent->absent_flows, &packet->key);
	agent_forward(agent, &header, &original, now_ms, sink);
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
	agent->unanswered_since_ms = CLOCK_NEVER;
	if (packet.returned) {
		handle_returned(agent, &packet, now_ms, sink);
		return;
	}
	flow_key_reverse(&key, &packet.key);
	flow = flow_table_find(&agent->flows, &key);
	if (!flow)
		flow = adopt_flow(agent, &key, &packet, now_ms, sink);
	if (!flow) {
		agent_count(agent, COUNTER_DROP_NO_OWNER);
		return;
	}
	if (handle_refusal(agent, flow, &packet, now_ms))
		return;
	if (!packet.icmp)
		track_server(agent, flow, &packet, now_ms);
	agent_count(agent, COUNTER_PACKET_RETURNED_TO_FABRIC);
	sink->to_fabric(sink, data, len);
	if (agent->waiting.n)
		agent_admit_waiting(agent, now_ms, sink);
}
