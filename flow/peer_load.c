#include "tarragonflow/flow/peer_load.h"

#include "tarragonflow/admit/work_left.h"
#include "tarragonflow/net/packet.h"

/* In percent of the heartbeat interval: two intervals, as one load report may
 * be lost, and the transmission time. */
#define ACK_TIMEOUT_PERCENT 233

static uint32_t probe_slot(uint32_t member_id, uint32_t i)
{
	return (member_id + i) & (PEER_LOADS - 1);
}

const struct peer_load *peer_load_find(const struct peer_loads *loads,
				       uint32_t member_id)
{
	for (uint32_t i = 0; i < PEER_LOAD_PROBE_SLOTS; i++) {
		const struct peer_load *entry =
			&loads->entries[probe_slot(member_id, i)];

		if (entry->member_id == member_id)
			return entry;
	}
	return NULL;
}

static struct peer_load *find_mutable(struct peer_loads *loads,
				      uint32_t member_id)
{
	return (struct peer_load *)peer_load_find(loads, member_id);
}

/* Adds an entry for @member_id in a free slot, or instead of the peer whose
 * last load report is the oldest. */
static struct peer_load *insert(struct peer_loads *loads, uint32_t member_id,
				int64_t now_ms)
{
	struct peer_load *oldest = NULL;

	for (uint32_t i = 0; i < PEER_LOAD_PROBE_SLOTS; i++) {
		struct peer_load *entry =
			&loads->entries[probe_slot(member_id, i)];

		if (!oldest || (oldest->member_id &&
				(!entry->member_id ||
				 entry->last_seen_ms < oldest->last_seen_ms)))
			oldest = entry;
	}
	*oldest = (struct peer_load){
		.member_id = member_id,
		.load = PACKET_LOAD_FULL,
		.reported_load = PACKET_LOAD_FULL,
		.last_seen_ms = now_ms,
	};
	return oldest;
}

void peer_loads_set_heartbeat_interval(struct peer_loads *loads,
				       int64_t heartbeat_interval_ms)
{
	loads->ack_timeout_ms =
		heartbeat_interval_ms * ACK_TIMEOUT_PERCENT / 100;
}

void peer_load_update(struct peer_loads *loads, uint32_t member_id,
		      uint16_t load, int64_t now_ms)
{
	struct peer_load *entry = find_mutable(loads, member_id);

	if (!entry)
		entry = insert(loads, member_id, now_ms);
	entry->load = load;
	entry->reported_load = load;
	entry->last_seen_ms = now_ms;
}

void peer_load_set_response_ms(struct peer_loads *loads, uint32_t member_id,
			       uint16_t response_ms)
{
	struct peer_load *entry = find_mutable(loads, member_id);

	if (entry)
		entry->response_ms = response_ms;
}

uint16_t peer_load_response_ms(const struct peer_loads *loads,
			       uint32_t member_id, int64_t max_age_ms,
			       int64_t now_ms)
{
	const struct peer_load *entry = peer_load_find(loads, member_id);

	return entry && now_ms - entry->last_seen_ms <= max_age_ms
		       ? entry->response_ms
		       : 0;
}

void peer_load_record_sent(struct peer_loads *loads, uint32_t member_id,
			   int64_t now_ms)
{
	struct peer_load *entry = find_mutable(loads, member_id);

	if (!entry)
		return;
	if (!entry->unacked_since_ms)
		entry->unacked_since_ms = now_ms;
}

void peer_load_record_received(struct peer_loads *loads, uint32_t member_id,
			       uint32_t received)
{
	struct peer_load *entry = find_mutable(loads, member_id);

	if (!entry || entry->received == received)
		return;
	entry->received = received;
	entry->unacked_since_ms = 0;
}

bool peer_load_is_unreachable(const struct peer_loads *loads,
			      uint32_t member_id, int64_t now_ms)
{
	const struct peer_load *entry = peer_load_find(loads, member_id);

	return entry && entry->unacked_since_ms &&
	       now_ms - entry->unacked_since_ms > loads->ack_timeout_ms;
}

uint16_t peer_load_get(const struct peer_loads *loads, uint32_t member_id,
		       int64_t now_ms)
{
	return peer_load_get_fresh(loads, member_id, PEER_LOAD_MAX_AGE_MS,
				   now_ms);
}

uint16_t peer_load_get_fresh(const struct peer_loads *loads, uint32_t member_id,
			     int64_t max_age_ms, int64_t now_ms)
{
	const struct peer_load *entry = peer_load_find(loads, member_id);

	if (!entry || now_ms - entry->last_seen_ms > max_age_ms ||
	    peer_load_is_unreachable(loads, member_id, now_ms))
		return PACKET_LOAD_FULL;
	return entry->load;
}

int64_t peer_load_last_seen_ms(const struct peer_loads *loads,
			       uint32_t member_id, int64_t earliest_ms)
{
	const struct peer_load *entry = peer_load_find(loads, member_id);

	if (!entry || entry->last_seen_ms < earliest_ms)
		return earliest_ms;
	return entry->last_seen_ms;
}

int64_t peer_load_age_ms(struct peer_loads *loads, uint32_t member_id,
			 int64_t now_ms)
{
	const struct peer_load *entry = peer_load_find(loads, member_id);

	if (!entry)
		entry = insert(loads, member_id, now_ms);
	return now_ms - entry->last_seen_ms;
}

void peer_load_add(struct peer_loads *loads, uint32_t member_id, uint16_t load)
{
	struct peer_load *entry = find_mutable(loads, member_id);

	if (entry && entry->load < PACKET_LOAD_SCALE)
		entry->load += load;
}

void peer_load_add_requests(struct peer_loads *loads, uint32_t member_id,
			    double requests, uint32_t slots)
{
	struct peer_load *entry = find_mutable(loads, member_id);

	if (entry)
		entry->load = work_left_add(entry->load, requests, slots);
}
