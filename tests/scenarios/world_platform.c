#include "world_internal.h"

#include "tarragonflow/manifest/apply.h"

/* The platform of a world and its faults. */
#define PLATFORM_LATENCY_MS 5

/** A watch that waits at the platform. */
struct watch {
	struct world_node *node;
	uint64_t instance;
	int64_t until_ms;
	struct platform_request request;
};

static void answer_later(struct world_node *node, uint64_t instance,
			 const struct platform_result *result, int64_t delay_ms)
{
	struct event *event =
		world_event_add(node->world, EVENT_RESULT, delay_ms);

	event->node = node;
	event->instance = instance;
	event->result = *result;
}

static void watch_free(gpointer data)
{
	struct watch *watch = data;

	platform_request_finish(&watch->request);
	g_free(watch);
}

static void watch_add(struct world_node *node,
		      const struct platform_request *request)
{
	struct watch *watch = g_new0(struct watch, 1);

	watch->node = node;
	watch->instance = node->options.self.instance;
	watch->until_ms = node->world->now_ms + request->timeout_ms;
	watch->request = *request;
	strbuf_init(&watch->request.value);
	g_ptr_array_add(node->world->watches, watch);
}

void world_platform_call(struct world_node *node,
			 const struct platform_request *request)
{
	struct world_platform *platform = &node->world->platform;
	uint64_t instance = node->options.self.instance;
	struct platform_result result;

	platform->calls[request->op]++;
	if (platform->down || node->platform_cut) {
		platform_result_init(&result, request);
		status_set(&result.status, STATUS_UNAVAILABLE, "down");
		answer_later(node, instance, &result, request->timeout_ms);
		return;
	}
	if (request->op == PLATFORM_OP_WATCH &&
	    request->version >= platform->store.history_from) {
		watch_add(node, request);
		return;
	}
	object_store_apply(&platform->store, request, &result);
	if (request->op == PLATFORM_OP_PUT && platform->lose_answers > 0) {
		platform->lose_answers--;
		status_set(&result.status, STATUS_UNKNOWN, "answer lost");
		answer_later(node, instance, &result, request->timeout_ms);
		return;
	}
	answer_later(node, instance, &result, platform->latency_ms);
}

void world_platform_serve(struct world *world)
{
	struct world_platform *platform = &world->platform;

	for (guint i = world->watches->len; i-- > 0;) {
		struct watch *watch = g_ptr_array_index(world->watches, i);
		struct platform_result result;
		bool due = world->now_ms >= watch->until_ms;

		if (platform->down || watch->node->platform_cut) {
			platform_result_init(&result, &watch->request);
			status_set(&result.status, STATUS_UNAVAILABLE, "down");
			due = true;
		} else {
			object_store_apply(&platform->store, &watch->request,
					   &result);
		}
		if (!due && !result.n_objects &&
		    result.status.code == STATUS_OK) {
			platform_result_finish(&result);
			continue;
		}
		answer_later(watch->node, watch->instance, &result,
			     platform->latency_ms);
		g_ptr_array_remove_index_fast(world->watches, i);
	}
}

/** An operator's own way to the platform. */
struct operator_platform {
	struct platform platform;
	struct world *world;
};

static void operator_call(struct platform *platform,
			  const struct platform_request *request,
			  struct platform_result *result)
{
	struct world_platform *fake =
		&((struct operator_platform *)platform)->world->platform;

	fake->calls[request->op]++;
	if (fake->down) {
		platform_result_init(result, request);
		status_set(&result->status, STATUS_UNAVAILABLE, "down");
		return;
	}
	object_store_apply(&fake->store, request, result);
	if (request->op == PLATFORM_OP_PUT && fake->lose_answers > 0) {
		fake->lose_answers--;
		status_set(&result->status, STATUS_UNKNOWN, "answer lost");
	}
}

/* From now on nothing may reach the zones that are out. */
static void note_zones(struct world *world)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world->nodes, i);
		const struct zone *zone = manifest_zone(
			&world->manifest, &node->options.self.zone);

		if (zone && zone->state == ZONE_IN)
			node->zone_out_ms = 0;
		else if (!node->zone_out_ms)
			node->zone_out_ms = world->now_ms;
	}
}

enum status_code world_apply(struct world *world, struct status *status)
{
	struct operator_platform operator= {{operator_call}, world};

	if (apply_manifest(&operator.platform, &world->manifest, status) ==
	    STATUS_OK)
		note_zones(world);
	return status->code;
}

void world_platform_init(struct world *world)
{
	world->platform.latency_ms = PLATFORM_LATENCY_MS;
	object_store_init(&world->platform.store);
	world->watches = g_ptr_array_new_with_free_func(watch_free);
}

void world_platform_finish(struct world *world)
{
	g_ptr_array_free(world->watches, TRUE);
	object_store_finish(&world->platform.store);
}
