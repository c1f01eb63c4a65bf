#ifndef TARRAGONFLOW_BENCH_WORLD_H
#define TARRAGONFLOW_BENCH_WORLD_H

#include "tests/scenarios/world.h"

/**
 * Size and layout of one of the users' present deployments, to be run in a
 * simulated world (tests/scenarios/world.h).
 */
struct bench_deployment {
	/** Suffix of the names of figures. */
	const char *name;
	const char *zones[4];
	size_t n_zones;
	unsigned int n_balancers;
	struct {
		const char *name;
		/** Number of backend servers. */
		unsigned int n_servers;
		/** Concurrent requests of each backend server. */
		unsigned int slots;
	} services[2];
};

extern const struct bench_deployment bench_deployments[2];

/**
 * Initializes @world and starts all processes of @deployment; every backend
 * server has a limit of @connection_limit connections. Aborts on failure.
 */
void bench_world_init(struct world *world,
		      const struct bench_deployment *deployment,
		      uint32_t connection_limit, uint64_t seed);

/** Returns the figure @name of world_read_figure(); aborts if unknown. */
double bench_world_figure(struct world *world, const char *name);

/** Returns the process named @name-@number; aborts if there is none. */
struct world_node *bench_world_node(struct world *world, const char *name,
				    unsigned int number);

/** Applies the manifest of @world as the next release; aborts on failure. */
void bench_world_apply_release(struct world *world);

/**
 * Adds @n_connections to the service with index @service. They open at random
 * times within the next @over_ms; each sends @n_payloads payloads, @mean_gap_ms
 * apart on average.
 */
void bench_world_add_connections(struct world *world, size_t service,
				 unsigned int n_connections, int over_ms,
				 int n_payloads, int mean_gap_ms);

/** Poisson arrivals at the first service, with heavy-tailed lifetimes. */
struct bench_arrivals {
	struct world *world;
	double connections_per_ms;
	double mean_lifetime_ms;
	/** Simulated time of the next arrival, ms. */
	double next_ms;
};

void bench_arrivals_init(struct bench_arrivals *arrivals, struct world *world,
			 double connections_per_ms, double mean_lifetime_ms);

/** Adds the connections that arrive in the next @ms of simulated time. */
void bench_arrivals_add(struct bench_arrivals *arrivals, int64_t ms);

#endif
