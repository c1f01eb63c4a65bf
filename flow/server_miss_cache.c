#include "tarragonflow/flow/server_miss_cache.h"

#define SERVER_MISS_CACHE_SEED 0x616273656e74ULL

static uint64_t nonzero_flow_hash(const struct flow_key *key)
{
	uint64_t hash = flow_key_hash(key, SERVER_MISS_CACHE_SEED);

	return hash ? hash : 1;
}

void server_miss_cache_add(struct server_miss_cache *cache,
			   const struct flow_key *key)
{
	uint64_t hash = nonzero_flow_hash(key);

	cache->hashes[hash & (SERVER_MISS_CACHE_ENTRIES - 1)] = hash;
}

bool server_miss_cache_contains(const struct server_miss_cache *cache,
				const struct flow_key *key)
{
	uint64_t hash = nonzero_flow_hash(key);

	return cache->hashes[hash & (SERVER_MISS_CACHE_ENTRIES - 1)] == hash;
}
