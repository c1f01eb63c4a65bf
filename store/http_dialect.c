#include "tarragonflow/store/http_dialect.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tarragonflow/common/json_scan.h"
#include "tarragonflow/common/log.h"

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

/** Members of an object in the API. */
enum object_part {
	PART_KEY,
	PART_VERSION,
	PART_TOKEN,
	PART_DELETED,
	PART_VALUE,
	N_OBJECT_PARTS,
};

/*
 * Adds the object @text to @result. An object whose key can't be read is
 * skipped; one whose value can't be read has an empty value.
 */
static void add_object(struct store_result *result, struct str text)
{
	struct json_part parts[N_OBJECT_PARTS] = {
		[PART_KEY].name = "key",     [PART_VERSION].name = "version",
		[PART_TOKEN].name = "token", [PART_DELETED].name = "deleted",
		[PART_VALUE].name = "value",
	};
	struct store_object *object;
	json_t *values[N_OBJECT_PARTS];
	struct str value_text = {"", 0};
	struct status status;
	const char *key, *token;

	json_scan_object(text, parts, N_OBJECT_PARTS);
	for (int i = 0; i < N_OBJECT_PARTS; i++) {
		values[i] = json_scan_parse(parts[i].value, &status);
		if (parts[i].value.len && !values[i])
			log_event(LOG_LEVEL_WARN, "store-object-unreadable",
				  "field=%s reason=\"%s\"", parts[i].name,
				  status.message);
	}
	key = json_string_value(values[PART_KEY]);
	token = json_string_value(values[PART_TOKEN]);
	if (json_is_string(values[PART_VALUE]))
		value_text =
			(struct str){json_string_value(values[PART_VALUE]),
				     json_string_length(values[PART_VALUE])};
	if (key && strlen(key) < STORE_KEY_MAX) {
		object = store_result_add(
			result, key, json_integer_value(values[PART_VERSION]),
			value_text);
		object->deleted = json_is_true(values[PART_DELETED]);
		if (token)
			g_strlcpy(object->token, token, sizeof(object->token));
	} else {
		log_event(LOG_LEVEL_WARN, "store-object-skipped",
			  "name=\"%s\" reason=\"%s\"", key ? key : "",
			  key ? "key: too long" : "key: must be a string");
	}
	for (int i = 0; i < N_OBJECT_PARTS; i++)
		json_decref(values[i]);
}

void http_dialect_native_parse(struct store_result *result, struct str body)
{
	struct json_part parts[] = {{.name = "version"}, {.name = "objects"}};
	struct json_array objects = {0};
	struct str object;
	struct status status;
	json_t *version;

	if (!json_scan_object(body, parts, G_N_ELEMENTS(parts)) ||
	    (parts[1].value.len &&
	     !json_array_scan(&objects, parts[1].value))) {
		status_set(&result->status,
			   result->op == STORE_OP_PUT ? STATUS_UNKNOWN
						      : STATUS_UNAVAILABLE,
			   "platform response is not a JSON object");
		return;
	}
	version = json_scan_parse(parts[0].value, &status);
	result->version = json_integer_value(version);
	json_decref(version);
	while (json_array_next(&objects, &object))
		add_object(result, object);
	if (result->op == STORE_OP_GET)
		add_object(result, body);
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
