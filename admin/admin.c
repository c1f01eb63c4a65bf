#include "tarragonflow/admin/admin.h"

#include <civetweb.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "page.h"

#define HEAD_MAX_BYTES 256
#define REASON_MAX_BYTES 64
#define PORTS_MAX_BYTES (4 * ENDPOINT_TEXT_MAX)
#define LEAVE_PATH "/v1/leave"
/* Common prefix of all paths that an adapter serves. */
#define ADAPTER_PATH_PREFIX "/-/"
#define HTTP_OK 200
#define HTTP_ACCEPTED 202
#define HTTP_BAD_REQUEST 400
#define HTTP_UNAUTHORIZED 401
#define HTTP_METHOD_NOT_ALLOWED 405
#define HTTP_SERVICE_UNAVAILABLE 503

static int respond(struct mg_connection *conn, int code, const char *type,
		   struct str body)
{
	/* CivetWeb gives handlers about 12 KiB of stack: too little for
	 * mg_printf(). */
	char head[HEAD_MAX_BYTES];
	int len = snprintf(head, sizeof(head),
			   "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
			   "Content-Length: %zu\r\nConnection: close\r\n\r\n",
			   code, mg_get_response_code_text(conn, code), type,
			   body.len);

	mg_write(conn, head, (size_t)len);
	mg_write(conn, body.data, body.len);
	return code;
}

static int handle_health(struct mg_connection *conn, void *user)
{
	(void)user;
	return respond(conn, HTTP_OK, "text/plain", str_from("ok\n"));
}

static int handle_ready(struct mg_connection *conn, void *user)
{
	const char *reason = node_not_ready_reason(user);
	char body[REASON_MAX_BYTES];

	if (reason) {
		snprintf(body, sizeof(body), "%s\n", reason);
		return respond(conn, HTTP_SERVICE_UNAVAILABLE, "text/plain",
			       str_from(body));
	}
	return respond(conn, HTTP_OK, "text/plain", str_from("ready\n"));
}

static int handle_metrics(struct mg_connection *conn, void *user)
{
	struct node *node = user;
	struct strbuf body;
	int code;

	strbuf_init(&body);
	for (int i = 0; i < COUNTER_COUNT; i++) {
		const char *name = counter_name((enum counter_id)i);

		strbuf_addf(&body,
			    "# TYPE tarragonflow_%s_total counter\n"
			    "tarragonflow_%s_total %llu\n",
			    name, name,
			    (unsigned long long)counter_get(
				    &node->counters, (enum counter_id)i));
	}
	if (node->response_times)
		histogram_write(node->response_times, "tarragonflow_answer_ms",
				&body);
	if (node->wait_times)
		histogram_write(node->wait_times, "tarragonflow_wait_ms",
				&body);
	code = respond(conn, HTTP_OK, "text/plain; version=0.0.4",
		       strbuf_str(&body));
	strbuf_finish(&body);
	return code;
}

static int respond_json(struct mg_connection *conn, int code, json_t *root)
{
	char *text = json_dumps(root, JSON_INDENT(2));

	respond(conn, code, "application/json", str_from(text));
	free(text);
	json_decref(root);
	return code;
}

static int handle_status(struct mg_connection *conn, void *user)
{
	return respond_json(conn, HTTP_OK, admin_status_json(user));
}

static int handle_overview(struct mg_connection *conn, void *user)
{
	return respond_json(conn, HTTP_OK, admin_overview_json(user));
}

static int handle_chain(struct mg_connection *conn, void *user)
{
	const char *query = mg_get_request_info(conn)->query_string;
	size_t len = query ? strlen(query) : 0;
	char src[ADMIN_ADDRESS_MAX] = "", dst[ADMIN_ADDRESS_MAX] = "";
	struct flow_key key = {0};

	mg_get_var(query ? query : "", len, "src", src, sizeof(src));
	mg_get_var(query ? query : "", len, "dst", dst, sizeof(dst));
	if (!admin_parse_address(src, &key.src, &key.src_port) ||
	    !admin_parse_address(dst, &key.dst, &key.dst_port))
		return respond(
			conn, HTTP_BAD_REQUEST, "text/plain",
			str_from("src and dst are required as a.b.c.d:port or "
				 "[address]:port\n"));
	return respond_json(conn, HTTP_OK, admin_chain_json(user, &key));
}

/* Copies the parameter @name of @query to @out of ADMIN_ADDRESS_MAX. A value
 * that doesn't fit becomes "?", which is no address, instead of a missing one.
 */
static void get_address(const char *query, const char *name, char *out)
{
	const char *text = query ? query : "";

	*out = '\0';
	if (mg_get_var(text, strlen(text), name, out, ADMIN_ADDRESS_MAX) == -2)
		memcpy(out, "?", 2);
}

static int handle_where(struct mg_connection *conn, void *user)
{
	const char *query = mg_get_request_info(conn)->query_string;
	char to[ADMIN_ADDRESS_MAX], from[ADMIN_ADDRESS_MAX];
	json_t *root;
	int code;

	get_address(query, "to", to);
	get_address(query, "from", from);
	root = admin_where_json(user, to, from, &code);
	return respond_json(conn, code, root);
}

static int handle_page(struct mg_connection *conn, void *user)
{
	(void)user;
	return respond(conn, HTTP_OK, "text/html; charset=utf-8",
		       str_from(admin_page));
}

/* Starts a graceful shutdown, as SIGTERM does. */
static int handle_leave(struct mg_connection *conn, void *user)
{
	(void)user;
	kill(getpid(), SIGTERM);
	return respond(conn, HTTP_ACCEPTED, "text/plain",
		       str_from("leaving\n"));
}

bool admin_token_matches(const struct json_text *token, const char *header)
{
	static const char scheme[] = "Bearer ";
	size_t scheme_len = sizeof(scheme) - 1;

	return token->len && header && !strncmp(header, scheme, scheme_len) &&
	       strlen(header + scheme_len) == token->len &&
	       !sodium_memcmp(header + scheme_len, token->data, token->len);
}

/*
 * Runs before each handler: every method other than GET and HEAD needs the
 * admin token. Returns 0 to continue, or the HTTP status of a response sent.
 */
static int check_access(struct mg_connection *conn)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	const struct node *node = info->user_data;
	bool post = !strcmp(info->request_method, "POST");

	/* The adapter controls access to its own paths. */
	if (node->adapter->n_mounts &&
	    !strncmp(info->local_uri, ADAPTER_PATH_PREFIX,
		     strlen(ADAPTER_PATH_PREFIX)))
		return 0;
	if (!strcmp(info->request_method, "GET") ||
	    !strcmp(info->request_method, "HEAD")) {
		if (strcmp(info->local_uri, LEAVE_PATH) != 0)
			return 0;
		return respond(conn, HTTP_METHOD_NOT_ALLOWED, "text/plain",
			       str_from("POST only\n"));
	}
	if (!admin_token_matches(&node->settings->admin_token,
				 mg_get_header(conn, "Authorization")))
		return respond(conn, HTTP_UNAUTHORIZED, "text/plain",
			       str_from("the admin token is required\n"));
	if (post && !strcmp(info->local_uri, LEAVE_PATH))
		return 0;
	return respond(conn, HTTP_METHOD_NOT_ALLOWED, "text/plain",
		       str_from("read-only\n"));
}

static const struct {
	const char *path;
	mg_request_handler handle;
} routes[] = {
	{"/$", handle_page},
	{"/healthz$", handle_health},
	{"/readyz$", handle_ready},
	{"/metrics$", handle_metrics},
	{"/v1/status$", handle_status},
	{"/v1/overview$", handle_overview},
	{"/v1/chain$", handle_chain},
	{"/v1/where$", handle_where},
	{LEAVE_PATH "$", handle_leave},
};

/* Appends @endpoint to the comma-separated list @ports, without duplicates. */
static void add_listening_port(char *ports, const struct endpoint *endpoint)
{
	char text[ENDPOINT_TEXT_MAX];
	size_t len = strlen(ports);

	if (!endpoint->port || strstr(ports, endpoint_format(endpoint, text)))
		return;
	snprintf(ports + len, PORTS_MAX_BYTES - len, "%s%s", len ? "," : "",
		 text);
}

enum status_code admin_start(struct admin *admin, struct node *node,
			     struct status *status)
{
	struct mg_callbacks callbacks = {0};
	char ports[PORTS_MAX_BYTES] = "";
	const char *options[] = {
		"listening_ports",	    ports, "num_threads", "4",
		"enable_directory_listing", "no",  NULL,
	};

	add_listening_port(ports, &node->settings->admin);
	add_listening_port(ports, &node->settings->ready);
	add_listening_port(ports, &node->settings->announce);
	memset(admin, 0, sizeof(*admin));
	admin->node = node;
	callbacks.begin_request = check_access;
	admin->context = mg_start(&callbacks, node, options);
	if (!admin->context)
		return status_set(status, STATUS_IO,
				  "cannot listen on admin addresses %s", ports);
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++)
		mg_set_request_handler(admin->context, routes[i].path,
				       routes[i].handle, node);
	for (size_t i = 0; i < node->adapter->n_mounts; i++)
		mg_set_request_handler(admin->context,
				       node->adapter->mounts[i].pattern,
				       node->adapter->mounts[i].handle, node);
	return STATUS_OK;
}

void admin_finish(struct admin *admin)
{
	mg_stop(admin->context);
	admin->context = NULL;
}
