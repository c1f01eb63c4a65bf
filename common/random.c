#include "tarragonflow/common/random.h"

/* Multiplier that maps adjacent seeds to distant states. */
#define SEED_MULTIPLIER 0x9e3779b97f4a7c15ULL

void random_init(struct random *random, uint64_t seed)
{
	/* The state of xorshift must not be zero. */
	random->state = (seed * SEED_MULTIPLIER) | 1;
}

uint64_t random_next(struct random *random)
{
	uint64_t x = random->state;

	x ^= x >> 12;
	x ^= x << 25;
	x ^= x >> 27;
	random->state = x;
	return x * 0x2545f4914f6cdd1dULL;
}

size_t random_below(struct random *random, size_t n)
{
	return n ? (size_t)((random_next(random) >> 11) % n) : 0;
}
