#ifndef TARRAGONFLOW_STORE_HTTP_STORE_H
#define TARRAGONFLOW_STORE_HTTP_STORE_H

#include <curl/curl.h>
#include <stdatomic.h>

#include "tarragonflow/common/counter.h"
#include "tarragonflow/store/http_dialect.h"

/** An object store over HTTP and JSON, through libcurl; for one thread. */
struct http_store {
	struct object_store store;
	const struct http_dialect *dialect;
	CURL *curl;
	/** Drives `curl`, so that another thread can end a call. */
	CURLM *multi;
	_Atomic bool cancelled;
	struct counters *counters;
	struct curl_slist *headers;
	char url[256];
};

/** @url such as "http://127.0.0.1:4700"; @counters may be NULL. */
void http_store_init(struct http_store *http, const char *url,
		     const struct http_dialect *dialect,
		     struct counters *counters);
void http_store_finish(struct http_store *http);

/**
 * Ends the call under way and all later ones with STATUS_UNAVAILABLE, or
 * STATUS_UNKNOWN for a write; from any thread.
 */
void http_store_cancel(struct http_store *http);

#endif
