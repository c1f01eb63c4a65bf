#include <glib.h>
#include <limits.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "tarragonflow/admit/admit.h"
#include "tarragonflow/admit/waiting_syns.h"

/*
 * Simulations of extreme load patterns under three policies. Baseline: each SYN
 * goes to a server by hash, here at random, and is queued there first come,
 * first served. With admission: the SYN goes to the server that reports the
 * lowest load and is queued by its agent, in the order of `placement` =
 * "requests" or "work". Requests take 45 ms on average and are in time within
 * 250 ms, except in patterns with kinds; they are abandoned by their callers
 * after 1400 ms.
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
#define REQUESTS_MAX 40000
#define QUEUE_MAX 4096
/* Lasting overload: between these times all requests count, by kind. */
#define PEAK_START_MS 2000
#define PEAK_END_MS 5000
#define PEAK_SECONDS ((PEAK_END_MS - PEAK_START_MS) / 1000)
#define KINDS_MAX 2
/* Share of long requests, and their service time relative to the others. */
#define LONG_SHARE 0.03
#define LONG_FACTOR 7

enum policy {
	/** Servers by hash, each with a FIFO queue. */
	POLICY_BY_ARRIVAL,
	POLICY_REQUESTS,
	POLICY_WORK,
};

/** A kind of request: a route with its service times. */
struct kind {
	uint16_t priority;
	/** Share of all requests; 0: the pattern has no such kind. */
	double share;
	/** Mean service time without long requests, ms. */
	double mean_ms;
	int64_t objective_ms;
};

/** Sigma of the logarithm of service times of patterns with kinds. */
#define SERVICE_SIGMA 0.5

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
	/** Two kinds, and whether LONG_SHARE of the requests are long. */
	struct kind kinds[KINDS_MAX];
	bool has_long;
};

/* The users' deployments A and B, see docs/design/work-left.md. */
#define KINDS_A                                   \
	{                                         \
		{1, 375.0 / 1687, 39, 300},       \
		{                                 \
			2, 1312.0 / 1687, 30, 250 \
		}                                 \
	}
#define KINDS_B                                   \
	{                                         \
		{1, 286.0 / 1286, 61, 400},       \
		{                                 \
			2, 1000.0 / 1286, 47, 400 \
		}                                 \
	}
/* Requests per second at full load: 92 slots of A, 32 ms each; 180 slots of B,
 * 50.1 ms, 59.1 ms with long requests. */
#define FULL_RATE_A 2875
#define FULL_RATE_B 3045

static const struct pattern patterns[] = {
	{"burst", 7, 6, 350, 1000, 0, 0, 0, 0, 0},
	{"outage", 7, 6, 350, 350, 1500, 0, 0, 0, 0},
	{"slow_third", 7, 6, 250, 250, 0, 2, 0, 0, 0},
	{"zone_out", 7, 6, 600, 600, 0, 0, 2, 0, 0},
	{"zone_back", 7, 6, 600, 600, 0, 0, 2, 6000, 0},
	{"release", 7, 6, 600, 600, 0, 0, 0, 0, 7},
	{"nearly_full", 7, 6, 840, 840, 0, 0, 0, 0, 0},
	{"nearly_full_two_slots", 49, 2, 1950, 1950, 0, 0, 0, 0, 0},
	{"a_110", 46, 2, FULL_RATE_A * 0.6, FULL_RATE_A * 1.1, 0, 0, 0, 0, 0,
	 KINDS_A},
	{"a_150", 46, 2, FULL_RATE_A * 0.6, FULL_RATE_A * 1.5, 0, 0, 0, 0, 0,
	 KINDS_A},
	{"b_110", 45, 4, FULL_RATE_B * 0.6, FULL_RATE_B * 1.1, 0, 0, 0, 0, 0,
	 KINDS_B, true},
	{"b_150", 45, 4, FULL_RATE_B * 0.6, FULL_RATE_B * 1.5, 0, 0, 0, 0, 0,
	 KINDS_B, true},
};

struct request {
	/** When it was sent, started at a server and completed, ms. */
	int64_t sent_ms, service_start_ms, done_ms;
	/** Service time at the usual speed, ms. */
	int64_t service_ms;
	/** When its caller was refused, ms; 0: not. */
	int64_t refused_ms;
	/** Index of its kind; 0 in patterns without kinds. */
	int kind;
};

/** What a simulation shows: shares in %, over all requests and by kind over
 * those sent in the peak. */
struct result {
	double in_time, p99_ms;
	double kind_in_time[KINDS_MAX], kind_p99_ms[KINDS_MAX];
	/** In time or late. */
	double kind_served[KINDS_MAX];
	/** Mean wait of refused callers, ms. */
	double refused_after_ms;
	/** Least number of responses to a kind in a second of the peak. */
	int min_served;
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
	enum policy policy;
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

	if (simulation->policy == POLICY_BY_ARRIVAL) {
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

/* Service time and kind of a request of a pattern with kinds. */
static void draw_request(struct simulation *simulation, struct request *request)
{
	const struct pattern *pattern = simulation->pattern;
	GRand *rand = simulation->rand;
	/* The sum of 12 uniform numbers is nearly normal with variance 1. */
	double normal = -6, ms;

	request->kind = g_rand_double(rand) >= pattern->kinds[0].share;
	for (int i = 0; i < 12; i++)
		normal += g_rand_double(rand);
	ms = pattern->kinds[request->kind].mean_ms *
	     exp(SERVICE_SIGMA * normal - SERVICE_SIGMA * SERVICE_SIGMA / 2);
	if (pattern->has_long && g_rand_double(rand) < LONG_SHARE)
		ms *= LONG_FACTOR;
	request->service_ms = (int64_t)(ms + 0.5);
}

static int64_t objective_ms(const struct simulation *simulation,
			    const struct request *request)
{
	const struct kind *kind = &simulation->pattern->kinds[request->kind];

	return kind->share > 0 ? kind->objective_ms : OBJECTIVE_MS;
}

static int64_t mean_service_ms(const struct server *server)
{
	double ms = server->admit.mean_response_ms;

	return ms > 0 ? (int64_t)ms : MEAN_SERVICE_MS;
}

static bool would_expire(const struct simulation *simulation,
			 const struct server *server,
			 const struct waiting *entry, int64_t now_ms)
{
	struct waiting_service service = {
		.service_ms = mean_service_ms(server),
		.slots = (uint32_t)simulation->pattern->slots,
	};

	if (server->admit.running >= service.slots)
		service.slot_wait_ms = service.service_ms / service.slots;
	return waiting_syns_would_expire(&server->admission_queue, entry,
					 now_ms, &service);
}

static void add_request(struct simulation *simulation, int64_t now_ms)
{
	struct request *request = &simulation->requests[simulation->n_requests];
	struct server *server =
		&simulation->servers[choose_server(simulation, now_ms)];
	struct waiting entry = {
		.id = (uint64_t)simulation->n_requests,
		.sent_ms = now_ms,
		/* Copies are not simulated: as if all arrive here. */
		.copy_age_ms = ATTEMPT_TIMEOUT_MS,
		.objective_ms = OBJECTIVE_MS,
		.priority = 1,
	};

	if (simulation->n_requests == REQUESTS_MAX)
		return;
	request->sent_ms = now_ms;
	if (simulation->pattern->kinds[0].share > 0) {
		draw_request(simulation, request);
		entry.objective_ms = objective_ms(simulation, request);
		entry.priority =
			simulation->pattern->kinds[request->kind].priority;
	} else {
		request->service_ms =
			(int64_t)(MEAN_SERVICE_MS *
				  (0.4 +
				   1.2 * g_rand_double(simulation->rand)));
	}
	if (simulation->policy == POLICY_WORK &&
	    would_expire(simulation, server, &entry, now_ms))
		request->refused_ms = now_ms;
	else if (simulation->policy != POLICY_BY_ARRIVAL)
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

	if (simulation->policy != POLICY_BY_ARRIVAL) {
		while (waiting_syns_pop_expired(&server->admission_queue,
						now_ms, mean_service_ms(server),
						&entry))
			simulation->requests[entry.id].refused_ms = now_ms;
		return waiting_syns_pop(&server->admission_queue, now_ms,
					mean_service_ms(server), &entry)
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

/* The 99th percentile of the response times of requests of @kind that were sent
 * in the peak, or of all requests if @kind is negative. */
static double p99_ms(const struct simulation *simulation, int kind)
{
	int64_t *response_times_ms = g_new(int64_t, REQUESTS_MAX);
	size_t n = 0, p99_index;
	double p99;

	for (int i = 0; i < simulation->n_requests; i++) {
		const struct request *request = &simulation->requests[i];

		if (request->done_ms &&
		    (kind < 0 || (request->kind == kind &&
				  request->sent_ms >= PEAK_START_MS &&
				  request->sent_ms < PEAK_END_MS)))
			response_times_ms[n++] =
				request->done_ms - request->sent_ms;
	}
	qsort(response_times_ms, n, sizeof(*response_times_ms), compare_ms);
	p99_index = n * 99 / 100;
	p99 = n ? (double)response_times_ms[p99_index] : 0;
	g_free(response_times_ms);
	return p99;
}

static void evaluate(const struct simulation *simulation, struct result *result)
{
	int served[KINDS_MAX][PEAK_SECONDS] = {0};
	int n_sent[KINDS_MAX] = {0}, n_in_time[KINDS_MAX] = {0}, in_time = 0;
	int n_refused = 0, n_served[KINDS_MAX] = {0};
	int64_t refused_after_ms = 0;

	for (int i = 0; i < simulation->n_requests; i++) {
		const struct request *request = &simulation->requests[i];
		int kind = request->kind;
		bool is_in_time = request->done_ms &&
				  request->done_ms - request->sent_ms <=
					  objective_ms(simulation, request);

		in_time += is_in_time;
		if (request->refused_ms) {
			n_refused++;
			refused_after_ms +=
				request->refused_ms - request->sent_ms;
		}
		if (request->done_ms >= PEAK_START_MS &&
		    request->done_ms < PEAK_END_MS)
			served[kind]
			      [(request->done_ms - PEAK_START_MS) / 1000]++;
		if (request->sent_ms < PEAK_START_MS ||
		    request->sent_ms >= PEAK_END_MS)
			continue;
		n_sent[kind]++;
		n_in_time[kind] += is_in_time;
		n_served[kind] += request->done_ms > 0;
	}
	result->in_time = 100.0 * in_time / simulation->n_requests;
	result->p99_ms = p99_ms(simulation, -1);
	result->refused_after_ms = (double)refused_after_ms / MAX(n_refused, 1);
	result->min_served = INT_MAX;
	for (int kind = 0; kind < KINDS_MAX; kind++) {
		result->kind_in_time[kind] =
			100.0 * n_in_time[kind] / MAX(n_sent[kind], 1);
		result->kind_served[kind] =
			100.0 * n_served[kind] / MAX(n_sent[kind], 1);
		result->kind_p99_ms[kind] = p99_ms(simulation, kind);
		for (int i = 0; i < PEAK_SECONDS; i++)
			result->min_served =
				MIN(result->min_served, served[kind][i]);
	}
}

static void simulate_pattern(const struct pattern *pattern, enum policy policy,
			     uint64_t seed, struct result *result)
{
	struct simulation *simulation = g_new0(struct simulation, 1);
	double due_arrivals = 0;

	simulation->pattern = pattern;
	simulation->policy = policy;
	simulation->rand = g_rand_new_with_seed((guint32)seed);
	for (int i = 0; i < pattern->n_servers; i++) {
		struct server *server = &simulation->servers[i];

		waiting_syns_init(&server->admission_queue,
				  policy == POLICY_WORK);
		admit_init(&server->admit, CONNECTION_LIMIT,
			   (uint32_t)pattern->slots, 0);
		admit_apply_report(&server->admit, (uint32_t)pattern->slots, 0,
				   0, 0);
	}
	for (int64_t now_ms = 0; now_ms < END_MS; now_ms++) {
		bool in_peak = now_ms >= PEAK_START_MS && now_ms < PEAK_END_MS;

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

/* Share in time of all kinds, each counted as one. */
static double weighted_in_time(const struct result *result)
{
	return (result->kind_in_time[0] + result->kind_in_time[1]) / 2;
}

/* By kind: no kind is without service for a second, and the order by work is
 * at least as good as the one before. */
static void report_kinds(struct bench *bench, const char *name,
			 const struct result results[])
{
	static const char *const policies[] = {"by_arrival", "requests",
					       "work"};
	const struct result *work = &results[POLICY_WORK];

	for (int policy = 0; policy <= POLICY_WORK; policy++)
		for (int kind = 0; kind < KINDS_MAX; kind++) {
			const struct result *result = &results[policy];
			char suffix[32];

			snprintf(suffix, sizeof(suffix), "%s_p%d_in_time",
				 policies[policy], kind + 1);
			report_figure(bench, name, suffix,
				      result->kind_in_time[kind], "%",
				      BENCH_REPORT, 0);
			snprintf(suffix, sizeof(suffix), "%s_p%d_served",
				 policies[policy], kind + 1);
			report_figure(bench, name, suffix,
				      result->kind_served[kind], "%",
				      BENCH_REPORT, 0);
			snprintf(suffix, sizeof(suffix), "%s_p%d_p99",
				 policies[policy], kind + 1);
			report_figure(bench, name, suffix,
				      result->kind_p99_ms[kind], "ms",
				      BENCH_REPORT, 0);
		}
	report_figure(bench, name, "requests_refused_after",
		      results[POLICY_REQUESTS].refused_after_ms, "ms",
		      BENCH_REPORT, 0);
	report_figure(bench, name, "work_refused_after", work->refused_after_ms,
		      "ms", BENCH_REPORT, 0);
	report_figure(bench, name, "work_weighted", weighted_in_time(work), "%",
		      BENCH_AT_LEAST,
		      weighted_in_time(&results[POLICY_REQUESTS]));
	report_figure(bench, name, "work_min_served_per_s", work->min_served,
		      "requests", BENCH_AT_LEAST, 1);
}

static void run(struct bench *bench)
{
	for (size_t i = 0; i < G_N_ELEMENTS(patterns); i++) {
		const char *name = patterns[i].name;
		struct result results[POLICY_WORK + 1];
		const struct result *arrival = &results[POLICY_BY_ARRIVAL];
		const struct result *requests = &results[POLICY_REQUESTS];
		const struct result *work = &results[POLICY_WORK];

		for (int policy = 0; policy <= POLICY_WORK; policy++)
			simulate_pattern(&patterns[i], (enum policy)policy,
					 bench->seed, &results[policy]);
		report_figure(bench, name, "by_arrival_in_time",
			      arrival->in_time, "%", BENCH_REPORT, 0);
		report_figure(bench, name, "by_arrival_p99", arrival->p99_ms,
			      "ms", BENCH_REPORT, 0);
		report_figure(bench, name, "in_time", requests->in_time, "%",
			      BENCH_AT_LEAST, arrival->in_time);
		report_figure(bench, name, "p99", requests->p99_ms, "ms",
			      BENCH_REPORT, 0);
		report_figure(bench, name, "work_in_time", work->in_time, "%",
			      BENCH_AT_LEAST, requests->in_time);
		report_figure(bench, name, "work_p99", work->p99_ms, "ms",
			      BENCH_REPORT, 0);
		if (patterns[i].kinds[0].share > 0)
			report_kinds(bench, name, results);
	}
}

const struct bench_group bench_overload = {"overload", run};
