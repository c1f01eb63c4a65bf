#include <math.h>
#include <stdio.h>

#include "bench.h"
#include "bench_world.h"

/*
 * How evenly the real cores spread connections over warm servers, compared
 * with other placement policies applied to the same connections: hashing over
 * the servers, the first candidate of the chain, and join-the-shortest-queue
 * with exact loads. Imbalance is the connections of the fullest server divided
 * by the mean over all servers.
 */
#define N_SERVERS 7
#define SAMPLE_MS 50
#define WARM_UP_MS 40000
#define MEASURE_MS 100000
#define SHORTEST_QUEUE_FACTOR_MAX 1.15
/* Bounds of the forwards between agents per connection and per later packet. */
#define SYN_HOPS_MAX 0.30
#define LATER_HOPS_MAX 0.35

struct balance_case {
	const char *name;
	/** Mean number of connections of a server, and its limit. */
	double mean_connections;
	uint32_t connection_limit;
	double mean_lifetime_ms;
	/**
	 * Bound of the imbalance; 0: instead, it is bounded relative to that
	 * of join-the-shortest-queue.
	 */
	double imbalance_max;
	/** Whether SYN_HOPS_MAX and LATER_HOPS_MAX apply. */
	bool hops_are_bounded;
};

/**
 * Open connections of each server now, and the sum of the imbalance over
 * samples at regular times.
 */
struct spread {
	unsigned int open_connections[N_SERVERS];
	double imbalance_sum;
	unsigned int n_samples;
};

static void spread_sample(struct spread *spread)
{
	unsigned int max = 0, total = 0;

	for (int i = 0; i < N_SERVERS; i++) {
		max = MAX(max, spread->open_connections[i]);
		total += spread->open_connections[i];
	}
	if (!total)
		return;
	spread->imbalance_sum += (double)max * N_SERVERS / total;
	spread->n_samples++;
}

static double spread_mean_imbalance(const struct spread *spread)
{
	return spread->n_samples ? spread->imbalance_sum / spread->n_samples
				 : 0;
}

/* Raises all admission limits, as on warm servers; returns world->now_ms. */
static int64_t set_limits_to_max(struct world *world, const char *service)
{
	for (unsigned int i = 1; i <= N_SERVERS; i++) {
		struct admit *admit =
			&bench_world_node(world, service, i)->agent.admit;

		admit->limit = admit->connections_max;
	}
	return world->now_ms;
}

static void sample_agents(struct world *world, const char *service,
			  struct spread *spread)
{
	for (unsigned int i = 0; i < N_SERVERS; i++)
		spread->open_connections[i] = agent_connection_count(
			&bench_world_node(world, service, i + 1)->agent);
	spread_sample(spread);
}

/** Start or end of a connection, as input for the other policies. */
struct connection_event {
	int64_t time_ms;
	/** Index in world->callers.callers. */
	uint32_t caller;
	bool is_start;
};

static int compare_events(gconstpointer a, gconstpointer b)
{
	const struct connection_event *first = a, *second = b;

	if (first->time_ms != second->time_ms)
		return first->time_ms < second->time_ms ? -1 : 1;
	if (first->is_start != second->is_start)
		return first->is_start ? 1 : -1;
	return first->caller < second->caller ? -1
					      : first->caller > second->caller;
}

static GArray *list_events(struct world *world)
{
	GArray *events =
		g_array_new(FALSE, FALSE, sizeof(struct connection_event));

	for (guint i = 0; i < world->callers.callers->len; i++) {
		const struct caller *caller =
			g_ptr_array_index(world->callers.callers, i);
		struct connection_event event = {caller->opened_ms, i, true};

		if (!caller->opened_ms)
			continue;
		g_array_append_val(events, event);
		event.time_ms = caller->ended_ms;
		event.is_start = false;
		if (caller->ended_ms)
			g_array_append_val(events, event);
	}
	g_array_sort(events, compare_events);
	return events;
}

/** A placement policy: returns the index of the server for @caller. */
struct placement {
	unsigned int (*place)(struct world *world, const struct caller *caller,
			      const struct spread *spread);
};

static unsigned int place_hash(struct world *world, const struct caller *caller,
			       const struct spread *spread)
{
	(void)world;
	(void)spread;
	return (unsigned int)(flow_key_hash(&caller->key, 1) % N_SERVERS);
}

/*
 * Policy of the product's first version: the first server of the bucket's chain
 * that is below its connection limit.
 */
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
	const uint16_t *chain = &service->chains[bucket * service->chain_len];
	struct packet_header header;

	/* Computes the chain if the balancer has not used it. */
	view_fill_chain(service, bucket, &header);
	for (int i = 0; i < service->chain_len; i++)
		if (spread->open_connections[chain[i]] <
		    (unsigned int)service->service.connections)
			return chain[i];
	return chain[0];
}

static unsigned int place_shortest(struct world *world,
				   const struct caller *caller,
				   const struct spread *spread)
{
	unsigned int least_loaded = 0;

	(void)world;
	(void)caller;
	for (unsigned int i = 1; i < N_SERVERS; i++)
		if (spread->open_connections[i] <
		    spread->open_connections[least_loaded])
			least_loaded = i;
	return least_loaded;
}

/*
 * Places the connections of @events by the policy @placement. Returns the mean
 * imbalance from @measure_start_ms on.
 */
static double replay_events(struct world *world, const GArray *events,
			    int64_t measure_start_ms,
			    struct placement placement)
{
	uint8_t *server_of = g_new0(uint8_t, world->callers.callers->len + 1);
	struct spread spread = {.n_samples = 0};
	int64_t next_ms = measure_start_ms;

	for (guint i = 0; i < events->len; i++) {
		const struct connection_event *event =
			&g_array_index(events, struct connection_event, i);

		for (; next_ms < event->time_ms; next_ms += SAMPLE_MS)
			spread_sample(&spread);
		if (event->is_start)
			server_of[event->caller] = (uint8_t)placement.place(
				world,
				g_ptr_array_index(world->callers.callers,
						  event->caller),
				&spread);
		spread.open_connections[server_of[event->caller]] +=
			event->is_start ? 1 : -1U;
	}
	g_free(server_of);
	return spread_mean_imbalance(&spread);
}

static double read_counter(struct world *world, enum counter_id id)
{
	return bench_world_figure(world, counter_name(id));
}

static void report_figure(struct bench *bench,
			  const struct balance_case *config, const char *prefix,
			  double value, enum bench_bound bound, double limit)
{
	char name[64];

	snprintf(name, sizeof(name), "%s_%s", prefix, config->name);
	bench_figure(bench, BENCH_DECISION, name, value, "x", bound, limit);
}

/** Counts of packets, to compute how often agents forward them to others. */
struct hop_counters {
	/** SYNs that were forwarded between agents; connections opened. */
	double forwarded_syns, opened;
	/** Later packets: those forwarded between agents; all. */
	double forwarded_later, later_packets;
};

static struct hop_counters read_hop_counters(struct world *world)
{
	struct hop_counters counters = {
		.forwarded_syns = read_counter(world, COUNTER_OPEN_FORWARDED),
		.opened = read_counter(world, COUNTER_FLOW_OPENED),
		.forwarded_later =
			read_counter(world, COUNTER_PACKET_FORWARDED_BY_AGENT),
		.later_packets =
			read_counter(world, COUNTER_PACKET_DELIVERED_TO_SERVER),
	};

	counters.later_packets -= counters.opened;
	return counters;
}

static void report_hops(struct bench *bench, const struct balance_case *config,
			const struct hop_counters *before,
			const struct hop_counters *after)
{
	enum bench_bound bound = config->hops_are_bounded ? BENCH_AT_MOST
							  : BENCH_REPORT;

	report_figure(bench, config, "extra_hops_open",
		      (after->forwarded_syns - before->forwarded_syns) /
			      (after->opened - before->opened),
		      bound, SYN_HOPS_MAX);
	report_figure(bench, config, "extra_hops_later",
		      (after->forwarded_later - before->forwarded_later) /
			      (after->later_packets - before->later_packets),
		      bound, LATER_HOPS_MAX);
}

static void report_imbalance(struct bench *bench,
			     const struct balance_case *config,
			     struct world *world, const struct spread *spread,
			     int64_t measure_start_ms)
{
	GArray *events = list_events(world);
	double shortest_queue =
		replay_events(world, events, measure_start_ms,
			      (struct placement){place_shortest});
	double measured = spread_mean_imbalance(spread);

	report_figure(bench, config, "imbalance_hash",
		      replay_events(world, events, measure_start_ms,
				    (struct placement){place_hash}),
		      BENCH_REPORT, 0);
	report_figure(bench, config, "imbalance_first_version",
		      replay_events(world, events, measure_start_ms,
				    (struct placement){place_first}),
		      BENCH_REPORT, 0);
	report_figure(bench, config, "imbalance_shortest_queue", shortest_queue,
		      BENCH_REPORT, 0);
	report_figure(bench, config, "imbalance", measured,
		      config->imbalance_max > 0 ? BENCH_AT_MOST : BENCH_REPORT,
		      config->imbalance_max);
	if (config->imbalance_max <= 0)
		report_figure(bench, config, "imbalance_to_shortest_queue",
			      measured / shortest_queue, BENCH_AT_MOST,
			      SHORTEST_QUEUE_FACTOR_MAX);
	g_array_free(events, TRUE);
}

static void run_case(struct bench *bench, const struct balance_case *config)
{
	const struct bench_deployment *deployment = &bench_deployments[0];
	const char *service = deployment->services[0].name;
	struct spread spread = {.n_samples = 0};
	struct hop_counters before, after;
	struct world world;
	int64_t start_ms, measure_start_ms;
	struct bench_arrivals arrivals;

	bench_world_init(&world, deployment, config->connection_limit,
			 bench->seed);
	world.faults.delay_min_ms = 1;
	world.faults.delay_max_ms = 2;
	world_run(&world, 5000);
	start_ms = set_limits_to_max(&world, service);
	measure_start_ms = start_ms + WARM_UP_MS;
	bench_arrivals_init(&arrivals, &world,
			    config->mean_connections * N_SERVERS /
				    config->mean_lifetime_ms,
			    config->mean_lifetime_ms);
	while (world.now_ms < measure_start_ms) {
		bench_arrivals_add(&arrivals, SAMPLE_MS);
		world_run(&world, SAMPLE_MS);
	}
	before = read_hop_counters(&world);
	while (world.now_ms < measure_start_ms + MEASURE_MS) {
		bench_arrivals_add(&arrivals, SAMPLE_MS);
		world_run(&world, SAMPLE_MS);
		sample_agents(&world, service, &spread);
	}
	after = read_hop_counters(&world);
	report_imbalance(bench, config, &world, &spread, measure_start_ms);
	report_hops(bench, config, &before, &after);
	report_figure(bench, config, "balance_refused",
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
