#include "world_internal.h"

#include <string.h>
#include <xxhash.h>

#define DEFAULT_DELAY_MS 1
#define RETRANSMIT_MS 200

static void event_free(gpointer data)
{
	struct event *event = data;

	strbuf_finish(&event->data);
	if (event->kind == EVENT_STORE_RESULT)
		store_result_finish(&event->result);
	g_free(event);
}

static int event_compare(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct event *event_a = a, *event_b = b;

	(void)user;
	if (event_a->arrival_ms != event_b->arrival_ms)
		return event_a->arrival_ms < event_b->arrival_ms ? -1 : 1;
	return event_a->insertion_order < event_b->insertion_order ? -1 : 1;
}

struct event *world_event_add(struct world *world, enum event_kind kind,
			      int64_t delay_ms)
{
	struct event *event = g_new0(struct event, 1);

	event->kind = kind;
	event->arrival_ms = world->now_ms + delay_ms;
	event->insertion_order = world->next_event++;
	g_sequence_insert_sorted(world->events, event, event_compare, NULL);
	return event;
}

static struct world_node *node_from_control_sink(struct control_sink *sink)
{
	return (struct world_node *)((char *)sink -
				     offsetof(struct world_node, control_sink));
}

static void sink_send(struct control_sink *sink, const struct endpoint *to,
		      const uint8_t *data, size_t len)
{
	struct world_node *node = node_from_control_sink(sink);
	struct world_node *peer = world_find_node_at(node->world, to, true);

	node->world->control_messages++;
	node->world->control_bytes += len;
	world_count_control_bytes(node, len);
	if (peer && world_nodes_connected(node, peer))
		world_transmit(node->world, EVENT_CONTROL_MESSAGE, to, NULL, 0,
			       data, len);
}

static void sink_call_platform(struct control_sink *sink,
			       const struct store_request *request)
{
	world_platform_call(node_from_control_sink(sink), request);
}

static void sink_cancel_platform(struct control_sink *sink,
				 enum store_queue queue, uint64_t id)
{
	(void)queue;
	world_platform_cancel(node_from_control_sink(sink), id);
}

/* TCP turns losses into delays: each one costs a retransmission timeout. */
static int64_t stream_delay_ms(struct world *world)
{
	int64_t delay_ms = world_random_delay(world);
	int64_t timeout_ms = RETRANSMIT_MS;

	while (world_random_chance(world, world->faults.control_loss)) {
		delay_ms += timeout_ms;
		timeout_ms *= 2;
	}
	return delay_ms;
}

static struct event *stream_event_add(struct world_node *node,
				      enum event_kind kind,
				      const struct endpoint *peer,
				      int64_t delay_ms)
{
	struct event *event = world_event_add(node->world, kind, delay_ms);

	event->to = *peer;
	event->node = node;
	event->instance = node->options.self.instance;
	return event;
}

static void sink_pull_config(struct control_sink *sink,
			     const struct endpoint *peer, struct str request)
{
	struct world_node *node = node_from_control_sink(sink);
	struct event *event = stream_event_add(node, EVENT_PULL_REQUEST, peer,
					       stream_delay_ms(node->world));

	strbuf_add(&event->data, request.data, request.len);
}

static void sink_routing_changed(struct control_sink *sink)
{
	node_from_control_sink(sink)->view_dirty = true;
}

void world_init(struct world *world, uint32_t seed)
{
	memset(world, 0, sizeof(*world));
	caller_pool_init(&world->callers, seed);
	world->callers.send = world_send_from_callers;
	world->rand = g_rand_new_with_seed(seed + 1);
	world->now_ms = WORLD_EPOCH_MS;
	world->faults.delay_min_ms = DEFAULT_DELAY_MS;
	world->faults.delay_max_ms = DEFAULT_DELAY_MS;
	world_platform_init(world);
	manifest_init(&world->manifest);
	world->nodes = g_ptr_array_new();
	world->events = g_sequence_new(event_free);
}

static void node_stop(struct world_node *node)
{
	if (!node->up)
		return;
	node->up = false;
	control_finish(&node->control);
	if (node->options.self.role == MEMBER_AGENT)
		agent_finish(&node->agent);
	if (node->view) {
		view_finish(node->view);
		g_free(node->view);
		node->view = NULL;
	}
}

void world_finish(struct world *world)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world->nodes, i);

		node_stop(node);
		backend_finish(&node->backend);
		g_free(node);
	}
	g_ptr_array_free(world->nodes, TRUE);
	g_sequence_free(world->events);
	world_platform_finish(world);
	manifest_finish(&world->manifest);
	caller_pool_finish(&world->callers);
	g_rand_free(world->rand);
}

static void start_agent(struct world_node *node)
{
	const struct member *self = &node->options.self;
	struct agent_identity identity = {
		.name = self->name,
		.zone = self->zone,
		.service = self->service,
		.instance = self->instance,
		.connections = self->connections,
		.slots = self->slots,
		.seed = self->instance,
	};

	agent_init(&node->agent, &identity, &node->counters,
		   node->world->now_ms);
}

void world_start_node(struct world_node *node)
{
	struct world *world = node->world;

	node_stop(node);
	node->options.self.instance = (uint64_t)world->now_ms;
	node->options.self.sequence = 0;
	node->options.self.state = MEMBER_ACTIVE;
	node->options.random_seed = g_rand_int(world->rand);
	node->up = true;
	node->view_dirty = false;
	node->view_due_ms = 0;
	node->drained_at_ms = 0;
	node->paused_until_ms = 0;
	node->checked_release = 0;
	control_init(&node->control, &node->options, &node->counters,
		     world->now_ms);
	balancer_init(&node->balancer, &node->counters);
	balancer_set_origin(&node->balancer, &node->options.self.data);
	if (node->options.self.role == MEMBER_AGENT)
		start_agent(node);
}

void world_kill_node(struct world_node *node)
{
	node_stop(node);
	node->killed_at_ms = node->world->now_ms;
}

struct world_node *world_add_node(struct world *world,
				  const struct member *self)
{
	struct world_node *node = g_new0(struct world_node, 1);
	const struct service *service =
		manifest_find_service(&world->manifest, &self->service);
	static const struct ip_addr no_address;

	node->world = world;
	node->options.self = *self;
	node->options.deployment = world->manifest.deployment;
	node->options.strong_reads = world->strong_reads;
	node->control_sink.send = sink_send;
	node->control_sink.call_platform = sink_call_platform;
	node->control_sink.cancel_platform_call = sink_cancel_platform;
	node->control_sink.pull_config = sink_pull_config;
	node->control_sink.routing_changed = sink_routing_changed;
	world_network_attach(node);
	counters_init(&node->counters);
	for (guint i = world->nodes->len; i-- > 0;) {
		const struct world_node *peer =
			g_ptr_array_index(world->nodes, i);

		if (peer->up && peer->options.self.role == MEMBER_BALANCER &&
		    node->options.n_seeds < 3)
			node->options.seeds[node->options.n_seeds++] =
				peer->options.self.control;
	}
	backend_init(&node->backend, service ? service->name.data : "",
		     service ? &service->address : &no_address);
	node->backend.send = world_send_from_backend;
	node->backend.seq_seed = member_id(&self->name);
	node->backend.cold_capacity = self->connections / WORLD_COLD_DIVISOR;
	g_ptr_array_add(world->nodes, node);
	world_start_node(node);
	return node;
}

struct world_node *world_find_node(struct world *world, const char *name)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world->nodes, i);

		if (!strcmp(node->options.self.name.data, name))
			return node;
	}
	return NULL;
}

static void deliver_control(struct world *world, const struct event *event)
{
	struct world_node *node = world_find_node_at(world, &event->to, true);
	static const struct endpoint unknown = {0, 0};

	if (node && world_node_is_running(node))
		control_handle_message(&node->control, &unknown,
				       (const uint8_t *)event->data.data,
				       event->data.len, world->now_ms,
				       &node->control_sink);
}

static void deliver_store_result(struct world *world, struct event *event)
{
	struct world_node *node = event->node;

	if (world_node_is_running(node) &&
	    node->options.self.instance == event->instance)
		control_handle_result(&node->control, &event->result,
				      world->now_ms, &node->control_sink);
}

/* A pull request arrives; sends the peer's response, or a failure. */
static void deliver_pull_request(struct world *world, struct event *event)
{
	struct world_node *peer = world_find_node_at(world, &event->to, true);
	int64_t delay_ms = stream_delay_ms(world);
	struct event *response;

	if (!peer || !world_node_is_running(peer) ||
	    !world_nodes_connected(event->node, peer) ||
	    delay_ms > CONFIG_PULL_TIMEOUT_MS) {
		stream_event_add(event->node, EVENT_PULL_RESPONSE, &event->to,
				 CONFIG_PULL_TIMEOUT_MS);
		return;
	}
	response = stream_event_add(event->node, EVENT_PULL_RESPONSE,
				    &event->to, delay_ms);
	response->instance = event->instance;
	control_handle_pull(&peer->control, (const uint8_t *)event->data.data,
			    event->data.len, &response->data);
	world_count_control_bytes(peer, response->data.len);
}

static void deliver_pull_response(struct world *world,
				  const struct event *event)
{
	struct world_node *node = event->node;

	if (!world_node_is_running(node) ||
	    node->options.self.instance != event->instance)
		return;
	if (!event->data.len)
		control_pull_failed(&node->control);
	else
		control_handle_message(&node->control, &event->to,
				       (const uint8_t *)event->data.data,
				       event->data.len, world->now_ms,
				       &node->control_sink);
}

static void deliver_event(struct world *world, struct event *event)
{
	uint64_t hash_input[4] = {(uint64_t)event->arrival_ms, event->kind,
				  event->to.ip, event->data.len};

	world->delivery_hash = XXH3_64bits_withSeed(
		hash_input, sizeof(hash_input), world->delivery_hash);
	switch (event->kind) {
	case EVENT_DATA_PACKET:
		world_deliver_data(world, event);
		break;
	case EVENT_CONTROL_MESSAGE:
		deliver_control(world, event);
		break;
	case EVENT_SERVER_RESPONSE:
		world_deliver_server_response(event);
		break;
	case EVENT_CALLER_PACKET:
		caller_pool_receive(&world->callers,
				    (const uint8_t *)event->data.data,
				    event->data.len, world->now_ms);
		break;
	case EVENT_STORE_RESULT:
		deliver_store_result(world, event);
		break;
	case EVENT_PULL_REQUEST:
		deliver_pull_request(world, event);
		break;
	case EVENT_PULL_RESPONSE:
		deliver_pull_response(world, event);
		break;
	}
}

static void deliver_due_events(struct world *world, int64_t until_ms)
{
	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(world->events);
		struct event *event;

		if (g_sequence_iter_is_end(first))
			return;
		event = g_sequence_get(first);
		if (event->arrival_ms > until_ms)
			return;
		world->now_ms = MAX(world->now_ms, event->arrival_ms);
		deliver_event(world, event);
		g_sequence_remove(first);
	}
}

static void refresh_view(struct world_node *node)
{
	struct view *view;

	if (node->world->control_only || !node->view_dirty ||
	    !node->control.config.manifest.release)
		return;
	node->view_dirty = false;
	view = g_new(struct view, 1);
	view_init(view, &node->control.config.manifest, &node->control.roster);
	if (node->options.self.role == MEMBER_AGENT)
		agent_set_view(&node->agent, view);
	else
		balancer_set_view(&node->balancer, view);
	if (node->view) {
		view_finish(node->view);
		g_free(node->view);
	}
	node->view = view;
}

static void tick_node(struct world *world, struct world_node *node)
{
	node->backend.cold = world->now_ms < node->cold_until_ms;
	if (!world_node_is_running(node))
		return;
	if (world->now_ms >= control_next_deadline(&node->control))
		control_tick(&node->control, world->now_ms,
			     &node->control_sink);
	if (node->options.self.role == MEMBER_AGENT && !world->control_only)
		agent_tick(&node->agent, world->now_ms, &node->packet_sink);
	refresh_view(node);
	world_check_manifest(world, node);
}

static bool has_older_release(const struct world *world,
			      const struct world_node *node)
{
	return node->up &&
	       node->control.config.manifest.release < world->manifest.release;
}

static void record_convergence(struct world *world)
{
	if (world->convergence_ms)
		return;
	for (guint i = 0; i < world->nodes->len; i++)
		if (has_older_release(world,
				      g_ptr_array_index(world->nodes, i)))
			return;
	world->convergence_ms = world->now_ms - world->accepted_at_ms;
}

void world_run(struct world *world, int64_t ms)
{
	int64_t end_ms = world->now_ms + ms;

	while (world->now_ms < end_ms) {
		int64_t next_ms = MIN(world->now_ms + WORLD_TICK_MS, end_ms);

		deliver_due_events(world, next_ms);
		world->now_ms = next_ms;
		world_platform_serve_watches(world);
		for (guint i = 0; i < world->nodes->len; i++)
			tick_node(world, g_ptr_array_index(world->nodes, i));
		caller_pool_step(&world->callers, world->now_ms);
		record_convergence(world);
	}
}
