#include "tarragonflow/store/http_store.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "tarragonflow/common/clock.h"

#define URL_MAX 768
#define CONNECT_TIMEOUT_MS 1000L
#define WAIT_MAX_MS 1000
/* What a watch call may take beyond the wait it asks for. */
#define WATCH_GRACE_MS 2000

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_GONE 410
#define HTTP_TOO_LARGE 413

static size_t collect_body(char *data, size_t size, size_t n, void *user)
{
	struct strbuf *body = user;

	if (body->len + size * n > 4 * STORE_VALUE_MAX)
		return 0;
	strbuf_add(body, data, size * n);
	return size * n;
}

static void build_url(const struct http_store *http,
		      const struct store_request *request, char *url)
{
	switch (request->op) {
	case STORE_OP_GET:
		snprintf(url, URL_MAX, "%s/v1/objects/%s", http->url,
			 request->key);
		break;
	case STORE_OP_PUT:
	case STORE_OP_DELETE:
		snprintf(url, URL_MAX, "%s/v1/objects/%s?version=%lld",
			 http->url, request->key, (long long)request->version);
		break;
	case STORE_OP_LIST:
		snprintf(url, URL_MAX, "%s/v1/list?prefix=%s", http->url,
			 request->key);
		break;
	case STORE_OP_WATCH:
		snprintf(url, URL_MAX,
			 "%s/v1/watch?prefix=%s&after=%lld&wait_ms=%lld",
			 http->url, request->key, (long long)request->version,
			 (long long)request->timeout_ms);
		break;
	}
}

/* The body of a PUT: the value as text beside the write's token. */
static char *build_body(const struct store_request *request)
{
	json_t *root = json_pack("{s:s,s:s%}", "token", request->token, "value",
				 request->value.data, request->value.len);
	char *text = root ? json_dumps(root, JSON_COMPACT) : NULL;

	json_decref(root);
	return text;
}

static enum status_code code_from_http(long http_code, bool write)
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
		return write ? STATUS_UNKNOWN : STATUS_UNAVAILABLE;
	}
}

/* Before the request was sent nothing can have happened. */
static enum status_code code_from_curl(CURLcode code, bool write)
{
	if (!write || code == CURLE_COULDNT_CONNECT ||
	    code == CURLE_COULDNT_RESOLVE_HOST)
		return STATUS_UNAVAILABLE;
	return STATUS_UNKNOWN;
}

static void take_object(struct store_result *result, const json_t *item)
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

void http_store_parse(struct store_result *result, struct str body)
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
			   "platform answered no JSON object");
		json_decref(root);
		return;
	}
	result->version = json_integer_value(json_object_get(root, "version"));
	objects = json_object_get(root, "objects");
	json_array_foreach(objects, i, item) take_object(result, item);
	if (result->op == STORE_OP_GET)
		take_object(result, root);
	json_decref(root);
}

static void count_call(struct counters *counters, enum store_op op)
{
	static const enum counter_id ids[] = {
		[STORE_OP_GET] = COUNTER_PLATFORM_GET,
		[STORE_OP_LIST] = COUNTER_PLATFORM_LIST,
		[STORE_OP_PUT] = COUNTER_PLATFORM_PUT,
		[STORE_OP_DELETE] = COUNTER_PLATFORM_DELETE,
		[STORE_OP_WATCH] = COUNTER_PLATFORM_WATCH,
	};

	if (counters)
		counter_inc(counters, ids[op]);
}

static void count_outcome(struct counters *counters, enum status_code code)
{
	if (!counters)
		return;
	if (code == STATUS_UNAVAILABLE || code == STATUS_UNKNOWN)
		counter_inc(counters, COUNTER_PLATFORM_FAILED);
	else if (code == STATUS_CONFLICT)
		counter_inc(counters, COUNTER_PLATFORM_CONFLICT);
}

static void set_method(struct http_store *http, enum store_op op,
		       const char *body)
{
	if (op == STORE_OP_PUT) {
		curl_easy_setopt(http->curl, CURLOPT_CUSTOMREQUEST, "PUT");
		curl_easy_setopt(http->curl, CURLOPT_POSTFIELDS, body);
	} else if (op == STORE_OP_DELETE) {
		curl_easy_setopt(http->curl, CURLOPT_CUSTOMREQUEST, "DELETE");
	}
}

static void prepare_call(struct http_store *http,
			 const struct store_request *request,
			 struct strbuf *answer)
{
	long timeout = (long)request->timeout_ms;
	char url[URL_MAX];

	if (request->op == STORE_OP_WATCH)
		timeout += WATCH_GRACE_MS;
	build_url(http, request, url);
	curl_easy_reset(http->curl);
	curl_easy_setopt(http->curl, CURLOPT_URL, url);
	curl_easy_setopt(http->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(http->curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(http->curl, CURLOPT_CONNECTTIMEOUT_MS,
			 CONNECT_TIMEOUT_MS);
	curl_easy_setopt(http->curl, CURLOPT_TIMEOUT_MS, timeout);
	curl_easy_setopt(http->curl, CURLOPT_WRITEFUNCTION, collect_body);
	curl_easy_setopt(http->curl, CURLOPT_WRITEDATA, answer);
}

static CURLcode take_outcome(struct http_store *http)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(http->multi, &left)))
		if (message->msg == CURLMSG_DONE)
			return message->data.result;
	return CURLE_ABORTED_BY_CALLBACK;
}

/* Runs the prepared call to its end, or until http_store_cancel(). */
static CURLcode perform(struct http_store *http)
{
	CURLcode code = CURLE_ABORTED_BY_CALLBACK;
	int running = 1;

	curl_multi_add_handle(http->multi, http->curl);
	while (running && !atomic_load(&http->cancelled)) {
		if (curl_multi_perform(http->multi, &running) != CURLM_OK)
			break;
		if (running)
			curl_multi_poll(http->multi, NULL, 0, WAIT_MAX_MS,
					NULL);
	}
	if (!running)
		code = take_outcome(http);
	curl_multi_remove_handle(http->multi, http->curl);
	return code;
}

static void take_result(struct http_store *http, CURLcode code,
			const struct store_request *request,
			const struct strbuf *answer,
			struct store_result *result)
{
	bool write = request->op == STORE_OP_PUT ||
		     request->op == STORE_OP_DELETE;
	const char *op = store_op_name(request->op);
	long http_code = 0;

	if (code != CURLE_OK) {
		status_set(&result->status, code_from_curl(code, write),
			   "platform %s: %s", op, curl_easy_strerror(code));
		return;
	}
	curl_easy_getinfo(http->curl, CURLINFO_RESPONSE_CODE, &http_code);
	if (http_code != HTTP_OK)
		status_set(&result->status, code_from_http(http_code, write),
			   "platform %s %s: HTTP %ld", op, request->key,
			   http_code);
	else
		http_store_parse(result, strbuf_str(answer));
}

static void http_store_call(struct object_store *platform,
			    const struct store_request *request,
			    struct store_result *result)
{
	struct http_store *http = (struct http_store *)platform;
	struct strbuf answer;
	char *body = NULL;

	store_result_init(result, request);
	strbuf_init(&answer);
	count_call(http->counters, request->op);
	prepare_call(http, request, &answer);
	if (request->op == STORE_OP_PUT)
		body = build_body(request);
	set_method(http, request->op, body);
	take_result(http, perform(http), request, &answer, result);
	count_outcome(http->counters, result->status.code);
	strbuf_finish(&answer);
	free(body);
}

static void http_store_pause(struct object_store *platform, int64_t ms)
{
	(void)platform;
	clock_sleep(ms);
}

void http_store_init(struct http_store *http, const char *url,
		     struct counters *counters)
{
	memset(http, 0, sizeof(*http));
	http->platform.call = http_store_call;
	http->platform.pause = http_store_pause;
	http->counters = counters;
	http->curl = curl_easy_init();
	http->multi = curl_multi_init();
	atomic_init(&http->cancelled, false);
	g_strlcpy(http->url, url, sizeof(http->url));
}

void http_store_finish(struct http_store *http)
{
	curl_easy_cleanup(http->curl);
	curl_multi_cleanup(http->multi);
	http->curl = NULL;
}

void http_store_cancel(struct http_store *http)
{
	atomic_store(&http->cancelled, true);
	curl_multi_wakeup(http->multi);
}
