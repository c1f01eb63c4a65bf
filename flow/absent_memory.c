#include "tarragonflow/flow/absent_memory.h"

#define ABSENT_SEED 0x616273656e74ULL

static uint64_t absent_hash(const struct flow_key *key)
{
	uint64_t hash = flow_key_hash(key, ABSENT_SEED);

	return hash ? hash : 1;
}

void absent_memory_put(struct absent_memory *memory, const struct flow_key *key)
{
	uint64_t hash = absent_hash(key);

	memory->hashes[hash & (ABSENT_MEMORY_SIZE - 1)] = hash;
}

bool absent_memory_has(const struct absent_memory *memory,
		       const struct flow_key *key)
{
	uint64_t hash = absent_hash(key);

	return memory->hashes[hash & (ABSENT_MEMORY_SIZE - 1)] == hash;
}
