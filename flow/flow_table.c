#include "tarragonflow/flow/flow_table.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define SLOTS_MIN 64
/* Addresses and ports, which are contiguous in struct flow. */
#define KEY_BYTES (offsetof(struct flow, dst_port) + sizeof(uint16_t))

void flow_table_init(struct flow_table *table, uint32_t max, uint64_t seed)
{
	uint32_t size = SLOTS_MIN;

	/* At most seven eighths full, which keeps probe sequences short. */
	while (size / 8 * 7 < max)
		size *= 2;
	memset(table, 0, sizeof(*table));
	table->slots = g_new0(struct flow, size);
	table->mask = size - 1;
	table->max_used = max;
	table->seed = seed;
}

void flow_table_finish(struct flow_table *table)
{
	g_free(table->slots);
	memset(table, 0, sizeof(*table));
}

static uint32_t home_slot(const struct flow_table *table,
			  const struct flow *flow)
{
	return (uint32_t)XXH3_64bits_withSeed(flow->src, KEY_BYTES,
					      table->seed) &
	       table->mask;
}

static void flow_set_key(struct flow *flow, const struct flow_key *key)
{
	memcpy(flow->src, key->src.bytes, sizeof(flow->src));
	memcpy(flow->dst, key->dst.bytes, sizeof(flow->dst));
	flow->src_port = key->src_port;
	flow->dst_port = key->dst_port;
}

void flow_get_key(struct flow_key *key, const struct flow *flow)
{
	memset(key, 0, sizeof(*key));
	memcpy(key->src.bytes, flow->src, sizeof(flow->src));
	memcpy(key->dst.bytes, flow->dst, sizeof(flow->dst));
	key->src_port = flow->src_port;
	key->dst_port = flow->dst_port;
}

static bool flow_same_key(const struct flow *a, const struct flow *b)
{
	return !memcmp(a->src, b->src, KEY_BYTES);
}

struct flow *flow_table_find(const struct flow_table *table,
			     const struct flow_key *key)
{
	struct flow entry;
	uint32_t slot;

	flow_set_key(&entry, key);
	slot = home_slot(table, &entry);
	while (table->slots[slot].state != FLOW_FREE) {
		if (flow_same_key(&table->slots[slot], &entry))
			return &table->slots[slot];
		slot = (slot + 1) & table->mask;
	}
	return NULL;
}

struct flow *flow_table_insert(struct flow_table *table,
			       const struct flow_key *key)
{
	struct flow entry = {.state = FLOW_HALF_OPEN};
	uint32_t slot;

	if (table->used == table->max_used)
		return NULL;
	flow_set_key(&entry, key);
	slot = home_slot(table, &entry);
	while (table->slots[slot].state != FLOW_FREE)
		slot = (slot + 1) & table->mask;
	table->slots[slot] = entry;
	table->used++;
	return &table->slots[slot];
}

void flow_table_remove(struct flow_table *table, struct flow *flow)
{
	uint32_t freed = (uint32_t)(flow - table->slots);
	uint32_t slot = freed;

	/* Moves later entries of the probe sequence into the freed slot. */
	for (;;) {
		uint32_t home;

		slot = (slot + 1) & table->mask;
		if (table->slots[slot].state == FLOW_FREE)
			break;
		home = home_slot(table, &table->slots[slot]);
		if (((slot - home) & table->mask) <
		    ((slot - freed) & table->mask))
			continue;
		table->slots[freed] = table->slots[slot];
		freed = slot;
	}
	table->slots[freed].state = FLOW_FREE;
	table->used--;
}

void flow_table_clear(struct flow_table *table)
{
	memset(table->slots, 0, flow_table_bytes(table));
	table->used = 0;
}

size_t flow_table_bytes(const struct flow_table *table)
{
	return ((size_t)table->mask + 1) * sizeof(*table->slots);
}
