#include <glib.h>
#include <math.h>

#include "tarragonflow/admit/admit.h"
#include "tarragonflow/admit/cost.h"
#include "tarragonflow/admit/work_left.h"
#include "tarragonflow/net/packet.h"

#define SLOTS 4
#define KEY 7

/* Serves @n requests of @kind one after the other that take @ms each, on one
 * connection. Returns the time afterwards, ms. */
static int64_t serve(struct cost *cost, uint8_t kind, int n, int64_t ms,
		     int64_t now_ms)
{
	for (int i = 0; i < n; i++) {
		cost_start_request(cost, kind, SLOTS, now_ms);
		cost_end_request(cost, kind, (uint32_t)now_ms, true, SLOTS,
				 now_ms + ms);
		now_ms += ms;
	}
	return now_ms;
}

static void assert_near(double value, double expected, double tolerance)
{
	if (fabs(value - expected) > tolerance)
		g_error("found %f, expected %f", value, expected);
}

/* Guards against wrong expectations: with nothing learned, of an unknown kind,
 * after a load change, and of requests with a heavy tail. */
static void test_expected_work(void)
{
	static const struct {
		const char *name;
		/** Requests of the kind, and how long they take, in turn. */
		int n_first;
		int64_t first_ms;
		int n_second;
		int64_t second_ms;
		/** Expected work, and remaining work at an age, ms. */
		double expected_ms;
		int64_t age_ms;
		double remaining_ms;
		double tolerance;
		/* The latest responses weigh most: the tail here nearly 4%. */
	} cases[] = {
		{"nothing learned", 0, 0, 0, 0, 50, 10, 50, 1},
		{"equal requests", 200, 30, 0, 0, 30, 10, 20, 2},
		{"load change", 400, 20, 600, 100, 100, 40, 60, 6},
		{"heavy tail, young", 97, 40, 3, 280, 49, 10, 39, 3},
		{"heavy tail, old", 97, 40, 3, 280, 49, 60, 180, 15},
		{"older than all seen", 97, 40, 3, 280, 49, 600, 600, 3},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cost cost;
		uint8_t kind;
		int64_t now_ms = 1;

		g_test_message("%s", cases[i].name);
		cost_init(&cost);
		kind = cost_find_kind(&cost, KEY, 0);
		now_ms = serve(&cost, kind, cases[i].n_first, cases[i].first_ms,
			       now_ms);
		serve(&cost, kind, cases[i].n_second, cases[i].second_ms,
		      now_ms);
		assert_near(cost_expected_ms(&cost, kind), cases[i].expected_ms,
			    cases[i].tolerance);
		assert_near(cost_expected_ms(&cost,
					     cost_find_kind(&cost, KEY + 1, 0)),
			    cases[i].expected_ms, cases[i].tolerance);
		assert_near(
			cost_remaining_ms(&cost, kind, (double)cases[i].age_ms),
			cases[i].remaining_ms, cases[i].tolerance);
	}
}

/* Guards against learning queueing delay as work, and against requests that
 * count for ever because their response never comes. */
static void test_running_requests(void)
{
	struct cost cost;
	uint8_t kind;

	cost_init(&cost);
	kind = cost_find_kind(&cost, KEY, 1500);
	serve(&cost, kind, 200, 40, 1);
	for (int64_t i = 0; i < 3; i++)
		cost_start_request(&cost, kind, 1, 10000 + i);
	cost_end_request(&cost, kind, 10000, true, 1, 10040);
	cost_end_request(&cost, kind, 10001, true, 1, 10080);
	assert_near(cost_mean_ms(&cost), 40, 1);
	g_assert_cmpuint(cost.n_running, ==, 1);
	assert_near(cost_request_remaining_ms(&cost, &cost.running[0], 10080),
		    40, 2);
	assert_near(cost_request_remaining_ms(&cost, &cost.running[0], 11462),
		    40, 1);
	assert_near(cost_request_remaining_ms(&cost, &cost.running[0], 11502),
		    0, 0);
	for (int64_t i = 0; i < COST_RUNNING_MAX; i++)
		cost_start_request(&cost, kind, SLOTS, 12000);
	g_assert_cmpuint(cost.n_uncounted, ==, 1);
	for (int64_t i = 0; i <= COST_RUNNING_MAX; i++)
		cost_end_request(&cost, kind, i ? 12000 : 10002, false, SLOTS,
				 12010);
	g_assert_cmpuint(cost.n_running + cost.n_uncounted, ==, 0);
}

/* Guards against a connection that counts the same whatever it will cause. */
static void test_busy_share(void)
{
	struct cost cost;
	uint8_t feed, single;
	int64_t now_ms = 1000;

	cost_init(&cost);
	feed = cost_find_kind(&cost, KEY, 0);
	single = cost_find_kind(&cost, KEY + 1, 0);
	assert_near(cost_busy_share(&cost, feed), 0.01, 0.0001);
	for (int i = 0; i < 10; i++)
		cost_adjust_open(&cost, feed, 1, now_ms);
	/* Ten feeds with 0.4 requests of 30 ms per second each; a connection
	 * with one request of 40 ms every 250 ms. */
	for (int i = 0; i < 80; i++, now_ms += 250) {
		serve(&cost, feed, 1, 30, now_ms);
		cost_adjust_open(&cost, single, 1, now_ms + 50);
		serve(&cost, single, 1, 40, now_ms + 52);
		cost_adjust_open(&cost, single, -1, now_ms + 94);
	}
	assert_near(cost_busy_share(&cost, feed), 0.4 * 0.03, 0.002);
	assert_near(cost_busy_share(&cost, single), 0.9, 0.1);
}

/* Guards against a load that ignores how long requests have run, or which SYNs
 * wait. */
static void test_work_left(void)
{
	static const struct {
		const char *name;
		int running, waiting;
		uint32_t late;
		/** Age of the running requests, ms, and expected result. */
		int64_t age_ms;
		double per_slot;
	} cases[] = {
		{"idle", 0, 0, 0, 0, 0},
		{"two just started", 2, 0, 0, 0, 0.25},
		{"two that have run for long", 2, 0, 0, 200, 1},
		{"two of six without a slot", 6, 0, 0, 0, 0.75},
		{"waiting SYNs", 0, 4, 0, 0, 1},
		{"late SYNs count a quarter", 0, 4, 4, 0, 0.25},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cost cost;

		g_test_message("%s", cases[i].name);
		cost_init(&cost);
		for (int j = 0; j < cases[i].running; j++)
			cost_start_request(&cost, 0, SLOTS, 1000);
		for (int j = 0; j < cases[i].waiting; j++)
			cost_adjust_waiting(&cost, 0, 1);
		cost.late = cases[i].late;
		assert_near(work_left(&cost, SLOTS, 1000 + cases[i].age_ms),
			    cases[i].per_slot, 0.01);
	}
}

/* Guards against loads that don't distinguish overloaded servers. */
static void test_load(void)
{
	static const struct {
		double per_slot;
		uint16_t load;
	} cases[] = {
		{0, 0},
		{0.5, 7500},
		{1, ADMIT_LOAD_SLOTS_FULL},
		{13, 37500},
		{1e9, PACKET_LOAD_SCALE},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpuint(work_left_encode(cases[i].per_slot), ==,
				 cases[i].load);
	g_assert_cmpint(work_left_encode(40) - work_left_encode(20), >, 5000);
	for (int quarters = 0; quarters < 800; quarters++) {
		double x = 0.25 * quarters;
		uint16_t load = work_left_encode(x);

		g_assert_cmpuint(work_left_encode(x + 0.25), >, load);
		assert_near(work_left_decode(load), x,
			    0.000002 * (x + 11) * (x + 11));
		g_assert_cmpuint(work_left_add(load, 1, 10000), >, load);
	}
	g_assert_cmpuint(work_left_add(0, 1, 5), ==, 3000);
	g_assert_cmpuint(work_left_add(PACKET_LOAD_FULL, 1, 5), ==,
			 PACKET_LOAD_FULL);
}

/* Guards against a wait that counts only requests: the time until a slot is
 * free follows from the age of the running requests and from those queued. */
static void test_slot_wait(void)
{
	struct cost cost;
	uint8_t kind;
	int64_t now_ms;

	cost_init(&cost);
	kind = cost_find_kind(&cost, KEY, 0);
	now_ms = serve(&cost, kind, 200, 40, 1000);
	for (int i = 0; i < SLOTS - 1; i++)
		cost_start_request(&cost, kind, SLOTS, now_ms);
	assert_near(cost_slot_wait_ms(&cost, SLOTS, now_ms), 0, 0);
	cost_start_request(&cost, kind, SLOTS, now_ms);
	assert_near(cost_slot_wait_ms(&cost, SLOTS, now_ms), 10, 1);
	assert_near(cost_slot_wait_ms(&cost, SLOTS, now_ms + 20), 5, 1);
	for (int i = 0; i < SLOTS; i++)
		cost_start_request(&cost, kind, SLOTS, now_ms);
	assert_near(cost_slot_wait_ms(&cost, SLOTS, now_ms), 50, 2);
	cost_forget_running(&cost);
	cost.n_uncounted = 2 * SLOTS;
	assert_near(cost_slot_wait_ms(&cost, SLOTS, now_ms), 50, 2);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cost/expected-work", test_expected_work);
	g_test_add_func("/cost/running-requests", test_running_requests);
	g_test_add_func("/cost/busy-share", test_busy_share);
	g_test_add_func("/cost/work-left", test_work_left);
	g_test_add_func("/cost/slot-wait", test_slot_wait);
	g_test_add_func("/cost/load", test_load);
	return g_test_run();
}
