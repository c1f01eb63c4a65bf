#include "order_callers.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define RETRY_AFTER_MS 1000
#define REPEAT_WITHIN_MS 120
#define CANCEL_WITHIN_MS 120
#define SUBMISSIONS_MAX 4
#define CALLERS 500
/*
 * After an agent was killed, outcomes may be unknown for the retention time and
 * this time: its claims are lost.
 */
#define HOMES_LOSS_MS 15000

static void submit_order(struct order_world *world, uint64_t number);

struct submission *callers_find_submission(struct order_world *world,
					   uint64_t id)
{
	return g_hash_table_lookup(world->submissions, &id);
}

static struct order *find_order(struct order_world *world, uint64_t number)
{
	return g_ptr_array_index(world->orders, number);
}

static void cancel_submission(struct order_world *world, uint64_t id)
{
	struct submission *submission = callers_find_submission(world, id);
	struct order_agent *agent = &world->agents[submission->agent];

	if (submission->n_reports || !agent->up ||
	    agent->instance != submission->instance)
		return;
	submission->order->fault_seen = true;
	gate_cancel(&agent->gate, id, world->now_ms, &agent->gate_sink);
}

static void fill_request(const struct order_world *world,
			 const struct order *order, uint64_t id,
			 struct order_request *request, char *payload,
			 size_t size)
{
	struct name service;

	memset(request, 0, sizeof(*request));
	name_set(&service, str_from("orders"));
	snprintf(payload, size, "%" PRIu64, id);
	request->id = id;
	request->has_key = order->has_key;
	request->idempotent = order->idempotent;
	request->class = order->upload ? ORDER_CLASS_UPLOAD : ORDER_CLASS_ORDER;
	request->caller = order->number % CALLERS;
	request->deadline_ms = world->now_ms + world->load.deadline_ms;
	request->payload = str_from(payload);
	order_key_init(&request->key, &service,
		       (struct str){(const char *)&order->number,
				    sizeof(order->number)});
}

static void submit_order(struct order_world *world, uint64_t number)
{
	struct order_agent *agent =
		order_world_pick_agent(world, world->load.target_agents);
	struct order *order = find_order(world, number);
	struct order_request request;
	struct submission *submission;
	char payload[32];

	if (!agent) {
		order_world_schedule(world, RETRY_AFTER_MS, submit_order,
				     number);
		return;
	}
	submission = g_new0(struct submission, 1);
	submission->id = ++world->next_submission;
	submission->order = order;
	submission->agent = agent->index;
	submission->instance = agent->instance;
	submission->submitted_ms = world->now_ms;
	g_hash_table_insert(world->submissions, &submission->id, submission);
	order->n_submissions++;
	order->submitted_ms = world->now_ms;
	if (order->cancels)
		order_world_schedule(
			world,
			g_rand_int_range(world->rand, 0, CANCEL_WITHIN_MS),
			cancel_submission, submission->id);
	fill_request(world, order, submission->id, &request, payload,
		     sizeof(payload));
	gate_submit(&agent->gate, &request, world->now_ms, &agent->gate_sink);
}

static void submit_new_order(struct order_world *world)
{
	struct order *order = g_new0(struct order, 1);

	order->number = world->orders->len;
	order->idempotent =
		order_world_draw_bool(world, world->load.idempotent_share);
	order->has_key =
		!order_world_draw_bool(world, world->load.keyless_share);
	order->upload = order_world_draw_bool(world, world->load.upload_share);
	order->cancels = order_world_draw_bool(world, world->load.cancel_share);
	g_ptr_array_add(world->orders, order);
	if (order->has_key &&
	    order_world_draw_bool(world, world->load.early_repeat_share))
		order_world_schedule(
			world,
			g_rand_int_range(world->rand, 0, REPEAT_WITHIN_MS),
			submit_order, order->number);
	if (order->has_key &&
	    order_world_draw_bool(world, world->load.late_repeat_share))
		order_world_schedule(
			world,
			order_world_draw_ms(world,
					    world->load.late_repeat_mean_ms),
			submit_order, order->number);
	submit_order(world, order->number);
}

void callers_tick(struct order_world *world)
{
	uint64_t due;

	if (world->submitted >= world->load.orders)
		return;
	due = (uint64_t)((double)(world->now_ms - world->load_start_ms) *
			 world->load.per_s / 1000);
	while (world->submitted < MIN(due, world->load.orders)) {
		world->submitted++;
		submit_new_order(world);
	}
}

/* After a report of not run, no earlier submission of the order may run. */
static void check_not_run(struct order_world *world, struct order *order)
{
	if (order->idempotent)
		return;
	if (order->reported_not_run_ms && order->run_submitted_ms &&
	    order->run_submitted_ms <= order->reported_not_run_ms)
		world->figures.ran_despite_not_run++;
}

void callers_record_run(struct order_world *world,
			struct submission *submission)
{
	struct order *order = submission->order;

	submission->ran = true;
	order->runs++;
	world->figures.runs++;
	if (order->idempotent)
		return;
	if (order->runs > 1 && order->has_key)
		world->figures.run_twice++;
	order->run_submitted_ms = submission->submitted_ms;
	if (order->has_key)
		check_not_run(world, order);
}

/* Schedules a retry of @order if it has a key, by which its homes recognise the
 * repetition. */
static void submit_again(struct order_world *world, struct order *order,
			 int64_t in_ms)
{
	if (order->has_key && order->n_submissions < SUBMISSIONS_MAX)
		order_world_schedule(world, in_ms, submit_order, order->number);
}

static void handle_not_run(struct order_world *world,
			   struct submission *submission)
{
	struct order *order = submission->order;

	order->reported_not_run = true;
	if (submission->ran)
		world->figures.ran_despite_not_run++;
	order->reported_not_run_ms = world->now_ms;
	check_not_run(world, order);
	if (order_world_draw_bool(world, world->load.retry_share))
		submit_again(world, order, RETRY_AFTER_MS);
}

static void handle_done(struct order_world *world,
			struct submission *submission,
			const struct order_result *result)
{
	struct order *order = submission->order;
	char expected[32];

	snprintf(expected, sizeof(expected), "%" PRIu64, submission->id);
	order->reported_done = true;
	if (!order->runs)
		world->figures.wrong_responses++;
	if (result->reason == ORDER_REASON_NONE &&
	    !str_equal(result->payload, str_from(expected)))
		world->figures.wrong_responses++;
	if (result->reason != ORDER_REASON_NONE)
		return;
	world->figures.completed++;
	world->figures.uploads_done += order->upload;
	world->figures.wait_max_ms =
		MAX(world->figures.wait_max_ms,
		    (uint64_t)(world->now_ms - submission->submitted_ms));
}

static bool is_homes_reason(enum order_reason reason)
{
	return reason == ORDER_REASON_HOMES_NO_RESPONSE ||
	       reason == ORDER_REASON_HOMES_INCOMPLETE;
}

static void handle_unknown(struct order_world *world,
			   struct submission *submission,
			   const struct order_result *result)
{
	struct order *order = submission->order;

	order->reported_unknown = true;
	if (is_homes_reason(result->reason) && world->last_kill_ms &&
	    world->now_ms - world->last_kill_ms <
		    HOMES_LOSS_MS + world->retention_ms)
		order->fault_seen = true;
	if (order_world_draw_bool(world, world->load.retry_share))
		submit_again(world, order, RETRY_AFTER_MS);
}

void callers_record_forward(struct order_world *world, uint64_t id,
			    uint64_t instance)
{
	struct submission *submission = callers_find_submission(world, id);

	if (submission)
		submission->forwarded_to = instance;
}

void callers_record_fault(struct order_world *world,
			  const struct order_message *message)
{
	struct submission *submission = callers_find_submission(
		world, message->owner.request ? message->owner.request
					      : message->request);

	if (submission)
		submission->order->fault_seen = true;
}

void callers_record_result(struct order_world *world,
			   const struct order_result *result)
{
	struct submission *submission =
		callers_find_submission(world, result->id);

	world->trace_hash = world->trace_hash * 31 + result->id * 4 +
			    (uint64_t)result->outcome + (uint64_t)world->now_ms;
	if (submission->n_reports++)
		world->figures.reported_twice++;
	switch (result->outcome) {
	case ORDER_DONE:
		world->figures.reported_done++;
		handle_done(world, submission, result);
		break;
	case ORDER_NOT_RUN:
		world->figures.reported_not_run++;
		handle_not_run(world, submission);
		break;
	case ORDER_UNKNOWN:
		world->figures.reported_unknown++;
		handle_unknown(world, submission, result);
		break;
	}
}

void callers_agent_lost(struct order_world *world, uint32_t agent)
{
	const struct order_agent *lost = &world->agents[agent];
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, world->submissions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct submission *submission = value;

		if (submission->forwarded_to == lost->instance)
			submission->order->fault_seen = true;
		if (submission->n_reports || submission->agent != agent ||
		    submission->instance != lost->instance)
			continue;
		/* The connection ended without a response: outcome unknown. */
		submission->n_reports = 1;
		submission->order->fault_seen = true;
		submission->order->reported_unknown = true;
		world->figures.shutdown_cut += lost->leaving;
		submit_again(world, submission->order,
			     g_rand_int_range(world->rand, 1, RETRY_AFTER_MS));
	}
}

void order_world_count_outcomes(struct order_world *world)
{
	struct order_figures *figures = &world->figures;
	GHashTableIter iter;
	gpointer value;

	figures->orders = world->orders->len;
	for (guint i = 0; i < world->orders->len; i++) {
		const struct order *order = g_ptr_array_index(world->orders, i);
		bool unknown = !order->reported_done &&
			       order->reported_unknown &&
			       order->reported_not_run_ms < order->submitted_ms;

		figures->unknown += unknown;
		figures->unknown_without_fault += unknown && !order->fault_seen;
	}
	g_hash_table_iter_init(&iter, world->submissions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		figures->never_reported +=
			!((struct submission *)value)->n_reports;
}
