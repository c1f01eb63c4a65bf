#include <glib.h>
#include <string.h>

#include "context.h"
#include "tarragonflow/control/anti_entropy.h"

/* Bytes of a datagram for roster entries and zone reports; 200 remain for the
 * other fields. */
#define GOSSIP_BYTES_MAX (MESSAGE_BYTES_MAX - 200)
/* Least available byte budget for sending gossip or anti-entropy messages. */
#define GOSSIP_BYTES_MIN 200
#define ANTI_ENTROPY_BYTES_MIN 600
#define PEER_PICK_ATTEMPTS 8
/* One in this many peer picks may select another region. */
#define CROSS_REGION_SHARE 8
#define EXCHANGE_RESPONSE_MEMBERS_MAX (EXCHANGE_MEMBERS_MAX * 2)

/** Callbacks that send the response to a peer's digest. */
struct digest_response {
	struct anti_entropy_callbacks callbacks;
	struct control_context *context;
	const struct endpoint *to;
};

void outbound_init_message(struct control_context *context,
			   struct message *message, enum message_kind kind,
			   bool full_entry)
{
	memset(message, 0, sizeof(*message));
	message->kind = kind;
	message->from.member = context->control->options.self;
	message->from.brief = !full_entry;
	message->store_epoch =
		platform_sync_newest_epoch(&context->control->platform);
	message->zone_orders = context->control->zone_orders;
}

void outbound_add_entry(struct message *message, const struct member *member,
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
	message->number = ++control->last_message_number;
	message->contact_ages =
		platform_sync_contact_ages(&control->platform, context->now_ms);
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
	counter_inc(control->counters, COUNTER_CONTROL_SENT);
	counter_add(control->counters, COUNTER_CONTROL_BYTES_SENT, wire.len);
	byte_budget_charge(&control->byte_budget, wire.len);
	context->sink->send(context->sink, to, (const uint8_t *)wire.data,
			    wire.len);
	strbuf_finish(&wire);
}

static bool add_zone_report(struct control_context *context,
			    struct message *message,
			    const struct gossip_item *item, size_t *bytes_left)
{
	const struct zone_report *report = zone_monitor_report(
		&context->control->zone_monitor, &item->name);

	if (!report || message->n_zones == MESSAGE_ZONES_MAX ||
	    message_zone_bytes(report) > *bytes_left)
		return false;
	*bytes_left -= message_zone_bytes(report);
	message->zones[message->n_zones++] = *report;
	return true;
}

static bool add_member(struct control_context *context, struct message *message,
		       const struct gossip_item *item, size_t *bytes_left)
{
	const struct member *member =
		roster_find(&context->control->roster, &item->name);
	struct message_entry entry;

	if (!member || message->n_members == MESSAGE_MEMBERS_MAX)
		return false;
	entry.member = *member;
	entry.brief = !item->full_entry;
	if (message_entry_bytes(&entry) > *bytes_left)
		return false;
	*bytes_left -= message_entry_bytes(&entry);
	message->members[message->n_members++] = entry;
	return true;
}

/* Byte budget required to send a CONFIG message; at most the burst. */
static size_t config_bytes_needed(const struct control *control)
{
	size_t bytes = config_store_datagram_text(&control->config).len;

	return MIN(bytes + GOSSIP_BYTES_MIN,
		   (size_t)control->byte_budget.burst);
}

/* Byte budget for deferrable gossip; some is reserved for configurations. */
static size_t deferrable_bytes_available(const struct control *control)
{
	size_t bytes_left = byte_budget_available(&control->byte_budget);
	size_t reserved = MIN(config_bytes_needed(control),
			      (size_t)control->byte_budget.burst / 4 * 3);

	return !control->n_config_recipients && bytes_left > reserved
		       ? bytes_left - reserved
		       : 0;
}

void outbound_add_gossip(struct control_context *context,
			 struct message *message)
{
	struct control *control = context->control;
	struct gossip_queue *queue = &control->gossip_queue;
	size_t bytes_left = byte_budget_available(&control->byte_budget);
	size_t deferrable_bytes = deferrable_bytes_available(control);

	if (!queue->n)
		return;
	bytes_left = MIN(bytes_left, GOSSIP_BYTES_MAX);
	gossip_queue_sort(queue);
	for (size_t i = 0; i < queue->n; i++) {
		const struct gossip_item *item = &queue->items[i];
		bool added;

		if (item->priority > GOSSIP_SELF)
			bytes_left = MIN(bytes_left, deferrable_bytes);
		if (item->priority == GOSSIP_ZONE)
			added = add_zone_report(context, message, item,
						&bytes_left);
		else
			added = add_member(context, message, item, &bytes_left);
		if (added)
			gossip_queue_count_send(queue, i);
	}
	gossip_queue_prune(queue, control->roster.n);
}

void outbound_send_with_gossip(struct control_context *context,
			       const struct endpoint *to,
			       enum message_kind kind, uint32_t nonce,
			       const struct member *first_entry)
{
	struct message message;

	outbound_init_message(context, &message, kind, false);
	message.nonce = nonce;
	if (first_entry)
		outbound_add_entry(&message, first_entry, true);
	outbound_add_gossip(context, &message);
	outbound_send(context, to, &message);
}

bool outbound_is_same_region(const struct control *control,
			     const struct member *member)
{
	const struct manifest *manifest = &control->config.manifest;
	const struct zone *local, *remote;

	if (name_equal(&member->zone, &control->options.self.zone))
		return true;
	local = manifest_find_zone(manifest, &control->options.self.zone);
	remote = manifest_find_zone(manifest, &member->zone);
	return !local || !remote || name_equal(&local->region, &remote->region);
}

const struct member *outbound_pick_peer(struct control_context *context)
{
	struct control *control = context->control;
	const struct roster *roster = &control->roster;
	bool cross_region = !random_below(&control->random, CROSS_REGION_SHARE);

	for (int i = 0; i < PEER_PICK_ATTEMPTS; i++) {
		const struct member *member = &roster->members[random_below(
			&control->random, roster->n)];

		if (member->state != MEMBER_LEFT &&
		    !name_equal(&member->name, &control->options.self.name) &&
		    (cross_region || outbound_is_same_region(control, member)))
			return member;
	}
	return NULL;
}

void outbound_gossip(struct control_context *context, int fanout)
{
	struct control *control = context->control;

	if (!gossip_queue_has_pending(&control->gossip_queue,
				      deferrable_bytes_available(control)
					      ? GOSSIP_REVISION
					      : GOSSIP_SELF))
		return;
	for (int i = 0; i < fanout && control->gossip_queue.n; i++) {
		const struct member *peer = outbound_pick_peer(context);

		if (!peer)
			return;
		if (byte_budget_available(&control->byte_budget) <
		    GOSSIP_BYTES_MIN) {
			counter_inc(control->counters,
				    COUNTER_CONTROL_DELAYED_BY_BUDGET);
			return;
		}
		outbound_send_with_gossip(context, &peer->control,
					  MESSAGE_GOSSIP, 0, NULL);
	}
}

static bool has_anti_entropy_budget(struct control *control)
{
	if (byte_budget_available(&control->byte_budget) >=
	    ANTI_ENTROPY_BYTES_MIN)
		return true;
	counter_inc(control->counters, COUNTER_CONTROL_DELAYED_BY_BUDGET);
	return false;
}

void outbound_send_digest(struct control_context *context,
			  const struct endpoint *to)
{
	struct control *control = context->control;
	struct message message;

	outbound_init_message(context, &message, MESSAGE_DIGEST,
			      control->roster.n == 1);
	digest_compute(&message.digest, &control->roster);
	outbound_send(context, to, &message);
}

static void send_digest(struct anti_entropy_callbacks *callbacks,
			const struct roster_digest *digest)
{
	struct digest_response *response = (struct digest_response *)callbacks;
	struct message message;

	if (!has_anti_entropy_budget(response->context->control))
		return;
	outbound_init_message(response->context, &message, MESSAGE_DIGEST,
			      false);
	message.digest = *digest;
	outbound_send(response->context, response->to, &message);
}

static void send_exchange(struct anti_entropy_callbacks *callbacks,
			  const struct roster_digest *digest)
{
	struct digest_response *response = (struct digest_response *)callbacks;
	const struct member *members[EXCHANGE_MEMBERS_MAX];
	struct message message;
	size_t n;

	if (!has_anti_entropy_budget(response->context->control))
		return;
	outbound_init_message(response->context, &message, MESSAGE_EXCHANGE,
			      false);
	message.digest = *digest;
	n = anti_entropy_entries(&response->context->control->roster, digest,
				 members, EXCHANGE_MEMBERS_MAX);
	for (size_t i = 0; i < n; i++)
		outbound_add_entry(&message, members[i], false);
	outbound_send(response->context, response->to, &message);
}

void outbound_respond_to_digest(struct control_context *context,
				const struct endpoint *to,
				const struct roster_digest *remote)
{
	struct digest_response response = {
		.callbacks = {send_digest, send_exchange},
		.context = context,
		.to = to,
	};

	anti_entropy_compare(&context->control->roster, remote,
			     &response.callbacks);
}

void outbound_respond_to_exchange(struct control_context *context,
				  const struct message *exchange)
{
	const struct member *members[EXCHANGE_RESPONSE_MEMBERS_MAX];
	struct control *control = context->control;
	size_t start = random_below(&control->random, control->roster.n);
	size_t n = anti_entropy_newer_entries(&control->roster, exchange, start,
					      members,
					      EXCHANGE_RESPONSE_MEMBERS_MAX);
	struct message message;

	for (size_t i = 0; i < n;) {
		if (!has_anti_entropy_budget(control))
			return;
		/* An empty mask requests no response. */
		outbound_init_message(context, &message, MESSAGE_EXCHANGE,
				      false);
		while (i < n && message.n_members < EXCHANGE_MEMBERS_MAX)
			outbound_add_entry(&message, members[i++], false);
		outbound_send(context, &exchange->from.member.control,
			      &message);
	}
}

void outbound_request_entry(struct control_context *context,
			    const struct endpoint *to, uint32_t nonce)
{
	struct message message;

	outbound_init_message(context, &message, MESSAGE_PULL, true);
	message.nonce = nonce;
	outbound_send(context, to, &message);
}

void outbound_pull_config(struct control_context *context,
			  const struct endpoint *to)
{
	struct message message;
	struct strbuf wire;

	strbuf_init(&wire);
	outbound_init_message(context, &message, MESSAGE_PULL, true);
	outbound_seal(context, to, &message, &wire);
	counter_add(context->control->counters, COUNTER_CONTROL_BYTES_SENT,
		    wire.len);
	context->sink->pull_config(context->sink, to, strbuf_str(&wire));
	strbuf_finish(&wire);
}

void outbound_queue_config(struct control_context *context,
			   const struct endpoint *to)
{
	struct control *control = context->control;

	for (size_t i = 0; i < control->n_config_recipients; i++)
		if (endpoint_equal(&control->config_recipients[i], to))
			return;
	if (control->n_config_recipients < CONTROL_CONFIG_RECIPIENTS_MAX)
		control->config_recipients[control->n_config_recipients++] =
			*to;
	outbound_send_configs(context);
}

void outbound_unqueue_config(struct control_context *context,
			     const struct endpoint *to)
{
	struct control *control = context->control;

	for (size_t i = 0; i < control->n_config_recipients; i++) {
		if (!endpoint_equal(&control->config_recipients[i], to))
			continue;
		control->n_config_recipients--;
		memmove(control->config_recipients + i,
			control->config_recipients + i + 1,
			(control->n_config_recipients - i) *
				sizeof(*control->config_recipients));
		return;
	}
}

static bool has_config_budget(const struct control *control)
{
	return byte_budget_available(&control->byte_budget) >=
	       config_bytes_needed(control);
}

void outbound_send_configs(struct control_context *context)
{
	struct control *control = context->control;
	size_t n_sent = 0;

	while (n_sent < control->n_config_recipients &&
	       has_config_budget(control)) {
		struct message message;

		outbound_init_message(context, &message, MESSAGE_CONFIG, true);
		message.manifest = config_store_datagram_text(&control->config);
		message.config_revision =
			config_store_release(&control->config);
		outbound_send(context, &control->config_recipients[n_sent++],
			      &message);
	}
	control->n_config_recipients -= n_sent;
	memmove(control->config_recipients, control->config_recipients + n_sent,
		control->n_config_recipients *
			sizeof(*control->config_recipients));
}
