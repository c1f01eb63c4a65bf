#ifndef TARRAGONFLOW_CONTROL_GOSSIP_QUEUE_H
#define TARRAGONFLOW_CONTROL_GOSSIP_QUEUE_H

#include <stdbool.h>
#include <stddef.h>

#include "tarragonflow/common/str.h"

/**
 * What changed and has still to be told, most urgent first. An item names
 * its subject; the content is looked up when it is sent, so a later change
 * replaces an earlier one. Each item is sent a bounded number of times,
 * which grows with the logarithm of the members.
 */
enum gossip_class {
	/** State of whole zones. */
	GOSSIP_ZONE,
	/** Our own word about ourselves. */
	GOSSIP_OWN,
	/** State of a member. */
	GOSSIP_STATE,
	/** A member that others may not know. */
	GOSSIP_JOIN,
	/** Release that is in force at a member. */
	GOSSIP_REVISION,
};

struct gossip_item {
	/** A member, or a zone for GOSSIP_ZONE. */
	struct name name;
	enum gossip_class class;
	/** The receiver may not know the member: send the whole entry. */
	bool whole;
	unsigned int sent;
};

struct gossip_queue {
	struct gossip_item *items;
	size_t n, cap;
};

void gossip_queue_init(struct gossip_queue *queue);
void gossip_queue_finish(struct gossip_queue *queue);

/** Items at most; anti-entropy tells what found no place. */
#define GOSSIP_QUEUE_MAX 512

/**
 * Queues @name anew; it counts as never sent. False when the queue was full
 * and the least urgent item, perhaps this one, was given up.
 */
bool gossip_queue_put(struct gossip_queue *queue, enum gossip_class class,
		      const struct name *name, bool whole);

/** Sorts by urgency, then the least sent first. */
void gossip_queue_sort(struct gossip_queue *queue);

/** Counts a sending of item @i. */
void gossip_queue_sent(struct gossip_queue *queue, size_t i);

/** A peer told us what we have queued about member @name: it spreads. */
void gossip_queue_heard(struct gossip_queue *queue, const struct name *name);

/** Removes what was sent often enough among @n_members. */
void gossip_queue_prune(struct gossip_queue *queue, size_t n_members);

/** Whether an item of @class or a more urgent one waits. */
bool gossip_queue_ready(const struct gossip_queue *queue,
			enum gossip_class class);

/** How often an item of @class is sent among @n_members. */
unsigned int gossip_queue_limit(enum gossip_class class, size_t n_members);

#endif
