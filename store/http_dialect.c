#include "tarragonflow/store/http_dialect.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_GONE 410
#define HTTP_TOO_LARGE 413

static void format_path(const struct store_request *request, char *path)
{
	switch (request->op) {
	case STORE_OP_GET:
		snprintf(path, HTTP_PATH_MAX, "/v1/objects/%s", request->key);
		break;
	case STORE_OP_PUT:
	case STORE_OP_DELETE:
		snprintf(path, HTTP_PATH_MAX, "/v1/objects/%s?version=%lld",
			 request->key, (long long)request->version);
		break;
	case STORE_OP_LIST:
		snprintf(path, HTTP_PATH_MAX, "/v1/list?prefix=%s",
			 request->key);
		break;
	case STORE_OP_WATCH:
		snprintf(path, HTTP_PATH_MAX,
			 "/v1/watch?prefix=%s&after=%lld&wait_ms=%lld",
			 request->key, (long long)request->version,
			 (long long)request->timeout_ms);
		break;
	}
}

/* The body of a PUT: the write's token and the value as a string. */
static void format_body(const struct store_request *request,
			struct strbuf *body)
{
	json_t *root = json_pack("{s:s,s:s%}", "token", request->token, "value",
				 request->value.data, request->value.len);
	char *text = root ? json_dumps(root, JSON_COMPACT) : NULL;

	json_decref(root);
	if (text)
		strbuf_add(body, text, strlen(text));
	free(text);
}

static bool native_write_call(const struct store_request *request,
			      const char *after, struct http_call *call)
{
	(void)after;
	call->method = "GET";
	format_path(request, call->path);
	if (request->op == STORE_OP_DELETE)
		call->method = "DELETE";
	if (request->op != STORE_OP_PUT)
		return true;
	call->method = "PUT";
	format_body(request, &call->body);
	return call->body.len > 0;
}

static enum status_code code_from_http(long http_code, bool is_write)
{
	switch (http_code) {
	case HTTP_OK:
		return STATUS_OK;
	case HTTP_NOT_FOUND:
		return STATUS_NOT_FOUND;
	case HTTP_CONFLICT:
		return STATUS_CONFLICT;
	case HTTP_GONE:
		return STATUS_GONE;
	case HTTP_BAD_REQUEST:
	case HTTP_TOO_LARGE:
		return STATUS_INVALID;
	default:
		return is_write ? STATUS_UNKNOWN : STATUS_UNAVAILABLE;
	}
}

static void parse_object(struct store_result *result, const json_t *item)
{
	const json_t *value = json_object_get(item, "value");
	const char *key = json_string_value(json_object_get(item, "key"));
	const char *token = json_string_value(json_object_get(item, "token"));
	struct store_object *object;
	struct str text = {"", 0};

	if (!key)
		return;
	if (json_is_string(value)) {
		text.data = json_string_value(value);
		text.len = json_string_length(value);
	}
	object = store_result_add(
		result, key,
		json_integer_value(json_object_get(item, "version")), text);
	object->deleted = json_is_true(json_object_get(item, "deleted"));
	if (token)
		g_strlcpy(object->token, token, sizeof(object->token));
}

void http_dialect_native_parse(struct store_result *result, struct str body)
{
	json_error_t error;
	json_t *root =
		json_loadb(body.data ? body.data : "", body.len, 0, &error);
	const json_t *objects, *item;
	size_t i;

	if (!json_is_object(root)) {
		status_set(&result->status,
			   result->op == STORE_OP_PUT ? STATUS_UNKNOWN
						      : STATUS_UNAVAILABLE,
			   "platform response is not a JSON object");
		json_decref(root);
		return;
	}
	result->version = json_integer_value(json_object_get(root, "version"));
	objects = json_object_get(root, "objects");
	json_array_foreach(objects, i, item) parse_object(result, item);
	if (result->op == STORE_OP_GET)
		parse_object(result, root);
	json_decref(root);
}

static void native_parse_response(const struct store_request *request,
				  long code, struct str body,
				  struct store_result *result, char *after)
{
	bool is_write = request->op == STORE_OP_PUT ||
			request->op == STORE_OP_DELETE;

	(void)after;
	if (code == HTTP_OK)
		http_dialect_native_parse(result, body);
	else
		status_set(&result->status, code_from_http(code, is_write),
			   "platform %s %s: HTTP %ld",
			   store_op_name(request->op), request->key, code);
}

const struct http_dialect http_dialect_native = {
	.epoch_header = "Store-Epoch",
	.write_call = native_write_call,
	.parse_response = native_parse_response,
};
