#include "tarragonflow/flow/peer_load.h"

#include "tarragonflow/net/packet.h"

static struct peer_load *entry_of(struct peer_loads *loads, uint32_t member_id)
{
	return &loads->entries[member_id & (PEER_LOADS - 1)];
}

void peer_load_hear(struct peer_loads *loads, uint32_t member_id, uint16_t load,
		    int64_t now_ms)
{
	struct peer_load *entry = entry_of(loads, member_id);

	entry->member_id = member_id;
	entry->load = load;
	entry->heard_ms = now_ms;
}

uint16_t peer_load_of(const struct peer_loads *loads, uint32_t member_id,
		      int64_t now_ms)
{
	return peer_load_fresh(loads, member_id, PEER_LOAD_FRESH_MS, now_ms);
}

uint16_t peer_load_fresh(const struct peer_loads *loads, uint32_t member_id,
			 int64_t fresh_ms, int64_t now_ms)
{
	const struct peer_load *entry =
		&loads->entries[member_id & (PEER_LOADS - 1)];

	if (entry->member_id != member_id ||
	    now_ms - entry->heard_ms > fresh_ms)
		return PACKET_LOAD_FULL;
	return entry->load;
}

int64_t peer_load_heard_ms(const struct peer_loads *loads, uint32_t member_id,
			   int64_t since)
{
	const struct peer_load *entry =
		&loads->entries[member_id & (PEER_LOADS - 1)];

	if (entry->member_id != member_id || entry->heard_ms < since)
		return since;
	return entry->heard_ms;
}

void peer_load_add(struct peer_loads *loads, uint32_t member_id, uint16_t load)
{
	struct peer_load *entry = entry_of(loads, member_id);

	if (entry->member_id == member_id && entry->load < PACKET_LOAD_SCALE)
		entry->load += load;
}
