#include "bench_world.h"

#include <math.h>
#include <stdio.h>

#define SERVICE_NET 0x0a4d0000u /* 10.77.0.0 */
#define SERVICE_PORT 8080
#define PARETO_SHAPE 1.5
/* Longest lifetime as a multiple of the mean. */
#define LIFETIME_MAX_FACTOR 20

const struct bench_deployment bench_deployments[2] = {
	{.name = "huon",
	 .zones = {"tas-a", "tas-b", "tas-c"},
	 .n_zones = 3,
	 .n_balancers = 3,
	 .services = {{"orders", 7, 5}, {"assessing", 3, 5}}},
	{.name = "birchknot",
	 .zones = {"inverness-a", "inverness-b", "elgin", "nairn"},
	 .n_zones = 4,
	 .n_balancers = 4,
	 .services = {{"shopfront", 7, 6}, {"sortdesk", 4, 6}}},
};

static void make_manifest(struct manifest *manifest,
			  const struct bench_deployment *deployment,
			  uint32_t connection_limit)
{
	name_set(&manifest->deployment, str_from(deployment->name));
	manifest->release = 1;
	manifest->n_zones = deployment->n_zones;
	manifest->zones = g_new0(struct zone, manifest->n_zones);
	for (size_t i = 0; i < manifest->n_zones; i++)
		name_set(&manifest->zones[i].name,
			 str_from(deployment->zones[i]));
	manifest->n_services = G_N_ELEMENTS(deployment->services);
	manifest->services = g_new0(struct service, manifest->n_services);
	for (size_t i = 0; i < manifest->n_services; i++) {
		struct service *service = &manifest->services[i];
		uint32_t ip =
			GUINT32_TO_BE(SERVICE_NET + (uint32_t)(i + 1) * 10);

		name_set(&service->name,
			 str_from(deployment->services[i].name));
		service->id = service_id(&service->name);
		ip_addr_from_v4(&service->address, (const uint8_t *)&ip);
		service->port = SERVICE_PORT;
		service->connections = connection_limit;
		service->slots = deployment->services[i].slots;
		service->drain_deadline_s = 3600;
		service->idle_timeout_s = 3600;
		service->answer_ms = 20;
		service->buckets = 1024;
	}
}

void bench_world_init(struct world *world,
		      const struct bench_deployment *deployment,
		      uint32_t connection_limit, uint64_t seed)
{
	struct status status;

	status_init(&status);
	world_init(world, (uint32_t)seed);
	make_manifest(&world->manifest, deployment, connection_limit);
	if (world_apply(world, &status) != STATUS_OK)
		g_error("cannot apply release: %s", status.message);
	for (unsigned int i = 0; i < deployment->n_balancers; i++)
		world_add_balancer(world);
	for (size_t i = 0; i < world->manifest.n_services; i++)
		for (unsigned int j = 0; j < deployment->services[i].n_servers;
		     j++)
			world_add_server(world, &world->manifest.services[i]);
}

double bench_world_figure(struct world *world, const char *name)
{
	double value;

	if (!world_read_figure(world, name, &value))
		g_error("unknown figure '%s'", name);
	return value;
}

struct world_node *bench_world_node(struct world *world, const char *name,
				    unsigned int number)
{
	char text[2 * NAME_MAX_LEN];
	struct world_node *node;

	snprintf(text, sizeof(text), "%s-%u", name, number);
	node = world_find_node(world, text);
	if (!node)
		g_error("unknown process '%s'", text);
	return node;
}

void bench_world_apply_release(struct world *world)
{
	struct status status;

	status_init(&status);
	world->manifest.release++;
	if (world_apply(world, &status) != STATUS_OK)
		g_error("cannot apply release: %s", status.message);
}

void bench_world_add_connections(struct world *world, size_t service,
				 unsigned int n_connections, int over_ms,
				 int n_payloads, int mean_gap_ms)
{
	while (n_connections--)
		caller_pool_add(&world->callers,
				&world->manifest.services[service],
				world->now_ms + g_rand_int_range(world->rand, 0,
								 over_ms + 1),
				n_payloads, mean_gap_ms);
}

static double draw_pareto_ms(GRand *rand, double mean_ms)
{
	double scale_ms = mean_ms * (PARETO_SHAPE - 1) / PARETO_SHAPE;
	double drawn_ms =
		scale_ms / pow(1 - g_rand_double(rand), 1 / PARETO_SHAPE);

	return MIN(drawn_ms, mean_ms * LIFETIME_MAX_FACTOR);
}

void bench_arrivals_init(struct bench_arrivals *arrivals, struct world *world,
			 double connections_per_ms, double mean_lifetime_ms)
{
	arrivals->world = world;
	arrivals->connections_per_ms = connections_per_ms;
	arrivals->mean_lifetime_ms = mean_lifetime_ms;
	arrivals->next_ms = (double)world->now_ms;
}

void bench_arrivals_add(struct bench_arrivals *arrivals, int64_t ms)
{
	struct world *world = arrivals->world;

	while (arrivals->next_ms < (double)(world->now_ms + ms)) {
		double lifetime_ms =
			draw_pareto_ms(world->rand, arrivals->mean_lifetime_ms);

		/* A caller waits for a gap before and after its payload. */
		caller_pool_add(&world->callers, &world->manifest.services[0],
				(int64_t)arrivals->next_ms, 1,
				(int64_t)(lifetime_ms / 2));
		arrivals->next_ms -= log(1 - g_rand_double(world->rand)) /
				     arrivals->connections_per_ms;
	}
}
