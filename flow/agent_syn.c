#include "tarragonflow/flow/agent_syn.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "tarragonflow/flow/agent_flow.h"
#include "tarragonflow/flow/agent_mark.h"
#include "tarragonflow/flow/agent_route.h"

/* Age at which a half-open connection may be evicted. */
#define HALF_OPEN_GRACE_MS 5000
#define EVICTION_SCAN_SLOTS 64
#define RST_BUFFER_BYTES 64
/* Expected response time while none has been measured. */
#define DEFAULT_RESPONSE_MS 50

/* With the mark the agent can continue the search for the owner if the server
 * returns the packet. */
void agent_deliver(struct agent *agent, const struct packet_header *header,
		   const struct inner_packet *packet, int64_t now_ms,
		   struct packet_sink *sink)
{
	uint8_t marked_packet[INNER_MAX];

	agent_count(agent, COUNTER_PACKET_DELIVERED_TO_SERVER);
	if (inner_opens_connection(packet) || packet->payload_len)
		agent->awaiting_response_since_ms =
			MIN(agent->awaiting_response_since_ms, now_ms);
	if (!agent->format->set_mark) {
		sink->to_server(sink, packet->data, packet->len);
		return;
	}
	memcpy(marked_packet, packet->data, packet->len);
	agent->format->set_mark(marked_packet,
				agent_make_mark(agent, header, packet));
	sink->to_server(sink, marked_packet, packet->len);
}

void agent_query_server(struct agent *agent, struct packet_header *header,
			const struct inner_packet *packet, int position,
			int64_t now_ms, struct packet_sink *sink)
{
	header->position = (uint8_t)position;
	header->asking = true;
	server_queries_add(&agent->server_queries, packet, header);
	agent_count(agent, COUNTER_PACKET_OFFERED_TO_SERVER);
	agent_deliver(agent, header, packet, now_ms, sink);
}

void agent_reset_server(struct agent *agent, const struct flow *flow,
			struct packet_sink *sink)
{
	struct inner_spec spec = {
		.seq = flow->caller_seq,
		.flags = TCP_RST,
	};
	uint8_t out[RST_BUFFER_BYTES];

	if (!agent->service || !agent->format->can_reset_servers)
		return;
	flow_get_key(&spec.key, flow);
	sink->to_server(sink, out,
			agent->format->build(&spec, out, sizeof(out)));
}

/*
 * Removes a connection to free a slot of the flow table: a half-open one older
 * than HALF_OPEN_GRACE_MS. If there is none, and not @half_open_only: of the
 * closed connections the one that has been idle longest.
 */
static bool evict_flow(struct agent *agent, bool half_open_only, int64_t now_ms,
		       struct packet_sink *sink)
{
	struct flow_table *flows = &agent->flows;
	struct flow *evicted = NULL;

	for (uint32_t i = 0; i < EVICTION_SCAN_SLOTS && i <= flows->mask; i++) {
		struct flow *flow =
			&flows->slots[(flows->cursor + i) & flows->mask];

		if (flow->state == FLOW_HALF_OPEN &&
		    (uint32_t)now_ms - flow->pending_since_ms >
			    HALF_OPEN_GRACE_MS) {
			evicted = flow;
			break;
		}
		if (flow->state == FLOW_CLOSING && !half_open_only &&
		    (!evicted || agent_flow_age(flow, now_ms) >
					 agent_flow_age(evicted, now_ms)))
			evicted = flow;
	}
	flows->cursor = (flows->cursor + EVICTION_SCAN_SLOTS) & flows->mask;
	if (!evicted)
		return false;
	if (evicted->state == FLOW_HALF_OPEN)
		agent_reset_server(agent, evicted, sink);
	agent_count(agent, COUNTER_FLOW_EVICTED);
	agent_flow_remove(agent, evicted);
	return true;
}

static void record_forward_reason(struct agent *agent,
				  enum admit_verdict verdict,
				  const struct inner_packet *packet,
				  struct packet_sink *sink)
{
	static const char *const reason_names[] = {
		[ADMIT_FULL] = "full",	       [ADMIT_COLD] = "cold",
		[ADMIT_DRAINING] = "draining", [ADMIT_DOWN] = "down",
		[ADMIT_NO_REPORT] = "unheard",
	};
	static const enum counter_id reason_counters[] = {
		[ADMIT_FULL] = COUNTER_REFUSE_CONNECTION_LIMIT,
		[ADMIT_COLD] = COUNTER_REFUSE_COLD_START,
		[ADMIT_DRAINING] = COUNTER_REFUSE_DRAINING,
		[ADMIT_DOWN] = COUNTER_REFUSE_SERVER_DOWN,
		[ADMIT_NO_REPORT] = COUNTER_REFUSE_NO_SERVER_REPORT,
	};

	agent_count(agent, reason_counters[verdict]);
	agent_record_decision(agent, DECISION_OPEN_FORWARDED, packet, 0,
			      reason_names[verdict], sink);
}

static enum admit_verdict request_admission(struct agent *agent, int64_t now_ms,
					    struct packet_sink *sink)
{
	enum admit_verdict verdict;

	if (!agent_accepts_new(agent, now_ms))
		return ADMIT_NO_REPORT;
	verdict = admit_connection(&agent->admit, now_ms);
	if (verdict != ADMIT_FULL && verdict != ADMIT_COLD)
		return verdict;
	if (!evict_flow(agent, true, now_ms, sink))
		return verdict;
	return admit_connection(&agent->admit, now_ms);
}

/*
 * Removes the entry of an earlier connection from the same port, whose caller
 * has given up without a FIN. The entry of the connection that a copy of
 * @packet opened stays; returns true if there is one.
 */
static bool replace_earlier_flow(struct agent *agent,
				 const struct inner_packet *packet)
{
	struct flow *flow = flow_table_find(&agent->flows, &packet->key);

	if (!flow)
		return false;
	if (flow->syn_seq == packet->seq)
		return true;
	agent_flow_remove(agent, flow);
	return false;
}

static void open_connection(struct agent *agent, struct packet_header *header,
			    const struct inner_packet *packet, int64_t now_ms,
			    struct packet_sink *sink)
{
	enum admit_verdict verdict;
	struct flow *flow;

	verdict = request_admission(agent, now_ms, sink);
	if (verdict != ADMIT_ACCEPTED) {
		record_forward_reason(agent, verdict, packet, sink);
		if (verdict == ADMIT_COLD || verdict == ADMIT_DOWN ||
		    verdict == ADMIT_NO_REPORT)
			header->warming = true;
		agent_forward(agent, header, packet, now_ms, sink);
		return;
	}
	if (replace_earlier_flow(agent, packet)) {
		admit_remove_connection(&agent->admit);
		agent_count(agent, COUNTER_DROP_LATE_OPEN);
		return;
	}
	flow = flow_table_insert(&agent->flows, &packet->key);
	if (!flow && evict_flow(agent, false, now_ms, sink))
		flow = flow_table_insert(&agent->flows, &packet->key);
	if (!flow) {
		admit_remove_connection(&agent->admit);
		agent_count(agent, COUNTER_REFUSE_TABLE_FULL);
		agent_forward(agent, header, packet, now_ms, sink);
		return;
	}
	flow->pending_since_ms = (uint32_t)now_ms;
	flow->last_packet_ms = (uint32_t)now_ms;
	flow->syn_seq = packet->seq;
	flow->caller_seq = agent_seq_after(packet);
	agent_flow_count_open(agent, flow, &packet->key, now_ms);
	agent_count(agent, COUNTER_FLOW_OPENED);
	agent_record_decision(agent, DECISION_OPEN_DELIVERED, packet, 0, NULL,
			      sink);
	admit_expect_request(&agent->admit, now_ms);
	/* The balancer then sends the following packets to this agent. */
	if (agent->reports_load_to_balancers)
		agent_send_owner_hint(agent, header, packet, sink);
	agent_deliver(agent, header, packet, now_ms, sink);
}

static int64_t expected_response_ms(const struct agent *agent)
{
	double mean = agent->admit.mean_response_ms;

	return mean > 0 ? (int64_t)mean : DEFAULT_RESPONSE_MS;
}

/* The speed of the server for a SYN of @kind; by_work, as the cost model
 * expects it. */
static struct waiting_service expected_service(const struct agent *agent,
					       uint8_t kind, int64_t now_ms)
{
	const struct admit *admit = &agent->admit;
	struct waiting_service service = {
		.service_ms = expected_response_ms(agent),
		.slots = admit->slots_max,
	};

	if (!agent->waiting_syns.by_work)
		return service;
	service.service_ms =
		(int64_t)ceil(cost_expected_ms(&admit->cost, kind));
	service.slot_wait_ms = (int64_t)cost_slot_wait_ms(
		&admit->cost, admit->slots_max, now_ms);
	return service;
}

uint64_t agent_attempt_id(const struct inner_packet *packet)
{
	return flow_key_hash(&packet->key, packet->seq);
}

/*
 * Queues a SYN until the server has a free slot. Returns false when there is no
 * space for the SYN or its wait would exceed the caller's timeout.
 */
static bool enqueue_syn(struct agent *agent, const struct inner_packet *packet,
			int64_t now_ms)
{
	const struct route_view *route =
		view_find_route(agent->view, &packet->key);
	uint8_t kind = agent_kind_of(agent, &packet->key);
	const struct waiting_service service =
		expected_service(agent, kind, now_ms);
	struct waiting *earlier_copy = waiting_syns_find(
		&agent->waiting_syns, agent_attempt_id(packet));
	struct waiting entry = {
		.id = agent_attempt_id(packet),
		.sent_ms = now_ms - packet->sent_ago_ms,
		.len = (uint16_t)packet->len,
	};

	if (!route || packet->len > WAITING_PACKET_BYTES_MAX)
		return false;
	if (earlier_copy) {
		waiting_record_copy(earlier_copy, packet->sent_ago_ms);
		return true;
	}
	waiting_record_copy(&entry, packet->sent_ago_ms);
	entry.objective_ms = route->objective_ms;
	entry.priority = route->priority;
	if (agent->waiting_syns.by_work)
		entry.service_ms = service.service_ms;
	if (waiting_syns_would_expire(&agent->waiting_syns, &entry, now_ms,
				      &service))
		return false;
	memcpy(entry.data, packet->data, packet->len);
	if (!waiting_syns_add(&agent->waiting_syns, &entry))
		return false;
	admit_adjust_waiting(&agent->admit, kind, 1);
	agent_count(agent, COUNTER_OPEN_QUEUED);
	return true;
}

static bool syn_must_wait(struct agent *agent, int64_t now_ms)
{
	return agent_accepts_new(agent, now_ms) && !agent->admit.draining &&
	       agent->server.reports_expected &&
	       (agent->waiting_syns.n || admit_is_busy(&agent->admit, now_ms));
}

/*
 * Whether a SYN that can't run at any candidate in time may be refused. Not if
 * another agent may have opened the connection of an earlier copy, if this
 * agent may know too few candidates, or if a server is cold or was down, as
 * that one may accept a retransmission.
 */
static bool may_refuse_syn(const struct agent *agent,
			   const struct packet_header *header,
			   const struct inner_packet *packet)
{
	return !packet->sent_ago_ms && !header->warming &&
	       (uint64_t)agent->view->config_revision >=
		       header->config_revision;
}

/*
 * Handles a SYN that can't run here before its caller times out, with
 * by_work: forwards it to a candidate where it can, else refuses its caller.
 */
static void handle_hopeless_syn(struct agent *agent,
				struct packet_header *header,
				const struct inner_packet *packet,
				int64_t now_ms, struct packet_sink *sink)
{
	int64_t sent_ms = now_ms - packet->sent_ago_ms;

	header->warming |= now_ms < agent->admit.cold_until_ms;
	if (agent_forward_syn_in_time(agent, header, packet,
				      waiting_time_left_ms(sent_ms, now_ms),
				      now_ms, sink))
		return;
	if (may_refuse_syn(agent, header, packet)) {
		agent_count(agent, COUNTER_REFUSE_NO_SERVER_IN_TIME);
		agent_record_decision(agent, DECISION_OPEN_REFUSED, packet, 0,
				      "no-server-in-time", sink);
		agent_reset_caller(agent, packet, sink);
		return;
	}
	agent_count(agent, header->warming ? COUNTER_DROP_OPEN_WARMING
					   : COUNTER_DROP_OPEN_UNCERTAIN);
	agent_record_decision(agent, DECISION_SEARCH_ENDED, packet, 0,
			      header->warming ? "warming" : "unsure", sink);
}

void agent_handle_syn(struct agent *agent, struct packet_header *header,
		      const struct inner_packet *packet, int64_t now_ms,
		      struct packet_sink *sink)
{
	if (agent_redirect_syn(agent, header, packet, now_ms, sink))
		return;
	if (syn_must_wait(agent, now_ms)) {
		if (agent_offload_syn(agent, header, packet, now_ms, sink))
			return;
		if (enqueue_syn(agent, packet, now_ms)) {
			agent_record_decision(agent, DECISION_OPEN_WAITS,
					      packet, 0, NULL, sink);
			return;
		}
		if (agent->waiting_syns.by_work) {
			handle_hopeless_syn(agent, header, packet, now_ms,
					    sink);
			return;
		}
		agent_count(agent, COUNTER_REFUSE_EXPECTED_WAIT);
		agent_record_decision(agent, DECISION_OPEN_FORWARDED, packet, 0,
				      "wait-hopeless", sink);
		agent_forward(agent, header, packet, now_ms, sink);
		return;
	}
	open_connection(agent, header, packet, now_ms, sink);
}

/*
 * Ends the wait of a SYN whose caller is about to time out. The caller gets a
 * RST unless another agent may have opened the connection: one that a balancer
 * without an owner hint has sent a copy to.
 */
static void end_wait(struct agent *agent, const struct waiting *entry,
		     const struct inner_packet *packet,
		     struct packet_sink *sink)
{
	if (!waiting_has_all_copies(entry)) {
		agent_count(agent, COUNTER_DROP_OPEN_UNCERTAIN);
		agent_record_decision(agent, DECISION_SEARCH_ENDED, packet, 0,
				      "unsure", sink);
		return;
	}
	agent_count(agent, COUNTER_REFUSE_WAIT_EXPIRED);
	agent_record_decision(agent, DECISION_OPEN_REFUSED, packet, 0,
			      "waited-too-long", sink);
	agent_reset_caller(agent, packet, sink);
}

/* Opens the connection of a SYN that has waited, or ends its wait if it has
 * @expired. */
static void finish_waiting_syn(struct agent *agent, const struct waiting *entry,
			       bool expired, int64_t now_ms,
			       struct packet_sink *sink)
{
	struct packet_header header;
	struct inner_packet packet;

	histogram_record(&agent->syn_wait_times_ms, now_ms - entry->sent_ms);
	if (!agent->format->parse(&packet, entry->data, entry->len)) {
		agent->admit.waiting--;
		return;
	}
	admit_adjust_waiting(&agent->admit, agent_kind_of(agent, &packet.key),
			     -1);
	if (expired) {
		end_wait(agent, entry, &packet, sink);
	} else if (agent_init_header(agent, &packet, &header)) {
		/* When the server accepts none, the whole queue is forwarded:
		 * the next agent doesn't refuse it in one moment. */
		header.warming = agent->waiting_syns.by_work;
		open_connection(agent, &header, &packet, now_ms, sink);
	}
}

void agent_admit_waiting_syns(struct agent *agent, int64_t now_ms,
			      struct packet_sink *sink)
{
	struct waiting entry;

	while (waiting_syns_pop_expired(&agent->waiting_syns, now_ms, &entry))
		finish_waiting_syn(agent, &entry, true, now_ms, sink);
	/* When the server accepts no new connections, all waiting SYNs are
	 * removed: open_connection() forwards them to other agents. */
	while (agent->waiting_syns.n &&
	       (!syn_must_wait(agent, now_ms) ||
		!admit_is_busy(&agent->admit, now_ms)) &&
	       waiting_syns_pop(&agent->waiting_syns, now_ms,
				expected_response_ms(agent), &entry))
		finish_waiting_syn(agent, &entry, false, now_ms, sink);
}
