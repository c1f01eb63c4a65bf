#ifndef TARRAGONFLOW_STORE_HTTP_STORE_H
#define TARRAGONFLOW_STORE_HTTP_STORE_H

#include <curl/curl.h>
#include <stdatomic.h>

#include "tarragonflow/common/counter.h"
#include "tarragonflow/store/http_dialect.h"

/** Client of an object store over HTTP and JSON. Used by one thread, except
 * for http_store_cancel(). */
struct http_store {
	struct object_store store;
	const struct http_dialect *dialect;
	CURL *curl;
	/** Runs `curl`, so that another thread can cancel a call. */
	CURLM *multi;
	_Atomic bool cancelled;
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

#endif
