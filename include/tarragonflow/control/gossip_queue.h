#ifndef TARRAGONFLOW_CONTROL_GOSSIP_QUEUE_H
#define TARRAGONFLOW_CONTROL_GOSSIP_QUEUE_H

#include <stdbool.h>
#include <stddef.h>

#include "tarragonflow/common/str.h"

/** Priority of an item, the most urgent first. */
enum gossip_priority {
	/** Report on the state of a whole zone. */
	GOSSIP_ZONE,
	/** The local entry. */
	GOSSIP_SELF,
	/** State of a member. */
	GOSSIP_STATE,
	/** A new member, or a new instance of one. */
	GOSSIP_JOIN,
	/** Configuration release in force at a member. */
	GOSSIP_REVISION,
};

struct gossip_item {
	/** Name of a member, or of a zone for GOSSIP_ZONE. */
	struct name name;
	enum gossip_priority priority;
	/** Send the full entry: the receiver may lack the member. */
	bool full_entry;
	unsigned int send_count;
};

/**
 * Queue of changes to gossip. An item holds only the name of its member or
 * zone; the content is looked up when it is sent, so a later change replaces
 * an earlier one. Each item is sent a limited number of times, which grows
 * with the logarithm of the number of members.
 */
struct gossip_queue {
	struct gossip_item *items;
	size_t n, cap;
};

void gossip_queue_init(struct gossip_queue *queue);
void gossip_queue_finish(struct gossip_queue *queue);

/** Maximum number of items; anti-entropy spreads what does not fit. */
#define GOSSIP_QUEUE_MAX 512

/**
 * Queues @name and resets its send count. False when the queue was full and
 * the least urgent item, possibly the new one, was dropped.
 */
bool gossip_queue_put(struct gossip_queue *queue, enum gossip_priority priority,
		      const struct name *name, bool full_entry);

/** Sorts by priority, then by ascending send count. */
void gossip_queue_sort(struct gossip_queue *queue);

/** Increments the send count of item @i. */
void gossip_queue_count_send(struct gossip_queue *queue, size_t i);

/** Counts gossip about @name received from a peer as one send. */
void gossip_queue_count_received(struct gossip_queue *queue,
				 const struct name *name);

/** Removes the items that reached the send limit for @n_members. */
void gossip_queue_prune(struct gossip_queue *queue, size_t n_members);

/** Whether an item of @priority or a more urgent one is queued. */
bool gossip_queue_has_pending(const struct gossip_queue *queue,
			      enum gossip_priority priority);

/** How often an item of @priority is sent in a group of @n_members. */
unsigned int gossip_queue_send_limit(enum gossip_priority priority,
				     size_t n_members);

#endif
