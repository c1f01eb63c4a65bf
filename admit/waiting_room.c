#include "tarragonflow/admit/waiting_room.h"

#include <glib.h>
#include <string.h>

#include "tarragonflow/common/clock.h"

/* Callers give an attempt up 1400 ms after its first copy. */
#define ATTEMPT_MS 1400
/* On the way back to the caller. */
#define RETURN_MS 50
/* One in so many turns goes to whoever waits longest. */
#define ALL_TURN 4

void waiting_room_init(struct waiting_room *room)
{
	room->n = 0;
	room->turns = 0;
}

bool waiting_room_has(const struct waiting_room *room, uint64_t id)
{
	for (size_t i = 0; i < room->n; i++)
		if (room->entries[i].id == id)
			return true;
	return false;
}

bool waiting_room_put(struct waiting_room *room, const struct waiting *entry)
{
	if (room->n == WAITING_MAX || entry->len > WAITING_BYTES)
		return false;
	room->entries[room->n++] = *entry;
	return true;
}

static void remove_at(struct waiting_room *room, size_t i,
		      struct waiting *entry)
{
	*entry = room->entries[i];
	room->entries[i] = room->entries[--room->n];
}

static bool in_time(const struct waiting *entry, int64_t now_ms,
		    int64_t service_ms)
{
	return !entry->objective_ms ||
	       now_ms + service_ms <= entry->sent_ms + entry->objective_ms;
}

/* Whether @a goes before @b, which are both in time or both late. */
static bool goes_first(const struct waiting *a, const struct waiting *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->sent_ms < b->sent_ms;
}

static size_t oldest(const struct waiting_room *room)
{
	size_t best = 0;

	for (size_t i = 1; i < room->n; i++)
		if (room->entries[i].sent_ms < room->entries[best].sent_ms)
			best = i;
	return best;
}

bool waiting_room_take(struct waiting_room *room, int64_t now_ms,
		       int64_t service_ms, struct waiting *entry)
{
	size_t best = 0;
	bool best_in_time;

	if (!room->n)
		return false;
	if (++room->turns % ALL_TURN == 0) {
		remove_at(room, oldest(room), entry);
		return true;
	}
	best_in_time = in_time(&room->entries[0], now_ms, service_ms);
	for (size_t i = 1; i < room->n; i++) {
		bool this_in_time =
			in_time(&room->entries[i], now_ms, service_ms);

		if (this_in_time == best_in_time
			    ? !goes_first(&room->entries[i],
					  &room->entries[best])
			    : best_in_time)
			continue;
		best = i;
		best_in_time = this_in_time;
	}
	remove_at(room, best, entry);
	return true;
}

bool waiting_room_expire(struct waiting_room *room, int64_t now_ms,
			 struct waiting *entry)
{
	size_t i;

	if (!room->n)
		return false;
	i = oldest(room);
	if (now_ms < room->entries[i].sent_ms + ATTEMPT_MS - RETURN_MS)
		return false;
	remove_at(room, i, entry);
	return true;
}

bool waiting_room_hopeless(const struct waiting_room *room, int64_t sent_ms,
			   int64_t now_ms, int64_t service_ms, uint32_t slots)
{
	int64_t wait_ms = (int64_t)(room->n + 1) * service_ms / MAX(slots, 1);

	return now_ms + wait_ms >= sent_ms + ATTEMPT_MS - RETURN_MS;
}

int64_t waiting_room_next_deadline(const struct waiting_room *room)
{
	if (!room->n)
		return CLOCK_NEVER;
	return room->entries[oldest(room)].sent_ms + ATTEMPT_MS - RETURN_MS;
}
