#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/platform/platform.h"
#include "tarragonflow/store/http_store.h"

#define RESPONSES_MAX 3

/** A response of the server; epoch 0: without the header. */
struct response {
	int code;
	uint64_t epoch;
	const char *body;
};

/** A server that gives one response after the other, each on a connection of
 * its own. */
struct server {
	int listen_fd;
	char url[64];
	pthread_t thread;
	const struct response *responses;
	int n_responses;
	int64_t delay_ms;
};

/* Reads a request with its body, whose length Content-Length gives. */
static void read_request(int fd)
{
	GString *request = g_string_new(NULL);
	const char *body = NULL, *length;
	size_t body_len = 0;
	char chunk[4096];
	ssize_t n;

	while (!body ||
	       request->len < (size_t)(body - request->str) + body_len) {
		n = recv(fd, chunk, sizeof(chunk), 0);
		if (n <= 0)
			break;
		g_string_append_len(request, chunk, n);
		body = strstr(request->str, "\r\n\r\n");
		if (!body)
			continue;
		body += strlen("\r\n\r\n");
		length = strstr(request->str, "Content-Length: ");
		if (length)
			body_len = strtoul(length + strlen("Content-Length: "),
					   NULL, 10);
	}
	g_string_free(request, TRUE);
}

static void send_response(int fd, const struct response *response)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text,
			"HTTP/1.1 %d x\r\nContent-Length: %zu\r\n"
			"Connection: close\r\n",
			response->code, strlen(response->body));
	if (response->epoch)
		g_string_append_printf(text, "Store-Era: %llu\r\n",
				       (unsigned long long)response->epoch);
	g_string_append_printf(text, "\r\n%s", response->body);
	send(fd, text->str, text->len, MSG_NOSIGNAL);
	g_string_free(text, TRUE);
}

static void *serve(void *user)
{
	struct server *server = user;

	for (int i = 0; i < server->n_responses; i++) {
		int fd = accept(server->listen_fd, NULL, NULL);

		g_assert_cmpint(fd, >=, 0);
		read_request(fd);
		clock_sleep(server->delay_ms);
		send_response(fd, &server->responses[i]);
		close(fd);
	}
	return NULL;
}

static int count_responses(const struct response *responses)
{
	int n = 0;

	while (n < RESPONSES_MAX && responses[n].code)
		n++;
	return n;
}

static void server_start(struct server *server,
			 const struct response *responses, int64_t delay_ms)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t len = sizeof(address);

	memset(server, 0, sizeof(*server));
	server->responses = responses;
	server->n_responses = count_responses(responses);
	server->delay_ms = delay_ms;
	server->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(
		bind(server->listen_fd, (struct sockaddr *)&address, len), ==,
		0);
	g_assert_cmpint(listen(server->listen_fd, 4), ==, 0);
	getsockname(server->listen_fd, (struct sockaddr *)&address, &len);
	g_snprintf(server->url, sizeof(server->url), "http://127.0.0.1:%d",
		   ntohs(address.sin_port));
	g_assert_cmpint(pthread_create(&server->thread, NULL, serve, server),
			==, 0);
}

static void server_stop(struct server *server)
{
	pthread_join(server->thread, NULL);
	close(server->listen_fd);
}

#define PAGE(name, more)                                            \
	"{\"items\":[{\"meta\":{\"name\":\"" name "\",\"rev\":3}}]" \
	",\"has_more\":" more ",\"current_rev\":7}"

/* Every response names the store's epoch; a list whose pages are of two epochs
 * is not one list. */
static void test_epoch(void)
{
	static const struct {
		enum store_op op;
		struct response responses[RESPONSES_MAX];
		enum status_code code;
		uint64_t epoch;
	} cases[] = {
		{STORE_OP_LIST, {{200, 0, PAGE("a", "false")}}, STATUS_OK, 0},
		{STORE_OP_LIST, {{200, 4, PAGE("a", "false")}}, STATUS_OK, 4},
		{STORE_OP_LIST,
		 {{200, 4, PAGE("a", "true")}, {200, 4, PAGE("b", "false")}},
		 STATUS_OK,
		 4},
		{STORE_OP_LIST,
		 {{200, 4, PAGE("a", "true")}, {200, 5, PAGE("b", "false")}},
		 STATUS_UNAVAILABLE,
		 5},
		{STORE_OP_LIST, {{503, 6, ""}}, STATUS_UNAVAILABLE, 6},
		{STORE_OP_WATCH, {{410, 7, ""}}, STATUS_GONE, 7},
		{STORE_OP_PUT, {{409, 8, ""}}, STATUS_CONFLICT, 8},
		{STORE_OP_GET, {{404, 9, ""}}, STATUS_NOT_FOUND, 9},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct store_request request;
		struct store_result result;
		struct http_store http;
		struct server server;

		server_start(&server, cases[i].responses, 0);
		http_store_init(&http, server.url, &http_dialect_platform,
				NULL);
		store_request_init(&request, cases[i].op,
				   "tarragonflow/main/roster/0f");
		request.timeout_ms = 2000;
		request.version = 3;
		strbuf_addf(&request.value, "{}");
		http.store.call(&http.store, &request, &result);
		g_test_message("case %zu: %s", i, result.status.message);
		g_assert_cmpint(result.status.code, ==, cases[i].code);
		g_assert_cmpuint(result.epoch, ==, cases[i].epoch);
		store_result_finish(&result);
		store_request_finish(&request);
		http_store_finish(&http);
		server_stop(&server);
	}
}

static void *cancel_soon(void *user)
{
	clock_sleep(100);
	http_store_cancel_call(user, 5);
	return NULL;
}

/* Only calls up to the cancelled one end early. */
static void test_cancel_call(void)
{
	static const struct response responses[RESPONSES_MAX] = {
		{200, 1, PAGE("a", "false")},
		{200, 1, PAGE("a", "false")},
	};
	static const struct {
		uint64_t id;
		enum status_code code;
	} cases[] = {{5, STATUS_UNAVAILABLE}, {6, STATUS_OK}};
	struct http_store http;
	struct server server;
	pthread_t thread;

	server_start(&server, responses, 500);
	http_store_init(&http, server.url, &http_dialect_platform, NULL);
	g_assert_cmpint(pthread_create(&thread, NULL, cancel_soon, &http), ==,
			0);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct store_request request;
		struct store_result result;

		store_request_init(&request, STORE_OP_LIST,
				   "tarragonflow/main/zones/");
		request.id = cases[i].id;
		request.timeout_ms = 3000;
		http.store.call(&http.store, &request, &result);
		g_assert_cmpint(result.status.code, ==, cases[i].code);
		store_result_finish(&result);
		store_request_finish(&request);
	}
	pthread_join(thread, NULL);
	http_store_finish(&http);
	server_stop(&server);
}

/* An object whose value is nested 40 deep. */
static const char nested_object[] = "{\"key\":\"b\",\"value\":"
				    "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["
				    "]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]}";

/*
 * Guards against processes that no longer follow the store because one object
 * of another writer in a response can't be parsed.
 */
static void test_odd_object(void)
{
	static const char *const odd_objects[] = {
		"{\"key\":\"b\",\"version\":2,\"value\":1e999}",
		"{\"key\":\"b\",\"version\":99999999999999999999}",
		"{\"key\":\"b\",\"value\":\"\xff\"}",
		nested_object,
		"{\"key\":7}",
		"{}",
		"[]",
		"\xff",
	};
	struct store_request request;
	struct store_result result;

	for (size_t i = 0; i < G_N_ELEMENTS(odd_objects); i++) {
		char *body = g_strdup_printf(
			"{\"version\":9,\"objects\":["
			"{\"key\":\"a\",\"version\":1,\"value\":\"x\"},%s,"
			"{\"key\":\"c\",\"version\":3,\"value\":\"y\"}]}",
			odd_objects[i]);

		store_request_init(&request, STORE_OP_LIST, "");
		store_result_init(&result, &request);
		http_dialect_native_parse(&result, str_from(body));
		g_assert_cmpint(result.status.code, ==, STATUS_OK);
		g_assert_cmpint(result.version, ==, 9);
		g_assert_cmpuint(result.n_objects, ==, i < 4 ? 3 : 2);
		g_assert_cmpstr(result.objects[0].key, ==, "a");
		g_assert_cmpstr(result.objects[result.n_objects - 1].key, ==,
				"c");
		g_assert_cmpstr(result.objects[result.n_objects - 1].value.data,
				==, "y");
		store_result_finish(&result);
		store_request_finish(&request);
		g_free(body);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-store/epoch", test_epoch);
	g_test_add_func("/http-store/cancel-call", test_cancel_call);
	g_test_add_func("/http-store/odd-object", test_odd_object);
	return g_test_run();
}
