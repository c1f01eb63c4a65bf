#include "tarragonflow/admin/admin.h"

#include <civetweb.h>
#include <stdlib.h>
#include <string.h>

#define HTTP_OK 200
#define HTTP_UNAVAILABLE 503

static int answer(struct mg_connection *conn, int code, const char *type,
		  struct str body)
{
	mg_printf(conn,
		  "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
		  "Content-Length: %zu\r\nConnection: close\r\n\r\n",
		  code, mg_get_response_code_text(conn, code), type, body.len);
	mg_write(conn, body.data, body.len);
	return code;
}

static int handle_health(struct mg_connection *conn, void *user)
{
	(void)user;
	return answer(conn, HTTP_OK, "text/plain", str_from("ok\n"));
}

static int handle_ready(struct mg_connection *conn, void *user)
{
	struct node *node = user;
	int64_t release;

	pthread_mutex_lock(&node->lock);
	release = node->control.config.manifest.release;
	pthread_mutex_unlock(&node->lock);
	if (!release)
		return answer(conn, HTTP_UNAVAILABLE, "text/plain",
			      str_from("no configuration\n"));
	return answer(conn, HTTP_OK, "text/plain", str_from("ready\n"));
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
	code = answer(conn, HTTP_OK, "text/plain; version=0.0.4",
		      strbuf_str(&body));
	strbuf_finish(&body);
	return code;
}

static json_t *member_json(const struct member *member)
{
	char data[ENDPOINT_TEXT_MAX], control[ENDPOINT_TEXT_MAX];
	char admin[ENDPOINT_TEXT_MAX];

	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:s,s:s,s:s}",
			 "name", member->name.data, "role",
			 member_role_name(member->role), "zone",
			 member->zone.data, "service", member->service.data,
			 "state", member_state_name(member->state), "instance",
			 (json_int_t)member->instance, "sequence",
			 (json_int_t)member->sequence, "release",
			 (json_int_t)member->config_revision, "data",
			 endpoint_format(&member->data, data), "control",
			 endpoint_format(&member->control, control), "admin",
			 endpoint_format(&member->admin, admin));
}

json_t *admin_status_json(struct node *node)
{
	json_t *members = json_array();
	json_t *root;

	pthread_mutex_lock(&node->lock);
	for (size_t i = 0; i < node->control.roster.n; i++)
		json_array_append_new(
			members, member_json(&node->control.roster.members[i]));
	root = json_pack(
		"{s:s,s:s,s:I,s:I,s:o}", "name", node->settings->name.data,
		"deployment", node->settings->deployment.data, "release",
		(json_int_t)node->control.config.manifest.release,
		"connections", (json_int_t)atomic_load(&node->open_connections),
		"members", members);
	pthread_mutex_unlock(&node->lock);
	return root;
}

static int handle_status(struct mg_connection *conn, void *user)
{
	json_t *root = admin_status_json(user);
	char *text = json_dumps(root, JSON_INDENT(2));
	int code = answer(conn, HTTP_OK, "application/json", str_from(text));

	free(text);
	json_decref(root);
	return code;
}

enum status_code admin_start(struct admin *admin, struct node *node,
			     struct status *status)
{
	char port[ENDPOINT_TEXT_MAX];
	const char *options[] = {
		"listening_ports",
		endpoint_format(&node->settings->admin, port),
		"num_threads",
		"4",
		"enable_directory_listing",
		"no",
		NULL,
	};

	memset(admin, 0, sizeof(*admin));
	admin->node = node;
	admin->context = mg_start(NULL, node, options);
	if (!admin->context)
		return status_set(status, STATUS_IO,
				  "cannot listen on admin address %s", port);
	mg_set_request_handler(admin->context, "/healthz$", handle_health,
			       node);
	mg_set_request_handler(admin->context, "/readyz$", handle_ready, node);
	mg_set_request_handler(admin->context, "/metrics$", handle_metrics,
			       node);
	mg_set_request_handler(admin->context, "/v1/status$", handle_status,
			       node);
	return STATUS_OK;
}

void admin_finish(struct admin *admin)
{
	mg_stop(admin->context);
	admin->context = NULL;
}
