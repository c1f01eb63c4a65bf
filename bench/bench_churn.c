#include <stdio.h>

#include "bench.h"
#include "bench_world.h"

/*
 * Whether connections survive overlapping planned changes and a zone that goes
 * out of service, while processes use different views and packets are lost,
 * duplicated and delayed.
 */
#define N_CONNECTIONS 20000
#define WARM_UP_CONNECTIONS 3000
#define CONNECTION_LIMIT 2000
#define OPEN_MS 80000
#define WARM_UP_MS 15000
#define SETTLE_MS 60000
#define PAYLOADS 10
#define MEAN_GAP_MS 1000
#define VIEW_LAG_MAX_MS 3000
#define ROUND_MS 5000
#define ROUNDS (OPEN_MS / ROUND_MS)
/* Share of messages that are lost, and that are duplicated. */
#define FAULT_RATE 0.01
#define MS_PER_S 1000.0
#define LAST_PACKET_MAX_S 3

static void set_faults(struct world *world, double control_loss)
{
	world->faults.data_loss = FAULT_RATE;
	world->faults.data_duplication = FAULT_RATE;
	world->faults.control_loss = control_loss;
	world->faults.control_duplication = FAULT_RATE;
	world->faults.delay_min_ms = 1;
	world->faults.delay_max_ms = 20;
}

/*
 * A new view takes effect up to three seconds later on one process than on
 * another. Where the time of the last packet to a zone is measured, only the
 * views of balancers are delayed: an agent acts at once when its zone goes out
 * of service.
 */
static void set_random_view_lag(struct world *world, struct world_node *node)
{
	node->view_delay_ms =
		g_rand_int_range(world->rand, 0, VIEW_LAG_MAX_MS + 1);
}

static void start_world(struct world *world,
			const struct bench_deployment *deployment,
			uint64_t seed, double control_loss)
{
	bench_world_init(world, deployment, CONNECTION_LIMIT, seed);
	for (guint i = 0; i < world->nodes->len; i++)
		set_random_view_lag(world, g_ptr_array_index(world->nodes, i));
	world_run(world, VIEW_LAG_MAX_MS + 2000);
	set_faults(world, control_loss);
	for (size_t i = 0; i < 2; i++)
		bench_world_add_connections(world, i, WARM_UP_CONNECTIONS / 2,
					    WARM_UP_MS, PAYLOADS, MEAN_GAP_MS);
	world_run(world, WARM_UP_MS);
}

/* Restarts each drained server that has no connection left; it is cold. */
static void restart_drained(struct world *world)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world->nodes, i);

		if (!node->drained_at_ms ||
		    agent_connection_count(&node->agent))
			continue;
		world_kill_node(node);
		world_restart_server(node, ROUND_MS);
		world_start_node(node);
	}
}

static void replace_balancer(struct world *world, unsigned int number)
{
	world_kill_node(bench_world_node(world, "balancer", number));
	set_random_view_lag(world, world_add_balancer(world));
}

/* Starts the changes of one round; those of successive rounds overlap. */
static void apply_planned_changes(struct world *world,
				  const struct bench_deployment *deployment,
				  unsigned int round)
{
	const char *first_service = deployment->services[0].name;
	const char *second_service = deployment->services[1].name;
	const struct service *services = world->manifest.services;

	switch (round % 4) {
	case 0:
		set_random_view_lag(world,
				    world_add_server(world, &services[0]));
		world_drain(
			bench_world_node(world, first_service, round / 4 + 1));
		break;
	case 1:
		replace_balancer(world, round / 4 + 1);
		bench_world_apply_release(world);
		break;
	case 2:
		world_replace_agent(
			bench_world_node(world, first_service,
					 deployment->services[0].n_servers));
		world_replace_agent(bench_world_node(world, second_service, 1));
		set_random_view_lag(world,
				    world_add_server(world, &services[1]));
		break;
	default:
		world_drain(
			bench_world_node(world, second_service, round / 4 + 1));
		bench_world_apply_release(world);
		break;
	}
}

static void report_figure(struct bench *bench, struct world *world,
			  const struct bench_deployment *deployment,
			  const char *prefix, const char *world_figure_name,
			  double divisor, enum bench_bound bound, double limit,
			  const char *unit)
{
	char name[96];

	snprintf(name, sizeof(name), "%s_%s", prefix, deployment->name);
	bench_figure(bench, BENCH_DECISION, name,
		     bench_world_figure(world, world_figure_name) / divisor,
		     unit, bound, limit);
}

static void measure_planned_changes(struct bench *bench,
				    const struct bench_deployment *deployment)
{
	unsigned int n_connections =
		(unsigned int)bench_env("FLOWS", N_CONNECTIONS);
	struct world world;

	start_world(&world, deployment, bench->seed, FAULT_RATE);
	bench_world_add_connections(&world, 0, n_connections * 2 / 3, OPEN_MS,
				    PAYLOADS, MEAN_GAP_MS);
	bench_world_add_connections(&world, 1,
				    n_connections - n_connections * 2 / 3,
				    OPEN_MS, PAYLOADS, MEAN_GAP_MS);
	for (unsigned int round = 0; round < ROUNDS; round++) {
		apply_planned_changes(&world, deployment, round);
		world_run(&world, ROUND_MS);
		restart_drained(&world);
	}
	world_run(&world, SETTLE_MS);
	report_figure(bench, &world, deployment, "churn_connections", "opened",
		      1, BENCH_AT_LEAST, n_connections, "");
	report_figure(bench, &world, deployment, "broken_planned", "broken", 1,
		      BENCH_EQUAL, 0, "");
	report_figure(bench, &world, deployment, "churn_refused", "refused", 1,
		      BENCH_REPORT, 0, "");
	report_figure(bench, &world, deployment, "churn_unfinished", "open", 1,
		      BENCH_EQUAL, 0, "");
	report_figure(bench, &world, deployment, "wrong_service_packets",
		      "wrong_service_packets", 1, BENCH_EQUAL, 0, "");
	report_figure(bench, &world, deployment, "wrong_answers",
		      "wrong_answers", 1, BENCH_EQUAL, 0, "");
	report_figure(bench, &world, deployment, "cold_over_limit_churn",
		      "cold_over_limit", 1, BENCH_EQUAL, 0, "");
	report_figure(bench, &world, deployment, "drain_last_new_work_s",
		      "drain_last_ms", MS_PER_S, BENCH_AT_MOST,
		      LAST_PACKET_MAX_S, "s");
	world_finish(&world);
}

/* The first zone goes out of service while callers are connected. */
static void measure_zone_out(struct bench *bench,
			     const struct bench_deployment *deployment)
{
	struct world world;

	start_world(&world, deployment, bench->seed, 0.5);
	for (guint i = 0; i < world.nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world.nodes, i);

		if (node->options.self.role == MEMBER_AGENT)
			node->view_delay_ms = 0;
	}
	for (size_t i = 0; i < 2; i++)
		bench_world_add_connections(&world, i, N_CONNECTIONS / 10,
					    OPEN_MS / 4, PAYLOADS, MEAN_GAP_MS);
	world_run(&world, OPEN_MS / 8);
	world.manifest.zones[0].state = ZONE_OUT_OF_SERVICE;
	bench_world_apply_release(&world);
	world_run(&world, OPEN_MS / 8 + SETTLE_MS);
	report_figure(bench, &world, deployment, "broken_zone_out", "broken", 1,
		      BENCH_REPORT, 0, "");
	report_figure(bench, &world, deployment, "broken_zone_out_elsewhere",
		      "broken_elsewhere", 1, BENCH_EQUAL, 0, "");
	report_figure(bench, &world, deployment, "zone_out_last_packet_s",
		      "zone_out_last_ms", MS_PER_S, BENCH_AT_MOST,
		      LAST_PACKET_MAX_S, "s");
	world_finish(&world);
}

static void run(struct bench *bench)
{
	for (size_t i = 0; i < G_N_ELEMENTS(bench_deployments); i++) {
		measure_planned_changes(bench, &bench_deployments[i]);
		measure_zone_out(bench, &bench_deployments[i]);
	}
}

const struct bench_group bench_churn = {"churn", run};
