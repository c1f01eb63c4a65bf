#include "world_internal.h"

#include <string.h>

#include "tarragonflow/manifest/apply.h"

/* The platform of a world and its faults. */
#define PLATFORM_LATENCY_MS 5

/** A watch that waits at the platform. */
struct watch {
	struct world_node *node;
	uint64_t instance;
	int64_t until_ms;
	struct store_request request;
};

/* Another writer writes the same object once more. */
static void write_first(struct memory_store *store,
			const struct store_request *request)
{
	struct store_request other;
	struct store_result result;

	store_request_init(&other, STORE_OP_GET, request->key);
	memory_store_apply(store, &other, &result);
	other.op = STORE_OP_PUT;
	other.version = result.version;
	if (result.n_objects)
		strbuf_add(&other.value, result.objects[0].value.data,
			   result.objects[0].value.len);
	else
		strbuf_addf(&other.value, "{\"members\":[]}");
	store_result_finish(&result);
	memory_store_apply(store, &other, &result);
	store_result_finish(&result);
	store_request_finish(&other);
}

static void apply_request(struct world_platform *platform,
			  const struct store_request *request,
			  struct store_result *result)
{
	bool write = request->op == STORE_OP_PUT ||
		     request->op == STORE_OP_DELETE;

	if (write && platform->races > 0) {
		platform->races--;
		write_first(&platform->store, request);
	}
	memory_store_apply(platform->stale && !write ? &platform->old
						     : &platform->store,
			   request, result);
}

static void answer_later(struct world_node *node, uint64_t instance,
			 const struct store_result *result, int64_t delay_ms)
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

	store_request_finish(&watch->request);
	g_free(watch);
}

static void watch_add(struct world_node *node,
		      const struct store_request *request)
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
			 const struct store_request *request)
{
	struct world_platform *platform = &node->world->platform;
	uint64_t instance = node->options.self.instance;
	struct store_result result;

	platform->calls[request->op]++;
	if (platform->down || node->platform_cut) {
		store_result_init(&result, request);
		status_set(&result.status, STATUS_UNAVAILABLE, "down");
		answer_later(node, instance, &result, request->timeout_ms);
		return;
	}
	if (request->op == STORE_OP_WATCH &&
	    request->version >= platform->store.history_from) {
		watch_add(node, request);
		return;
	}
	apply_request(platform, request, &result);
	if (request->op == STORE_OP_PUT && platform->lose_answers > 0) {
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
		struct store_result result;
		bool due = world->now_ms >= watch->until_ms;

		if (platform->down || watch->node->platform_cut) {
			store_result_init(&result, &watch->request);
			status_set(&result.status, STATUS_UNAVAILABLE, "down");
			due = true;
		} else {
			apply_request(platform, &watch->request, &result);
		}
		if (!due && !result.n_objects &&
		    result.status.code == STATUS_OK) {
			store_result_finish(&result);
			continue;
		}
		answer_later(watch->node, watch->instance, &result,
			     platform->latency_ms);
		g_ptr_array_remove_index_fast(world->watches, i);
	}
}

/** An operator's own way to the platform. */
struct operator_platform {
	struct object_store platform;
	struct world *world;
	/** Another operator applies just before the next write. */
	bool rival;
	struct status *rival_status;
};

static enum status_code apply_as(struct world *world,
				 struct operator_platform *operator,
				 const char * by, struct status *status);
static void operator_call(struct object_store *platform,
			  const struct store_request *request,
			  struct store_result *result);

/* The rival's manifest differs in how long servers may drain. */
static void rival_applies(struct operator_platform *operator)
{
	struct operator_platform second = {
		{operator_call, NULL}, operator->world, false, NULL};
	struct service *service = &operator->world->manifest.services[0];

	service->drain_deadline_s++;
	apply_as(operator->world, &second, "rival", operator->rival_status);
	service->drain_deadline_s--;
}

static void operator_call(struct object_store *platform,
			  const struct store_request *request,
			  struct store_result *result)
{
	struct operator_platform *operator=(struct operator_platform *)
		platform;
	struct world_platform *fake = &operator->world->platform;

	fake->calls[request->op]++;
	if (fake->down) {
		store_result_init(result, request);
		status_set(&result->status, STATUS_UNAVAILABLE, "down");
		return;
	}
	if (request->op == STORE_OP_PUT && operator->rival) {
		operator->rival = false;
		rival_applies(operator);
	}
	apply_request(fake, request, result);
	if (request->op == STORE_OP_PUT && fake->lose_answers > 0) {
		fake->lose_answers--;
		status_set(&result->status, STATUS_UNKNOWN, "answer lost");
	}
}

/* Operators know of this text: it may be in force from now on. */
static void note_told(struct world *world)
{
	struct strbuf text;

	strbuf_init(&text);
	manifest_write(&world->manifest, &text);
	g_hash_table_insert(world->accepted,
			    GINT_TO_POINTER((int)world->manifest.release),
			    g_strdup(text.data));
	strbuf_finish(&text);
}

/* From now on nothing may reach the zones that are out. */
static void note_zones(struct world *world)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world->nodes, i);
		const struct zone *zone = manifest_find_zone(
			&world->manifest, &node->options.self.zone);

		if (zone && zone->state == ZONE_ACTIVE)
			node->zone_out_ms = 0;
		else if (!node->zone_out_ms)
			node->zone_out_ms = world->now_ms;
	}
}

static void note_outcome(struct world *world, enum status_code code)
{
	/* After UNKNOWN the release may be in force or not. */
	if (code == STATUS_OK || code == STATUS_UNKNOWN)
		note_told(world);
	if (code != STATUS_OK)
		return;
	note_zones(world);
	world->accepted_ms = world->now_ms;
	world->everywhere_ms = 0;
}

static enum status_code apply_as(struct world *world,
				 struct operator_platform *operator,
				 const char * by, struct status *status)
{
	manifest_apply(&operator->platform, &world->manifest, by, status);
	note_outcome(world, status->code);
	return status->code;
}

enum status_code world_apply(struct world *world, struct status *status)
{
	struct operator_platform operator= {
		{operator_call, NULL}, world, false, NULL};

	return apply_as(world, &operator, "operator", status);
}

enum status_code world_apply_race(struct world *world, struct status *rival)
{
	struct operator_platform operator= {
		{operator_call, NULL}, world, true, rival};
	struct status status;

	status_init(&status);
	status_init(rival);
	world->manifest.release++;
	return apply_as(world, &operator, "operator", &status);
}

/* In force must be just what operators were told is accepted. */
void world_check_manifest(struct world *world, struct world_node *node)
{
	const struct config_store *config = &node->control.config;
	int64_t release = config->manifest.release;
	const char *text;

	if (!release || release == node->last_release)
		return;
	node->last_release = release;
	if (release < node->top_release)
		world->reverts++;
	node->top_release = MAX(node->top_release, release);
	text = g_hash_table_lookup(world->accepted,
				   GINT_TO_POINTER((int)release));
	if (!text || strcmp(text, config->text.data) != 0)
		world->manifests_lost++;
}

void world_platform_init(struct world *world)
{
	world->platform.latency_ms = PLATFORM_LATENCY_MS;
	memory_store_init(&world->platform.store);
	memory_store_init(&world->platform.old);
	world->accepted = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	world->watches = g_ptr_array_new_with_free_func(watch_free);
}

void world_platform_finish(struct world *world)
{
	g_ptr_array_free(world->watches, TRUE);
	memory_store_finish(&world->platform.store);
	memory_store_finish(&world->platform.old);
	g_hash_table_destroy(world->accepted);
}
