#include "world_internal.h"

#include <string.h>
#include <xxhash.h>

#define DEFAULT_DELAY_MS 1
#define RETRANSMIT_MS 200

static void event_free(gpointer data)
{
	struct event *event = data;

	strbuf_finish(&event->data);
	if (event->kind == EVENT_RESULT)
		store_result_finish(&event->result);
	g_free(event);
}

static int event_order(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct event *x = a, *y = b;

	(void)user;
	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->order < y->order ? -1 : 1;
}

struct event *world_event_add(struct world *world, enum event_kind kind,
			      int64_t delay_ms)
{
	struct event *event = g_new0(struct event, 1);

	event->kind = kind;
	event->at_ms = world->now_ms + delay_ms;
	event->order = world->next_event++;
	g_sequence_insert_sorted(world->events, event, event_order, NULL);
	return event;
}

static struct world_node *node_of_control(struct control_sink *sink)
{
	return (struct world_node *)((char *)sink -
				     offsetof(struct world_node, control_sink));
}

static void sink_send(struct control_sink *sink, const struct endpoint *to,
		      const uint8_t *data, size_t len)
{
	struct world_node *node = node_of_control(sink);
	struct world_node *peer = world_node_at(node->world, to, true);

	node->world->control_messages++;
	node->world->control_bytes += len;
	world_control_meter(node, len);
	if (peer && world_sides_meet(node, peer))
		world_transmit(node->world, EVENT_CONTROL, to, NULL, 0, data,
			       len);
}

static void sink_call(struct control_sink *sink,
		      const struct store_request *request)
{
	world_platform_call(node_of_control(sink), request);
}

/* TCP hides losses and pays for them with time. */
static int64_t stream_delay(struct world *world)
{
	int64_t delay_ms = world_delay(world);
	int64_t timeout_ms = RETRANSMIT_MS;

	while (world_chance(world, world->faults.control_loss)) {
		delay_ms += timeout_ms;
		timeout_ms *= 2;
	}
	return delay_ms;
}

static struct event *stream_event(struct world_node *node, enum event_kind kind,
				  const struct endpoint *peer, int64_t delay_ms)
{
	struct event *event = world_event_add(node->world, kind, delay_ms);

	event->to = *peer;
	event->node = node;
	event->instance = node->options.self.instance;
	return event;
}

static void sink_pull(struct control_sink *sink, const struct endpoint *peer,
		      struct str request)
{
	struct world_node *node = node_of_control(sink);
	struct event *event =
		stream_event(node, EVENT_PULL, peer, stream_delay(node->world));

	strbuf_add(&event->data, request.data, request.len);
}

static void sink_changed(struct control_sink *sink)
{
	node_of_control(sink)->view_dirty = true;
}

void world_init(struct world *world, uint32_t seed)
{
	memset(world, 0, sizeof(*world));
	caller_pool_init(&world->callers, seed);
	world->callers.send = world_from_callers;
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
	node->drain_ms = 0;
	node->paused_until_ms = 0;
	node->last_release = 0;
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
	node->died_ms = node->world->now_ms;
}

struct world_node *world_add_node(struct world *world,
				  const struct member *self)
{
	struct world_node *node = g_new0(struct world_node, 1);
	const struct service *service =
		manifest_find_service(&world->manifest, &self->service);
	static const struct ip_addr none;

	node->world = world;
	node->options.self = *self;
	node->options.deployment = world->manifest.deployment;
	node->control_sink.send = sink_send;
	node->control_sink.call_platform = sink_call;
	node->control_sink.pull_config = sink_pull;
	node->control_sink.routing_changed = sink_changed;
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
		     service ? &service->address : &none);
	node->backend.send = world_from_backend;
	node->backend.seed = member_id(&self->name);
	node->backend.cold_capacity = self->connections / WORLD_COLD_SHARE;
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
	struct world_node *node = world_node_at(world, &event->to, true);
	static const struct endpoint unknown = {0, 0};

	if (node && world_node_runs(node))
		control_handle_message(&node->control, &unknown,
				       (const uint8_t *)event->data.data,
				       event->data.len, world->now_ms,
				       &node->control_sink);
}

static void deliver_result(struct world *world, struct event *event)
{
	struct world_node *node = event->node;

	if (world_node_runs(node) &&
	    node->options.self.instance == event->instance)
		control_handle_result(&node->control, &event->result,
				      world->now_ms, &node->control_sink);
}

/* A pull arrives at the peer; its answer, or failure, goes back. */
static void deliver_pull(struct world *world, struct event *event)
{
	struct world_node *peer = world_node_at(world, &event->to, true);
	int64_t delay_ms = stream_delay(world);
	struct event *back;

	if (!peer || !world_node_runs(peer) ||
	    !world_sides_meet(event->node, peer) ||
	    delay_ms > CONFIG_PULL_TIMEOUT_MS) {
		stream_event(event->node, EVENT_PULLED, &event->to,
			     CONFIG_PULL_TIMEOUT_MS);
		return;
	}
	back = stream_event(event->node, EVENT_PULLED, &event->to, delay_ms);
	back->instance = event->instance;
	control_handle_pull(&peer->control, (const uint8_t *)event->data.data,
			    event->data.len, &back->data);
	world_control_meter(peer, back->data.len);
}

static void deliver_pulled(struct world *world, const struct event *event)
{
	struct world_node *node = event->node;

	if (!world_node_runs(node) ||
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

static void deliver(struct world *world, struct event *event)
{
	uint64_t words[4] = {(uint64_t)event->at_ms, event->kind, event->to.ip,
			     event->data.len};

	world->trace = XXH3_64bits_withSeed(words, sizeof(words), world->trace);
	switch (event->kind) {
	case EVENT_DATA:
		world_deliver_data(world, event);
		break;
	case EVENT_CONTROL:
		deliver_control(world, event);
		break;
	case EVENT_FROM_SERVER:
		world_deliver_answer(event);
		break;
	case EVENT_TO_CALLER:
		caller_pool_receive(&world->callers,
				    (const uint8_t *)event->data.data,
				    event->data.len, world->now_ms);
		break;
	case EVENT_RESULT:
		deliver_result(world, event);
		break;
	case EVENT_PULL:
		deliver_pull(world, event);
		break;
	case EVENT_PULLED:
		deliver_pulled(world, event);
		break;
	}
}

static void deliver_due(struct world *world, int64_t until_ms)
{
	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(world->events);
		struct event *event;

		if (g_sequence_iter_is_end(first))
			return;
		event = g_sequence_get(first);
		if (event->at_ms > until_ms)
			return;
		world->now_ms = MAX(world->now_ms, event->at_ms);
		deliver(world, event);
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
	if (!world_node_runs(node))
		return;
	if (world->now_ms >= control_next_deadline(&node->control))
		control_tick(&node->control, world->now_ms,
			     &node->control_sink);
	if (node->options.self.role == MEMBER_AGENT && !world->control_only)
		agent_tick(&node->agent, world->now_ms, &node->packet_sink);
	refresh_view(node);
	world_check_manifest(world, node);
}

static bool lags(const struct world *world, const struct world_node *node)
{
	return node->up &&
	       node->control.config.manifest.release < world->manifest.release;
}

static void note_everywhere(struct world *world)
{
	if (world->everywhere_ms)
		return;
	for (guint i = 0; i < world->nodes->len; i++)
		if (lags(world, g_ptr_array_index(world->nodes, i)))
			return;
	world->everywhere_ms = world->now_ms - world->accepted_ms;
}

void world_run(struct world *world, int64_t ms)
{
	int64_t end_ms = world->now_ms + ms;

	while (world->now_ms < end_ms) {
		int64_t next_ms = MIN(world->now_ms + WORLD_TICK_MS, end_ms);

		deliver_due(world, next_ms);
		world->now_ms = next_ms;
		world_platform_serve(world);
		for (guint i = 0; i < world->nodes->len; i++)
			tick_node(world, g_ptr_array_index(world->nodes, i));
		caller_pool_step(&world->callers, world->now_ms);
		note_everywhere(world);
	}
}
