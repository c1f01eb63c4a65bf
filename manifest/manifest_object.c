#include "tarragonflow/manifest/manifest_object.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

void manifest_object_init(struct manifest_object *object)
{
	memset(object, 0, sizeof(*object));
	strbuf_init(&object->manifest);
}

void manifest_object_finish(struct manifest_object *object)
{
	strbuf_finish(&object->manifest);
	manifest_object_init(object);
}

static const char *get_string(const json_t *item, const char *name)
{
	const char *text = json_string_value(json_object_get(item, name));

	return text ? text : "";
}

/* Records beyond APPLY_RECORDS_MAX, the oldest ones, are dropped. */
static void read_records(struct manifest_object *object, const json_t *array)
{
	const json_t *item;
	size_t i;

	json_array_foreach(array, i, item)
	{
		struct apply_record *record;

		if (object->n_records == APPLY_RECORDS_MAX)
			break;
		record = &object->records[object->n_records++];
		record->release =
			json_integer_value(json_object_get(item, "release"));
		g_strlcpy(record->token, get_string(item, "token"),
			  sizeof(record->token));
		g_strlcpy(record->operator_name, get_string(item, "by"),
			  sizeof(record->operator_name));
	}
}

bool manifest_object_read(struct manifest_object *object, struct str value)
{
	json_error_t error;
	json_t *root = json_loadb(value.data, value.len, 0, &error);
	const json_t *manifest = json_object_get(root, "manifest");
	char *text;

	if (!json_is_object(root)) {
		json_decref(root);
		return false;
	}
	if (!json_is_object(manifest))
		manifest = root;
	else
		read_records(object, json_object_get(root, "applied"));
	object->release =
		json_integer_value(json_object_get(manifest, "release"));
	text = json_dumps(manifest, JSON_COMPACT);
	strbuf_reset(&object->manifest);
	strbuf_add(&object->manifest, text, strlen(text));
	free(text);
	json_decref(root);
	return true;
}

static json_t *record_to_json(const struct apply_record *record)
{
	return json_pack("{s:I,s:s,s:s}", "release",
			 (json_int_t)record->release, "by",
			 record->operator_name, "token", record->token);
}

void manifest_object_write(const struct manifest_object *object,
			   struct strbuf *out)
{
	json_t *records = json_array();
	char *text;

	for (size_t i = 0; i < object->n_records; i++)
		json_array_append_new(records,
				      record_to_json(&object->records[i]));
	text = json_dumps(records, JSON_COMPACT);
	strbuf_addf(out, "{\"applied\":%s,\"manifest\":", text);
	strbuf_add(out, object->manifest.data, object->manifest.len);
	strbuf_add(out, "}", 1);
	free(text);
	json_decref(records);
}

void manifest_object_add_record(struct manifest_object *object,
				const struct apply_record *record)
{
	size_t n_kept = MIN(object->n_records, APPLY_RECORDS_MAX - 1);

	memmove(&object->records[1], &object->records[0],
		n_kept * sizeof(object->records[0]));
	object->records[0] = *record;
	object->n_records = n_kept + 1;
}

const struct apply_record *
manifest_object_find_token(const struct manifest_object *object,
			   const char *token)
{
	for (size_t i = 0; i < object->n_records; i++)
		if (!strcmp(object->records[i].token, token))
			return &object->records[i];
	return NULL;
}
