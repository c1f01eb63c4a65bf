#include <glib.h>
#include <string.h>

#include "tarragonflow/admit/waiting_room.h"
#include "tarragonflow/common/clock.h"

#define SERVICE_MS 50

static void put(struct waiting_room *room, uint64_t id, int64_t sent_ms,
		int64_t objective_ms, uint16_t priority)
{
	const struct waiting entry = {
		.id = id,
		.sent_ms = sent_ms,
		.objective_ms = objective_ms,
		.priority = priority,
	};

	g_assert_true(waiting_room_put(room, &entry));
}

static uint64_t take(struct waiting_room *room, int64_t now_ms)
{
	struct waiting entry;

	return waiting_room_take(room, now_ms, SERVICE_MS, &entry) ? entry.id
								   : 0;
}

/* In time before late, then by priority, then who waited longest. */
static void test_order(void)
{
	struct waiting_room room;

	waiting_room_init(&room);
	put(&room, 1, 0, 200, 1);   /* late at 500 */
	put(&room, 2, 400, 200, 2); /* in time */
	put(&room, 3, 420, 200, 1); /* in time, goes first */
	put(&room, 4, 390, 0, 2);   /* no objective: always in time */
	g_assert_cmpuint(take(&room, 500), ==, 3);
	g_assert_cmpuint(take(&room, 500), ==, 4);
	g_assert_cmpuint(take(&room, 500), ==, 2);
	g_assert_cmpuint(take(&room, 500), ==, 1);
	g_assert_cmpuint(take(&room, 500), ==, 0);
}

/* What is late is not starved by what keeps coming. */
static void test_no_starving(void)
{
	struct waiting_room room;
	unsigned int turns = 0;

	waiting_room_init(&room);
	put(&room, 1, 0, 200, 2);
	for (uint64_t id = 2; turns < 10; id++, turns++) {
		put(&room, id, 500, 200, 1);
		if (take(&room, 510) == 1)
			break;
	}
	g_assert_cmpuint(turns, <, 4);
}

/* A caller that is about to give up is turned away before it does. */
static void test_expire(void)
{
	struct waiting_room room;
	struct waiting entry;

	waiting_room_init(&room);
	g_assert_cmpint(waiting_room_next_deadline(&room), ==, CLOCK_NEVER);
	put(&room, 1, 1000, 200, 1);
	put(&room, 2, 900, 200, 1);
	g_assert_cmpint(waiting_room_next_deadline(&room), ==, 2250);
	g_assert_false(waiting_room_expire(&room, 2249, &entry));
	g_assert_true(waiting_room_expire(&room, 2250, &entry));
	g_assert_cmpuint(entry.id, ==, 2);
	g_assert_false(waiting_room_expire(&room, 2250, &entry));
	g_assert_true(waiting_room_has(&room, 1));
	g_assert_false(waiting_room_has(&room, 2));
}

static void test_bounds(void)
{
	struct waiting_room room;
	struct waiting entry = {.len = WAITING_BYTES + 1};

	waiting_room_init(&room);
	g_assert_false(waiting_room_put(&room, &entry));
	for (uint64_t id = 1; id <= WAITING_MAX; id++)
		put(&room, id, 0, 0, 0);
	entry.len = 0;
	g_assert_false(waiting_room_put(&room, &entry));
	/* 256 others at 5 slots of 50 ms: 2.5 s, over what a caller waits. */
	g_assert_true(waiting_room_hopeless(&room, 0, 0, SERVICE_MS, 5));
	g_assert_false(waiting_room_hopeless(&room, 0, 0, SERVICE_MS, 20));
}

/** One caller's request in the replay of an overload. */
struct request {
	int64_t sent_ms;
	int64_t done_ms;
};

#define REQUESTS 400
#define SLOTS 6
#define OBJECTIVE_MS 250
/* A server was away for a second: its callers' attempts all come at once,
 * then new ones every ARRIVAL_MS, at two thirds of what the slots can run. */
#define BACKLOG 60
#define ARRIVAL_MS 13

static unsigned int count_in_time(const struct request *requests)
{
	unsigned int n = 0;

	for (int i = 0; i < REQUESTS; i++)
		n += requests[i].done_ms &&
		     requests[i].done_ms - requests[i].sent_ms <= OBJECTIVE_MS;
	return n;
}

/* Serves all requests in @order of arrival or of the waiting room. */
static unsigned int replay(bool waiting_room)
{
	struct request requests[REQUESTS] = {0};
	int64_t free_ms[SLOTS] = {0};
	struct waiting_room room;
	int arrived = 0, next = 0;

	for (int i = 0; i < REQUESTS; i++)
		requests[i].sent_ms =
			i < BACKLOG ? 200 + i * 10
				    : 1000 + (i - BACKLOG) * ARRIVAL_MS;
	waiting_room_init(&room);
	for (int64_t now_ms = 1000; now_ms < 8000; now_ms++) {
		struct waiting entry;

		while (arrived < REQUESTS &&
		       MAX(requests[arrived].sent_ms, 1000) <= now_ms) {
			if (waiting_room)
				put(&room, (uint64_t)arrived + 1,
				    requests[arrived].sent_ms, OBJECTIVE_MS, 1);
			arrived++;
		}
		while (waiting_room &&
		       waiting_room_expire(&room, now_ms, &entry))
			;
		for (int i = 0; i < SLOTS; i++) {
			int id = -1;

			if (free_ms[i] > now_ms)
				continue;
			if (!waiting_room && next < arrived)
				id = next++;
			else if (waiting_room &&
				 waiting_room_take(&room, now_ms, SERVICE_MS,
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
 * The wave after an outage, first come first served as servers do, and by the
 * waiting room: at least nine of ten that come anew are in time.
 */
static void test_wave(void)
{
	unsigned int by_arrival = replay(false);
	unsigned int by_room = replay(true);

	g_test_message("in time of %d new requests: %u by arrival, %u here",
		       REQUESTS - BACKLOG, by_arrival, by_room);
	g_assert_cmpuint(by_room, >, by_arrival);
	g_assert_cmpuint(by_room, >=, (REQUESTS - BACKLOG) * 9 / 10);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/waiting/order", test_order);
	g_test_add_func("/waiting/no-starving", test_no_starving);
	g_test_add_func("/waiting/expire", test_expire);
	g_test_add_func("/waiting/bounds", test_bounds);
	g_test_add_func("/waiting/wave", test_wave);
	return g_test_run();
}
