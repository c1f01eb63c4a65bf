#include "tarragonflow/flow/agent_load_report.h"

#include <glib.h>
#include <xxhash.h>

#include "tarragonflow/admit/slowness.h"
#include "tarragonflow/common/log.h"

/* A server that accepts at most this many connections counts as small: its
 * agent compares the load of all candidates. */
#define SMALL_SERVER_CONNECTIONS 64
#define LOAD_REPORT_INTERVAL_MS 200
#define LOAD_REPORT_INTERVAL_SMALL_SERVER_MS 10
#define UNCHANGED_LOAD_REPORT_INTERVAL_MS 500
/* The load is reported when it changes by 1/100. */
#define LOAD_CHANGE_DIVISOR 100
/* Number of consecutive slots that may hold a sender; the first one is
 * determined by the hash of its address. */
#define SENDER_PROBE_SLOTS 8

static void count(struct agent *agent, enum counter_id id)
{
	counter_inc(agent->counters, id);
}

uint16_t agent_own_load(const struct agent *agent, int64_t now_ms)
{
	if (!agent_accepts_new(agent, now_ms) || !agent->zone_in_service)
		return PACKET_LOAD_FULL;
	return admit_load(&agent->admit, now_ms);
}

void agent_write_load(struct agent *agent, struct packet_header *header,
		      int64_t now_ms)
{
	double response_ms = agent->admit.has_server_report
				     ? agent->admit.mean_response_ms
				     : agent->admit.usual_ms;

	header->load = agent_own_load(agent, now_ms);
	header->usual_ms = (uint16_t)MIN(response_ms, UINT16_MAX);
}

bool agent_server_is_small(const struct agent *agent)
{
	return agent->admit.connections_max <= SMALL_SERVER_CONNECTIONS;
}

/* Whether the agent with @member_id is in the view, in the service that
 * @header names. */
static bool is_listed(const struct agent *agent,
		      const struct packet_header *header, uint32_t member_id)
{
	const struct service_view *service =
		view_find_service(agent->view, header->service_id);

	return service && view_find_member(service, member_id);
}

void agent_record_peer_load(struct agent *agent,
			    const struct packet_header *header, int64_t now_ms)
{
	uint32_t member_id;

	if (header->from >= header->n_candidates)
		return;
	member_id = header->candidates[header->from].member_id;
	if (member_id == agent->member_id)
		return;
	peer_load_update(&agent->peers, member_id, header->load, now_ms);
	if (header->kind == PACKET_LOAD && !is_listed(agent, header, member_id))
		agent->unlisted_agent_seen_ms = now_ms;
	if (header->kind == PACKET_LOAD)
		peer_load_record_received(&agent->peers, member_id,
					  header->received);
	if (agent->admit.has_server_report)
		peer_load_set_response_ms(&agent->peers, member_id,
					  header->usual_ms);
	else
		admit_update_usual(&agent->admit, header->usual_ms);
}

void agent_compare_with_peers(struct agent *agent, int64_t now_ms)
{
	int64_t max_age_ms = AGENT_MISSED_LOAD_REPORTS_MAX *
			     agent->view->peer_heartbeat_interval_ms;
	uint16_t peers_ms[SLOWNESS_PEERS_MAX];
	double previous_factor = agent->admit.slow_factor;
	size_t n = 0;

	for (size_t i = 0; i < agent->service->n_members; i++) {
		uint16_t ms = peer_load_response_ms(
			&agent->peers, agent->service->members[i].member_id,
			max_age_ms, now_ms);

		if (ms && n < SLOWNESS_PEERS_MAX)
			peers_ms[n++] = ms;
	}
	admit_compare_peers(&agent->admit, peers_ms, n);
	if ((previous_factor > 1) != (agent->admit.slow_factor > 1))
		log_event(LOG_LEVEL_WARN,
			  previous_factor > 1 ? "server-quick" : "server-slow",
			  "answer_ms=%.0f peers=%zu factor=%.1f",
			  agent->admit.mean_response_ms, n,
			  agent->admit.slow_factor);
}

static int64_t min_report_interval_ms(const struct agent *agent)
{
	if (agent_server_is_small(agent))
		return LOAD_REPORT_INTERVAL_SMALL_SERVER_MS;
	return agent->reports_load_to_balancers
		       ? agent->view->load_report_interval_ms
		       : LOAD_REPORT_INTERVAL_MS;
}

static bool load_report_is_due(const struct agent *agent, uint16_t load,
			       int64_t now_ms)
{
	int change = ABS((int)load - (int)agent->last_reported_load);
	int min_change = agent_server_is_small(agent)
				 ? 1
				 : MAX(load / LOAD_CHANGE_DIVISOR, 1);
	int64_t repeat_ms = agent->reports_load_to_balancers
				    ? agent->view->heartbeat_interval_ms
				    : UNCHANGED_LOAD_REPORT_INTERVAL_MS;

	if (now_ms < agent->next_load_report_ms)
		return false;
	return change >= min_change ||
	       now_ms - agent->last_load_report_ms >= repeat_ms;
}

void agent_probe_if_unreachable(struct agent *agent,
				const struct packet_header *header,
				int64_t now_ms, struct packet_sink *sink)
{
	const struct candidate *self =
		agent->service
			? view_find_member(agent->service, agent->member_id)
			: NULL;
	struct packet_header probe = {
		.kind = PACKET_PROBE,
		.n_candidates = 1,
	};

	if (!self ||
	    !peer_load_is_unreachable(&agent->peers,
				      header->candidates[0].member_id, now_ms))
		return;
	probe.candidates[0] = *self;
	sink->to_peer(sink, &header->candidates[0].data, &probe, NULL, 0);
}

static uint32_t sender_hash_slot(const struct endpoint *sender)
{
	uint64_t key = (uint64_t)sender->ip << 16 | sender->port;

	return (uint32_t)XXH3_64bits(&key, sizeof(key)) & (AGENT_SENDERS - 1);
}

/* The slot of @sender. Without one: a free slot, else the one to overwrite. */
static struct sender_count *find_sender_slot(struct agent *agent,
					     const struct endpoint *sender)
{
	uint32_t first_slot = sender_hash_slot(sender);
	struct sender_count *slot = &agent->senders[first_slot];

	for (uint32_t i = 0; i < SENDER_PROBE_SLOTS; i++) {
		struct sender_count *next =
			&agent->senders[(first_slot + i) & (AGENT_SENDERS - 1)];

		if (endpoint_equal(&next->sender, sender))
			return next;
		if (!next->sender.port && slot->sender.port)
			slot = next;
	}
	return slot;
}

void agent_count_received(struct agent *agent,
			  const struct packet_header *header)
{
	const struct endpoint *sender = &header->origin;
	struct sender_count *counted;

	if (header->from < header->n_candidates)
		sender = &header->candidates[header->from].data;
	counted = find_sender_slot(agent, sender);
	if (!endpoint_equal(&counted->sender, sender)) {
		counted->sender = *sender;
		counted->packets = 0;
	}
	counted->packets++;
}

uint32_t agent_packets_from(struct agent *agent, const struct endpoint *sender)
{
	const struct sender_count *counted = find_sender_slot(agent, sender);

	return endpoint_equal(&counted->sender, sender) ? counted->packets : 0;
}

static void send_load_report(struct agent *agent, const struct candidate *self,
			     const struct endpoint *process, int64_t now_ms,
			     struct packet_sink *sink)
{
	struct packet_header report = {
		.service_id = agent->service_id,
		.config_revision = (uint64_t)agent->view->config_revision,
		.agents_digest = agent->view->agents_digest,
		.kind = PACKET_LOAD,
		.n_candidates = 1,
		.candidates = {*self},
	};

	report.received = agent_packets_from(agent, process);
	agent_write_load(agent, &report, now_ms);
	count(agent, COUNTER_LOAD_REPORT_SENT);
	sink->to_peer(sink, process, &report, NULL, 0);
}

static void send_load_reports_to_balancers(struct agent *agent,
					   const struct candidate *self,
					   int64_t now_ms,
					   struct packet_sink *sink)
{
	for (size_t i = 0; i < agent->view->n_balancers; i++)
		send_load_report(agent, self, &agent->view->balancers[i],
				 now_ms, sink);
}

/*
 * Sends load reports to the next few members of the service, in rotation, which
 * compare their load with the reported one. When balancers get no load reports,
 * send_peer_heartbeats() is not used either, and these are the only reports.
 */
static void send_load_reports_to_some_peers(struct agent *agent,
					    const struct candidate *self,
					    int64_t now_ms,
					    struct packet_sink *sink)
{
	const struct service_view *service = agent->service;
	size_t n = VIEW_LOAD_REPORT_PEERS;

	if (!agent->reports_load_to_balancers)
		n = MAX(n, service->n_members / VIEW_LOAD_REPORT_PEERS);
	n = MIN(n, view_searchable_count(service));
	while (n--) {
		const struct candidate *member;

		agent->load_report_cursor = (agent->load_report_cursor + 1) %
					    view_searchable_count(service);
		member = &service->members[agent->load_report_cursor];
		if (member != self)
			send_load_report(agent, self, &member->data, now_ms,
					 sink);
	}
}

/* Sends load reports to the agents of all services, as heartbeats. */
static void send_peer_heartbeats(struct agent *agent,
				 const struct candidate *self, int64_t now_ms,
				 struct packet_sink *sink)
{
	agent->next_peer_heartbeat_ms =
		now_ms + agent->view->peer_heartbeat_interval_ms;
	for (size_t i = 0; i < agent->view->n_services; i++) {
		const struct service_view *service = &agent->view->services[i];

		/* send_load_reports_to_some_peers() reports to all members of a
		 * service as small as this. */
		if (service == agent->service &&
		    view_searchable_count(service) <= VIEW_LOAD_REPORT_PEERS)
			continue;
		for (size_t j = 0; j < view_searchable_count(service); j++)
			if (&service->members[j] != self)
				send_load_report(agent, self,
						 &service->members[j].data,
						 now_ms, sink);
	}
}

void agent_send_load_reports(struct agent *agent, int64_t now_ms,
			     struct packet_sink *sink)
{
	const struct service_view *service = agent->service;
	uint16_t load;
	const struct candidate *self;

	if (now_ms >= agent->next_load_report_ms)
		agent->admit.cost.late = waiting_syns_count_late(
			&agent->waiting_syns, now_ms,
			(int64_t)cost_mean_ms(&agent->admit.cost));
	load = agent_own_load(agent, now_ms);
	/*
	 * Where balancers get load reports, an agent whose reports are missing
	 * counts as unreachable. So agents in a zone that is out of service
	 * send them, too.
	 */
	if (!service ||
	    (!agent->zone_in_service && !agent->reports_load_to_balancers))
		return;
	self = view_find_member(service, agent->member_id);
	if (!self)
		return;
	if (agent->reports_load_to_balancers &&
	    now_ms >= agent->next_peer_heartbeat_ms)
		send_peer_heartbeats(agent, self, now_ms, sink);
	if (!load_report_is_due(agent, load, now_ms))
		return;
	agent->next_load_report_ms = now_ms + min_report_interval_ms(agent);
	agent->last_reported_load = load;
	agent->last_load_report_ms = now_ms;
	if (agent->reports_load_to_balancers)
		send_load_reports_to_balancers(agent, self, now_ms, sink);
	send_load_reports_to_some_peers(agent, self, now_ms, sink);
}
