#include "tarragonflow/control/message.h"

#include <glib.h>
#include <string.h>

#include "proto/control.pb-c.h"

/* Size of the field number and length before an embedded message. */
#define EMBEDDED_HEADER_BYTES 2

static void member_to_wire(const struct member *member, bool brief,
			   Control__Member *wire)
{
	control__member__init(wire);
	wire->name = (char *)member->name.data;
	wire->state = member->state;
	wire->instance = member->instance;
	wire->sequence = member->sequence;
	wire->config_revision = member->config_revision;
	if (brief)
		return;
	wire->zone = (char *)member->zone.data;
	wire->service = (char *)member->service.data;
	wire->role = member->role;
	wire->data_ip = member->data.ip;
	wire->data_port = member->data.port;
	wire->control_ip = member->control.ip;
	wire->control_port = member->control.port;
	wire->admin_ip = member->admin.ip;
	wire->admin_port = member->admin.port;
	wire->connections = member->connections;
	wire->slots = member->slots;
}

/* The sender's control address is always included: responses need it. */
static void sender_to_wire(const struct message_entry *from,
			   Control__Member *wire)
{
	member_to_wire(&from->member, from->brief, wire);
	wire->control_ip = from->member.control.ip;
	wire->control_port = from->member.control.port;
}

size_t message_entry_bytes(const struct message_entry *entry)
{
	Control__Member wire;

	member_to_wire(&entry->member, entry->brief, &wire);
	return control__member__get_packed_size(&wire) + EMBEDDED_HEADER_BYTES;
}

static void zone_to_wire(const struct zone_report *report,
			 Control__ZoneReport *wire)
{
	control__zone_report__init(wire);
	wire->zone = (char *)report->zone.data;
	wire->id = report->id;
	wire->state = report->state;
}

size_t message_zone_bytes(const struct zone_report *report)
{
	Control__ZoneReport wire;

	zone_to_wire(report, &wire);
	return control__zone_report__get_packed_size(&wire) +
	       EMBEDDED_HEADER_BYTES;
}

static bool name_from_wire(struct name *name, const char *text, bool optional)
{
	if (optional && !*text) {
		memset(name, 0, sizeof(*name));
		return true;
	}
	return name_set(name, str_from(text));
}

static bool are_ports_valid(const Control__Member *wire)
{
	return wire->data_port <= UINT16_MAX &&
	       wire->control_port <= UINT16_MAX &&
	       wire->admin_port <= UINT16_MAX;
}

/* Reads an entry. Returns the name of the first invalid field, or NULL. */
static const char *member_from_wire(struct member *member, bool *brief,
				    const Control__Member *wire)
{
	bool agent = wire->role == MEMBER_AGENT;

	memset(member, 0, sizeof(*member));
	*brief = !*wire->zone;
	if (!name_from_wire(&member->name, wire->name, false))
		return "name";
	if (!name_from_wire(&member->zone, wire->zone, *brief))
		return "zone";
	if (!name_from_wire(&member->service, wire->service, !agent))
		return "service";
	if (!*brief && wire->role != MEMBER_BALANCER && !agent)
		return "role";
	if (wire->state < MEMBER_ACTIVE || wire->state > MEMBER_LEFT)
		return "state";
	if (!are_ports_valid(wire))
		return "port";
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
	return member_excessive_field(member);
}

/* On the wire 0 means never, and other ages are incremented by one. */
static uint32_t age_to_wire(uint32_t age_ms)
{
	return age_ms == STORE_AGE_NEVER ? 0 : age_ms + 1;
}

static uint32_t age_from_wire(uint32_t wire_age)
{
	return wire_age ? wire_age - 1 : STORE_AGE_NEVER;
}

/* The embedded messages of one wire message; must live until it is packed. */
struct wire_parts {
	Control__Member from, target;
	Control__Member members[MESSAGE_MEMBERS_MAX];
	Control__Member *member_pointers[MESSAGE_MEMBERS_MAX];
	Control__ZoneReport zones[MESSAGE_ZONES_MAX];
	Control__ZoneReport *zone_pointers[MESSAGE_ZONES_MAX];
	Control__ZoneOrder orders[ZONE_ORDERS_MAX];
	Control__ZoneOrder *order_pointers[ZONE_ORDERS_MAX];
	Control__Config config;
	Control__Digest digest;
};

static void config_to_wire(const struct message *message,
			   Control__Message *wire, struct wire_parts *parts)
{
	if (message->kind != MESSAGE_CONFIG)
		return;
	control__config__init(&parts->config);
	parts->config.revision = (uint64_t)message->config_revision;
	parts->config.manifest.data = (uint8_t *)message->manifest.data;
	parts->config.manifest.len = message->manifest.len;
	wire->config = &parts->config;
}

static void digest_to_wire(const struct message *message,
			   Control__Message *wire, struct wire_parts *parts)
{
	if (message->kind != MESSAGE_DIGEST &&
	    message->kind != MESSAGE_EXCHANGE)
		return;
	control__digest__init(&parts->digest);
	parts->digest.depth = message->digest.depth;
	parts->digest.prefix = message->digest.prefix;
	parts->digest.mask = message->digest.mask;
	if (message->kind == MESSAGE_DIGEST) {
		parts->digest.n_sums = DIGEST_FANOUT;
		parts->digest.sums = (uint32_t *)message->digest.checksums;
	}
	wire->digest = &parts->digest;
}

static void orders_to_wire(const struct zone_orders *orders,
			   Control__Message *wire, struct wire_parts *parts)
{
	for (size_t i = 0; i < orders->n; i++) {
		Control__ZoneOrder *order = &parts->orders[i];

		control__zone_order__init(order);
		order->zone = (char *)orders->entries[i].zone.data;
		order->epoch = orders->entries[i].epoch;
		order->version = orders->entries[i].version;
		order->out = orders->entries[i].out;
		parts->order_pointers[i] = order;
	}
	wire->n_zone_orders = orders->n;
	wire->zone_orders = parts->order_pointers;
}

static void message_to_wire(const struct message *message,
			    Control__Message *wire, struct wire_parts *parts)
{
	wire->kind = (Control__Kind)message->kind;
	wire->number = message->number;
	wire->nonce = message->nonce;
	wire->former_release = message->previous_release;
	wire->store_epoch = message->store_epoch;
	wire->platform_any_age =
		age_to_wire(message->contact_ages.any_process_ms);
	wire->platform_watcher_age =
		age_to_wire(message->contact_ages.watcher_ms);
	wire->platform_restore_age =
		age_to_wire(message->contact_ages.restore_ms);
	sender_to_wire(&message->from, &parts->from);
	wire->from = &parts->from;
	for (size_t i = 0; i < message->n_members; i++) {
		member_to_wire(&message->members[i].member,
			       message->members[i].brief, &parts->members[i]);
		parts->member_pointers[i] = &parts->members[i];
	}
	wire->n_members = message->n_members;
	wire->members = parts->member_pointers;
	for (size_t i = 0; i < message->n_zones; i++) {
		zone_to_wire(&message->zones[i], &parts->zones[i]);
		parts->zone_pointers[i] = &parts->zones[i];
	}
	wire->n_zones = message->n_zones;
	wire->zones = parts->zone_pointers;
	if (message->kind == MESSAGE_PING_REQUEST) {
		member_to_wire(&message->target, true, &parts->target);
		wire->target = &parts->target;
	}
	orders_to_wire(&message->zone_orders, wire, parts);
	config_to_wire(message, wire, parts);
	digest_to_wire(message, wire, parts);
}

void message_encode(const struct message *message, struct strbuf *out)
{
	Control__Message wire = CONTROL__MESSAGE__INIT;
	struct wire_parts parts;
	uint8_t *packed;
	size_t len;

	message_to_wire(message, &wire, &parts);
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

static bool digest_from_wire(struct message *message,
			     const Control__Digest *wire)
{
	bool has_checksums = message->kind == MESSAGE_DIGEST;

	if (!wire)
		return !has_checksums && message->kind != MESSAGE_EXCHANGE;
	if (wire->depth >= DIGEST_DEPTH_MAX ||
	    wire->n_sums != (has_checksums ? DIGEST_FANOUT : 0))
		return false;
	message->digest.depth = wire->depth;
	message->digest.prefix = wire->prefix;
	message->digest.mask = wire->mask;
	if (has_checksums)
		memcpy(message->digest.checksums, wire->sums,
		       sizeof(message->digest.checksums));
	return true;
}

static bool target_from_wire(struct message *message,
			     const Control__Member *wire)
{
	bool brief;

	if (!wire)
		return message->kind != MESSAGE_PING_REQUEST;
	return !member_from_wire(&message->target, &brief, wire);
}

/* Records that an entry, report or order of @message is not valid. */
static void record_skipped(struct message *message, const char *invalid_field)
{
	message->n_skipped++;
	message->skipped_field = invalid_field;
}

static bool members_from_wire(struct message *message,
			      const Control__Message *wire)
{
	if (wire->n_members > MESSAGE_MEMBERS_MAX)
		return false;
	for (size_t i = 0; i < wire->n_members; i++) {
		struct message_entry *entry =
			&message->members[message->n_members];
		const char *invalid_field = member_from_wire(
			&entry->member, &entry->brief, wire->members[i]);

		if (invalid_field)
			record_skipped(message, invalid_field);
		else
			message->n_members++;
	}
	return true;
}

static const char *zone_from_wire(struct zone_report *report,
				  const Control__ZoneReport *wire)
{
	if (!name_from_wire(&report->zone, wire->zone, false))
		return "zones.zone";
	if (wire->state < MEMBER_ACTIVE || wire->state > MEMBER_LEFT)
		return "zones.state";
	if (wire->id > ZONE_REPORT_ID_MAX)
		return "zones.id";
	report->id = wire->id;
	report->state = (enum member_state)wire->state;
	return NULL;
}

static bool zones_from_wire(struct message *message,
			    const Control__Message *wire)
{
	if (wire->n_zones > MESSAGE_ZONES_MAX)
		return false;
	for (size_t i = 0; i < wire->n_zones; i++) {
		const char *invalid_field = zone_from_wire(
			&message->zones[message->n_zones], wire->zones[i]);

		if (invalid_field)
			record_skipped(message, invalid_field);
		else
			message->n_zones++;
	}
	return true;
}

static const char *order_from_wire(struct zone_order *order,
				   const Control__ZoneOrder *wire)
{
	if (!name_from_wire(&order->zone, wire->zone, false))
		return "zone_orders.zone";
	/* Versions of the store are signed. */
	if (wire->version > INT64_MAX)
		return "zone_orders.version";
	order->epoch = wire->epoch;
	order->version = wire->version;
	order->out = wire->out;
	return NULL;
}

static bool orders_from_wire(struct message *message,
			     const Control__Message *wire)
{
	if (wire->n_zone_orders > ZONE_ORDERS_MAX)
		return false;
	for (size_t i = 0; i < wire->n_zone_orders; i++) {
		struct zone_order order = {0};
		const char *invalid_field =
			order_from_wire(&order, wire->zone_orders[i]);

		if (invalid_field)
			record_skipped(message, invalid_field);
		else
			zone_orders_merge(&message->zone_orders, &order);
	}
	return true;
}

static bool message_from_wire(struct message *message,
			      const Control__Message *wire,
			      struct strbuf *storage)
{
	if (wire->kind < CONTROL__KIND__KIND_GOSSIP ||
	    wire->kind > CONTROL__KIND__KIND_EXCHANGE || !wire->from)
		return false;
	message->kind = (enum message_kind)wire->kind;
	message->number = wire->number;
	message->nonce = wire->nonce;
	message->previous_release = wire->former_release;
	message->store_epoch = wire->store_epoch;
	message->contact_ages.any_process_ms =
		age_from_wire(wire->platform_any_age);
	message->contact_ages.watcher_ms =
		age_from_wire(wire->platform_watcher_age);
	message->contact_ages.restore_ms =
		age_from_wire(wire->platform_restore_age);
	return !member_from_wire(&message->from.member, &message->from.brief,
				 wire->from) &&
	       members_from_wire(message, wire) &&
	       zones_from_wire(message, wire) &&
	       orders_from_wire(message, wire) &&
	       target_from_wire(message, wire->target) &&
	       digest_from_wire(message, wire->digest) &&
	       config_from_wire(message, wire->config, storage);
}

bool message_decode(struct message *message, const uint8_t *data, size_t len,
		    struct strbuf *storage)
{
	Control__Message *wire = control__message__unpack(NULL, len, data);
	bool valid;

	memset(message, 0, sizeof(*message));
	if (!wire)
		return false;
	valid = message_from_wire(message, wire, storage);
	control__message__free_unpacked(wire, NULL);
	return valid;
}
