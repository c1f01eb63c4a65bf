#include "tarragonflow/flow/open_memory.h"

static uint64_t open_hash(const struct inner_packet *packet)
{
	return flow_key_hash(&packet->key, packet->seq);
}

void open_memory_put(struct open_memory *memory,
		     const struct inner_packet *packet, uint32_t member_id,
		     int64_t now_ms)
{
	uint64_t hash = open_hash(packet);
	struct handed_on *entry = &memory->entries[hash % OPEN_MEMORY_SIZE];

	entry->hash = hash;
	entry->until_ms = now_ms + OPEN_MEMORY_MS;
	entry->member_id = member_id;
}

uint32_t open_memory_get(const struct open_memory *memory,
			 const struct inner_packet *packet, int64_t now_ms)
{
	uint64_t hash = open_hash(packet);
	const struct handed_on *entry =
		&memory->entries[hash % OPEN_MEMORY_SIZE];

	if (entry->hash != hash || now_ms >= entry->until_ms)
		return 0;
	return entry->member_id;
}
