#include "memory_store.h"

#include <string.h>

static int key_compare(gconstpointer a, gconstpointer b, gpointer user)
{
	(void)user;
	return strcmp(a, b);
}

static void object_free(gpointer data)
{
	struct store_object *object = data;

	strbuf_finish(&object->value);
	g_free(object);
}

void memory_store_init(struct memory_store *store)
{
	store->objects =
		g_tree_new_full(key_compare, NULL, g_free, object_free);
	store->version = 1;
	store->history_from = 0;
	store->epoch = 1;
}

void memory_store_finish(struct memory_store *store)
{
	g_tree_destroy(store->objects);
}

static gboolean copy_object(gpointer key, gpointer value, gpointer user)
{
	const struct store_object *object = value;
	struct store_object *copy = g_new0(struct store_object, 1);
	struct memory_store *store = user;

	*copy = *object;
	strbuf_init(&copy->value);
	strbuf_add(&copy->value, object->value.data, object->value.len);
	g_tree_insert(store->objects, g_strdup(key), copy);
	return FALSE;
}

void memory_store_copy(const struct memory_store *store,
		       struct memory_store *copy)
{
	memory_store_finish(copy);
	memory_store_init(copy);
	copy->version = store->version;
	copy->history_from = store->history_from;
	copy->epoch = store->epoch;
	g_tree_foreach(store->objects, copy_object, copy);
}

void memory_store_restore(struct memory_store *store,
			  const struct memory_store *backup)
{
	uint64_t epoch = store->epoch + 1;

	memory_store_copy(backup, store);
	store->epoch = epoch;
}

void memory_store_drop_history(struct memory_store *store)
{
	store->history_from = store->version;
}

static void add_to_result(struct store_result *result,
			  const struct store_object *object)
{
	struct store_object *out = store_result_add(result, object->key,
						    object->version,
						    strbuf_str(&object->value));

	out->deleted = object->deleted;
	memcpy(out->token, object->token, sizeof(out->token));
}

static void get_object(struct memory_store *store, const char *key,
		       struct store_result *result)
{
	const struct store_object *object = g_tree_lookup(store->objects, key);

	if (!object || object->deleted) {
		status_set(&result->status, STATUS_NOT_FOUND, "no object %s",
			   key);
		return;
	}
	result->version = object->version;
	add_to_result(result, object);
}

static void write_object(struct memory_store *store,
			 const struct store_request *request,
			 struct store_result *result)
{
	struct store_object *object =
		g_tree_lookup(store->objects, request->key);
	int64_t current = object && !object->deleted ? object->version : 0;

	if (request->value.len > STORE_VALUE_MAX) {
		status_set(&result->status, STATUS_INVALID,
			   "value is too large");
		return;
	}
	if (current != request->version) {
		status_set(&result->status, STATUS_CONFLICT,
			   "current version is %lld", (long long)current);
		return;
	}
	if (!object) {
		object = g_new0(struct store_object, 1);
		g_strlcpy(object->key, request->key, sizeof(object->key));
		g_tree_insert(store->objects, g_strdup(request->key), object);
	}
	object->version = ++store->version;
	object->deleted = request->op == STORE_OP_DELETE;
	memcpy(object->token, request->token, sizeof(object->token));
	strbuf_reset(&object->value);
	strbuf_add(&object->value, request->value.data, request->value.len);
	result->version = object->version;
}

/** A LIST or WATCH request and the result that collects its objects. */
struct prefix_scan {
	const struct store_request *request;
	struct store_result *result;
};

static gboolean visit_object(gpointer key, gpointer value, gpointer user)
{
	const struct store_object *object = value;
	struct prefix_scan *scan = user;

	if (!g_str_has_prefix(key, scan->request->key))
		return FALSE;
	if (scan->request->op == STORE_OP_WATCH) {
		if (object->version > scan->request->version)
			add_to_result(scan->result, object);
	} else if (!object->deleted) {
		add_to_result(scan->result, object);
	}
	return FALSE;
}

void memory_store_apply(struct memory_store *store,
			const struct store_request *request,
			struct store_result *result)
{
	struct prefix_scan scan = {request, result};

	store_result_init(result, request);
	result->epoch = store->epoch;
	switch (request->op) {
	case STORE_OP_GET:
		get_object(store, request->key, result);
		break;
	case STORE_OP_PUT:
	case STORE_OP_DELETE:
		write_object(store, request, result);
		break;
	case STORE_OP_WATCH:
		if (request->version < store->history_from ||
		    request->version > store->version) {
			status_set(&result->status, STATUS_GONE,
				   "version is not in the history");
			break;
		}
		/* fall through */
	case STORE_OP_LIST:
		result->version = store->version;
		g_tree_foreach(store->objects, visit_object, &scan);
		break;
	}
}
