#include "tarragonflow/flow/agent_flow.h"

#include <string.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/log.h"
#include "tarragonflow/flow/agent_mark.h"
#include "tarragonflow/flow/agent_load_report.h"
#include "tarragonflow/flow/agent_syn.h"
#include "tarragonflow/flow/agent_route.h"

/* Whether the packet refuses the connection: a RST in response to a SYN. It is
 * not sent to the caller. */
static bool handle_refusal(struct agent *agent, struct flow *flow,
			   const struct inner_packet *packet, int64_t now_ms)
{
	if (!(packet->flags & TCP_RST) || flow->state != FLOW_HALF_OPEN ||
	    (flow->state_bits & FLOW_SYN_ACK_SEEN))
		return false;
	agent_count(agent, COUNTER_REFUSE_BY_SERVER);
	admit_record_refusal(&agent->admit, now_ms);
	agent_flow_remove(agent, flow);
	return true;
}

/*
 * After a suspected restart of the server the open connections may be lost.
 * Each no longer counts as open until the server sends a packet of it.
 */
static void mark_flows_unconfirmed(struct agent *agent)
{
	struct flow_table *flows = &agent->flows;

	agent_count(agent, COUNTER_SERVER_TREATED_AS_COLD);
	admit_handle_restart(&agent->admit);
	cost_forget_open(&agent->admit.cost);
	for (uint32_t i = 0; i <= flows->mask; i++)
		if (flows->slots[i].state == FLOW_OPEN ||
		    flows->slots[i].state == FLOW_HALF_OPEN)
			flows->slots[i].state_bits |= FLOW_UNCONFIRMED;
}

static void record_aborted_request(struct agent *agent, const struct flow *flow,
				   int64_t now_ms)
{
	if (!(flow->state_bits & FLOW_AWAITING_RESPONSE) ||
	    !admit_record_abort(&agent->admit, now_ms))
		return;
	agent_count(agent, COUNTER_SERVER_FAILING);
	log_event(LOG_LEVEL_WARN, "server-failing",
		  "broken_share=%.2f running=%u", agent->admit.failure_rate,
		  agent->admit.running);
}

/*
 * Handles a packet of the server as a sign of a restart: a RST without an
 * earlier FIN suggests that the server has lost the connection. Any other
 * packet shows that it still has the connection.
 */
static void detect_restart(struct agent *agent, struct flow *flow,
			   const struct inner_packet *packet, int64_t now_ms)
{
	const uint8_t fins = FLOW_CALLER_FIN | FLOW_SERVER_FIN;

	if (flow->state != FLOW_OPEN)
		return;
	if (!(packet->flags & TCP_RST)) {
		if ((flow->state_bits & FLOW_OF_PREDECESSOR) &&
		    agent->unconfirmed_until_ms != CLOCK_NEVER)
			agent->unconfirmed_until_ms =
				now_ms + AGENT_SERVER_CHECK_MS;
		if (flow->state_bits & FLOW_UNCONFIRMED) {
			admit_confirm_connection(&agent->admit);
			cost_adjust_open(&agent->admit.cost, flow->kind, 1,
					 now_ms);
		}
		flow->state_bits &= (uint8_t)~FLOW_UNCONFIRMED;
		return;
	}
	if (flow->state_bits & (fins | FLOW_UNCONFIRMED))
		return;
	if (agent->admit.has_server_report)
		record_aborted_request(agent, flow, now_ms);
	else if (admit_record_reset(&agent->admit, now_ms))
		mark_flows_unconfirmed(agent);
}

static void record_server_packet(struct agent *agent, struct flow *flow,
				 const struct inner_packet *packet,
				 int64_t now_ms)
{
	if ((packet->flags & TCP_SYN) && flow->state == FLOW_HALF_OPEN) {
		if (!(flow->state_bits & FLOW_SYN_ACK_SEEN))
			admit_record_accept(&agent->admit);
		flow->state_bits |= FLOW_SYN_ACK_SEEN;
		flow->server_seq = packet->seq + 1;
	}
	if (packet->payload_len && !(flow->state_bits & FLOW_AWAITING_RESPONSE))
		admit_record_unrequested_payload(&agent->admit);
	if (packet->payload_len &&
	    (flow->state_bits & FLOW_AWAITING_RESPONSE)) {
		agent_flow_end_request(agent, flow, true, now_ms);
		histogram_record(&agent->response_times_ms,
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
	record_server_packet(agent, flow, packet, now_ms);
	if (!(packet->flags & TCP_RST))
		agent_seq_advance(&flow->server_seq, agent_seq_after(packet));
	agent_flow_track(agent, flow, packet->flags, FLOW_SERVER_FIN, now_ms);
}

/*
 * Adds the connection of a packet of the server that is not in the flow table
 * because it was opened before this agent started. Returns NULL when the
 * connection cannot be added.
 */
static struct flow *adopt_flow(struct agent *agent, const struct flow_key *key,
			       const struct inner_packet *packet,
			       int64_t now_ms, struct packet_sink *sink)
{
	const struct inner_packet from_caller = {.key = *key};
	struct flow *flow;

	if (now_ms >= agent->table_incomplete_until_ms || packet->icmp_error ||
	    (packet->flags & (TCP_SYN | TCP_RST)))
		return NULL;
	flow = flow_table_insert(&agent->flows, key);
	if (!flow)
		return NULL;
	flow->state = FLOW_OPEN;
	flow->state_bits = FLOW_SYN_ACK_SEEN;
	flow->last_packet_ms = (uint32_t)now_ms;
	flow->caller_seq = packet->ack;
	flow->server_seq = packet->seq;
	admit_add_connection(&agent->admit);
	agent_flow_count_open(agent, flow, key, now_ms);
	agent_count(agent, COUNTER_FLOW_ADOPTED);
	agent_record_decision(agent, DECISION_FLOW_ADOPTED, &from_caller, 0,
			      NULL, sink);
	return flow;
}

/*
 * Handles a packet that the server returned: a SYN that it did not accept or a
 * packet of a connection that it does not have. A connection that is open in
 * the flow table was lost by the server, and its caller gets a RST. Otherwise,
 * also when the packet is of a later connection from the same port, the search
 * continues from the state in the mark.
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
	agent_record_decision(agent, DECISION_SERVER_RETURNED, packet, 0, NULL,
			      sink);
	if (flow && !inner_opens_connection(packet) &&
	    flow->state == FLOW_OPEN &&
	    agent_flow_has_packet(agent, flow, packet)) {
		agent_count(agent, COUNTER_RESET_CONNECTION_LOST);
		agent_record_decision(agent, DECISION_RESET_LOST, packet, 0,
				      "returned", sink);
		flow->state_bits |= FLOW_LOST;
		agent_flow_close(agent, flow);
		agent_reset_caller(agent, packet, sink);
		return;
	}
	if (flow && flow->state == FLOW_HALF_OPEN)
		agent_flow_remove(agent, flow);
	if (!server_queries_take(&agent->server_queries, packet, &header) &&
	    !agent_read_mark(agent, packet, &header))
		return;
	/* The configuration may have changed while the server had it. */
	agent_compare_configuration(agent, &header);
	memcpy(copy, packet->data, packet->len);
	agent->format->clear_returned(copy);
	original.data = copy;
	original.returned = false;
	if (inner_opens_connection(packet))
		admit_record_returned_syn(&agent->admit, now_ms);
	else
		server_miss_cache_add(&agent->server_miss_cache, &packet->key);
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
	agent->awaiting_response_since_ms = CLOCK_NEVER;
	if (packet.returned) {
		server_watch_record_returned(&agent->server, now_ms);
		handle_returned(agent, &packet, now_ms, sink);
		return;
	}
	server_watch_record_packet(&agent->server, now_ms);
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
	if (!packet.icmp_error)
		track_server(agent, flow, &packet, now_ms);
	agent_count(agent, COUNTER_PACKET_RETURNED_TO_FABRIC);
	sink->to_fabric(sink, data, len);
	if (agent->waiting_syns.n)
		agent_admit_waiting_syns(agent, now_ms, sink);
}
