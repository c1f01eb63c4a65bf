#include "world_internal.h"

#include <string.h>

#include "tarragonflow/control/roster_shard.h"
#include "tarragonflow/manifest/apply.h"
#include "tarragonflow/manifest/manifest_object.h"

/* The simulated platform and its faults. */
#define PLATFORM_LATENCY_MS 5

/** A watch request that waits for a change or its timeout. */
struct watch {
	struct world_node *node;
	uint64_t instance;
	int64_t expires_ms;
	struct store_request request;
};

/* Rewrites the object that @request is about to write, so that it conflicts. */
static void write_conflicting_version(struct memory_store *store,
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
	bool is_write = request->op == STORE_OP_PUT ||
			request->op == STORE_OP_DELETE;

	if (is_write && platform->conflicts_to_inject > 0) {
		platform->conflicts_to_inject--;
		write_conflicting_version(&platform->store, request);
	}
	memory_store_apply(platform->serve_snapshot && !is_write
				   ? &platform->snapshot
				   : &platform->store,
			   request, result);
}

/* A platform with strong reads holds the bare manifest, without records. */
static void unwrap_manifests(struct store_result *result)
{
	for (size_t i = 0; i < result->n_objects; i++) {
		struct store_object *stored = &result->objects[i];
		struct manifest_object object;

		manifest_object_init(&object);
		if (g_str_has_suffix(stored->key, "/manifest") &&
		    manifest_object_read(&object, strbuf_str(&stored->value))) {
			strbuf_reset(&stored->value);
			strbuf_add(&stored->value, object.manifest.data,
				   object.manifest.len);
		}
		manifest_object_finish(&object);
	}
}

static void schedule_result(struct world_node *node, uint64_t instance,
			    struct store_result *result, int64_t delay_ms)
{
	struct event *event =
		world_event_add(node->world, EVENT_STORE_RESULT, delay_ms);

	if (node->world->strong_reads)
		unwrap_manifests(result);

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
	watch->expires_ms = node->world->now_ms + request->timeout_ms;
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
	if (platform->down || node->platform_unreachable) {
		store_result_init(&result, request);
		status_set(&result.status, STATUS_UNAVAILABLE,
			   "platform is down");
		schedule_result(node, instance, &result, request->timeout_ms);
		return;
	}
	if (request->op == STORE_OP_WATCH &&
	    request->version >= platform->store.history_from &&
	    request->version <= platform->store.version) {
		watch_add(node, request);
		return;
	}
	apply_request(platform, request, &result);
	if (request->op == STORE_OP_PUT && platform->responses_to_lose > 0) {
		platform->responses_to_lose--;
		status_set(&result.status, STATUS_UNKNOWN, "response lost");
		schedule_result(node, instance, &result, request->timeout_ms);
		return;
	}
	schedule_result(node, instance, &result, platform->latency_ms);
}

void world_platform_cancel(struct world_node *node, uint64_t id)
{
	GPtrArray *watches = node->world->watches;

	for (guint i = watches->len; i-- > 0;) {
		const struct watch *watch = g_ptr_array_index(watches, i);

		if (watch->node == node && watch->request.id == id)
			g_ptr_array_remove_index_fast(watches, i);
	}
}

void world_platform_serve_watches(struct world *world)
{
	struct world_platform *platform = &world->platform;

	for (guint i = world->watches->len; i-- > 0;) {
		struct watch *watch = g_ptr_array_index(world->watches, i);
		struct store_result result;
		bool respond = world->now_ms >= watch->expires_ms;

		if (platform->down || watch->node->platform_unreachable) {
			store_result_init(&result, &watch->request);
			status_set(&result.status, STATUS_UNAVAILABLE,
				   "platform is down");
			respond = true;
		} else {
			apply_request(platform, &watch->request, &result);
		}
		if (!respond && !result.n_objects &&
		    result.status.code == STATUS_OK) {
			store_result_finish(&result);
			continue;
		}
		schedule_result(watch->node, watch->instance, &result,
				platform->latency_ms);
		g_ptr_array_remove_index_fast(world->watches, i);
	}
}

/** An operator's connection to the platform. */
struct operator_session {
	struct object_store store;
	struct world *world;
	/** A second operator applies a release before the next write. */
	bool second_apply_pending;
	/** Status of the second operator's apply. */
	struct status *second_status;
};

static enum status_code operator_apply(struct world *world,
				       struct operator_session *session,
				       const char *applied_by,
				       struct status *status);
static void operator_call(struct object_store *store,
			  const struct store_request *request,
			  struct store_result *result);

/*
 * Applies the same release as a second operator, with another manifest: its
 * drain deadline differs.
 */
static void apply_as_second_operator(struct operator_session *session)
{
	struct operator_session second_session = {
		{operator_call, NULL}, session->world, false, NULL};
	struct service *service = &session->world->manifest.services[0];

	service->drain_deadline_s++;
	operator_apply(session->world, &second_session, "rival",
		       session->second_status);
	service->drain_deadline_s--;
}

static void operator_call(struct object_store *store,
			  const struct store_request *request,
			  struct store_result *result)
{
	struct operator_session *session = (struct operator_session *)store;
	struct world_platform *platform = &session->world->platform;

	platform->calls[request->op]++;
	if (platform->down) {
		store_result_init(result, request);
		status_set(&result->status, STATUS_UNAVAILABLE,
			   "platform is down");
		return;
	}
	if (request->op == STORE_OP_PUT && session->second_apply_pending) {
		session->second_apply_pending = false;
		apply_as_second_operator(session);
	}
	apply_request(platform, request, result);
	if (request->op == STORE_OP_PUT && platform->responses_to_lose > 0) {
		platform->responses_to_lose--;
		status_set(&result->status, STATUS_UNKNOWN, "response lost");
	}
}

/* Records that the text of world->manifest may be in force from now on. */
static void record_accepted_text(struct world *world)
{
	struct strbuf text;

	strbuf_init(&text);
	manifest_write(&world->manifest, &text);
	g_hash_table_insert(world->accepted_texts,
			    GINT_TO_POINTER((int)world->manifest.release),
			    g_strdup(text.data));
	strbuf_finish(&text);
}

/* Records since when each node's zone has been out of service. */
static void record_zone_states(struct world *world)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world->nodes, i);
		const struct zone *zone = manifest_find_zone(
			&world->manifest, &node->options.self.zone);

		if (zone && zone->state == ZONE_IN_SERVICE)
			node->zone_out_at_ms = 0;
		else if (!node->zone_out_at_ms)
			node->zone_out_at_ms = world->now_ms;
	}
}

static void record_apply_outcome(struct world *world, enum status_code code)
{
	/* After STATUS_UNKNOWN the release may or may not be in force. */
	if (code == STATUS_OK || code == STATUS_UNKNOWN)
		record_accepted_text(world);
	if (code != STATUS_OK)
		return;
	record_zone_states(world);
	world->accepted_at_ms = world->now_ms;
	world->convergence_ms = 0;
}

static enum status_code operator_apply(struct world *world,
				       struct operator_session *session,
				       const char *applied_by,
				       struct status *status)
{
	manifest_apply(&session->store, &world->manifest, applied_by, status);
	record_apply_outcome(world, status->code);
	return status->code;
}

enum status_code world_apply(struct world *world, struct status *status)
{
	struct operator_session session = {
		{operator_call, NULL}, world, false, NULL};

	return operator_apply(world, &session, "operator", status);
}

enum status_code world_apply_concurrently(struct world *world,
					  struct status *second_status)
{
	struct operator_session session = {
		{operator_call, NULL}, world, true, second_status};
	struct status status;

	status_init(&status);
	status_init(second_status);
	world->manifest.release++;
	return operator_apply(world, &session, "operator", &status);
}

/* Writes or deletes the object @key, whatever its version. */
static void write_object(struct world *world, const char *key, bool deleted)
{
	struct store_request request;
	struct store_result result;

	store_request_init(&request, STORE_OP_GET, key);
	memory_store_apply(&world->platform.store, &request, &result);
	request.op = deleted ? STORE_OP_DELETE : STORE_OP_PUT;
	request.version = result.version;
	store_result_finish(&result);
	memory_store_apply(&world->platform.store, &request, &result);
	store_result_finish(&result);
	store_request_finish(&request);
}

void world_order_zone(struct world *world, const struct name *zone, bool out)
{
	struct zone_orders *orders = &world->platform.orders;
	const struct zone_order order = {
		.zone = *zone,
		.version = (uint64_t)world->platform.store.version + 1,
		.out = out,
	};
	char key[STORE_KEY_MAX];

	store_zones_prefix(key, &world->manifest.deployment);
	g_strlcat(key, zone->data, sizeof(key));
	write_object(world, key, !out);
	orders->n = 0;
	if (out)
		zone_orders_merge(orders, &order);
}

void world_write_other_objects(struct world *world, int n)
{
	while (n-- > 0)
		write_object(world, "other", false);
}

void world_restore_store(struct world *world)
{
	struct world_platform *platform = &world->platform;
	bool was_down = platform->down;

	platform->down = true;
	world_platform_serve_watches(world);
	platform->down = was_down;
	memory_store_restore(&platform->store, &platform->backup);
}

static gboolean merge_shard(gpointer key, gpointer value, gpointer user)
{
	const struct store_object *object = value;

	if (strstr(key, "/roster/"))
		roster_shard_parse(strbuf_str(&object->value), user);
	return FALSE;
}

unsigned int world_count_unstored_members(struct world *world)
{
	struct roster stored;
	unsigned int n = 0;

	roster_init(&stored);
	g_tree_foreach(world->platform.store.objects, merge_shard, &stored);
	for (guint i = 0; i < world->nodes->len; i++) {
		const struct world_node *node =
			g_ptr_array_index(world->nodes, i);
		const struct member *entry =
			roster_find(&stored, &node->options.self.name);

		n += node->up &&
		     (!entry || entry->instance < node->options.self.instance);
	}
	roster_finish(&stored);
	return n;
}

unsigned int world_count_wrong_zones(struct world *world)
{
	const struct manifest *manifest = &world->manifest;
	unsigned int n = 0;

	for (guint i = 0; i < world->nodes->len; i++) {
		const struct world_node *node =
			g_ptr_array_index(world->nodes, i);

		for (size_t j = 0; node->up && j < manifest->n_zones; j++)
			n += zone_orders_is_out_of_service(
				     &node->control.zone_orders,
				     &manifest->zones[j].name) !=
			     zone_orders_is_out_of_service(
				     &world->platform.orders,
				     &manifest->zones[j].name);
	}
	return n;
}

/* Counts a revert to an older release, and a manifest that was not accepted. */
void world_check_manifest(struct world *world, struct world_node *node)
{
	const struct config_store *config = &node->control.config;
	int64_t release = config->manifest.release;
	const char *text;

	if (!release || release == node->checked_release)
		return;
	node->checked_release = release;
	if (release < node->max_release)
		world->release_reverts++;
	node->max_release = MAX(node->max_release, release);
	text = g_hash_table_lookup(world->accepted_texts,
				   GINT_TO_POINTER((int)release));
	if (!text || strcmp(text, config->text.data) != 0)
		world->unreported_manifests++;
}

void world_platform_init(struct world *world)
{
	world->platform.latency_ms = PLATFORM_LATENCY_MS;
	memory_store_init(&world->platform.store);
	memory_store_init(&world->platform.snapshot);
	memory_store_init(&world->platform.backup);
	world->accepted_texts = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	world->watches = g_ptr_array_new_with_free_func(watch_free);
}

void world_platform_finish(struct world *world)
{
	g_ptr_array_free(world->watches, TRUE);
	memory_store_finish(&world->platform.store);
	memory_store_finish(&world->platform.snapshot);
	memory_store_finish(&world->platform.backup);
	g_hash_table_destroy(world->accepted_texts);
}
