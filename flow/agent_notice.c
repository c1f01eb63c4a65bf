#include "tarragonflow/flow/agent_notice.h"

#include <glib.h>
#include <xxhash.h>

#include "tarragonflow/admit/slowness.h"
#include "tarragonflow/common/log.h"

/* Services whose servers carry this few compare all candidates. */
#define FEW_CONNECTIONS 64
#define NOTICE_INTERVAL_MS 200
#define NOTICE_INTERVAL_FEW_MS 10
#define NOTICE_REPEAT_MS 500
#define NOTICE_CHANGE_SHARE 100
/* Places that a sender may have in the table, from the one of its hash on. */
#define SENDER_PLACES 8

static void count(struct agent *agent, enum counter_id id)
{
	counter_inc(agent->counters, id);
}

uint16_t agent_own_load(const struct agent *agent, int64_t now_ms)
{
	if (!server_watch_opens(&agent->server, now_ms) || !agent->zone_in)
		return PACKET_LOAD_FULL;
	return admit_load(&agent->admit, now_ms);
}

void agent_stamp_load(struct agent *agent, struct packet_header *header,
		      int64_t now_ms)
{
	double answer_ms = agent->admit.has_server_report
				   ? agent->admit.mean_response_ms
				   : agent->admit.usual_ms;

	header->load = agent_own_load(agent, now_ms);
	header->usual_ms = (uint16_t)MIN(answer_ms, UINT16_MAX);
}

bool agent_has_few(const struct agent *agent)
{
	return agent->admit.connections_max <= FEW_CONNECTIONS;
}

void agent_hear_load(struct agent *agent, const struct packet_header *header,
		     int64_t now_ms)
{
	uint32_t member_id;

	if (header->from >= header->n_candidates)
		return;
	member_id = header->candidates[header->from].member_id;
	if (member_id == agent->member_id)
		return;
	peer_load_hear(&agent->peers, member_id, header->load, now_ms);
	if (header->kind == PACKET_LOAD)
		peer_load_told(&agent->peers, member_id, header->received);
	if (agent->admit.has_server_report)
		peer_load_answers(&agent->peers, member_id, header->usual_ms);
	else
		admit_update_usual(&agent->admit, header->usual_ms);
}

void agent_compare_server(struct agent *agent, int64_t now_ms)
{
	int64_t fresh_ms =
		AGENT_SILENT_NOTICES * agent->view->peer_heartbeat_interval_ms;
	uint16_t peers_ms[SLOWNESS_PEERS_MAX];
	double before = agent->admit.slow_factor;
	size_t n = 0;

	for (size_t i = 0; i < agent->service->n_members; i++) {
		uint16_t ms = peer_load_answer_ms(
			&agent->peers, agent->service->members[i].member_id,
			fresh_ms, now_ms);

		if (ms && n < SLOWNESS_PEERS_MAX)
			peers_ms[n++] = ms;
	}
	admit_compare_peers(&agent->admit, peers_ms, n);
	if ((before > 1) != (agent->admit.slow_factor > 1))
		log_event(LOG_LEVEL_WARN,
			  before > 1 ? "server-quick" : "server-slow",
			  "answer_ms=%.0f peers=%zu factor=%.1f",
			  agent->admit.mean_response_ms, n,
			  agent->admit.slow_factor);
}

static int64_t notice_interval_ms(const struct agent *agent)
{
	if (agent_has_few(agent))
		return NOTICE_INTERVAL_FEW_MS;
	return agent->tells_balancers ? agent->view->load_report_interval_ms
				      : NOTICE_INTERVAL_MS;
}

static bool load_due(const struct agent *agent, uint16_t load, int64_t now_ms)
{
	int change = ABS((int)load - (int)agent->told_load);
	int worth = agent_has_few(agent) ? 1
					 : MAX(load / NOTICE_CHANGE_SHARE, 1);
	int64_t repeat_ms = agent->tells_balancers
				    ? agent->view->heartbeat_interval_ms
				    : NOTICE_REPEAT_MS;

	if (now_ms < agent->next_notice_ms)
		return false;
	return change >= worth || now_ms - agent->told_ms >= repeat_ms;
}

void agent_probe_deaf(struct agent *agent, const struct packet_header *header,
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

	if (!self || !peer_load_deaf(&agent->peers,
				     header->candidates[0].member_id, now_ms))
		return;
	probe.candidates[0] = *self;
	sink->to_peer(sink, &header->candidates[0].data, &probe, NULL, 0);
}

static uint32_t sender_home(const struct endpoint *sender)
{
	uint64_t key = (uint64_t)sender->ip << 16 | sender->port;

	return (uint32_t)XXH3_64bits(&key, sizeof(key)) & (AGENT_SENDERS - 1);
}

/* The count of @sender, or the place for it when it has none. */
static struct sender_count *sender_place(struct agent *agent,
					 const struct endpoint *sender)
{
	uint32_t home = sender_home(sender);
	struct sender_count *place = &agent->senders[home];

	for (uint32_t i = 0; i < SENDER_PLACES; i++) {
		struct sender_count *next =
			&agent->senders[(home + i) & (AGENT_SENDERS - 1)];

		if (endpoint_equal(&next->sender, sender))
			return next;
		if (!next->sender.port && place->sender.port)
			place = next;
	}
	return place;
}

void agent_count_sender(struct agent *agent, const struct packet_header *header)
{
	const struct endpoint *sender = &header->origin;
	struct sender_count *count_of;

	if (header->from < header->n_candidates)
		sender = &header->candidates[header->from].data;
	count_of = sender_place(agent, sender);
	if (!endpoint_equal(&count_of->sender, sender)) {
		count_of->sender = *sender;
		count_of->packets = 0;
	}
	count_of->packets++;
}

uint32_t agent_packets_from(struct agent *agent, const struct endpoint *sender)
{
	const struct sender_count *count_of = sender_place(agent, sender);

	return endpoint_equal(&count_of->sender, sender) ? count_of->packets
							 : 0;
}

static void tell_process(struct agent *agent, const struct candidate *self,
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
	agent_stamp_load(agent, &notice, now_ms);
	count(agent, COUNTER_LOAD_SENT);
	sink->to_peer(sink, process, &notice, NULL, 0);
}

static void tell_balancers(struct agent *agent, const struct candidate *self,
			   int64_t now_ms, struct packet_sink *sink)
{
	for (size_t i = 0; i < agent->view->n_balancers; i++)
		tell_process(agent, self, &agent->view->balancers[i], now_ms,
			     sink);
}

/*
 * A few members of our service, in turn: they compare their load with ours.
 * Where silence does not mean that an agent is gone, they are all that hear.
 */
static void tell_some(struct agent *agent, const struct candidate *self,
		      int64_t now_ms, struct packet_sink *sink)
{
	const struct service_view *service = agent->service;
	size_t n = VIEW_LOAD_REPORT_PEERS;

	if (!agent->tells_balancers)
		n = MAX(n, service->n_members / VIEW_LOAD_REPORT_PEERS);
	n = MIN(n, view_searchable_count(service));
	while (n--) {
		const struct candidate *member;

		agent->notice_cursor = (agent->notice_cursor + 1) %
				       view_searchable_count(service);
		member = &service->members[agent->notice_cursor];
		if (member != self)
			tell_process(agent, self, &member->data, now_ms, sink);
	}
}

/* All agents, of whatever service, need to know that we run. */
static void tell_all(struct agent *agent, const struct candidate *self,
		     int64_t now_ms, struct packet_sink *sink)
{
	agent->next_alive_ms = now_ms + agent->view->peer_heartbeat_interval_ms;
	for (size_t i = 0; i < agent->view->n_services; i++) {
		const struct service_view *service = &agent->view->services[i];

		/* Told of each change anyway. */
		if (service == agent->service &&
		    view_searchable_count(service) <= VIEW_LOAD_REPORT_PEERS)
			continue;
		for (size_t j = 0; j < view_searchable_count(service); j++)
			if (&service->members[j] != self)
				tell_process(agent, self,
					     &service->members[j].data, now_ms,
					     sink);
	}
}

void agent_tell_load(struct agent *agent, int64_t now_ms,
		     struct packet_sink *sink)
{
	const struct service_view *service = agent->service;
	uint16_t load = agent_own_load(agent, now_ms);
	const struct candidate *self;

	/* Where silence means that an agent is gone, it tells on to the cut. */
	if (!service || (!agent->zone_in && !agent->tells_balancers))
		return;
	self = view_find_member(service, agent->member_id);
	if (!self)
		return;
	if (agent->tells_balancers && now_ms >= agent->next_alive_ms)
		tell_all(agent, self, now_ms, sink);
	if (!load_due(agent, load, now_ms))
		return;
	agent->next_notice_ms = now_ms + notice_interval_ms(agent);
	agent->told_load = load;
	agent->told_ms = now_ms;
	if (agent->tells_balancers)
		tell_balancers(agent, self, now_ms, sink);
	tell_some(agent, self, now_ms, sink);
}
