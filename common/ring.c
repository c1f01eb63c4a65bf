#include "tarragonflow/common/ring.h"

#include <glib.h>

void ring_init(struct ring *ring, unsigned int size)
{
	ring->buffer = g_new0(ck_ring_buffer_t, size);
	ck_ring_init(&ring->ring, size);
}

void ring_finish(struct ring *ring)
{
	g_free(ring->buffer);
	ring->buffer = NULL;
}

bool ring_push(struct ring *ring, void *item)
{
	return ck_ring_enqueue_spsc(&ring->ring, ring->buffer, item);
}

void *ring_pop(struct ring *ring)
{
	void *item = NULL;

	if (!ck_ring_dequeue_spsc(&ring->ring, ring->buffer, &item))
		return NULL;
	return item;
}
