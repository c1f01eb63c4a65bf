#include <malloc.h>

#include "../tests/scenarios/order_world.h"
#include "bench.h"

/* Orders through the gates of one service; time and memory per key. */
#define ORDERS 100000
#define SLOTS 5
#define RETENTION_MS 60000
#define STABILIZE_MS 8000
/* Time after the load in which every outcome is reported. */
#define FINISH_MS (RETENTION_MS + 10000)
#define SERVICE_MS 20
#define DEADLINE_MS 2000
#define MS_PER_S 1000.0
#define RETRY_AMPLIFICATION_MAX 1.1
#define GOODPUT_MIN 0.95
#define KEYS 1000000
#define CLAIM_ROUNDS 400000

static uint32_t server_count(void)
{
	return (uint32_t)MIN(bench_env("SERVERS", 7),
			     (uint64_t)ORDER_WORLD_AGENTS);
}

static double capacity_per_s(void)
{
	/* Service times are uniform from 1 ms to twice the mean. */
	return server_count() * SLOTS * MS_PER_S / (SERVICE_MS + 0.5);
}

/* All kinds of requests and of callers' behaviour, without a rate. */
static const struct order_load mixed_load = {
	.orders = ORDERS,
	.idempotent_share = 0.15,
	.keyless_share = 0.1,
	.upload_share = 0.1,
	.early_repeat_share = 0.2,
	.late_repeat_share = 0.1,
	.late_repeat_mean_ms = RETENTION_MS / 3,
	.cancel_share = 0.03,
	.retry_share = 0.7,
	.service_ms = SERVICE_MS,
	.deadline_ms = DEADLINE_MS,
};

static void start_world(struct order_world *world, uint64_t seed)
{
	order_world_init(world, seed, server_count(), SLOTS, RETENTION_MS);
	order_world_run(world, STABILIZE_MS);
}

static void run_load(struct order_world *world, const struct order_load *load)
{
	order_world_load(world, load);
	order_world_run(world, (int64_t)((double)load->orders / load->per_s *
					 MS_PER_S));
}

static void must_be_zero(struct bench *bench, const char *name, uint64_t value)
{
	bench_figure(bench, BENCH_DECISION, name, (double)value, "orders",
		     BENCH_EQUAL, 0);
}

static void report_only(struct bench *bench, const char *name, double value,
			const char *unit)
{
	bench_figure(bench, BENCH_DECISION, name, value, unit, BENCH_REPORT, 0);
}

/* Orders while all kinds of faults occur. */
static void run_faults(struct bench *bench)
{
	struct order_load load = mixed_load;
	struct order_world world;
	const struct order_figures *figures = &world.figures;

	start_world(&world, bench->seed);
	load.per_s = capacity_per_s() / 3;
	world.faults = (struct order_faults){
		.server_fails_before = 0.005,
		.server_fails_during = 0.005,
		.server_fails_after = 0.005,
		.connect_fails = 0.005,
		.response_late = 0.01,
		.response_duplicated = 0.01,
		.response_truncated = 0.003,
		.message_lost = 0.005,
		.message_duplicated = 0.01,
		.message_delayed = 0.005,
		.message_delay_ms = 1000,
		.kill_interval_ms = 30000,
		.double_kill_share = 0.3,
		.downtime_ms = 2500,
		.lag_interval_ms = 5000,
		.lag_duration_ms = 1500,
		.partition_interval_ms = 20000,
		.partition_duration_ms = 2000,
	};
	run_load(&world, &load);
	world.faults = (struct order_faults){0};
	order_world_run(&world, FINISH_MS);
	order_world_count_outcomes(&world);
	report_only(bench, "orders", (double)figures->orders, "orders");
	must_be_zero(bench, "orders_run_twice", figures->run_twice);
	must_be_zero(bench, "orders_said_not_run_but_run",
		     figures->ran_despite_not_run);
	must_be_zero(bench, "answers_wrong_or_partial_told_whole",
		     figures->wrong_responses);
	must_be_zero(bench, "outcomes_told_twice", figures->reported_twice);
	must_be_zero(bench, "orders_never_told", figures->never_reported);
	report_only(bench, "orders_unknown_share",
		    (double)figures->unknown / (double)figures->orders,
		    "share");
	must_be_zero(bench, "orders_unknown_without_fault",
		     figures->unknown_without_fault);
	report_only(bench, "order_agents_killed", (double)figures->kills,
		    "agents");
	report_only(bench, "order_home_list_changes",
		    (double)figures->list_changes, "changes");
	report_only(
		bench, "orders_handed_on",
		(double)counter_get(&world.counters, COUNTER_ORDER_FORWARDED),
		"orders");
	bench_figure(bench, BENCH_DECISION, "retry_amplification",
		     (double)figures->dispatches /
			     (double)counter_get(&world.counters,
						 COUNTER_ORDER_DISPATCHED),
		     "x", BENCH_AT_MOST, RETRY_AMPLIFICATION_MAX);
	report_only(bench, "order_trace", (double)(world.trace_hash % 1000000),
		    "-");
	order_world_finish(&world);
}

/* Orders at three times the rate that all servers can process. */
static void run_overload(struct bench *bench)
{
	struct order_load load = mixed_load;
	struct order_world world;
	double seconds, goodput;

	start_world(&world, bench->seed);
	load.per_s = 3 * capacity_per_s();
	load.early_repeat_share = 0;
	load.cancel_share = 0;
	load.retry_share = 0.5;
	seconds = (double)load.orders / load.per_s;
	run_load(&world, &load);
	goodput =
		(double)world.figures.completed / (seconds * capacity_per_s());
	bench_figure(bench, BENCH_DECISION, "goodput_overload", goodput,
		     "share", BENCH_AT_LEAST, GOODPUT_MIN);
	must_be_zero(bench, "order_slots_exceeded",
		     world.figures.slots_exceeded);
	report_only(bench, "overload_uploads_done",
		    (double)world.figures.uploads_done, "uploads");
	report_only(bench, "overload_wait_max_ms",
		    (double)world.figures.wait_max_ms, "ms");
	order_world_run(&world, FINISH_MS);
	order_world_count_outcomes(&world);
	must_be_zero(bench, "overload_said_not_run_but_run",
		     world.figures.ran_despite_not_run);
	must_be_zero(bench, "overload_unknown", world.figures.unknown);
	order_world_finish(&world);
}

/* Each agent in turn is drained and restarted under load. */
static void run_shutdown(struct bench *bench)
{
	struct order_load load = mixed_load;
	struct order_world world;

	start_world(&world, bench->seed);
	load.per_s = capacity_per_s() / 3;
	load.orders = (uint64_t)(load.per_s * server_count() * 10);
	load.cancel_share = 0;
	order_world_load(&world, &load);
	for (uint32_t i = 0; i < server_count(); i++) {
		order_world_drain(&world, i);
		order_world_run(&world, STABILIZE_MS);
		order_world_start(&world, i);
		order_world_run(&world, 2000);
	}
	order_world_run(&world, FINISH_MS);
	order_world_count_outcomes(&world);
	must_be_zero(bench, "shutdown_cut", world.figures.shutdown_cut);
	must_be_zero(bench, "shutdown_run_twice", world.figures.run_twice);
	must_be_zero(bench, "shutdown_unknown", world.figures.unknown);
	order_world_finish(&world);
}

/* Makes @request a claim of key number @number by request @number. */
static void fill_claim(struct order_message *request,
		       const struct claims *claims, const struct name *service,
		       uint64_t number)
{
	claims_init_message(claims, request, ORDER_CLAIM);
	order_key_init(&request->key, service,
		       (struct str){(const char *)&number, sizeof(number)});
	request->owner.instance = 1;
	request->owner.request = number;
}

/* Time and memory per claim when one home stores many. */
static void run_keys(struct bench *bench)
{
	struct claims_options options = {.retention_ms = RETENTION_MS,
					 .keys_max = 2 * KEYS,
					 .instance = 1};
	struct order_message request, response;
	struct counters counters;
	struct claims claims;
	struct home_list list = {.epoch = 1, .n = 1};
	struct name service;
	size_t heap_before;
	int64_t start_ns;

	name_set(&service, str_from("orders"));
	name_set(&options.self, str_from("orders-1"));
	list.names[0] = options.self;
	counters_init(&counters);
	claims_init(&claims, &options, &counters, 1);
	claims_set_list(&claims, &list, true, 1);
	heap_before = mallinfo2().uordblks;
	start_ns = bench_now_ns();
	for (uint64_t i = 0; i < KEYS; i++) {
		fill_claim(&request, &claims, &service, i);
		claims_handle_claim(&claims, &request, 1, &response);
	}
	bench_figure(bench, BENCH_TIMING, "claims_per_s",
		     KEYS * 1e9 / (double)(bench_now_ns() - start_ns),
		     "claims/s", BENCH_REPORT, 0);
	bench_figure(bench, BENCH_TIMING, "memory_per_key",
		     (double)(mallinfo2().uordblks - heap_before) / KEYS,
		     "bytes", BENCH_REPORT, 0);
	claims_finish(&claims);
}

static void run(struct bench *bench)
{
	run_faults(bench);
	run_overload(bench);
	run_shutdown(bench);
	run_keys(bench);
}

const struct bench_group bench_order = {"order", run};
