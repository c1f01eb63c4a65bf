#include <glib.h>
#include <string.h>

#include "tarragonflow/admit/waiting_syns.h"
#include "tarragonflow/common/clock.h"

#define RESPONSE_MS 50

static void add(struct waiting_syns *syns, uint64_t id, int64_t sent_ms,
		int64_t objective_ms, uint16_t priority)
{
	const struct waiting entry = {
		.id = id,
		.sent_ms = sent_ms,
		.objective_ms = objective_ms,
		.priority = priority,
	};

	g_assert_true(waiting_syns_add(syns, &entry));
}

static uint64_t pop(struct waiting_syns *syns, int64_t now_ms)
{
	struct waiting entry;

	return waiting_syns_pop(syns, now_ms, RESPONSE_MS, &entry) ? entry.id
								   : 0;
}

/* SYNs that can still meet their objective precede those that cannot; else the
 * priority decides, then the age. */
static void test_order(void)
{
	struct waiting_syns syns;

	waiting_syns_init(&syns, false);
	add(&syns, 1, 0, 200, 1);   /* cannot meet its objective */
	add(&syns, 2, 400, 200, 2); /* can still meet it */
	add(&syns, 3, 420, 200, 1); /* can still meet it, most urgent */
	add(&syns, 4, 390, 0, 2);   /* no objective: counts as met */
	g_assert_cmpuint(pop(&syns, 500), ==, 3);
	g_assert_cmpuint(pop(&syns, 500), ==, 4);
	g_assert_cmpuint(pop(&syns, 500), ==, 2);
	g_assert_cmpuint(pop(&syns, 500), ==, 1);
	g_assert_cmpuint(pop(&syns, 500), ==, 0);
}

/* A SYN that cannot meet its objective is not starved by later ones that can.
 */
static void test_no_starvation(void)
{
	struct waiting_syns syns;
	unsigned int pops = 0;

	waiting_syns_init(&syns, false);
	add(&syns, 1, 0, 200, 2);
	for (uint64_t id = 2; pops < 10; id++, pops++) {
		add(&syns, id, 500, 200, 1);
		if (pop(&syns, 510) == 1)
			break;
	}
	g_assert_cmpuint(pops, <, 4);
}

/* A SYN expires 1350 ms after it was sent, 50 ms before its caller's timeout.
 * The oldest one expires first. */
static void test_expiry(void)
{
	struct waiting_syns syns;
	struct waiting entry;

	waiting_syns_init(&syns, false);
	g_assert_cmpint(waiting_syns_next_deadline(&syns), ==, CLOCK_NEVER);
	add(&syns, 1, 1000, 200, 1);
	add(&syns, 2, 900, 200, 1);
	g_assert_cmpint(waiting_syns_next_deadline(&syns), ==, 2250);
	g_assert_false(waiting_syns_pop_expired(&syns, 2249, &entry));
	g_assert_true(waiting_syns_pop_expired(&syns, 2250, &entry));
	g_assert_cmpuint(entry.id, ==, 2);
	g_assert_false(waiting_syns_pop_expired(&syns, 2250, &entry));
	g_assert_nonnull(waiting_syns_find(&syns, 1));
	g_assert_null(waiting_syns_find(&syns, 2));
}

static void test_queue_limits(void)
{
	struct waiting_syns syns;
	struct waiting entry = {.len = WAITING_PACKET_BYTES_MAX + 1};
	struct waiting_service service = {0, RESPONSE_MS, 5};

	waiting_syns_init(&syns, false);
	g_assert_false(waiting_syns_add(&syns, &entry));
	for (uint64_t id = 1; id <= WAITING_ENTRIES_MAX; id++)
		add(&syns, id, 0, 0, 0);
	entry.len = 0;
	g_assert_false(waiting_syns_add(&syns, &entry));
	/* 256 other requests of 50 ms in 5 slots take 2.5 s, more than the
	 * caller's timeout. */
	g_assert_true(waiting_syns_would_expire(&syns, &entry, 0, &service));
	service.slots = 20;
	g_assert_false(waiting_syns_would_expire(&syns, &entry, 0, &service));
}

/** A request in the simulation of an overload. */
struct request {
	int64_t sent_ms;
	/** When the response was sent; 0: none was sent. */
	int64_t response_sent_ms;
};

#define REQUESTS 400
#define SLOTS 6
#define OBJECTIVE_MS 250
/* A server was unavailable for a second: BACKLOG requests arrive at once, then
 * a new one every ARRIVAL_INTERVAL_MS, two thirds of what the slots can run. */
#define BACKLOG 60
#define ARRIVAL_INTERVAL_MS 13

static unsigned int
count_requests_within_objective(const struct request *requests)
{
	unsigned int n = 0;

	for (int i = 0; i < REQUESTS; i++)
		n += requests[i].response_sent_ms &&
		     requests[i].response_sent_ms - requests[i].sent_ms <=
			     OBJECTIVE_MS;
	return n;
}

/* Simulates the requests, served in the order of struct waiting_syns or, if not
 * @with_waiting_syns, of arrival. Returns how many got a response within
 * OBJECTIVE_MS. */
static unsigned int count_met_objectives(bool with_waiting_syns)
{
	struct request requests[REQUESTS] = {0};
	int64_t slot_free_ms[SLOTS] = {0};
	struct waiting_syns syns;
	int arrived = 0, next = 0;

	for (int i = 0; i < REQUESTS; i++)
		requests[i].sent_ms =
			i < BACKLOG
				? 200 + i * 10
				: 1000 + (i - BACKLOG) * ARRIVAL_INTERVAL_MS;
	waiting_syns_init(&syns, false);
	for (int64_t now_ms = 1000; now_ms < 8000; now_ms++) {
		struct waiting entry;

		while (arrived < REQUESTS &&
		       MAX(requests[arrived].sent_ms, 1000) <= now_ms) {
			if (with_waiting_syns)
				add(&syns, (uint64_t)arrived + 1,
				    requests[arrived].sent_ms, OBJECTIVE_MS, 1);
			arrived++;
		}
		while (with_waiting_syns &&
		       waiting_syns_pop_expired(&syns, now_ms, &entry))
			;
		for (int i = 0; i < SLOTS; i++) {
			int id = -1;

			if (slot_free_ms[i] > now_ms)
				continue;
			if (!with_waiting_syns && next < arrived)
				id = next++;
			else if (with_waiting_syns &&
				 waiting_syns_pop(&syns, now_ms, RESPONSE_MS,
						  &entry))
				id = (int)entry.id - 1;
			if (id < 0)
				continue;
			slot_free_ms[i] = now_ms + RESPONSE_MS;
			requests[id].response_sent_ms = slot_free_ms[i];
		}
	}
	return count_requests_within_objective(requests);
}

/*
 * After an outage, more requests meet their objective with struct waiting_syns
 * than with a FIFO queue as servers have it: at least 90% of the new requests.
 */
static void test_backlog_after_outage(void)
{
	unsigned int fifo = count_met_objectives(false);
	unsigned int waiting_syns = count_met_objectives(true);

	g_test_message(
		"objective met, of %d new requests: %u FIFO, %u waiting SYNs",
		REQUESTS - BACKLOG, fifo, waiting_syns);
	g_assert_cmpuint(waiting_syns, >, fifo);
	g_assert_cmpuint(waiting_syns, >=, (REQUESTS - BACKLOG) * 9 / 10);
}

/* Guards against starts that end just after the objective, and against a
 * priority that gets nothing while a more urgent one fills the slots. */
static void test_order_by_work(void)
{
	struct waiting_syns syns;

	waiting_syns_init(&syns, true);
	add(&syns, 1, 370, 200, 1); /* 70 ms left: late by the margin */
	add(&syns, 2, 410, 200, 2);
	add(&syns, 3, 440, 200, 1);
	add(&syns, 4, 400, 300, 1);
	add(&syns, 5, 450, 200, 2);
	add(&syns, 6, 430, 300, 1);
	g_assert_cmpuint(pop(&syns, 500), ==, 3);
	g_assert_cmpuint(pop(&syns, 500), ==, 4);
	g_assert_cmpuint(pop(&syns, 500), ==, 6);
	g_assert_cmpuint(pop(&syns, 500), ==, 2);
	g_assert_cmpuint(pop(&syns, 500), ==, 5);
	g_assert_cmpuint(pop(&syns, 500), ==, 1);
}

/* Guards against the refusal of an urgent SYN because of SYNs that it precedes,
 * and of a SYN behind short requests. */
static void test_wait_by_work(void)
{
	const struct waiting_service service = {30, RESPONSE_MS, 2};
	const struct waiting urgent = {.objective_ms = 300, .priority = 1};
	const struct waiting other = {.objective_ms = 300, .priority = 3};
	struct waiting_syns syns;

	waiting_syns_init(&syns, true);
	for (uint64_t id = 1; id <= 60; id++)
		add(&syns, id, 0, 300, 2);
	g_assert_cmpint(
		waiting_syns_expected_wait_ms(&syns, &urgent, 0, &service), ==,
		service.slot_wait_ms);
	g_assert_false(waiting_syns_would_expire(&syns, &urgent, 0, &service));
	g_assert_true(waiting_syns_would_expire(&syns, &other, 0, &service));
	/* SYNs whose requests take a fifth as long. */
	for (size_t i = 0; i < syns.n; i++)
		syns.entries[i].service_ms = RESPONSE_MS / 5;
	g_assert_cmpint(
		waiting_syns_expected_wait_ms(&syns, &other, 0, &service), ==,
		service.slot_wait_ms + 300);
}

/*
 * Arrivals of an urgent kind alone are 150% of capacity for 4 s; a second kind
 * adds 20 requests a second. Guards against a kind without service for a
 * second, starts that are too late for the objective while others could be in
 * time, callers that get no refusal just before they time out, and the refusal
 * of many at once.
 */
static void test_lasting_overload(void)
{
	struct waiting_syns syns;
	int64_t slot_free_ms[SLOTS] = {0};
	unsigned int served[2][4] = {{0}}, in_time[2][4] = {{0}};
	unsigned int max_refused = 0;

	waiting_syns_init(&syns, true);
	for (int64_t now_ms = 0; now_ms < 4000; now_ms++) {
		struct waiting entry;
		unsigned int refused = 0;

		if (now_ms * 180 / 1000 != (now_ms + 1) * 180 / 1000)
			add(&syns, (uint64_t)now_ms + 1, now_ms, 300, 1);
		if (now_ms % 50 == 0)
			add(&syns, (uint64_t)now_ms + 10001, now_ms, 250, 2);
		while (now_ms % 10 == 0 &&
		       waiting_syns_pop_expired(&syns, now_ms, &entry)) {
			refused++;
			g_assert_cmpint(now_ms - entry.sent_ms, >=, 1350);
			g_assert_cmpint(now_ms - entry.sent_ms, <=, 1360);
		}
		max_refused = MAX(max_refused, refused);
		for (int i = 0; i < SLOTS; i++) {
			if (slot_free_ms[i] > now_ms ||
			    !waiting_syns_pop(&syns, now_ms, RESPONSE_MS,
					      &entry))
				continue;
			slot_free_ms[i] = now_ms + RESPONSE_MS;
			served[entry.priority - 1][now_ms / 1000]++;
			in_time[entry.priority - 1][now_ms / 1000] +=
				slot_free_ms[i] <=
				entry.sent_ms + entry.objective_ms;
		}
	}
	for (int second = 0; second < 4; second++) {
		g_test_message("second %d: served %u and %u, in time %u and %u",
			       second, served[0][second], served[1][second],
			       in_time[0][second], in_time[1][second]);
		g_assert_cmpuint(served[0][second], >=, 60);
		g_assert_cmpuint(served[1][second], >=, 1);
		g_assert_cmpuint(in_time[0][second], >=, 90);
		g_assert_cmpuint(in_time[1][second], >=, 15);
	}
	g_test_message("refused at once: %u", max_refused);
	g_assert_cmpuint(max_refused, <=, 25);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/waiting/order", test_order);
	g_test_add_func("/waiting/no-starvation", test_no_starvation);
	g_test_add_func("/waiting/expire", test_expiry);
	g_test_add_func("/waiting/bounds", test_queue_limits);
	g_test_add_func("/waiting/backlog-after-outage",
			test_backlog_after_outage);
	g_test_add_func("/waiting/order-by-work", test_order_by_work);
	g_test_add_func("/waiting/wait-by-work", test_wait_by_work);
	g_test_add_func("/waiting/lasting-overload", test_lasting_overload);
	return g_test_run();
}
