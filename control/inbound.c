#include <glib.h>
#include <string.h>

#include "context.h"
#include "tarragonflow/common/log.h"
#include "tarragonflow/route/view.h"

/* In larger rosters each member's release is announced only by the member. */
#define REVISION_GOSSIP_MEMBERS_MAX 256
#define ENTRY_REQUEST_INTERVAL_MS 100
/* Enough to log all members when a small deployment starts at once. */
#define MEMBER_LOG_LINES_PER_S 24
/* Peers that a new zone order is sent to at once. */
#define ZONE_ORDER_FANOUT 4
/*
 * For this long after its start, a process that receives an entry of its own
 * with a greater instance attributes the entry to a previous run whose clock
 * was ahead.
 */
#define PREVIOUS_RUN_WINDOW_MS 10000
/* Anti-entropy that changed the roster runs again after at most this time:
 * peers may have more changes. */
#define ANTI_ENTROPY_RETRY_MS 400

static bool is_self(const struct control *control, const struct name *name)
{
	return name_equal(name, &control->options.self.name);
}

static void queue_gossip(struct control_context *context,
			 enum gossip_priority priority, const struct name *name,
			 bool full_entry)
{
	if (!gossip_queue_put(&context->control->gossip_queue, priority, name,
			      full_entry))
		counter_inc(context->control->counters,
			    COUNTER_GOSSIP_QUEUE_FULL);
}

/* Starts a new instance of this process in the rosters, greater than @instance.
 */
static void restart_instance(struct control_context *context, uint64_t instance)
{
	struct control *control = context->control;
	struct member *self = &control->options.self;

	if (instance >= MEMBER_INSTANCE_MAX)
		return;
	self->instance = instance + 1;
	self->sequence = 1;
	roster_merge(&control->roster, self, context->now_ms);
	queue_gossip(context, GOSSIP_JOIN, &self->name, true);
}

/* Handles a received entry about this process; refutes a newer one. */
static void handle_self_entry(struct control_context *context,
			      const struct member *entry)
{
	struct control *control = context->control;
	struct member *self = &control->options.self;

	/* The entry is of a previous run: this run needs a greater instance. */
	if (entry->instance > self->instance &&
	    context->now_ms - control->started_ms < PREVIOUS_RUN_WINDOW_MS) {
		restart_instance(context, entry->instance);
		return;
	}
	if (entry->instance < self->instance)
		config_store_record_previous_release(&control->config,
						     entry->config_revision);
	if (entry->instance != self->instance || !member_is_newer(entry, self))
		return;
	if (entry->sequence >= MEMBER_SEQUENCE_MAX) {
		restart_instance(context, entry->instance);
		return;
	}
	self->sequence = entry->sequence + 1;
	counter_inc(control->counters, COUNTER_SUSPICION_REFUTED);
	control_announce_self(context, GOSSIP_SELF);
}

static void queue_member_change(struct control_context *context,
				const struct member *member, bool joined)
{
	if (joined)
		queue_gossip(context, GOSSIP_JOIN, &member->name, true);
	else if (!zone_monitor_has_recent_report(
			 &context->control->zone_monitor, &member->zone,
			 context->now_ms) ||
		 member->state == MEMBER_ACTIVE)
		queue_gossip(context, GOSSIP_STATE, &member->name, false);
}

/* Rate-limited: a large fleet may start all its members at once. */
static void log_member(struct control_context *context,
		       const struct member *member)
{
	uint32_t suppressed;
	bool allowed = log_rate_limit_allow(
		&context->control->member_log_budget, MEMBER_LOG_LINES_PER_S,
		context->now_ms, &suppressed);

	if (suppressed)
		log_event(LOG_LEVEL_INFO, "member-suppressed", "lines=%u",
			  suppressed);
	if (allowed)
		log_event(LOG_LEVEL_INFO, "member",
			  "name=%s id=%08x role=%s service=%s zone=%s state=%s",
			  member->name.data, member_id(&member->name),
			  member_role_name(member->role), member->service.data,
			  member->zone.data, member_state_name(member->state));
}

static void member_changed(struct control_context *context,
			   const struct member *member)
{
	struct control *control = context->control;

	log_member(context, member);
	if (member->state == MEMBER_SUSPECT)
		control->has_new_suspects = true;
	failure_detector_member_changed(&control->detector, member,
					context->now_ms);
	context->sink->routing_changed(context->sink);
}

static void member_refreshed(struct control_context *context,
			     const struct member *member, bool announced,
			     bool gossip)
{
	struct control *control = context->control;

	if (!gossip)
		return;
	if (announced)
		queue_gossip(context, GOSSIP_STATE, &member->name, false);
	else if (control->roster.n <= REVISION_GOSSIP_MEMBERS_MAX)
		queue_gossip(context, GOSSIP_REVISION, &member->name, false);
}

/*
 * Whether @entry suggests that further agents are unknown: it is of an unknown
 * member or, soon after the start, of one that the platform's list had as left.
 * The list may be seconds old. Once the platform has listed the roster, only an
 * agent does.
 */
static bool suggests_unknown_agents(const struct control *control,
				    const struct member *existing,
				    const struct member *entry, int64_t now_ms)
{
	bool returned = existing && existing->state == MEMBER_LEFT &&
			member_is_newer(entry, existing) &&
			now_ms - control->started_ms <
				CONTROL_ROSTER_COMPLETE_AFTER_MS;

	if (entry->state == MEMBER_LEFT || (existing && !returned))
		return false;
	return entry->role == MEMBER_AGENT ||
	       !control->platform.full_roster_received;
}

void inbound_merge_entry(struct control_context *context,
			 const struct member *entry, bool gossip)
{
	struct control *control = context->control;
	const struct member *existing =
		roster_find(&control->roster, &entry->name);
	bool joined = !existing || existing->instance < entry->instance;
	bool announced = joined || existing->sequence < entry->sequence;
	const struct member *member;
	enum roster_change change;

	if (is_self(control, &entry->name)) {
		handle_self_entry(context, entry);
		return;
	}
	config_store_record_release(&control->config, entry->config_revision);
	if (suggests_unknown_agents(control, existing, entry, context->now_ms))
		control->last_discovery_ms = context->now_ms;
	change = roster_merge(&control->roster, entry, context->now_ms);
	if (change == ROSTER_UNCHANGED) {
		if (gossip)
			gossip_queue_count_received(&control->gossip_queue,
						    &entry->name);
		return;
	}
	member = roster_find(&control->roster, &entry->name);
	if (change == ROSTER_REFRESHED) {
		member_refreshed(context, member, announced, gossip);
		return;
	}
	member_changed(context, member);
	if (gossip)
		queue_member_change(context, member, joined);
	else
		control->next_anti_entropy_ms =
			MIN(control->next_anti_entropy_ms,
			    context->now_ms + ANTI_ENTROPY_RETRY_MS);
}

/* Completes a brief entry from the roster; false if the roster does not have
 * the same instance of the member. */
static bool expand_entry(struct control *control,
			 const struct message_entry *entry, struct member *out)
{
	const struct member *existing =
		roster_find(&control->roster, &entry->member.name);

	*out = entry->member;
	if (!entry->brief)
		return true;
	if (!existing || existing->instance != entry->member.instance)
		return false;
	*out = *existing;
	out->sequence = entry->member.sequence;
	out->state = entry->member.state;
	out->config_revision = entry->member.config_revision;
	return true;
}

static void request_entry_limited(struct control_context *context,
				  const struct endpoint *to)
{
	struct control *control = context->control;

	if (context->now_ms < control->next_pull_ms)
		return;
	control->next_pull_ms = context->now_ms + ENTRY_REQUEST_INTERVAL_MS;
	outbound_request_entry(context, to, 0);
}

/* The release in force at @from before its restart; 0 if none is known. */
static uint64_t release_before_restart(const struct control *control,
				       const struct member *from)
{
	const struct member *existing =
		roster_find(&control->roster, &from->name);

	return existing && existing->instance < from->instance
		       ? existing->config_revision
		       : 0;
}

static void send_previous_release(struct control_context *context,
				  const struct member *from)
{
	struct message message;

	outbound_init_message(context, &message, MESSAGE_GOSSIP, true);
	message.previous_release =
		release_before_restart(context->control, from);
	outbound_send(context, &from->control, &message);
}

/* Handles the sender's own entry. */
static void handle_sender_entry(struct control_context *context,
				const struct message *message)
{
	struct control *control = context->control;
	const struct member *from = &message->from.member;
	struct member entry;

	config_store_record_previous_release(&control->config,
					     message->previous_release);
	if (from->config_revision < release_before_restart(control, from))
		send_previous_release(context, from);
	if (!expand_entry(control, &message->from, &entry)) {
		if (message->kind != MESSAGE_PULL)
			request_entry_limited(context, &from->control);
		return;
	}
	inbound_merge_entry(context, &entry, true);
	failure_detector_message_received(
		&control->detector, roster_find(&control->roster, &from->name));
}

void inbound_config_applied(struct control_context *context)
{
	context->control->n_config_recipients = 0;
	control_start_push(context);
	control_announce_self(context, GOSSIP_REVISION);
	context->sink->routing_changed(context->sink);
}

void inbound_offer_config(struct control_context *context, struct str text,
			  enum config_source source)
{
	struct config_store *store = &context->control->config;

	config_store_end_pull(store);
	if (config_store_offer(store, text, source, context->now_ms))
		inbound_config_applied(context);
}

/* Handles a configuration, or the announcement of a large one, which is pulled
 * over TCP. */
static void handle_config(struct control_context *context,
			  const struct message *message)
{
	struct config_store *store = &context->control->config;
	int64_t local = config_store_release(store);

	/* Several peers may respond, and parsing a configuration is costly. */
	if (local && message->from.member.config_revision <= (uint64_t)local) {
		config_store_end_pull(store);
		counter_inc(context->control->counters,
			    COUNTER_CONFIG_OLDER_IGNORED);
		return;
	}
	if (message->manifest.len)
		inbound_offer_config(context, message->manifest,
				     CONFIG_FROM_PEER);
	else if (config_store_start_pull(&context->control->config,
					 message->config_revision,
					 context->now_ms))
		outbound_pull_config(context, &message->from.member.control);
}

/* Sends or pulls the configuration when the releases differ. */
static void compare_releases(struct control_context *context,
			     const struct message *message)
{
	const struct member *from = &message->from.member;
	uint64_t local =
		(uint64_t)config_store_release(&context->control->config);

	if (from->config_revision < local)
		outbound_queue_config(context, &from->control);
	else
		outbound_unqueue_config(context, &from->control);
	/* Pull over TCP: the loss of a datagram would delay the release by
	 * seconds. */
	if (from->config_revision > local &&
	    config_store_start_pull(&context->control->config,
				    (int64_t)from->config_revision,
				    context->now_ms))
		outbound_pull_config(context, &from->control);
}

void inbound_merge_zone_orders(struct control_context *context,
			       const struct zone_orders *orders)
{
	struct control *control = context->control;
	bool changed = false;

	for (size_t i = 0; i < orders->n; i++) {
		struct zone_order order = orders->entries[i];

		order.cut_ms = context->now_ms + control->options.zone_grace_ms;
		if (!zone_orders_merge(&control->zone_orders, &order))
			continue;
		changed = true;
		log_event(LOG_LEVEL_INFO, "zone-order",
			  "zone=%s out=%d version=%llu", order.zone.data,
			  order.out, (unsigned long long)order.version);
	}
	if (!changed)
		return;
	control_announce_self(context, GOSSIP_SELF);
	outbound_gossip(context, ZONE_ORDER_FANOUT);
	context->sink->routing_changed(context->sink);
}

void inbound_apply_zone_report(struct control_context *context,
			       const struct zone_report *report)
{
	struct control *control = context->control;

	queue_gossip(context, GOSSIP_ZONE, &report->zone, false);
	if (report->state != MEMBER_SUSPECT)
		return;
	for (size_t i = 0; i < control->roster.n; i++) {
		struct member entry = control->roster.members[i];

		if (entry.state != MEMBER_ACTIVE ||
		    !name_equal(&entry.zone, &report->zone))
			continue;
		entry.state = MEMBER_SUSPECT;
		inbound_merge_entry(context, &entry, false);
	}
}

static void merge_entries(struct control_context *context,
			  const struct message *message)
{
	struct control *control = context->control;
	bool gossip = message->kind != MESSAGE_EXCHANGE;

	for (size_t i = 0; i < message->n_members; i++) {
		struct member entry;

		if (is_self(control, &message->members[i].member.name))
			handle_self_entry(context, &message->members[i].member);
		else if (expand_entry(control, &message->members[i], &entry))
			inbound_merge_entry(context, &entry, gossip);
	}
	for (size_t i = 0; i < message->n_zones; i++)
		if (zone_monitor_merge_report(&control->zone_monitor,
					      &message->zones[i],
					      context->now_ms))
			inbound_apply_zone_report(context, &message->zones[i]);
}

/* The sender's roster entry if its state is SUSPECT or LEFT: the sender may
 * refute that state. */
static const struct member *find_disputed_entry(const struct control *control,
						const struct message *message)
{
	const struct member *sender =
		roster_find(&control->roster, &message->from.member.name);

	if (sender &&
	    (sender->state == MEMBER_SUSPECT || sender->state == MEMBER_LEFT))
		return sender;
	return NULL;
}

static void handle_pull(struct control_context *context,
			const struct message *message)
{
	const struct member *from = &message->from.member;
	struct message response;

	/* The CONFIG message that follows carries the full local entry, too. */
	if (!message->nonce &&
	    from->config_revision <
		    (uint64_t)config_store_release(&context->control->config))
		return;
	outbound_init_message(context, &response, MESSAGE_GOSSIP, true);
	/* While resyncing, the local release may be outdated. */
	response.nonce = context->control->resync.active ? 0 : message->nonce;
	outbound_add_gossip(context, &response);
	outbound_send(context, &from->control, &response);
}

static void handle_ping_request(struct control_context *context,
				const struct message *message)
{
	struct control *control = context->control;
	const struct member *target =
		roster_find(&control->roster, &message->target.name);
	struct detector_adapter adapter;

	if (!target)
		return;
	detector_adapter_init(&adapter, context);
	failure_detector_start_indirect_probe(
		&control->detector, &message->from.member.control, target,
		message->nonce, context->now_ms, &adapter.callbacks);
}

static void handle_probe_response(struct control_context *context,
				  const struct message *message)
{
	struct detector_adapter adapter;

	detector_adapter_init(&adapter, context);
	failure_detector_handle_response(&context->control->detector,
					 message->nonce,
					 message->kind == MESSAGE_ACK,
					 context->now_ms, &adapter.callbacks);
}

/* Handles the response to a resync request. */
static void handle_resync_response(struct control_context *context,
				   const struct message *message)
{
	struct control_resync *resync = &context->control->resync;

	if (resync->active && message->nonce == resync->nonce)
		resync->peer_release =
			(int64_t)message->from.member.config_revision;
}

void inbound_handle_message(struct control_context *context,
			    const struct message *message)
{
	const struct endpoint *to = &message->from.member.control;
	const struct member *disputed;

	handle_sender_entry(context, message);
	merge_entries(context, message);
	inbound_merge_zone_orders(context, &message->zone_orders);
	if (message->kind == MESSAGE_CONFIG)
		handle_config(context, message);
	compare_releases(context, message);
	disputed = find_disputed_entry(context->control, message);
	switch (message->kind) {
	case MESSAGE_PING:
		outbound_send_with_gossip(context, to, MESSAGE_ACK,
					  message->nonce, disputed);
		return;
	case MESSAGE_ACK:
	case MESSAGE_NACK:
		handle_probe_response(context, message);
		break;
	case MESSAGE_PING_REQUEST:
		handle_ping_request(context, message);
		break;
	case MESSAGE_PULL:
		handle_pull(context, message);
		break;
	case MESSAGE_GOSSIP:
		handle_resync_response(context, message);
		break;
	case MESSAGE_DIGEST:
		outbound_respond_to_digest(context, to, &message->digest);
		break;
	case MESSAGE_EXCHANGE:
		if (message->digest.mask)
			outbound_respond_to_exchange(context, message);
		break;
	case MESSAGE_CONFIG:
		break;
	}
	if (disputed && message->kind != MESSAGE_GOSSIP)
		outbound_send_with_gossip(context, to, MESSAGE_GOSSIP, 0,
					  disputed);
}
