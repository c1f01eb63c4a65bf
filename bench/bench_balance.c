#include <math.h>
#include <stdio.h>

#include "bench.h"
#include "bench_world.h"

/*
 * How evenly connections lie over warm servers, on the real cores, beside
 * what other ways would do with the very same connections: hashing over the
 * servers, the first candidate of the chain, and the exact shortest queue.
 */
#define SERVERS 7
#define SAMPLE_MS 50
#define WARM_UP_MS 40000
#define MEASURE_MS 100000
#define JSQ_FACTOR_MAX 1.15
#define OPEN_HOPS_MAX 0.30
#define LATER_HOPS_MAX 0.35

struct balance_case {
	const char *name;
	/** Mean connections for each server, and its limit. */
	double mean;
	uint32_t limit;
	double lifetime_ms;
	/** Bound of max/mean, 0 for the one against the shortest queue. */
	double bound;
	bool bound_hops;
};

/** How one way of placing spreads the connections. */
struct spread {
	unsigned int open[SERVERS];
	double sum;
	unsigned int samples;
};

static void spread_sample(struct spread *spread)
{
	unsigned int max = 0, all = 0;

	for (int i = 0; i < SERVERS; i++) {
		max = MAX(max, spread->open[i]);
		all += spread->open[i];
	}
	if (!all)
		return;
	spread->sum += (double)max * SERVERS / all;
	spread->samples++;
}

static double spread_mean(const struct spread *spread)
{
	return spread->samples ? spread->sum / spread->samples : 0;
}

static int64_t warm_servers(struct world *world, const char *service)
{
	for (unsigned int i = 1; i <= SERVERS; i++) {
		struct admit *admit =
			&bench_world_node(world, service, i)->agent.admit;

		admit->limit = admit->connections_max;
	}
	return world->now_ms;
}

static void sample_agents(struct world *world, const char *service,
			  struct spread *spread)
{
	for (unsigned int i = 0; i < SERVERS; i++)
		spread->open[i] = agent_connection_count(
			&bench_world_node(world, service, i + 1)->agent);
	spread_sample(spread);
}

/** Opening or end of a connection, for the ways that are only computed. */
struct change {
	int64_t at_ms;
	uint32_t caller;
	bool opens;
};

static int change_order(gconstpointer a, gconstpointer b)
{
	const struct change *x = a, *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	if (x->opens != y->opens)
		return x->opens ? 1 : -1;
	return x->caller < y->caller ? -1 : x->caller > y->caller;
}

static GArray *changes_of(struct world *world)
{
	GArray *changes = g_array_new(FALSE, FALSE, sizeof(struct change));

	for (guint i = 0; i < world->callers.callers->len; i++) {
		const struct caller *caller =
			g_ptr_array_index(world->callers.callers, i);
		struct change change = {caller->opened_ms, i, true};

		if (!caller->opened_ms)
			continue;
		g_array_append_val(changes, change);
		change.at_ms = caller->done_ms;
		change.opens = false;
		if (caller->done_ms)
			g_array_append_val(changes, change);
	}
	g_array_sort(changes, change_order);
	return changes;
}

/** A way of placing connections: the server for @caller. */
struct placement {
	unsigned int (*place)(struct world *world, const struct caller *caller,
			      const struct spread *spread);
};

static unsigned int place_hash(struct world *world, const struct caller *caller,
			       const struct spread *spread)
{
	(void)world;
	(void)spread;
	return (unsigned int)(flow_key_hash(&caller->key, 1) % SERVERS);
}

/* As the first version: the chain's first candidate while it has room. */
static unsigned int place_first(struct world *world,
				const struct caller *caller,
				const struct spread *spread)
{
	const struct world_node *balancer =
		bench_world_node(world, "balancer", 1);
	const struct view *view = balancer->view;
	const struct service_view *service =
		view_lookup_service(view, &caller->key);
	uint32_t bucket = view_bucket_of(view, service, &caller->key);
	const uint16_t *row = &service->chains[bucket * service->chain_len];

	for (int i = 0; i < service->chain_len; i++)
		if (spread->open[row[i]] <
		    (unsigned int)service->service.connections)
			return row[i];
	return row[0];
}

static unsigned int place_shortest(struct world *world,
				   const struct caller *caller,
				   const struct spread *spread)
{
	unsigned int best = 0;

	(void)world;
	(void)caller;
	for (unsigned int i = 1; i < SERVERS; i++)
		if (spread->open[i] < spread->open[best])
			best = i;
	return best;
}

static double replay(struct world *world, const GArray *changes,
		     int64_t from_ms, struct placement placement)
{
	uint8_t *owner = g_new0(uint8_t, world->callers.callers->len + 1);
	struct spread spread = {.samples = 0};
	int64_t next_ms = from_ms;

	for (guint i = 0; i < changes->len; i++) {
		const struct change *change =
			&g_array_index(changes, struct change, i);

		for (; next_ms < change->at_ms; next_ms += SAMPLE_MS)
			spread_sample(&spread);
		if (change->opens)
			owner[change->caller] = (uint8_t)placement.place(
				world,
				g_ptr_array_index(world->callers.callers,
						  change->caller),
				&spread);
		spread.open[owner[change->caller]] += change->opens ? 1 : -1U;
	}
	g_free(owner);
	return spread_mean(&spread);
}

static double counter_of(struct world *world, enum counter_id id)
{
	return bench_world_figure(world, counter_name(id));
}

static void figure(struct bench *bench, const struct balance_case *which,
		   const char *what, double value, enum bench_bound bound,
		   double limit)
{
	char name[64];

	snprintf(name, sizeof(name), "%s_%s", what, which->name);
	bench_figure(bench, BENCH_DECISION, name, value, "x", bound, limit);
}

/** Counters at the start of the measured time. */
struct hops {
	double open_hops, opened, later_hops, later;
};

static struct hops count_hops(struct world *world)
{
	struct hops hops = {
		.open_hops = counter_of(world, COUNTER_OPEN_FORWARDED),
		.opened = counter_of(world, COUNTER_FLOW_OPENED),
		.later_hops =
			counter_of(world, COUNTER_PACKET_FORWARDED_BY_AGENT),
		.later = counter_of(world, COUNTER_PACKET_DELIVERED_TO_SERVER),
	};

	hops.later -= hops.opened;
	return hops;
}

static void report_hops(struct bench *bench, const struct balance_case *which,
			const struct hops *a, const struct hops *b)
{
	enum bench_bound bound = which->bound_hops ? BENCH_AT_MOST
						   : BENCH_REPORT;

	figure(bench, which, "extra_hops_open",
	       (b->open_hops - a->open_hops) / (b->opened - a->opened), bound,
	       OPEN_HOPS_MAX);
	figure(bench, which, "extra_hops_later",
	       (b->later_hops - a->later_hops) / (b->later - a->later), bound,
	       LATER_HOPS_MAX);
}

static void report(struct bench *bench, const struct balance_case *which,
		   struct world *world, const struct spread *spread,
		   int64_t from_ms)
{
	GArray *changes = changes_of(world);
	double jsq = replay(world, changes, from_ms,
			    (struct placement){place_shortest});
	double ours = spread_mean(spread);

	figure(bench, which, "imbalance_hash",
	       replay(world, changes, from_ms, (struct placement){place_hash}),
	       BENCH_REPORT, 0);
	figure(bench, which, "imbalance_first_version",
	       replay(world, changes, from_ms, (struct placement){place_first}),
	       BENCH_REPORT, 0);
	figure(bench, which, "imbalance_shortest_queue", jsq, BENCH_REPORT, 0);
	figure(bench, which, "imbalance", ours,
	       which->bound > 0 ? BENCH_AT_MOST : BENCH_REPORT, which->bound);
	if (which->bound <= 0)
		figure(bench, which, "imbalance_to_shortest_queue", ours / jsq,
		       BENCH_AT_MOST, JSQ_FACTOR_MAX);
	g_array_free(changes, TRUE);
}

static void run_case(struct bench *bench, const struct balance_case *which)
{
	const struct bench_deployment *deployment = &bench_deployments[0];
	const char *service = deployment->services[0].name;
	struct spread spread = {.samples = 0};
	struct hops before, after;
	struct world world;
	int64_t start_ms, from_ms;
	struct bench_arrivals arrivals;

	bench_world_init(&world, deployment, which->limit, bench->seed);
	world.faults.delay_min_ms = 1;
	world.faults.delay_max_ms = 2;
	world_run(&world, 5000);
	start_ms = warm_servers(&world, service);
	from_ms = start_ms + WARM_UP_MS;
	bench_arrivals_init(&arrivals, &world,
			    which->mean * SERVERS / which->lifetime_ms,
			    which->lifetime_ms);
	while (world.now_ms < from_ms) {
		bench_arrivals_step(&arrivals, SAMPLE_MS);
		world_run(&world, SAMPLE_MS);
	}
	before = count_hops(&world);
	while (world.now_ms < from_ms + MEASURE_MS) {
		bench_arrivals_step(&arrivals, SAMPLE_MS);
		world_run(&world, SAMPLE_MS);
		sample_agents(&world, service, &spread);
	}
	after = count_hops(&world);
	report(bench, which, &world, &spread, from_ms);
	report_hops(bench, which, &before, &after);
	figure(bench, which, "balance_refused",
	       bench_world_figure(&world, "refused"), BENCH_REPORT, 0);
	world_finish(&world);
}

static void run(struct bench *bench)
{
	static const struct balance_case cases[] = {
		{"200", 200, 2000, 20000, 1.025, true},
		{"1400", 1400, 2000, 30000, 1.01, true},
		{"slots", 3.5, 5, 2000, 0, false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		run_case(bench, &cases[i]);
}

const struct bench_group bench_balance = {"balance", run};
