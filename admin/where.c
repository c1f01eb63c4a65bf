#include <stdio.h>
#include <string.h>

#include "tarragonflow/admin/admin.h"

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_SERVICE_UNAVAILABLE 503
#define ADDRESS_HELP "not of the form a.b.c.d:port or [address]:port"

/** How a failure is reported. */
struct failure {
	enum status_code status;
	int http_code;
};

/* Documents with candidates are complete, so the query itself succeeded. */
static struct failure failure_of(enum explanation_result result)
{
	switch (result) {
	case EXPLANATION_SELECTED:
		return (struct failure){STATUS_OK, HTTP_OK};
	case EXPLANATION_NO_CONFIG:
		return (struct failure){STATUS_UNAVAILABLE,
					HTTP_SERVICE_UNAVAILABLE};
	case EXPLANATION_NO_ROUTE:
	case EXPLANATION_NO_WEIGHT:
	case EXPLANATION_NO_SERVER:
		return (struct failure){STATUS_NOT_FOUND, HTTP_NOT_FOUND};
	case EXPLANATION_NONE_ACCEPTS:
	case EXPLANATION_NO_LOAD_KNOWN:
	case EXPLANATION_LOADS_TOO_OLD:
	case EXPLANATION_ALL_RULED_OUT:
		break;
	}
	return (struct failure){STATUS_NOT_FOUND, HTTP_OK};
}

/* Adds the outcome to the document; returns @http_code. */
static int finish_document(json_t *root, enum status_code code, int http_code,
			   const char *error)
{
	json_object_set_new(root, "status", json_string(status_name(code)));
	json_object_set_new(root, "error",
			    error ? json_string(error) : json_null());
	return http_code;
}

static json_t *address_json(const struct ip_addr *addr, uint16_t port)
{
	char text[IP_ADDR_TEXT_MAX];
	bool v4 = ip_addr_is_v4(addr);

	return json_sprintf("%s%s%s:%u", v4 ? "" : "[",
			    ip_addr_format(addr, text), v4 ? "" : "]", port);
}

/* The unspecified address of the destination's family, and port 0: no caller
 * has this source. */
static void set_sample_source(struct flow_key *key)
{
	ip_addr_parse(&key->src, ip_addr_is_v4(&key->dst) ? "0.0.0.0" : "::");
	key->src_port = 0;
}

/* Parses the query into @key; returns the error, or NULL. */
static const char *parse_query(struct flow_key *key, const char *to,
			       const char *from)
{
	if (!*to)
		return "to: missing";
	if (!admin_parse_address(to, &key->dst, &key->dst_port))
		return "to: " ADDRESS_HELP;
	if (!*from)
		set_sample_source(key);
	else if (!admin_parse_address(from, &key->src, &key->src_port))
		return "from: " ADDRESS_HELP;
	if (ip_addr_is_v4(&key->src) != ip_addr_is_v4(&key->dst))
		return "from: not of the same address family as to";
	return NULL;
}

/* @load, or null when the load is unknown, or the server full. */
static json_t *load_json(uint32_t load)
{
	return load < PACKET_LOAD_FULL ? json_integer(load) : json_null();
}

/* @ms, or null when it is negative: unknown, or not set. */
static json_t *ms_json(int64_t ms)
{
	return ms >= 0 ? json_integer(ms) : json_null();
}

static const char *member_name(const struct roster *roster, uint32_t id)
{
	for (size_t i = 0; i < roster->n; i++)
		if (member_id(&roster->members[i].name) == id)
			return roster->members[i].name.data;
	return "unknown";
}

static json_t *candidates_json(const struct explanation *explanation,
			       const struct roster *roster)
{
	json_t *candidates = json_array();

	for (int i = 0; i < explanation->n_candidates; i++) {
		const struct candidate_explanation *candidate =
			&explanation->candidates[i];

		json_array_append_new(
			candidates,
			json_pack("{s:s,s:s,s:s,s:b,s:o,s:o,s:I,s:I,s:o,s:b}",
				  "name",
				  member_name(roster, candidate->member_id),
				  "zone", candidate->zone.data, "verdict",
				  candidate_verdict_text(candidate->verdict),
				  "suspect", candidate->suspect, "load",
				  load_json(candidate->reported_load),
				  "load_age_ms",
				  ms_json(candidate->load_age_ms),
				  "added_for_sent",
				  (json_int_t)candidate->sent_load,
				  "added_for_zone",
				  (json_int_t)candidate->cross_zone_load,
				  "compared_load",
				  load_json(candidate->total_load), "selected",
				  i == explanation->target.position));
	}
	return candidates;
}

static json_t *store_json(const struct platform_sync *sync, int64_t now_ms)
{
	uint32_t contact_ms =
		platform_sync_contact_ages(sync, now_ms).any_process_ms;

	return json_pack("{s:o,s:b,s:I}", "last_contact_ms",
			 ms_json(contact_ms == STORE_AGE_NEVER
					 ? -1
					 : (int64_t)contact_ms),
			 "isolated", sync->failed_calls > 0, "failed_calls",
			 (json_int_t)sync->failed_calls);
}

/* What the balancer knows, and how old that is. Call with the lock held. */
static json_t *knowledge_json(struct node *node,
			      const struct explanation *explanation)
{
	const struct roster *roster = &node->control.roster;
	int64_t now_ms = clock_now(&node->clock);
	int64_t confirmed_ms = atomic_load(&node->view_up_to_date_ms);
	size_t n_live = 0;

	for (size_t i = 0; i < roster->n; i++)
		n_live += roster->members[i].state != MEMBER_LEFT;
	return json_pack(
		"{s:I,s:o,s:o,s:I,s:I,s:b,s:b,s:o,s:o}", "release",
		(json_int_t)explanation->release, "view_age_ms",
		ms_json(explanation->release ? explanation->view_age_ms : -1),
		"confirmed_ms",
		ms_json(explanation->release ? now_ms - confirmed_ms : -1),
		"members", (json_int_t)n_live, "servers",
		(json_int_t)explanation->n_members, "roster_complete",
		explanation->roster_complete, "resyncing",
		control_is_resyncing(&node->control), "agents_isolated",
		explanation->least_load_enabled && explanation->release
			? json_boolean(explanation->isolated)
			: json_null(),
		"store", store_json(&node->control.platform, now_ms));
}

static void add_decision(json_t *root, const struct explanation *explanation,
			 const struct roster *roster)
{
	const struct candidate_explanation *selected =
		&explanation->candidates[explanation->target.position];

	if (explanation->service.len)
		json_object_set_new(
			root, "service",
			json_pack("{s:s,s:I,s:I,s:I,s:o}", "name",
				  explanation->service.data, "weight",
				  (json_int_t)explanation->service_weight,
				  "total_weight",
				  (json_int_t)explanation->total_weight,
				  "priority", (json_int_t)explanation->priority,
				  "objective_ms",
				  ms_json(explanation->objective_ms
						  ? (int64_t)explanation
							    ->objective_ms
						  : -1)));
	if (!explanation->n_candidates)
		return;
	json_object_set_new(root, "bucket", json_integer(explanation->bucket));
	json_object_set_new(root, "buckets",
			    json_integer(explanation->n_buckets));
	json_object_set_new(root, "candidates",
			    candidates_json(explanation, roster));
	json_object_set_new(
		root, "selected",
		json_string(member_name(roster, selected->member_id)));
	json_object_set_new(
		root, "why",
		json_string(syn_reason_text(explanation->target.reason)));
}

/* Fills @root; returns the HTTP status. */
static int explain(json_t *root, struct node *node, const char *to,
		   const char *from)
{
	struct explanation explanation;
	struct flow_key key = {0};
	struct failure failure;
	struct status status;
	const char *error;

	status_init(&status);
	if (node->settings->role != MEMBER_BALANCER)
		return finish_document(
			root, STATUS_INVALID, HTTP_NOT_FOUND,
			"this is an agent, and only balancers place "
			"connections; ask a balancer");
	error = parse_query(&key, to, from);
	if (error)
		return finish_document(root, STATUS_INVALID, HTTP_BAD_REQUEST,
				       error);
	json_object_set_new(root, "to", address_json(&key.dst, key.dst_port));
	json_object_set_new(root, "from", address_json(&key.src, key.src_port));
	json_object_set_new(root, "sample_source", json_boolean(!*from));
	if (explanation_slot_ask(&node->explanation_slot, &key, &explanation,
				 &status) != STATUS_OK)
		return finish_document(root, status.code,
				       HTTP_SERVICE_UNAVAILABLE,
				       status.message);
	pthread_mutex_lock(&node->lock);
	json_object_set_new(root, "knowledge",
			    knowledge_json(node, &explanation));
	add_decision(root, &explanation, &node->control.roster);
	pthread_mutex_unlock(&node->lock);
	failure = failure_of(explanation.result);
	return finish_document(root, failure.status, failure.http_code,
			       explanation_error_text(explanation.result));
}

json_t *admin_where_json(struct node *node, const char *to, const char *from,
			 int *http_code)
{
	json_t *root = json_pack("{s:s}", "name", node->settings->name.data);

	*http_code = explain(root, node, to, from);
	return root;
}
