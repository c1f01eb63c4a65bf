#include <string.h>

#include "world_internal.h"

#define SLOT_MS (1000 / WORLD_METER_SLOTS)
#define REPLAY_MIN_MS 1000
#define REPLAY_MAX_MS 30000

/* Control messages: what the network does to them, and what they achieve. */

static void meter_advance(struct world_meter *meter, int64_t slot)
{
	if (slot - meter->at >= WORLD_METER_SLOTS)
		memset(meter->slots, 0, sizeof(meter->slots));
	else
		for (int64_t i = meter->at + 1; i <= slot; i++)
			meter->slots[i % WORLD_METER_SLOTS] = 0;
	meter->at = slot;
}

void world_control_meter(struct world_node *node, size_t bytes)
{
	struct world_meter *meter = &node->meter;
	uint32_t sum = 0;

	meter_advance(meter, node->world->now_ms / SLOT_MS);
	meter->slots[meter->at % WORLD_METER_SLOTS] += (uint32_t)bytes;
	for (int i = 0; i < WORLD_METER_SLOTS; i++)
		sum += meter->slots[i];
	meter->peak = MAX(meter->peak, sum);
}

void world_reset_meters(struct world *world)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world->nodes, i);

		memset(&node->meter, 0, sizeof(node->meter));
	}
}

static bool chance(struct world *world, double share)
{
	return share > 0 && g_rand_double(world->rand) < share;
}

static struct event *copy_event(struct world *world, const struct event *event,
				int64_t delay_ms)
{
	struct event *copy = world_event_add(world, event->kind, delay_ms);

	copy->to = event->to;
	strbuf_add(&copy->data, event->data.data, event->data.len);
	return copy;
}

void world_control_spoil(struct world *world, struct event *event)
{
	const struct world_faults *faults = &world->faults;
	int len = (int)event->data.len;

	if (chance(world, faults->control_replay))
		copy_event(world, event,
			   g_rand_int_range(world->rand, REPLAY_MIN_MS,
					    REPLAY_MAX_MS));
	if (chance(world, faults->control_forge)) {
		struct event *copy = copy_event(world, event, 1);

		copy->data.data[g_rand_int_range(world->rand, 0, len)] ^=
			(char)g_rand_int_range(world->rand, 1, 256);
	}
	if (chance(world, faults->control_truncate))
		event->data.len = (size_t)g_rand_int_range(world->rand, 0, len);
}

void world_control_dead_packet(const struct world_node *peer,
			       const uint8_t *inner, size_t len)
{
	struct world *world = peer->world;
	struct inner_packet packet;

	if (inner_parse(&packet, inner, len) && inner_opens_connection(&packet))
		world->dead_work_ms =
			MAX(world->dead_work_ms, world->now_ms - peer->died_ms);
}

bool world_node_figure(const struct world_node *node, const char *name,
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

/** What one process holds of another, and whether that is so. */
enum held {
	HELD_RIGHTLY,
	LIVE_HELD_SUSPECT,
	LIVE_HELD_LEFT,
	DEAD_NOT_LEFT,
	UNKNOWN_MEMBER,
	HELD_COUNT,
};

static enum held held_state(const struct world_node *a,
			    const struct world_node *b)
{
	const struct member *entry =
		roster_find(&a->control.roster, &b->options.self.name);

	if (!b->up)
		return entry && entry->state != MEMBER_LEFT ? DEAD_NOT_LEFT
							    : HELD_RIGHTLY;
	if (!entry || entry->instance < b->options.self.instance)
		return UNKNOWN_MEMBER;
	if (entry->state == MEMBER_SUSPECT)
		return LIVE_HELD_SUSPECT;
	return entry->state == MEMBER_LEFT ? LIVE_HELD_LEFT : HELD_RIGHTLY;
}

static unsigned int count_held(struct world *world, enum held held)
{
	unsigned int n = 0;

	for (guint i = 0; i < world->nodes->len; i++) {
		const struct world_node *a = g_ptr_array_index(world->nodes, i);

		for (guint j = 0; a->up && j < world->nodes->len; j++) {
			const struct world_node *b =
				g_ptr_array_index(world->nodes, j);

			if (a != b && held_state(a, b) == held)
				n++;
		}
	}
	return n;
}

static unsigned int count_stale(struct world *world)
{
	unsigned int n = 0;

	for (guint i = 0; i < world->nodes->len; i++) {
		const struct world_node *node =
			g_ptr_array_index(world->nodes, i);

		n += node->up && control_is_resyncing(&node->control);
	}
	return n;
}

static unsigned int peak_bytes(struct world *world)
{
	unsigned int peak = 0;

	for (guint i = 0; i < world->nodes->len; i++) {
		const struct world_node *node =
			g_ptr_array_index(world->nodes, i);

		if (node->options.self.role == MEMBER_BALANCER)
			peak = MAX(peak, node->meter.peak);
	}
	return peak;
}

bool world_control_figure(struct world *world, const char *name, double *value)
{
	static const char *const names[HELD_COUNT] = {
		"held_rightly",	 "live_held_suspect", "live_held_left",
		"dead_not_left", "unknown_members",
	};

	for (int i = 0; i < HELD_COUNT; i++)
		if (!strcmp(name, names[i])) {
			*value = count_held(world, (enum held)i);
			return true;
		}
	if (!strcmp(name, "stale")) {
		*value = count_stale(world);
		return true;
	}
	if (!strcmp(name, "balancer_peak_bytes")) {
		*value = peak_bytes(world);
		return true;
	}
	return false;
}
