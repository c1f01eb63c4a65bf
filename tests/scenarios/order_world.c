#include "order_world.h"

#include <string.h>

#include "order_callers.h"

#define TICK_MS 5
#define MESSAGE_DELAY_MIN_MS 1
#define MESSAGE_DELAY_MAX_MS 3
#define PLATFORM_DELAY_MS 5
#define PLATFORM_RETRY_MS 1000
#define KEYS_MAX 2000000
#define QUEUE_PER_SLOT 4
#define CLAIMS_PENDING_MAX 1024
#define LATE_RESPONSE_MS 3000
/* Time for the last home list to reach the other homes. */
#define LEAVE_DELAY_MS 500

struct event {
	int64_t at_ms;
	/* Orders events of the same time. */
	uint64_t number;
	void (*handler)(struct order_world *world, struct event *event);
	/* Of order_world_schedule(); called with `id`. */
	void (*callback)(struct order_world *world, uint64_t number);
	/* Index of the agent concerned. */
	uint32_t agent;
	/* Its instance; some events are ignored by a later instance. */
	uint64_t instance;
	/* Result of a dispatch: id of the request, attempt, result. */
	uint64_t id;
	uint32_t attempt;
	enum order_attempt_result result;
	/* The server ends the request with this result. */
	bool frees_slot;
	/* Encoded message, proposed home list, or response. */
	struct strbuf data;
};

static gint compare_events(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct event *x = a, *y = b;

	(void)user;
	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->number < y->number ? -1 : x->number > y->number;
}

static void event_free(gpointer data)
{
	struct event *event = data;

	strbuf_finish(&event->data);
	g_free(event);
}

static struct event *add_event(struct order_world *world, int64_t in_ms,
			       void (*handler)(struct order_world *,
					       struct event *))
{
	struct event *event = g_new0(struct event, 1);

	event->at_ms = world->now_ms + in_ms;
	event->number = world->next_event++;
	event->handler = handler;
	g_sequence_insert_sorted(world->events, event, compare_events, NULL);
	return event;
}

bool order_world_draw_bool(struct order_world *world, double share)
{
	return share > 0 && g_rand_double(world->rand) < share;
}

int64_t order_world_draw_ms(struct order_world *world, int64_t mean_ms)
{
	return g_rand_int_range(world->rand, 1, (gint32)(2 * mean_ms) + 1);
}

static void run_callback(struct order_world *world, struct event *event)
{
	event->callback(world, event->id);
}

void order_world_schedule(struct order_world *world, int64_t in_ms,
			  void (*callback)(struct order_world *, uint64_t),
			  uint64_t number)
{
	struct event *event = add_event(world, in_ms, run_callback);

	event->callback = callback;
	event->id = number;
}

struct order_agent *order_world_pick_agent(struct order_world *world,
					   uint32_t target_agents)
{
	uint32_t n = target_agents ? MIN(target_agents, world->n_agents)
				   : world->n_agents;
	uint32_t first = (uint32_t)g_rand_int_range(world->rand, 0, (gint32)n);

	for (uint32_t i = 0; i < n; i++) {
		struct order_agent *agent = &world->agents[(first + i) % n];

		if (agent->up && !agent->leaving)
			return agent;
	}
	return NULL;
}

/* Network between gates. */

static struct order_agent *find_agent_by_name(struct order_world *world,
					      const struct name *name)
{
	for (uint32_t i = 0; i < world->n_agents; i++)
		if (name_equal(&world->agents[i].name, name))
			return &world->agents[i];
	return NULL;
}

static void deliver_message(struct order_world *world, struct event *event)
{
	static struct order_message_buffer buffer;
	struct order_agent *agent = &world->agents[event->agent];
	const uint8_t *data = (const uint8_t *)event->data.data;

	g_assert_true(order_message_decode(
		&buffer, data + ORDER_FRAME_HEADER_BYTES,
		event->data.len - ORDER_FRAME_HEADER_BYTES));
	if (!agent->up) {
		callers_record_fault(world, &buffer.message);
		return;
	}
	if (buffer.message.type == ORDER_TRANSFER)
		callers_record_forward(world, buffer.message.request,
				       agent->instance);
	claims_handle_message(&agent->claims, &buffer.message, world->now_ms,
			      &agent->claims_sink);
	gate_handle_message(&agent->gate, &buffer.message, world->now_ms,
			    &agent->gate_sink);
}

static bool is_partitioned(const struct order_world *world, uint32_t a,
			   uint32_t b)
{
	return world->now_ms < world->partitioned_until_ms &&
	       (a < world->partition_split) != (b < world->partition_split);
}

static void send_message(struct order_agent *from, const struct name *to,
			 const struct order_message *message)
{
	struct order_world *world = from->world;
	struct order_agent *agent = find_agent_by_name(world, to);
	int n_messages =
		order_world_draw_bool(world, world->faults.message_duplicated)
			? 2
			: 1;

	if (!agent || is_partitioned(world, from->index, agent->index) ||
	    order_world_draw_bool(world, world->faults.message_lost)) {
		callers_record_fault(world, message);
		return;
	}
	while (n_messages--) {
		int64_t delay = g_rand_int_range(world->rand,
						 MESSAGE_DELAY_MIN_MS,
						 MESSAGE_DELAY_MAX_MS + 1);
		struct event *event;

		if (order_world_draw_bool(world, world->faults.message_delayed))
			delay += order_world_draw_ms(
				world, world->faults.message_delay_ms);
		if (delay > MESSAGE_DELAY_MAX_MS ||
		    world->now_ms < agent->lag_until_ms)
			callers_record_fault(world, message);
		if (world->now_ms < agent->lag_until_ms)
			delay += agent->lag_until_ms - world->now_ms;
		event = add_event(world, delay, deliver_message);
		event->agent = agent->index;
		order_message_encode(message, &event->data);
	}
}

static void claims_send(struct claims_sink *sink, const struct name *to,
			const struct order_message *message)
{
	send_message((struct order_agent *)sink, to, message);
}

static struct order_agent *agent_of_gate(struct gate_sink *sink)
{
	return (struct order_agent *)((char *)sink -
				      offsetof(struct order_agent, gate_sink));
}

static void gate_send(struct gate_sink *sink, const struct name *to,
		      const struct order_message *message)
{
	send_message(agent_of_gate(sink), to, message);
}

/* Platform: one object with conditional updates. */

static void read_home_list(struct order_world *world, struct event *event)
{
	struct order_agent *agent = &world->agents[event->agent];

	if (!agent->up || agent->instance != event->instance)
		return;
	if (world->faults.platform_down) {
		struct event *next =
			add_event(world, PLATFORM_RETRY_MS, read_home_list);

		next->agent = event->agent;
		next->instance = event->instance;
		return;
	}
	claims_set_list(&agent->claims, &world->platform, false, world->now_ms);
}

static void apply_proposal(struct order_world *world, struct event *event)
{
	const struct home_list *list = (const void *)event->data.data;
	struct order_agent *agent = &world->agents[event->agent];
	bool accepted = list->epoch == world->platform.epoch + 1;

	if (world->faults.platform_down)
		return;
	if (accepted) {
		world->platform = *list;
		world->figures.list_changes++;
	}
	if (agent->up && agent->instance == event->instance)
		claims_set_list(&agent->claims, &world->platform,
				accepted && list->epoch == 1, world->now_ms);
}

static void claims_propose(struct claims_sink *sink,
			   const struct home_list *list)
{
	struct order_agent *agent = (struct order_agent *)sink;
	struct event *event =
		add_event(agent->world, PLATFORM_DELAY_MS, apply_proposal);

	event->agent = agent->index;
	event->instance = agent->instance;
	strbuf_add(&event->data, list, sizeof(*list));
}

/* Backend servers. */

static void deliver_result(struct order_world *world, struct event *event)
{
	struct order_agent *agent = &world->agents[event->agent];
	bool same_instance = agent->up && agent->instance == event->instance;

	if (event->frees_slot && same_instance)
		g_hash_table_remove(agent->running, &event->id);
	if (agent->up)
		gate_end_attempt(&agent->gate, event->id, event->attempt,
				 event->result, strbuf_str(&event->data),
				 world->now_ms, &agent->gate_sink);
}

static struct event *schedule_result(struct order_agent *agent, int64_t in_ms,
				     uint64_t id, uint32_t attempt,
				     enum order_attempt_result result,
				     struct str payload)
{
	struct event *event = add_event(agent->world, in_ms, deliver_result);

	event->agent = agent->index;
	event->instance = agent->instance;
	event->id = id;
	event->attempt = attempt;
	event->result = result;
	strbuf_add(&event->data, payload.data, payload.len);
	return event;
}

/* Draws the result of a dispatch; true when the server runs the request. */
static bool draw_server_result(struct order_world *world,
			       enum order_attempt_result *result,
			       int64_t *duration_ms)
{
	const struct order_faults *faults = &world->faults;
	double draw = g_rand_double(world->rand);

	*result = ORDER_ATTEMPT_NO_RESPONSE;
	draw -= faults->connect_fails;
	if (draw < 0) {
		*result = ORDER_ATTEMPT_NOT_SENT;
		*duration_ms = 1;
		return false;
	}
	draw -= faults->server_fails_before;
	if (draw < 0) {
		*duration_ms = 1;
		return false;
	}
	draw -= faults->server_fails_during;
	if (draw < 0) {
		*duration_ms = MAX(*duration_ms / 2, (int64_t)1);
		return true;
	}
	draw -= faults->server_fails_after;
	if (draw < 0)
		return true;
	*result = ORDER_ATTEMPT_COMPLETED;
	draw -= faults->response_truncated;
	if (draw < 0)
		*result = ORDER_ATTEMPT_TRUNCATED;
	else if (draw < faults->response_late)
		*duration_ms += order_world_draw_ms(world, LATE_RESPONSE_MS);
	return true;
}

static void gate_dispatch(struct gate_sink *sink, uint64_t id, uint32_t attempt,
			  struct str payload)
{
	struct order_agent *agent = agent_of_gate(sink);
	struct order_world *world = agent->world;
	/* The payload is the submission's id, also in forwarded requests. */
	uint64_t number = g_ascii_strtoull(payload.data, NULL, 10);
	struct submission *submission = callers_find_submission(world, number);
	int64_t duration_ms =
		order_world_draw_ms(world, world->load.service_ms);
	enum order_attempt_result result;

	world->figures.dispatches++;
	g_hash_table_add(agent->running, g_memdup2(&id, sizeof(id)));
	if (g_hash_table_size(agent->running) > world->slots)
		world->figures.slots_exceeded++;
	if (draw_server_result(world, &result, &duration_ms))
		callers_record_run(world, submission);
	if (result != ORDER_ATTEMPT_COMPLETED ||
	    duration_ms > LATE_RESPONSE_MS / 10)
		submission->order->fault_seen = true;
	schedule_result(agent, duration_ms, id, attempt, result, payload)
		->frees_slot = true;
	if (order_world_draw_bool(world, world->faults.response_duplicated))
		schedule_result(agent,
				duration_ms + order_world_draw_ms(
						      world, LATE_RESPONSE_MS),
				id, attempt, ORDER_ATTEMPT_COMPLETED,
				str_from("of another"));
}

static void gate_cancel_dispatch(struct gate_sink *sink, uint64_t id,
				 uint32_t attempt)
{
	struct order_agent *agent = agent_of_gate(sink);

	/*
	 * Frees the slot; the result scheduled at the dispatch then matches no
	 * request.
	 */
	schedule_result(agent, MESSAGE_DELAY_MAX_MS, id, attempt,
			ORDER_ATTEMPT_NO_RESPONSE, str_from(""))
		->frees_slot = true;
}

static void gate_report(struct gate_sink *sink,
			const struct order_result *result)
{
	callers_record_result(agent_of_gate(sink)->world, result);
}

/* Start, stop and failure of agents. */

void order_world_start(struct order_world *world, uint32_t index)
{
	struct order_agent *agent = &world->agents[index];
	struct claims_options claims = {
		.self = agent->name,
		.instance = ++world->next_instance,
		.retention_ms = world->retention_ms,
		.keys_max = KEYS_MAX,
	};
	struct gate_options gate = {
		.slots = world->slots,
		.queue_max = world->slots * QUEUE_PER_SLOT,
		.caller_queue_max = world->slots * QUEUE_PER_SLOT / 2,
		.claims_pending_max = CLAIMS_PENDING_MAX,
	};
	struct event *event;

	if (agent->up)
		return;
	agent->up = true;
	agent->leaving = false;
	agent->instance = claims.instance;
	g_hash_table_remove_all(agent->running);
	claims_init(&agent->claims, &claims, &world->counters, world->now_ms);
	gate_init(&agent->gate, &gate, &agent->claims, &world->counters);
	event = add_event(world, PLATFORM_DELAY_MS, read_home_list);
	event->agent = index;
	event->instance = agent->instance;
}

void order_world_kill(struct order_world *world, uint32_t index)
{
	struct order_agent *agent = &world->agents[index];

	if (!agent->up)
		return;
	agent->up = false;
	callers_agent_lost(world, index);
	gate_finish(&agent->gate);
	claims_finish(&agent->claims);
	if (!agent->leaving)
		world->last_kill_ms = world->now_ms;
	world->figures.kills++;
}

void order_world_drain(struct order_world *world, uint32_t index)
{
	struct order_agent *agent = &world->agents[index];

	agent->leaving = true;
	gate_drain(&agent->gate);
}

/* Starts an agent that was killed; called by the scheduler. */
static void start_killed_agent(struct order_world *world, uint64_t index)
{
	order_world_start(world, (uint32_t)index);
}

/* Draws whether an event with this mean interval occurs in this tick. */
static bool draw_event(struct order_world *world, int64_t mean_interval_ms)
{
	return mean_interval_ms &&
	       order_world_draw_bool(world, (double)TICK_MS /
						    (double)mean_interval_ms);
}

static void kill_and_restart(struct order_world *world, uint32_t affected)
{
	if (!world->agents[affected].up)
		return;
	order_world_kill(world, affected);
	order_world_schedule(
		world, order_world_draw_ms(world, world->faults.downtime_ms),
		start_killed_agent, affected);
}

static void cause_faults(struct order_world *world)
{
	const struct order_faults *faults = &world->faults;
	uint32_t affected = (uint32_t)g_rand_int_range(world->rand, 0,
						       (gint32)world->n_agents);

	if (draw_event(world, faults->kill_interval_ms)) {
		kill_and_restart(world, affected);
		if (order_world_draw_bool(world, faults->double_kill_share))
			kill_and_restart(world,
					 (affected + 1) % world->n_agents);
	}
	if (draw_event(world, faults->lag_interval_ms)) {
		world->agents[affected].lag_until_ms =
			world->now_ms +
			order_world_draw_ms(world, faults->lag_duration_ms);
	}
	if (draw_event(world, faults->partition_interval_ms)) {
		world->partition_split = affected;
		world->partitioned_until_ms =
			world->now_ms +
			order_world_draw_ms(world,
					    faults->partition_duration_ms);
	}
}

/* A drained agent leaves the home list when its requests have ended. */
static void leave_when_idle(struct order_world *world,
			    struct order_agent *agent)
{
	if (!agent->leaving || gate_count_open(&agent->gate))
		return;
	agent->claims.leaving = true;
	if (home_list_find(&agent->claims.list, &agent->name) >= 0 ||
	    world->now_ms - agent->claims.adopted_ms < LEAVE_DELAY_MS)
		return;
	order_world_kill(world, agent->index);
}

static void run_tick(struct order_world *world, struct event *event)
{
	(void)event;
	cause_faults(world);
	callers_tick(world);
	for (uint32_t i = 0; i < world->n_agents; i++) {
		struct order_agent *agent = &world->agents[i];

		if (!agent->up)
			continue;
		claims_tick(&agent->claims, world->now_ms, &agent->claims_sink);
		gate_tick(&agent->gate, world->now_ms, &agent->gate_sink);
		leave_when_idle(world, agent);
	}
	add_event(world, TICK_MS, run_tick);
}

void order_world_init(struct order_world *world, uint64_t seed, uint32_t agents,
		      uint32_t slots, int64_t retention_ms)
{
	char text[32];

	memset(world, 0, sizeof(*world));
	world->rand = g_rand_new_with_seed((guint32)seed);
	world->now_ms = 1;
	world->events = g_sequence_new(event_free);
	world->submissions = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, g_free);
	world->orders = g_ptr_array_new_with_free_func(g_free);
	world->n_agents = agents;
	world->slots = slots;
	world->retention_ms = retention_ms;
	counters_init(&world->counters);
	for (uint32_t i = 0; i < agents; i++) {
		struct order_agent *agent = &world->agents[i];

		agent->claims_sink.send = claims_send;
		agent->claims_sink.propose = claims_propose;
		agent->gate_sink.send = gate_send;
		agent->gate_sink.dispatch = gate_dispatch;
		agent->gate_sink.cancel = gate_cancel_dispatch;
		agent->gate_sink.report = gate_report;
		agent->world = world;
		agent->running = g_hash_table_new_full(
			g_int64_hash, g_int64_equal, g_free, NULL);
		agent->index = i;
		g_snprintf(text, sizeof(text), "orders-%u", i + 1);
		name_set(&agent->name, str_from(text));
		order_world_start(world, i);
	}
	add_event(world, TICK_MS, run_tick);
}

void order_world_finish(struct order_world *world)
{
	for (uint32_t i = 0; i < world->n_agents; i++) {
		g_hash_table_destroy(world->agents[i].running);
		if (!world->agents[i].up)
			continue;
		gate_finish(&world->agents[i].gate);
		claims_finish(&world->agents[i].claims);
	}
	g_sequence_free(world->events);
	g_hash_table_destroy(world->submissions);
	g_ptr_array_free(world->orders, TRUE);
	g_rand_free(world->rand);
}

void order_world_load(struct order_world *world, const struct order_load *load)
{
	world->load = *load;
	world->submitted = 0;
	world->load_start_ms = world->now_ms;
}

void order_world_run(struct order_world *world, int64_t ms)
{
	int64_t end_ms = world->now_ms + ms;

	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(world->events);
		struct event *event = g_sequence_get(first);

		if (event->at_ms > end_ms)
			break;
		world->now_ms = event->at_ms;
		event->handler(world, event);
		g_sequence_remove(first);
	}
	world->now_ms = end_ms;
}
