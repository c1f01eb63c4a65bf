#include "tarragonflow/flow/absent_memory.h"

#define ABSENT_FLOWS_SEED 0x616273656e74ULL

static uint64_t absent_flow_hash(const struct flow_key *key)
{
	uint64_t hash = flow_key_hash(key, ABSENT_FLOWS_SEED);

	return hash ? hash : 1;
}

void absent_flows_add(struct absent_flows *memory, const struct flow_key *key)
{
	uint64_t hash = absent_flow_hash(key);

	memory->hashes[hash & (ABSENT_FLOWS_SIZE - 1)] = hash;
}

bool absent_flows_has(const struct absent_flows *memory,
		      const struct flow_key *key)
{
	uint64_t hash = absent_flow_hash(key);

	return memory->hashes[hash & (ABSENT_FLOWS_SIZE - 1)] == hash;
}
