#ifndef TARRAGONFLOW_PLATFORM_HTTP_PLATFORM_H
#define TARRAGONFLOW_PLATFORM_HTTP_PLATFORM_H

#include <curl/curl.h>
#include <stdatomic.h>

#include "tarragonflow/common/counter.h"
#include "tarragonflow/platform/platform.h"

/** The platform over HTTP and JSON, through libcurl; for one thread. */
struct http_platform {
	struct platform platform;
	CURL *curl;
	/** Drives `curl`, so that another thread can end a call. */
	CURLM *multi;
	_Atomic bool cancelled;
	struct counters *counters;
	char url[256];
};

/** @url such as "http://127.0.0.1:4700"; @counters may be NULL. */
void http_platform_init(struct http_platform *http, const char *url,
			struct counters *counters);
void http_platform_finish(struct http_platform *http);

/**
 * Ends the call under way and all later ones with STATUS_UNAVAILABLE, or
 * STATUS_UNKNOWN for a write; from any thread.
 */
void http_platform_cancel(struct http_platform *http);

/** Reads the @body of a good answer into @result. */
void http_platform_parse(struct platform_result *result, struct str body);

#endif
