#include <civetweb.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>

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

/** A server that gives one response after the other. */
struct server {
	struct mg_context *context;
	char url[64];
	const struct response *responses;
	int n_served;
	int64_t delay_ms;
};

static int serve(struct mg_connection *conn, void *user)
{
	struct server *server = user;
	const struct response *response =
		&server->responses[server->n_served++];

	if (server->delay_ms)
		clock_sleep(server->delay_ms);
	mg_printf(conn, "HTTP/1.1 %d x\r\nContent-Length: %zu\r\n",
		  response->code, strlen(response->body));
	if (response->epoch)
		mg_printf(conn, "Store-Era: %llu\r\n",
			  (unsigned long long)response->epoch);
	mg_printf(conn, "\r\n%s", response->body);
	return response->code;
}

static void server_start(struct server *server,
			 const struct response *responses)
{
	const char *options[] = {"listening_ports", "127.0.0.1:0",
				 "num_threads", "2", NULL};
	struct mg_server_port port;

	memset(server, 0, sizeof(*server));
	server->responses = responses;
	server->context = mg_start(NULL, NULL, options);
	g_assert_nonnull(server->context);
	g_assert_cmpint(mg_get_server_ports(server->context, 1, &port), ==, 1);
	g_snprintf(server->url, sizeof(server->url), "http://127.0.0.1:%d",
		   port.port);
	mg_set_request_handler(server->context, "/", serve, server);
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

		server_start(&server, cases[i].responses);
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
		mg_stop(server.context);
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

	server_start(&server, responses);
	server.delay_ms = 500;
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
	mg_stop(server.context);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-store/epoch", test_epoch);
	g_test_add_func("/http-store/cancel-call", test_cancel_call);
	return g_test_run();
}
