#ifndef TARRAGONFLOW_ADMIT_WAITING_ROOM_H
#define TARRAGONFLOW_ADMIT_WAITING_ROOM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Queue of opening packets that wait at an agent until its server has a free
 * slot.
 *
 * Load pattern: all servers of a service were unavailable, or for a second or
 * two a burst brings more requests than the slots can run. In the server's own
 * FIFO queue every request then waits longer than its objective, and all
 * responses are late. This queue first serves the packets that can still meet
 * their objective, by priority of their route, then the oldest first. Packets
 * that are already late get the remaining slots; to prevent their starvation,
 * one in OLDEST_INTERVAL pops takes the oldest packet. Packets that cannot be
 * served before their caller's timeout are rejected immediately. Pure
 * functions: the current time is a parameter.
 */

/** Maximum number of waiting opening packets. */
#define WAITING_ENTRIES_MAX 256

/** Largest opening packet that can wait, bytes. */
#define WAITING_PACKET_BYTES_MAX 64

/** An opening packet in the queue. */
struct waiting {
	/** Identifies the caller's connection attempt: the same for all
	 * retransmissions of its opening packet. */
	uint64_t id;
	/** When the caller first sent the packet, as far as known, ms. */
	int64_t sent_ms;
	/** Response time objective, counted from sent_ms, ms; 0: not set. */
	int64_t objective_ms;
	/** Priority of the route; 0 is the most urgent. */
	uint16_t priority;
	uint16_t len;
	uint8_t data[WAITING_PACKET_BYTES_MAX];
};

struct waiting_room {
	/** Unsorted. */
	struct waiting entries[WAITING_ENTRIES_MAX];
	size_t n;
	/** Number of calls of waiting_room_pop() that found an entry. */
	unsigned int pops;
};

void waiting_room_init(struct waiting_room *room);

/** Whether an opening packet of the attempt @id is in the queue. */
bool waiting_room_contains(const struct waiting_room *room, uint64_t id);

/** Adds @entry; false when the queue is full or the packet too large. */
bool waiting_room_add(struct waiting_room *room, const struct waiting *entry);

/**
 * Removes the next packet to open a connection for; @service_ms is the usual
 * response time. False when the queue is empty.
 */
bool waiting_room_pop(struct waiting_room *room, int64_t now_ms,
		      int64_t service_ms, struct waiting *entry);

/** Removes a packet whose caller is about to time out; false when there is
 * none. */
bool waiting_room_pop_expired(struct waiting_room *room, int64_t now_ms,
			      struct waiting *entry);

/**
 * Whether one more packet, first sent at @sent_ms, would wait until its caller
 * times out, when @slots requests of @service_ms run concurrently.
 */
bool waiting_room_would_expire(const struct waiting_room *room, int64_t sent_ms,
			       int64_t now_ms, int64_t service_ms,
			       uint32_t slots);

/** When the next packet expires, ms; CLOCK_NEVER when the queue is empty. */
int64_t waiting_room_next_deadline(const struct waiting_room *room);

#endif
