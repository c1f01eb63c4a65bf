#include <glib.h>
#include <string.h>

#include "tarragonflow/admit/admit.h"
#include "tarragonflow/admit/slowness.h"
#include "tarragonflow/net/packet.h"

#define CONNECTIONS 640
#define COLD_LIMIT (CONNECTIONS / ADMIT_COLD_DIVISOR)
#define USUAL_RESPONSE_MS 2

/* Raises the limit of a cold server to its maximum by responses at the usual
 * speed. Returns the time when the maximum is reached, ms. */
static int64_t warm_up(struct admit *admit)
{
	int64_t now_ms = 0;

	admit_init(admit, CONNECTIONS, 5, now_ms);
	while (admit->limit < CONNECTIONS) {
		while (admit_connection(admit, now_ms) == ADMIT_ACCEPTED)
			;
		admit_record_response(admit, USUAL_RESPONSE_MS, now_ms);
		now_ms += ADMIT_INCREASE_INTERVAL_MS;
		admit_tick(admit, now_ms);
		g_assert_cmpint(now_ms, <, 60 * ADMIT_INCREASE_INTERVAL_MS);
	}
	return now_ms;
}

/* Repeated slow responses reset the limit to that of a cold server; slow
 * responses that come from one stall do not. */
static void test_slow_responses(void)
{
	static const struct {
		const char *name;
		/** Number of responses, time between them and response time. */
		int responses;
		int64_t interval_ms, response_ms;
		/** Expected limit afterwards. */
		uint32_t limit;
	} cases[] = {
		{"fast", 50, 1, USUAL_RESPONSE_MS, CONNECTIONS},
		{"one stall", 50, 0, 100, CONNECTIONS},
		{"one stall, responses sent over 15 ms", 15, 1, 100,
		 CONNECTIONS},
		{"two slow responses", 2, 100, 100, CONNECTIONS},
		{"slow for 100 ms", 5, 25, 100, COLD_LIMIT},
		{"slow all the time", 100, 1, 100, COLD_LIMIT},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct admit admit;
		int64_t now_ms = warm_up(&admit);

		g_test_message("%s", cases[i].name);
		for (int j = 0; j < cases[i].responses; j++) {
			admit_record_response(&admit, cases[i].response_ms,
					      now_ms);
			now_ms += cases[i].interval_ms;
		}
		g_assert_cmpuint(admit.limit, ==, cases[i].limit);
	}
}

/* Verdicts of admit_connection(), except for a missing server report. */
static void test_admission_verdicts(void)
{
	struct admit admit;

	admit_init(&admit, CONNECTIONS, 5, 0);
	for (int i = 0; i < COLD_LIMIT; i++)
		g_assert_cmpint(admit_connection(&admit, 0), ==,
				ADMIT_ACCEPTED);
	g_assert_cmpint(admit_connection(&admit, 0), ==, ADMIT_COLD);
	admit_remove_connection(&admit);
	g_assert_cmpint(admit_connection(&admit, 0), ==, ADMIT_ACCEPTED);
	warm_up(&admit);
	while (admit_connection(&admit, 0) == ADMIT_ACCEPTED)
		;
	g_assert_cmpuint(admit.open, ==, CONNECTIONS);
	g_assert_cmpint(admit_connection(&admit, 0), ==, ADMIT_FULL);
	admit_record_refusal(&admit, 0);
	g_assert_cmpint(admit_connection(&admit, 0), ==, ADMIT_DOWN);
	admit_drain(&admit);
	g_assert_cmpint(admit_connection(&admit, 0), ==, ADMIT_DRAINING);
}

struct slowness_case {
	const char *name;
	/** Mean response time of the server, ms. */
	double own_ms;
	/** Mean response times of the other servers, ms; 0 ends the list. */
	uint16_t peers_ms[8];
	/** Expected slowness factor. */
	double factor;
};

static void test_slowness(void)
{
	static const struct slowness_case cases[] = {
		{"same as peers", 40, {38, 41, 44}, 1},
		{"five times slower", 200, {38, 40, 44}, 5},
		{"a third of peers slow, server fast", 40, {200, 40, 38}, 1},
		{"a third of peers slow, server slow", 200, {200, 40, 40}, 5},
		{"all servers slow", 200, {190, 200, 210}, 1},
		{"too few peers", 200, {40}, 1},
		{"no response time measured", 0, {40, 40, 40}, 1},
		{"response times too short", 20, {4, 5, 5}, 1},
		{"factor limited to the maximum", 2000, {40, 40, 40}, 8},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint16_t peers_ms[8];
		size_t n = 0;

		memcpy(peers_ms, cases[i].peers_ms, sizeof(peers_ms));
		while (peers_ms[n])
			n++;
		g_test_message("%s", cases[i].name);
		g_assert_cmpfloat_with_epsilon(
			slowness_factor(cases[i].own_ms, peers_ms, n),
			cases[i].factor, 0.01);
	}
}

/* Simulation of five servers, one of which gets a request every
 * SIM_INTERVAL_MS.
 */
#define SIM_SERVERS 5
#define SIM_SLOTS 6
#define SIM_INTERVAL_MS 10
#define SIM_RESPONSE_MS 40
/* Response time of the slow server, as a multiple of SIM_RESPONSE_MS. */
#define SIM_SLOW_FACTOR 5
#define SIM_RUNNING_MAX 64

/** A simulated server and the requests that it runs. */
struct sim_server {
	struct admit admit;
	struct {
		int64_t started_ms;
		/** 0: the entry is free. */
		int64_t ends_ms;
	} running[SIM_RUNNING_MAX];
};

static void sim_end_requests(struct sim_server *server, int64_t now_ms)
{
	for (int i = 0; i < SIM_RUNNING_MAX; i++) {
		if (server->running[i].ends_ms != now_ms)
			continue;
		admit_adjust_running(&server->admit, -1, now_ms);
		admit_record_response(&server->admit,
				      now_ms - server->running[i].started_ms,
				      now_ms);
		server->running[i].ends_ms = 0;
	}
}

static void sim_compare_peers(struct sim_server *servers, int self)
{
	uint16_t peers_ms[SIM_SERVERS];
	size_t n = 0;

	for (int i = 0; i < SIM_SERVERS; i++)
		if (i != self && servers[i].admit.mean_response_ms >= 1)
			peers_ms[n++] =
				(uint16_t)servers[i].admit.mean_response_ms;
	admit_compare_peers(&servers[self].admit, peers_ms, n);
}

static int sim_least_loaded(const struct sim_server *servers, int64_t now_ms)
{
	int best = 0;

	for (int i = 1; i < SIM_SERVERS; i++)
		if (admit_load(&servers[i].admit, now_ms) <
		    admit_load(&servers[best].admit, now_ms))
			best = i;
	return best;
}

static void sim_start_request(struct sim_server *server, int64_t duration_ms,
			      int64_t now_ms)
{
	for (int i = 0; i < SIM_RUNNING_MAX; i++) {
		if (server->running[i].ends_ms)
			continue;
		server->running[i].started_ms = now_ms;
		server->running[i].ends_ms = now_ms + duration_ms;
		admit_adjust_running(&server->admit, 1, now_ms);
		return;
	}
	g_assert_not_reached();
}

/*
 * One of five servers is slow from 10 to 20 s; each request goes to the server
 * with the least load. The slow server must get few requests while it is slow,
 * and nearly its share from 10 s after its recovery on.
 */
static void test_slow_server(void)
{
	struct sim_server *servers = g_new0(struct sim_server, SIM_SERVERS);
	unsigned int requests_while_slow = 0, total_requests_while_slow = 0;
	unsigned int requests_after_recovery = 0,
		     total_requests_after_recovery = 0;

	for (int i = 0; i < SIM_SERVERS; i++) {
		admit_init(&servers[i].admit, CONNECTIONS, SIM_SLOTS, 0);
		admit_apply_report(&servers[i].admit, SIM_SLOTS, 0, 0, 0);
	}
	for (int64_t now_ms = 1; now_ms < 40000; now_ms++) {
		bool slow = now_ms >= 10000 && now_ms < 20000;
		int best;

		for (int i = 0; i < SIM_SERVERS; i++) {
			sim_end_requests(&servers[i], now_ms);
			if (now_ms % 1000 == 0)
				sim_compare_peers(servers, i);
		}
		if (now_ms % SIM_INTERVAL_MS)
			continue;
		best = sim_least_loaded(servers, now_ms);
		sim_start_request(&servers[best],
				  slow && best == 0
					  ? SIM_SLOW_FACTOR * SIM_RESPONSE_MS
					  : SIM_RESPONSE_MS,
				  now_ms);
		requests_while_slow += now_ms >= 12000 && slow && best == 0;
		total_requests_while_slow += now_ms >= 12000 && slow;
		requests_after_recovery += now_ms >= 30000 && best == 0;
		total_requests_after_recovery += now_ms >= 30000;
	}
	g_test_message("while slow: %u of %u, after: %u of %u",
		       requests_while_slow, total_requests_while_slow,
		       requests_after_recovery, total_requests_after_recovery);
	/* While slow: at most a tenth of its share, but some requests. */
	g_assert_cmpuint(requests_while_slow, >, 0);
	g_assert_cmpuint(requests_while_slow * SIM_SERVERS * 10, <=,
			 total_requests_while_slow);
	/* After the recovery: at least 70% of its share. */
	g_assert_cmpuint(requests_after_recovery * SIM_SERVERS * 10, >=,
			 total_requests_after_recovery * 7);
	g_free(servers);
}

/*
 * A server resets the connections of all requests from 1 to 3 s, while a
 * connection is attempted every 5 ms. It must get few connections in this time,
 * and all of them from 1 s after it responds again.
 */
static void test_failing_server(void)
{
	unsigned int failed = 0, requests_after_recovery = 0;
	struct admit admit;

	admit_init(&admit, CONNECTIONS, 5, 0);
	admit_apply_report(&admit, 5, 0, 0, 0);
	for (int64_t now_ms = 0; now_ms < 5000; now_ms += 5) {
		bool fails = now_ms >= 1000 && now_ms < 3000;

		if (admit_connection(&admit, now_ms) != ADMIT_ACCEPTED) {
			g_assert_cmpuint(admit_load(&admit, now_ms), ==,
					 PACKET_LOAD_FULL);
			continue;
		}
		admit_remove_connection(&admit);
		if (fails) {
			failed++;
			admit_record_abort(&admit, now_ms);
		} else {
			admit_record_response(&admit, 40, now_ms);
			requests_after_recovery += now_ms >= 4000;
		}
	}
	/* Three until the server counts as failing, then one every 500 ms. */
	g_assert_cmpuint(failed, <=, 3 + 4);
	g_assert_cmpuint(failed, >=, 3);
	g_assert_cmpuint(requests_after_recovery, ==, 200);
	/* After many responses, one abort does not make the server failing. */
	admit_record_abort(&admit, 5000);
	g_assert_cmpint(admit_connection(&admit, 5000), ==, ADMIT_ACCEPTED);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admit/slow-responses", test_slow_responses);
	g_test_add_func("/admit/verdicts", test_admission_verdicts);
	g_test_add_func("/admit/slowness", test_slowness);
	g_test_add_func("/admit/slow-server", test_slow_server);
	g_test_add_func("/admit/failing-server", test_failing_server);
	return g_test_run();
}
