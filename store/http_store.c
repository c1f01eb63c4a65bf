#include "tarragonflow/store/http_store.h"

#include <glib.h>
#include <string.h>

#include "tarragonflow/common/clock.h"

#define URL_MAX (HTTP_PATH_MAX + 256)
#define CONNECT_TIMEOUT_MS 1000L
#define POLL_TIMEOUT_MS 1000
/* Time that a watch call may take beyond its requested wait. */
#define WATCH_GRACE_MS 1000
/* Maximum number of pages of one LIST. */
#define PAGES_MAX 64

static size_t collect_body(char *data, size_t size, size_t n, void *user)
{
	struct strbuf *body = user;

	if (body->len + size * n > 4 * STORE_VALUE_MAX)
		return 0;
	strbuf_add(body, data, size * n);
	return size * n;
}

/* UNAVAILABLE for a write means that it certainly had no effect, so it is
 * returned only if the request was never sent. */
static enum status_code code_from_curl(CURLcode code, bool is_write)
{
	if (!is_write || code == CURLE_COULDNT_CONNECT ||
	    code == CURLE_COULDNT_RESOLVE_HOST)
		return STATUS_UNAVAILABLE;
	return STATUS_UNKNOWN;
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

static void set_call_options(struct http_store *http,
			     const struct store_request *request,
			     const struct http_call *call, struct strbuf *body)
{
	long timeout = (long)request->timeout_ms;
	char url[URL_MAX];

	if (request->op == STORE_OP_WATCH)
		timeout += WATCH_GRACE_MS;
	g_snprintf(url, sizeof(url), "%s%s", http->url, call->path);
	curl_easy_reset(http->curl);
	curl_easy_setopt(http->curl, CURLOPT_URL, url);
	curl_easy_setopt(http->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(http->curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(http->curl, CURLOPT_CONNECTTIMEOUT_MS,
			 CONNECT_TIMEOUT_MS);
	curl_easy_setopt(http->curl, CURLOPT_TIMEOUT_MS, timeout);
	curl_easy_setopt(http->curl, CURLOPT_WRITEFUNCTION, collect_body);
	curl_easy_setopt(http->curl, CURLOPT_WRITEDATA, body);
	curl_easy_setopt(http->curl, CURLOPT_CUSTOMREQUEST, call->method);
	if (!call->body.len)
		return;
	curl_easy_setopt(http->curl, CURLOPT_HTTPHEADER, http->headers);
	curl_easy_setopt(http->curl, CURLOPT_POSTFIELDS, call->body.data);
	curl_easy_setopt(http->curl, CURLOPT_POSTFIELDSIZE,
			 (long)call->body.len);
}

static CURLcode transfer_result(struct http_store *http)
{
	CURLMsg *message;
	int queued;

	while ((message = curl_multi_info_read(http->multi, &queued)))
		if (message->msg == CURLMSG_DONE)
			return message->data.result;
	return CURLE_ABORTED_BY_CALLBACK;
}

static bool is_cancelled(struct http_store *http, uint64_t id)
{
	return atomic_load(&http->cancelled) ||
	       id < atomic_load(&http->first_valid_id);
}

/* Runs the call with the request id @id until it ends or is cancelled. */
static CURLcode perform_transfer(struct http_store *http, uint64_t id)
{
	CURLcode code = CURLE_ABORTED_BY_CALLBACK;
	int running = 1;

	curl_multi_add_handle(http->multi, http->curl);
	while (running && !is_cancelled(http, id)) {
		if (curl_multi_perform(http->multi, &running) != CURLM_OK)
			break;
		if (running)
			curl_multi_poll(http->multi, NULL, 0, POLL_TIMEOUT_MS,
					NULL);
	}
	if (!running)
		code = transfer_result(http);
	curl_multi_remove_handle(http->multi, http->curl);
	return code;
}

/* The epoch in the response's header; 0 if it has none. */
static uint64_t response_epoch(struct http_store *http)
{
	struct curl_header *header;

	if (curl_easy_header(http->curl, http->dialect->epoch_header, 0,
			     CURLH_HEADER, -1, &header) != CURLHE_OK)
		return 0;
	return g_ascii_strtoull(header->value, NULL, 10);
}

/*
 * Makes one HTTP call. For a LIST, it returns the page that follows the name
 * @after; @after is then set for the next page, or emptied if there is none.
 */
static void call_once(struct http_store *http,
		      const struct store_request *request, char *after,
		      struct store_result *result)
{
	bool is_write = request->op == STORE_OP_PUT ||
			request->op == STORE_OP_DELETE;
	struct http_call call = {0};
	struct strbuf body;
	long http_code = 0;
	CURLcode code;

	strbuf_init(&body);
	if (!http->dialect->write_call(request, after, &call)) {
		status_set(&result->status, STATUS_INVALID,
			   "platform %s: API has no call for key %s",
			   store_op_name(request->op), request->key);
		return;
	}
	*after = '\0';
	count_call(http->counters, request->op);
	set_call_options(http, request, &call, &body);
	code = perform_transfer(http, request->id);
	if (code != CURLE_OK) {
		status_set(&result->status, code_from_curl(code, is_write),
			   "platform %s: %s", store_op_name(request->op),
			   curl_easy_strerror(code));
	} else {
		curl_easy_getinfo(http->curl, CURLINFO_RESPONSE_CODE,
				  &http_code);
		result->epoch = response_epoch(http);
		http->dialect->parse_response(request, http_code,
					      strbuf_str(&body), result, after);
	}
	count_outcome(http->counters, result->status.code);
	strbuf_finish(&call.body);
	strbuf_finish(&body);
}

static void http_store_call(struct object_store *store,
			    const struct store_request *request,
			    struct store_result *result)
{
	struct http_store *http = (struct http_store *)store;
	char after[STORE_KEY_MAX] = "";
	uint64_t first_epoch = 0;

	store_result_init(result, request);
	for (int i = 0; i < PAGES_MAX; i++) {
		call_once(http, request, after, result);
		if (!i)
			first_epoch = result->epoch;
		if (result->status.code == STATUS_OK &&
		    result->epoch != first_epoch)
			status_set(&result->status, STATUS_UNAVAILABLE,
				   "platform list %s: the store was restored "
				   "between two pages",
				   request->key);
		result->has_more = *after != '\0';
		if (!result->has_more || request->one_page ||
		    result->status.code != STATUS_OK)
			return;
	}
	status_set(&result->status, STATUS_FULL,
		   "platform %s: more than %d pages", request->key, PAGES_MAX);
}

static void http_store_sleep(struct object_store *store, int64_t ms)
{
	(void)store;
	clock_sleep(ms);
}

void http_store_init(struct http_store *http, const char *url,
		     const struct http_dialect *dialect,
		     struct counters *counters)
{
	memset(http, 0, sizeof(*http));
	http->store.call = http_store_call;
	http->store.sleep = http_store_sleep;
	http->dialect = dialect;
	http->counters = counters;
	http->curl = curl_easy_init();
	http->multi = curl_multi_init();
	http->headers =
		curl_slist_append(NULL, "Content-Type: application/json");
	atomic_init(&http->cancelled, false);
	atomic_init(&http->first_valid_id, 0);
	g_strlcpy(http->url, url, sizeof(http->url));
}

void http_store_finish(struct http_store *http)
{
	curl_easy_cleanup(http->curl);
	curl_multi_cleanup(http->multi);
	curl_slist_free_all(http->headers);
	http->curl = NULL;
}

void http_store_cancel(struct http_store *http)
{
	atomic_store(&http->cancelled, true);
	curl_multi_wakeup(http->multi);
}

void http_store_cancel_call(struct http_store *http, uint64_t id)
{
	atomic_store(&http->first_valid_id, id + 1);
	curl_multi_wakeup(http->multi);
}
