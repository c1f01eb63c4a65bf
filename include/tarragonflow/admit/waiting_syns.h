#ifndef TARRAGONFLOW_ADMIT_WAITING_SYNS_H
#define TARRAGONFLOW_ADMIT_WAITING_SYNS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Queue of SYNs that wait at an agent until its server has a free slot.
 *
 * Load pattern: all servers of a service were unavailable, or for a second or
 * two a burst brings more requests than the slots can run. In the server's own
 * FIFO queue every request then waits longer than its response time objective,
 * and all responses are late. This queue first serves the SYNs whose requests
 * can still meet the objective, by priority of their route, then by age, the
 * oldest first. SYNs that are too late for their objective get the remaining
 * slots. To prevent their starvation, one in WAITING_OLDEST_INTERVAL calls of
 * waiting_syns_pop() takes the oldest SYN. SYNs that cannot be served before
 * their caller's timeout are rejected immediately. Pure functions: the current
 * time is a parameter.
 *
 * With `by_work`, a SYN counts as in time only with a margin for the variance
 * of service times, and one in WAITING_OLDEST_INTERVAL calls takes a SYN of the
 * priority that has had no turn for longest; see docs/design/overload.md.
 */

/** One in this many calls of waiting_syns_pop() takes the oldest SYN. */
#define WAITING_OLDEST_INTERVAL 4

/** Maximum number of waiting SYNs. */
#define WAITING_ENTRIES_MAX 256

/** Largest packet with a SYN that can wait, bytes. */
#define WAITING_PACKET_BYTES_MAX 64

/** Priorities that take their fairness turns separately. */
#define WAITING_PRIORITIES 8

/** A SYN in the queue. */
struct waiting {
	/** Identifies the caller's connection attempt; equal for all
	 * retransmissions of its SYN. */
	uint64_t id;
	/** When the caller sent the first copy of the SYN, as far as known, ms.
	 */
	int64_t sent_ms;
	/** Response time objective, counted from sent_ms, ms; 0: not set. */
	int64_t objective_ms;
	/** With `by_work`, expected service time of the request, ms; 0: that of
	 * any request. */
	int64_t service_ms;
	/** The copies of the SYN that have arrived, as bits; see
	 * waiting_record_copy(). */
	uint8_t copies;
	/** Priority of the route; 0 is the most urgent. */
	uint16_t priority;
	/** The packet, and its length in bytes. */
	uint16_t len;
	uint8_t data[WAITING_PACKET_BYTES_MAX];
};

/** The queue of waiting SYNs. */
struct waiting_syns {
	/** The first `n` are in use, unsorted. */
	struct waiting entries[WAITING_ENTRIES_MAX];
	size_t n;
	/** Number of calls of waiting_syns_pop() that returned an entry. */
	unsigned int pops;
	/** Value of `pops` when a SYN of a priority, modulo WAITING_PRIORITIES,
	 * was last taken. */
	unsigned int last_pops[WAITING_PRIORITIES];
	/** Setting `placement` = "work". */
	bool by_work;
};

/** The server's speed, for expected waits. */
struct waiting_service {
	/** Expected time until a slot is free, ms; 0: one is free. */
	int64_t slot_wait_ms;
	/** Expected service time of a request of unknown kind, ms. */
	int64_t service_ms;
	/** Requests that the server runs concurrently. */
	uint32_t slots;
};

void waiting_syns_init(struct waiting_syns *syns, bool by_work);

/** The SYN of the connection attempt @id in the queue, or NULL. */
struct waiting *waiting_syns_find(struct waiting_syns *syns, uint64_t id);

/** Records that a copy of the SYN has arrived that was sent @sent_ago_ms after
 * the first one. */
void waiting_record_copy(struct waiting *entry, uint16_t sent_ago_ms);

/**
 * Whether all copies of the SYN have arrived that its caller sends before it
 * times out. If not, another agent may have got one and opened the connection.
 */
bool waiting_has_all_copies(const struct waiting *entry);

/** Removes the SYN of the connection attempt @id. False when it is not in the
 * queue. */
bool waiting_syns_remove(struct waiting_syns *syns, uint64_t id);

/** Adds @entry. False when the queue is full or the packet is too large. */
bool waiting_syns_add(struct waiting_syns *syns, const struct waiting *entry);

/**
 * Removes the SYN whose connection is to be opened next and writes it to
 * @entry. @service_ms is the server's usual response time. False when the queue
 * is empty.
 */
bool waiting_syns_pop(struct waiting_syns *syns, int64_t now_ms,
		      int64_t service_ms, struct waiting *entry);

/** Number of SYNs that can no longer meet their objective. @service_ms is the
 * server's usual response time. */
uint32_t waiting_syns_count_late(const struct waiting_syns *syns,
				 int64_t now_ms, int64_t service_ms);

/** Removes a SYN whose caller is about to time out and writes it to @entry.
 * False when there is none. */
bool waiting_syns_pop_expired(struct waiting_syns *syns, int64_t now_ms,
			      struct waiting *entry);

/** Time until a request must have started for a caller that sent its SYN at
 * @sent_ms, ms. */
int64_t waiting_time_left_ms(int64_t sent_ms, int64_t now_ms);

/**
 * Expected wait of @entry if it is added now, ms: until a slot is free, and
 * for the SYNs that the order of waiting_syns_pop() takes before it.
 */
int64_t waiting_syns_expected_wait_ms(const struct waiting_syns *syns,
				      const struct waiting *entry,
				      int64_t now_ms,
				      const struct waiting_service *service);

/**
 * Whether @entry would wait until its caller times out. Without `by_work` all
 * waiting SYNs count as served before it.
 */
bool waiting_syns_would_expire(const struct waiting_syns *syns,
			       const struct waiting *entry, int64_t now_ms,
			       const struct waiting_service *service);

/** When the next SYN expires, see waiting_syns_pop_expired(), ms; CLOCK_NEVER
 * when the queue is empty. */
int64_t waiting_syns_next_deadline(const struct waiting_syns *syns);

#endif
