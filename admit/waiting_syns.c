#include "tarragonflow/admit/waiting_syns.h"

#include <glib.h>
#include <string.h>

#include "tarragonflow/common/clock.h"

/* Callers time out a connection attempt 1400 ms after its first SYN. */
#define ATTEMPT_TIMEOUT_MS 1400
/* Time for the rejection to reach the caller before its timeout. */
#define REJECTION_DELAY_MS 50

void waiting_syns_init(struct waiting_syns *syns)
{
	syns->n = 0;
	syns->pops = 0;
}

bool waiting_syns_contains(const struct waiting_syns *syns, uint64_t id)
{
	for (size_t i = 0; i < syns->n; i++)
		if (syns->entries[i].id == id)
			return true;
	return false;
}

bool waiting_syns_add(struct waiting_syns *syns, const struct waiting *entry)
{
	if (syns->n == WAITING_ENTRIES_MAX ||
	    entry->len > WAITING_PACKET_BYTES_MAX)
		return false;
	syns->entries[syns->n++] = *entry;
	return true;
}

static void remove_entry(struct waiting_syns *syns, size_t i,
			 struct waiting *entry)
{
	*entry = syns->entries[i];
	syns->entries[i] = syns->entries[--syns->n];
}

bool waiting_syns_remove(struct waiting_syns *syns, uint64_t id)
{
	struct waiting removed;

	for (size_t i = 0; i < syns->n; i++) {
		if (syns->entries[i].id != id)
			continue;
		remove_entry(syns, i, &removed);
		return true;
	}
	return false;
}

static bool meets_objective(const struct waiting *entry, int64_t now_ms,
			    int64_t service_ms)
{
	return !entry->objective_ms ||
	       now_ms + service_ms <= entry->sent_ms + entry->objective_ms;
}

/* Whether @a is served before @b when both can meet their objective or neither
 * can. */
static bool is_served_before(const struct waiting *a, const struct waiting *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->sent_ms < b->sent_ms;
}

static size_t oldest_index(const struct waiting_syns *syns)
{
	size_t best = 0;

	for (size_t i = 1; i < syns->n; i++)
		if (syns->entries[i].sent_ms < syns->entries[best].sent_ms)
			best = i;
	return best;
}

bool waiting_syns_pop(struct waiting_syns *syns, int64_t now_ms,
		      int64_t service_ms, struct waiting *entry)
{
	size_t best = 0;
	bool best_meets_objective;

	if (!syns->n)
		return false;
	if (++syns->pops % WAITING_OLDEST_INTERVAL == 0) {
		remove_entry(syns, oldest_index(syns), entry);
		return true;
	}
	best_meets_objective =
		meets_objective(&syns->entries[0], now_ms, service_ms);
	for (size_t i = 1; i < syns->n; i++) {
		bool entry_meets_objective =
			meets_objective(&syns->entries[i], now_ms, service_ms);

		if (entry_meets_objective == best_meets_objective
			    ? !is_served_before(&syns->entries[i],
						&syns->entries[best])
			    : best_meets_objective)
			continue;
		best = i;
		best_meets_objective = entry_meets_objective;
	}
	remove_entry(syns, best, entry);
	return true;
}

uint32_t waiting_syns_count_late(const struct waiting_syns *syns,
				 int64_t now_ms, int64_t service_ms)
{
	uint32_t n = 0;

	for (size_t i = 0; i < syns->n; i++)
		n += !meets_objective(&syns->entries[i], now_ms, service_ms);
	return n;
}

bool waiting_syns_pop_expired(struct waiting_syns *syns, int64_t now_ms,
			      struct waiting *entry)
{
	size_t i;

	if (!syns->n)
		return false;
	i = oldest_index(syns);
	if (now_ms <
	    syns->entries[i].sent_ms + ATTEMPT_TIMEOUT_MS - REJECTION_DELAY_MS)
		return false;
	remove_entry(syns, i, entry);
	return true;
}

bool waiting_syns_would_expire(const struct waiting_syns *syns, int64_t sent_ms,
			       int64_t now_ms, int64_t service_ms,
			       uint32_t slots)
{
	int64_t wait_ms = (int64_t)(syns->n + 1) * service_ms / MAX(slots, 1);

	return now_ms + wait_ms >=
	       sent_ms + ATTEMPT_TIMEOUT_MS - REJECTION_DELAY_MS;
}

int64_t waiting_syns_next_deadline(const struct waiting_syns *syns)
{
	if (!syns->n)
		return CLOCK_NEVER;
	return syns->entries[oldest_index(syns)].sent_ms + ATTEMPT_TIMEOUT_MS -
	       REJECTION_DELAY_MS;
}
