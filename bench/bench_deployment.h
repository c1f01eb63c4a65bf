#ifndef TARRAGONFLOW_BENCH_DEPLOYMENT_H
#define TARRAGONFLOW_BENCH_DEPLOYMENT_H

#include "tests/scenarios/world.h"

/** Size and layout of one of the users' present deployments. */
struct deployment_spec {
	const char *name;
	const char *zones[4];
	size_t n_zones;
	const char *services[2];
	/** Number of backend servers of each service. */
	int n_servers[2];
	/** Concurrent requests of each backend server. */
	int slots;
};

extern const struct deployment_spec deployment_huon;
extern const struct deployment_spec deployment_birchknot;

/** Number of balancers of a deployment. */
#define DEPLOYMENT_BALANCERS 4

/**
 * Initializes @world, applies release 1 and starts all processes of @spec.
 * Aborts on failure.
 */
void deployment_start(struct world *world, const struct deployment_spec *spec,
		      uint32_t seed);

/**
 * Adds a backend server and its agent to the service with index @service;
 * @number makes the name and address unique.
 */
struct world_node *deployment_add_server(struct world *world, int service,
					 int number);

#endif
