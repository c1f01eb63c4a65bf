#include <stdio.h>

#include "bench.h"
#include "bench_world.h"

/*
 * Cold starts of backend servers that are not announced, and how many new
 * connections open at the first attempt while a zone goes out of service and
 * returns with cold servers. The simulated network loses no packets here, so
 * every retransmission of a SYN is caused by the balancers or agents.
 */
#define CONNECTION_LIMIT 2000
#define STEP_MS 100
#define WARM_UP_MS 40000
#define COLD_MS 10000
#define RAMP_MAX_S 15
#define RAMP_TIMEOUT_MS 40000
#define MEAN_LIFETIME_MS 20000
/* Share of the connection limits that is in use. */
#define UTILISATION 0.7
/* Longest delay before a new view takes effect at a balancer. */
#define VIEW_LAG_MAX_MS 3000
#define OPENED_AT_ONCE_MIN_PERCENT 99.9
#define MS_PER_S 1000.0

static void start_world(struct world *world,
			const struct bench_deployment *deployment,
			uint64_t seed)
{
	bench_world_init(world, deployment, CONNECTION_LIMIT, seed);
	world->faults.delay_min_ms = 1;
	world->faults.delay_max_ms = 3;
	for (guint i = 0; i < world->nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world->nodes, i);

		if (node->options.self.role == MEMBER_BALANCER)
			node->view_delay_ms = g_rand_int_range(
				world->rand, 0, VIEW_LAG_MAX_MS + 1);
	}
	world_run(world, VIEW_LAG_MAX_MS + 2000);
}

static void run_with_arrivals(struct world *world,
			      struct bench_arrivals *arrivals, int64_t ms)
{
	int64_t end_ms = world->now_ms + ms;

	while (world->now_ms < end_ms) {
		bench_arrivals_add(arrivals, STEP_MS);
		world_run(world, STEP_MS);
	}
}

static void report_figure(struct bench *bench,
			  const struct bench_deployment *deployment,
			  const char *prefix, double value, const char *unit,
			  enum bench_bound bound, double limit)
{
	char name[64];

	snprintf(name, sizeof(name), "%s_%s", prefix, deployment->name);
	bench_figure(bench, BENCH_DECISION, name, value, unit, bound, limit);
}

/*
 * Time from the end of the cold phase of the server of @node until its
 * admission limit is back at the maximum, s.
 */
static double measure_ramp_s(struct world *world,
			     struct bench_arrivals *arrivals,
			     const struct world_node *node)
{
	const struct admit *admit = &node->agent.admit;
	int64_t end_ms = node->cold_until_ms + RAMP_TIMEOUT_MS;

	while (world->now_ms < node->cold_until_ms)
		run_with_arrivals(world, arrivals, STEP_MS);
	while (world->now_ms < end_ms && admit->limit < admit->connections_max)
		run_with_arrivals(world, arrivals, STEP_MS);
	return (double)(world->now_ms - node->cold_until_ms) / MS_PER_S;
}

/*
 * Arrivals per ms at which @n_servers servers have @utilisation of their
 * connection limits in use.
 */
static double arrival_rate(unsigned int n_servers, double utilisation)
{
	return utilisation * n_servers * CONNECTION_LIMIT / MEAN_LIFETIME_MS;
}

static void measure_cold_starts(struct bench *bench,
				const struct bench_deployment *deployment)
{
	const char *name = deployment->services[0].name;
	unsigned int n_servers = deployment->services[0].n_servers;
	struct bench_arrivals arrivals;
	struct world_node *node;
	struct world world;
	double unannounced_s, joined_s, restarted_s;

	start_world(&world, deployment, bench->seed);
	bench_arrivals_init(&arrivals, &world,
			    arrival_rate(n_servers, UTILISATION),
			    MEAN_LIFETIME_MS);
	run_with_arrivals(&world, &arrivals, WARM_UP_MS);
	node = bench_world_node(&world, name, 2);
	world_restart_server(node, COLD_MS);
	unannounced_s = measure_ramp_s(&world, &arrivals, node);
	node = world_add_server(&world, &world.manifest.services[0]);
	world_restart_server(node, COLD_MS);
	joined_s = measure_ramp_s(&world, &arrivals, node);
	node = bench_world_node(&world, name, 3);
	world_kill_node(node);
	world_restart_server(node, COLD_MS);
	world_start_node(node);
	restarted_s = measure_ramp_s(&world, &arrivals, node);
	report_figure(bench, deployment, "cold_over_limit",
		      bench_world_figure(&world, "cold_over_limit"), "",
		      BENCH_EQUAL, 0);
	report_figure(bench, deployment, "cold_ramp_s_silent", unannounced_s,
		      "s", BENCH_AT_MOST, RAMP_MAX_S);
	report_figure(bench, deployment, "cold_ramp_s_joined", joined_s, "s",
		      BENCH_AT_MOST, RAMP_MAX_S);
	report_figure(bench, deployment, "cold_ramp_s_restarted", restarted_s,
		      "s", BENCH_AT_MOST, RAMP_MAX_S);
	report_figure(bench, deployment, "cold_signs",
		      bench_world_figure(&world, "turned_cold"), "",
		      BENCH_REPORT, 0);
	world_finish(&world);
}

/* All servers of a service start cold at the same time. */
static void measure_all_cold(struct bench *bench,
			     const struct bench_deployment *deployment)
{
	unsigned int n_servers = deployment->services[0].n_servers;
	struct bench_arrivals arrivals;
	struct world world;

	start_world(&world, deployment, bench->seed);
	for (unsigned int i = 1; i <= n_servers; i++)
		world_restart_server(
			bench_world_node(&world, deployment->services[0].name,
					 i),
			COLD_MS);
	bench_arrivals_init(&arrivals, &world,
			    arrival_rate(n_servers, UTILISATION),
			    MEAN_LIFETIME_MS);
	run_with_arrivals(&world, &arrivals, COLD_MS + RAMP_TIMEOUT_MS);
	report_figure(bench, deployment, "cold_over_limit_fleet",
		      bench_world_figure(&world, "cold_over_limit"), "",
		      BENCH_EQUAL, 0);
	report_figure(bench, deployment, "cold_fleet_refused",
		      bench_world_figure(&world, "refused"), "", BENCH_REPORT,
		      0);
	world_finish(&world);
}

static unsigned int count_servers_outside_first_zone(struct world *world,
						     const char *service)
{
	unsigned int n = 0;

	for (guint i = 0; i < world->nodes->len; i++) {
		const struct world_node *node =
			g_ptr_array_index(world->nodes, i);

		n += !strcmp(node->options.self.service.data, service) &&
		     !name_equal(&node->options.self.zone,
				 &world->manifest.zones[0].name);
	}
	return n;
}

static void restart_first_zone_servers(struct world *world)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world->nodes, i);

		if (node->options.self.role == MEMBER_AGENT &&
		    name_equal(&node->options.self.zone,
			       &world->manifest.zones[0].name))
			world_restart_server(node, COLD_MS);
	}
}

/* The first zone goes out of service and returns with cold servers. */
static void measure_zone_cycle(struct bench *bench,
			       const struct bench_deployment *deployment)
{
	const char *name = deployment->services[0].name;
	struct bench_arrivals arrivals;
	struct world world;
	double opened_at_once, opened, refused, refused_with_reset;

	start_world(&world, deployment, bench->seed);
	bench_arrivals_init(
		&arrivals, &world,
		arrival_rate(count_servers_outside_first_zone(&world, name),
			     UTILISATION),
		MEAN_LIFETIME_MS);
	run_with_arrivals(&world, &arrivals, WARM_UP_MS);
	opened_at_once = bench_world_figure(&world, "opened_at_once");
	opened = bench_world_figure(&world, "opened");
	refused = bench_world_figure(&world, "refused");
	refused_with_reset = bench_world_figure(&world, "refuse_no_room");
	world.manifest.zones[0].state = ZONE_OUT_OF_SERVICE;
	bench_world_apply_release(&world);
	run_with_arrivals(&world, &arrivals, WARM_UP_MS);
	restart_first_zone_servers(&world);
	world.manifest.zones[0].state = ZONE_IN_SERVICE;
	bench_world_apply_release(&world);
	run_with_arrivals(&world, &arrivals, WARM_UP_MS);
	opened_at_once =
		bench_world_figure(&world, "opened_at_once") - opened_at_once;
	opened = bench_world_figure(&world, "opened") - opened;
	refused = bench_world_figure(&world, "refused") - refused;
	refused_with_reset = bench_world_figure(&world, "refuse_no_room") -
			     refused_with_reset;
	report_figure(bench, deployment, "zone_cycle_connections", opened, "",
		      BENCH_REPORT, 0);
	report_figure(bench, deployment, "zone_cycle_quality",
		      100 * opened_at_once / (opened + refused), "%",
		      BENCH_AT_LEAST, OPENED_AT_ONCE_MIN_PERCENT);
	report_figure(bench, deployment, "zone_cycle_refused_silently",
		      refused - refused_with_reset, "", BENCH_AT_MOST, 0);
	report_figure(bench, deployment, "zone_cycle_cold_over_limit",
		      bench_world_figure(&world, "cold_over_limit"), "",
		      BENCH_EQUAL, 0);
	report_figure(bench, deployment, "zone_cycle_broken",
		      bench_world_figure(&world, "broken"), "", BENCH_REPORT,
		      0);
	world_finish(&world);
}

static void run(struct bench *bench)
{
	for (size_t i = 0; i < G_N_ELEMENTS(bench_deployments); i++) {
		measure_cold_starts(bench, &bench_deployments[i]);
		measure_all_cold(bench, &bench_deployments[i]);
		measure_zone_cycle(bench, &bench_deployments[i]);
	}
}

const struct bench_group bench_admit = {"admit", run};
