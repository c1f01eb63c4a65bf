#include "tarragonflow/flow/forwarded_syns.h"

static uint64_t syn_hash(const struct inner_packet *packet)
{
	return flow_key_hash(&packet->key, packet->seq);
}

void forwarded_syns_add(struct forwarded_syns *cache,
			const struct inner_packet *packet, uint32_t member_id,
			int64_t now_ms)
{
	uint64_t hash = syn_hash(packet);
	struct forwarded_syn *entry =
		&cache->entries[hash % FORWARDED_SYNS_SIZE];

	entry->hash = hash;
	entry->expires_ms = now_ms + FORWARDED_SYNS_TTL_MS;
	entry->member_id = member_id;
}

uint32_t forwarded_syns_find(const struct forwarded_syns *cache,
			     const struct inner_packet *packet, int64_t now_ms)
{
	uint64_t hash = syn_hash(packet);
	const struct forwarded_syn *entry =
		&cache->entries[hash % FORWARDED_SYNS_SIZE];

	if (entry->hash != hash || now_ms >= entry->expires_ms)
		return 0;
	return entry->member_id;
}
