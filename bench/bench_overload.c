#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "tarragonflow/admit/admit.h"
#include "tarragonflow/admit/waiting_syns.h"
#include "tarragonflow/admit/work_left.h"
#include "tarragonflow/net/packet.h"

/*
 * Simulations of extreme load patterns under three policies. Baseline: each SYN
 * goes to a server by hash, here at random, and is queued there first come,
 * first served. With admission: the SYN goes to the server that reports the
 * lowest load and is queued by its agent; the load counts requests or the work
 * left. Requests take 45 ms on average, are in time within 250 ms and are
 * abandoned by their callers after 1400 ms.
 *
 * Feeds are connections that stay open and send a request now and then, which
 * goes to the server at once. All other requests have a connection each.
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
#define TAIL_OBJECTIVE_MS 400
#define ATTEMPT_TIMEOUT_MS 1400
#define LOAD_REPORT_INTERVAL_MS 40
#define LOAD_REPORT_INTERVAL_MANY_MS 120
#define END_MS 12000
#define REQUESTS_MAX 40000
#define FEEDS_MAX 3500
#define BALANCERS_MAX 22
/* Candidates of a connection where there are several balancers. */
#define CANDIDATES 8
/* Difference of the work left that balancers ignore, as in balancer.c. */
#define EQUAL_LOAD_RANGE 2000.0
/* Of requests with a heavy tail this share takes this many times as long. */
#define TAIL_SHARE 0.03
#define TAIL_FACTOR 7
/* Time between two requests of a feed, and mean time of one, ms. */
#define FEED_INTERVAL_MS 2500
#define FEED_SERVICE_MS 30
/* Feeds that lost their connection open another within this time, ms. */
#define FEED_REOPEN_MS 1000
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
	/** Balancers with loads of their own; 0: one, which knows the load of
	 * each server. */
	int n_balancers;
	bool heavy_tail;
	int n_feeds;
};

enum kind {
	KIND_SINGLE,
	KIND_FEED,
	KINDS,
};

enum policy {
	POLICY_BY_ARRIVAL,
	POLICY_REQUESTS,
	POLICY_WORK,
};

static const struct pattern patterns[] = {
	{"burst", 7, 6, 350, 1000, 0, 0, 0, 0, 0, 0, false, 0},
	{"outage", 7, 6, 350, 350, 1500, 0, 0, 0, 0, 0, false, 0},
	{"slow_third", 7, 6, 250, 250, 0, 2, 0, 0, 0, 0, false, 0},
	{"zone_out", 7, 6, 600, 600, 0, 0, 2, 0, 0, 0, false, 0},
	{"zone_back", 7, 6, 600, 600, 0, 0, 2, 6000, 0, 0, false, 0},
	{"release", 7, 6, 600, 600, 0, 0, 0, 0, 7, 0, false, 0},
	{"nearly_full", 7, 6, 840, 840, 0, 0, 0, 0, 0, 0, false, 0},
	{"nearly_full_two_slots", 49, 2, 1950, 1950, 0, 0, 0, 0, 0, 0, false,
	 0},
	{"heavy_tail", 45, 4, 2540, 3730, 0, 0, 0, 0, 0, 22, true, 0},
	{"feeds_reopen", 46, 2, 375, 375, 1500, 0, 0, 0, 0, 22, false, 3280},
	{"feeds_reopen_third_out", 46, 2, 375, 375, 1500, 0, 15, 6000, 0, 22,
	 false, 3280},
	{"feeds_reopen_heavy_tail", 46, 2, 375, 375, 1500, 0, 15, 6000, 0, 22,
	 true, 3280},
};

struct request {
	/** When it was sent, arrived at a server and completed, ms. */
	int64_t sent_ms, started_ms, done_ms;
	/** Service time at the usual speed, ms. */
	int64_t service_ms;
	enum kind kind;
	/** Its feed, or -1. */
	int feed;
	/** It opens a connection. */
	bool opens;
};

struct feed {
	/** Server of the connection, -1: none. */
	int server;
	/** When it sends its next request, or opens a connection, ms. */
	int64_t next_ms;
};

struct server {
	struct admit admit;
	/** Index of the request in each slot, and when it ends; 0: free, ms. */
	int slot_request[SLOTS_MAX];
	int64_t busy_until_ms[SLOTS_MAX];
	/** Ring of request indices in order of arrival: in the baseline all
	 * requests, else those of open feeds. */
	int queue[QUEUE_MAX];
	size_t queue_head, queue_len;
	struct waiting_syns admission_queue;
	/**
	 * Latest reported load, to which each balancer adds the requests that
	 * it has sent since, and the time of the report, ms.
	 */
	double reported_load[BALANCERS_MAX];
	int64_t reported_ms;
};

struct simulation {
	const struct pattern *pattern;
	enum policy policy;
	GRand *rand;
	struct request requests[REQUESTS_MAX];
	int n_requests;
	struct feed feeds[FEEDS_MAX];
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

/* Interval between load reports, longer to several balancers. */
static int64_t report_interval_ms(const struct pattern *pattern)
{
	return pattern->n_balancers ? LOAD_REPORT_INTERVAL_MANY_MS
				    : LOAD_REPORT_INTERVAL_MS;
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
		if (now_ms - server->reported_ms < report_interval_ms(pattern))
			continue;
		server->admit.cost.late = waiting_syns_count_late(
			&server->admission_queue, now_ms, MEAN_SERVICE_MS);
		for (int j = 0; j < MAX(pattern->n_balancers, 1); j++)
			server->reported_load[j] =
				admit_load(&server->admit, now_ms);
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

/* The least loaded of the servers, or of CANDIDATES random ones if there are
 * several balancers, as known to @balancer; -1 if none of them is there. With
 * the work left, several balancers select the first one with hardly more. */
static int least_loaded(struct simulation *simulation, int balancer,
			int64_t now_ms)
{
	const struct pattern *pattern = simulation->pattern;
	bool several = pattern->n_balancers;
	int n = several ? CANDIDATES : pattern->n_servers, best = -1;
	double loads[SERVERS_MAX];
	int candidates[SERVERS_MAX];

	for (int i = 0; i < n; i++) {
		int server = several ? g_rand_int_range(simulation->rand, 0,
							pattern->n_servers)
				     : i;

		candidates[i] = server;
		loads[i] = is_absent(pattern, server, now_ms)
				   ? INFINITY
				   : simulation->servers[server]
					     .reported_load[balancer];
		if (isfinite(loads[i]) && (best < 0 || loads[i] < loads[best]))
			best = i;
	}
	if (best < 0)
		return -1;
	for (int i = 0;
	     several && simulation->policy == POLICY_WORK && i < best; i++)
		if (loads[i] <= loads[best] + EQUAL_LOAD_RANGE)
			return candidates[i];
	return candidates[best];
}

static int choose_server(struct simulation *simulation, int64_t now_ms)
{
	const struct pattern *pattern = simulation->pattern;
	int balancer = 0, best;
	double *load;

	if (simulation->policy == POLICY_BY_ARRIVAL) {
		do
			best = g_rand_int_range(simulation->rand, 0,
						pattern->n_servers);
		while (is_absent(pattern, best, now_ms));
		return best;
	}
	if (pattern->n_balancers)
		balancer = g_rand_int_range(simulation->rand, 0,
					    pattern->n_balancers);
	do
		best = least_loaded(simulation, balancer, now_ms);
	while (best < 0);
	load = &simulation->servers[best].reported_load[balancer];
	if (simulation->policy == POLICY_WORK)
		*load = work_left_add((uint16_t)*load,
				      MAX(pattern->n_balancers, 1),
				      (uint32_t)pattern->slots);
	else if (pattern->n_balancers)
		*load += PACKET_LOAD_SCALE / 32.0;
	else
		*load += (double)ADMIT_LOAD_SLOTS_FULL / pattern->slots / 2;
	return best;
}

static int64_t objective_ms(const struct simulation *simulation)
{
	return simulation->pattern->heavy_tail ? TAIL_OBJECTIVE_MS
					       : OBJECTIVE_MS;
}

static int64_t random_service_ms(struct simulation *simulation, enum kind kind)
{
	double ms = (kind == KIND_FEED ? FEED_SERVICE_MS : MEAN_SERVICE_MS) *
		    (0.4 + 1.2 * g_rand_double(simulation->rand));

	if (simulation->pattern->heavy_tail &&
	    g_rand_double(simulation->rand) < TAIL_SHARE)
		ms *= TAIL_FACTOR;
	return (int64_t)ms;
}

static void enqueue(struct server *server, int id)
{
	if (server->queue_len < QUEUE_MAX)
		server->queue[(server->queue_head + server->queue_len++) %
			      QUEUE_MAX] = id;
}

/* Adds a request, of the feed @feed or of its own connection if that is -1. */
static void add_request(struct simulation *simulation, int feed, int64_t now_ms)
{
	int id = simulation->n_requests;
	int server_index = feed >= 0 ? simulation->feeds[feed].server : -1;
	struct request *request = &simulation->requests[id];
	struct server *server;
	struct waiting entry = {
		.id = (uint64_t)id,
		.sent_ms = now_ms,
		.objective_ms = objective_ms(simulation),
		.priority = feed >= 0 ? 2 : 1,
	};

	if (id == REQUESTS_MAX)
		return;
	request->opens = server_index < 0;
	if (request->opens)
		server_index = choose_server(simulation, now_ms);
	server = &simulation->servers[server_index];
	request->feed = feed;
	request->kind = feed >= 0 ? KIND_FEED : KIND_SINGLE;
	request->sent_ms = now_ms;
	request->service_ms = random_service_ms(simulation, request->kind);
	simulation->n_requests++;
	if (simulation->policy == POLICY_BY_ARRIVAL) {
		enqueue(server, id);
	} else if (request->opens) {
		if (waiting_syns_add(&server->admission_queue, &entry))
			admit_adjust_waiting(&server->admit, request->kind, 1);
	} else {
		enqueue(server, id);
		request->started_ms = now_ms;
		admit_start_request(&server->admit, request->kind, now_ms);
	}
}

static int64_t feed_interval_ms(struct simulation *simulation)
{
	return (int64_t)(-log(1 - g_rand_double(simulation->rand)) *
			 FEED_INTERVAL_MS) +
	       1;
}

/* Opens the connection of a request that has waited at server @i, whose first
 * request starts. */
static void open_connection(struct simulation *simulation, int i, int id,
			    int64_t now_ms)
{
	struct request *request = &simulation->requests[id];
	struct admit *admit = &simulation->servers[i].admit;

	if (request->feed >= 0 && request->opens) {
		simulation->feeds[request->feed].next_ms =
			now_ms + feed_interval_ms(simulation);
		simulation->feeds[request->feed].server = i;
		admit_add_connection(admit);
	}
	if (request->opens)
		cost_adjust_open(&admit->cost, request->kind, 1, now_ms);
	request->started_ms = now_ms;
	admit_start_request(admit, request->kind, now_ms);
}

/* The next request of the server's own queue, or -1. In the baseline its
 * connection opens now. */
static int dequeue(struct simulation *simulation, int i, int64_t now_ms)
{
	struct server *server = &simulation->servers[i];

	while (server->queue_len) {
		int id = server->queue[server->queue_head];
		struct request *request = &simulation->requests[id];

		server->queue_head = (server->queue_head + 1) % QUEUE_MAX;
		server->queue_len--;
		if (now_ms - request->sent_ms < ATTEMPT_TIMEOUT_MS) {
			if (simulation->policy == POLICY_BY_ARRIVAL)
				open_connection(simulation, i, id, now_ms);
			return id;
		}
		if (simulation->policy != POLICY_BY_ARRIVAL)
			admit_end_request(&server->admit, request->kind,
					  (uint32_t)request->started_ms, false,
					  now_ms);
	}
	return -1;
}

/* Takes the next request for a free slot of server @i out of the queues, or
 * returns -1. */
static int take_next_request(struct simulation *simulation, int i,
			     int64_t now_ms)
{
	struct server *server = &simulation->servers[i];
	int id = dequeue(simulation, i, now_ms);
	struct waiting entry;

	if (id >= 0 || simulation->policy == POLICY_BY_ARRIVAL)
		return id;
	while (waiting_syns_pop_expired(&server->admission_queue, now_ms,
					&entry))
		admit_adjust_waiting(&server->admit,
				     simulation->requests[entry.id].kind, -1);
	if (!waiting_syns_pop(&server->admission_queue, now_ms, MEAN_SERVICE_MS,
			      &entry))
		return -1;
	admit_adjust_waiting(&server->admit,
			     simulation->requests[entry.id].kind, -1);
	open_connection(simulation, i, (int)entry.id, now_ms);
	return (int)entry.id;
}

static void finish_requests(struct simulation *simulation,
			    struct server *server, int64_t now_ms)
{
	for (int slot = 0; slot < simulation->pattern->slots; slot++) {
		struct request *request;

		if (!server->busy_until_ms[slot] ||
		    server->busy_until_ms[slot] > now_ms)
			continue;
		request = &simulation->requests[server->slot_request[slot]];
		server->busy_until_ms[slot] = 0;
		admit_end_request(&server->admit, request->kind,
				  (uint32_t)request->started_ms, true, now_ms);
		admit_record_response(&server->admit,
				      request->done_ms - request->started_ms,
				      now_ms);
		if (request->feed < 0)
			cost_adjust_open(&server->admit.cost, request->kind, -1,
					 now_ms);
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
		id = take_next_request(simulation, i, now_ms);
		if (id < 0)
			return;
		request = &simulation->requests[id];
		request->done_ms =
			now_ms +
			MAX((int64_t)((double)request->service_ms * factor), 1);
		server->slot_request[slot] = id;
		server->busy_until_ms[slot] = request->done_ms;
	}
}

static void start_agent(struct simulation *simulation, int i, int64_t now_ms)
{
	struct admit *admit = &simulation->servers[i].admit;
	uint32_t slots = (uint32_t)simulation->pattern->slots;

	admit_init(admit, CONNECTION_LIMIT, slots, now_ms);
	waiting_syns_init(&simulation->servers[i].admission_queue,
			  simulation->policy == POLICY_WORK);
	admit_apply_report(admit, slots, 0, 0, now_ms);
	admit->by_work = simulation->policy == POLICY_WORK;
}

/* Spreads the feeds evenly over the servers. */
static void open_feeds(struct simulation *simulation)
{
	for (int i = 0; i < simulation->pattern->n_feeds; i++) {
		struct feed *feed = &simulation->feeds[i];

		feed->server = i % simulation->pattern->n_servers;
		feed->next_ms = feed_interval_ms(simulation);
		admit_add_connection(&simulation->servers[feed->server].admit);
		cost_adjust_open(&simulation->servers[feed->server].admit.cost,
				 KIND_FEED, 1, 0);
	}
}

/* All connections are lost; agents restart with their servers. */
static void lose_feeds(struct simulation *simulation, int64_t now_ms)
{
	const struct pattern *pattern = simulation->pattern;
	int64_t end_ms = now_ms + pattern->outage_ms;

	for (int i = 0; i < pattern->n_feeds; i++) {
		simulation->feeds[i].server = -1;
		simulation->feeds[i].next_ms =
			end_ms +
			g_rand_int_range(simulation->rand, 0, FEED_REOPEN_MS);
	}
	for (int i = 0; i < pattern->n_servers; i++)
		start_agent(simulation, i, now_ms);
}

/* Sends the due requests of feeds; one without a connection tries again when
 * its attempt has timed out. */
static void run_feeds(struct simulation *simulation, int64_t now_ms)
{
	for (int i = 0; i < simulation->pattern->n_feeds; i++) {
		struct feed *feed = &simulation->feeds[i];

		if (now_ms < feed->next_ms)
			continue;
		feed->next_ms =
			now_ms + (feed->server < 0
					  ? ATTEMPT_TIMEOUT_MS
					  : feed_interval_ms(simulation));
		add_request(simulation, i, now_ms);
	}
}

static int compare_ms(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

struct result {
	/** Share of requests in time: of all, and by kind, %. */
	double in_time, in_time_of[KINDS];
	/** 99th percentile of the response times, ms. */
	double p99_ms;
};

static void get_result(const struct simulation *simulation,
		       struct result *result)
{
	int64_t *response_times_ms = g_new(int64_t, REQUESTS_MAX);
	int n_in_time[KINDS] = {0}, n_sent[KINDS] = {0};
	size_t n_served = 0, p99_index;

	for (int i = 0; i < simulation->n_requests; i++) {
		const struct request *request = &simulation->requests[i];
		int64_t ms = request->done_ms - request->sent_ms;

		n_sent[request->kind]++;
		if (!request->done_ms)
			continue;
		response_times_ms[n_served++] = ms;
		n_in_time[request->kind] += ms <= objective_ms(simulation);
	}
	qsort(response_times_ms, n_served, sizeof(*response_times_ms),
	      compare_ms);
	p99_index = n_served * 99 / 100;
	result->p99_ms = (double)response_times_ms[p99_index];
	result->in_time = 100.0 *
			  (n_in_time[KIND_SINGLE] + n_in_time[KIND_FEED]) /
			  simulation->n_requests;
	for (int i = 0; i < KINDS; i++)
		result->in_time_of[i] =
			100.0 * n_in_time[i] / MAX(n_sent[i], 1);
	g_free(response_times_ms);
}

static void simulate_pattern(const struct pattern *pattern, enum policy policy,
			     uint64_t seed, struct result *result)
{
	struct simulation *simulation = g_new0(struct simulation, 1);
	double due_arrivals = 0;

	simulation->pattern = pattern;
	simulation->policy = policy;
	simulation->rand = g_rand_new_with_seed((guint32)seed);
	for (int i = 0; i < pattern->n_servers; i++)
		start_agent(simulation, i, 0);
	open_feeds(simulation);
	for (int64_t now_ms = 0; now_ms < END_MS; now_ms++) {
		bool in_peak = now_ms >= 2000 && now_ms < 5000;
		bool callers_send = now_ms < END_MS - ATTEMPT_TIMEOUT_MS;

		if (callers_send)
			due_arrivals += (in_peak ? pattern->peak_rate_per_s
						 : pattern->rate_per_s) /
					1000;
		if (now_ms == 2000 && pattern->n_feeds)
			lose_feeds(simulation, now_ms);
		report_loads(simulation, now_ms);
		if (now_ms % COMPARE_INTERVAL_MS == 0)
			compare_servers(simulation);
		for (int n = (int)due_arrivals; n; n--, due_arrivals--)
			add_request(simulation, -1, now_ms);
		if (callers_send)
			run_feeds(simulation, now_ms);
		for (int i = 0; i < pattern->n_servers; i++)
			run_requests(simulation, i, now_ms);
	}
	get_result(simulation, result);
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

static void run(struct bench *bench)
{
	for (size_t i = 0; i < G_N_ELEMENTS(patterns); i++) {
		const char *name = patterns[i].name;
		struct result hash, requests, work;

		simulate_pattern(&patterns[i], POLICY_BY_ARRIVAL, bench->seed,
				 &hash);
		simulate_pattern(&patterns[i], POLICY_REQUESTS, bench->seed,
				 &requests);
		simulate_pattern(&patterns[i], POLICY_WORK, bench->seed, &work);
		report_figure(bench, name, "by_arrival_in_time", hash.in_time,
			      "%", BENCH_REPORT, 0);
		report_figure(bench, name, "by_arrival_p99", hash.p99_ms, "ms",
			      BENCH_REPORT, 0);
		report_figure(bench, name, "in_time", requests.in_time, "%",
			      BENCH_AT_LEAST, hash.in_time);
		report_figure(bench, name, "p99", requests.p99_ms, "ms",
			      BENCH_REPORT, 0);
		for (int kind = 0; kind < KINDS; kind++)
			if (kind == KIND_SINGLE || patterns[i].n_feeds)
				report_figure(bench, name,
					      kind == KIND_FEED
						      ? "work_feeds_in_time"
						      : "work_in_time",
					      work.in_time_of[kind], "%",
					      BENCH_AT_LEAST,
					      requests.in_time_of[kind]);
		report_figure(bench, name, "work_p99", work.p99_ms, "ms",
			      BENCH_REPORT, 0);
	}
}

const struct bench_group bench_overload = {"overload", run};
