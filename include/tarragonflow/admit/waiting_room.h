#ifndef TARRAGONFLOW_ADMIT_WAITING_ROOM_H
#define TARRAGONFLOW_ADMIT_WAITING_ROOM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Opening packets that wait at an agent until its server has a free slot.
 *
 * Load pattern: all servers of a service were away, or a burst brings more
 * than the slots can run for a second or two. In the server's own queue, first
 * come first served, everybody then waits longer than the objective, and all
 * answers are late. Here those that can still be in time go first, by the
 * priority of their route, then the one that has waited longest; what is late
 * already takes the slots that are left, and at least every ALL_TURN-th turn,
 * so that it is not starved. Who can no longer be served before its caller
 * gives up is turned away at once. Pure: time is passed in.
 */

/** Opening packets that wait at most. */
#define WAITING_MAX 256

/** Largest opening packet that can wait, bytes. */
#define WAITING_BYTES 64

struct waiting {
	/** Tells callers' attempts apart. */
	uint64_t id;
	/** When the caller sent its first copy, as far as known, ms. */
	int64_t sent_ms;
	/** Time from then in which the answer is in time, ms; 0: unknown. */
	int64_t objective_ms;
	/** Of the route; 0 goes first. */
	uint16_t priority;
	uint16_t len;
	uint8_t data[WAITING_BYTES];
};

struct waiting_room {
	struct waiting entries[WAITING_MAX];
	size_t n;
	/** Turns since the oldest was taken whatever its state. */
	unsigned int turns;
};

void waiting_room_init(struct waiting_room *room);

/** Whether the attempt @id waits already. */
bool waiting_room_has(const struct waiting_room *room, uint64_t id);

/** Lets @entry wait; false when the room is full. */
bool waiting_room_put(struct waiting_room *room, const struct waiting *entry);

/**
 * Takes the next one to open a connection for; @service_ms is the usual time
 * of an answer. False when nobody waits.
 */
bool waiting_room_take(struct waiting_room *room, int64_t now_ms,
		       int64_t service_ms, struct waiting *entry);

/** Takes one whose caller is about to give up; false when there is none. */
bool waiting_room_expire(struct waiting_room *room, int64_t now_ms,
			 struct waiting *entry);

/**
 * Whether one more would wait until its caller, who sent at @sent_ms, gives
 * up, when @slots requests of @service_ms run at once.
 */
bool waiting_room_hopeless(const struct waiting_room *room, int64_t sent_ms,
			   int64_t now_ms, int64_t service_ms, uint32_t slots);

/** When waiting_room_expire() has something to do; CLOCK_NEVER if not. */
int64_t waiting_room_next_deadline(const struct waiting_room *room);

#endif
