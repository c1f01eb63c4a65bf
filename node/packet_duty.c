#include "tarragonflow/node/packet_duty.h"

#include <glib.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "tarragonflow/common/log.h"
#include "tarragonflow/flow/handover.h"
#include "tarragonflow/net/udp.h"

#define POLL_MAX_MS 100
#define BATCH_MAX 64
#define BUFFER_BYTES (INNER_MAX + PACKET_HEADER_MAX)

static struct packet_duty *duty_of(struct packet_sink *sink)
{
	return (struct packet_duty *)sink;
}

static void count_send(struct packet_duty *duty, bool sent)
{
	if (!sent)
		counter_inc(&duty->node->counters, COUNTER_DROP_SEND);
}

static void send_to_peer(struct packet_sink *sink, const struct endpoint *to,
			 const struct packet_header *header,
			 const uint8_t *inner, size_t len)
{
	struct packet_duty *duty = duty_of(sink);
	uint8_t head[PACKET_HEADER_MAX];
	size_t head_len = packet_header_encode(header, head);

	count_send(duty,
		   udp_send_two(duty->data_fd, to, head, head_len, inner, len));
}

static void send_to_server(struct packet_sink *sink, const uint8_t *inner,
			   size_t len)
{
	struct packet_duty *duty = duty_of(sink);

	count_send(duty, duty->server.send(&duty->server, inner, len));
}

static void send_to_fabric(struct packet_sink *sink, const uint8_t *inner,
			   size_t len)
{
	struct packet_duty *duty = duty_of(sink);

	count_send(duty, udp_send(duty->data_fd, &duty->node->settings->fabric,
				  inner, len));
}

static bool is_agent(const struct packet_duty *duty)
{
	return duty->node->settings->role == MEMBER_AGENT;
}

static void take_views(struct packet_duty *duty)
{
	struct view *view;

	while ((view = node_take_view(duty->node))) {
		if (is_agent(duty))
			agent_set_view(&duty->agent, view);
		else
			balancer_set_view(&duty->balancer, view);
		node_retire_view(duty->node, duty->view);
		duty->view = view;
	}
}

/*
 * After a pause the views may be old until the control duty has heard from a
 * peer. To be asked before the views are taken.
 */
static bool views_stale(struct packet_duty *duty)
{
	int64_t now_ms = clock_now(&duty->node->clock);

	if (now_ms - duty->ran_ms >= CONTROL_PAUSE_MS)
		duty->woke_ms = now_ms;
	duty->ran_ms = now_ms;
	return atomic_load(&duty->node->fresh_ms) < duty->woke_ms;
}

static void drop_data(struct packet_duty *duty, uint8_t *buf)
{
	for (int i = 0; i < BATCH_MAX; i++) {
		if (udp_receive(duty->data_fd, buf, BUFFER_BYTES, NULL) < 0)
			return;
		counter_inc(&duty->node->counters, COUNTER_DROP_STALE);
	}
}

static void receive_data(struct packet_duty *duty, uint8_t *buf)
{
	int64_t now_ms = clock_now(&duty->node->clock);
	ssize_t len;

	for (int i = 0; i < BATCH_MAX; i++) {
		len = udp_receive(duty->data_fd, buf, BUFFER_BYTES, NULL);
		if (len < 0)
			return;
		if (is_agent(duty))
			agent_handle_peer(&duty->agent, buf, (size_t)len,
					  now_ms, &duty->sink);
		else
			balancer_handle(&duty->balancer, buf, (size_t)len,
					&duty->sink);
	}
}

static void receive_server(struct packet_duty *duty, uint8_t *buf)
{
	int64_t now_ms = clock_now(&duty->node->clock);
	ssize_t len;

	for (int i = 0; i < BATCH_MAX; i++) {
		len = duty->server.receive(&duty->server, buf, BUFFER_BYTES);
		if (len < 0)
			return;
		agent_handle_server(&duty->agent, buf, (size_t)len, now_ms,
				    &duty->sink);
	}
}

static void agent_step(struct packet_duty *duty)
{
	if (atomic_load(&duty->drain))
		agent_drain(&duty->agent);
	agent_tick(&duty->agent, clock_now(&duty->node->clock), &duty->sink);
	atomic_store(&duty->node->open_connections, agent_open(&duty->agent));
}

static void *packet_thread(void *arg)
{
	struct packet_duty *duty = arg;
	struct node *node = duty->node;
	uint8_t *buf = g_malloc(BUFFER_BYTES);
	struct pollfd fds[3] = {
		{.fd = duty->data_fd, .events = POLLIN},
		{.fd = node->wake_packet, .events = POLLIN},
		{.fd = duty->server.fd, .events = POLLIN},
	};
	bool stale;

	while (!atomic_load(&node->stop)) {
		poll(fds, is_agent(duty) ? 3 : 2, POLL_MAX_MS);
		if (fds[1].revents)
			node_wake_clear(node->wake_packet);
		stale = views_stale(duty);
		take_views(duty);
		if (stale)
			drop_data(duty, buf);
		else if (fds[0].revents)
			receive_data(duty, buf);
		if (is_agent(duty)) {
			receive_server(duty, buf);
			agent_step(duty);
		}
	}
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
	};

	if (packet_edge_init_udp(&duty->server, &settings->server_listen,
				 &settings->server, status) != STATUS_OK)
		return status->code;
	agent_init(&duty->agent, &identity, &duty->node->counters,
		   clock_now(&duty->node->clock));
	return STATUS_OK;
}

static void inherit(struct packet_duty *duty, struct str flows)
{
	if (!flows.len)
		return;
	if (handover_import(&duty->agent, (const uint8_t *)flows.data,
			    flows.len, clock_now(&duty->node->clock)))
		log_event(LOG_LEVEL_INFO, "inherited", "connections=%u",
			  agent_open(&duty->agent));
	else
		log_event(LOG_LEVEL_WARN, "inherited-nothing",
			  "reason=malformed");
}

enum status_code packet_duty_start(struct packet_duty *duty, struct node *node,
				   struct str inherited, struct status *status)
{
	memset(duty, 0, sizeof(*duty));
	duty->node = node;
	duty->ran_ms = clock_now(&node->clock);
	duty->sink.to_peer = send_to_peer;
	duty->sink.to_server = send_to_server;
	duty->sink.to_fabric = send_to_fabric;
	duty->server.fd = -1;
	if (udp_open(&node->settings->data, &duty->data_fd, status) !=
	    STATUS_OK)
		return status->code;
	if (is_agent(duty) && init_agent(duty, status) != STATUS_OK)
		return status->code;
	if (is_agent(duty))
		inherit(duty, inherited);
	balancer_init(&duty->balancer, &node->counters);
	balancer_set_origin(&duty->balancer, &node->settings->data);
	if (pthread_create(&duty->thread, NULL, packet_thread, duty))
		return status_set(status, STATUS_INTERNAL,
				  "cannot start the packet duty");
	return STATUS_OK;
}

void packet_duty_stop(struct packet_duty *duty)
{
	atomic_store(&duty->node->stop, true);
	node_wake(duty->node->wake_packet);
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
	close(duty->data_fd);
}
