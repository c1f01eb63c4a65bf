#include "tarragonflow/control/roster_shard.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

unsigned int roster_shard_of(const struct name *name)
{
	return (unsigned int)(XXH3_64bits(name->data, name->len) %
			      ROSTER_SHARDS);
}

void roster_shard_key(char *key, const struct name *deployment,
		      unsigned int shard)
{
	snprintf(key, STORE_KEY_MAX, "tarragonflow/%s/roster/%02x",
		 deployment->data, shard);
}

void roster_shard_prefix(char *key, const struct name *deployment)
{
	snprintf(key, STORE_KEY_MAX, "tarragonflow/%s/roster/",
		 deployment->data);
}

void roster_shard_page_prefix(char *key, const struct name *deployment,
			      unsigned int page)
{
	snprintf(key, STORE_KEY_MAX, "tarragonflow/%s/roster/%x",
		 deployment->data, page);
}

static bool parse_name(const json_t *item, const char *key, struct name *name,
		       bool optional)
{
	const json_t *value = json_object_get(item, key);
	struct str text = {json_string_value(value), json_string_length(value)};

	if (optional && !text.len)
		return true;
	return text.data && name_set(name, text);
}

static bool parse_endpoint(const json_t *item, const char *key,
			   struct endpoint *endpoint)
{
	const char *text = json_string_value(json_object_get(item, key));

	return text && endpoint_parse(endpoint, text);
}

static uint64_t parse_number(const json_t *item, const char *key)
{
	json_int_t value = json_integer_value(json_object_get(item, key));

	return value > 0 ? (uint64_t)value : 0;
}

static bool parse_member(const json_t *item, struct member *member)
{
	uint64_t role = parse_number(item, "role");
	uint64_t state = parse_number(item, "state");

	memset(member, 0, sizeof(*member));
	if ((role != MEMBER_BALANCER && role != MEMBER_AGENT) ||
	    state < MEMBER_ACTIVE || state > MEMBER_LEFT)
		return false;
	member->role = (enum member_role)role;
	member->state = (enum member_state)state;
	member->instance = parse_number(item, "instance");
	member->sequence = parse_number(item, "sequence");
	member->connections = (uint32_t)parse_number(item, "connections");
	member->slots = (uint32_t)parse_number(item, "slots");
	return parse_name(item, "name", &member->name, false) &&
	       parse_name(item, "zone", &member->zone, false) &&
	       parse_name(item, "service", &member->service,
			  role == MEMBER_BALANCER) &&
	       parse_endpoint(item, "data", &member->data) &&
	       parse_endpoint(item, "control", &member->control) &&
	       parse_endpoint(item, "admin", &member->admin);
}

bool roster_shard_parse(struct str text, struct roster *out)
{
	json_error_t error;
	json_t *root = json_loadb(text.data, text.len, 0, &error);
	const json_t *members = json_object_get(root, "members");
	bool valid = json_is_array(members);
	struct member member;
	const json_t *item;
	size_t i;

	json_array_foreach(members, i, item)
	{
		valid = valid && parse_member(item, &member);
		if (!valid)
			break;
		roster_merge(out, &member, 0);
	}
	json_decref(root);
	return valid;
}

static json_t *format_member(const struct member *member)
{
	char data[ENDPOINT_TEXT_MAX], control[ENDPOINT_TEXT_MAX];
	char admin[ENDPOINT_TEXT_MAX];

	return json_pack("{s:s,s:s,s:s,s:i,s:i,s:I,s:I,s:I,s:I,s:s,s:s,s:s}",
			 "name", member->name.data, "zone", member->zone.data,
			 "service", member->service.data, "role", member->role,
			 "state", member->state, "instance",
			 (json_int_t)member->instance, "sequence",
			 (json_int_t)member->sequence, "connections",
			 (json_int_t)member->connections, "slots",
			 (json_int_t)member->slots, "data",
			 endpoint_format(&member->data, data), "control",
			 endpoint_format(&member->control, control), "admin",
			 endpoint_format(&member->admin, admin));
}

void roster_shard_format(const struct roster *roster, struct strbuf *out)
{
	json_t *members = json_array();
	json_t *root = json_pack("{s:o}", "members", members);
	char *text;

	for (size_t i = 0; i < roster->n; i++)
		json_array_append_new(members,
				      format_member(&roster->members[i]));
	text = json_dumps(root, JSON_COMPACT);
	strbuf_add(out, text, strlen(text));
	free(text);
	json_decref(root);
}

struct member roster_shard_entry(const struct member *member)
{
	struct member entry = *member;

	if (entry.state == MEMBER_SUSPECT)
		entry.state = MEMBER_ACTIVE;
	return entry;
}

uint64_t roster_shard_digest(const struct member *member)
{
	const struct member entry = roster_shard_entry(member);
	const uint64_t fields[] = {
		entry.instance,	   (uint64_t)entry.state, entry.data.ip,
		entry.data.port,   entry.control.ip,	  entry.control.port,
		entry.connections, entry.slots,
	};

	return XXH3_64bits_withSeed(
		fields, sizeof(fields),
		XXH3_64bits(entry.name.data, entry.name.len));
}
