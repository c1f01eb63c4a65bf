#ifndef TARRAGONFLOW_STORE_HTTP_DIALECT_H
#define TARRAGONFLOW_STORE_HTTP_DIALECT_H

#include "tarragonflow/store/object_store.h"

/** Longest path and query of a call, in bytes with the terminator. */
#define HTTP_PATH_MAX 512

/** One HTTP call of the object store. */
struct http_call {
	const char *method;
	/** Path and query, behind the store's address. */
	char path[HTTP_PATH_MAX];
	/** JSON; empty for calls without a body. */
	struct strbuf body;
};

/**
 * How an object store is spoken to over HTTP: which call a request is, and
 * what its answer means. The transport, its time-outs and its connection are
 * those of struct http_store.
 */
struct http_dialect {
	/**
	 * Fills @call for @request; false when @request can't be said. @after
	 * continues a LIST behind that name; empty for its first page.
	 */
	bool (*write_call)(const struct store_request *request,
			   const char *after, struct http_call *call);
	/**
	 * Takes an answer of HTTP status @code into @result, adding to what a
	 * former page left there. Sets @after when there is another page.
	 */
	void (*read_answer)(const struct store_request *request, long code,
			    struct str body, struct store_result *result,
			    char *after);
};

/** The product's own API, docs/PLATFORM-API.md. */
extern const struct http_dialect http_dialect_own;

/** Reads the @body of a good answer of the product's own API into @result. */
void http_store_parse(struct store_result *result, struct str body);

#endif
