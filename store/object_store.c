#include "tarragonflow/store/object_store.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

void store_request_init(struct store_request *request, enum store_op op,
			const char *key)
{
	memset(request, 0, sizeof(*request));
	request->op = op;
	g_strlcpy(request->key, key, sizeof(request->key));
}

void store_request_finish(struct store_request *request)
{
	strbuf_finish(&request->value);
}

void store_result_init(struct store_result *result,
		       const struct store_request *request)
{
	memset(result, 0, sizeof(*result));
	result->id = request->id;
	result->op = request->op;
}

void store_result_finish(struct store_result *result)
{
	for (size_t i = 0; i < result->n_objects; i++)
		strbuf_finish(&result->objects[i].value);
	g_free(result->objects);
	result->objects = NULL;
	result->n_objects = 0;
}

struct store_object *store_result_add(struct store_result *result,
				      const char *key, int64_t version,
				      struct str value)
{
	struct store_object *object;

	result->objects = g_renew(struct store_object, result->objects,
				  result->n_objects + 1);
	object = &result->objects[result->n_objects++];
	memset(object, 0, sizeof(*object));
	g_strlcpy(object->key, key, sizeof(object->key));
	object->version = version;
	strbuf_add(&object->value, value.data, value.len);
	return object;
}

void store_manifest_key(char *key, const struct name *deployment)
{
	snprintf(key, STORE_KEY_MAX, "tarragonflow/%s/manifest",
		 deployment->data);
}

void store_zones_prefix(char *key, const struct name *deployment)
{
	snprintf(key, STORE_KEY_MAX, "tarragonflow/%s/zones/",
		 deployment->data);
}

const char *store_op_name(enum store_op op)
{
	static const char *const names[] = {"get", "list", "put", "delete",
					    "watch"};

	return names[op];
}
