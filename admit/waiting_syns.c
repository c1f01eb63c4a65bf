#include "tarragonflow/admit/waiting_syns.h"

#include <glib.h>
#include <string.h>

#include "tarragonflow/common/clock.h"

/* Callers time out a connection attempt 1400 ms after its first SYN. */
#define ATTEMPT_TIMEOUT_MS 1400
/* Callers send copies of a SYN 200 ms and 600 ms after it; times in between
 * tell them apart. */
#define SECOND_COPY_MS 100
#define THIRD_COPY_MS 400
#define COPIES 3
/* Time for the rejection to reach the caller before its timeout. */
#define REJECTION_DELAY_MS 50
/* With by_work, a SYN is in time when its objective leaves this much of the
 * expected service time. With 100% nearly half of the requests that start at
 * the last moment miss their objective. With 200%, priority 2 gains 1 to 2
 * points in time at 150% load (bench overload_kinds), but where feeds reopen 14
 * of 18 shares in time are lower, by up to 1.1 points (bench overload, seeds 1
 * to 3). */
#define SERVICE_MARGIN_PERCENT 150

void waiting_syns_init(struct waiting_syns *syns, bool by_work)
{
	syns->n = 0;
	syns->pops = 0;
	memset(syns->last_pops, 0, sizeof(syns->last_pops));
	syns->by_work = by_work;
}

struct waiting *waiting_syns_find(struct waiting_syns *syns, uint64_t id)
{
	for (size_t i = 0; i < syns->n; i++)
		if (syns->entries[i].id == id)
			return &syns->entries[i];
	return NULL;
}

void waiting_record_copy(struct waiting *entry, uint16_t sent_ago_ms)
{
	entry->copies |= (uint8_t)(1U << ((sent_ago_ms >= SECOND_COPY_MS) +
					  (sent_ago_ms >= THIRD_COPY_MS)));
}

bool waiting_has_all_copies(const struct waiting *entry)
{
	return entry->copies == (1U << COPIES) - 1;
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

/* Index of the next SYN in the order without by_work. */
static size_t next_by_requests(const struct waiting_syns *syns, int64_t now_ms,
			       int64_t service_ms)
{
	size_t best = 0;
	bool best_meets_objective =
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
	return best;
}

static int64_t expiry_ms(const struct waiting *entry)
{
	return entry->sent_ms + ATTEMPT_TIMEOUT_MS - REJECTION_DELAY_MS;
}

/* When the request is to be done: by its objective or the caller's timeout. */
static int64_t deadline_ms(const struct waiting *entry)
{
	if (!entry->objective_ms)
		return expiry_ms(entry);
	return MIN(entry->sent_ms + entry->objective_ms, expiry_ms(entry));
}

/* Expected service time of the request of @entry; @service_ms if unknown. */
static int64_t entry_service_ms(const struct waiting *entry, int64_t service_ms)
{
	return entry->service_ms ? entry->service_ms : service_ms;
}

static bool is_late(const struct waiting *entry, int64_t now_ms,
		    int64_t service_ms)
{
	int64_t margin_ms = entry_service_ms(entry, service_ms) *
			    SERVICE_MARGIN_PERCENT / 100;

	/* With slow services a SYN would be late as soon as it arrives. */
	if (entry->objective_ms)
		margin_ms = MIN(margin_ms, entry->objective_ms / 2);
	return now_ms + margin_ms > deadline_ms(entry);
}

/* Whether @a is served before @b with by_work: what is in time first, then by
 * priority, then by deadline; late SYNs by age. A fairness turn is for the
 * priority that has had no turn for longest, also when its SYNs are late. */
static bool precedes(const struct waiting_syns *syns, const struct waiting *a,
		     const struct waiting *b, bool is_fairness_turn,
		     int64_t now_ms, int64_t service_ms)
{
	unsigned int a_last = syns->last_pops[a->priority % WAITING_PRIORITIES];
	unsigned int b_last = syns->last_pops[b->priority % WAITING_PRIORITIES];
	bool a_is_late = is_late(a, now_ms, service_ms);

	if (is_fairness_turn && a_last != b_last)
		return syns->pops - a_last > syns->pops - b_last;
	if (a_is_late != is_late(b, now_ms, service_ms))
		return !a_is_late;
	if (!is_fairness_turn && a->priority != b->priority)
		return a->priority < b->priority;
	return a_is_late ? a->sent_ms < b->sent_ms
			 : deadline_ms(a) < deadline_ms(b);
}

static size_t next_by_work(const struct waiting_syns *syns,
			   bool is_fairness_turn, int64_t now_ms,
			   int64_t service_ms)
{
	size_t best = 0;

	for (size_t i = 1; i < syns->n; i++)
		if (precedes(syns, &syns->entries[i], &syns->entries[best],
			     is_fairness_turn, now_ms, service_ms))
			best = i;
	return best;
}

bool waiting_syns_pop(struct waiting_syns *syns, int64_t now_ms,
		      int64_t service_ms, struct waiting *entry)
{
	bool is_fairness_turn;
	size_t next;

	if (!syns->n)
		return false;
	is_fairness_turn = ++syns->pops % WAITING_OLDEST_INTERVAL == 0;
	if (syns->by_work)
		next = next_by_work(syns, is_fairness_turn, now_ms, service_ms);
	else if (is_fairness_turn)
		next = oldest_index(syns);
	else
		next = next_by_requests(syns, now_ms, service_ms);
	remove_entry(syns, next, entry);
	syns->last_pops[entry->priority % WAITING_PRIORITIES] = syns->pops;
	return true;
}

uint32_t waiting_syns_count_late(const struct waiting_syns *syns,
				 int64_t now_ms, int64_t service_ms)
{
	uint32_t n = 0;

	for (size_t i = 0; i < syns->n; i++)
		n += syns->by_work
			     ? is_late(&syns->entries[i], now_ms, service_ms)
			     : !meets_objective(&syns->entries[i], now_ms,
						service_ms);
	return n;
}

int64_t waiting_time_left_ms(int64_t sent_ms, int64_t now_ms)
{
	return sent_ms + ATTEMPT_TIMEOUT_MS - REJECTION_DELAY_MS - now_ms;
}

bool waiting_syns_pop_expired(struct waiting_syns *syns, int64_t now_ms,
			      struct waiting *entry)
{
	size_t oldest;

	if (!syns->n)
		return false;
	oldest = oldest_index(syns);
	if (now_ms < expiry_ms(&syns->entries[oldest]))
		return false;
	remove_entry(syns, oldest, entry);
	return true;
}

int64_t waiting_syns_expected_wait_ms(const struct waiting_syns *syns,
				      const struct waiting *entry,
				      int64_t now_ms,
				      const struct waiting_service *service)
{
	int64_t before_ms = 0, all_ms = 0;

	for (size_t i = 0; i < syns->n; i++) {
		const struct waiting *other = &syns->entries[i];
		int64_t other_ms = entry_service_ms(other, service->service_ms);

		all_ms += other_ms;
		if (!precedes(syns, entry, other, false, now_ms,
			      service->service_ms))
			before_ms += other_ms;
	}
	/* The fairness turns between go to any of the others. */
	before_ms = MIN(all_ms,
			before_ms + before_ms / (WAITING_OLDEST_INTERVAL - 1));
	return service->slot_wait_ms + before_ms / MAX(service->slots, 1);
}

bool waiting_syns_would_expire(const struct waiting_syns *syns,
			       const struct waiting *entry, int64_t now_ms,
			       const struct waiting_service *service)
{
	int64_t left_ms = waiting_time_left_ms(entry->sent_ms, now_ms);

	if (!syns->by_work)
		return (int64_t)(syns->n + 1) * service->service_ms /
			       MAX(service->slots, 1) >=
		       left_ms;
	return waiting_syns_expected_wait_ms(syns, entry, now_ms, service) >=
	       left_ms;
}

int64_t waiting_syns_next_deadline(const struct waiting_syns *syns)
{
	if (!syns->n)
		return CLOCK_NEVER;
	return expiry_ms(&syns->entries[oldest_index(syns)]);
}
