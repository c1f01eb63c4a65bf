#include <glib.h>
#include <string.h>

#include "tarragonflow/admit/waiting_room.h"
#include "tarragonflow/common/clock.h"

#define SERVICE_MS 50

static void add(struct waiting_room *room, uint64_t id, int64_t sent_ms,
		int64_t objective_ms, uint16_t priority)
{
	const struct waiting entry = {
		.id = id,
		.sent_ms = sent_ms,
		.objective_ms = objective_ms,
		.priority = priority,
	};

	g_assert_true(waiting_room_add(room, &entry));
}

static uint64_t pop(struct waiting_room *room, int64_t now_ms)
{
	struct waiting entry;

	return waiting_room_pop(room, now_ms, SERVICE_MS, &entry) ? entry.id
								  : 0;
}

/* In time before late, then by priority, then the oldest first. */
static void test_order(void)
{
	struct waiting_room room;

	waiting_room_init(&room);
	add(&room, 1, 0, 200, 1);   /* late at 500 */
	add(&room, 2, 400, 200, 2); /* in time */
	add(&room, 3, 420, 200, 1); /* in time, highest priority */
	add(&room, 4, 390, 0, 2);   /* no objective, so always in time */
	g_assert_cmpuint(pop(&room, 500), ==, 3);
	g_assert_cmpuint(pop(&room, 500), ==, 4);
	g_assert_cmpuint(pop(&room, 500), ==, 2);
	g_assert_cmpuint(pop(&room, 500), ==, 1);
	g_assert_cmpuint(pop(&room, 500), ==, 0);
}

/* A late packet is not starved by packets that arrive later. */
static void test_no_starvation(void)
{
	struct waiting_room room;
	unsigned int pops = 0;

	waiting_room_init(&room);
	add(&room, 1, 0, 200, 2);
	for (uint64_t id = 2; pops < 10; id++, pops++) {
		add(&room, id, 500, 200, 1);
		if (pop(&room, 510) == 1)
			break;
	}
	g_assert_cmpuint(pops, <, 4);
}

/* A packet expires 1350 ms after it was sent, 50 ms before its caller's
 * timeout; the oldest one first. */
static void test_expire(void)
{
	struct waiting_room room;
	struct waiting entry;

	waiting_room_init(&room);
	g_assert_cmpint(waiting_room_next_deadline(&room), ==, CLOCK_NEVER);
	add(&room, 1, 1000, 200, 1);
	add(&room, 2, 900, 200, 1);
	g_assert_cmpint(waiting_room_next_deadline(&room), ==, 2250);
	g_assert_false(waiting_room_pop_expired(&room, 2249, &entry));
	g_assert_true(waiting_room_pop_expired(&room, 2250, &entry));
	g_assert_cmpuint(entry.id, ==, 2);
	g_assert_false(waiting_room_pop_expired(&room, 2250, &entry));
	g_assert_true(waiting_room_contains(&room, 1));
	g_assert_false(waiting_room_contains(&room, 2));
}

static void test_bounds(void)
{
	struct waiting_room room;
	struct waiting entry = {.len = WAITING_PACKET_BYTES_MAX + 1};

	waiting_room_init(&room);
	g_assert_false(waiting_room_add(&room, &entry));
	for (uint64_t id = 1; id <= WAITING_ENTRIES_MAX; id++)
		add(&room, id, 0, 0, 0);
	entry.len = 0;
	g_assert_false(waiting_room_add(&room, &entry));
	/* 256 others in 5 slots of 50 ms: 2.5 s, above the caller's timeout. */
	g_assert_true(waiting_room_would_expire(&room, 0, 0, SERVICE_MS, 5));
	g_assert_false(waiting_room_would_expire(&room, 0, 0, SERVICE_MS, 20));
}

/** A request in the simulation of an overload. */
struct request {
	int64_t sent_ms;
	/** Time of the response; 0: not served. */
	int64_t done_ms;
};

#define REQUESTS 400
#define SLOTS 6
#define OBJECTIVE_MS 250
/* A server was unavailable for a second: BACKLOG attempts arrive at once, then
 * a new one every ARRIVAL_INTERVAL_MS, two thirds of what the slots can run. */
#define BACKLOG 60
#define ARRIVAL_INTERVAL_MS 13

static unsigned int count_in_time(const struct request *requests)
{
	unsigned int n = 0;

	for (int i = 0; i < REQUESTS; i++)
		n += requests[i].done_ms &&
		     requests[i].done_ms - requests[i].sent_ms <= OBJECTIVE_MS;
	return n;
}

/* Serves all requests in the order of the waiting room or of arrival. Returns
 * the number of requests served within OBJECTIVE_MS. */
static unsigned int simulate(bool waiting_room)
{
	struct request requests[REQUESTS] = {0};
	int64_t free_ms[SLOTS] = {0};
	struct waiting_room room;
	int arrived = 0, next = 0;

	for (int i = 0; i < REQUESTS; i++)
		requests[i].sent_ms =
			i < BACKLOG
				? 200 + i * 10
				: 1000 + (i - BACKLOG) * ARRIVAL_INTERVAL_MS;
	waiting_room_init(&room);
	for (int64_t now_ms = 1000; now_ms < 8000; now_ms++) {
		struct waiting entry;

		while (arrived < REQUESTS &&
		       MAX(requests[arrived].sent_ms, 1000) <= now_ms) {
			if (waiting_room)
				add(&room, (uint64_t)arrived + 1,
				    requests[arrived].sent_ms, OBJECTIVE_MS, 1);
			arrived++;
		}
		while (waiting_room &&
		       waiting_room_pop_expired(&room, now_ms, &entry))
			;
		for (int i = 0; i < SLOTS; i++) {
			int id = -1;

			if (free_ms[i] > now_ms)
				continue;
			if (!waiting_room && next < arrived)
				id = next++;
			else if (waiting_room &&
				 waiting_room_pop(&room, now_ms, SERVICE_MS,
						  &entry))
				id = (int)entry.id - 1;
			if (id < 0)
				continue;
			free_ms[i] = now_ms + SERVICE_MS;
			requests[id].done_ms = free_ms[i];
		}
	}
	return count_in_time(requests);
}

/*
 * After an outage the waiting room serves more requests in time than a FIFO
 * queue as servers have it: at least 90% of the new requests.
 */
static void test_backlog_after_outage(void)
{
	unsigned int fifo = simulate(false);
	unsigned int waiting_room = simulate(true);

	g_test_message("in time of %d new requests: %u FIFO, %u waiting room",
		       REQUESTS - BACKLOG, fifo, waiting_room);
	g_assert_cmpuint(waiting_room, >, fifo);
	g_assert_cmpuint(waiting_room, >=, (REQUESTS - BACKLOG) * 9 / 10);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/waiting/order", test_order);
	g_test_add_func("/waiting/no-starvation", test_no_starvation);
	g_test_add_func("/waiting/expire", test_expire);
	g_test_add_func("/waiting/bounds", test_bounds);
	g_test_add_func("/waiting/backlog-after-outage",
			test_backlog_after_outage);
	return g_test_run();
}
