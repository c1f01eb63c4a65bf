#include "tarragonflow/commands/fetch.h"

#include <curl/curl.h>
#include <stdio.h>

#include "tarragonflow/common/str.h"

#define FETCH_TIMEOUT_MS 3000L
#define URL_MAX 256
#define HTTP_OK 200

static size_t collect_body(char *data, size_t size, size_t n, void *user)
{
	strbuf_add(user, data, size * n);
	return size * n;
}

static enum status_code fetch_text(const char *url, struct strbuf *body,
				   long *http_code, struct status *status)
{
	CURL *curl = curl_easy_init();
	CURLcode code;

	*http_code = 0;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, FETCH_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, collect_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, http_code);
	curl_easy_cleanup(curl);
	if (code != CURLE_OK)
		return status_set(status, STATUS_UNAVAILABLE, "%s: %s", url,
				  curl_easy_strerror(code));
	return STATUS_OK;
}

static json_t *fetch_document(const char *admin, const char *path,
			      bool any_http_code, struct status *status)
{
	long http_code;
	struct strbuf body;
	json_error_t error;
	json_t *root = NULL;
	char url[URL_MAX];

	strbuf_init(&body);
	snprintf(url, sizeof(url), "http://%s%s", admin, path);
	if (fetch_text(url, &body, &http_code, status) == STATUS_OK) {
		if (any_http_code || http_code == HTTP_OK)
			root = json_loadb(body.data ? body.data : "", body.len,
					  0, &error);
		if (!root && http_code != HTTP_OK)
			status_set(status, STATUS_UNAVAILABLE, "%s: HTTP %ld",
				   url, http_code);
		else if (!root)
			status_set(status, STATUS_PARSE, "%s: line %d: %s", url,
				   error.line, error.text);
	}
	strbuf_finish(&body);
	return root;
}

json_t *fetch_json(const char *admin, const char *path, struct status *status)
{
	return fetch_document(admin, path, false, status);
}

json_t *fetch_json_of_any_code(const char *admin, const char *path,
			       struct status *status)
{
	return fetch_document(admin, path, true, status);
}
