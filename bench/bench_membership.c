#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "bench_deployment.h"
#include "member_net.h"

/*
 * Membership: control traffic, joins and failures in simulations of the users'
 * deployments with all cores, and the cost of many members with the control
 * cores alone.
 */
/* Bounds of control traffic per process, today and at the target size, B/s. */
#define CONTROL_BYTES_PER_S_MAX 3072
#define TARGET_BYTES_PER_S_MAX 27648
#define JOIN_MAX_S 3
/* Time for which new connections may still go to a failed server. */
#define DEAD_WORK_MAX_S 4
#define TARGET_ZONES 30
#define SETTLE_MS 15000
#define STEADY_MS 60000
#define RELEASES 5
#define RELEASE_MS 6000
#define JOIN_AND_DEATH_RUNS 8
#define STEP_MS 10
#define CONTROL_LOSS 0.3
#define NET_SETTLE_MS 3000
#define NET_MEASURE_MS 20000
#define ZONE_LOSS_MS 20000
#define NS_PER_US 1000.0

static double read_figure(struct world *world, const char *name)
{
	double value = 0;

	if (!world_read_figure(world, name, &value))
		g_error("unknown figure '%s'", name);
	return value;
}

static void report_figure(struct bench *bench, enum bench_kind kind,
			  const char *name, const char *suffix, double value,
			  const char *unit, enum bench_bound bound,
			  double limit)
{
	char *text = g_strdup_printf("%s_%s", name, suffix);

	bench_figure(bench, kind, text, value, unit, bound, limit);
	g_free(text);
}

static void apply_next_release(struct world *world)
{
	struct status status;

	status_init(&status);
	world->manifest.release++;
	if (world_apply(world, &status) != STATUS_OK)
		g_error("cannot apply release: %s", status.message);
}

/* Control traffic of the busiest second of any balancer, B/s. */
static void measure_control_bytes(struct bench *bench,
				  const struct deployment_spec *spec)
{
	struct world world;
	double before;
	char suffix[32];

	deployment_start(&world, spec, (uint32_t)bench->seed);
	world_run(&world, SETTLE_MS);
	world_reset_meters(&world);
	before = read_figure(&world, "control_bytes");
	world_run(&world, STEADY_MS);
	snprintf(suffix, sizeof(suffix), "%s_steady", spec->name);
	report_figure(bench, BENCH_DECISION, "control_mean_bytes_per_s", suffix,
		      (read_figure(&world, "control_bytes") - before) /
			      world.nodes->len / (STEADY_MS / 1000.0),
		      "B/s", BENCH_REPORT, 0);
	report_figure(bench, BENCH_DECISION, "control_bytes_per_s", suffix,
		      read_figure(&world, "balancer_peak_bytes"), "B/s",
		      BENCH_AT_MOST, CONTROL_BYTES_PER_S_MAX);
	world_reset_meters(&world);
	for (int i = 0; i < RELEASES; i++) {
		apply_next_release(&world);
		world_run(&world, RELEASE_MS);
	}
	snprintf(suffix, sizeof(suffix), "%s_release", spec->name);
	report_figure(bench, BENCH_DECISION, "control_bytes_per_s", suffix,
		      read_figure(&world, "balancer_peak_bytes"), "B/s",
		      BENCH_AT_MOST, CONTROL_BYTES_PER_S_MAX);
	report_figure(bench, BENCH_DECISION, "release_lagging", spec->name,
		      read_figure(&world, "lagging"), "processes", BENCH_EQUAL,
		      0);
	world_finish(&world);
}

static void add_connections(struct world *world, int n_connections,
			    int64_t over_ms, int n_payloads)
{
	for (int i = 0; i < n_connections; i++)
		caller_pool_add(&world->callers, &world->manifest.services[0],
				world->now_ms + over_ms * i / n_connections,
				n_payloads, 500);
}

/* Time from the start of a new agent to its first connection, s. */
static double measure_join_s(const struct deployment_spec *spec, uint32_t seed)
{
	const struct world_node *new_server;
	struct world world;
	int64_t start_ms, elapsed_ms;

	deployment_start(&world, spec, seed);
	world_run(&world, SETTLE_MS);
	add_connections(&world, 4000, 20000, 1);
	world_run(&world, 1000 + seed % 7 * 130);
	new_server = deployment_add_server(&world, 0, 20);
	start_ms = world.now_ms;
	while (!counter_get(&new_server->counters, COUNTER_FLOW_OPENED) &&
	       world.now_ms - start_ms < 10000)
		world_run(&world, STEP_MS);
	elapsed_ms = world.now_ms - start_ms;
	world_finish(&world);
	return (double)elapsed_ms / 1000;
}

/* Time for which new connections still go to a failed server, s. */
static double measure_dead_work_s(const struct deployment_spec *spec,
				  uint32_t seed)
{
	struct world world;
	double dead_work_s;

	deployment_start(&world, spec, seed);
	world_run(&world, SETTLE_MS);
	add_connections(&world, 4000, 20000, 1);
	world_run(&world, 1000 + seed % 7 * 130);
	world_kill_node(world_find_node(
		&world, spec == &deployment_huon ? "orders-3" : "shopfront-3"));
	world_run(&world, 15000);
	dead_work_s = read_figure(&world, "dead_work_ms") / 1000;
	world_finish(&world);
	return dead_work_s;
}

static void measure_join_and_death(struct bench *bench)
{
	const struct deployment_spec *specs[] = {&deployment_huon,
						 &deployment_birchknot};
	double join_s = 0, dead_work_s = 0;

	for (uint32_t i = 0; i < JOIN_AND_DEATH_RUNS; i++) {
		uint32_t seed = (uint32_t)bench->seed * JOIN_AND_DEATH_RUNS + i;

		join_s = MAX(join_s, measure_join_s(specs[i % 2], seed));
		dead_work_s = MAX(dead_work_s,
				  measure_dead_work_s(specs[i % 2], seed));
	}
	bench_figure(bench, BENCH_DECISION, "join_to_first_work_s", join_s, "s",
		     BENCH_AT_MOST, JOIN_MAX_S);
	bench_figure(bench, BENCH_DECISION, "dead_server_last_new_work_s",
		     dead_work_s, "s", BENCH_AT_MOST, DEAD_WORK_MAX_S);
}

/* Lost control messages cause false suspicions; no connection may break. */
static void measure_false_suspicions(struct bench *bench,
				     const struct deployment_spec *spec)
{
	struct world world;

	deployment_start(&world, spec, (uint32_t)bench->seed);
	world_run(&world, SETTLE_MS);
	world.faults.control_loss = CONTROL_LOSS;
	add_connections(&world, 1000, 50000, 30);
	world_run(&world, 90000);
	report_figure(bench, BENCH_DECISION, "false_suspicions", spec->name,
		      read_figure(&world, "members_suspected"), "suspicions",
		      BENCH_REPORT, 0);
	report_figure(bench, BENCH_DECISION, "false_suspicions_unfinished",
		      spec->name, 1000 - read_figure(&world, "finished"),
		      "connections", BENCH_EQUAL, 0);
	report_figure(bench, BENCH_DECISION, "false_suspicions_broken",
		      spec->name, read_figure(&world, "broken"), "connections",
		      BENCH_EQUAL, 0);
	world_finish(&world);
}

/** Cost of one member; its traffic and CPU time are means. */
struct member_cost {
	double bytes_per_s, messages_per_s, cpu_us_per_s, memory_bytes;
};

static void measure_member_cost(struct bench *bench, size_t n,
				struct member_cost *cost)
{
	const double seconds = NET_MEASURE_MS / 1000.0;
	struct member_net net;
	int64_t start_ns;
	char suffix[16];

	snprintf(suffix, sizeof(suffix), "%zu", n);
	member_net_init(&net, n, TARGET_ZONES, TARGET_BYTES_PER_S_MAX,
			bench->seed);
	member_net_run(&net, NET_SETTLE_MS);
	member_net_reset_totals(&net);
	start_ns = bench_now_ns();
	member_net_run(&net, NET_MEASURE_MS);
	cost->cpu_us_per_s = (double)(bench_now_ns() - start_ns) / NS_PER_US /
			     (double)n / seconds;
	cost->bytes_per_s = (double)net.sent_bytes / (double)n / seconds;
	cost->messages_per_s = (double)net.sent_messages / (double)n / seconds;
	cost->memory_bytes = (double)member_net_memory(&net.nodes[0]);
	report_figure(bench, BENCH_DECISION, "membership_bytes_per_s", suffix,
		      cost->bytes_per_s, "B/s", BENCH_REPORT, 0);
	report_figure(bench, BENCH_DECISION, "membership_messages_per_s",
		      suffix, cost->messages_per_s, "1/s", BENCH_REPORT, 0);
	report_figure(bench, BENCH_TIMING, "membership_us_per_s", suffix,
		      cost->cpu_us_per_s, "us/s", BENCH_REPORT, 0);
	report_figure(bench, BENCH_DECISION, "membership_memory", suffix,
		      cost->memory_bytes, "B", BENCH_REPORT, 0);
	report_figure(bench, BENCH_DECISION, "membership_mistaken", suffix,
		      (double)member_net_false_positives(&net), "pairs",
		      BENCH_EQUAL, 0);
	member_net_finish(&net);
}

/** A case in which all members of one zone fail at once. */
struct zone_loss {
	/** Number of members, which are spread over `zones` zones. */
	size_t members, zones;
	/** Limit of control traffic of each member, B/s. */
	int64_t bytes_per_s;
	const char *suffix;
};

static void measure_zone_loss(struct bench *bench, const struct zone_loss *loss)
{
	const char *suffix = loss->suffix;
	size_t n = loss->members;
	struct member_net net;
	uint64_t peak_bytes = 0;
	int64_t detected_ms = 0;

	member_net_init(&net, n, loss->zones, loss->bytes_per_s, bench->seed);
	member_net_run(&net, NET_SETTLE_MS);
	member_net_reset_totals(&net);
	for (size_t i = 0; i < n; i += loss->zones)
		net.nodes[i].up = false;
	for (int64_t ms = 0; ms < ZONE_LOSS_MS; ms += 100) {
		member_net_run(&net, 100);
		if (!detected_ms && !member_net_undetected(&net))
			detected_ms = ms + 100;
	}
	for (size_t i = 0; i < n; i++)
		peak_bytes = MAX(peak_bytes, net.nodes[i].peak_second_bytes);
	report_figure(bench, BENCH_DECISION, "zone_loss_bytes_per_s", suffix,
		      (double)peak_bytes, "B/s", BENCH_AT_MOST,
		      (double)loss->bytes_per_s);
	report_figure(
		bench, BENCH_DECISION, "zone_loss_mean_bytes_per_s", suffix,
		(double)net.sent_bytes / (double)n / (ZONE_LOSS_MS / 1000.0),
		"B/s", BENCH_REPORT, 0);
	report_figure(bench, BENCH_DECISION, "zone_loss_known_s", suffix,
		      (double)detected_ms / 1000, "s", BENCH_REPORT, 0);
	report_figure(bench, BENCH_DECISION, "zone_loss_unaware", suffix,
		      (double)member_net_undetected(&net), "pairs", BENCH_EQUAL,
		      0);
	report_figure(bench, BENCH_DECISION, "zone_loss_mistaken", suffix,
		      (double)member_net_false_positives(&net), "pairs",
		      BENCH_EQUAL, 0);
	member_net_finish(&net);
}

static void run(struct bench *bench)
{
	static const size_t sizes[] = {64, 256, 1024};
	/*
	 * In the last two cases the traffic limit is reached, and the zone that
	 * fails has as many members as a zone of the target size.
	 */
	static const struct zone_loss losses[] = {
		{64, TARGET_ZONES, TARGET_BYTES_PER_S_MAX, "64"},
		{256, TARGET_ZONES, TARGET_BYTES_PER_S_MAX, "256"},
		{1024, TARGET_ZONES, TARGET_BYTES_PER_S_MAX, "1024"},
		{1024, TARGET_ZONES, 2 * CONTROL_BYTES_PER_S_MAX, "1024_tight"},
		{1024, 2, TARGET_BYTES_PER_S_MAX, "1024_half"},
	};
	struct member_cost costs[G_N_ELEMENTS(sizes)];
	const struct member_cost *smallest = &costs[0], *largest = &costs[2];
	double added_members = (double)(sizes[2] - sizes[0]);

	measure_control_bytes(bench, &deployment_huon);
	measure_control_bytes(bench, &deployment_birchknot);
	measure_join_and_death(bench);
	measure_false_suspicions(bench, &deployment_huon);
	measure_false_suspicions(bench, &deployment_birchknot);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure_member_cost(bench, sizes[i], &costs[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(losses); i++)
		measure_zone_loss(bench, &losses[i]);
	bench_figure(bench, BENCH_DECISION, "membership_bytes_slope",
		     (largest->bytes_per_s - smallest->bytes_per_s) /
			     added_members,
		     "B/s per member", BENCH_REPORT, 0);
	bench_figure(bench, BENCH_DECISION, "membership_messages_slope",
		     (largest->messages_per_s - smallest->messages_per_s) /
			     added_members,
		     "1/s per member", BENCH_REPORT, 0);
	bench_figure(bench, BENCH_TIMING, "membership_us_slope",
		     (largest->cpu_us_per_s - smallest->cpu_us_per_s) /
			     added_members,
		     "us/s per member", BENCH_REPORT, 0);
	bench_figure(bench, BENCH_DECISION, "membership_memory_slope",
		     (largest->memory_bytes - smallest->memory_bytes) /
			     added_members,
		     "B per member", BENCH_REPORT, 0);
}

const struct bench_group bench_membership = {"membership", run};
