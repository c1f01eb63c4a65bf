#include "tarragonflow/control/gossip_queue.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define MIN_CAP 16
/* Sendings of an item for each doubling of the members. */
#define SENDS_PER_DOUBLING 2
/* Of what the member itself tells everybody it meets, too. */
#define LESSER_SENDS_PER_DOUBLING 1

void gossip_queue_init(struct gossip_queue *queue)
{
	memset(queue, 0, sizeof(*queue));
}

void gossip_queue_finish(struct gossip_queue *queue)
{
	g_free(queue->items);
	gossip_queue_init(queue);
}

static struct gossip_item *find(struct gossip_queue *queue, bool zone,
				const struct name *name)
{
	for (size_t i = 0; i < queue->n; i++)
		if ((queue->items[i].class == GOSSIP_ZONE) == zone &&
		    name_equal(&queue->items[i].name, name))
			return &queue->items[i];
	return NULL;
}

static struct gossip_item *append(struct gossip_queue *queue)
{
	if (queue->n == queue->cap) {
		queue->cap = MAX(queue->cap * 2, MIN_CAP);
		queue->items =
			g_renew(struct gossip_item, queue->items, queue->cap);
	}
	return &queue->items[queue->n++];
}

/* The least urgent item, of those the one that was sent most. */
static struct gossip_item *least_urgent(struct gossip_queue *queue)
{
	struct gossip_item *worst = &queue->items[0];

	for (size_t i = 1; i < queue->n; i++) {
		struct gossip_item *item = &queue->items[i];

		if (item->class > worst->class ||
		    (item->class == worst->class && item->sent > worst->sent))
			worst = item;
	}
	return worst;
}

bool gossip_queue_put(struct gossip_queue *queue, enum gossip_class class,
		      const struct name *name, bool whole)
{
	struct gossip_item *item = find(queue, class == GOSSIP_ZONE, name);
	bool room = true;

	if (!item) {
		room = queue->n < GOSSIP_QUEUE_MAX;
		item = room ? append(queue) : least_urgent(queue);
		if (!room && item->class < class)
			return false;
		item->name = *name;
		item->class = class;
		item->whole = whole;
	}
	item->class = MIN(item->class, class);
	item->whole = item->whole || whole;
	item->sent = 0;
	return room;
}

static int item_order(const void *a, const void *b)
{
	const struct gossip_item *x = a, *y = b;

	if (x->class != y->class)
		return (int)x->class - (int)y->class;
	if (x->sent != y->sent)
		return x->sent < y->sent ? -1 : 1;
	return name_compare(&x->name, &y->name);
}

void gossip_queue_sort(struct gossip_queue *queue)
{
	if (queue->n > 1)
		qsort(queue->items, queue->n, sizeof(*queue->items),
		      item_order);
}

void gossip_queue_sent(struct gossip_queue *queue, size_t i)
{
	queue->items[i].sent++;
}

void gossip_queue_heard(struct gossip_queue *queue, const struct name *name)
{
	struct gossip_item *item = find(queue, false, name);

	if (item)
		item->sent++;
}

bool gossip_queue_ready(const struct gossip_queue *queue,
			enum gossip_class class)
{
	for (size_t i = 0; i < queue->n; i++)
		if (queue->items[i].class <= class)
			return true;
	return false;
}

unsigned int gossip_queue_limit(enum gossip_class class, size_t n_members)
{
	unsigned int doublings = 1;

	while (n_members >> doublings)
		doublings++;
	return doublings * (class == GOSSIP_REVISION ? LESSER_SENDS_PER_DOUBLING
						     : SENDS_PER_DOUBLING);
}

void gossip_queue_prune(struct gossip_queue *queue, size_t n_members)
{
	size_t kept = 0;

	for (size_t i = 0; i < queue->n; i++) {
		const struct gossip_item *item = &queue->items[i];

		if (item->sent < gossip_queue_limit(item->class, n_members))
			queue->items[kept++] = *item;
	}
	queue->n = kept;
}
