#include "tarragonflow/control/control.h"

#include <glib.h>
#include <string.h>

#include "context.h"
#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/log.h"

#define GOSSIP_INTERVAL_MS 200
#define GOSSIP_FANOUT 2
#define ANNOUNCE_FANOUT 4
/* Average time between two roster comparisons with a random peer. */
#define ANTI_ENTROPY_INTERVAL_MS 5000
/*
 * Peers that start together may miss each other's first digests, so for this
 * long after its start a process sends digests at a short interval. Only with
 * strong_reads: a process that depends on seeds alone would use up its byte
 * budget at once.
 */
#define STARTUP_DIGESTS_MS 600
#define STARTUP_DIGEST_INTERVAL_MS 150
/* A process with fewer members in its roster is still joining. */
#define JOINED_MEMBERS_MIN 6
#define JOINING_DIGEST_INTERVAL_MS 400
/* A process that has joined sends digests more often until
 * SETTLING_DIGESTS_MS after its start. */
#define SETTLING_DIGEST_INTERVAL_MS 1000
#define SETTLING_DIGESTS_MS 6000
/* Number of seeds that the first digests are sent to. */
#define JOIN_FANOUT 3
/* One in this many comparisons is with a seed or a member marked LEFT. */
#define SEED_OR_LEFT_SHARE 3
/* Number of peers that a new configuration is sent to; other peers are only
 * sent announcements, and pull it. */
#define PUSHES_PER_CONFIG 2
#define PUSH_INTERVAL_MS 150
#define PUSH_MS 4000
#define PULL_RETRY_MS 150
#define SKIPPED_LOG_LINES_PER_S 1
/* Value of last_discovery_ms until a peer reports an unknown member. */
#define NO_DISCOVERY_MS (INT64_MIN / 2)
/* After a list from the platform: time for peers to report missing members. */
#define LISTED_ROSTER_COMPLETE_AFTER_MS 200
/* After a peer reported an unknown agent: time for peers to report others, if
 * the platform's list was received. It lacks only those that joined just before
 * it was read, and they announce themselves. */
#define LISTED_ROSTER_SETTLE_MS 2000
#define RESYNC_REQUEST_INTERVAL_MS 300
#define RESYNC_REQUEST_FANOUT 3
/* Ends a resync that gets no response, as when all processes were paused. */
#define RESYNC_TIMEOUT_MS 3000
#define RESYNC_NO_SUSPICION_MS 10000

/** Callbacks by which platform_sync acts on the control core. */
struct platform_adapter {
	struct platform_sync_callbacks callbacks;
	struct control_context *context;
};

void control_init(struct control *control,
		  const struct control_options *options,
		  struct counters *counters, int64_t now_ms)
{
	const struct platform_sync_options sync_options = {
		.deployment = options->deployment,
		.name = options->self.name,
		.zone = options->self.zone,
		.role = options->self.role,
		.random_seed = options->random_seed,
		.strong_reads = options->strong_reads,
	};
	int64_t bytes_per_s = options->bytes_per_s ? options->bytes_per_s
						   : CONTROL_BYTES_PER_S;

	memset(control, 0, sizeof(*control));
	control->options = *options;
	control->counters = counters;
	random_init(&control->random, options->random_seed);
	roster_init(&control->roster);
	config_store_init(&control->config, &options->deployment, counters,
			  now_ms);
	platform_sync_init(&control->platform, &sync_options, counters, now_ms);
	failure_detector_init(&control->detector, &control->roster,
			      &options->self.name,
			      random_next(&control->random), now_ms);
	gossip_queue_init(&control->gossip_queue);
	byte_budget_init(&control->byte_budget, bytes_per_s, now_ms);
	zone_monitor_init(&control->zone_monitor);
	replay_guard_init(&control->replay_guard);
	control->started_ms = now_ms;
	control->join_ms = now_ms + options->join_delay_ms;
	control->last_discovery_ms = NO_DISCOVERY_MS;
	control->now_ms = now_ms;
	control->next_cut_ms = CLOCK_NEVER;
	control->next_gossip_ms = now_ms;
	control->next_anti_entropy_ms = now_ms;
	control->options.self.sequence++;
	roster_merge(&control->roster, &control->options.self, now_ms);
	gossip_queue_put(&control->gossip_queue, GOSSIP_JOIN,
			 &options->self.name, true);
}

void control_finish(struct control *control)
{
	roster_finish(&control->roster);
	config_store_finish(&control->config);
	platform_sync_finish(&control->platform);
	failure_detector_finish(&control->detector);
	gossip_queue_finish(&control->gossip_queue);
	replay_guard_finish(&control->replay_guard);
}

void control_announce_self(struct control_context *context,
			   enum gossip_priority priority)
{
	struct control *control = context->control;
	struct member *self = &control->options.self;

	self->config_revision =
		(uint64_t)config_store_release(&control->config);
	roster_merge(&control->roster, self, context->now_ms);
	gossip_queue_put(&control->gossip_queue, priority, &self->name, false);
}

static void send_resync_requests(struct control_context *context)
{
	struct control *control = context->control;
	struct control_resync *resync = &control->resync;

	resync->next_request_ms = context->now_ms + RESYNC_REQUEST_INTERVAL_MS;
	for (int i = 0; i < RESYNC_REQUEST_FANOUT; i++) {
		const struct member *peer = outbound_pick_peer(context);

		if (!peer)
			continue;
		outbound_request_entry(context, &peer->control, resync->nonce);
		outbound_send_digest(context, &peer->control);
	}
}

static void start_resync(struct control_context *context, int64_t gap_ms)
{
	struct control *control = context->control;
	struct control_resync *resync = &control->resync;

	counter_inc(control->counters, COUNTER_PAUSE_DETECTED);
	log_event(LOG_LEVEL_WARN, "paused", "gap_ms=%lld", (long long)gap_ms);
	resync->active = true;
	resync->nonce = (uint32_t)random_next(&control->random) | 1;
	resync->peer_release = -1;
	resync->deadline_ms = context->now_ms + RESYNC_TIMEOUT_MS;
	failure_detector_reset_after_pause(
		&control->detector, context->now_ms + RESYNC_NO_SUSPICION_MS,
		context->now_ms);
	control->n_config_recipients = 0;
	send_resync_requests(context);
}

/* Ends the resync once the release reported by a peer is in force here. */
static void resync_step(struct control_context *context)
{
	struct control *control = context->control;
	struct control_resync *resync = &control->resync;
	bool has_peer_release = resync->peer_release >= 0 &&
				config_store_release(&control->config) >=
					resync->peer_release;

	if (!resync->active)
		return;
	if (has_peer_release || context->now_ms >= resync->deadline_ms) {
		resync->active = false;
		context->sink->routing_changed(context->sink);
		return;
	}
	if (context->now_ms >= resync->next_request_ms)
		send_resync_requests(context);
}

/* Called first for every input; detects pauses of this process. */
static void context_init(struct control_context *context,
			 struct control *control, struct control_sink *sink,
			 int64_t now_ms)
{
	int64_t gap_ms = now_ms - control->now_ms;

	context->control = control;
	context->sink = sink;
	context->now_ms = now_ms;
	control->now_ms = now_ms;
	byte_budget_refill(&control->byte_budget, now_ms);
	if (gap_ms >= CONTROL_PAUSE_MIN_MS)
		start_resync(context, gap_ms);
}

bool control_roster_is_complete(const struct control *control, int64_t now_ms)
{
	int64_t age_ms = now_ms - control->started_ms;
	int64_t settle_ms = control->platform.full_roster_received
				    ? LISTED_ROSTER_SETTLE_MS
				    : CONTROL_ROSTER_COMPLETE_AFTER_MS;

	/* While unknown members are still being reported, more may follow. */
	if (now_ms - control->last_discovery_ms < settle_ms)
		return false;
	/* A restored copy may lack members until balancers write it again. */
	return age_ms >= CONTROL_ROSTER_COMPLETE_AFTER_MS ||
	       (control->platform.full_roster_received &&
		!platform_sync_restored_within(&control->platform,
					       CONTROL_ROSTER_COMPLETE_AFTER_MS,
					       now_ms) &&
		age_ms >= LISTED_ROSTER_COMPLETE_AFTER_MS);
}

bool control_is_resyncing(const struct control *control)
{
	return control->resync.active;
}

/* Counts entries of @message that are not valid, and logs one a second. */
static void record_skipped_entries(struct control *control,
				   const struct message *message,
				   int64_t now_ms)
{
	uint32_t suppressed;

	if (!message->n_skipped)
		return;
	counter_add(control->counters, COUNTER_CONTROL_DROP_MALFORMED,
		    (uint32_t)message->n_skipped);
	if (log_rate_limit_allow(&control->skipped_log_budget,
				 SKIPPED_LOG_LINES_PER_S, now_ms, &suppressed))
		log_event(LOG_LEVEL_WARN, "member-entry-skipped",
			  "from=%s entries=%zu field=%s suppressed=%u",
			  message->from.member.name.data, message->n_skipped,
			  message->skipped_field, suppressed);
}

/* Verifies and decodes a datagram; counts the reason for a drop. */
static bool accept_message(struct control *control, const uint8_t *data,
			   size_t len, struct message *message,
			   struct strbuf *storage)
{
	const struct member *from = &message->from.member;
	enum counter_id reason = COUNTER_CONTROL_DROP_REPLAYED;
	struct str body;

	if (!auth_open(&control->options.keys, &control->options.self.control,
		       data, len, &body)) {
		counter_inc(control->counters, COUNTER_CONTROL_DROP_BAD_TAG);
		return false;
	}
	if (!message_decode(message, (const uint8_t *)body.data, body.len,
			    storage)) {
		counter_inc(control->counters, COUNTER_CONTROL_DROP_MALFORMED);
		return false;
	}
	if (name_equal(&from->name, &control->options.self.name)) {
		counter_inc(control->counters, COUNTER_CONTROL_DROP_OWN_NAME);
		return false;
	}
	switch (replay_guard_check(&control->replay_guard, &from->name,
				   from->instance, message->number)) {
	case REPLAY_FRESH:
		return true;
	case REPLAY_OLD_INSTANCE:
		reason = COUNTER_CONTROL_DROP_OLD_INSTANCE;
		break;
	case REPLAY_REPEATED:
		break;
	}
	counter_inc(control->counters, reason);
	return false;
}

void control_handle_message(struct control *control,
			    const struct endpoint *from, const uint8_t *data,
			    size_t len, int64_t now_ms,
			    struct control_sink *sink)
{
	struct control_context context;
	struct message message;
	struct strbuf storage;

	(void)from;
	strbuf_init(&storage);
	counter_inc(control->counters, COUNTER_CONTROL_RECEIVED);
	context_init(&context, control, sink, now_ms);
	if (accept_message(control, data, len, &message, &storage)) {
		record_skipped_entries(control, &message, now_ms);
		platform_sync_merge_ages(&control->platform,
					 &message.contact_ages, now_ms);
		platform_sync_merge_epoch(&control->platform,
					  message.store_epoch);
		inbound_handle_message(&context, &message);
		resync_step(&context);
	}
	strbuf_finish(&storage);
}

/*
 * Charges the byte budget for a response to a pull. The budget may become
 * negative, by at most the burst, so that a large configuration is not delayed.
 * A small one does not wait either for gossip and probes, which use up what is
 * available.
 */
static bool charge_pull_budget(struct control *control)
{
	size_t bytes = MIN(control->config.text.len,
			   (size_t)control->byte_budget.burst);

	return byte_budget_borrow(&control->byte_budget, bytes);
}

bool control_handle_pull(struct control *control, const uint8_t *data,
			 size_t len, struct strbuf *out)
{
	struct control_context context = {.control = control,
					  .now_ms = control->now_ms};
	struct message request, response;
	struct strbuf storage;
	bool accepted;

	strbuf_init(&storage);
	accepted = accept_message(control, data, len, &request, &storage);
	strbuf_finish(&storage);
	if (!accepted)
		return false;
	if (request.kind != MESSAGE_PULL) {
		counter_inc(control->counters, COUNTER_CONTROL_DROP_MALFORMED);
		return false;
	}
	if (!charge_pull_budget(control)) {
		counter_inc(control->counters,
			    COUNTER_CONTROL_DELAYED_BY_BUDGET);
		return false;
	}
	outbound_init_message(&context, &response, MESSAGE_CONFIG, true);
	response.manifest = strbuf_str(&control->config.text);
	response.config_revision = config_store_release(&control->config);
	outbound_seal(&context, &request.from.member.control, &response, out);
	counter_add(control->counters, COUNTER_CONTROL_BYTES_SENT, out->len);
	return true;
}

void control_pull_failed(struct control *control)
{
	counter_inc(control->counters, COUNTER_CONFIG_PULL_FAILED);
	config_store_end_pull(&control->config);
}

static void start_platform_call(struct platform_sync_callbacks *callbacks,
				const struct store_request *request)
{
	struct control_sink *sink =
		((struct platform_adapter *)callbacks)->context->sink;

	sink->call_platform(sink, request);
}

static void cancel_platform_call(struct platform_sync_callbacks *callbacks,
				 enum store_queue queue, uint64_t id)
{
	struct control_sink *sink =
		((struct platform_adapter *)callbacks)->context->sink;

	sink->cancel_platform_call(sink, queue, id);
}

static void offer_platform_config(struct platform_sync_callbacks *callbacks,
				  struct str text)
{
	struct control_context *context =
		((struct platform_adapter *)callbacks)->context;
	struct control *control = context->control;

	/* A restored store may have an older release than this process had
	 * before its restart. */
	control->config.platform_is_current = control->options.strong_reads &&
					      control->platform.epoch <=
						      STORE_FIRST_EPOCH;
	inbound_offer_config(context, text, CONFIG_FROM_PLATFORM);
}

/*
 * Whether the list in @update decides about @existing. Right after a restore
 * the list may have an older state than the earlier epoch had.
 */
static bool list_decides(const struct zone_order *existing,
			 const struct zone_orders_update *update)
{
	return existing->epoch >= update->epoch ||
	       update->decides_earlier_epochs;
}

/* Removes orders from a list on zones about which it does not decide. */
static void drop_undecided_orders(const struct zone_orders *existing,
				  const struct zone_orders_update *update,
				  struct zone_orders *orders)
{
	for (size_t i = 0; i < existing->n; i++) {
		const struct zone_order *known = &existing->entries[i];

		if (!known->out && !list_decides(known, update))
			zone_orders_remove(orders, &known->zone);
	}
}

/* A full list of zone orders puts zones that it lacks back in service, with the
 * list's version. */
static void
merge_platform_zone_orders(struct platform_sync_callbacks *callbacks,
			   const struct zone_orders_update *update)
{
	struct control_context *context =
		((struct platform_adapter *)callbacks)->context;
	const struct zone_orders *existing = &context->control->zone_orders;
	struct zone_orders merged = update->orders;

	if (update->is_full_list)
		drop_undecided_orders(existing, update, &merged);
	for (size_t i = 0; update->is_full_list && i < existing->n; i++) {
		struct zone_order ended = existing->entries[i];

		if (zone_orders_is_out_of_service(&merged, &ended.zone) ||
		    !list_decides(&ended, update))
			continue;
		ended.epoch = update->epoch;
		ended.version = update->version;
		ended.out = false;
		zone_orders_merge(&merged, &ended);
	}
	inbound_merge_zone_orders(context, &merged);
}

static void merge_platform_member(struct platform_sync_callbacks *callbacks,
				  const struct member *entry)
{
	struct control_context *context =
		((struct platform_adapter *)callbacks)->context;
	int64_t last_discovery_ms = context->control->last_discovery_ms;

	inbound_merge_entry(context, entry, false);
	context->control->last_discovery_ms = last_discovery_ms;
}

static void platform_adapter_init(struct platform_adapter *adapter,
				  struct control_context *context)
{
	adapter->callbacks.start_call = start_platform_call;
	adapter->callbacks.cancel_call = cancel_platform_call;
	adapter->callbacks.deliver_config = offer_platform_config;
	adapter->callbacks.deliver_zone_orders = merge_platform_zone_orders;
	adapter->callbacks.deliver_member = merge_platform_member;
	adapter->context = context;
}

static struct platform_view platform_view(const struct control *control,
					  int64_t now_ms)
{
	const struct platform_view view = {
		.roster = &control->roster,
		.release = config_store_release(&control->config),
		.newest_release = control->config.newest_release,
		.roster_complete = control_roster_is_complete(control, now_ms),
		.oldest_order_epoch =
			zone_orders_oldest_epoch(&control->zone_orders),
	};

	return view;
}

void control_handle_result(struct control *control,
			   const struct store_result *result, int64_t now_ms,
			   struct control_sink *sink)
{
	const struct platform_view view = platform_view(control, now_ms);
	struct control_context context;
	struct platform_adapter adapter;
	bool had_full_roster;

	context_init(&context, control, sink, now_ms);
	platform_adapter_init(&adapter, &context);
	had_full_roster = control->platform.full_roster_received;
	platform_sync_handle_result(&control->platform, result, &view, now_ms,
				    &adapter.callbacks);
	/* Members reported before the list are in it or are reported again. */
	if (!had_full_roster && control->platform.full_roster_received)
		control->last_discovery_ms = NO_DISCOVERY_MS;
}

/* A seed or a member marked LEFT. A comparison with it heals a network
 * partition. */
static const struct endpoint *pick_seed_or_left_member(struct control *control)
{
	const struct roster *roster = &control->roster;
	size_t n_seeds = control->options.n_seeds;
	size_t start = random_below(&control->random, roster->n);

	if (n_seeds && random_below(&control->random, 2))
		return &control->options
				.seeds[random_below(&control->random, n_seeds)];
	for (size_t i = 0; i < roster->n; i++) {
		const struct member *member =
			&roster->members[(start + i) % roster->n];

		if (member->state == MEMBER_LEFT)
			return &member->control;
	}
	return NULL;
}

static void send_digest_to_one_peer(struct control_context *context,
				    bool joining)
{
	struct control *control = context->control;
	const struct endpoint *to = NULL;
	const struct member *peer;

	if (joining || !random_below(&control->random, SEED_OR_LEFT_SHARE))
		to = pick_seed_or_left_member(control);
	if (!to) {
		peer = outbound_pick_peer(context);
		to = peer ? &peer->control : NULL;
	}
	if (to)
		outbound_send_digest(context, to);
}

static void anti_entropy_step(struct control_context *context)
{
	struct control *control = context->control;
	bool joining = control->roster.n == 1;
	int64_t interval_ms = ANTI_ENTROPY_INTERVAL_MS;

	if (context->now_ms < control->next_anti_entropy_ms)
		return;
	if (!control->last_message_number)
		for (size_t i = 0;
		     i < MIN(control->options.n_seeds, JOIN_FANOUT); i++)
			outbound_send_digest(context,
					     &control->options.seeds[i]);
	else
		send_digest_to_one_peer(context, joining);
	if (control->options.strong_reads &&
	    context->now_ms < control->started_ms + STARTUP_DIGESTS_MS)
		interval_ms = STARTUP_DIGEST_INTERVAL_MS;
	else if (control->roster.n < JOINED_MEMBERS_MIN)
		interval_ms = JOINING_DIGEST_INTERVAL_MS;
	else if (context->now_ms < control->started_ms + SETTLING_DIGESTS_MS)
		interval_ms = SETTLING_DIGEST_INTERVAL_MS;
	control->next_anti_entropy_ms =
		context->now_ms + interval_ms / 2 +
		(int64_t)random_below(&control->random, (size_t)interval_ms);
}

static bool is_release_older(uint64_t remote, uint64_t local)
{
	return remote < local;
}

static bool is_release_newer(uint64_t remote, uint64_t local)
{
	return remote > local;
}

/* A random member for whose release and the local one @matches is true. */
static const struct member *pick_by_release(struct control *control,
					    bool (*matches)(uint64_t remote,
							    uint64_t local))
{
	const struct roster *roster = &control->roster;
	size_t start = random_below(&control->random, roster->n);
	uint64_t local = (uint64_t)config_store_release(&control->config);

	for (size_t i = 0; i < roster->n; i++) {
		const struct member *member =
			&roster->members[(start + i) % roster->n];

		if (member->state != MEMBER_LEFT &&
		    matches(member->config_revision, local))
			return member;
	}
	return NULL;
}

void control_start_push(struct control_context *context)
{
	struct control *control = context->control;

	control->pushes_left = PUSHES_PER_CONFIG;
	control->push_until_ms = context->now_ms + PUSH_MS;
	control->next_push_ms =
		context->now_ms +
		(int64_t)random_below(&control->random, PUSH_INTERVAL_MS);
}

static void push_step(struct control_context *context)
{
	struct control *control = context->control;
	const struct member *peer;
	struct message announcement;

	outbound_send_configs(context);
	if (context->now_ms >= control->push_until_ms ||
	    context->now_ms < control->next_push_ms)
		return;
	control->next_push_ms = context->now_ms + PUSH_INTERVAL_MS;
	peer = pick_by_release(control, is_release_older);
	if (!peer)
		return;
	if (control->pushes_left) {
		control->pushes_left--;
		outbound_queue_config(context, &peer->control);
	} else {
		outbound_init_message(context, &announcement, MESSAGE_GOSSIP,
				      false);
		outbound_send(context, &peer->control, &announcement);
	}
}

/* Pulls a newer release until it is in force, as messages may be lost. */
static void pull_step(struct control_context *context)
{
	struct control *control = context->control;
	const struct member *peer;

	if (control->config.newest_release <=
		    config_store_release(&control->config) ||
	    context->now_ms < control->next_pull_ms + PULL_RETRY_MS)
		return;
	control->next_pull_ms = context->now_ms;
	peer = pick_by_release(control, is_release_newer);
	if (peer && config_store_start_pull(&control->config,
					    control->config.newest_release,
					    context->now_ms))
		outbound_pull_config(context, &peer->control);
}

static void zone_monitor_step(struct control_context *context)
{
	struct control *control = context->control;
	struct zone_report report;

	if (!control->has_new_suspects)
		return;
	control->has_new_suspects = false;
	if (!zone_monitor_detect_loss(&control->zone_monitor, &control->roster,
				      context->now_ms, &report))
		return;
	counter_inc(control->counters, COUNTER_ZONE_LOSS_REPORTED);
	log_event(LOG_LEVEL_WARN, "zone-lost", "zone=%s", report.zone.data);
	inbound_apply_zone_report(context, &report);
}

static void gossip_step(struct control_context *context)
{
	struct control *control = context->control;

	if (context->now_ms < control->next_gossip_ms)
		return;
	control->next_gossip_ms = context->now_ms + GOSSIP_INTERVAL_MS;
	zone_monitor_step(context);
	outbound_gossip(context, GOSSIP_FANOUT);
}

/* Routing changes when the open connections of an out-of-service zone are
 * dropped, and when control_roster_is_complete() changes. */
static void routing_step(struct control_context *context)
{
	struct control *control = context->control;
	bool complete = control_roster_is_complete(control, context->now_ms);

	if (context->now_ms >= control->next_cut_ms ||
	    complete != control->roster_complete)
		context->sink->routing_changed(context->sink);
	control->roster_complete = complete;
	control->next_cut_ms =
		zone_orders_next_cut(&control->zone_orders, context->now_ms);
}

void control_tick(struct control *control, int64_t now_ms,
		  struct control_sink *sink)
{
	const struct platform_view view = platform_view(control, now_ms);
	struct control_context context;
	struct detector_adapter detector;
	struct platform_adapter platform;

	context_init(&context, control, sink, now_ms);
	detector_adapter_init(&detector, &context);
	platform_adapter_init(&platform, &context);
	resync_step(&context);
	pull_step(&context);
	if (now_ms >= control->join_ms) {
		push_step(&context);
		failure_detector_tick(&control->detector, now_ms,
				      &detector.callbacks);
		gossip_step(&context);
		anti_entropy_step(&context);
	}
	platform_sync_tick(&control->platform, &view, now_ms,
			   &platform.callbacks);
	routing_step(&context);
	if (config_store_tick(&control->config, now_ms))
		inbound_config_applied(&context);
}

int64_t control_next_deadline(const struct control *control)
{
	int64_t next =
		MIN(control->next_gossip_ms, control->next_anti_entropy_ms);

	next = MIN(next, failure_detector_next_deadline(&control->detector));
	next = MAX(next, control->join_ms);
	next = MIN(next, platform_sync_next_deadline(&control->platform));
	next = MIN(next, config_store_next_deadline(&control->config));
	next = MIN(next, control->next_cut_ms);
	if (control->next_push_ms < control->push_until_ms)
		next = MIN(next, MAX(control->next_push_ms, control->join_ms));
	return next;
}

void control_set_keys(struct control *control, const struct keyring *keys)
{
	control->options.keys = *keys;
}

void control_set_server(struct control *control, const struct name *service,
			uint32_t slots)
{
	struct member *self = &control->options.self;

	if (self->slots == slots && name_equal(&self->service, service))
		return;
	self->service = *service;
	self->slots = slots;
	self->instance++;
	self->sequence = 1;
	roster_merge(&control->roster, self, control->now_ms);
	gossip_queue_put(&control->gossip_queue, GOSSIP_JOIN, &self->name,
			 true);
}

bool control_knows_service(const struct control *control,
			   const struct name *service)
{
	if (manifest_find_service(&control->config.manifest, service))
		return true;
	for (size_t i = 0; i < control->roster.n; i++)
		if (control->roster.members[i].role == MEMBER_AGENT &&
		    name_equal(&control->roster.members[i].service, service))
			return true;
	return false;
}

void control_join(struct control *control, int64_t now_ms)
{
	control->join_ms = MIN(control->join_ms, now_ms);
}

void control_set_state(struct control *control, enum member_state state,
		       int64_t now_ms, struct control_sink *sink)
{
	struct control_context context;

	context_init(&context, control, sink, now_ms);
	control_join(control, now_ms);
	control->options.self.state = state;
	control->options.self.sequence++;
	control_announce_self(&context, GOSSIP_SELF);
	outbound_gossip(&context, ANNOUNCE_FANOUT);
	sink->routing_changed(sink);
}
