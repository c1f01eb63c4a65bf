#include "tarragonflow/flow/peer_load.h"

#include "tarragonflow/net/packet.h"

/* Two notices of an agent, of which one may be lost, and the way. */
#define DEAF_PERCENT 233

static uint32_t place_of(uint32_t member_id, uint32_t i)
{
	return (member_id + i) & (PEER_LOADS - 1);
}

static const struct peer_load *find(const struct peer_loads *loads,
				    uint32_t member_id)
{
	for (uint32_t i = 0; i < PEER_LOAD_PLACES; i++) {
		const struct peer_load *entry =
			&loads->entries[place_of(member_id, i)];

		if (entry->member_id == member_id)
			return entry;
	}
	return NULL;
}

static struct peer_load *find_mutable(struct peer_loads *loads,
				      uint32_t member_id)
{
	return (struct peer_load *)find(loads, member_id);
}

/* Takes a free place, or that of the peer that was heard least recently. */
static struct peer_load *insert(struct peer_loads *loads, uint32_t member_id,
				int64_t now_ms)
{
	struct peer_load *oldest = NULL;

	for (uint32_t i = 0; i < PEER_LOAD_PLACES; i++) {
		struct peer_load *entry =
			&loads->entries[place_of(member_id, i)];

		if (!oldest ||
		    (oldest->member_id &&
		     (!entry->member_id || entry->heard_ms < oldest->heard_ms)))
			oldest = entry;
	}
	*oldest = (struct peer_load){
		.member_id = member_id,
		.load = PACKET_LOAD_FULL,
		.heard_ms = now_ms,
	};
	return oldest;
}

void peer_loads_pace(struct peer_loads *loads, int64_t alive_ms)
{
	loads->deaf_ms = alive_ms * DEAF_PERCENT / 100;
}

void peer_load_hear(struct peer_loads *loads, uint32_t member_id, uint16_t load,
		    int64_t now_ms)
{
	struct peer_load *entry = find_mutable(loads, member_id);

	if (!entry)
		entry = insert(loads, member_id, now_ms);
	entry->load = load;
	entry->heard_ms = now_ms;
}

void peer_load_answers(struct peer_loads *loads, uint32_t member_id,
		       uint16_t answer_ms)
{
	struct peer_load *entry = find_mutable(loads, member_id);

	if (entry)
		entry->answer_ms = answer_ms;
}

uint16_t peer_load_answer_ms(const struct peer_loads *loads, uint32_t member_id,
			     int64_t fresh_ms, int64_t now_ms)
{
	const struct peer_load *entry = find(loads, member_id);

	return entry && now_ms - entry->heard_ms <= fresh_ms ? entry->answer_ms
							     : 0;
}

void peer_load_sent(struct peer_loads *loads, uint32_t member_id,
		    int64_t now_ms)
{
	struct peer_load *entry = find_mutable(loads, member_id);

	if (!entry)
		return;
	if (!entry->untold_ms)
		entry->untold_ms = now_ms;
}

void peer_load_told(struct peer_loads *loads, uint32_t member_id,
		    uint32_t received)
{
	struct peer_load *entry = find_mutable(loads, member_id);

	if (!entry || entry->received == received)
		return;
	entry->received = received;
	entry->untold_ms = 0;
}

bool peer_load_deaf(const struct peer_loads *loads, uint32_t member_id,
		    int64_t now_ms)
{
	const struct peer_load *entry = find(loads, member_id);

	return entry && entry->untold_ms &&
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
	const struct peer_load *entry = find(loads, member_id);

	if (!entry || now_ms - entry->heard_ms > fresh_ms ||
	    peer_load_deaf(loads, member_id, now_ms))
		return PACKET_LOAD_FULL;
	return entry->load;
}

int64_t peer_load_heard_ms(const struct peer_loads *loads, uint32_t member_id,
			   int64_t since)
{
	const struct peer_load *entry = find(loads, member_id);

	if (!entry || entry->heard_ms < since)
		return since;
	return entry->heard_ms;
}

int64_t peer_load_silent_ms(struct peer_loads *loads, uint32_t member_id,
			    int64_t now_ms)
{
	const struct peer_load *entry = find(loads, member_id);

	if (!entry)
		entry = insert(loads, member_id, now_ms);
	return now_ms - entry->heard_ms;
}

void peer_load_add(struct peer_loads *loads, uint32_t member_id, uint16_t load)
{
	struct peer_load *entry = find_mutable(loads, member_id);

	if (entry && entry->load < PACKET_LOAD_SCALE)
		entry->load += load;
}
