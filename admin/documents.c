#include <stdio.h>
#include <string.h>

#include "tarragonflow/admin/admin.h"

#define REASON_MAX_BYTES 256

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

static json_t *members_json(const struct roster *roster)
{
	json_t *members = json_array();

	for (size_t i = 0; i < roster->n; i++)
		json_array_append_new(members,
				      member_json(&roster->members[i]));
	return members;
}

static json_t *zones_json(const struct manifest *manifest)
{
	json_t *zones = json_array();

	for (size_t i = 0; i < manifest->n_zones; i++)
		json_array_append_new(
			zones, json_pack("{s:s,s:s}", "name",
					 manifest->zones[i].name.data, "state",
					 manifest->zones[i].state ==
							 ZONE_OUT_OF_SERVICE
						 ? "out"
						 : "in"));
	return zones;
}

static unsigned int count_members(const struct roster *roster,
				  const struct name *service,
				  enum member_state state)
{
	unsigned int n = 0;

	for (size_t i = 0; i < roster->n; i++)
		n += roster->members[i].state == state &&
		     name_equal(&roster->members[i].service, service);
	return n;
}

static json_t *services_json(const struct manifest *manifest,
			     const struct roster *roster)
{
	json_t *services = json_array();
	char address[IP_ADDR_TEXT_MAX];

	for (size_t i = 0; i < manifest->n_services; i++) {
		const struct service *service = &manifest->services[i];

		json_array_append_new(
			services,
			json_pack("{s:s,s:s,s:I,s:i,s:i,s:i}", "name",
				  service->name.data, "address",
				  ip_addr_format(&service->address, address),
				  "port", (json_int_t)service->port, "active",
				  count_members(roster, &service->name,
						MEMBER_ACTIVE),
				  "draining",
				  count_members(roster, &service->name,
						MEMBER_DRAINING),
				  "suspect",
				  count_members(roster, &service->name,
						MEMBER_SUSPECT)));
	}
	return services;
}

/* Names of the members that have not reported @release or a newer one. */
static json_t *lagging_json(const struct roster *roster, int64_t release)
{
	json_t *names = json_array();

	for (size_t i = 0; i < roster->n; i++) {
		const struct member *member = &roster->members[i];

		if (member->state != MEMBER_LEFT &&
		    (int64_t)member->config_revision < release)
			json_array_append_new(names,
					      json_string(member->name.data));
	}
	return names;
}

json_t *admin_status_json(struct node *node)
{
	json_t *root;

	pthread_mutex_lock(&node->lock);
	root = json_pack(
		"{s:s,s:s,s:I,s:I,s:o}", "name", node->settings->name.data,
		"deployment", node->settings->deployment.data, "release",
		(json_int_t)node->control.config.manifest.release,
		"connections", (json_int_t)atomic_load(&node->open_connections),
		"members", members_json(&node->control.roster));
	pthread_mutex_unlock(&node->lock);
	return root;
}

json_t *admin_overview_json(struct node *node)
{
	const struct manifest *manifest = &node->control.config.manifest;
	json_t *root = admin_status_json(node);

	pthread_mutex_lock(&node->lock);
	json_object_set_new(root, "zones", zones_json(manifest));
	json_object_set_new(root, "services",
			    services_json(manifest, &node->control.roster));
	json_object_set_new(
		root, "lagging",
		lagging_json(&node->control.roster, manifest->release));
	pthread_mutex_unlock(&node->lock);
	json_object_set_new(
		root, "limits",
		json_pack("{s:I,s:I}", "connections_now",
			  (json_int_t)atomic_load(&node->connection_limit),
			  "connections_max",
			  (json_int_t)node->settings->connections));
	return root;
}

bool admin_parse_address(const char *text, struct ip_addr *addr, uint16_t *port)
{
	const char *colon = strrchr(text, ':');
	char host[IP_ADDR_TEXT_MAX];
	size_t bracketed = *text == '[';
	unsigned int number;
	size_t len;
	char trailing;

	if (!colon || sscanf(colon + 1, "%5u%c", &number, &trailing) != 1 ||
	    !number || number > UINT16_MAX)
		return false;
	len = (size_t)(colon - text);
	if (len < 2 * bracketed + 1 || (bracketed && text[len - 1] != ']'))
		return false;
	len -= 2 * bracketed;
	if (len >= sizeof(host))
		return false;
	memcpy(host, text + bracketed, len);
	host[len] = '\0';
	*port = (uint16_t)number;
	return ip_addr_parse(addr, host);
}

static json_t *candidate_json(const struct roster *roster,
			      const struct candidate *candidate)
{
	bool accepts_new = candidate->flags & CANDIDATE_TAKES_NEW;
	const struct member *member = NULL;

	for (size_t i = 0; i < roster->n && !member; i++)
		if (member_id(&roster->members[i].name) == candidate->member_id)
			member = &roster->members[i];
	return json_pack("{s:s,s:s,s:s,s:b}", "name",
			 member ? member->name.data : "unknown", "zone",
			 member ? member->zone.data : "", "state",
			 member ? member_state_name(member->state) : "",
			 "takes_new", accepts_new);
}

static json_t *chain_json(const struct view *view,
			  const struct service_view *service,
			  const struct roster *roster,
			  const struct flow_key *key)
{
	json_t *chain = json_array();
	struct packet_header header;
	char reason[REASON_MAX_BYTES];
	uint32_t bucket = view_bucket_of(view, service, key);

	view_fill_chain(service, bucket, &header);
	for (int i = 0; i < header.n_candidates; i++)
		json_array_append_new(
			chain, candidate_json(roster, &header.candidates[i]));
	snprintf(reason, sizeof(reason),
		 "the hash of the 5-tuple picks bucket %u of %u; its chain is "
		 "the servers in rendezvous hash order; a new connection goes "
		 "to the first that accepts new ones, an existing one to the "
		 "server that owns it",
		 bucket, service->n_buckets);
	return json_pack("{s:s,s:i,s:s,s:o}", "service",
			 service->service.name.data, "bucket", (int)bucket,
			 "why", reason, "chain", chain);
}

json_t *admin_chain_json(struct node *node, const struct flow_key *key)
{
	const struct service_view *service;
	struct view view;
	json_t *root;

	pthread_mutex_lock(&node->lock);
	if (!node->control.config.manifest.release) {
		pthread_mutex_unlock(&node->lock);
		return json_pack("{s:n,s:s}", "service", "why",
				 "no configuration");
	}
	view_init(&view, &node->control.config.manifest, &node->control.roster);
	service = view_lookup_service(&view, key);
	if (!service)
		root = json_pack("{s:n,s:s}", "service", "why",
				 "no service has this address and port");
	else if (!service->n_members)
		root = json_pack("{s:s,s:s}", "service",
				 service->service.name.data, "why",
				 "the service has no backend server");
	else
		root = chain_json(&view, service, &node->control.roster, key);
	pthread_mutex_unlock(&node->lock);
	view_finish(&view);
	return root;
}
