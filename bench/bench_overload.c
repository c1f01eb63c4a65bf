#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "tarragonflow/admit/admit.h"
#include "tarragonflow/admit/waiting_room.h"

/*
 * Load patterns at their worst, replayed: opening packets go to a server by
 * hash and wait there by arrival (the baseline), or to the least loaded one by
 * what admission tells of it and wait in its agent's waiting room. Requests
 * take 45 ms on average, are in time within 250 ms and given up after 1400 ms.
 */
#define SERVERS_MAX 49
#define SLOTS_MAX 6
#define CONNECTIONS 2000
#define SLOW_X 5
/* A cold server, as its own word has it, and for how long. */
#define COLD_X 1.6
#define COLD_MS 2000
#define COMPARE_MS 1000
#define MEAN_MS 45
#define OBJECTIVE_MS 250
#define ATTEMPT_MS 1400
#define LOAD_AGE_MS 40
#define END_MS 12000
#define REQUESTS_MAX 30000
#define QUEUE_MAX 4096

struct pattern {
	const char *name;
	int servers, slots;
	/** Requests a second, and from 2 s to 5 s. */
	double rate, rate_then;
	/** From 2 s for so long no server runs; callers keep coming, ms. */
	int64_t outage_ms;
	/** Servers, from the first, that are five times slower throughout. */
	int slow;
	/** Servers, from the last, that are away from 2 s on. */
	int away;
	/** When these are back, and cold; 0 is never, ms. */
	int64_t back_ms;
	/** Servers, from the first, that are replaced in turn, one a second. */
	int replaced;
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
	int64_t sent_ms, begun_ms, done_ms;
	int64_t takes_ms;
};

struct server {
	struct admit admit;
	/** What each slot runs, and when it is free again, ms. */
	int running[SLOTS_MAX];
	int64_t free_ms[SLOTS_MAX];
	/** Baseline: indices of requests by arrival. */
	int queue[QUEUE_MAX];
	size_t first, n;
	struct waiting_room room;
	/** Load as balancers know it, and when they learnt it. */
	double told;
	int64_t told_ms;
};

struct replay {
	const struct pattern *pattern;
	bool ours;
	GRand *rand;
	struct request requests[REQUESTS_MAX];
	int n;
	struct server servers[SERVERS_MAX];
};

/* Whether @server is one of those that are away just now. */
static bool is_away(const struct pattern *pattern, int server, int64_t now_ms)
{
	return server >= pattern->servers - pattern->away && now_ms >= 2000 &&
	       (!pattern->back_ms || now_ms < pattern->back_ms);
}

/* When @server started last after the beginning, ms; -1: it did not. */
static int64_t started_ms(const struct pattern *pattern, int server,
			  int64_t now_ms)
{
	int64_t replaced_ms = 2000 + 1000 * (int64_t)server;

	if (server < pattern->replaced && now_ms >= replaced_ms)
		return replaced_ms;
	if (pattern->outage_ms && now_ms >= 2000 + pattern->outage_ms)
		return 2000 + pattern->outage_ms;
	if (pattern->back_ms && now_ms >= pattern->back_ms &&
	    server >= pattern->servers - pattern->away)
		return pattern->back_ms;
	return -1;
}

/* How many times longer than usual requests take at @server. */
static double slowness(const struct pattern *pattern, int server,
		       int64_t now_ms)
{
	int64_t start_ms = started_ms(pattern, server, now_ms);

	if (server < pattern->slow)
		return SLOW_X;
	return start_ms >= 0 && now_ms < start_ms + COLD_MS ? COLD_X : 1;
}

static bool runs(const struct replay *replay, int server, int64_t now_ms)
{
	const struct pattern *pattern = replay->pattern;

	if (now_ms >= 2000 && now_ms < 2000 + pattern->outage_ms)
		return false;
	return !is_away(pattern, server, now_ms);
}

/* Agents tell the loads that they know, of servers that say they are cold. */
static void tell_loads(struct replay *replay, int64_t now_ms)
{
	const struct pattern *pattern = replay->pattern;

	for (int i = 0; i < pattern->servers; i++) {
		struct server *server = &replay->servers[i];
		int64_t start_ms = started_ms(pattern, i, now_ms);

		if (start_ms == now_ms)
			admit_apply_report(&server->admit,
					   (uint32_t)pattern->slots, COLD_MS, 0,
					   now_ms);
		if (now_ms - server->told_ms < LOAD_AGE_MS)
			continue;
		server->admit.waiting = (uint32_t)server->room.n;
		server->told = admit_load(&server->admit, now_ms);
		server->told_ms = now_ms;
	}
}

static void compare_servers(struct replay *replay)
{
	const struct pattern *pattern = replay->pattern;

	for (int i = 0; i < pattern->servers; i++) {
		uint16_t peers_ms[SERVERS_MAX];
		size_t n = 0;

		for (int j = 0; j < pattern->servers; j++) {
			double ms = replay->servers[j].admit.mean_response_ms;

			if (j != i && ms >= 1)
				peers_ms[n++] = (uint16_t)ms;
		}
		admit_compare_peers(&replay->servers[i].admit, peers_ms, n);
	}
}

static int choose(struct replay *replay, int64_t now_ms)
{
	const struct pattern *pattern = replay->pattern;
	int best = -1;

	if (!replay->ours) {
		do
			best = g_rand_int_range(replay->rand, 0,
						pattern->servers);
		while (is_away(pattern, best, now_ms));
		return best;
	}
	for (int i = 0; i < pattern->servers; i++)
		if (!is_away(pattern, i, now_ms) &&
		    (best < 0 ||
		     replay->servers[i].told < replay->servers[best].told))
			best = i;
	replay->servers[best].told +=
		(double)ADMIT_LOAD_SLOTS_FULL / pattern->slots / 2;
	return best;
}

static void arrive(struct replay *replay, int64_t now_ms)
{
	struct request *request = &replay->requests[replay->n];
	struct server *server = &replay->servers[choose(replay, now_ms)];
	struct waiting entry = {
		.id = (uint64_t)replay->n,
		.sent_ms = now_ms,
		.objective_ms = OBJECTIVE_MS,
		.priority = 1,
	};

	if (replay->n == REQUESTS_MAX)
		return;
	request->sent_ms = now_ms;
	request->takes_ms =
		(int64_t)(MEAN_MS * (0.4 + 1.2 * g_rand_double(replay->rand)));
	if (replay->ours)
		waiting_room_add(&server->room, &entry);
	else if (server->n < QUEUE_MAX)
		server->queue[(server->first + server->n++) % QUEUE_MAX] =
			replay->n;
	replay->n++;
}

/* The next request for a free slot, or -1. */
static int next_request(struct replay *replay, struct server *server,
			int64_t now_ms)
{
	struct waiting entry;

	if (replay->ours) {
		while (waiting_room_pop_expired(&server->room, now_ms, &entry))
			;
		return waiting_room_pop(&server->room, now_ms, MEAN_MS, &entry)
			       ? (int)entry.id
			       : -1;
	}
	while (server->n) {
		int id = server->queue[server->first];

		server->first = (server->first + 1) % QUEUE_MAX;
		server->n--;
		if (now_ms - replay->requests[id].sent_ms < ATTEMPT_MS)
			return id;
	}
	return -1;
}

static void end_requests(struct replay *replay, struct server *server,
			 int64_t now_ms)
{
	for (int slot = 0; slot < replay->pattern->slots; slot++) {
		const struct request *request;

		if (!server->free_ms[slot] || server->free_ms[slot] > now_ms)
			continue;
		request = &replay->requests[server->running[slot]];
		server->free_ms[slot] = 0;
		admit_adjust_running(&server->admit, -1, now_ms);
		admit_record_response(&server->admit,
				      request->done_ms - request->begun_ms,
				      now_ms);
	}
}

static void serve(struct replay *replay, int i, int64_t now_ms)
{
	struct server *server = &replay->servers[i];
	double slower = slowness(replay->pattern, i, now_ms);

	end_requests(replay, server, now_ms);
	if (!runs(replay, i, now_ms))
		return;
	for (int slot = 0; slot < replay->pattern->slots; slot++) {
		struct request *request;
		int id;

		if (server->free_ms[slot])
			continue;
		id = next_request(replay, server, now_ms);
		if (id < 0)
			return;
		request = &replay->requests[id];
		request->begun_ms = now_ms;
		request->done_ms =
			now_ms +
			MAX((int64_t)((double)request->takes_ms * slower), 1);
		server->running[slot] = id;
		server->free_ms[slot] = request->done_ms;
		admit_adjust_running(&server->admit, 1, now_ms);
	}
}

static int compare_ms(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* Share of all requests in time, %; the 99th percentile goes to @p99_ms. */
static double play(const struct pattern *pattern, bool ours, uint64_t seed,
		   double *p99_ms)
{
	struct replay *replay = g_new0(struct replay, 1);
	int64_t *took = g_new(int64_t, REQUESTS_MAX);
	double due = 0, share;
	int in_time = 0, served = 0;
	size_t p99;

	replay->pattern = pattern;
	replay->ours = ours;
	replay->rand = g_rand_new_with_seed((guint32)seed);
	for (int i = 0; i < pattern->servers; i++) {
		admit_init(&replay->servers[i].admit, CONNECTIONS,
			   (uint32_t)pattern->slots, 0);
		admit_apply_report(&replay->servers[i].admit,
				   (uint32_t)pattern->slots, 0, 0, 0);
	}
	for (int64_t now_ms = 0; now_ms < END_MS; now_ms++) {
		bool then = now_ms >= 2000 && now_ms < 5000;

		if (now_ms < END_MS - ATTEMPT_MS)
			due += (then ? pattern->rate_then : pattern->rate) /
			       1000;
		tell_loads(replay, now_ms);
		if (now_ms % COMPARE_MS == 0)
			compare_servers(replay);
		for (int n = (int)due; n; n--, due--)
			arrive(replay, now_ms);
		for (int i = 0; i < pattern->servers; i++)
			serve(replay, i, now_ms);
	}
	for (int i = 0; i < replay->n; i++) {
		const struct request *request = &replay->requests[i];

		if (!request->done_ms)
			continue;
		took[served] = request->done_ms - request->sent_ms;
		in_time += took[served++] <= OBJECTIVE_MS;
	}
	qsort(took, (size_t)served, sizeof(*took), compare_ms);
	p99 = (size_t)served * 99 / 100;
	*p99_ms = (double)took[p99];
	share = 100.0 * in_time / replay->n;
	g_rand_free(replay->rand);
	g_free(took);
	g_free(replay);
	return share;
}

static void figure(struct bench *bench, const char *pattern, const char *what,
		   double value, const char *unit, enum bench_bound bound,
		   double limit)
{
	char name[64];

	snprintf(name, sizeof(name), "overload_%s_%s", pattern, what);
	bench_figure(bench, BENCH_DECISION, name, value, unit, bound, limit);
}

static void run(struct bench *bench)
{
	for (size_t i = 0; i < G_N_ELEMENTS(patterns); i++) {
		const char *name = patterns[i].name;
		double base_p99, p99;
		double base = play(&patterns[i], false, bench->seed, &base_p99);
		double share = play(&patterns[i], true, bench->seed, &p99);

		figure(bench, name, "by_arrival_in_time", base, "%",
		       BENCH_REPORT, 0);
		figure(bench, name, "by_arrival_p99", base_p99, "ms",
		       BENCH_REPORT, 0);
		figure(bench, name, "in_time", share, "%", BENCH_AT_LEAST,
		       base);
		figure(bench, name, "p99", p99, "ms", BENCH_REPORT, 0);
	}
}

const struct bench_group bench_overload = {"overload", run};
