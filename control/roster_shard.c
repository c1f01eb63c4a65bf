#include "tarragonflow/control/roster_shard.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "tarragonflow/common/json_scan.h"
#include "tarragonflow/common/log.h"

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

static bool parse_number(const json_t *item, const char *key, uint64_t min,
			 uint64_t max, uint64_t *number)
{
	const json_t *value = json_object_get(item, key);
	json_int_t integer = json_integer_value(value);

	*number = (uint64_t)integer;
	return json_is_integer(value) && integer >= 0 && *number >= min &&
	       *number <= max;
}

/* Parses an entry. Returns the name of the first invalid field, or NULL. */
static const char *parse_member(const json_t *item, struct member *member)
{
	uint64_t role, state, connections, slots;

	memset(member, 0, sizeof(*member));
	if (!parse_name(item, "name", &member->name, false))
		return "name";
	if (!parse_number(item, "role", MEMBER_BALANCER, MEMBER_AGENT, &role))
		return "role";
	if (!parse_number(item, "state", MEMBER_ACTIVE, MEMBER_LEFT, &state))
		return "state";
	if (!parse_number(item, "instance", 0, MEMBER_INSTANCE_MAX,
			  &member->instance))
		return "instance";
	if (!parse_number(item, "sequence", 0, MEMBER_SEQUENCE_MAX,
			  &member->sequence))
		return "sequence";
	if (!parse_number(item, "connections", 0, MEMBER_CONNECTIONS_MAX,
			  &connections))
		return "connections";
	if (!parse_number(item, "slots", 0, MEMBER_SLOTS_MAX, &slots))
		return "slots";
	if (!parse_name(item, "zone", &member->zone, false))
		return "zone";
	if (!parse_name(item, "service", &member->service,
			role == MEMBER_BALANCER))
		return "service";
	if (!parse_endpoint(item, "data", &member->data))
		return "data";
	if (!parse_endpoint(item, "control", &member->control))
		return "control";
	if (!parse_endpoint(item, "admin", &member->admin))
		return "admin";
	member->role = (enum member_role)role;
	member->state = (enum member_state)state;
	member->connections = (uint32_t)connections;
	member->slots = (uint32_t)slots;
	return NULL;
}

/* Parses the entry @text; logs what is wrong when it returns false. */
static bool read_entry(struct str text, struct member *member)
{
	struct status status;
	json_t *item = json_scan_parse(text, &status);
	const char *invalid_field;

	if (!item) {
		log_event(LOG_LEVEL_WARN, "member-entry-skipped",
			  "reason=\"%s\"", status.message);
		return false;
	}
	invalid_field = parse_member(item, member);
	if (invalid_field)
		log_event(LOG_LEVEL_WARN, "member-entry-skipped",
			  "name=\"%s\" field=%s", member->name.data,
			  invalid_field);
	json_decref(item);
	return !invalid_field;
}

bool roster_shard_parse(struct str text, struct roster *out)
{
	struct json_part members = {.name = "members"};
	struct json_array entries;
	struct member member;
	struct str entry;
	bool valid = true;

	if (!json_scan_object(text, &members, 1) ||
	    !json_array_scan(&entries, members.value)) {
		log_event(LOG_LEVEL_WARN, "roster-shard-unreadable",
			  "bytes=%zu", text.len);
		return false;
	}
	while (json_array_next(&entries, &entry)) {
		if (read_entry(entry, &member))
			roster_merge(out, &member, 0);
		else
			valid = false;
	}
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
