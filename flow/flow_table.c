#include "tarragonflow/flow/flow_table.h"

#include <glib.h>
#include <string.h>

#define SLOTS_MIN 64

void flow_table_init(struct flow_table *table, uint32_t max, uint64_t seed)
{
	uint32_t size = SLOTS_MIN;

	/* At most three quarters full, so that probes stay short. */
	while (size / 4 * 3 < max)
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
			  const struct flow_key *key)
{
	return (uint32_t)flow_key_hash(key, table->seed) & table->mask;
}

struct flow *flow_table_find(const struct flow_table *table,
			     const struct flow_key *key)
{
	uint32_t slot = home_slot(table, key);

	while (table->slots[slot].state != FLOW_FREE) {
		if (!memcmp(&table->slots[slot].key, key, sizeof(*key)))
			return &table->slots[slot];
		slot = (slot + 1) & table->mask;
	}
	return NULL;
}

struct flow *flow_table_insert(struct flow_table *table,
			       const struct flow_key *key)
{
	uint32_t slot = home_slot(table, key);
	struct flow *flow;

	if (table->used == table->max_used)
		return NULL;
	while (table->slots[slot].state != FLOW_FREE)
		slot = (slot + 1) & table->mask;
	flow = &table->slots[slot];
	memset(flow, 0, sizeof(*flow));
	flow->key = *key;
	flow->state = FLOW_HALF_OPEN;
	table->used++;
	return flow;
}

void flow_table_remove(struct flow_table *table, struct flow *flow)
{
	uint32_t hole = (uint32_t)(flow - table->slots);
	uint32_t slot = hole;

	/* Moves later entries of the probe sequence into the hole. */
	for (;;) {
		uint32_t home;

		slot = (slot + 1) & table->mask;
		if (table->slots[slot].state == FLOW_FREE)
			break;
		home = home_slot(table, &table->slots[slot].key);
		if (((slot - home) & table->mask) <
		    ((slot - hole) & table->mask))
			continue;
		table->slots[hole] = table->slots[slot];
		hole = slot;
	}
	table->slots[hole].state = FLOW_FREE;
	table->used--;
}
