#include <glib.h>
#include <string.h>

#include "tarragonflow/admit/admit.h"
#include "tarragonflow/admit/slowness.h"
#include "tarragonflow/net/packet.h"

#define CONNECTIONS 640
#define COLD (CONNECTIONS / ADMIT_COLD_SHARE)
#define USUAL_MS 2

/* A server that has proven itself up to its whole limit. */
static int64_t warm_up(struct admit *admit)
{
	int64_t now_ms = 0;

	admit_init(admit, CONNECTIONS, 5, now_ms);
	while (admit->limit < CONNECTIONS) {
		while (admit_open(admit, now_ms) == ADMIT_YES)
			;
		admit_answered(admit, USUAL_MS, now_ms);
		now_ms += ADMIT_STEP_MS;
		admit_tick(admit, now_ms);
		g_assert_cmpint(now_ms, <, 60 * ADMIT_STEP_MS);
	}
	return now_ms;
}

static void test_slow_answers(void)
{
	static const struct {
		const char *name;
		int answers;
		int64_t gap_ms, took_ms;
		uint32_t limit;
	} cases[] = {
		{"quick", 50, 1, USUAL_MS, CONNECTIONS},
		{"one stall", 50, 0, 100, CONNECTIONS},
		{"one stall, let out over 15 ms", 15, 1, 100, CONNECTIONS},
		{"two slow ones", 2, 100, 100, CONNECTIONS},
		{"slow for 100 ms", 5, 25, 100, COLD},
		{"slow all the time", 100, 1, 100, COLD},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct admit admit;
		int64_t now_ms = warm_up(&admit);

		g_test_message("%s", cases[i].name);
		for (int j = 0; j < cases[i].answers; j++) {
			admit_answered(&admit, cases[i].took_ms, now_ms);
			now_ms += cases[i].gap_ms;
		}
		g_assert_cmpuint(admit.limit, ==, cases[i].limit);
	}
}

static void test_verdicts(void)
{
	struct admit admit;

	admit_init(&admit, CONNECTIONS, 5, 0);
	for (int i = 0; i < COLD; i++)
		g_assert_cmpint(admit_open(&admit, 0), ==, ADMIT_YES);
	g_assert_cmpint(admit_open(&admit, 0), ==, ADMIT_COLD);
	admit_close(&admit);
	g_assert_cmpint(admit_open(&admit, 0), ==, ADMIT_YES);
	warm_up(&admit);
	while (admit_open(&admit, 0) == ADMIT_YES)
		;
	g_assert_cmpuint(admit.open, ==, CONNECTIONS);
	g_assert_cmpint(admit_open(&admit, 0), ==, ADMIT_FULL);
	admit_refused(&admit, 0);
	g_assert_cmpint(admit_open(&admit, 0), ==, ADMIT_DOWN);
	admit_drain(&admit);
	g_assert_cmpint(admit_open(&admit, 0), ==, ADMIT_DRAINING);
}

/** Own mean time, times of peers, 0 ends them, and the factor. */
struct slowness_case {
	const char *name;
	double own_ms;
	uint16_t peers_ms[8];
	double factor;
};

static void test_slowness(void)
{
	static const struct slowness_case cases[] = {
		{"as the others", 40, {38, 41, 44}, 1},
		{"five times slower", 200, {38, 40, 44}, 5},
		{"a third of all are slow, we are not", 40, {200, 40, 38}, 1},
		{"a third of all are slow, so are we", 200, {200, 40, 40}, 5},
		{"all are slow", 200, {190, 200, 210}, 1},
		{"one peer tells nothing", 200, {40}, 1},
		{"nothing measured", 0, {40, 40, 40}, 1},
		{"short answers", 20, {4, 5, 5}, 1},
		{"much slower", 2000, {40, 40, 40}, 8},
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

#define REPLAY_SERVERS 5
#define REPLAY_SLOTS 6
#define REPLAY_GAP_MS 10
#define REPLAY_ANSWER_MS 40
#define REPLAY_SLOWER 5
#define REPLAY_RUNNING 64

/** A server of the replay with the requests that it runs. */
struct replay_server {
	struct admit admit;
	struct {
		int64_t begun_ms;
		/** 0: the place is free. */
		int64_t ends_ms;
	} running[REPLAY_RUNNING];
};

static void replay_end(struct replay_server *server, int64_t now_ms)
{
	for (int i = 0; i < REPLAY_RUNNING; i++) {
		if (server->running[i].ends_ms != now_ms)
			continue;
		admit_running(&server->admit, -1, now_ms);
		admit_answered(&server->admit,
			       now_ms - server->running[i].begun_ms, now_ms);
		server->running[i].ends_ms = 0;
	}
}

static void replay_compare(struct replay_server *servers, int self)
{
	uint16_t peers_ms[REPLAY_SERVERS];
	size_t n = 0;

	for (int i = 0; i < REPLAY_SERVERS; i++)
		if (i != self && servers[i].admit.mean_answer_ms >= 1)
			peers_ms[n++] =
				(uint16_t)servers[i].admit.mean_answer_ms;
	admit_compare(&servers[self].admit, peers_ms, n);
}

static int replay_choose(const struct replay_server *servers, int64_t now_ms)
{
	int best = 0;

	for (int i = 1; i < REPLAY_SERVERS; i++)
		if (admit_load(&servers[i].admit, now_ms) <
		    admit_load(&servers[best].admit, now_ms))
			best = i;
	return best;
}

static void replay_begin(struct replay_server *server, int64_t takes_ms,
			 int64_t now_ms)
{
	for (int i = 0; i < REPLAY_RUNNING; i++) {
		if (server->running[i].ends_ms)
			continue;
		server->running[i].begun_ms = now_ms;
		server->running[i].ends_ms = now_ms + takes_ms;
		admit_running(&server->admit, 1, now_ms);
		return;
	}
	g_assert_not_reached();
}

/*
 * One of a few servers turns slow from 10 to 20 s; connections go to the least
 * loaded by what it tells. It gets few meanwhile, and its share again within
 * ten seconds of the end.
 */
static void test_slow_server(void)
{
	struct replay_server *servers =
		g_new0(struct replay_server, REPLAY_SERVERS);
	unsigned int slow = 0, all_slow = 0, after = 0, all_after = 0;

	for (int i = 0; i < REPLAY_SERVERS; i++) {
		admit_init(&servers[i].admit, CONNECTIONS, REPLAY_SLOTS, 0);
		admit_report(&servers[i].admit, REPLAY_SLOTS, 0, 0, 0);
	}
	for (int64_t now_ms = 1; now_ms < 40000; now_ms++) {
		bool slower = now_ms >= 10000 && now_ms < 20000;
		int best;

		for (int i = 0; i < REPLAY_SERVERS; i++) {
			replay_end(&servers[i], now_ms);
			if (now_ms % 1000 == 0)
				replay_compare(servers, i);
		}
		if (now_ms % REPLAY_GAP_MS)
			continue;
		best = replay_choose(servers, now_ms);
		replay_begin(&servers[best],
			     slower && best == 0
				     ? REPLAY_SLOWER * REPLAY_ANSWER_MS
				     : REPLAY_ANSWER_MS,
			     now_ms);
		slow += now_ms >= 12000 && slower && best == 0;
		all_slow += now_ms >= 12000 && slower;
		after += now_ms >= 30000 && best == 0;
		all_after += now_ms >= 30000;
	}
	g_test_message("slow: %u of %u, after: %u of %u", slow, all_slow, after,
		       all_after);
	/* A trickle: at most a tenth of its share, and not nothing. */
	g_assert_cmpuint(slow, >, 0);
	g_assert_cmpuint(slow * REPLAY_SERVERS * 10, <=, all_slow);
	g_assert_cmpuint(after * REPLAY_SERVERS * 10, >=, all_after * 7);
	g_free(servers);
}

/*
 * A server that breaks off what it gets from 1 to 3 s, asked for a connection
 * every 5 ms: it gets few, and all soon after it answers again.
 */
static void test_failing_server(void)
{
	unsigned int failed = 0, after = 0;
	struct admit admit;

	admit_init(&admit, CONNECTIONS, 5, 0);
	admit_report(&admit, 5, 0, 0, 0);
	for (int64_t now_ms = 0; now_ms < 5000; now_ms += 5) {
		bool fails = now_ms >= 1000 && now_ms < 3000;

		if (admit_open(&admit, now_ms) != ADMIT_YES) {
			g_assert_cmpuint(admit_load(&admit, now_ms), ==,
					 PACKET_LOAD_FULL);
			continue;
		}
		admit_close(&admit);
		if (fails) {
			failed++;
			admit_broke_off(&admit, now_ms);
		} else {
			admit_answered(&admit, 40, now_ms);
			after += now_ms >= 4000;
		}
	}
	/* Three to notice, then one each 500 ms. */
	g_assert_cmpuint(failed, <=, 3 + 4);
	g_assert_cmpuint(failed, >=, 3);
	g_assert_cmpuint(after, ==, 200);
	/* One among many answers is no sign. */
	admit_broke_off(&admit, 5000);
	g_assert_cmpint(admit_open(&admit, 5000), ==, ADMIT_YES);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admit/slow-answers", test_slow_answers);
	g_test_add_func("/admit/verdicts", test_verdicts);
	g_test_add_func("/admit/slowness", test_slowness);
	g_test_add_func("/admit/slow-server", test_slow_server);
	g_test_add_func("/admit/failing-server", test_failing_server);
	return g_test_run();
}
