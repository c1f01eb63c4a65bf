#include <string.h>

#include "world_internal.h"

#define SLOT_MS (1000 / WORLD_METER_SLOTS)
#define REPLAY_MIN_MS 1000
#define REPLAY_MAX_MS 30000

/* Faults of control messages, and how accurate the rosters are. */

/* Clears the tenths of a second between the last one written and @slot. */
static void meter_advance(struct world_meter *meter, int64_t slot)
{
	if (slot - meter->last_slot >= WORLD_METER_SLOTS)
		memset(meter->slots, 0, sizeof(meter->slots));
	else
		for (int64_t i = meter->last_slot + 1; i <= slot; i++)
			meter->slots[i % WORLD_METER_SLOTS] = 0;
	meter->last_slot = slot;
}

void world_count_control_bytes(struct world_node *node, size_t bytes)
{
	struct world_meter *meter = &node->meter;
	uint32_t total_bytes = 0;

	meter_advance(meter, node->world->now_ms / SLOT_MS);
	meter->slots[meter->last_slot % WORLD_METER_SLOTS] += (uint32_t)bytes;
	for (int i = 0; i < WORLD_METER_SLOTS; i++)
		total_bytes += meter->slots[i];
	meter->max_bytes = MAX(meter->max_bytes, total_bytes);
}

void world_reset_meters(struct world *world)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world->nodes, i);

		memset(&node->meter, 0, sizeof(node->meter));
	}
}

static bool random_chance(struct world *world, double share)
{
	return share > 0 && g_rand_double(world->rand) < share;
}

static struct event *add_duplicate(struct world *world,
				   const struct event *event, int64_t delay_ms)
{
	struct event *duplicate = world_event_add(world, event->kind, delay_ms);

	duplicate->to = event->to;
	strbuf_add(&duplicate->data, event->data.data, event->data.len);
	return duplicate;
}

void world_inject_control_faults(struct world *world, struct event *event)
{
	const struct world_faults *faults = &world->faults;
	int len = (int)event->data.len;

	if (random_chance(world, faults->control_replay))
		add_duplicate(world, event,
			      g_rand_int_range(world->rand, REPLAY_MIN_MS,
					       REPLAY_MAX_MS));
	if (random_chance(world, faults->control_forgery)) {
		struct event *duplicate = add_duplicate(world, event, 1);

		duplicate->data.data[g_rand_int_range(world->rand, 0, len)] ^=
			(char)g_rand_int_range(world->rand, 1, 256);
	}
	if (random_chance(world, faults->control_truncation))
		event->data.len = (size_t)g_rand_int_range(world->rand, 0, len);
}

void world_record_dead_packet(const struct world_node *peer,
			      const uint8_t *inner, size_t len)
{
	struct world *world = peer->world;
	struct inner_packet packet;

	if (inner_parse(&packet, inner, len) && inner_opens_connection(&packet))
		world->dead_node_last_open_ms =
			MAX(world->dead_node_last_open_ms,
			    world->now_ms - peer->killed_at_ms);
}

bool world_node_read_figure(const struct world_node *node, const char *name,
			    double *value)
{
	for (int id = 0; id < COUNTER_COUNT; id++)
		if (!strcmp(name, counter_name((enum counter_id)id))) {
			*value = (double)counter_get(&node->counters,
						     (enum counter_id)id);
			return true;
		}
	return false;
}

/** How a roster entry compares with the actual state of the process. */
enum roster_accuracy {
	ENTRY_CORRECT,
	ENTRY_LIVE_SUSPECT,
	ENTRY_LIVE_LEFT,
	ENTRY_DEAD_NOT_LEFT,
	ENTRY_LIVE_MISSING,
	ENTRY_ACCURACY_COUNT,
};

static enum roster_accuracy
check_roster_entry(const struct world_node *observer,
		   const struct world_node *observed)
{
	const struct member *entry = roster_find(&observer->control.roster,
						 &observed->options.self.name);

	if (!observed->up)
		return entry && entry->state != MEMBER_LEFT
			       ? ENTRY_DEAD_NOT_LEFT
			       : ENTRY_CORRECT;
	if (!entry || entry->instance < observed->options.self.instance)
		return ENTRY_LIVE_MISSING;
	if (entry->state == MEMBER_SUSPECT)
		return ENTRY_LIVE_SUSPECT;
	return entry->state == MEMBER_LEFT ? ENTRY_LIVE_LEFT : ENTRY_CORRECT;
}

static unsigned int count_roster_entries(struct world *world,
					 enum roster_accuracy roster_accuracy)
{
	unsigned int n = 0;

	for (guint i = 0; i < world->nodes->len; i++) {
		const struct world_node *observer =
			g_ptr_array_index(world->nodes, i);

		for (guint j = 0; observer->up && j < world->nodes->len; j++) {
			const struct world_node *observed =
				g_ptr_array_index(world->nodes, j);

			if (observer != observed &&
			    check_roster_entry(observer, observed) ==
				    roster_accuracy)
				n++;
		}
	}
	return n;
}

static unsigned int count_stale_nodes(struct world *world)
{
	unsigned int n = 0;

	for (guint i = 0; i < world->nodes->len; i++) {
		const struct world_node *node =
			g_ptr_array_index(world->nodes, i);

		n += node->up && control_is_resyncing(&node->control);
	}
	return n;
}

static unsigned int max_balancer_bytes(struct world *world)
{
	unsigned int max_bytes = 0;

	for (guint i = 0; i < world->nodes->len; i++) {
		const struct world_node *node =
			g_ptr_array_index(world->nodes, i);

		if (node->options.self.role == MEMBER_BALANCER)
			max_bytes = MAX(max_bytes, node->meter.max_bytes);
	}
	return max_bytes;
}

bool world_read_control_figure(struct world *world, const char *name,
			       double *value)
{
	static const char *const names[ENTRY_ACCURACY_COUNT] = {
		"held_rightly",	 "live_held_suspect", "live_held_left",
		"dead_not_left", "unknown_members",
	};

	for (int i = 0; i < ENTRY_ACCURACY_COUNT; i++)
		if (!strcmp(name, names[i])) {
			*value = count_roster_entries(world,
						      (enum roster_accuracy)i);
			return true;
		}
	if (!strcmp(name, "stale")) {
		*value = count_stale_nodes(world);
		return true;
	}
	if (!strcmp(name, "balancer_peak_bytes")) {
		*value = max_balancer_bytes(world);
		return true;
	}
	return false;
}
