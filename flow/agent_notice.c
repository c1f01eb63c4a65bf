#include "tarragonflow/flow/agent_notice.h"

#include <glib.h>
#include <xxhash.h>

#include "tarragonflow/admit/slowness.h"
#include "tarragonflow/common/log.h"

/* Agents of servers with at most this limit compare all candidates. */
#define SMALL_SERVER_CONNECTIONS 64
#define NOTICE_INTERVAL_MS 200
#define NOTICE_INTERVAL_SMALL_MS 10
#define NOTICE_REPEAT_MS 500
/* A load change of this fraction of the load sends a notice. */
#define NOTICE_CHANGE_DIVISOR 100
/* Consecutive slots, from the one of its hash on, that may hold a sender. */
#define SENDER_PROBE_SLOTS 8

static void count(struct agent *agent, enum counter_id id)
{
	counter_inc(agent->counters, id);
}

uint16_t agent_own_load(const struct agent *agent, int64_t now_ms)
{
	if (!server_watch_accepts_new(&agent->server, now_ms) ||
	    !agent->zone_in_service)
		return PACKET_LOAD_FULL;
	return admit_load(&agent->admit, now_ms);
}

void agent_write_load(struct agent *agent, struct packet_header *header,
		      int64_t now_ms)
{
	double answer_ms = agent->admit.has_server_report
				   ? agent->admit.mean_response_ms
				   : agent->admit.usual_ms;

	header->load = agent_own_load(agent, now_ms);
	header->usual_ms = (uint16_t)MIN(answer_ms, UINT16_MAX);
}

bool agent_server_is_small(const struct agent *agent)
{
	return agent->admit.connections_max <= SMALL_SERVER_CONNECTIONS;
}

void agent_receive_load(struct agent *agent, const struct packet_header *header,
			int64_t now_ms)
{
	uint32_t member_id;

	if (header->from >= header->n_candidates)
		return;
	member_id = header->candidates[header->from].member_id;
	if (member_id == agent->member_id)
		return;
	peer_load_update(&agent->peers, member_id, header->load, now_ms);
	if (header->kind == PACKET_LOAD)
		peer_load_record_received(&agent->peers, member_id,
					  header->received);
	if (agent->admit.has_server_report)
		peer_load_set_answer_ms(&agent->peers, member_id,
					header->usual_ms);
	else
		admit_update_usual(&agent->admit, header->usual_ms);
}

void agent_compare_server(struct agent *agent, int64_t now_ms)
{
	int64_t fresh_ms =
		AGENT_MISSED_NOTICES * agent->view->peer_heartbeat_interval_ms;
	uint16_t peers_ms[SLOWNESS_PEERS_MAX];
	double previous_factor = agent->admit.slow_factor;
	size_t n = 0;

	for (size_t i = 0; i < agent->service->n_members; i++) {
		uint16_t ms = peer_load_answer_ms(
			&agent->peers, agent->service->members[i].member_id,
			fresh_ms, now_ms);

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

static int64_t notice_interval_ms(const struct agent *agent)
{
	if (agent_server_is_small(agent))
		return NOTICE_INTERVAL_SMALL_MS;
	return agent->notifies_balancers ? agent->view->load_report_interval_ms
					 : NOTICE_INTERVAL_MS;
}

static bool notice_due(const struct agent *agent, uint16_t load, int64_t now_ms)
{
	int change = ABS((int)load - (int)agent->last_notice_load);
	int min_change = agent_server_is_small(agent)
				 ? 1
				 : MAX(load / NOTICE_CHANGE_DIVISOR, 1);
	int64_t repeat_ms = agent->notifies_balancers
				    ? agent->view->heartbeat_interval_ms
				    : NOTICE_REPEAT_MS;

	if (now_ms < agent->next_notice_ms)
		return false;
	return change >= min_change ||
	       now_ms - agent->last_notice_ms >= repeat_ms;
}

void agent_probe_unreachable(struct agent *agent,
			     const struct packet_header *header, int64_t now_ms,
			     struct packet_sink *sink)
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
	    !peer_load_unreachable(&agent->peers,
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

/* The slot of @sender, or the one to use for it if it has none. */
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

static void send_notice(struct agent *agent, const struct candidate *self,
			const struct endpoint *process, int64_t now_ms,
			struct packet_sink *sink)
{
	struct packet_header notice = {
		.service_id = agent->service_id,
		.config_revision = (uint64_t)agent->view->config_revision,
		.roster_version = agent->view->roster_version,
		.kind = PACKET_LOAD,
		.n_candidates = 1,
		.candidates = {*self},
	};

	notice.received = agent_packets_from(agent, process);
	agent_write_load(agent, &notice, now_ms);
	count(agent, COUNTER_LOAD_REPORT_SENT);
	sink->to_peer(sink, process, &notice, NULL, 0);
}

static void notify_balancers(struct agent *agent, const struct candidate *self,
			     int64_t now_ms, struct packet_sink *sink)
{
	for (size_t i = 0; i < agent->view->n_balancers; i++)
		send_notice(agent, self, &agent->view->balancers[i], now_ms,
			    sink);
}

/*
 * Sends notices to the next few members of the service, in rotation. They
 * compare their load with that of this agent. Without notices to balancers no
 * keepalives are sent either, so these are the only notices.
 */
static void notify_some_peers(struct agent *agent, const struct candidate *self,
			      int64_t now_ms, struct packet_sink *sink)
{
	const struct service_view *service = agent->service;
	size_t n = VIEW_LOAD_REPORT_PEERS;

	if (!agent->notifies_balancers)
		n = MAX(n, service->n_members / VIEW_LOAD_REPORT_PEERS);
	n = MIN(n, view_searchable_count(service));
	while (n--) {
		const struct candidate *member;

		agent->notice_cursor = (agent->notice_cursor + 1) %
				       view_searchable_count(service);
		member = &service->members[agent->notice_cursor];
		if (member != self)
			send_notice(agent, self, &member->data, now_ms, sink);
	}
}

/* Sends a notice to the agents of all services as a keepalive. */
static void send_keepalives(struct agent *agent, const struct candidate *self,
			    int64_t now_ms, struct packet_sink *sink)
{
	agent->next_keepalive_ms =
		now_ms + agent->view->peer_heartbeat_interval_ms;
	for (size_t i = 0; i < agent->view->n_services; i++) {
		const struct service_view *service = &agent->view->services[i];

		/* Few enough that notify_some_peers() reaches all of them. */
		if (service == agent->service &&
		    view_searchable_count(service) <= VIEW_LOAD_REPORT_PEERS)
			continue;
		for (size_t j = 0; j < view_searchable_count(service); j++)
			if (&service->members[j] != self)
				send_notice(agent, self,
					    &service->members[j].data, now_ms,
					    sink);
	}
}

void agent_send_notices(struct agent *agent, int64_t now_ms,
			struct packet_sink *sink)
{
	const struct service_view *service = agent->service;
	uint16_t load = agent_own_load(agent, now_ms);
	const struct candidate *self;

	/*
	 * Where a missing notice means that an agent is unreachable, an agent
	 * in a zone that is out of service keeps sending them.
	 */
	if (!service || (!agent->zone_in_service && !agent->notifies_balancers))
		return;
	self = view_find_member(service, agent->member_id);
	if (!self)
		return;
	if (agent->notifies_balancers && now_ms >= agent->next_keepalive_ms)
		send_keepalives(agent, self, now_ms, sink);
	if (!notice_due(agent, load, now_ms))
		return;
	agent->next_notice_ms = now_ms + notice_interval_ms(agent);
	agent->last_notice_load = load;
	agent->last_notice_ms = now_ms;
	if (agent->notifies_balancers)
		notify_balancers(agent, self, now_ms, sink);
	notify_some_peers(agent, self, now_ms, sink);
}
