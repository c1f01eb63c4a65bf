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
				   struct status *status)
{
	CURL *curl = curl_easy_init();
	long http_code = 0;
	CURLcode code;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, FETCH_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, collect_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &http_code);
	curl_easy_cleanup(curl);
	if (code != CURLE_OK)
		return status_set(status, STATUS_UNAVAILABLE, "%s: %s", url,
				  curl_easy_strerror(code));
	if (http_code != HTTP_OK)
		return status_set(status, STATUS_UNAVAILABLE, "%s: HTTP %ld",
				  url, http_code);
	return STATUS_OK;
}

json_t *fetch_json(const char *admin, const char *path, struct status *status)
{
	struct strbuf body;
	json_error_t error;
	json_t *root = NULL;
	char url[URL_MAX];

	strbuf_init(&body);
	snprintf(url, sizeof(url), "http://%s%s", admin, path);
	if (fetch_text(url, &body, status) == STATUS_OK) {
		root = json_loadb(body.data ? body.data : "", body.len, 0,
				  &error);
		if (!root)
			status_set(status, STATUS_PARSE, "%s: line %d: %s", url,
				   error.line, error.text);
	}
	strbuf_finish(&body);
	return root;
}
