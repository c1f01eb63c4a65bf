#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "tarragonflow/admit/admit.h"
#include "tarragonflow/admit/waiting_syns.h"

/*
 * Simulations of extreme load patterns under two policies. Baseline: each SYN
 * goes to a server by hash, here at random, and is queued there first come,
 * first served. With admission: the SYN goes to the server that reports the
 * lowest load and is queued by its agent, in the waiting room. Requests take
 * 45 ms on average, are in time within 250 ms and are abandoned by their
 * callers after 1400 ms.
 */
#define SERVERS_MAX 49
#define SLOTS_MAX 6
#define CONNECTION_LIMIT 2000
#define SLOW_FACTOR 5
/* Slowdown of a cold server, and how long it reports that it is cold. */
#define COLD_FACTOR 1.6
#define COLD_MS 2000
#define COMPARE_INTERVAL_MS 1000
#define MEAN_SERVICE_MS 45
#define OBJECTIVE_MS 250
#define ATTEMPT_TIMEOUT_MS 1400
#define LOAD_REPORT_INTERVAL_MS 40
#define END_MS 12000
#define REQUESTS_MAX 30000
#define QUEUE_MAX 4096

struct pattern {
	const char *name;
	/** Number of servers, and of concurrent requests at each. */
	int n_servers, slots;
	/** Requests per second: in general, and from 2 s to 5 s. */
	double rate_per_s, peak_rate_per_s;
	/** Outage of all servers from 2 s on; callers keep sending, ms. */
	int64_t outage_ms;
	/** Servers, from the first, that are five times slower throughout. */
	int n_slow;
	/** Servers, from the last, that are absent from 2 s on. */
	int n_absent;
	/** When the absent servers return, cold; 0: never, ms. */
	int64_t return_ms;
	/** Servers, from the first, that are replaced in turn, one a second. */
	int n_replaced;
};

static const struct pattern patterns[] = {
	{"burst", 7, 6, 350, 1000, 0, 0, 0, 0, 0},
	{"outage", 7, 6, 350, 350, 1500, 0, 0, 0, 0},
	{"slow_third", 7, 6, 250, 250, 0, 2, 0, 0, 0},
	{"zone_out", 7, 6, 600, 600, 0, 0, 2, 0, 0},
	{"zone_back", 7, 6, 600, 600, 0, 0, 2, 6000, 0},
	{"release", 7, 6, 600, 600, 0, 0, 0, 0, 7},
	{"nearly_full", 7, 6, 840, 840, 0, 0, 0, 0, 0},
	{"nearly_full_two_slots", 49, 2, 1950, 1950, 0, 0, 0, 0, 0},
};

struct request {
	/** When it was sent, started at a server and completed, ms. */
	int64_t sent_ms, service_start_ms, done_ms;
	/** Service time at the usual speed, ms. */
	int64_t service_ms;
};

struct server {
	struct admit admit;
	/** Index of the request in each slot, and when it ends; 0: free, ms. */
	int slot_request[SLOTS_MAX];
	int64_t busy_until_ms[SLOTS_MAX];
	/** Baseline only: ring of request indices in order of arrival. */
	int queue[QUEUE_MAX];
	size_t queue_head, queue_len;
	struct waiting_syns admission_queue;
	/**
	 * Latest reported load, to which the balancers add the requests that
	 * they have sent since, and the time of the report, ms.
	 */
	double reported_load;
	int64_t reported_ms;
};

struct simulation {
	const struct pattern *pattern;
	/** False for the baseline. */
	bool use_admission;
	GRand *rand;
	struct request requests[REQUESTS_MAX];
	int n_requests;
	struct server servers[SERVERS_MAX];
};

/* Whether @server is one of the absent servers at @now_ms. */
static bool is_absent(const struct pattern *pattern, int server, int64_t now_ms)
{
	return server >= pattern->n_servers - pattern->n_absent &&
	       now_ms >= 2000 &&
	       (!pattern->return_ms || now_ms < pattern->return_ms);
}

/* Latest start of @server after the beginning, ms; -1 if there is none. */
static int64_t last_start_ms(const struct pattern *pattern, int server,
			     int64_t now_ms)
{
	int64_t replaced_ms = 2000 + 1000 * (int64_t)server;

	if (server < pattern->n_replaced && now_ms >= replaced_ms)
		return replaced_ms;
	if (pattern->outage_ms && now_ms >= 2000 + pattern->outage_ms)
		return 2000 + pattern->outage_ms;
	if (pattern->return_ms && now_ms >= pattern->return_ms &&
	    server >= pattern->n_servers - pattern->n_absent)
		return pattern->return_ms;
	return -1;
}

/* Factor by which @server is slower than usual. */
static double slowdown(const struct pattern *pattern, int server,
		       int64_t now_ms)
{
	int64_t start_ms = last_start_ms(pattern, server, now_ms);

	if (server < pattern->n_slow)
		return SLOW_FACTOR;
	return start_ms >= 0 && now_ms < start_ms + COLD_MS ? COLD_FACTOR : 1;
}

static bool is_up(const struct simulation *simulation, int server,
		  int64_t now_ms)
{
	const struct pattern *pattern = simulation->pattern;

	if (now_ms >= 2000 && now_ms < 2000 + pattern->outage_ms)
		return false;
	return !is_absent(pattern, server, now_ms);
}

/* Servers that start report that they are cold; agents report their load. */
static void report_loads(struct simulation *simulation, int64_t now_ms)
{
	const struct pattern *pattern = simulation->pattern;

	for (int i = 0; i < pattern->n_servers; i++) {
		struct server *server = &simulation->servers[i];
		int64_t start_ms = last_start_ms(pattern, i, now_ms);

		if (start_ms == now_ms)
			admit_apply_report(&server->admit,
					   (uint32_t)pattern->slots, COLD_MS, 0,
					   now_ms);
		if (now_ms - server->reported_ms < LOAD_REPORT_INTERVAL_MS)
			continue;
		server->admit.waiting = (uint32_t)server->admission_queue.n;
		server->reported_load = admit_load(&server->admit, now_ms);
		server->reported_ms = now_ms;
	}
}

/* Each agent compares its mean response time with those of the others. */
static void compare_servers(struct simulation *simulation)
{
	const struct pattern *pattern = simulation->pattern;

	for (int i = 0; i < pattern->n_servers; i++) {
		uint16_t peers_ms[SERVERS_MAX];
		size_t n = 0;

		for (int j = 0; j < pattern->n_servers; j++) {
			double ms =
				simulation->servers[j].admit.mean_response_ms;

			if (j != i && ms >= 1)
				peers_ms[n++] = (uint16_t)ms;
		}
		admit_compare_peers(&simulation->servers[i].admit, peers_ms, n);
	}
}

static int choose_server(struct simulation *simulation, int64_t now_ms)
{
	const struct pattern *pattern = simulation->pattern;
	int best = -1;

	if (!simulation->use_admission) {
		do
			best = g_rand_int_range(simulation->rand, 0,
						pattern->n_servers);
		while (is_absent(pattern, best, now_ms));
		return best;
	}
	for (int i = 0; i < pattern->n_servers; i++)
		if (!is_absent(pattern, i, now_ms) &&
		    (best < 0 ||
		     simulation->servers[i].reported_load <
			     simulation->servers[best].reported_load))
			best = i;
	simulation->servers[best].reported_load +=
		(double)ADMIT_LOAD_SLOTS_FULL / pattern->slots / 2;
	return best;
}

static void add_request(struct simulation *simulation, int64_t now_ms)
{
	struct request *request = &simulation->requests[simulation->n_requests];
	struct server *server =
		&simulation->servers[choose_server(simulation, now_ms)];
	struct waiting entry = {
		.id = (uint64_t)simulation->n_requests,
		.sent_ms = now_ms,
		.objective_ms = OBJECTIVE_MS,
		.priority = 1,
	};

	if (simulation->n_requests == REQUESTS_MAX)
		return;
	request->sent_ms = now_ms;
	request->service_ms =
		(int64_t)(MEAN_SERVICE_MS *
			  (0.4 + 1.2 * g_rand_double(simulation->rand)));
	if (simulation->use_admission)
		waiting_syns_add(&server->admission_queue, &entry);
	else if (server->queue_len < QUEUE_MAX)
		server->queue[(server->queue_head + server->queue_len++) %
			      QUEUE_MAX] = simulation->n_requests;
	simulation->n_requests++;
}

/* Takes the next request for a free slot out of the queue, or returns -1. */
static int take_next_request(struct simulation *simulation,
			     struct server *server, int64_t now_ms)
{
	struct waiting entry;

	if (simulation->use_admission) {
		while (waiting_syns_pop_expired(&server->admission_queue,
						now_ms, &entry))
			;
		return waiting_syns_pop(&server->admission_queue, now_ms,
					MEAN_SERVICE_MS, &entry)
			       ? (int)entry.id
			       : -1;
	}
	while (server->queue_len) {
		int id = server->queue[server->queue_head];

		server->queue_head = (server->queue_head + 1) % QUEUE_MAX;
		server->queue_len--;
		if (now_ms - simulation->requests[id].sent_ms <
		    ATTEMPT_TIMEOUT_MS)
			return id;
	}
	return -1;
}

static void finish_requests(struct simulation *simulation,
			    struct server *server, int64_t now_ms)
{
	for (int slot = 0; slot < simulation->pattern->slots; slot++) {
		const struct request *request;

		if (!server->busy_until_ms[slot] ||
		    server->busy_until_ms[slot] > now_ms)
			continue;
		request = &simulation->requests[server->slot_request[slot]];
		server->busy_until_ms[slot] = 0;
		admit_adjust_running(&server->admit, -1, now_ms);
		admit_record_response(
			&server->admit,
			request->done_ms - request->service_start_ms, now_ms);
	}
}

static void run_requests(struct simulation *simulation, int i, int64_t now_ms)
{
	struct server *server = &simulation->servers[i];
	double factor = slowdown(simulation->pattern, i, now_ms);

	finish_requests(simulation, server, now_ms);
	if (!is_up(simulation, i, now_ms))
		return;
	for (int slot = 0; slot < simulation->pattern->slots; slot++) {
		struct request *request;
		int id;

		if (server->busy_until_ms[slot])
			continue;
		id = take_next_request(simulation, server, now_ms);
		if (id < 0)
			return;
		request = &simulation->requests[id];
		request->service_start_ms = now_ms;
		request->done_ms =
			now_ms +
			MAX((int64_t)((double)request->service_ms * factor), 1);
		server->slot_request[slot] = id;
		server->busy_until_ms[slot] = request->done_ms;
		admit_adjust_running(&server->admit, 1, now_ms);
	}
}

static int compare_ms(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/*
 * Returns the share of all requests that were in time, %; @p99_ms is set to the
 * 99th percentile of the response times.
 */
static double simulate_pattern(const struct pattern *pattern,
			       bool use_admission, uint64_t seed,
			       double *p99_ms)
{
	struct simulation *simulation = g_new0(struct simulation, 1);
	int64_t *response_times_ms = g_new(int64_t, REQUESTS_MAX);
	double due_arrivals = 0, in_time_percent;
	int n_in_time = 0, n_served = 0;
	size_t p99_index;

	simulation->pattern = pattern;
	simulation->use_admission = use_admission;
	simulation->rand = g_rand_new_with_seed((guint32)seed);
	for (int i = 0; i < pattern->n_servers; i++) {
		admit_init(&simulation->servers[i].admit, CONNECTION_LIMIT,
			   (uint32_t)pattern->slots, 0);
		admit_apply_report(&simulation->servers[i].admit,
				   (uint32_t)pattern->slots, 0, 0, 0);
	}
	for (int64_t now_ms = 0; now_ms < END_MS; now_ms++) {
		bool in_peak = now_ms >= 2000 && now_ms < 5000;

		if (now_ms < END_MS - ATTEMPT_TIMEOUT_MS)
			due_arrivals += (in_peak ? pattern->peak_rate_per_s
						 : pattern->rate_per_s) /
					1000;
		report_loads(simulation, now_ms);
		if (now_ms % COMPARE_INTERVAL_MS == 0)
			compare_servers(simulation);
		for (int n = (int)due_arrivals; n; n--, due_arrivals--)
			add_request(simulation, now_ms);
		for (int i = 0; i < pattern->n_servers; i++)
			run_requests(simulation, i, now_ms);
	}
	for (int i = 0; i < simulation->n_requests; i++) {
		const struct request *request = &simulation->requests[i];

		if (!request->done_ms)
			continue;
		response_times_ms[n_served] =
			request->done_ms - request->sent_ms;
		n_in_time += response_times_ms[n_served++] <= OBJECTIVE_MS;
	}
	qsort(response_times_ms, (size_t)n_served, sizeof(*response_times_ms),
	      compare_ms);
	p99_index = (size_t)n_served * 99 / 100;
	*p99_ms = (double)response_times_ms[p99_index];
	in_time_percent = 100.0 * n_in_time / simulation->n_requests;
	g_rand_free(simulation->rand);
	g_free(response_times_ms);
	g_free(simulation);
	return in_time_percent;
}

static void report_figure(struct bench *bench, const char *pattern,
			  const char *suffix, double value, const char *unit,
			  enum bench_bound bound, double limit)
{
	char name[64];

	snprintf(name, sizeof(name), "overload_%s_%s", pattern, suffix);
	bench_figure(bench, BENCH_DECISION, name, value, unit, bound, limit);
}

static void run(struct bench *bench)
{
	for (size_t i = 0; i < G_N_ELEMENTS(patterns); i++) {
		const char *name = patterns[i].name;
		double baseline_p99_ms, p99_ms;
		double baseline_percent = simulate_pattern(
			&patterns[i], false, bench->seed, &baseline_p99_ms);
		double in_time_percent = simulate_pattern(&patterns[i], true,
							  bench->seed, &p99_ms);

		report_figure(bench, name, "by_arrival_in_time",
			      baseline_percent, "%", BENCH_REPORT, 0);
		report_figure(bench, name, "by_arrival_p99", baseline_p99_ms,
			      "ms", BENCH_REPORT, 0);
		report_figure(bench, name, "in_time", in_time_percent, "%",
			      BENCH_AT_LEAST, baseline_percent);
		report_figure(bench, name, "p99", p99_ms, "ms", BENCH_REPORT,
			      0);
	}
}

const struct bench_group bench_overload = {"overload", run};
