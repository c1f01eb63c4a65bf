#include <glib.h>
#include <string.h>

#include "context.h"
#include "tarragonflow/control/anti_entropy.h"

/* Bytes of a datagram that are left to entries. */
#define FILL_BYTES_MAX (MESSAGE_BYTES_MAX - 200)
/* Entries are not worth a message of their own below this room, bytes. */
#define GOSSIP_ROOM_MIN 200
#define EXCHANGE_ROOM_MIN 600
#define PICK_TRIES 8
/* One in so many random peers may be of another region. */
#define BRIDGE_SHARE 8
#define MISSING_MAX (EXCHANGE_MEMBERS_MAX * 2)

/** Answers to a peer's sums. */
struct compare_edge {
	struct anti_entropy_out out;
	struct control_context *context;
	const struct endpoint *to;
};

void outbound_init(struct control_context *context, struct message *message,
		   enum message_kind kind, bool whole)
{
	memset(message, 0, sizeof(*message));
	message->kind = kind;
	message->from.member = context->control->options.self;
	message->from.brief = !whole;
	message->orders = context->control->orders;
}

void outbound_add(struct message *message, const struct member *member,
		  bool brief)
{
	struct message_entry *entry = &message->members[message->n_members++];

	entry->member = *member;
	entry->brief = brief;
}

void outbound_seal(struct control_context *context, const struct endpoint *to,
		   struct message *message, struct strbuf *wire)
{
	struct control *control = context->control;
	struct strbuf body;

	strbuf_init(&body);
	message->number = ++control->number;
	message->ages = platform_sync_ages(&control->platform, context->now_ms);
	message_encode(message, &body);
	auth_seal(&control->options.keys, to, strbuf_str(&body), wire);
	strbuf_finish(&body);
}

void outbound_send(struct control_context *context, const struct endpoint *to,
		   struct message *message)
{
	struct control *control = context->control;
	struct strbuf wire;

	if (endpoint_equal(to, &control->options.self.control))
		return;
	strbuf_init(&wire);
	outbound_seal(context, to, message, &wire);
	counter_inc(control->counters, COUNTER_CONTROL_OUT);
	counter_add(control->counters, COUNTER_CONTROL_BYTES_OUT, wire.len);
	byte_budget_take(&control->budget, wire.len);
	context->sink->send(context->sink, to, (const uint8_t *)wire.data,
			    wire.len);
	strbuf_finish(&wire);
}

static bool fill_zone(struct control_context *context, struct message *message,
		      const struct gossip_item *item, size_t *room)
{
	const struct zone_report *report =
		zone_monitor_report(&context->control->zones, &item->name);

	if (!report || message->n_zones == MESSAGE_ZONES_MAX ||
	    message_zone_bytes(report) > *room)
		return false;
	*room -= message_zone_bytes(report);
	message->zones[message->n_zones++] = *report;
	return true;
}

static bool fill_member(struct control_context *context,
			struct message *message, const struct gossip_item *item,
			size_t *room)
{
	const struct member *member =
		roster_find(&context->control->roster, &item->name);
	struct message_entry entry;

	if (!member || message->n_members == MESSAGE_MEMBERS_MAX)
		return false;
	entry.member = *member;
	entry.brief = !item->whole;
	if (message_entry_bytes(&entry) > *room)
		return false;
	*room -= message_entry_bytes(&entry);
	message->members[message->n_members++] = entry;
	return true;
}

/* Room that a CONFIG waits for; a large one goes into debt. */
static size_t config_bytes(const struct control *control)
{
	size_t bytes = config_store_datagram(&control->config).len;

	return MIN(bytes + GOSSIP_ROOM_MIN, (size_t)control->budget.burst);
}

/* Bytes for what may wait: the rest is kept for the configuration. */
static size_t room_for_chatter(const struct control *control)
{
	size_t room = byte_budget_room(&control->budget);
	size_t kept = MIN(config_bytes(control),
			  (size_t)control->budget.burst / 4 * 3);

	return !control->n_pulls && room > kept ? room - kept : 0;
}

void outbound_fill(struct control_context *context, struct message *message)
{
	struct control *control = context->control;
	struct gossip_queue *queue = &control->queue;
	size_t room = byte_budget_room(&control->budget);
	size_t chatter = room_for_chatter(control);

	if (!queue->n)
		return;
	room = MIN(room, FILL_BYTES_MAX);
	gossip_queue_sort(queue);
	for (size_t i = 0; i < queue->n; i++) {
		const struct gossip_item *item = &queue->items[i];
		bool added;

		if (item->class > GOSSIP_OWN)
			room = MIN(room, chatter);
		if (item->class == GOSSIP_ZONE)
			added = fill_zone(context, message, item, &room);
		else
			added = fill_member(context, message, item, &room);
		if (added)
			gossip_queue_sent(queue, i);
	}
	gossip_queue_prune(queue, control->roster.n);
}

void outbound_send_filled(struct control_context *context,
			  const struct endpoint *to, enum message_kind kind,
			  uint32_t nonce, const struct member *first)
{
	struct message message;

	outbound_init(context, &message, kind, false);
	message.nonce = nonce;
	if (first)
		outbound_add(&message, first, true);
	outbound_fill(context, &message);
	outbound_send(context, to, &message);
}

bool outbound_in_region(const struct control *control,
			const struct member *member)
{
	const struct manifest *manifest = &control->config.manifest;
	const struct zone *ours, *theirs;

	if (name_equal(&member->zone, &control->options.self.zone))
		return true;
	ours = manifest_zone(manifest, &control->options.self.zone);
	theirs = manifest_zone(manifest, &member->zone);
	return !ours || !theirs || name_equal(&ours->region, &theirs->region);
}

const struct member *outbound_pick(struct control_context *context)
{
	struct control *control = context->control;
	const struct roster *roster = &control->roster;
	bool bridge = !random_below(&control->random, BRIDGE_SHARE);

	for (int i = 0; i < PICK_TRIES; i++) {
		const struct member *member = &roster->members[random_below(
			&control->random, roster->n)];

		if (member->state != MEMBER_LEFT &&
		    !name_equal(&member->name, &control->options.self.name) &&
		    (bridge || outbound_in_region(control, member)))
			return member;
	}
	return NULL;
}

void outbound_gossip(struct control_context *context, int fanout)
{
	struct control *control = context->control;

	if (!gossip_queue_ready(&control->queue, room_for_chatter(control)
							 ? GOSSIP_REVISION
							 : GOSSIP_OWN))
		return;
	for (int i = 0; i < fanout && control->queue.n; i++) {
		const struct member *peer = outbound_pick(context);

		if (!peer)
			return;
		if (byte_budget_room(&control->budget) < GOSSIP_ROOM_MIN) {
			counter_inc(control->counters, COUNTER_CONTROL_DELAYED);
			return;
		}
		outbound_send_filled(context, &peer->control, MESSAGE_GOSSIP, 0,
				     NULL);
	}
}

static bool room_to_exchange(struct control *control)
{
	if (byte_budget_room(&control->budget) >= EXCHANGE_ROOM_MIN)
		return true;
	counter_inc(control->counters, COUNTER_CONTROL_DELAYED);
	return false;
}

void outbound_digest(struct control_context *context, const struct endpoint *to)
{
	struct control *control = context->control;
	struct message message;

	outbound_init(context, &message, MESSAGE_DIGEST,
		      control->roster.n == 1);
	digest_compute(&message.digest, &control->roster);
	outbound_send(context, to, &message);
}

static void send_digest(struct anti_entropy_out *out,
			const struct roster_digest *digest)
{
	struct compare_edge *edge = (struct compare_edge *)out;
	struct message message;

	if (!room_to_exchange(edge->context->control))
		return;
	outbound_init(edge->context, &message, MESSAGE_DIGEST, false);
	message.digest = *digest;
	outbound_send(edge->context, edge->to, &message);
}

static void send_exchange(struct anti_entropy_out *out,
			  const struct roster_digest *digest)
{
	struct compare_edge *edge = (struct compare_edge *)out;
	const struct member *members[EXCHANGE_MEMBERS_MAX];
	struct message message;
	size_t n;

	if (!room_to_exchange(edge->context->control))
		return;
	outbound_init(edge->context, &message, MESSAGE_EXCHANGE, false);
	message.digest = *digest;
	n = anti_entropy_part(&edge->context->control->roster, digest, members,
			      EXCHANGE_MEMBERS_MAX);
	for (size_t i = 0; i < n; i++)
		outbound_add(&message, members[i], false);
	outbound_send(edge->context, edge->to, &message);
}

void outbound_compare(struct control_context *context,
		      const struct endpoint *to,
		      const struct roster_digest *theirs)
{
	struct compare_edge edge = {
		.out = {send_digest, send_exchange},
		.context = context,
		.to = to,
	};

	anti_entropy_compare(&context->control->roster, theirs, &edge.out);
}

void outbound_missing(struct control_context *context,
		      const struct message *exchange)
{
	const struct member *members[MISSING_MAX];
	struct control *control = context->control;
	size_t start = random_below(&control->random, control->roster.n);
	size_t n = anti_entropy_missing(&control->roster, exchange, start,
					members, MISSING_MAX);
	struct message message;

	for (size_t i = 0; i < n;) {
		if (!room_to_exchange(control))
			return;
		/* An empty mask: the answer asks for nothing back. */
		outbound_init(context, &message, MESSAGE_EXCHANGE, false);
		while (i < n && message.n_members < EXCHANGE_MEMBERS_MAX)
			outbound_add(&message, members[i++], false);
		outbound_send(context, &exchange->from.member.control,
			      &message);
	}
}

void outbound_pull(struct control_context *context, const struct endpoint *to,
		   uint32_t nonce)
{
	struct message message;

	outbound_init(context, &message, MESSAGE_PULL, true);
	message.nonce = nonce;
	outbound_send(context, to, &message);
}

void outbound_pull_tcp(struct control_context *context,
		       const struct endpoint *to)
{
	struct message message;
	struct strbuf wire;

	strbuf_init(&wire);
	outbound_init(context, &message, MESSAGE_PULL, true);
	outbound_seal(context, to, &message, &wire);
	counter_add(context->control->counters, COUNTER_CONTROL_BYTES_OUT,
		    wire.len);
	context->sink->pull(context->sink, to, strbuf_str(&wire));
	strbuf_finish(&wire);
}

void outbound_want_config(struct control_context *context,
			  const struct endpoint *to)
{
	struct control *control = context->control;

	for (size_t i = 0; i < control->n_pulls; i++)
		if (endpoint_equal(&control->pulls[i], to))
			return;
	if (control->n_pulls < CONTROL_PULLS_MAX)
		control->pulls[control->n_pulls++] = *to;
	outbound_configs(context);
}

void outbound_forget_config(struct control_context *context,
			    const struct endpoint *to)
{
	struct control *control = context->control;

	for (size_t i = 0; i < control->n_pulls; i++) {
		if (!endpoint_equal(&control->pulls[i], to))
			continue;
		control->n_pulls--;
		memmove(control->pulls + i, control->pulls + i + 1,
			(control->n_pulls - i) * sizeof(*control->pulls));
		return;
	}
}

static bool room_for_config(const struct control *control)
{
	return byte_budget_room(&control->budget) >= config_bytes(control);
}

void outbound_configs(struct control_context *context)
{
	struct control *control = context->control;
	size_t done = 0;

	while (done < control->n_pulls && room_for_config(control)) {
		struct message message;

		outbound_init(context, &message, MESSAGE_CONFIG, true);
		message.manifest = config_store_datagram(&control->config);
		message.config_revision =
			config_store_release(&control->config);
		outbound_send(context, &control->pulls[done++], &message);
	}
	control->n_pulls -= done;
	memmove(control->pulls, control->pulls + done,
		control->n_pulls * sizeof(*control->pulls));
}
