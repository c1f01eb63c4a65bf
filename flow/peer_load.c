#include "tarragonflow/flow/peer_load.h"

#include "tarragonflow/net/packet.h"

/* Two notices of an agent, of which one may be lost, and the way. */
#define DEAF_PERCENT 233

static struct peer_load *entry_of(struct peer_loads *loads, uint32_t member_id)
{
	return &loads->entries[member_id & (PEER_LOADS - 1)];
}

void peer_loads_pace(struct peer_loads *loads, int64_t alive_ms)
{
	loads->deaf_ms = alive_ms * DEAF_PERCENT / 100;
}

void peer_load_hear(struct peer_loads *loads, uint32_t member_id, uint16_t load,
		    int64_t now_ms)
{
	struct peer_load *entry = entry_of(loads, member_id);

	if (entry->member_id != member_id) {
		entry->received = 0;
		entry->untold_ms = 0;
	}
	entry->member_id = member_id;
	entry->load = load;
	entry->heard_ms = now_ms;
}

void peer_load_sent(struct peer_loads *loads, uint32_t member_id,
		    int64_t now_ms)
{
	struct peer_load *entry = entry_of(loads, member_id);

	if (entry->member_id != member_id)
		return;
	if (!entry->untold_ms)
		entry->untold_ms = now_ms;
}

void peer_load_told(struct peer_loads *loads, uint32_t member_id,
		    uint32_t received)
{
	struct peer_load *entry = entry_of(loads, member_id);

	if (entry->member_id != member_id || entry->received == received)
		return;
	entry->received = received;
	entry->untold_ms = 0;
}

bool peer_load_deaf(const struct peer_loads *loads, uint32_t member_id,
		    int64_t now_ms)
{
	const struct peer_load *entry =
		&loads->entries[member_id & (PEER_LOADS - 1)];

	return entry->member_id == member_id && entry->untold_ms &&
	       now_ms - entry->untold_ms > loads->deaf_ms;
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
	    now_ms - entry->heard_ms > fresh_ms ||
	    peer_load_deaf(loads, member_id, now_ms))
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
