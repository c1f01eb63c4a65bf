#include "tarragonflow/control/message.h"

#include <glib.h>
#include <string.h>

#include "proto/control.pb-c.h"

static void member_to_wire(const struct member *member, Control__Member *wire)
{
	control__member__init(wire);
	wire->name = (char *)member->name.data;
	wire->zone = (char *)member->zone.data;
	wire->service = (char *)member->service.data;
	wire->role = member->role;
	wire->state = member->state;
	wire->instance = member->instance;
	wire->sequence = member->sequence;
	wire->data_ip = member->data.ip;
	wire->data_port = member->data.port;
	wire->control_ip = member->control.ip;
	wire->control_port = member->control.port;
	wire->admin_ip = member->admin.ip;
	wire->admin_port = member->admin.port;
	wire->connections = member->connections;
	wire->slots = member->slots;
	wire->config_revision = member->config_revision;
}

static bool name_from_wire(struct name *name, const char *text, bool optional)
{
	if (optional && !*text) {
		memset(name, 0, sizeof(*name));
		return true;
	}
	return name_set(name, str_from(text));
}

static bool member_from_wire(struct member *member, const Control__Member *wire)
{
	bool agent = wire->role == MEMBER_AGENT;

	memset(member, 0, sizeof(*member));
	if (!name_from_wire(&member->name, wire->name, false) ||
	    !name_from_wire(&member->zone, wire->zone, false) ||
	    !name_from_wire(&member->service, wire->service, !agent))
		return false;
	if ((wire->role != MEMBER_BALANCER && !agent) ||
	    wire->state < MEMBER_ACTIVE || wire->state > MEMBER_LEFT ||
	    wire->data_port > UINT16_MAX || wire->control_port > UINT16_MAX ||
	    wire->admin_port > UINT16_MAX)
		return false;
	member->role = (enum member_role)wire->role;
	member->state = (enum member_state)wire->state;
	member->instance = wire->instance;
	member->sequence = wire->sequence;
	member->data.ip = wire->data_ip;
	member->data.port = (uint16_t)wire->data_port;
	member->control.ip = wire->control_ip;
	member->control.port = (uint16_t)wire->control_port;
	member->admin.ip = wire->admin_ip;
	member->admin.port = (uint16_t)wire->admin_port;
	member->connections = wire->connections;
	member->slots = wire->slots;
	member->config_revision = wire->config_revision;
	return true;
}

/* Zero on the wire stands for never. */
static uint32_t age_to_wire(uint32_t age_ms)
{
	return age_ms == PLATFORM_AGE_NEVER ? 0 : age_ms + 1;
}

static uint32_t age_from_wire(uint32_t wire)
{
	return wire ? wire - 1 : PLATFORM_AGE_NEVER;
}

void message_encode(const struct message *message, struct strbuf *out)
{
	Control__Message wire = CONTROL__MESSAGE__INIT;
	Control__Member members[MESSAGE_MEMBERS_MAX];
	Control__Member *pointers[MESSAGE_MEMBERS_MAX];
	Control__Config config = CONTROL__CONFIG__INIT;
	Control__Member from, target;
	uint8_t *packed;
	size_t len;

	wire.kind = (Control__Kind)message->kind;
	member_to_wire(&message->from, &from);
	wire.from = &from;
	for (size_t i = 0; i < message->n_members; i++) {
		member_to_wire(&message->members[i], &members[i]);
		pointers[i] = &members[i];
	}
	wire.n_members = message->n_members;
	wire.members = pointers;
	if (message->kind == MESSAGE_CONFIG) {
		config.revision = (uint64_t)message->config_revision;
		config.manifest.data = (uint8_t *)message->manifest.data;
		config.manifest.len = message->manifest.len;
		wire.config = &config;
	}
	wire.nonce = message->nonce;
	wire.platform_any_age = age_to_wire(message->ages.any_ms);
	wire.platform_watcher_age = age_to_wire(message->ages.watcher_ms);
	if (message->has_target) {
		member_to_wire(&message->target, &target);
		wire.target = &target;
	}
	len = control__message__get_packed_size(&wire);
	packed = g_malloc(len);
	control__message__pack(&wire, packed);
	strbuf_add(out, packed, len);
	g_free(packed);
}

static bool config_from_wire(struct message *message,
			     const Control__Config *wire,
			     struct strbuf *storage)
{
	if (!wire)
		return message->kind != MESSAGE_CONFIG;
	if (wire->revision > INT64_MAX)
		return false;
	strbuf_reset(storage);
	strbuf_add(storage, wire->manifest.data, wire->manifest.len);
	message->config_revision = (int64_t)wire->revision;
	message->manifest = strbuf_str(storage);
	return true;
}

static bool message_from_wire(struct message *message,
			      const Control__Message *wire,
			      struct strbuf *storage)
{
	if (wire->kind < CONTROL__KIND__KIND_GOSSIP ||
	    wire->kind > CONTROL__KIND__KIND_PING_REQUEST || !wire->from ||
	    wire->n_members > MESSAGE_MEMBERS_MAX)
		return false;
	message->kind = (enum message_kind)wire->kind;
	if (!member_from_wire(&message->from, wire->from))
		return false;
	for (size_t i = 0; i < wire->n_members; i++)
		if (!member_from_wire(&message->members[i], wire->members[i]))
			return false;
	message->n_members = wire->n_members;
	message->nonce = wire->nonce;
	message->ages.any_ms = age_from_wire(wire->platform_any_age);
	message->ages.watcher_ms = age_from_wire(wire->platform_watcher_age);
	if (wire->target) {
		message->has_target = true;
		if (!member_from_wire(&message->target, wire->target))
			return false;
	} else if (message->kind == MESSAGE_PING_REQUEST) {
		return false;
	}
	return config_from_wire(message, wire->config, storage);
}

bool message_decode(struct message *message, const uint8_t *data, size_t len,
		    struct strbuf *storage)
{
	Control__Message *wire = control__message__unpack(NULL, len, data);
	bool good;

	memset(message, 0, sizeof(*message));
	if (!wire)
		return false;
	good = message_from_wire(message, wire, storage);
	control__message__free_unpacked(wire, NULL);
	return good;
}
