#include "tarragonflow/node/packet_worker.h"

#include <glib.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "tarragonflow/common/log.h"
#include "tarragonflow/flow/checkpoint.h"
#include "tarragonflow/flow/handover.h"
#include "tarragonflow/net/mss.h"
#include "tarragonflow/net/tun.h"
#include "tarragonflow/net/udp.h"

#define POLL_TIMEOUT_MAX_MS 100
#define BATCH_MAX_PACKETS 64
/* Lines about connections, per process and kind of decision. */
#define LOG_LINES_PER_S 20
#define PACKET_BUFFER_BYTES (INNER_MAX + PACKET_HEADER_MAX + PACKET_AUTH_BYTES)
#define KEYRING_RING_SIZE 8

static struct packet_worker *worker_of_sink(struct packet_sink *sink)
{
	return (struct packet_worker *)sink;
}

static void count_send_result(struct packet_worker *worker, bool sent)
{
	if (!sent)
		counter_inc(&worker->node->counters, COUNTER_DROP_SEND_FAILED);
}

/* Sends a packet, or queues it while the link is busy. */
static void send_paced(struct packet_worker *worker, const struct endpoint *to,
		       const uint8_t *header_buf, size_t header_len,
		       const uint8_t *body, size_t len)
{
	switch (pacer_offer(&worker->pacer, to, header_buf, header_len, body,
			    len, clock_now(&worker->node->clock))) {
	case PACER_SEND:
		count_send_result(worker, udp_send_parts(worker->data_fd, to,
							 header_buf, header_len,
							 body, len));
		return;
	case PACER_QUEUED:
		counter_inc(&worker->node->counters, COUNTER_PACKET_PACED);
		return;
	case PACER_QUEUE_FULL:
		counter_inc(&worker->node->counters, COUNTER_DROP_LINK_BUSY);
		return;
	}
}

/* Sends queued packets as far as the link rate allows. */
static void send_queued(struct packet_worker *worker)
{
	int64_t now_ms = clock_now(&worker->node->clock);
	const struct pacer_packet *packet;
	uint32_t dropped = 0;

	while ((packet = pacer_next(&worker->pacer, now_ms, &dropped)))
		count_send_result(worker, udp_send(worker->data_fd, &packet->to,
						   packet->data, packet->len));
	counter_add(&worker->node->counters, COUNTER_DROP_LINK_BUSY, dropped);
}

static int poll_timeout_ms(const struct packet_worker *worker)
{
	int wait_ms =
		pacer_wait_ms(&worker->pacer, clock_now(&worker->node->clock));

	return wait_ms < 0 ? POLL_TIMEOUT_MAX_MS
			   : MIN(wait_ms, POLL_TIMEOUT_MAX_MS);
}

static void send_unauthenticated(struct packet_worker *worker,
				 const struct endpoint *to,
				 const struct packet_header *header,
				 const uint8_t *inner, size_t len)
{
	uint8_t header_buf[PACKET_HEADER_MAX];
	size_t header_len = packet_header_encode(header, header_buf);

	send_paced(worker, to, header_buf, header_len, inner, len);
}

static void send_to_peer(struct packet_sink *sink, const struct endpoint *to,
			 const struct packet_header *header,
			 const uint8_t *inner, size_t len)
{
	struct packet_worker *worker = worker_of_sink(sink);
	uint8_t *header_buf = worker->out_buf + PACKET_AUTH_BYTES;
	size_t header_len;

	if (keyring_empty(&worker->keyring)) {
		send_unauthenticated(worker, to, header, inner, len);
		return;
	}
	header_len = packet_header_encode(header, header_buf);
	if (len)
		memcpy(header_buf + header_len, inner, len);
	packet_auth_seal(&worker->auth, to, worker->out_buf, header_len + len);
	send_paced(worker, to, worker->out_buf, PACKET_AUTH_BYTES + header_len,
		   inner, len);
}

/* Returns @inner, or a copy in out_buf with a lowered MSS option. */
static const uint8_t *clamp_mss(struct packet_worker *worker,
				const uint8_t *inner, size_t len)
{
	struct inner_packet packet;
	bool v4;

	if (worker->node->adapter->format != &packet_format_ip ||
	    !inner_parse(&packet, inner, len) || !(packet.flags & TCP_SYN))
		return inner;
	v4 = ip_addr_is_v4(&packet.key.dst);
	memcpy(worker->out_buf, inner, len);
	if (!mss_clamp(worker->out_buf, &packet,
		       v4 ? worker->mss_v4 : worker->mss_v6))
		return inner;
	counter_inc(&worker->node->counters, COUNTER_MSS_CLAMPED);
	return worker->out_buf;
}

static void send_to_server(struct packet_sink *sink, const uint8_t *inner,
			   size_t len)
{
	struct packet_worker *worker = worker_of_sink(sink);

	inner = clamp_mss(worker, inner, len);
	count_send_result(worker,
			  worker->server.send(&worker->server, inner, len));
}

/* Where to send @inner, a packet to a caller: the fabric or the caller. */
static struct endpoint fabric_address(struct packet_worker *worker,
				      const uint8_t *inner, size_t len)
{
	struct endpoint to = worker->node->settings->fabric;
	struct inner_packet packet;

	if (worker->node->settings->fabric_at_caller &&
	    worker->node->adapter->format->parse(&packet, inner, len))
		to.ip = ip_addr_v4(&packet.key.dst);
	return to;
}

static void send_to_fabric(struct packet_sink *sink, const uint8_t *inner,
			   size_t len)
{
	struct packet_worker *worker = worker_of_sink(sink);
	struct endpoint to;

	inner = clamp_mss(worker, inner, len);
	if (worker->fabric.fd >= 0) {
		count_send_result(worker, worker->fabric.send(&worker->fabric,
							      inner, len));
		return;
	}
	to = fabric_address(worker, inner, len);
	count_send_result(worker, udp_send(worker->data_fd, &to, inner, len));
}

/* Whether the limit for @kind allows a line; logs how many it suppressed. */
static bool may_log(struct packet_worker *worker, enum decision_kind kind)
{
	uint32_t suppressed;
	bool allowed = log_rate_limit_allow(
		&worker->log_limits[kind], LOG_LINES_PER_S,
		clock_now(&worker->node->clock), &suppressed);

	if (suppressed)
		log_event(LOG_LEVEL_INFO, "conn-suppressed", "did=%s lines=%u",
			  decision_name(kind), suppressed);
	return allowed;
}

static void log_decision(struct packet_sink *sink,
			 const struct decision *decision)
{
	struct packet_worker *worker = worker_of_sink(sink);
	char src[IP_ADDR_TEXT_MAX], dst[IP_ADDR_TEXT_MAX];

	if (!atomic_load(&worker->log_connections) ||
	    !may_log(worker, decision->kind))
		return;
	log_event(LOG_LEVEL_INFO, "conn",
		  "id=%s:%u>%s:%u/%u did=%s reason=%s member=%08x load=%u "
		  "load_age_ms=%lld running=%u waiting=%u release=%llu",
		  ip_addr_format(&decision->key->src, src),
		  decision->key->src_port,
		  ip_addr_format(&decision->key->dst, dst),
		  decision->key->dst_port, decision->open_seq,
		  decision_name(decision->kind),
		  decision->reason ? decision->reason : "-",
		  decision->member_id, decision->load,
		  (long long)decision->load_age_ms, decision->running,
		  decision->waiting,
		  (unsigned long long)decision->config_revision);
}

static bool is_agent(const struct packet_worker *worker)
{
	return worker->node->settings->role == MEMBER_AGENT;
}

static void apply_new_views(struct packet_worker *worker)
{
	struct view *view;

	while ((view = node_pop_view(worker->node))) {
		if (is_agent(worker))
			agent_set_view(&worker->agent, view);
		else
			balancer_set_view(&worker->balancer, view);
		node_retire_view(worker->node, worker->view);
		worker->view = view;
	}
}

static void handle_server_reports(struct packet_worker *worker)
{
	struct server_report *report;

	while ((report = node_pop_server_report(worker->node))) {
		agent_handle_server_report(&worker->agent, report,
					   clock_now(&worker->node->clock),
					   &worker->sink);
		g_free(report);
	}
}

static void import_flows(struct packet_worker *worker, struct str flows)
{
	if (!flows.len)
		return;
	worker->imported =
		handover_import(&worker->agent, (const uint8_t *)flows.data,
				flows.len, clock_now(&worker->node->clock));
	if (worker->imported)
		log_event(LOG_LEVEL_INFO, "inherited", "connections=%u",
			  agent_connection_count(&worker->agent));
	else
		log_event(LOG_LEVEL_WARN, "inherited-nothing",
			  "reason=\"not valid, of another service, or its "
			  "server has ended\"");
}

/* Takes over the connections of the predecessor that were read from the store.
 */
static void handle_inherited_flows(struct packet_worker *worker)
{
	struct inherited_flows *inherited;

	while ((inherited = ring_pop(&worker->node->inherited_flows))) {
		import_flows(worker, strbuf_str(&inherited->flows));
		if (inherited->claimed)
			worker->agent.open_not_before_ms = INT64_MIN;
		if (inherited->complete && worker->imported)
			handover_confirm(&worker->agent,
					 inherited->incomplete_ms,
					 clock_now(&worker->node->clock));
		inherited_flows_free(inherited);
	}
}

static void handle_server_refusal(struct packet_worker *worker)
{
	int64_t began_ms = node_server_refusal(worker->node);

	if (began_ms != CLOCK_NEVER &&
	    agent_handle_server_refusal(&worker->agent, began_ms,
					clock_now(&worker->node->clock),
					&worker->sink))
		node_record_server_end(worker->node,
				       &worker->agent.server.report);
	atomic_store(&worker->node->server_refuses,
		     server_watch_refuses(&worker->agent.server));
	node_clear_server_refusal(worker->node, began_ms);
}

static void apply_new_keys(struct packet_worker *worker)
{
	struct keyring *keyring;

	while ((keyring = ring_pop(&worker->new_keyrings))) {
		worker->keyring = *keyring;
		keyring_finish(keyring);
		g_free(keyring);
	}
}

/*
 * The fabric sends bare IP packets. Packets of balancers and agents begin with
 * an envelope or a packet header, whose first four bits are no IP version.
 */
static bool is_from_fabric(const uint8_t *data, size_t len)
{
	uint8_t version = len ? data[0] >> 4 : 0;

	return version == 4 || version == 6;
}

static void handle_datagram(struct packet_worker *worker, const uint8_t *data,
			    size_t len, int64_t now_ms)
{
	int envelope_len = 0;

	/* Balancers: with a fabric interface, only agents send to data_fd. */
	bool from_agents = worker->fabric.fd >= 0 || !is_from_fabric(data, len);

	if (is_agent(worker) || from_agents)
		envelope_len =
			packet_auth_open(&worker->auth, data, len, now_ms);
	if (envelope_len < 0)
		return;
	data += envelope_len;
	len -= (size_t)envelope_len;
	if (is_agent(worker))
		agent_handle_peer(&worker->agent, data, len, now_ms,
				  &worker->sink);
	else if (from_agents)
		balancer_handle_agent_packet(&worker->balancer, data, len,
					     now_ms, &worker->sink);
	else
		balancer_handle_packet(&worker->balancer, data, len, now_ms,
				       &worker->sink);
}

/*
 * Whether the process was paused and the control thread has not yet received
 * state from a peer since. Call before apply_new_views().
 */
static bool views_may_be_stale(struct packet_worker *worker)
{
	int64_t now_ms = clock_now(&worker->node->clock);

	if (now_ms - worker->last_run_ms >= CONTROL_PAUSE_MIN_MS)
		worker->last_resume_ms = now_ms;
	worker->last_run_ms = now_ms;
	return atomic_load(&worker->node->view_up_to_date_ms) <
	       worker->last_resume_ms;
}

static void drop_datagrams(struct packet_worker *worker, uint8_t *buf)
{
	for (int i = 0; i < BATCH_MAX_PACKETS; i++) {
		if (udp_receive(worker->data_fd, buf, PACKET_BUFFER_BYTES,
				NULL) < 0)
			return;
		counter_inc(&worker->node->counters, COUNTER_DROP_STALE_VIEW);
	}
}

static void receive_datagrams(struct packet_worker *worker, uint8_t *buf)
{
	int64_t now_ms = clock_now(&worker->node->clock);
	ssize_t len;

	for (int i = 0; i < BATCH_MAX_PACKETS; i++) {
		len = udp_receive(worker->data_fd, buf, PACKET_BUFFER_BYTES,
				  NULL);
		if (len < 0)
			return;
		handle_datagram(worker, buf, (size_t)len, now_ms);
	}
}

/* Balancers: callers' packets from the separate fabric interface. */
static void receive_from_fabric(struct packet_worker *worker, uint8_t *buf,
				bool stale)
{
	int64_t now_ms = clock_now(&worker->node->clock);
	ssize_t len;

	for (int i = 0; i < BATCH_MAX_PACKETS; i++) {
		len = worker->fabric.receive(&worker->fabric, buf,
					     PACKET_BUFFER_BYTES);
		if (len < 0)
			return;
		if (stale)
			counter_inc(&worker->node->counters,
				    COUNTER_DROP_STALE_VIEW);
		else
			balancer_handle_packet(&worker->balancer, buf,
					       (size_t)len, now_ms,
					       &worker->sink);
	}
}

static void receive_from_server(struct packet_worker *worker, uint8_t *buf)
{
	int64_t now_ms = clock_now(&worker->node->clock);
	ssize_t len;

	for (int i = 0; i < BATCH_MAX_PACKETS; i++) {
		len = worker->server.receive(&worker->server, buf,
					     PACKET_BUFFER_BYTES);
		if (len < 0)
			return;
		agent_handle_server(&worker->agent, buf, (size_t)len, now_ms,
				    &worker->sink);
	}
}

static void tick_agent(struct packet_worker *worker)
{
	int64_t now_ms = clock_now(&worker->node->clock);

	handle_server_refusal(worker);
	if (atomic_load(&worker->drain))
		agent_drain(&worker->agent);
	agent_tick(&worker->agent, now_ms, &worker->sink);
	if (agent_server_check_due(&worker->agent, now_ms))
		server_check_request(&worker->node->server_check);
	atomic_store(&worker->node->open_connections,
		     agent_connection_count(&worker->agent));
	atomic_store(&worker->node->connection_limit,
		     worker->agent.admit.limit);
}

/*
 * Where agents send load reports to balancers, missing load reports of most
 * agents mean that this balancer is isolated.
 */
static void update_isolation(struct packet_worker *worker)
{
	int64_t now_ms = clock_now(&worker->node->clock);
	bool isolated;

	if (!worker->balancer.least_load_enabled ||
	    now_ms < worker->next_isolation_check_ms)
		return;
	worker->next_isolation_check_ms = now_ms + POLL_TIMEOUT_MAX_MS;
	isolated = balancer_is_isolated(&worker->balancer, now_ms);
	if (isolated == atomic_load(&worker->node->isolated))
		return;
	atomic_store(&worker->node->isolated, isolated);
	log_event(LOG_LEVEL_WARN, isolated ? "agents-lost" : "agents-regained",
		  "name=%s", worker->node->settings->name.data);
}

static void *packet_thread(void *arg)
{
	struct packet_worker *worker = arg;
	struct node *node = worker->node;
	uint8_t *buf = g_malloc(PACKET_BUFFER_BYTES);
	struct pollfd fds[3] = {
		{.fd = worker->data_fd, .events = POLLIN},
		{.fd = node->packet_wake_fd, .events = POLLIN},
		{.fd = is_agent(worker) ? worker->server.fd : worker->fabric.fd,
		 .events = POLLIN},
	};
	bool stale;

	while (!atomic_load(&node->stop)) {
		poll(fds, G_N_ELEMENTS(fds), poll_timeout_ms(worker));
		send_queued(worker);
		if (fds[1].revents)
			node_wake_clear(node->packet_wake_fd);
		stale = views_may_be_stale(worker);
		apply_new_views(worker);
		apply_new_keys(worker);
		handle_server_reports(worker);
		handle_inherited_flows(worker);
		if (stale)
			drop_datagrams(worker, buf);
		else if (fds[0].revents)
			receive_datagrams(worker, buf);
		if (is_agent(worker)) {
			receive_from_server(worker, buf);
			tick_agent(worker);
		} else {
			if (worker->fabric.fd >= 0)
				receive_from_fabric(worker, buf, stale);
			update_isolation(worker);
			explanation_slot_serve(&node->explanation_slot,
					       &worker->balancer,
					       clock_now(&node->clock));
		}
	}
	/* The shutdown must not lose queued packets. */
	pacer_flush(&worker->pacer);
	send_queued(worker);
	g_free(buf);
	return NULL;
}

static enum status_code init_agent(struct packet_worker *worker,
				   struct status *status)
{
	const struct settings *settings = worker->node->settings;
	struct agent_identity identity = {
		.name = settings->name,
		.zone = settings->zone,
		.service = settings->service,
		.instance = worker->node->instance,
		.connections = (uint32_t)settings->connections,
		.slots = (uint32_t)settings->slots,
		.seed = worker->node->instance,
		.format = worker->node->adapter->format,
		.server_reports = worker->node->adapter->servers_report,
		.report_lease_ms = settings->report_lease_ms,
		.flow_lifetime_ms = settings->flow_lifetime_ms,
		.open_delay_ms =
			settings->flow_lifetime_ms ? CHECKPOINT_MAX_AGE_MS : 0,
		.report_interval_ms = settings->report_interval_ms,
		.reports_load_to_balancers =
			worker->node->adapter->servers_report,
		.place_by_work = settings->placement == PLACEMENT_WORK,
	};

	if (settings->server_tun.len)
		packet_interface_init_tun(&worker->server, TUN_DEVICE,
					  settings->server_tun.data, status);
	else
		packet_interface_init_udp(&worker->server,
					  &settings->server_listen,
					  &settings->server, status);
	if (status->code != STATUS_OK)
		return status->code;
	agent_init(&worker->agent, &identity, &worker->node->counters,
		   clock_now(&worker->node->clock));
	worker->node->response_times = &worker->agent.response_times_ms;
	worker->node->wait_times = &worker->agent.syn_wait_times_ms;
	return STATUS_OK;
}

static void init_peer_output(struct packet_worker *worker)
{
	const struct settings *settings = worker->node->settings;

	worker->out_buf = g_malloc(PACKET_BUFFER_BYTES);
	worker->mss_v4 = mss_for_mtu((uint16_t)settings->mtu, true);
	worker->mss_v6 = mss_for_mtu((uint16_t)settings->mtu, false);
	pacer_init(&worker->pacer, settings->link_kbit_per_s,
		   (uint32_t)settings->mtu + PACKET_HEADER_MAX +
			   PACKET_AUTH_BYTES,
		   clock_now(&worker->node->clock));
	worker->keyring = settings->data_keys;
	ring_init(&worker->new_keyrings, KEYRING_RING_SIZE);
	packet_auth_init(&worker->auth, &worker->keyring,
			 packet_auth_sender_id(&settings->name),
			 worker->node->instance, &worker->node->counters);
}

enum status_code packet_worker_start(struct packet_worker *worker,
				     struct node *node, struct str flows,
				     struct status *status)
{
	memset(worker, 0, sizeof(*worker));
	worker->node = node;
	worker->last_run_ms = clock_now(&node->clock);
	worker->sink.to_peer = send_to_peer;
	worker->sink.to_server = send_to_server;
	worker->sink.to_fabric = send_to_fabric;
	worker->sink.record_decision = log_decision;
	atomic_init(&worker->log_connections, node->settings->log_connections);
	worker->server.fd = -1;
	worker->fabric.fd = -1;
	if (udp_open(&node->settings->data, &worker->data_fd, status) !=
	    STATUS_OK)
		return status->code;
	if (node->settings->fabric_tun.len &&
	    packet_interface_init_tun(&worker->fabric, TUN_DEVICE,
				      node->settings->fabric_tun.data,
				      status) != STATUS_OK)
		return status->code;
	if (node->settings->fabric_listen.port &&
	    packet_interface_init_udp(
		    &worker->fabric, &node->settings->fabric_listen,
		    &node->settings->fabric, status) != STATUS_OK)
		return status->code;
	if (is_agent(worker) && init_agent(worker, status) != STATUS_OK)
		return status->code;
	if (is_agent(worker))
		import_flows(worker, flows);
	init_peer_output(worker);
	balancer_init(&worker->balancer, &node->counters);
	balancer_set_origin(&worker->balancer, &node->settings->data);
	balancer_set_format(&worker->balancer, node->adapter->format);
	if (node->adapter->servers_report)
		balancer_enable_least_load(&worker->balancer,
					   &node->settings->zone);
	if (node->settings->placement == PLACEMENT_WORK)
		balancer_place_by_work(&worker->balancer);
	worker->running =
		!pthread_create(&worker->thread, NULL, packet_thread, worker);
	if (!worker->running)
		return status_set(status, STATUS_INTERNAL,
				  "cannot start the packet thread");
	return STATUS_OK;
}

void packet_worker_set_keys(struct packet_worker *worker,
			    const struct keyring *keyring)
{
	struct keyring *copy = g_memdup2(keyring, sizeof(*keyring));

	if (ring_push(&worker->new_keyrings, copy)) {
		node_wake(worker->node->packet_wake_fd);
		return;
	}
	counter_inc(&worker->node->counters, COUNTER_DROP_RING_FULL);
	keyring_finish(copy);
	g_free(copy);
}

void packet_worker_stop(struct packet_worker *worker)
{
	atomic_store(&worker->node->stop, true);
	node_wake(worker->node->packet_wake_fd);
	if (worker->running)
		pthread_join(worker->thread, NULL);
	worker->running = false;
}

void packet_worker_finish(struct packet_worker *worker)
{
	packet_worker_stop(worker);
	node_retire_view(worker->node, worker->view);
	if (is_agent(worker)) {
		worker->server.finish(&worker->server);
		agent_finish(&worker->agent);
	}
	if (worker->fabric.fd >= 0)
		worker->fabric.finish(&worker->fabric);
	apply_new_keys(worker);
	ring_finish(&worker->new_keyrings);
	packet_auth_finish(&worker->auth);
	keyring_finish(&worker->keyring);
	pacer_finish(&worker->pacer);
	g_free(worker->out_buf);
	close(worker->data_fd);
}
