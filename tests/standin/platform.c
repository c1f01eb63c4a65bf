#include <civetweb.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "memory_store.h"
#include "standin.h"
#include "tarragonflow/common/clock.h"

/*
 * A stand-in for the platform: its object store over HTTP and JSON. PUT
 * /fault?down=1, ?slow_ms=N, ?lose_answers=N and ?forget=1 inject faults:
 * requests fail, responses are delayed or lost, the watch history is dropped.
 * ?backup=1 copies the store, ?restore=1 makes it return to that copy.
 */
#define BODY_MAX (2 * STORE_VALUE_MAX)
#define WATCH_POLL_MS 20
#define OBJECTS_URI "/v1/objects/"

struct platform_server {
	pthread_mutex_t lock;
	struct memory_store store, backup;
	bool down;
	int64_t response_delay_ms;
	int responses_to_lose;
	uint64_t calls[5];
};

static int64_t query_int(const struct mg_request_info *info, const char *name)
{
	const char *query = info->query_string ? info->query_string : "";
	char text[32];

	if (mg_get_var(query, strlen(query), name, text, sizeof(text)) < 0)
		return 0;
	return g_ascii_strtoll(text, NULL, 10);
}

/* @epoch is that of the store; 0 for responses that are not the store's. */
static int send_response(struct mg_connection *conn, int code, uint64_t epoch,
			 const char *body)
{
	mg_printf(conn,
		  "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
		  "Store-Epoch: %llu\r\nContent-Length: %zu\r\n\r\n%s",
		  code, mg_get_response_code_text(conn, code),
		  (unsigned long long)epoch, strlen(body), body);
	return code;
}

static int http_code(enum status_code code)
{
	switch (code) {
	case STATUS_OK:
		return 200;
	case STATUS_NOT_FOUND:
		return 404;
	case STATUS_CONFLICT:
		return 409;
	case STATUS_GONE:
		return 410;
	default:
		return 400;
	}
}

static json_t *object_json(const struct store_object *object)
{
	struct str value = strbuf_str(&object->value);

	return json_pack("{s:s,s:I,s:s,s:b,s:s%}", "key", object->key,
			 "version", (json_int_t)object->version, "token",
			 object->token, "deleted", object->deleted, "value",
			 value.data, value.len);
}

static int send_result(struct mg_connection *conn,
		       const struct store_result *result)
{
	json_t *objects = json_array();
	json_t *root;
	char *text;
	int code = http_code(result->status.code);

	if (result->op == STORE_OP_GET && result->n_objects) {
		root = object_json(&result->objects[0]);
		json_decref(objects);
	} else {
		for (size_t i = 0; i < result->n_objects; i++)
			json_array_append_new(objects,
					      object_json(&result->objects[i]));
		root = json_pack("{s:I,s:o,s:s}", "version",
				 (json_int_t)result->version, "objects",
				 objects, "error", result->status.message);
	}
	text = json_dumps(root, JSON_COMPACT);
	send_response(conn, code, result->epoch, text);
	free(text);
	json_decref(root);
	return code;
}

/* Reads the token and value of a PUT; false when it has no token. */
static bool read_body(struct mg_connection *conn, struct store_request *request)
{
	struct strbuf body;
	char chunk[4096];
	json_error_t error;
	json_t *root;
	int chunk_len;
	const char *token;

	strbuf_init(&body);
	while ((chunk_len = mg_read(conn, chunk, sizeof(chunk))) > 0 &&
	       body.len < BODY_MAX)
		strbuf_add(&body, chunk, (size_t)chunk_len);
	root = json_loadb(body.data ? body.data : "", body.len, 0, &error);
	strbuf_finish(&body);
	token = json_string_value(json_object_get(root, "token"));
	if (token)
		g_strlcpy(request->token, token, sizeof(request->token));
	strbuf_add(&request->value,
		   json_string_value(json_object_get(root, "value")),
		   json_string_length(json_object_get(root, "value")));
	json_decref(root);
	return token != NULL;
}

/* Executes @request and sends its result; @conn is closed under faults. */
static int serve_request(struct platform_server *server,
			 struct mg_connection *conn,
			 struct store_request *request)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	int64_t waited_ms = 0, wait_ms = query_int(info, "wait_ms");
	struct store_result result;
	bool lose_response = false;
	int code;

	pthread_mutex_lock(&server->lock);
	server->calls[request->op]++;
	if (server->down) {
		pthread_mutex_unlock(&server->lock);
		mg_close_connection(conn);
		return 503;
	}
	memory_store_apply(&server->store, request, &result);
	while (request->op == STORE_OP_WATCH && !result.n_objects &&
	       result.status.code == STATUS_OK && waited_ms < wait_ms &&
	       !server->down) {
		store_result_finish(&result);
		pthread_mutex_unlock(&server->lock);
		clock_sleep(WATCH_POLL_MS);
		waited_ms += WATCH_POLL_MS;
		pthread_mutex_lock(&server->lock);
		memory_store_apply(&server->store, request, &result);
	}
	if (request->op == STORE_OP_PUT && server->responses_to_lose > 0) {
		server->responses_to_lose--;
		lose_response = true;
	}
	wait_ms = server->response_delay_ms;
	pthread_mutex_unlock(&server->lock);
	clock_sleep(wait_ms);
	if (lose_response)
		mg_close_connection(conn);
	code = lose_response ? 503 : send_result(conn, &result);
	store_result_finish(&result);
	return code;
}

static int handle_objects(struct mg_connection *conn, void *user)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct store_request request;
	enum store_op op = STORE_OP_GET;
	int code;

	if (!strcmp(info->request_method, "PUT"))
		op = STORE_OP_PUT;
	else if (!strcmp(info->request_method, "DELETE"))
		op = STORE_OP_DELETE;
	store_request_init(&request, op, info->local_uri + strlen(OBJECTS_URI));
	request.version = query_int(info, "version");
	if (op == STORE_OP_PUT && !read_body(conn, &request))
		code = send_response(conn, 400, 0,
				     "{\"error\":\"token is missing\"}");
	else
		code = serve_request(user, conn, &request);
	store_request_finish(&request);
	return code;
}

/* Lists or watches the objects whose keys have a prefix. */
static int handle_prefix(struct mg_connection *conn, void *user)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	const char *query = info->query_string ? info->query_string : "";
	bool watch = g_str_has_prefix(info->local_uri, "/v1/watch");
	struct store_request request;
	char prefix[STORE_KEY_MAX] = "";

	mg_get_var(query, strlen(query), "prefix", prefix, sizeof(prefix));
	store_request_init(&request, watch ? STORE_OP_WATCH : STORE_OP_LIST,
			   prefix);
	request.version = query_int(info, "after");
	return serve_request(user, conn, &request);
}

static int handle_fault(struct mg_connection *conn, void *user)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct platform_server *server = user;

	pthread_mutex_lock(&server->lock);
	server->down = query_int(info, "down") != 0;
	server->response_delay_ms = query_int(info, "slow_ms");
	server->responses_to_lose = (int)query_int(info, "lose_answers");
	if (query_int(info, "forget"))
		memory_store_drop_history(&server->store);
	if (query_int(info, "backup"))
		memory_store_copy(&server->store, &server->backup);
	if (query_int(info, "restore"))
		memory_store_restore(&server->store, &server->backup);
	pthread_mutex_unlock(&server->lock);
	return send_response(conn, 200, 0, "{}");
}

int standin_platform(int argc, char **argv)
{
	const char *options[] = {"listening_ports", NULL, "num_threads", "64",
				 NULL};
	struct platform_server server = {.lock = PTHREAD_MUTEX_INITIALIZER};
	struct mg_context *context;
	sigset_t set;
	int signo;

	if (argc != 2) {
		fprintf(stderr, "usage: standin platform IP:PORT\n");
		return 2;
	}
	options[1] = argv[1];
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	memory_store_init(&server.store);
	memory_store_init(&server.backup);
	context = mg_start(NULL, &server, options);
	if (!context) {
		fprintf(stderr, "cannot listen on %s\n", argv[1]);
		return 1;
	}
	mg_set_request_handler(context, "/v1/objects/", handle_objects,
			       &server);
	mg_set_request_handler(context, "/v1/list", handle_prefix, &server);
	mg_set_request_handler(context, "/v1/watch", handle_prefix, &server);
	mg_set_request_handler(context, "/fault", handle_fault, &server);
	sigwait(&set, &signo);
	mg_stop(context);
	memory_store_finish(&server.store);
	memory_store_finish(&server.backup);
	return 0;
}
