#include "tarragonflow/control/gossip_queue.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define ITEMS_MIN_CAP 16
/* Sends of an item per doubling of the number of members. */
#define SENDS_PER_DOUBLING 2
/* Fewer sends for releases: a member's own messages carry its release, too. */
#define REVISION_SENDS_PER_DOUBLING 1

void gossip_queue_init(struct gossip_queue *queue)
{
	memset(queue, 0, sizeof(*queue));
}

void gossip_queue_finish(struct gossip_queue *queue)
{
	g_free(queue->items);
	gossip_queue_init(queue);
}

static struct gossip_item *find_item(struct gossip_queue *queue, bool is_zone,
				     const struct name *name)
{
	for (size_t i = 0; i < queue->n; i++)
		if ((queue->items[i].priority == GOSSIP_ZONE) == is_zone &&
		    name_equal(&queue->items[i].name, name))
			return &queue->items[i];
	return NULL;
}

static struct gossip_item *append_item(struct gossip_queue *queue)
{
	if (queue->n == queue->cap) {
		queue->cap = MAX(queue->cap * 2, ITEMS_MIN_CAP);
		queue->items =
			g_renew(struct gossip_item, queue->items, queue->cap);
	}
	return &queue->items[queue->n++];
}

/* The least urgent item; among equals the one sent most often. */
static struct gossip_item *find_least_urgent(struct gossip_queue *queue)
{
	struct gossip_item *least_urgent = &queue->items[0];

	for (size_t i = 1; i < queue->n; i++) {
		struct gossip_item *item = &queue->items[i];

		if (item->priority > least_urgent->priority ||
		    (item->priority == least_urgent->priority &&
		     item->send_count > least_urgent->send_count))
			least_urgent = item;
	}
	return least_urgent;
}

bool gossip_queue_put(struct gossip_queue *queue, enum gossip_priority priority,
		      const struct name *name, bool full_entry)
{
	struct gossip_item *item =
		find_item(queue, priority == GOSSIP_ZONE, name);
	bool has_space = true;

	if (!item) {
		has_space = queue->n < GOSSIP_QUEUE_MAX;
		item = has_space ? append_item(queue)
				 : find_least_urgent(queue);
		if (!has_space && item->priority < priority)
			return false;
		item->name = *name;
		item->priority = priority;
		item->full_entry = full_entry;
	}
	item->priority = MIN(item->priority, priority);
	item->full_entry = item->full_entry || full_entry;
	item->send_count = 0;
	return has_space;
}

static int item_order(const void *a, const void *b)
{
	const struct gossip_item *x = a, *y = b;

	if (x->priority != y->priority)
		return (int)x->priority - (int)y->priority;
	if (x->send_count != y->send_count)
		return x->send_count < y->send_count ? -1 : 1;
	return name_compare(&x->name, &y->name);
}

void gossip_queue_sort(struct gossip_queue *queue)
{
	if (queue->n > 1)
		qsort(queue->items, queue->n, sizeof(*queue->items),
		      item_order);
}

void gossip_queue_count_send(struct gossip_queue *queue, size_t i)
{
	queue->items[i].send_count++;
}

void gossip_queue_count_received(struct gossip_queue *queue,
				 const struct name *name)
{
	struct gossip_item *item = find_item(queue, false, name);

	if (item)
		item->send_count++;
}

bool gossip_queue_has_pending(const struct gossip_queue *queue,
			      enum gossip_priority priority)
{
	for (size_t i = 0; i < queue->n; i++)
		if (queue->items[i].priority <= priority)
			return true;
	return false;
}

unsigned int gossip_queue_send_limit(enum gossip_priority priority,
				     size_t n_members)
{
	unsigned int doublings = 1;

	while (n_members >> doublings)
		doublings++;
	return doublings * (priority == GOSSIP_REVISION
				    ? REVISION_SENDS_PER_DOUBLING
				    : SENDS_PER_DOUBLING);
}

void gossip_queue_prune(struct gossip_queue *queue, size_t n_members)
{
	size_t n_kept = 0;

	for (size_t i = 0; i < queue->n; i++) {
		const struct gossip_item *item = &queue->items[i];

		if (item->send_count <
		    gossip_queue_send_limit(item->priority, n_members))
			queue->items[n_kept++] = *item;
	}
	queue->n = n_kept;
}
