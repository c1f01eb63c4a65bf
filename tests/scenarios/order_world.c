#include "order_world.h"

#include <string.h>

#include "order_callers.h"

#define TICK_MS 5
#define DELAY_MIN_MS 1
#define DELAY_MAX_MS 3
#define PLATFORM_MS 5
#define PLATFORM_RETRY_MS 1000
#define KEYS_MAX 2000000
#define QUEUE_PER_SLOT 4
#define PENDING_MAX 1024
#define LATE_MS 3000
/* Lets the last word reach the others. */
#define FAREWELL_MS 500

struct event {
	int64_t at_ms;
	uint64_t number;
	void (*act)(struct order_world *world, struct event *event);
	void (*later)(struct order_world *world, uint64_t number);
	uint32_t agent;
	/* Of the agent that it is for, when it dies with it. */
	uint64_t instance;
	uint64_t id;
	uint32_t try;
	enum order_answer answer;
	bool frees_slot;
	struct strbuf data;
};

static gint by_time(gconstpointer a, gconstpointer b, gpointer user)
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
			       void (*act)(struct order_world *,
					   struct event *))
{
	struct event *event = g_new0(struct event, 1);

	event->at_ms = world->now_ms + in_ms;
	event->number = world->next_event++;
	event->act = act;
	g_sequence_insert_sorted(world->events, event, by_time, NULL);
	return event;
}

bool order_world_chance(struct order_world *world, double share)
{
	return share > 0 && g_rand_double(world->rand) < share;
}

int64_t order_world_around(struct order_world *world, int64_t mean_ms)
{
	return g_rand_int_range(world->rand, 1, (gint32)(2 * mean_ms) + 1);
}

static void act_later(struct order_world *world, struct event *event)
{
	event->later(world, event->id);
}

void order_world_later(struct order_world *world, int64_t in_ms,
		       void (*act)(struct order_world *, uint64_t),
		       uint64_t number)
{
	struct event *event = add_event(world, in_ms, act_later);

	event->later = act;
	event->id = number;
}

struct order_agent *order_world_pick(struct order_world *world, uint32_t spread)
{
	uint32_t n = spread ? MIN(spread, world->n_agents) : world->n_agents;
	uint32_t first = (uint32_t)g_rand_int_range(world->rand, 0, (gint32)n);

	for (uint32_t i = 0; i < n; i++) {
		struct order_agent *agent = &world->agents[(first + i) % n];

		if (agent->up && !agent->leaving)
			return agent;
	}
	return NULL;
}

/* The network between gates. */

static struct order_agent *find_agent(struct order_world *world,
				      const struct name *name)
{
	for (uint32_t i = 0; i < world->n_agents; i++)
		if (name_equal(&world->agents[i].name, name))
			return &world->agents[i];
	return NULL;
}

static void act_message(struct order_world *world, struct event *event)
{
	static struct order_message_buffer buffer;
	struct order_agent *agent = &world->agents[event->agent];
	const uint8_t *data = (const uint8_t *)event->data.data;

	g_assert_true(order_message_decode(&buffer, data + ORDER_FRAME_HEAD,
					   event->data.len - ORDER_FRAME_HEAD));
	if (!agent->up) {
		callers_fault(world, &buffer.message);
		return;
	}
	if (buffer.message.type == ORDER_TRANSFER)
		callers_handed(world, buffer.message.request, agent->instance);
	claims_handle(&agent->claims, &buffer.message, world->now_ms,
		      &agent->claims_sink);
	gate_handle(&agent->gate, &buffer.message, world->now_ms,
		    &agent->gate_sink);
}

static bool is_cut(const struct order_world *world, uint32_t a, uint32_t b)
{
	return world->now_ms < world->cut_until_ms &&
	       (a < world->cut_side) != (b < world->cut_side);
}

static void post(struct order_agent *from, const struct name *to,
		 const struct order_message *message)
{
	struct order_world *world = from->world;
	struct order_agent *agent = find_agent(world, to);
	int copies = order_world_chance(world, world->faults.message_doubled)
			     ? 2
			     : 1;

	if (!agent || is_cut(world, from->index, agent->index) ||
	    order_world_chance(world, world->faults.loss)) {
		callers_fault(world, message);
		return;
	}
	while (copies--) {
		int64_t delay = g_rand_int_range(world->rand, DELAY_MIN_MS,
						 DELAY_MAX_MS + 1);
		struct event *event;

		if (order_world_chance(world, world->faults.slow))
			delay += order_world_around(world,
						    world->faults.slow_ms);
		if (delay > DELAY_MAX_MS || world->now_ms < agent->lag_until_ms)
			callers_fault(world, message);
		if (world->now_ms < agent->lag_until_ms)
			delay += agent->lag_until_ms - world->now_ms;
		event = add_event(world, delay, act_message);
		event->agent = agent->index;
		order_message_encode(message, &event->data);
	}
}

static void claims_send(struct claims_sink *sink, const struct name *to,
			const struct order_message *message)
{
	post((struct order_agent *)sink, to, message);
}

static struct order_agent *gate_agent(struct gate_sink *sink)
{
	return (struct order_agent *)((char *)sink -
				      offsetof(struct order_agent, gate_sink));
}

static void gate_send(struct gate_sink *sink, const struct name *to,
		      const struct order_message *message)
{
	post(gate_agent(sink), to, message);
}

/* The platform: one object with conditional updates. */

static void act_read(struct order_world *world, struct event *event)
{
	struct order_agent *agent = &world->agents[event->agent];

	if (!agent->up || agent->instance != event->instance)
		return;
	if (world->faults.platform_down) {
		struct event *next =
			add_event(world, PLATFORM_RETRY_MS, act_read);

		next->agent = event->agent;
		next->instance = event->instance;
		return;
	}
	claims_set_list(&agent->claims, &world->platform, false, world->now_ms);
}

static void act_propose(struct order_world *world, struct event *event)
{
	const struct home_list *list = (const void *)event->data.data;
	struct order_agent *agent = &world->agents[event->agent];
	bool won = list->epoch == world->platform.epoch + 1;

	if (world->faults.platform_down)
		return;
	if (won) {
		world->platform = *list;
		world->figures.list_changes++;
	}
	if (agent->up && agent->instance == event->instance)
		claims_set_list(&agent->claims, &world->platform,
				won && list->epoch == 1, world->now_ms);
}

static void claims_propose(struct claims_sink *sink,
			   const struct home_list *list)
{
	struct order_agent *agent = (struct order_agent *)sink;
	struct event *event = add_event(agent->world, PLATFORM_MS, act_propose);

	event->agent = agent->index;
	event->instance = agent->instance;
	strbuf_add(&event->data, list, sizeof(*list));
}

/* The backend servers. */

static void act_answer(struct order_world *world, struct event *event)
{
	struct order_agent *agent = &world->agents[event->agent];
	bool same = agent->up && agent->instance == event->instance;

	if (event->frees_slot && same)
		g_hash_table_remove(agent->running, &event->id);
	if (agent->up)
		gate_answer(&agent->gate, event->id, event->try, event->answer,
			    strbuf_str(&event->data), world->now_ms,
			    &agent->gate_sink);
}

static struct event *answer_in(struct order_agent *agent, int64_t in_ms,
			       uint64_t id, uint32_t try,
			       enum order_answer answer, struct str payload)
{
	struct event *event = add_event(agent->world, in_ms, act_answer);

	event->agent = agent->index;
	event->instance = agent->instance;
	event->id = id;
	event->try = try;
	event->answer = answer;
	strbuf_add(&event->data, payload.data, payload.len);
	return event;
}

/* Which fault meets a dispatch; true when the server runs it. */
static bool server_fate(struct order_world *world, enum order_answer *answer,
			int64_t *takes_ms)
{
	const struct order_faults *faults = &world->faults;
	double draw = g_rand_double(world->rand);

	*answer = ORDER_ANSWER_LOST;
	draw -= faults->no_connect;
	if (draw < 0) {
		*answer = ORDER_ANSWER_NOT_SENT;
		*takes_ms = 1;
		return false;
	}
	draw -= faults->die_before;
	if (draw < 0) {
		*takes_ms = 1;
		return false;
	}
	draw -= faults->die_during;
	if (draw < 0) {
		*takes_ms = MAX(*takes_ms / 2, (int64_t)1);
		return true;
	}
	draw -= faults->die_after;
	if (draw < 0)
		return true;
	*answer = ORDER_ANSWER_WHOLE;
	draw -= faults->cut_short;
	if (draw < 0)
		*answer = ORDER_ANSWER_CUT;
	else if (draw < faults->late)
		*takes_ms += order_world_around(world, LATE_MS);
	return true;
}

static void gate_dispatch(struct gate_sink *sink, uint64_t id, uint32_t try,
			  struct str payload)
{
	struct order_agent *agent = gate_agent(sink);
	struct order_world *world = agent->world;
	/* A handed-on request carries the caller's number. */
	uint64_t number = g_ascii_strtoull(payload.data, NULL, 10);
	struct attempt *attempt = callers_attempt(world, number);
	int64_t takes_ms = order_world_around(world, world->load.service_ms);
	enum order_answer answer;

	world->figures.dispatches++;
	g_hash_table_add(agent->running, g_memdup2(&id, sizeof(id)));
	if (g_hash_table_size(agent->running) > world->slots)
		world->figures.slots_exceeded++;
	if (server_fate(world, &answer, &takes_ms))
		callers_ran(world, attempt);
	if (answer != ORDER_ANSWER_WHOLE || takes_ms > LATE_MS / 10)
		attempt->order->met_fault = true;
	answer_in(agent, takes_ms, id, try, answer, payload)->frees_slot = true;
	if (order_world_chance(world, world->faults.doubled))
		answer_in(agent, takes_ms + order_world_around(world, LATE_MS),
			  id, try, ORDER_ANSWER_WHOLE, str_from("of another"));
}

static void gate_cancelled(struct gate_sink *sink, uint64_t id, uint32_t try)
{
	struct order_agent *agent = gate_agent(sink);

	/* The server stops; its own answer comes too, and finds nothing. */
	answer_in(agent, DELAY_MAX_MS, id, try, ORDER_ANSWER_LOST, str_from(""))
		->frees_slot = true;
}

static void gate_tell(struct gate_sink *sink, const struct order_told *told)
{
	callers_told(gate_agent(sink)->world, told);
}

/* Agents come and go. */

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
		.pending_max = PENDING_MAX,
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
	event = add_event(world, PLATFORM_MS, act_read);
	event->agent = index;
	event->instance = agent->instance;
}

void order_world_kill(struct order_world *world, uint32_t index)
{
	struct order_agent *agent = &world->agents[index];

	if (!agent->up)
		return;
	agent->up = false;
	callers_lost(world, index);
	gate_finish(&agent->gate);
	claims_finish(&agent->claims);
	if (!agent->leaving)
		world->last_loss_ms = world->now_ms;
	world->figures.kills++;
}

void order_world_drain(struct order_world *world, uint32_t index)
{
	struct order_agent *agent = &world->agents[index];

	agent->leaving = true;
	gate_drain(&agent->gate);
}

static void start_later(struct order_world *world, uint64_t index)
{
	order_world_start(world, (uint32_t)index);
}

static bool due(struct order_world *world, int64_t every_ms)
{
	return every_ms &&
	       order_world_chance(world, (double)TICK_MS / (double)every_ms);
}

static void kill_for_a_while(struct order_world *world, uint32_t victim)
{
	if (!world->agents[victim].up)
		return;
	order_world_kill(world, victim);
	order_world_later(world,
			  order_world_around(world, world->faults.away_ms),
			  start_later, victim);
}

static void cause_faults(struct order_world *world)
{
	const struct order_faults *faults = &world->faults;
	uint32_t victim = (uint32_t)g_rand_int_range(world->rand, 0,
						     (gint32)world->n_agents);

	if (due(world, faults->kill_every_ms)) {
		kill_for_a_while(world, victim);
		if (order_world_chance(world, faults->kill_two))
			kill_for_a_while(world, (victim + 1) % world->n_agents);
	}
	if (due(world, faults->lag_every_ms)) {
		world->agents[victim].lag_until_ms =
			world->now_ms +
			order_world_around(world, faults->lag_ms);
	}
	if (due(world, faults->cut_every_ms)) {
		world->cut_side = victim;
		world->cut_until_ms = world->now_ms +
				      order_world_around(world, faults->cut_ms);
	}
}

/* A drained agent gives its homes up when its requests have ended. */
static void leave(struct order_world *world, struct order_agent *agent)
{
	if (!agent->leaving || gate_open(&agent->gate))
		return;
	agent->claims.leaving = true;
	if (home_list_find(&agent->claims.list, &agent->name) >= 0 ||
	    world->now_ms - agent->claims.adopted_ms < FAREWELL_MS)
		return;
	order_world_kill(world, agent->index);
}

static void act_tick(struct order_world *world, struct event *event)
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
		leave(world, agent);
	}
	add_event(world, TICK_MS, act_tick);
}

void order_world_init(struct order_world *world, uint64_t seed, uint32_t agents,
		      uint32_t slots, int64_t retention_ms)
{
	char text[32];

	memset(world, 0, sizeof(*world));
	world->rand = g_rand_new_with_seed((guint32)seed);
	world->now_ms = 1;
	world->events = g_sequence_new(event_free);
	world->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
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
		agent->gate_sink.cancel = gate_cancelled;
		agent->gate_sink.tell = gate_tell;
		agent->world = world;
		agent->running = g_hash_table_new_full(
			g_int64_hash, g_int64_equal, g_free, NULL);
		agent->index = i;
		g_snprintf(text, sizeof(text), "orders-%u", i + 1);
		name_set(&agent->name, str_from(text));
		order_world_start(world, i);
	}
	add_event(world, TICK_MS, act_tick);
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
	g_hash_table_destroy(world->attempts);
	g_ptr_array_free(world->orders, TRUE);
	g_rand_free(world->rand);
}

void order_world_load(struct order_world *world, const struct order_load *load)
{
	world->load = *load;
	world->submitted = 0;
	world->load_since_ms = world->now_ms;
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
		event->act(world, event);
		g_sequence_remove(first);
	}
	world->now_ms = end_ms;
}
