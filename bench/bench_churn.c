#include <stdio.h>

#include "bench.h"
#include "bench_world.h"

/*
 * Connections through planned changes that overlap, and through a zone that
 * is taken out, while views differ and packets are lost, doubled and late.
 */
#define CONNECTIONS 20000
#define WARM_CONNECTIONS 3000
#define SERVER_CONNECTIONS 2000
#define OPEN_MS 80000
#define WARM_MS 15000
#define SETTLE_MS 60000
#define LINES 10
#define GAP_MS 1000
#define LAG_MAX_MS 3000
#define ROUND_MS 5000
#define ROUNDS (OPEN_MS / ROUND_MS)
#define LOSS 0.01
#define MS_PER_S 1000.0
#define LAST_MAX_S 3

static void set_faults(struct world *world, double control_loss)
{
	world->faults.data_loss = LOSS;
	world->faults.data_double = LOSS;
	world->faults.control_loss = control_loss;
	world->faults.control_double = LOSS;
	world->faults.delay_min_ms = 1;
	world->faults.delay_max_ms = 20;
}

/*
 * Views come into force up to three seconds apart. Where the time of a zone's
 * last packet is measured, only those of the balancers: an agent that knows
 * its zone is out acts at once.
 */
static void set_lag(struct world *world, struct world_node *node)
{
	node->view_lag_ms = g_rand_int_range(world->rand, 0, LAG_MAX_MS + 1);
}

static void start(struct world *world,
		  const struct bench_deployment *deployment, uint64_t seed,
		  double control_loss)
{
	bench_world_init(world, deployment, SERVER_CONNECTIONS, seed);
	for (guint i = 0; i < world->nodes->len; i++)
		set_lag(world, g_ptr_array_index(world->nodes, i));
	world_run(world, LAG_MAX_MS + 2000);
	set_faults(world, control_loss);
	for (size_t i = 0; i < 2; i++)
		bench_world_load(world, i, WARM_CONNECTIONS / 2, WARM_MS, LINES,
				 GAP_MS);
	world_run(world, WARM_MS);
}

/* A drained server that has no connection left restarts, cold. */
static void restart_drained(struct world *world)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world->nodes, i);

		if (!node->drain_ms || agent_connection_count(&node->agent))
			continue;
		world_kill_node(node);
		world_restart_server(node, ROUND_MS);
		world_start_node(node);
	}
}

static void replace_balancer(struct world *world, unsigned int number)
{
	world_kill_node(bench_world_node(world, "balancer", number));
	set_lag(world, world_add_balancer(world));
}

/* One round of planned changes; those of several rounds overlap. */
static void change(struct world *world,
		   const struct bench_deployment *deployment,
		   unsigned int round)
{
	const char *first = deployment->services[0].name;
	const char *second = deployment->services[1].name;
	const struct service *services = world->manifest.services;

	switch (round % 4) {
	case 0:
		set_lag(world, world_add_server(world, &services[0]));
		world_drain(bench_world_node(world, first, round / 4 + 1));
		break;
	case 1:
		replace_balancer(world, round / 4 + 1);
		bench_world_release(world);
		break;
	case 2:
		world_replace_agent(bench_world_node(
			world, first, deployment->services[0].servers));
		world_replace_agent(bench_world_node(world, second, 1));
		set_lag(world, world_add_server(world, &services[1]));
		break;
	default:
		world_drain(bench_world_node(world, second, round / 4 + 1));
		bench_world_release(world);
		break;
	}
}

static void report(struct bench *bench, struct world *world,
		   const struct bench_deployment *deployment, const char *what,
		   const char *figure, double scale, enum bench_bound bound,
		   double limit, const char *unit)
{
	char name[96];

	snprintf(name, sizeof(name), "%s_%s", what, deployment->name);
	bench_figure(bench, BENCH_DECISION, name,
		     bench_world_figure(world, figure) / scale, unit, bound,
		     limit);
}

static void planned(struct bench *bench,
		    const struct bench_deployment *deployment)
{
	unsigned int n = (unsigned int)bench_env("FLOWS", CONNECTIONS);
	struct world world;

	start(&world, deployment, bench->seed, LOSS);
	bench_world_load(&world, 0, n * 2 / 3, OPEN_MS, LINES, GAP_MS);
	bench_world_load(&world, 1, n - n * 2 / 3, OPEN_MS, LINES, GAP_MS);
	for (unsigned int round = 0; round < ROUNDS; round++) {
		change(&world, deployment, round);
		world_run(&world, ROUND_MS);
		restart_drained(&world);
	}
	world_run(&world, SETTLE_MS);
	report(bench, &world, deployment, "churn_connections", "opened", 1,
	       BENCH_AT_LEAST, n, "");
	report(bench, &world, deployment, "broken_planned", "broken", 1,
	       BENCH_EQUAL, 0, "");
	report(bench, &world, deployment, "churn_refused", "refused", 1,
	       BENCH_REPORT, 0, "");
	report(bench, &world, deployment, "churn_unfinished", "open", 1,
	       BENCH_EQUAL, 0, "");
	report(bench, &world, deployment, "wrong_service_packets",
	       "wrong_service_packets", 1, BENCH_EQUAL, 0, "");
	report(bench, &world, deployment, "wrong_answers", "wrong_answers", 1,
	       BENCH_EQUAL, 0, "");
	report(bench, &world, deployment, "cold_over_limit_churn",
	       "cold_over_limit", 1, BENCH_EQUAL, 0, "");
	report(bench, &world, deployment, "drain_last_new_work_s",
	       "drain_last_ms", MS_PER_S, BENCH_AT_MOST, LAST_MAX_S, "s");
	world_finish(&world);
}

static void zone_out(struct bench *bench,
		     const struct bench_deployment *deployment)
{
	struct world world;

	start(&world, deployment, bench->seed, 0.5);
	for (guint i = 0; i < world.nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world.nodes, i);

		if (node->options.self.role == MEMBER_AGENT)
			node->view_lag_ms = 0;
	}
	for (size_t i = 0; i < 2; i++)
		bench_world_load(&world, i, CONNECTIONS / 10, OPEN_MS / 4,
				 LINES, GAP_MS);
	world_run(&world, OPEN_MS / 8);
	world.manifest.zones[0].state = ZONE_INACTIVE;
	bench_world_release(&world);
	world_run(&world, OPEN_MS / 8 + SETTLE_MS);
	report(bench, &world, deployment, "broken_zone_out", "broken", 1,
	       BENCH_REPORT, 0, "");
	report(bench, &world, deployment, "broken_zone_out_elsewhere",
	       "broken_elsewhere", 1, BENCH_EQUAL, 0, "");
	report(bench, &world, deployment, "zone_out_last_packet_s",
	       "zone_out_last_ms", MS_PER_S, BENCH_AT_MOST, LAST_MAX_S, "s");
	world_finish(&world);
}

static void run(struct bench *bench)
{
	for (size_t i = 0; i < G_N_ELEMENTS(bench_deployments); i++) {
		planned(bench, &bench_deployments[i]);
		zone_out(bench, &bench_deployments[i]);
	}
}

const struct bench_group bench_churn = {"churn", run};
