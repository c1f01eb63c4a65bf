#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "bench_deployment.h"
#include "member_net.h"

/*
 * Membership: the users' deployments over the whole cores, and many members
 * over the control cores alone.
 */
#define CONTROL_BYTES_MAX 3072
#define TARGET_BYTES_MAX 27648
#define JOIN_MAX_S 3
#define DEAD_WORK_MAX_S 4
#define TARGET_ZONES 30
#define SETTLE_MS 15000
#define STEADY_MS 60000
#define RELEASES 5
#define RELEASE_MS 6000
#define ROUNDS 8
#define STEP_MS 10
#define LOSS 0.3
#define NET_SETTLE_MS 3000
#define NET_MEASURE_MS 20000
#define ZONE_LOSS_MS 20000
#define NS_PER_US 1000.0

static double figure(struct world *world, const char *name)
{
	double value = 0;

	if (!world_figure(world, name, &value))
		g_error("no figure %s", name);
	return value;
}

static void tell(struct bench *bench, enum bench_kind kind, const char *name,
		 const char *suffix, double value, const char *unit,
		 enum bench_bound bound, double limit)
{
	char *text = g_strdup_printf("%s_%s", name, suffix);

	bench_figure(bench, kind, text, value, unit, bound, limit);
	g_free(text);
}

static void next_release(struct world *world)
{
	struct status status;

	status_init(&status);
	world->manifest.release++;
	if (world_apply(world, &status) != STATUS_OK)
		g_error("apply: %s", status.message);
}

/* The worst second of any balancer. */
static void measure_bytes(struct bench *bench,
			  const struct deployment_spec *spec)
{
	struct world world;
	double before;
	char suffix[32];

	deployment_start(&world, spec, (uint32_t)bench->seed);
	world_run(&world, SETTLE_MS);
	world_reset_meters(&world);
	before = figure(&world, "control_bytes");
	world_run(&world, STEADY_MS);
	snprintf(suffix, sizeof(suffix), "%s_steady", spec->name);
	tell(bench, BENCH_DECISION, "control_mean_bytes_per_s", suffix,
	     (figure(&world, "control_bytes") - before) / world.nodes->len /
		     (STEADY_MS / 1000.0),
	     "B/s", BENCH_REPORT, 0);
	tell(bench, BENCH_DECISION, "control_bytes_per_s", suffix,
	     figure(&world, "balancer_peak_bytes"), "B/s", BENCH_AT_MOST,
	     CONTROL_BYTES_MAX);
	world_reset_meters(&world);
	for (int i = 0; i < RELEASES; i++) {
		next_release(&world);
		world_run(&world, RELEASE_MS);
	}
	snprintf(suffix, sizeof(suffix), "%s_release", spec->name);
	tell(bench, BENCH_DECISION, "control_bytes_per_s", suffix,
	     figure(&world, "balancer_peak_bytes"), "B/s", BENCH_AT_MOST,
	     CONTROL_BYTES_MAX);
	tell(bench, BENCH_DECISION, "release_lagging", spec->name,
	     figure(&world, "lagging"), "processes", BENCH_EQUAL, 0);
	world_finish(&world);
}

static void add_load(struct world *world, int n, int64_t over_ms, int lines)
{
	for (int i = 0; i < n; i++)
		caller_pool_add(&world->callers, &world->manifest.services[0],
				world->now_ms + over_ms * i / n, lines, 500);
}

/* From the start of a new backend server's process to its first work. */
static double join_once(const struct deployment_spec *spec, uint32_t seed)
{
	const struct world_node *joiner;
	struct world world;
	int64_t start_ms, passed_ms;

	deployment_start(&world, spec, seed);
	world_run(&world, SETTLE_MS);
	add_load(&world, 4000, 20000, 1);
	world_run(&world, 1000 + seed % 7 * 130);
	joiner = deployment_add_server(&world, 0, 20);
	start_ms = world.now_ms;
	while (!counter_get(&joiner->counters, COUNTER_FLOW_OPENED) &&
	       world.now_ms - start_ms < 10000)
		world_run(&world, STEP_MS);
	passed_ms = world.now_ms - start_ms;
	world_finish(&world);
	return (double)passed_ms / 1000;
}

/* How long new work still goes to a backend server that died. */
static double dead_once(const struct deployment_spec *spec, uint32_t seed)
{
	struct world world;
	double dead_s;

	deployment_start(&world, spec, seed);
	world_run(&world, SETTLE_MS);
	add_load(&world, 4000, 20000, 1);
	world_run(&world, 1000 + seed % 7 * 130);
	world_kill_node(world_find_node(
		&world, spec == &deployment_huon ? "orders-3" : "shopfront-3"));
	world_run(&world, 15000);
	dead_s = figure(&world, "dead_work_ms") / 1000;
	world_finish(&world);
	return dead_s;
}

static void measure_join_and_death(struct bench *bench)
{
	const struct deployment_spec *specs[] = {&deployment_huon,
						 &deployment_birchknot};
	double join_s = 0, dead_s = 0;

	for (uint32_t i = 0; i < ROUNDS; i++) {
		uint32_t seed = (uint32_t)bench->seed * ROUNDS + i;

		join_s = MAX(join_s, join_once(specs[i % 2], seed));
		dead_s = MAX(dead_s, dead_once(specs[i % 2], seed));
	}
	bench_figure(bench, BENCH_DECISION, "join_to_first_work_s", join_s, "s",
		     BENCH_AT_MOST, JOIN_MAX_S);
	bench_figure(bench, BENCH_DECISION, "dead_server_last_new_work_s",
		     dead_s, "s", BENCH_AT_MOST, DEAD_WORK_MAX_S);
}

/* Connections through false suspicions. */
static void measure_false_suspicions(struct bench *bench,
				     const struct deployment_spec *spec)
{
	struct world world;

	deployment_start(&world, spec, (uint32_t)bench->seed);
	world_run(&world, SETTLE_MS);
	world.faults.control_loss = LOSS;
	add_load(&world, 1000, 50000, 30);
	world_run(&world, 90000);
	tell(bench, BENCH_DECISION, "false_suspicions", spec->name,
	     figure(&world, "members_suspected"), "suspicions", BENCH_REPORT,
	     0);
	tell(bench, BENCH_DECISION, "false_suspicions_unfinished", spec->name,
	     1000 - figure(&world, "finished"), "connections", BENCH_EQUAL, 0);
	tell(bench, BENCH_DECISION, "false_suspicions_broken", spec->name,
	     figure(&world, "broken"), "connections", BENCH_EQUAL, 0);
	world_finish(&world);
}

/** What a size of the fleet costs each member. */
struct net_cost {
	double bytes, messages, us, memory;
};

static void measure_net(struct bench *bench, size_t n, struct net_cost *cost)
{
	const double seconds = NET_MEASURE_MS / 1000.0;
	struct member_net net;
	int64_t start_ns;
	char suffix[16];

	snprintf(suffix, sizeof(suffix), "%zu", n);
	member_net_init(&net, n, TARGET_ZONES, TARGET_BYTES_MAX, bench->seed);
	member_net_run(&net, NET_SETTLE_MS);
	member_net_reset(&net);
	start_ns = bench_now_ns();
	member_net_run(&net, NET_MEASURE_MS);
	cost->us = (double)(bench_now_ns() - start_ns) / NS_PER_US / (double)n /
		   seconds;
	cost->bytes = (double)net.bytes / (double)n / seconds;
	cost->messages = (double)net.messages / (double)n / seconds;
	cost->memory = (double)member_net_memory(&net.nodes[0]);
	tell(bench, BENCH_DECISION, "membership_bytes_per_s", suffix,
	     cost->bytes, "B/s", BENCH_REPORT, 0);
	tell(bench, BENCH_DECISION, "membership_messages_per_s", suffix,
	     cost->messages, "1/s", BENCH_REPORT, 0);
	tell(bench, BENCH_TIMING, "membership_us_per_s", suffix, cost->us,
	     "us/s", BENCH_REPORT, 0);
	tell(bench, BENCH_DECISION, "membership_memory", suffix, cost->memory,
	     "B", BENCH_REPORT, 0);
	tell(bench, BENCH_DECISION, "membership_mistaken", suffix,
	     (double)member_net_mistaken(&net), "pairs", BENCH_EQUAL, 0);
	member_net_finish(&net);
}

/** A zone that is lost at once. */
struct zone_loss {
	size_t members, zones;
	/** Control bytes a second of each member. */
	int64_t budget;
	const char *suffix;
};

static void measure_zone_loss(struct bench *bench, const struct zone_loss *loss)
{
	const char *suffix = loss->suffix;
	size_t n = loss->members;
	struct member_net net;
	uint64_t worst = 0;
	int64_t known_ms = 0;

	member_net_init(&net, n, loss->zones, loss->budget, bench->seed);
	member_net_run(&net, NET_SETTLE_MS);
	member_net_reset(&net);
	for (size_t i = 0; i < n; i += loss->zones)
		net.nodes[i].up = false;
	for (int64_t ms = 0; ms < ZONE_LOSS_MS; ms += 100) {
		member_net_run(&net, 100);
		if (!known_ms && !member_net_unaware(&net))
			known_ms = ms + 100;
	}
	for (size_t i = 0; i < n; i++)
		worst = MAX(worst, net.nodes[i].worst);
	tell(bench, BENCH_DECISION, "zone_loss_bytes_per_s", suffix,
	     (double)worst, "B/s", BENCH_AT_MOST, (double)loss->budget);
	tell(bench, BENCH_DECISION, "zone_loss_mean_bytes_per_s", suffix,
	     (double)net.bytes / (double)n / (ZONE_LOSS_MS / 1000.0), "B/s",
	     BENCH_REPORT, 0);
	tell(bench, BENCH_DECISION, "zone_loss_known_s", suffix,
	     (double)known_ms / 1000, "s", BENCH_REPORT, 0);
	tell(bench, BENCH_DECISION, "zone_loss_unaware", suffix,
	     (double)member_net_unaware(&net), "pairs", BENCH_EQUAL, 0);
	tell(bench, BENCH_DECISION, "zone_loss_mistaken", suffix,
	     (double)member_net_mistaken(&net), "pairs", BENCH_EQUAL, 0);
	member_net_finish(&net);
}

static void run(struct bench *bench)
{
	static const size_t sizes[] = {64, 256, 1024};
	/* The last two: a budget that binds, a zone of the target's size. */
	static const struct zone_loss losses[] = {
		{64, TARGET_ZONES, TARGET_BYTES_MAX, "64"},
		{256, TARGET_ZONES, TARGET_BYTES_MAX, "256"},
		{1024, TARGET_ZONES, TARGET_BYTES_MAX, "1024"},
		{1024, TARGET_ZONES, 2 * CONTROL_BYTES_MAX, "1024_tight"},
		{1024, 2, TARGET_BYTES_MAX, "1024_half"},
	};
	struct net_cost costs[G_N_ELEMENTS(sizes)];
	const struct net_cost *first = &costs[0], *last = &costs[2];
	double more = (double)(sizes[2] - sizes[0]);

	measure_bytes(bench, &deployment_huon);
	measure_bytes(bench, &deployment_birchknot);
	measure_join_and_death(bench);
	measure_false_suspicions(bench, &deployment_huon);
	measure_false_suspicions(bench, &deployment_birchknot);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure_net(bench, sizes[i], &costs[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(losses); i++)
		measure_zone_loss(bench, &losses[i]);
	bench_figure(bench, BENCH_DECISION, "membership_bytes_slope",
		     (last->bytes - first->bytes) / more, "B/s per member",
		     BENCH_REPORT, 0);
	bench_figure(bench, BENCH_DECISION, "membership_messages_slope",
		     (last->messages - first->messages) / more,
		     "1/s per member", BENCH_REPORT, 0);
	bench_figure(bench, BENCH_TIMING, "membership_us_slope",
		     (last->us - first->us) / more, "us/s per member",
		     BENCH_REPORT, 0);
	bench_figure(bench, BENCH_DECISION, "membership_memory_slope",
		     (last->memory - first->memory) / more, "B per member",
		     BENCH_REPORT, 0);
}

const struct bench_group bench_membership = {"membership", run};
