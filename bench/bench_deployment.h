#ifndef TARRAGONFLOW_BENCH_DEPLOYMENT_H
#define TARRAGONFLOW_BENCH_DEPLOYMENT_H

#include "tests/scenarios/world.h"

/** One of the users' deployments of today. */
struct deployment_spec {
	const char *name;
	const char *zones[4];
	size_t n_zones;
	const char *services[2];
	/** Backend servers of each service. */
	int servers[2];
	int slots;
};

extern const struct deployment_spec deployment_huon;
extern const struct deployment_spec deployment_birchknot;

/** Balancers of a deployment. */
#define DEPLOYMENT_BALANCERS 4

/** Applies release 1 in @world and starts all processes of @spec. */
void deployment_start(struct world *world, const struct deployment_spec *spec,
		      uint32_t seed);

/** One more backend server of service @service with its agent. */
struct world_node *deployment_add_server(struct world *world, int service,
					 int number);

#endif
