#include "tarragonflow/flow/checkpoint.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "tarragonflow/common/json_scan.h"
#include "tarragonflow/common/log.h"

void checkpoint_init(struct checkpoint *checkpoint)
{
	memset(checkpoint, 0, sizeof(*checkpoint));
	strbuf_init(&checkpoint->connections);
}

void checkpoint_finish(struct checkpoint *checkpoint)
{
	strbuf_finish(&checkpoint->connections);
}

void checkpoint_key(char *key, const struct name *deployment,
		    const struct name *name)
{
	snprintf(key, STORE_KEY_MAX, "tarragonflow/%s/flows/%s",
		 deployment->data, name->data);
}

void checkpoint_format(const struct checkpoint *checkpoint, struct strbuf *out)
{
	char *connections =
		g_base64_encode((const guchar *)checkpoint->connections.data,
				checkpoint->connections.len);

	strbuf_addf(out,
		    "{\"instance\":%llu,\"saved_ms\":%lld,\"epoch\":%llu,"
		    "\"incomplete_ms\":%lld,\"connections\":\"%s\"}",
		    (unsigned long long)checkpoint->instance,
		    (long long)checkpoint->saved_ms,
		    (unsigned long long)checkpoint->epoch,
		    (long long)checkpoint->incomplete_ms, connections);
	g_free(connections);
}

/* Reads the integer @key of @root, which is not negative. */
static bool read_number(const json_t *root, const char *key, int64_t *number)
{
	const json_t *value = json_object_get(root, key);

	*number = json_integer_value(value);
	return json_is_integer(value) && *number >= 0;
}

static bool read_connections(const json_t *root, struct strbuf *out)
{
	const char *text =
		json_string_value(json_object_get(root, "connections"));
	guchar *data;
	gsize len;

	if (!text)
		return false;
	if (!*text)
		return true;
	data = g_base64_decode(text, &len);
	strbuf_add(out, data, len);
	g_free(data);
	return len > 0;
}

/* Returns the name of the first invalid field, or NULL. */
static const char *read_fields(struct checkpoint *checkpoint,
			       const json_t *root)
{
	int64_t instance, epoch;

	if (!read_number(root, "instance", &instance))
		return "instance";
	if (!read_number(root, "saved_ms", &checkpoint->saved_ms))
		return "saved_ms";
	if (!read_number(root, "epoch", &epoch))
		return "epoch";
	if (!read_number(root, "incomplete_ms", &checkpoint->incomplete_ms))
		return "incomplete_ms";
	if (!read_connections(root, &checkpoint->connections))
		return "connections";
	checkpoint->instance = (uint64_t)instance;
	checkpoint->epoch = (uint64_t)epoch;
	return NULL;
}

bool checkpoint_parse(struct checkpoint *checkpoint, struct str text)
{
	struct status status;
	json_t *root = json_scan_parse(text, &status);
	const char *invalid_field = root ? read_fields(checkpoint, root)
					 : "value";

	if (invalid_field)
		log_event(LOG_LEVEL_WARN, "checkpoint-unreadable",
			  "field=%s bytes=%zu", invalid_field, text.len);
	json_decref(root);
	return !invalid_field;
}

bool checkpoint_is_fresh(const struct checkpoint *checkpoint, uint64_t epoch,
			 int64_t started_ms)
{
	return checkpoint->saved_ms && checkpoint->epoch == epoch &&
	       started_ms >= checkpoint->saved_ms &&
	       started_ms - checkpoint->saved_ms <= CHECKPOINT_MAX_AGE_MS;
}
