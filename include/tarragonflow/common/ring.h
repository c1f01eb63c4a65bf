#ifndef TARRAGONFLOW_COMMON_RING_H
#define TARRAGONFLOW_COMMON_RING_H

#include <ck_ring.h>
#include <stdbool.h>
#include <stddef.h>

/**
 * A bounded ring of pointers between two duties (one producer thread, one
 * consumer thread), over Concurrency Kit. When full, ring_push() fails and
 * the producer counts and drops: producers never wait.
 */
struct ring {
	ck_ring_t ring;
	ck_ring_buffer_t *buffer;
};

/** @size is a power of two; the ring holds @size - 1 items. */
void ring_init(struct ring *ring, unsigned int size);
void ring_finish(struct ring *ring);

/** Returns false when the ring is full. */
bool ring_push(struct ring *ring, void *item);

/** Returns NULL when the ring is empty. */
void *ring_pop(struct ring *ring);

#endif
