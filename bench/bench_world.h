#ifndef TARRAGONFLOW_BENCH_WORLD_H
#define TARRAGONFLOW_BENCH_WORLD_H

#include "tests/scenarios/world.h"

/** The deployments of today, for benches over the scenarios' world. */
struct bench_deployment {
	/** Short, for names of figures. */
	const char *name;
	const char *zones[4];
	size_t n_zones;
	unsigned int balancers;
	struct {
		const char *name;
		unsigned int servers;
		unsigned int slots;
	} services[2];
};

extern const struct bench_deployment bench_deployments[2];

/** Starts @deployment; every server carries @connections. */
void bench_world_init(struct world *world,
		      const struct bench_deployment *deployment,
		      uint32_t connections, uint64_t seed);

/** The figure called @name of the run. */
double bench_world_figure(struct world *world, const char *name);

/** The process called NAME-NUMBER. */
struct world_node *bench_world_node(struct world *world, const char *name,
				    unsigned int number);

/** Applies the next release. */
void bench_world_release(struct world *world);

/** Adds @n connections that open over @over_ms. */
void bench_world_load(struct world *world, size_t service, unsigned int n,
		      int over_ms, int lines, int gap_ms);

/** Poisson arrivals at the first service, with heavy-tailed lifetimes. */
struct bench_arrivals {
	struct world *world;
	/** Connections per ms. */
	double rate;
	double lifetime_ms;
	double next_ms;
};

void bench_arrivals_init(struct bench_arrivals *arrivals, struct world *world,
			 double rate, double lifetime_ms);

/** Adds what arrives in the next @ms. */
void bench_arrivals_step(struct bench_arrivals *arrivals, int64_t ms);

#endif
