#include <stdio.h>

#include "bench.h"
#include "bench_world.h"

/*
 * Cold starts that nobody announces, and the service that new connections
 * get while a zone leaves and returns with cold servers. Nothing is lost on
 * the network here: each second try is ours.
 */
#define SERVER_CONNECTIONS 2000
#define STEP_MS 100
#define WARM_UP_MS 40000
#define COLD_MS 10000
#define RAMP_MAX_S 15
#define RAMP_WAIT_MS 40000
#define LIFETIME_MS 20000
#define LOAD_SHARE 0.7
#define LAG_MAX_MS 3000
#define QUALITY_MIN 99.9
#define MS_PER_S 1000.0

static void start(struct world *world,
		  const struct bench_deployment *deployment, uint64_t seed)
{
	bench_world_init(world, deployment, SERVER_CONNECTIONS, seed);
	world->faults.delay_min_ms = 1;
	world->faults.delay_max_ms = 3;
	for (guint i = 0; i < world->nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world->nodes, i);

		if (node->options.self.role == MEMBER_BALANCER)
			node->view_lag_ms = g_rand_int_range(world->rand, 0,
							     LAG_MAX_MS + 1);
	}
	world_run(world, LAG_MAX_MS + 2000);
}

static void pass(struct world *world, struct bench_arrivals *arrivals,
		 int64_t ms)
{
	int64_t end_ms = world->now_ms + ms;

	while (world->now_ms < end_ms) {
		bench_arrivals_step(arrivals, STEP_MS);
		world_run(world, STEP_MS);
	}
}

static void figure(struct bench *bench,
		   const struct bench_deployment *deployment, const char *what,
		   double value, const char *unit, enum bench_bound bound,
		   double limit)
{
	char name[64];

	snprintf(name, sizeof(name), "%s_%s", what, deployment->name);
	bench_figure(bench, BENCH_DECISION, name, value, unit, bound, limit);
}

/* Time from the end of the cold spell of @node to its full limit, s. */
static double ramp_s(struct world *world, struct bench_arrivals *arrivals,
		     const struct world_node *node)
{
	const struct admit *admit = &node->agent.admit;
	int64_t end_ms = node->cold_until_ms + RAMP_WAIT_MS;

	while (world->now_ms < node->cold_until_ms)
		pass(world, arrivals, STEP_MS);
	while (world->now_ms < end_ms && admit->limit < admit->connections_max)
		pass(world, arrivals, STEP_MS);
	return (double)(world->now_ms - node->cold_until_ms) / MS_PER_S;
}

/* Connections per ms that keep @share of @servers busy. */
static double rate_for(unsigned int servers, double share)
{
	return share * servers * SERVER_CONNECTIONS / LIFETIME_MS;
}

static void cold_starts(struct bench *bench,
			const struct bench_deployment *deployment)
{
	const char *name = deployment->services[0].name;
	unsigned int servers = deployment->services[0].servers;
	struct bench_arrivals arrivals;
	struct world_node *node;
	struct world world;
	double silent, joined, replaced;

	start(&world, deployment, bench->seed);
	bench_arrivals_init(&arrivals, &world, rate_for(servers, LOAD_SHARE),
			    LIFETIME_MS);
	pass(&world, &arrivals, WARM_UP_MS);
	node = bench_world_node(&world, name, 2);
	world_restart_server(node, COLD_MS);
	silent = ramp_s(&world, &arrivals, node);
	node = world_add_server(&world, &world.manifest.services[0]);
	world_restart_server(node, COLD_MS);
	joined = ramp_s(&world, &arrivals, node);
	node = bench_world_node(&world, name, 3);
	world_kill_node(node);
	world_restart_server(node, COLD_MS);
	world_start_node(node);
	replaced = ramp_s(&world, &arrivals, node);
	figure(bench, deployment, "cold_over_limit",
	       bench_world_figure(&world, "cold_over_limit"), "", BENCH_EQUAL,
	       0);
	figure(bench, deployment, "cold_ramp_s_silent", silent, "s",
	       BENCH_AT_MOST, RAMP_MAX_S);
	figure(bench, deployment, "cold_ramp_s_joined", joined, "s",
	       BENCH_AT_MOST, RAMP_MAX_S);
	figure(bench, deployment, "cold_ramp_s_restarted", replaced, "s",
	       BENCH_AT_MOST, RAMP_MAX_S);
	figure(bench, deployment, "cold_signs",
	       bench_world_figure(&world, "turned_cold"), "", BENCH_REPORT, 0);
	world_finish(&world);
}

/* All servers of a service start cold at once. */
static void cold_fleet(struct bench *bench,
		       const struct bench_deployment *deployment)
{
	unsigned int servers = deployment->services[0].servers;
	struct bench_arrivals arrivals;
	struct world world;

	start(&world, deployment, bench->seed);
	for (unsigned int i = 1; i <= servers; i++)
		world_restart_server(
			bench_world_node(&world, deployment->services[0].name,
					 i),
			COLD_MS);
	bench_arrivals_init(&arrivals, &world, rate_for(servers, LOAD_SHARE),
			    LIFETIME_MS);
	pass(&world, &arrivals, COLD_MS + RAMP_WAIT_MS);
	figure(bench, deployment, "cold_over_limit_fleet",
	       bench_world_figure(&world, "cold_over_limit"), "", BENCH_EQUAL,
	       0);
	figure(bench, deployment, "cold_fleet_refused",
	       bench_world_figure(&world, "refused"), "", BENCH_REPORT, 0);
	world_finish(&world);
}

static unsigned int servers_left(struct world *world, const char *service)
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

static void restart_zone(struct world *world)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world->nodes, i);

		if (node->options.self.role == MEMBER_AGENT &&
		    name_equal(&node->options.self.zone,
			       &world->manifest.zones[0].name))
			world_restart_server(node, COLD_MS);
	}
}

static void zone_cycle(struct bench *bench,
		       const struct bench_deployment *deployment)
{
	const char *name = deployment->services[0].name;
	struct bench_arrivals arrivals;
	struct world world;
	double at_once, opened, refused, refused_told;

	start(&world, deployment, bench->seed);
	bench_arrivals_init(&arrivals, &world,
			    rate_for(servers_left(&world, name), LOAD_SHARE),
			    LIFETIME_MS);
	pass(&world, &arrivals, WARM_UP_MS);
	at_once = bench_world_figure(&world, "opened_at_once");
	opened = bench_world_figure(&world, "opened");
	refused = bench_world_figure(&world, "refused");
	refused_told = bench_world_figure(&world, "refuse_no_room");
	world.manifest.zones[0].state = ZONE_INACTIVE;
	bench_world_release(&world);
	pass(&world, &arrivals, WARM_UP_MS);
	restart_zone(&world);
	world.manifest.zones[0].state = ZONE_ACTIVE;
	bench_world_release(&world);
	pass(&world, &arrivals, WARM_UP_MS);
	at_once = bench_world_figure(&world, "opened_at_once") - at_once;
	opened = bench_world_figure(&world, "opened") - opened;
	refused = bench_world_figure(&world, "refused") - refused;
	refused_told =
		bench_world_figure(&world, "refuse_no_room") - refused_told;
	figure(bench, deployment, "zone_cycle_connections", opened, "",
	       BENCH_REPORT, 0);
	figure(bench, deployment, "zone_cycle_quality",
	       100 * at_once / (opened + refused), "%", BENCH_AT_LEAST,
	       QUALITY_MIN);
	figure(bench, deployment, "zone_cycle_refused_silently",
	       refused - refused_told, "", BENCH_AT_MOST, 0);
	figure(bench, deployment, "zone_cycle_cold_over_limit",
	       bench_world_figure(&world, "cold_over_limit"), "", BENCH_EQUAL,
	       0);
	figure(bench, deployment, "zone_cycle_broken",
	       bench_world_figure(&world, "broken"), "", BENCH_REPORT, 0);
	world_finish(&world);
}

static void run(struct bench *bench)
{
	for (size_t i = 0; i < G_N_ELEMENTS(bench_deployments); i++) {
		cold_starts(bench, &bench_deployments[i]);
		cold_fleet(bench, &bench_deployments[i]);
		zone_cycle(bench, &bench_deployments[i]);
	}
}

const struct bench_group bench_admit = {"admit", run};
