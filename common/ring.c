#include "tarragonflow/common/ring.h"

#include <glib.h>

/*
 * Concurrency Kit orders memory accesses by inline assembly, which the thread
 * sanitizer cannot see. This file is built without the sanitizer; these
 * annotations describe the ordering of push and pop to it instead.
 */
#ifdef RING_ANNOTATE_TSAN
void __tsan_acquire(void *addr);
void __tsan_release(void *addr);
#define ring_acquire(ring) __tsan_acquire(ring)
#define ring_release(ring) __tsan_release(ring)
#else
#define ring_acquire(ring) ((void)(ring))
#define ring_release(ring) ((void)(ring))
#endif

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
	ring_release(ring);
	return ck_ring_enqueue_spsc(&ring->ring, ring->buffer, item);
}

void *ring_pop(struct ring *ring)
{
	void *item = NULL;

	if (!ck_ring_dequeue_spsc(&ring->ring, ring->buffer, &item))
		return NULL;
	ring_acquire(ring);
	return item;
}
