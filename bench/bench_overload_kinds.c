#include <glib.h>
#include <limits.h>
#include <math.h>
#include <stdio.h>

#include "bench.h"
#include "tarragonflow/admit/admit.h"
#include "tarragonflow/admit/waiting_syns.h"
#include "tarragonflow/admit/work_left.h"

/*
 * Simulations of a lasting overload with two kinds of requests, by both choices
 * of the setting `placement`: the users' deployments A and B, see
 * docs/design/work-left.md, at 110% and 150% of capacity from 2 s to 5 s. Each
 * request has a connection of its own; callers abandon it after 1400 ms.
 */
#define SERVERS_MAX 46
#define SLOTS_MAX 4
#define CONNECTION_LIMIT 2000
#define COMPARE_INTERVAL_MS 1000
#define MEAN_SERVICE_MS 45
#define ATTEMPT_TIMEOUT_MS 1400
#define LOAD_REPORT_INTERVAL_MS 40
#define END_MS 12000
#define REQUESTS_MAX 40000
#define PEAK_START_MS 2000
#define PEAK_END_MS 5000
#define PEAK_SECONDS ((PEAK_END_MS - PEAK_START_MS) / 1000)
#define KINDS 2
/* Sigma of the logarithm of service times. */
#define SERVICE_SIGMA 0.5
/* Share of long requests, and their service time relative to the others. */
#define LONG_SHARE 0.03
#define LONG_FACTOR 7
/* Share of capacity that is in use outside of the peak. */
#define USUAL_LOAD 0.6

/** A kind of request: a route with its service times. */
struct kind {
	uint16_t priority;
	/** Share of all requests. */
	double share;
	/** Mean service time without long requests, ms. */
	double mean_ms;
	int64_t objective_ms;
};

struct deployment {
	/** Number of servers, and of concurrent requests at each. */
	int n_servers, slots;
	/** Requests per second at full load. */
	double full_rate_per_s;
	struct kind kinds[KINDS];
	/** Whether LONG_SHARE of the requests are long. */
	bool has_long;
};

struct pattern {
	const char *name;
	const struct deployment *deployment;
	/** Share of capacity that arrives in the peak. */
	double peak_load;
};

/* 92 slots, 32 ms each. */
static const struct deployment deployment_a = {
	46,    2,
	2875,  {{1, 375.0 / 1687, 39, 300}, {2, 1312.0 / 1687, 30, 250}},
	false,
};

/* 180 slots, 59.1 ms each. */
static const struct deployment deployment_b = {
	45,   4,
	3045, {{1, 286.0 / 1286, 61, 400}, {2, 1000.0 / 1286, 47, 400}},
	true,
};

static const struct pattern patterns[] = {
	{"a_110", &deployment_a, 1.1},
	{"a_150", &deployment_a, 1.5},
	{"b_110", &deployment_b, 1.1},
	{"b_150", &deployment_b, 1.5},
};

struct request {
	/** When it was sent, started at a server and completed, ms. */
	int64_t sent_ms, started_ms, done_ms;
	int64_t service_ms;
	/** When its caller was refused, ms; 0: not. */
	int64_t refused_ms;
	uint8_t kind;
};

struct server {
	struct admit admit;
	/** Index of the request in each slot, and when it ends; 0: free, ms. */
	int slot_request[SLOTS_MAX];
	int64_t busy_until_ms[SLOTS_MAX];
	struct waiting_syns queue;
	/** Latest reported load, to which the balancers add the requests that
	 * they have sent since. */
	double reported_load;
};

struct simulation {
	const struct deployment *deployment;
	bool by_work;
	GRand *rand;
	struct request requests[REQUESTS_MAX];
	int n_requests;
	struct server servers[SERVERS_MAX];
};

/** Shares in % of the requests that were sent in the peak, by kind. */
struct result {
	double in_time[KINDS], p99_ms[KINDS];
	/** In time or late. */
	double served[KINDS];
	/** Mean wait of refused callers, ms. */
	double refused_after_ms;
	/** Least number of responses to a kind in a second of the peak. */
	int min_served;
};

static void report_loads(struct simulation *simulation, int64_t now_ms)
{
	for (int i = 0; i < simulation->deployment->n_servers; i++) {
		struct server *server = &simulation->servers[i];

		server->reported_load = admit_load(&server->admit, now_ms);
	}
}

/* Each agent compares its mean response time with those of the others. */
static void compare_servers(struct simulation *simulation)
{
	int n_servers = simulation->deployment->n_servers;

	for (int i = 0; i < n_servers; i++) {
		uint16_t peers_ms[SERVERS_MAX];
		size_t n = 0;

		for (int j = 0; j < n_servers; j++) {
			double ms =
				simulation->servers[j].admit.mean_response_ms;

			if (j != i && ms >= 1)
				peers_ms[n++] = (uint16_t)ms;
		}
		admit_compare_peers(&simulation->servers[i].admit, peers_ms, n);
	}
}

static struct server *choose_server(struct simulation *simulation)
{
	const struct deployment *deployment = simulation->deployment;
	struct server *best = &simulation->servers[0];

	for (int i = 1; i < deployment->n_servers; i++)
		if (simulation->servers[i].reported_load < best->reported_load)
			best = &simulation->servers[i];
	if (simulation->by_work)
		best->reported_load =
			work_left_add((uint16_t)best->reported_load, 1,
				      (uint32_t)deployment->slots);
	else
		best->reported_load +=
			(double)ADMIT_LOAD_SLOTS_FULL / deployment->slots / 2;
	return best;
}

static void draw_request(struct simulation *simulation, struct request *request)
{
	const struct deployment *deployment = simulation->deployment;
	GRand *rand = simulation->rand;
	/* The sum of 12 uniform numbers is nearly normal with variance 1. */
	double normal = -6, ms;

	request->kind = g_rand_double(rand) >= deployment->kinds[0].share;
	for (int i = 0; i < 12; i++)
		normal += g_rand_double(rand);
	ms = deployment->kinds[request->kind].mean_ms *
	     exp(SERVICE_SIGMA * normal - SERVICE_SIGMA * SERVICE_SIGMA / 2);
	if (deployment->has_long && g_rand_double(rand) < LONG_SHARE)
		ms *= LONG_FACTOR;
	request->service_ms = (int64_t)(ms + 0.5);
}

static int64_t mean_service_ms(const struct server *server)
{
	double ms = server->admit.mean_response_ms;

	return ms > 0 ? (int64_t)ms : MEAN_SERVICE_MS;
}

/* Whether the agent of @server refuses the request of @entry at once. */
static bool would_expire(const struct simulation *simulation,
			 const struct server *server,
			 const struct waiting *entry, int64_t now_ms)
{
	uint32_t slots = (uint32_t)simulation->deployment->slots;
	struct waiting_service service = {
		.slot_wait_ms = (int64_t)cost_slot_wait_ms(&server->admit.cost,
							   slots, now_ms),
		.service_ms = entry->service_ms,
		.slots = slots,
	};

	return waiting_syns_would_expire(&server->queue, entry, now_ms,
					 &service);
}

static void add_request(struct simulation *simulation, int64_t now_ms)
{
	int id = simulation->n_requests;
	struct request *request = &simulation->requests[id];
	const struct kind *kind;
	struct server *server;
	struct waiting entry = {.id = (uint64_t)id, .sent_ms = now_ms};

	if (id == REQUESTS_MAX)
		return;
	server = choose_server(simulation);
	request->sent_ms = now_ms;
	draw_request(simulation, request);
	kind = &simulation->deployment->kinds[request->kind];
	entry.objective_ms = kind->objective_ms;
	entry.priority = kind->priority;
	simulation->n_requests++;
	if (simulation->by_work) {
		entry.service_ms = (int64_t)ceil(
			cost_expected_ms(&server->admit.cost, request->kind));
		if (would_expire(simulation, server, &entry, now_ms)) {
			request->refused_ms = now_ms;
			return;
		}
	}
	if (waiting_syns_add(&server->queue, &entry))
		admit_adjust_waiting(&server->admit, request->kind, 1);
}

/* Takes the next request for a free slot out of the queue, or returns NULL. */
static struct request *take_next_request(struct simulation *simulation,
					 struct server *server, int64_t now_ms)
{
	struct waiting entry;
	struct request *request;

	while (waiting_syns_pop_expired(&server->queue, now_ms, &entry)) {
		request = &simulation->requests[entry.id];
		request->refused_ms = now_ms;
		admit_adjust_waiting(&server->admit, request->kind, -1);
	}
	if (!waiting_syns_pop(&server->queue, now_ms, mean_service_ms(server),
			      &entry))
		return NULL;
	request = &simulation->requests[entry.id];
	admit_adjust_waiting(&server->admit, request->kind, -1);
	return request;
}

static void finish_request(struct server *server, const struct request *request,
			   int64_t now_ms)
{
	admit_end_request(&server->admit, request->kind,
			  (uint32_t)request->started_ms, true, now_ms);
	admit_record_response(&server->admit,
			      request->done_ms - request->started_ms, now_ms);
	cost_adjust_open(&server->admit.cost, request->kind, -1, now_ms);
}

static void run_requests(struct simulation *simulation, struct server *server,
			 int64_t now_ms)
{
	int slots = simulation->deployment->slots;

	for (int slot = 0; slot < slots; slot++) {
		if (!server->busy_until_ms[slot] ||
		    server->busy_until_ms[slot] > now_ms)
			continue;
		server->busy_until_ms[slot] = 0;
		finish_request(
			server,
			&simulation->requests[server->slot_request[slot]],
			now_ms);
	}
	for (int slot = 0; slot < slots; slot++) {
		struct request *request;

		if (server->busy_until_ms[slot])
			continue;
		request = take_next_request(simulation, server, now_ms);
		if (!request)
			return;
		request->started_ms = now_ms;
		request->done_ms = now_ms + MAX(request->service_ms, 1);
		server->slot_request[slot] =
			(int)(request - simulation->requests);
		server->busy_until_ms[slot] = request->done_ms;
		cost_adjust_open(&server->admit.cost, request->kind, 1, now_ms);
		admit_start_request(&server->admit, request->kind, now_ms);
	}
}

static int compare_ms(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static void evaluate_kind(const struct simulation *simulation, int kind,
			  struct result *result)
{
	int64_t *response_times_ms = g_new(int64_t, REQUESTS_MAX);
	int64_t objective_ms = simulation->deployment->kinds[kind].objective_ms;
	int n_sent = 0, n_in_time = 0, per_second[PEAK_SECONDS] = {0};
	size_t n = 0, p99_index;

	for (int i = 0; i < simulation->n_requests; i++) {
		const struct request *request = &simulation->requests[i];
		int64_t ms = request->done_ms - request->sent_ms;

		if (request->kind != kind)
			continue;
		if (request->done_ms >= PEAK_START_MS &&
		    request->done_ms < PEAK_END_MS)
			per_second[(request->done_ms - PEAK_START_MS) / 1000]++;
		if (request->sent_ms < PEAK_START_MS ||
		    request->sent_ms >= PEAK_END_MS)
			continue;
		n_sent++;
		if (!request->done_ms)
			continue;
		response_times_ms[n++] = ms;
		n_in_time += ms <= objective_ms;
	}
	qsort(response_times_ms, n, sizeof(*response_times_ms), compare_ms);
	p99_index = n * 99 / 100;
	result->p99_ms[kind] = n ? (double)response_times_ms[p99_index] : 0;
	result->in_time[kind] = 100.0 * n_in_time / MAX(n_sent, 1);
	result->served[kind] = 100.0 * (double)n / MAX(n_sent, 1);
	for (int i = 0; i < PEAK_SECONDS; i++)
		result->min_served = MIN(result->min_served, per_second[i]);
	g_free(response_times_ms);
}

static void evaluate(const struct simulation *simulation, struct result *result)
{
	int n_refused = 0;
	int64_t refused_after_ms = 0;

	for (int i = 0; i < simulation->n_requests; i++) {
		const struct request *request = &simulation->requests[i];

		if (!request->refused_ms)
			continue;
		n_refused++;
		refused_after_ms += request->refused_ms - request->sent_ms;
	}
	result->refused_after_ms = (double)refused_after_ms / MAX(n_refused, 1);
	result->min_served = INT_MAX;
	for (int kind = 0; kind < KINDS; kind++)
		evaluate_kind(simulation, kind, result);
}

static void simulate_pattern(const struct pattern *pattern, bool by_work,
			     uint64_t seed, struct result *result)
{
	const struct deployment *deployment = pattern->deployment;
	struct simulation *simulation = g_new0(struct simulation, 1);
	double due_arrivals = 0;

	simulation->deployment = deployment;
	simulation->by_work = by_work;
	simulation->rand = g_rand_new_with_seed((guint32)seed);
	for (int i = 0; i < deployment->n_servers; i++) {
		struct server *server = &simulation->servers[i];

		waiting_syns_init(&server->queue, by_work);
		admit_init(&server->admit, CONNECTION_LIMIT,
			   (uint32_t)deployment->slots, 0);
		admit_apply_report(&server->admit, (uint32_t)deployment->slots,
				   0, 0, 0);
		server->admit.by_work = by_work;
	}
	for (int64_t now_ms = 0; now_ms < END_MS; now_ms++) {
		bool in_peak = now_ms >= PEAK_START_MS && now_ms < PEAK_END_MS;
		double load = in_peak ? pattern->peak_load : USUAL_LOAD;

		if (now_ms < END_MS - ATTEMPT_TIMEOUT_MS)
			due_arrivals +=
				load * deployment->full_rate_per_s / 1000;
		if (now_ms % LOAD_REPORT_INTERVAL_MS == 0)
			report_loads(simulation, now_ms);
		if (now_ms % COMPARE_INTERVAL_MS == 0)
			compare_servers(simulation);
		for (int n = (int)due_arrivals; n; n--, due_arrivals--)
			add_request(simulation, now_ms);
		for (int i = 0; i < deployment->n_servers; i++)
			run_requests(simulation, &simulation->servers[i],
				     now_ms);
	}
	evaluate(simulation, result);
	g_rand_free(simulation->rand);
	g_free(simulation);
}

static void report_figure(struct bench *bench, const char *pattern,
			  const char *suffix, double value, const char *unit,
			  enum bench_bound bound, double limit)
{
	char name[64];

	snprintf(name, sizeof(name), "overload_%s_%s", pattern, suffix);
	bench_figure(bench, BENCH_DECISION, name, value, unit, bound, limit);
}

static void report_kind(struct bench *bench, const char *pattern,
			const char *placement, int kind,
			const struct result *result)
{
	char suffix[32];

	snprintf(suffix, sizeof(suffix), "%s_p%d_in_time", placement, kind + 1);
	report_figure(bench, pattern, suffix, result->in_time[kind], "%",
		      BENCH_REPORT, 0);
	snprintf(suffix, sizeof(suffix), "%s_p%d_served", placement, kind + 1);
	report_figure(bench, pattern, suffix, result->served[kind], "%",
		      BENCH_REPORT, 0);
	snprintf(suffix, sizeof(suffix), "%s_p%d_p99", placement, kind + 1);
	report_figure(bench, pattern, suffix, result->p99_ms[kind], "ms",
		      BENCH_REPORT, 0);
}

/* Share in time of all kinds, each counted as one. */
static double weighted_in_time(const struct result *result)
{
	return (result->in_time[0] + result->in_time[1]) / 2;
}

static void run(struct bench *bench)
{
	for (size_t i = 0; i < G_N_ELEMENTS(patterns); i++) {
		const char *name = patterns[i].name;
		struct result requests, work;

		simulate_pattern(&patterns[i], false, bench->seed, &requests);
		simulate_pattern(&patterns[i], true, bench->seed, &work);
		for (int kind = 0; kind < KINDS; kind++) {
			report_kind(bench, name, "requests", kind, &requests);
			report_kind(bench, name, "work", kind, &work);
		}
		report_figure(bench, name, "requests_refused_after",
			      requests.refused_after_ms, "ms", BENCH_REPORT, 0);
		report_figure(bench, name, "work_refused_after",
			      work.refused_after_ms, "ms", BENCH_REPORT, 0);
		report_figure(bench, name, "work_weighted",
			      weighted_in_time(&work), "%", BENCH_AT_LEAST,
			      weighted_in_time(&requests));
		report_figure(bench, name, "work_min_served_per_s",
			      work.min_served, "requests", BENCH_AT_LEAST, 1);
	}
}

const struct bench_group bench_overload_kinds = {"overload_kinds", run};
