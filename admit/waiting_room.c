#include "tarragonflow/admit/waiting_room.h"

#include <glib.h>
#include <string.h>

#include "tarragonflow/common/clock.h"

/* Callers time out a connection attempt 1400 ms after its first packet. */
#define ATTEMPT_TIMEOUT_MS 1400
/* Time for the rejection to reach the caller before its timeout. */
#define REJECTION_DELAY_MS 50
/* One in this many pops takes the oldest packet. */
#define OLDEST_INTERVAL 4

void waiting_room_init(struct waiting_room *room)
{
	room->n = 0;
	room->pops = 0;
}

bool waiting_room_contains(const struct waiting_room *room, uint64_t id)
{
	for (size_t i = 0; i < room->n; i++)
		if (room->entries[i].id == id)
			return true;
	return false;
}

bool waiting_room_add(struct waiting_room *room, const struct waiting *entry)
{
	if (room->n == WAITING_ENTRIES_MAX ||
	    entry->len > WAITING_PACKET_BYTES_MAX)
		return false;
	room->entries[room->n++] = *entry;
	return true;
}

static void remove_entry(struct waiting_room *room, size_t i,
			 struct waiting *entry)
{
	*entry = room->entries[i];
	room->entries[i] = room->entries[--room->n];
}

static bool meets_objective(const struct waiting *entry, int64_t now_ms,
			    int64_t service_ms)
{
	return !entry->objective_ms ||
	       now_ms + service_ms <= entry->sent_ms + entry->objective_ms;
}

/* Whether @a is served before @b when both are in time or both are late. */
static bool is_served_before(const struct waiting *a, const struct waiting *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->sent_ms < b->sent_ms;
}

static size_t oldest_index(const struct waiting_room *room)
{
	size_t best = 0;

	for (size_t i = 1; i < room->n; i++)
		if (room->entries[i].sent_ms < room->entries[best].sent_ms)
			best = i;
	return best;
}

bool waiting_room_pop(struct waiting_room *room, int64_t now_ms,
		      int64_t service_ms, struct waiting *entry)
{
	size_t best = 0;
	bool best_in_time;

	if (!room->n)
		return false;
	if (++room->pops % OLDEST_INTERVAL == 0) {
		remove_entry(room, oldest_index(room), entry);
		return true;
	}
	best_in_time = meets_objective(&room->entries[0], now_ms, service_ms);
	for (size_t i = 1; i < room->n; i++) {
		bool candidate_in_time =
			meets_objective(&room->entries[i], now_ms, service_ms);

		if (candidate_in_time == best_in_time
			    ? !is_served_before(&room->entries[i],
						&room->entries[best])
			    : best_in_time)
			continue;
		best = i;
		best_in_time = candidate_in_time;
	}
	remove_entry(room, best, entry);
	return true;
}

bool waiting_room_pop_expired(struct waiting_room *room, int64_t now_ms,
			      struct waiting *entry)
{
	size_t i;

	if (!room->n)
		return false;
	i = oldest_index(room);
	if (now_ms <
	    room->entries[i].sent_ms + ATTEMPT_TIMEOUT_MS - REJECTION_DELAY_MS)
		return false;
	remove_entry(room, i, entry);
	return true;
}

bool waiting_room_would_expire(const struct waiting_room *room, int64_t sent_ms,
			       int64_t now_ms, int64_t service_ms,
			       uint32_t slots)
{
	int64_t wait_ms = (int64_t)(room->n + 1) * service_ms / MAX(slots, 1);

	return now_ms + wait_ms >=
	       sent_ms + ATTEMPT_TIMEOUT_MS - REJECTION_DELAY_MS;
}

int64_t waiting_room_next_deadline(const struct waiting_room *room)
{
	if (!room->n)
		return CLOCK_NEVER;
	return room->entries[oldest_index(room)].sent_ms + ATTEMPT_TIMEOUT_MS -
	       REJECTION_DELAY_MS;
}
