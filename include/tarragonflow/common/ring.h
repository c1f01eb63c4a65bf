#ifndef TARRAGONFLOW_COMMON_RING_H
#define TARRAGONFLOW_COMMON_RING_H

#include <ck_ring.h>
#include <stdbool.h>
#include <stddef.h>

/**
 * Bounded lock-free queue of pointers from one producer thread to one
 * consumer thread, based on Concurrency Kit. ring_push() fails when the ring
 * is full: producers never block but count and drop the item.
 */
struct ring {
	ck_ring_t ring;
	ck_ring_buffer_t *buffer;
};

/** @size must be a power of two; the ring holds up to @size - 1 items. */
void ring_init(struct ring *ring, unsigned int size);
void ring_finish(struct ring *ring);

/** Returns false when the ring is full. */
bool ring_push(struct ring *ring, void *item);

/** Returns NULL when the ring is empty. */
void *ring_pop(struct ring *ring);

#endif
