#include <glib.h>

#include "tarragonflow/admit/admit.h"

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

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admit/slow-answers", test_slow_answers);
	g_test_add_func("/admit/verdicts", test_verdicts);
	return g_test_run();
}
