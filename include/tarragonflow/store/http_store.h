#ifndef TARRAGONFLOW_STORE_HTTP_STORE_H
#define TARRAGONFLOW_STORE_HTTP_STORE_H

#include <curl/curl.h>
#include <stdatomic.h>

#include "tarragonflow/common/counter.h"
#include "tarragonflow/store/http_dialect.h"

/** Client of an object store over HTTP and JSON. Used by one thread, except
 * for http_store_cancel() and http_store_cancel_call(). */
struct http_store {
	struct object_store store;
	const struct http_dialect *dialect;
	CURL *curl;
	/** Runs `curl`, so that another thread can cancel a call. */
	CURLM *multi;
	/** All calls are cancelled. */
	_Atomic bool cancelled;
	/** Calls with smaller request ids are cancelled. */
	_Atomic uint64_t first_valid_id;
	struct counters *counters;
	/** Headers of calls with a body. */
	struct curl_slist *headers;
	/** Address of the store. */
	char url[256];
};

/** @url is the store's address, such as "http://127.0.0.1:4700"; @counters may
 * be NULL. */
void http_store_init(struct http_store *http, const char *url,
		     const struct http_dialect *dialect,
		     struct counters *counters);
void http_store_finish(struct http_store *http);

/**
 * Cancels the call in progress and all later ones: they fail with
 * STATUS_UNAVAILABLE, writes with STATUS_UNKNOWN. Callable from any thread.
 */
void http_store_cancel(struct http_store *http);

/** Like http_store_cancel(), but only for calls with request ids up to @id,
 * which increase from call to call. */
void http_store_cancel_call(struct http_store *http, uint64_t id);

#endif
