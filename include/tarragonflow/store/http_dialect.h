#ifndef TARRAGONFLOW_STORE_HTTP_DIALECT_H
#define TARRAGONFLOW_STORE_HTTP_DIALECT_H

#include "tarragonflow/store/object_store.h"

/** Size of a call's path with its query, in bytes with the terminator. */
#define HTTP_PATH_MAX 512

/** One HTTP request to the object store. */
struct http_call {
	const char *method;
	/** Path and query, appended to the store's address. */
	char path[HTTP_PATH_MAX];
	/** JSON; empty for calls without a body. */
	struct strbuf body;
};

/**
 * The HTTP API of one kind of object store: translates requests to HTTP calls
 * and HTTP responses to results. Transport, timeouts and connections are left
 * to struct http_store.
 */
struct http_dialect {
	/** Header of every response that holds the store's epoch. */
	const char *epoch_header;
	/**
	 * Fills @call for @request; false if the API has no such call. A LIST
	 * continues after the name @after, which is empty for its first page.
	 */
	bool (*write_call)(const struct store_request *request,
			   const char *after, struct http_call *call);
	/**
	 * Parses a response with HTTP status @code into @result and appends its
	 * objects to those of previous pages. Sets @after to the last name if
	 * there is another page.
	 */
	void (*parse_response)(const struct store_request *request, long code,
			       struct str body, struct store_result *result,
			       char *after);
};

/** The object API of docs/PLATFORM-API.md. */
extern const struct http_dialect http_dialect_native;

/** Parses the @body of a successful response of the object API of
 * docs/PLATFORM-API.md into @result. */
void http_dialect_native_parse(struct store_result *result, struct str body);

#endif
