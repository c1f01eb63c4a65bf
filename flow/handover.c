#include "tarragonflow/flow/handover.h"

#include <glib.h>
#include <string.h>

#include "proto/handover.pb-c.h"
#include "tarragonflow/flow/agent_flow.h"

static void record_from_flow(Handover__FlowRecord *record, struct flow *flow,
			     int64_t now_ms)
{
	handover__flow_record__init(record);
	record->address.data = flow->src;
	record->address.len = sizeof(flow->src);
	record->port = flow->src_port;
	record->service_address.data = flow->dst;
	record->service_address.len = sizeof(flow->dst);
	record->service_port = flow->dst_port;
	record->state = flow->state;
	record->bits = flow->state_bits;
	record->idle_ms = (uint32_t)now_ms - flow->last_packet_ms;
	record->syn_seq = flow->syn_seq;
	record->caller_seq = flow->caller_seq;
	record->server_seq = flow->server_seq;
}

static void pack(const Handover__Handover *message, struct strbuf *out)
{
	size_t len = handover__handover__get_packed_size(message);
	uint8_t *wire = g_malloc(len + 1);

	handover__handover__pack(message, wire);
	strbuf_add(out, wire, len);
	g_free(wire);
}

void handover_export(const struct agent *agent, int64_t now_ms,
		     struct strbuf *out)
{
	const struct flow_table *flows = &agent->flows;
	Handover__FlowRecord *records =
		g_new(Handover__FlowRecord, flows->used);
	Handover__FlowRecord **list =
		g_new(Handover__FlowRecord *, flows->used);
	Handover__Handover message = HANDOVER__HANDOVER__INIT;

	for (uint32_t i = 0; i <= flows->mask; i++) {
		if (flows->slots[i].state == FLOW_FREE)
			continue;
		list[message.n_flows] = &records[message.n_flows];
		record_from_flow(list[message.n_flows++], &flows->slots[i],
				 now_ms);
	}
	message.flows = list;
	message.service_id = agent->service_id;
	message.member_id = agent->member_id;
	message.limit = agent->admit.limit;
	message.usual_ms = (uint32_t)agent->admit.usual_ms;
	pack(&message, out);
	g_free(list);
	g_free(records);
}

int64_t handover_incomplete_ms(const struct agent *agent, int64_t now_ms)
{
	if (agent->table_incomplete_until_ms <= now_ms)
		return 0;
	return agent->table_incomplete_until_ms - now_ms;
}

void handover_confirm(struct agent *agent, int64_t incomplete_ms,
		      int64_t now_ms)
{
	if (agent->import_incomplete)
		return;
	agent->table_incomplete_until_ms =
		MIN(agent->table_incomplete_until_ms, now_ms + incomplete_ms);
}

static bool record_is_well_formed(const Handover__FlowRecord *record)
{
	return record->address.len == sizeof(struct ip_addr) &&
	       record->service_address.len == sizeof(struct ip_addr) &&
	       record->port <= UINT16_MAX &&
	       record->service_port <= UINT16_MAX &&
	       record->state > FLOW_FREE && record->state <= FLOW_CLOSING &&
	       record->bits <= UINT8_MAX;
}

static bool message_is_importable(const struct agent *agent,
				  const Handover__Handover *message)
{
	if (agent->server.has_report &&
	    agent->server.report.state == SERVER_GONE)
		return false;
	if (message->service_id != agent->service_id ||
	    message->member_id != agent->member_id)
		return false;
	for (size_t i = 0; i < message->n_flows; i++)
		if (!record_is_well_formed(message->flows[i]))
			return false;
	return true;
}

static void import_record(struct agent *agent,
			  const Handover__FlowRecord *record, int64_t now_ms)
{
	struct flow_key key = {
		.src_port = (uint16_t)record->port,
		.dst_port = (uint16_t)record->service_port,
	};
	struct flow *flow;

	memcpy(key.src.bytes, record->address.data, sizeof(key.src.bytes));
	memcpy(key.dst.bytes, record->service_address.data,
	       sizeof(key.dst.bytes));
	if (flow_table_find(&agent->flows, &key))
		return;
	flow = flow_table_insert(&agent->flows, &key);
	if (!flow) {
		agent->import_incomplete = true;
		return;
	}
	flow->state = (uint8_t)record->state;
	/* The message does not contain when a payload without a response
	 * arrived. */
	flow->state_bits =
		(uint8_t)(record->bits & ~(uint32_t)(FLOW_AWAITING_RESPONSE |
						     FLOW_UNCONFIRMED));
	flow->last_packet_ms = (uint32_t)now_ms - record->idle_ms;
	flow->pending_since_ms = (uint32_t)now_ms;
	flow->syn_seq = record->syn_seq;
	flow->caller_seq = record->caller_seq;
	flow->server_seq = record->server_seq;
	if (flow->state != FLOW_CLOSING) {
		admit_add_connection(&agent->admit);
		agent_flow_count_open(agent, flow, &key, now_ms);
	}
	counter_inc(agent->counters, COUNTER_FLOW_TAKEN_OVER);
}

bool handover_import(struct agent *agent, const uint8_t *data, size_t len,
		     int64_t now_ms)
{
	Handover__Handover *message =
		handover__handover__unpack(NULL, len, data);
	bool importable = message && message_is_importable(agent, message);

	if (importable) {
		for (size_t i = 0; i < message->n_flows; i++)
			import_record(agent, message->flows[i], now_ms);
		/* The server has kept running, so it is as warm as before. */
		agent->admit.limit = CLAMP(message->limit, agent->admit.limit,
					   agent->admit.connections_max);
		agent->admit.usual_ms = message->usual_ms;
	}
	if (message)
		handover__handover__free_unpacked(message, NULL);
	return importable;
}
