#include "tarragonflow/node/packet_duty.h"

#include <glib.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "tarragonflow/common/log.h"
#include "tarragonflow/flow/handover.h"
#include "tarragonflow/net/mss.h"
#include "tarragonflow/net/tun.h"
#include "tarragonflow/net/udp.h"

#define POLL_MAX_MS 100
#define BATCH_MAX_PACKETS 64
/* Per process and kind of decision. */
#define LOG_LINES_PER_S 20
#define BUFFER_BYTES (INNER_MAX + PACKET_HEADER_MAX + PACKET_AUTH_BYTES)
#define KEYRING_RING_SIZE 8

static struct packet_duty *duty_of(struct packet_sink *sink)
{
	return (struct packet_duty *)sink;
}

static void count_send(struct packet_duty *duty, bool sent)
{
	if (!sent)
		counter_inc(&duty->node->counters, COUNTER_DROP_SEND_FAILED);
}

/* Sends a packet, or queues it while the link is busy. */
static void send_paced(struct packet_duty *duty, const struct endpoint *to,
		       const uint8_t *header_buf, size_t header_len,
		       const uint8_t *body, size_t len)
{
	switch (pacer_offer(&duty->pacer, to, header_buf, header_len, body, len,
			    clock_now(&duty->node->clock))) {
	case PACER_SEND:
		count_send(duty, udp_send_parts(duty->data_fd, to, header_buf,
						header_len, body, len));
		return;
	case PACER_QUEUED:
		counter_inc(&duty->node->counters, COUNTER_PACKET_PACED);
		return;
	case PACER_QUEUE_FULL:
		counter_inc(&duty->node->counters, COUNTER_DROP_LINK_BUSY);
		return;
	}
}

/* Sends queued packets as far as the link rate allows. */
static void send_queued(struct packet_duty *duty)
{
	int64_t now_ms = clock_now(&duty->node->clock);
	const struct pacer_packet *packet;
	uint32_t dropped = 0;

	while ((packet = pacer_next(&duty->pacer, now_ms, &dropped)))
		count_send(duty, udp_send(duty->data_fd, &packet->to,
					  packet->data, packet->len));
	counter_add(&duty->node->counters, COUNTER_DROP_LINK_BUSY, dropped);
}

static int poll_timeout_ms(const struct packet_duty *duty)
{
	int wait_ms =
		pacer_wait_ms(&duty->pacer, clock_now(&duty->node->clock));

	return wait_ms < 0 ? POLL_MAX_MS : MIN(wait_ms, POLL_MAX_MS);
}

static void send_unauthenticated(struct packet_duty *duty,
				 const struct endpoint *to,
				 const struct packet_header *header,
				 const uint8_t *inner, size_t len)
{
	uint8_t header_buf[PACKET_HEADER_MAX];
	size_t header_len = packet_header_encode(header, header_buf);

	send_paced(duty, to, header_buf, header_len, inner, len);
}

static void send_to_peer(struct packet_sink *sink, const struct endpoint *to,
			 const struct packet_header *header,
			 const uint8_t *inner, size_t len)
{
	struct packet_duty *duty = duty_of(sink);
	uint8_t *header_buf = duty->out_buf + PACKET_AUTH_BYTES;
	size_t header_len;

	if (keyring_empty(&duty->keyring)) {
		send_unauthenticated(duty, to, header, inner, len);
		return;
	}
	header_len = packet_header_encode(header, header_buf);
	if (len)
		memcpy(header_buf + header_len, inner, len);
	packet_auth_seal(&duty->auth, to, duty->out_buf, header_len + len);
	send_paced(duty, to, duty->out_buf, PACKET_AUTH_BYTES + header_len,
		   inner, len);
}

/* Returns @inner, or a copy in out_buf with a lower maximum segment size. */
static const uint8_t *clamp_mss(struct packet_duty *duty, const uint8_t *inner,
				size_t len)
{
	struct inner_packet packet;
	bool v4;

	if (duty->node->adapter->format != &packet_format_ip ||
	    !inner_parse(&packet, inner, len) || !(packet.flags & TCP_SYN))
		return inner;
	v4 = ip_addr_is_v4(&packet.key.dst);
	memcpy(duty->out_buf, inner, len);
	if (!mss_clamp(duty->out_buf, &packet,
		       v4 ? duty->mss_v4 : duty->mss_v6))
		return inner;
	counter_inc(&duty->node->counters, COUNTER_MSS_CLAMPED);
	return duty->out_buf;
}

static void send_to_server(struct packet_sink *sink, const uint8_t *inner,
			   size_t len)
{
	struct packet_duty *duty = duty_of(sink);

	inner = clamp_mss(duty, inner, len);
	count_send(duty, duty->server.send(&duty->server, inner, len));
}

/* Address for @inner, a packet to a caller: the fabric or the caller itself. */
static struct endpoint fabric_address(struct packet_duty *duty,
				      const uint8_t *inner, size_t len)
{
	struct endpoint to = duty->node->settings->fabric;
	struct inner_packet packet;

	if (duty->node->settings->fabric_at_caller &&
	    duty->node->adapter->format->parse(&packet, inner, len))
		to.ip = ip_addr_v4(&packet.key.dst);
	return to;
}

static void send_to_fabric(struct packet_sink *sink, const uint8_t *inner,
			   size_t len)
{
	struct packet_duty *duty = duty_of(sink);
	struct endpoint to;

	inner = clamp_mss(duty, inner, len);
	if (duty->fabric.fd >= 0) {
		count_send(duty, duty->fabric.send(&duty->fabric, inner, len));
		return;
	}
	to = fabric_address(duty, inner, len);
	count_send(duty, udp_send(duty->data_fd, &to, inner, len));
}

/* Checks the log budget for @kind; logs how many lines it suppressed. */
static bool may_log(struct packet_duty *duty, enum decision_kind kind)
{
	uint32_t suppressed;
	bool allowed = log_rate_limit_allow(
		&duty->log_budgets[kind], LOG_LINES_PER_S,
		clock_now(&duty->node->clock), &suppressed);

	if (suppressed)
		log_event(LOG_LEVEL_INFO, "conn-suppressed", "did=%s lines=%u",
			  decision_name(kind), suppressed);
	return allowed;
}

static void log_decision(struct packet_sink *sink,
			 const struct decision *decision)
{
	struct packet_duty *duty = duty_of(sink);
	char src[IP_ADDR_TEXT_MAX], dst[IP_ADDR_TEXT_MAX];

	if (!atomic_load(&duty->log_connections) ||
	    !may_log(duty, decision->kind))
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

static bool is_agent(const struct packet_duty *duty)
{
	return duty->node->settings->role == MEMBER_AGENT;
}

static void apply_new_views(struct packet_duty *duty)
{
	struct view *view;

	while ((view = node_pop_view(duty->node))) {
		if (is_agent(duty))
			agent_set_view(&duty->agent, view);
		else
			balancer_set_view(&duty->balancer, view);
		node_retire_view(duty->node, duty->view);
		duty->view = view;
	}
}

static void handle_server_reports(struct packet_duty *duty)
{
	struct server_report *report;

	while ((report = node_pop_report(duty->node))) {
		agent_handle_server_report(&duty->agent, report,
					   clock_now(&duty->node->clock),
					   &duty->sink);
		g_free(report);
	}
}

static void apply_new_keys(struct packet_duty *duty)
{
	struct keyring *keyring;

	while ((keyring = ring_pop(&duty->new_keyrings))) {
		duty->keyring = *keyring;
		keyring_finish(keyring);
		g_free(keyring);
	}
}

/*
 * The fabric sends bare IP packets. Packets of balancers and agents begin with
 * an envelope or a packet header, which no IP version nibble matches.
 */
static bool is_from_fabric(const uint8_t *data, size_t len)
{
	uint8_t version = len ? data[0] >> 4 : 0;

	return version == 4 || version == 6;
}

static void handle_datagram(struct packet_duty *duty, const uint8_t *data,
			    size_t len, int64_t now_ms)
{
	int envelope_len = 0;

	/* Balancers: with a separate fabric interface only agents send here. */
	bool from_agents = duty->fabric.fd >= 0 || !is_from_fabric(data, len);

	if (is_agent(duty) || from_agents)
		envelope_len = packet_auth_open(&duty->auth, data, len, now_ms);
	if (envelope_len < 0)
		return;
	data += envelope_len;
	len -= (size_t)envelope_len;
	if (is_agent(duty))
		agent_handle_peer(&duty->agent, data, len, now_ms, &duty->sink);
	else if (from_agents)
		balancer_handle_agent_packet(&duty->balancer, data, len, now_ms,
					     &duty->sink);
	else
		balancer_handle_packet(&duty->balancer, data, len, now_ms,
				       &duty->sink);
}

/*
 * After a pause the view may be stale until the control thread has received
 * state from a peer. Call before apply_new_views().
 */
static bool views_may_be_stale(struct packet_duty *duty)
{
	int64_t now_ms = clock_now(&duty->node->clock);

	if (now_ms - duty->last_run_ms >= CONTROL_PAUSE_MIN_MS)
		duty->last_resume_ms = now_ms;
	duty->last_run_ms = now_ms;
	return atomic_load(&duty->node->last_fresh_ms) < duty->last_resume_ms;
}

static void drop_datagrams(struct packet_duty *duty, uint8_t *buf)
{
	for (int i = 0; i < BATCH_MAX_PACKETS; i++) {
		if (udp_receive(duty->data_fd, buf, BUFFER_BYTES, NULL) < 0)
			return;
		counter_inc(&duty->node->counters, COUNTER_DROP_STALE_VIEW);
	}
}

static void receive_datagrams(struct packet_duty *duty, uint8_t *buf)
{
	int64_t now_ms = clock_now(&duty->node->clock);
	ssize_t len;

	for (int i = 0; i < BATCH_MAX_PACKETS; i++) {
		len = udp_receive(duty->data_fd, buf, BUFFER_BYTES, NULL);
		if (len < 0)
			return;
		handle_datagram(duty, buf, (size_t)len, now_ms);
	}
}

/* Balancers: callers' packets from the separate fabric interface. */
static void receive_from_fabric(struct packet_duty *duty, uint8_t *buf,
				bool stale)
{
	int64_t now_ms = clock_now(&duty->node->clock);
	ssize_t len;

	for (int i = 0; i < BATCH_MAX_PACKETS; i++) {
		len = duty->fabric.receive(&duty->fabric, buf, BUFFER_BYTES);
		if (len < 0)
			return;
		if (stale)
			counter_inc(&duty->node->counters,
				    COUNTER_DROP_STALE_VIEW);
		else
			balancer_handle_packet(&duty->balancer, buf,
					       (size_t)len, now_ms,
					       &duty->sink);
	}
}

static void receive_from_server(struct packet_duty *duty, uint8_t *buf)
{
	int64_t now_ms = clock_now(&duty->node->clock);
	ssize_t len;

	for (int i = 0; i < BATCH_MAX_PACKETS; i++) {
		len = duty->server.receive(&duty->server, buf, BUFFER_BYTES);
		if (len < 0)
			return;
		agent_handle_server(&duty->agent, buf, (size_t)len, now_ms,
				    &duty->sink);
	}
}

static void tick_agent(struct packet_duty *duty)
{
	int64_t now_ms = clock_now(&duty->node->clock);

	if (atomic_load(&duty->drain))
		agent_drain(&duty->agent);
	agent_tick(&duty->agent, now_ms, &duty->sink);
	if (agent_server_check_due(&duty->agent, now_ms))
		server_check_request(&duty->node->check);
	atomic_store(&duty->node->open_connections,
		     agent_connection_count(&duty->agent));
	atomic_store(&duty->node->connection_limit, duty->agent.admit.limit);
}

/*
 * Where agents report their load to balancers, missing reports of most agents
 * mean that this balancer is isolated.
 */
static void update_isolation(struct packet_duty *duty)
{
	int64_t now_ms = clock_now(&duty->node->clock);
	bool isolated;

	if (!duty->balancer.least_load_enabled ||
	    now_ms < duty->next_isolation_check_ms)
		return;
	duty->next_isolation_check_ms = now_ms + POLL_MAX_MS;
	isolated = balancer_is_isolated(&duty->balancer, now_ms);
	if (isolated == atomic_load(&duty->node->isolated))
		return;
	atomic_store(&duty->node->isolated, isolated);
	log_event(LOG_LEVEL_WARN, isolated ? "agents-lost" : "agents-regained",
		  "name=%s", duty->node->settings->name.data);
}

static void *packet_thread(void *arg)
{
	struct packet_duty *duty = arg;
	struct node *node = duty->node;
	uint8_t *buf = g_malloc(BUFFER_BYTES);
	struct pollfd fds[3] = {
		{.fd = duty->data_fd, .events = POLLIN},
		{.fd = node->packet_wake_fd, .events = POLLIN},
		{.fd = is_agent(duty) ? duty->server.fd : duty->fabric.fd,
		 .events = POLLIN},
	};
	bool stale;

	while (!atomic_load(&node->stop)) {
		poll(fds, G_N_ELEMENTS(fds), poll_timeout_ms(duty));
		send_queued(duty);
		if (fds[1].revents)
			node_wake_clear(node->packet_wake_fd);
		stale = views_may_be_stale(duty);
		apply_new_views(duty);
		apply_new_keys(duty);
		handle_server_reports(duty);
		if (stale)
			drop_datagrams(duty, buf);
		else if (fds[0].revents)
			receive_datagrams(duty, buf);
		if (is_agent(duty)) {
			receive_from_server(duty, buf);
			tick_agent(duty);
		} else {
			if (duty->fabric.fd >= 0)
				receive_from_fabric(duty, buf, stale);
			update_isolation(duty);
		}
	}
	/* Sends the queued packets, so that the shutdown loses none. */
	pacer_flush(&duty->pacer);
	send_queued(duty);
	g_free(buf);
	return NULL;
}

static enum status_code init_agent(struct packet_duty *duty,
				   struct status *status)
{
	const struct settings *settings = duty->node->settings;
	struct agent_identity identity = {
		.name = settings->name,
		.zone = settings->zone,
		.service = settings->service,
		.instance = duty->node->instance,
		.connections = (uint32_t)settings->connections,
		.slots = (uint32_t)settings->slots,
		.seed = duty->node->instance,
		.format = duty->node->adapter->format,
		.server_reports = duty->node->adapter->servers_report,
		.report_lease_ms = settings->report_lease_ms,
		.flow_lifetime_ms = settings->flow_lifetime_ms,
		.reports_load_to_balancers =
			duty->node->adapter->servers_report,
	};

	if (settings->server_tun.len)
		packet_edge_init_tun(&duty->server, TUN_DEVICE,
				     settings->server_tun.data, status);
	else
		packet_edge_init_udp(&duty->server, &settings->server_listen,
				     &settings->server, status);
	if (status->code != STATUS_OK)
		return status->code;
	agent_init(&duty->agent, &identity, &duty->node->counters,
		   clock_now(&duty->node->clock));
	duty->node->response_times = &duty->agent.response_times_ms;
	duty->node->wait_times = &duty->agent.syn_wait_times_ms;
	return STATUS_OK;
}

static void import_flows(struct packet_duty *duty, struct str flows)
{
	if (!flows.len)
		return;
	if (handover_import(&duty->agent, (const uint8_t *)flows.data,
			    flows.len, clock_now(&duty->node->clock)))
		log_event(LOG_LEVEL_INFO, "inherited", "connections=%u",
			  agent_connection_count(&duty->agent));
	else
		log_event(LOG_LEVEL_WARN, "inherited-nothing",
			  "reason=malformed");
}

static void init_peer_path(struct packet_duty *duty)
{
	const struct settings *settings = duty->node->settings;

	duty->out_buf = g_malloc(BUFFER_BYTES);
	duty->mss_v4 = mss_for_mtu((uint16_t)settings->mtu, true);
	duty->mss_v6 = mss_for_mtu((uint16_t)settings->mtu, false);
	pacer_init(&duty->pacer, settings->link_kbit_per_s,
		   (uint32_t)settings->mtu + PACKET_HEADER_MAX +
			   PACKET_AUTH_BYTES,
		   clock_now(&duty->node->clock));
	duty->keyring = settings->data_keys;
	ring_init(&duty->new_keyrings, KEYRING_RING_SIZE);
	packet_auth_init(&duty->auth, &duty->keyring,
			 packet_auth_sender_id(&settings->name),
			 duty->node->instance, &duty->node->counters);
}

enum status_code packet_duty_start(struct packet_duty *duty, struct node *node,
				   struct str flows, struct status *status)
{
	memset(duty, 0, sizeof(*duty));
	duty->node = node;
	duty->last_run_ms = clock_now(&node->clock);
	duty->sink.to_peer = send_to_peer;
	duty->sink.to_server = send_to_server;
	duty->sink.to_fabric = send_to_fabric;
	duty->sink.record_decision = log_decision;
	atomic_init(&duty->log_connections, node->settings->log_connections);
	duty->server.fd = -1;
	duty->fabric.fd = -1;
	if (udp_open(&node->settings->data, &duty->data_fd, status) !=
	    STATUS_OK)
		return status->code;
	if (node->settings->fabric_tun.len &&
	    packet_edge_init_tun(&duty->fabric, TUN_DEVICE,
				 node->settings->fabric_tun.data,
				 status) != STATUS_OK)
		return status->code;
	if (node->settings->fabric_listen.port &&
	    packet_edge_init_udp(&duty->fabric, &node->settings->fabric_listen,
				 &node->settings->fabric, status) != STATUS_OK)
		return status->code;
	if (is_agent(duty) && init_agent(duty, status) != STATUS_OK)
		return status->code;
	if (is_agent(duty))
		import_flows(duty, flows);
	init_peer_path(duty);
	balancer_init(&duty->balancer, &node->counters);
	balancer_set_origin(&duty->balancer, &node->settings->data);
	balancer_set_format(&duty->balancer, node->adapter->format);
	if (node->adapter->servers_report)
		balancer_enable_least_load(&duty->balancer,
					   &node->settings->zone);
	if (pthread_create(&duty->thread, NULL, packet_thread, duty))
		return status_set(status, STATUS_INTERNAL,
				  "cannot start the packet thread");
	return STATUS_OK;
}

void packet_duty_set_keys(struct packet_duty *duty,
			  const struct keyring *keyring)
{
	struct keyring *copy = g_memdup2(keyring, sizeof(*keyring));

	if (ring_push(&duty->new_keyrings, copy)) {
		node_wake(duty->node->packet_wake_fd);
		return;
	}
	counter_inc(&duty->node->counters, COUNTER_DROP_RING_FULL);
	keyring_finish(copy);
	g_free(copy);
}

void packet_duty_stop(struct packet_duty *duty)
{
	atomic_store(&duty->node->stop, true);
	node_wake(duty->node->packet_wake_fd);
	pthread_join(duty->thread, NULL);
}

void packet_duty_finish(struct packet_duty *duty)
{
	packet_duty_stop(duty);
	node_retire_view(duty->node, duty->view);
	if (is_agent(duty)) {
		duty->server.finish(&duty->server);
		agent_finish(&duty->agent);
	}
	if (duty->fabric.fd >= 0)
		duty->fabric.finish(&duty->fabric);
	apply_new_keys(duty);
	ring_finish(&duty->new_keyrings);
	packet_auth_finish(&duty->auth);
	keyring_finish(&duty->keyring);
	pacer_finish(&duty->pacer);
	g_free(duty->out_buf);
	close(duty->data_fd);
}
