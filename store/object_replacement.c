#include "tarragonflow/store/object_replacement.h"

#include <glib.h>
#include <string.h>

#define VERSION_UNKNOWN (-1)
#define BACKOFF_BASE_MS 100
#define BACKOFF_MAX_MS 1000

void object_replacement_init(struct object_replacement *replacement,
			     const char *key)
{
	memset(replacement, 0, sizeof(*replacement));
	g_strlcpy(replacement->key, key, sizeof(replacement->key));
	strbuf_init(&replacement->value);
	replacement->version = VERSION_UNKNOWN;
	backoff_init(&replacement->backoff, BACKOFF_BASE_MS, BACKOFF_MAX_MS);
}

void object_replacement_finish(struct object_replacement *replacement)
{
	strbuf_finish(&replacement->value);
}

void object_replacement_set(struct object_replacement *replacement,
			    const char *token, struct str value)
{
	g_strlcpy(replacement->token, token, sizeof(replacement->token));
	strbuf_reset(&replacement->value);
	strbuf_add(&replacement->value, value.data, value.len);
	replacement->done = false;
	backoff_reset(&replacement->backoff);
}

void object_replacement_read_again(struct object_replacement *replacement)
{
	replacement->version = VERSION_UNKNOWN;
	replacement->done = false;
}

void object_replacement_next_call(const struct object_replacement *replacement,
				  struct store_request *request)
{
	bool reads = replacement->version < 0;

	store_request_init(request, reads ? STORE_OP_GET : STORE_OP_PUT,
			   replacement->key);
	strbuf_init(&request->value);
	if (reads)
		return;
	request->version = replacement->version;
	g_strlcpy(request->token, replacement->token, sizeof(request->token));
	strbuf_add(&request->value, replacement->value.data,
		   replacement->value.len);
}

static int64_t handle_read(struct object_replacement *replacement,
			   const struct store_result *result, uint64_t random)
{
	if (result->status.code == STATUS_NOT_FOUND) {
		replacement->version = 0;
		return 0;
	}
	if (result->status.code != STATUS_OK || !result->n_objects)
		return backoff_next(&replacement->backoff, random);
	replacement->version = result->objects[0].version;
	replacement->done =
		!strcmp(result->objects[0].token, replacement->token);
	return 0;
}

int64_t object_replacement_handle_result(struct object_replacement *replacement,
					 const struct store_result *result,
					 uint64_t random)
{
	if (result->epoch)
		replacement->epoch = result->epoch;
	if (result->op == STORE_OP_GET)
		return handle_read(replacement, result, random);
	replacement->done = result->status.code == STATUS_OK;
	if (replacement->done && result->version)
		replacement->version = result->version;
	else if (result->status.code != STATUS_UNAVAILABLE)
		replacement->version = VERSION_UNKNOWN;
	return replacement->done ? 0
				 : backoff_next(&replacement->backoff, random);
}
