#include "world_internal.h"

/* The simulated network: loses, duplicates, delays and delivers packets. */
int64_t world_random_delay(struct world *world)
{
	return g_rand_int_range(world->rand, (int)world->faults.delay_min_ms,
				(int)world->faults.delay_max_ms + 1);
}

bool world_random_chance(struct world *world, double share)
{
	return share > 0 && g_rand_double(world->rand) < share;
}

void world_transmit(struct world *world, enum event_kind kind,
		    const struct endpoint *to, const void *head,
		    size_t head_len, const void *body, size_t body_len)
{
	bool control = kind == EVENT_CONTROL_MESSAGE;
	double loss = control ? world->faults.control_loss
			      : world->faults.data_loss;
	double duplication = control ? world->faults.control_duplication
				     : world->faults.data_duplication;
	int copies = world_random_chance(world, duplication) ? 2 : 1;

	if (world_random_chance(world, loss))
		return;
	while (copies--) {
		struct event *event =
			world_event_add(world, kind, world_random_delay(world));

		event->to = *to;
		strbuf_add(&event->data, head, head_len);
		strbuf_add(&event->data, body, body_len);
		if (control)
			world_inject_control_faults(world, event);
	}
}

static struct world_node *node_from_packet_sink(struct packet_sink *sink)
{
	return (struct world_node *)((char *)sink -
				     offsetof(struct world_node, packet_sink));
}

static struct world_node *node_from_backend(struct backend *backend)
{
	return (struct world_node *)((char *)backend -
				     offsetof(struct world_node, backend));
}

/* Several nodes may have had the address; one that is up comes first. */
struct world_node *world_find_node_at(struct world *world,
				      const struct endpoint *to, bool control)
{
	struct world_node *stopped_node = NULL;

	for (guint i = 0; i < world->nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world->nodes, i);
		const struct member *self = &node->options.self;

		if (!endpoint_equal(control ? &self->control : &self->data, to))
			continue;
		if (node->up)
			return node;
		if (!stopped_node)
			stopped_node = node;
	}
	return stopped_node;
}

bool world_nodes_connected(const struct world_node *a,
			   const struct world_node *b)
{
	return !a->network_partition || !b->network_partition ||
	       a->network_partition == b->network_partition;
}

static void to_peer(struct packet_sink *sink, const struct endpoint *to,
		    const struct packet_header *header, const uint8_t *inner,
		    size_t len)
{
	struct world_node *node = node_from_packet_sink(sink);
	struct world_node *peer = world_find_node_at(node->world, to, false);
	uint8_t head[PACKET_HEADER_MAX];
	size_t head_len = packet_header_encode(header, head);

	if (peer && !peer->up)
		world_record_dead_packet(peer, inner, len);
	if (peer && world_nodes_connected(node, peer))
		world_transmit(node->world, EVENT_DATA_PACKET, to, head,
			       head_len, inner, len);
}

/*
 * Records the time of packets to a server whose zone is out of service, and of
 * new connections at a drained server.
 */
static void record_late_packet(struct world_node *node, const uint8_t *inner,
			       size_t len)
{
	struct world *world = node->world;
	struct inner_packet packet;

	if (node->zone_out_at_ms)
		world->zone_out_last_packet_ms =
			MAX(world->zone_out_last_packet_ms,
			    world->now_ms - node->zone_out_at_ms);
	if (!node->drained_at_ms || !inner_parse(&packet, inner, len) ||
	    !inner_opens_connection(&packet) ||
	    g_hash_table_contains(node->backend.connections, &packet.key))
		return;
	world->drained_last_open_ms = MAX(world->drained_last_open_ms,
					  world->now_ms - node->drained_at_ms);
}

static void to_server(struct packet_sink *sink, const uint8_t *inner,
		      size_t len)
{
	struct world_node *node = node_from_packet_sink(sink);

	record_late_packet(node, inner, len);
	backend_handle(&node->backend, inner, len);
}

static void to_fabric(struct packet_sink *sink, const uint8_t *inner,
		      size_t len)
{
	static const struct endpoint callers = {0, 0};

	world_transmit(node_from_packet_sink(sink)->world, EVENT_CALLER_PACKET,
		       &callers, NULL, 0, inner, len);
}

bool world_node_is_running(const struct world_node *node)
{
	return node->up && node->world->now_ms >= node->paused_until_ms;
}

static void handle_server_packet(struct world_node *node, const uint8_t *data,
				 size_t len)
{
	if (world_node_is_running(node))
		agent_handle_server(&node->agent, data, len,
				    node->world->now_ms, &node->packet_sink);
}

void world_deliver_server_response(const struct event *event)
{
	handle_server_packet(event->node, (const uint8_t *)event->data.data,
			     event->data.len);
}

/* A cold backend server responds late to all but the handshake. */
void world_send_from_backend(struct backend *backend, const uint8_t *data,
			     size_t len)
{
	struct world_node *node = node_from_backend(backend);
	struct inner_packet packet;
	struct event *event;

	if (!backend->cold || !inner_parse(&packet, data, len) ||
	    !packet.payload_len) {
		handle_server_packet(node, data, len);
		return;
	}
	event = world_event_add(node->world, EVENT_SERVER_RESPONSE,
				WORLD_COLD_RESPONSE_MS);
	event->node = node;
	strbuf_add(&event->data, data, len);
}

void world_network_attach(struct world_node *node)
{
	node->packet_sink.to_peer = to_peer;
	node->packet_sink.to_server = to_server;
	node->packet_sink.to_fabric = to_fabric;
}

void world_send_from_callers(struct caller_pool *pool, const uint8_t *data,
			     size_t len)
{
	struct world *world = (struct world *)pool;
	struct world_node *balancers[64];
	int n = 0;

	for (guint i = 0; i < world->nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world->nodes, i);

		if (node->up && node->options.self.role == MEMBER_BALANCER &&
		    n < (int)G_N_ELEMENTS(balancers))
			balancers[n++] = node;
	}
	if (!n)
		return;
	n = g_rand_int_range(world->rand, 0, n);
	world_transmit(world, EVENT_DATA_PACKET,
		       &balancers[n]->options.self.data, NULL, 0, data, len);
}

/*
 * As in the product, a process that was paused drops packets until it has
 * resynchronised its view with a peer.
 */
static bool view_is_stale(const struct world_node *node)
{
	return node->control.now_ms < node->paused_until_ms ||
	       control_is_resyncing(&node->control);
}

void world_deliver_data(struct world *world, const struct event *event)
{
	struct world_node *node = world_find_node_at(world, &event->to, false);
	const uint8_t *data = (const uint8_t *)event->data.data;

	if (!node || !world_node_is_running(node))
		return;
	if (view_is_stale(node))
		counter_inc(&node->counters, COUNTER_DROP_STALE_VIEW);
	else if (node->options.self.role == MEMBER_AGENT)
		agent_handle_peer(&node->agent, data, event->data.len,
				  world->now_ms, &node->packet_sink);
	else
		balancer_handle_packet(&node->balancer, data, event->data.len,
				       world->now_ms, &node->packet_sink);
}
