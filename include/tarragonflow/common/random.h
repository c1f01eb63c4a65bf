#ifndef TARRAGONFLOW_COMMON_RANDOM_H
#define TARRAGONFLOW_COMMON_RANDOM_H

#include <stddef.h>
#include <stdint.h>

/** Seeded pseudo-random generator (xorshift64*); not for secrets. */
struct random {
	uint64_t state;
};

void random_init(struct random *random, uint64_t seed);
uint64_t random_next(struct random *random);

/** Returns a number from 0 to @n - 1; 0 when @n is 0. */
size_t random_below(struct random *random, size_t n);

#endif
