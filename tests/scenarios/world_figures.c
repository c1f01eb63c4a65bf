#include <string.h>

#include "world_internal.h"

/* The figures that scenarios read and check. */

static bool has_connection(GHashTable *connections, const struct caller *caller)
{
	gpointer seq;

	/* The server's initial sequence number identifies the connection. */
	return g_hash_table_lookup_extended(connections, &caller->key, NULL,
					    &seq) &&
	       GPOINTER_TO_UINT(seq) == caller->server_seq;
}

struct world_node *world_find_owner(struct world *world,
				    const struct caller *caller)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world->nodes, i);

		if (has_connection(node->backend.connections, caller) ||
		    has_connection(node->backend.closed, caller))
			return node;
	}
	return NULL;
}

/* Broken connections, but those to servers whose zone is out of service. */
static double count_broken_elsewhere(struct world *world)
{
	double n = 0;

	for (guint i = 0; i < world->callers.callers->len; i++) {
		const struct caller *caller =
			g_ptr_array_index(world->callers.callers, i);
		const struct world_node *owner;

		if (!caller->broken)
			continue;
		owner = world_find_owner(world, caller);
		n += !owner || !owner->zone_out_at_ms;
	}
	return n;
}

/* Sums a counter or figure of single processes over all of them. */
static double sum_over_nodes(struct world *world, const char *name)
{
	double sum = 0;

	for (guint i = 0; i < world->nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world->nodes, i);

		if (!strcmp(name, "wrong_service_packets"))
			sum += (double)node->backend.wrong_service;
		else if (!strcmp(name, "cold_over_limit"))
			sum += (double)node->backend.opens_over_capacity;
		else if (!strcmp(name, "lagging"))
			sum += node->up &&
			       node->control.config.manifest.release <
				       world->manifest.release;
		for (int id = 0; id < COUNTER_COUNT; id++)
			if (!strcmp(name, counter_name((enum counter_id)id)))
				sum += (double)counter_get(&node->counters,
							   (enum counter_id)id);
	}
	return sum;
}

static bool is_node_figure(const char *name)
{
	if (!strcmp(name, "wrong_service_packets") ||
	    !strcmp(name, "cold_over_limit") || !strcmp(name, "lagging"))
		return true;
	for (int id = 0; id < COUNTER_COUNT; id++)
		if (!strcmp(name, counter_name((enum counter_id)id)))
			return true;
	return false;
}

bool world_read_figure(struct world *world, const char *name, double *value)
{
	const struct {
		const char *name;
		double value;
	} figures[] = {
		{"now_ms", (double)(world->now_ms - WORLD_EPOCH_MS)},
		{"connections", world->callers.callers->len},
		{"open", (double)world->callers.open},
		{"finished", (double)world->callers.finished},
		{"broken", (double)world->callers.broken},
		{"refused", (double)world->callers.refused},
		{"wrong_answers", (double)world->callers.wrong_service},
		{"caller_retries", (double)world->callers.retransmissions},
		{"reverts", (double)world->release_reverts},
		{"manifest_lost", (double)world->unreported_manifests},
		{"everywhere_ms", (double)world->convergence_ms},
		{"watches_waiting", world->watches->len},
		{"unstored_members", world_count_unstored_members(world)},
		{"wrong_zones", world_count_wrong_zones(world)},
		{"dead_work_ms", (double)world->dead_node_last_open_ms},
		{"control_bytes", (double)world->control_bytes},
		{"control_messages", (double)world->control_messages},
		{"broken_elsewhere", count_broken_elsewhere(world)},
		{"opened", (double)world->callers.opened},
		{"opened_at_once", (double)world->callers.opened_first_try},
		{"zone_out_last_ms", (double)world->zone_out_last_packet_ms},
		{"drain_last_ms", (double)world->drained_last_open_ms},
		{"trace", (double)(world->delivery_hash >> 12)},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(figures); i++)
		if (!strcmp(figures[i].name, name)) {
			*value = figures[i].value;
			return true;
		}
	if (world_read_control_figure(world, name, value))
		return true;
	if (!is_node_figure(name))
		return false;
	*value = sum_over_nodes(world, name);
	return true;
}
