#include "tarragonflow/control/control.h"

#include <glib.h>
#include <string.h>

#include "tarragonflow/common/log.h"

#define GOSSIP_INTERVAL_MS 200
#define ANNOUNCE_INTERVAL_MS 1000
#define ANNOUNCE_FANOUT 4

/** The platform core's way out into the control core. */
struct sync_out {
	struct platform_sync_out out;
	struct control *control;
	struct control_sink *sink;
	int64_t now_ms;
};

/* xorshift64*; the state is never zero. */
static uint64_t random_next(struct control *control)
{
	uint64_t x = control->random_state;

	x ^= x >> 12;
	x ^= x << 25;
	x ^= x >> 27;
	control->random_state = x;
	return x * 0x2545f4914f6cdd1dULL;
}

static void self_refresh(struct control *control, int64_t now_ms)
{
	struct member *self = &control->options.self;

	self->sequence++;
	self->config_revision =
		(uint64_t)config_store_release(&control->config);
	roster_merge(&control->roster, self, now_ms);
}

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
	};

	memset(control, 0, sizeof(*control));
	control->options = *options;
	control->counters = counters;
	control->random_state = options->random_seed | 1;
	roster_init(&control->roster);
	config_store_init(&control->config, &options->deployment, counters,
			  now_ms);
	platform_sync_init(&control->platform, &sync_options, counters, now_ms);
	control->next_gossip_ms = now_ms;
	control->next_announce_ms = now_ms;
	self_refresh(control, now_ms);
}

void control_finish(struct control *control)
{
	roster_finish(&control->roster);
	config_store_finish(&control->config);
	platform_sync_finish(&control->platform);
}

static void encode_message(struct control *control, struct message *message,
			   struct strbuf *wire)
{
	message->from = control->options.self;
	message->ages = platform_sync_ages(&control->platform, control->now_ms);
	message_encode(message, wire);
}

static void send_message(struct control *control, const struct endpoint *to,
			 struct message *message, struct control_sink *sink)
{
	struct strbuf wire;

	strbuf_init(&wire);
	encode_message(control, message, &wire);
	counter_inc(control->counters, COUNTER_CONTROL_OUT);
	counter_add(control->counters, COUNTER_CONTROL_BYTES_OUT, wire.len);
	sink->send(sink, to, (const uint8_t *)wire.data, wire.len);
	strbuf_finish(&wire);
}

/* The next entries of the roster, in turn. */
static void fill_members(struct control *control, struct message *message)
{
	size_t n = MIN(control->roster.n, MESSAGE_MEMBERS_MAX);

	for (size_t i = 0; i < n; i++) {
		control->gossip_cursor =
			(control->gossip_cursor + 1) % control->roster.n;
		message->members[i] =
			control->roster.members[control->gossip_cursor];
	}
	message->n_members = n;
}

static bool pick_peer(struct control *control, struct endpoint *to)
{
	const struct roster *roster = &control->roster;
	size_t known = roster->n - 1;
	size_t pick =
		random_next(control) % (known + control->options.n_seeds + 1);

	if (pick < control->options.n_seeds) {
		*to = control->options.seeds[pick];
		return !endpoint_equal(to, &control->options.self.control);
	}
	for (size_t i = 0; i < roster->n; i++) {
		const struct member *member =
			&roster->members[(pick + i) % roster->n];

		if (member->state == MEMBER_LEFT ||
		    name_equal(&member->name, &control->options.self.name))
			continue;
		*to = member->control;
		return true;
	}
	return false;
}

static void gossip(struct control *control, struct control_sink *sink)
{
	struct message message = {.kind = MESSAGE_GOSSIP};
	struct endpoint to;

	if (!pick_peer(control, &to))
		return;
	fill_members(control, &message);
	send_message(control, &to, &message, sink);
}

static void send_config(struct control *control, const struct endpoint *to,
			struct control_sink *sink)
{
	struct message message = {
		.kind = MESSAGE_CONFIG,
		.manifest = config_store_datagram(&control->config),
		.config_revision = config_store_release(&control->config),
	};

	send_message(control, to, &message, sink);
}

static void config_changed(struct control *control, int64_t now_ms,
			   struct control_sink *sink)
{
	self_refresh(control, now_ms);
	control->next_announce_ms = now_ms;
	sink->changed(sink);
}

static void config_offer(struct control *control, struct str text,
			 const char *source, int64_t now_ms,
			 struct control_sink *sink)
{
	config_store_end_pull(&control->config);
	if (config_store_offer(&control->config, text, source, now_ms))
		config_changed(control, now_ms, sink);
}

/* Whoever is behind learns it from the first message that meets it. */
static void compare_revisions(struct control *control,
			      const struct message *message,
			      struct control_sink *sink)
{
	struct message pull = {.kind = MESSAGE_PULL};
	uint64_t theirs = message->from.config_revision;
	uint64_t ours = (uint64_t)config_store_release(&control->config);

	if (theirs < ours && message->kind != MESSAGE_CONFIG)
		send_config(control, &message->from.control, sink);
	else if (theirs > ours && message->kind != MESSAGE_CONFIG)
		send_message(control, &message->from.control, &pull, sink);
}

static void pull_config(struct control *control, const struct message *message,
			int64_t now_ms, struct control_sink *sink)
{
	struct message pull = {.kind = MESSAGE_PULL};
	struct strbuf wire;

	if (!config_store_start_pull(&control->config, message->config_revision,
				     now_ms))
		return;
	strbuf_init(&wire);
	encode_message(control, &pull, &wire);
	sink->pull(sink, &message->from.control, strbuf_str(&wire));
	strbuf_finish(&wire);
}

static enum roster_change
take_member(struct control *control, const struct member *entry, int64_t now_ms)
{
	struct member *self = &control->options.self;
	enum roster_change change;

	config_store_note_release(&control->config, entry->config_revision);
	if (!name_equal(&entry->name, &self->name)) {
		change = roster_merge(&control->roster, entry, now_ms);
		if (change == ROSTER_CHANGED)
			log_event(LOG_LEVEL_INFO, "member",
				  "name=%s role=%s service=%s zone=%s state=%s",
				  entry->name.data,
				  member_role_name(entry->role),
				  entry->service.data, entry->zone.data,
				  member_state_name(entry->state));
		return change;
	}
	/* Somebody says something about us that we did not say: refute. */
	if (member_newer(entry, self) && entry->instance == self->instance) {
		self->sequence = entry->sequence;
		self_refresh(control, now_ms);
	}
	return ROSTER_UNCHANGED;
}

void control_handle_message(struct control *control,
			    const struct endpoint *from, const uint8_t *data,
			    size_t len, int64_t now_ms,
			    struct control_sink *sink)
{
	struct message message;
	struct strbuf storage;
	bool changed;

	(void)from;
	control->now_ms = now_ms;
	strbuf_init(&storage);
	counter_inc(control->counters, COUNTER_CONTROL_IN);
	if (!message_decode(&message, data, len, &storage)) {
		counter_inc(control->counters, COUNTER_CONTROL_DROP_MALFORMED);
		strbuf_finish(&storage);
		return;
	}
	platform_sync_heard(&control->platform, &message.ages, now_ms);
	changed = take_member(control, &message.from, now_ms) == ROSTER_CHANGED;
	for (size_t i = 0; i < message.n_members; i++)
		if (take_member(control, &message.members[i], now_ms) ==
		    ROSTER_CHANGED)
			changed = true;
	if (message.kind == MESSAGE_CONFIG && !message.manifest.len)
		pull_config(control, &message, now_ms, sink);
	else if (message.kind == MESSAGE_CONFIG)
		config_offer(control, message.manifest, "peer", now_ms, sink);
	compare_revisions(control, &message, sink);
	if (changed)
		sink->changed(sink);
	strbuf_finish(&storage);
}

bool control_answer_pull(struct control *control, const uint8_t *data,
			 size_t len, struct strbuf *out)
{
	struct message answer = {.kind = MESSAGE_CONFIG};
	struct message pull;
	struct strbuf storage;
	bool good;

	strbuf_init(&storage);
	good = message_decode(&pull, data, len, &storage) &&
	       pull.kind == MESSAGE_PULL;
	strbuf_finish(&storage);
	if (!good) {
		counter_inc(control->counters, COUNTER_CONTROL_DROP_MALFORMED);
		return false;
	}
	answer.manifest = strbuf_str(&control->config.text);
	answer.config_revision = config_store_release(&control->config);
	encode_message(control, &answer, out);
	counter_add(control->counters, COUNTER_CONTROL_BYTES_OUT, out->len);
	return true;
}

void control_pull_failed(struct control *control)
{
	counter_inc(control->counters, COUNTER_CONFIG_PULL_FAILED);
	config_store_end_pull(&control->config);
}

static void sync_call(struct platform_sync_out *out,
		      const struct platform_request *request)
{
	struct sync_out *self = (struct sync_out *)out;

	self->sink->call(self->sink, request);
}

static void sync_config(struct platform_sync_out *out, struct str text)
{
	struct sync_out *self = (struct sync_out *)out;

	config_offer(self->control, text, "platform", self->now_ms, self->sink);
}

static void sync_member(struct platform_sync_out *out,
			const struct member *entry)
{
	struct sync_out *self = (struct sync_out *)out;

	if (take_member(self->control, entry, self->now_ms) == ROSTER_CHANGED)
		self->sink->changed(self->sink);
}

static void sync_out_init(struct sync_out *self, struct control *control,
			  int64_t now_ms, struct control_sink *sink)
{
	self->out.call = sync_call;
	self->out.config = sync_config;
	self->out.member = sync_member;
	self->control = control;
	self->sink = sink;
	self->now_ms = now_ms;
}

static struct platform_view platform_view(const struct control *control)
{
	const struct platform_view view = {
		.roster = &control->roster,
		.release = config_store_release(&control->config),
		.newest = control->config.newest,
	};

	return view;
}

void control_handle_result(struct control *control,
			   const struct platform_result *result, int64_t now_ms,
			   struct control_sink *sink)
{
	const struct platform_view view = platform_view(control);
	struct sync_out self;

	control->now_ms = now_ms;
	sync_out_init(&self, control, now_ms, sink);
	platform_sync_handle_result(&control->platform, result, &view, now_ms,
				    &self.out);
}

static void platform_step(struct control *control, int64_t now_ms,
			  struct control_sink *sink)
{
	const struct platform_view view = platform_view(control);
	struct sync_out self;

	sync_out_init(&self, control, now_ms, sink);
	platform_sync_tick(&control->platform, &view, now_ms, &self.out);
}

static void announce(struct control *control, struct control_sink *sink)
{
	for (int i = 0; i < ANNOUNCE_FANOUT; i++)
		gossip(control, sink);
}

void control_tick(struct control *control, int64_t now_ms,
		  struct control_sink *sink)
{
	control->now_ms = now_ms;
	if (now_ms >= control->next_announce_ms) {
		control->next_announce_ms = now_ms + ANNOUNCE_INTERVAL_MS;
		self_refresh(control, now_ms);
		announce(control, sink);
	}
	if (now_ms >= control->next_gossip_ms) {
		control->next_gossip_ms = now_ms + GOSSIP_INTERVAL_MS;
		gossip(control, sink);
	}
	platform_step(control, now_ms, sink);
	if (config_store_tick(&control->config, now_ms))
		config_changed(control, now_ms, sink);
}

int64_t control_next_deadline(const struct control *control)
{
	int64_t next = MIN(control->next_gossip_ms, control->next_announce_ms);

	next = MIN(next, platform_sync_next_deadline(&control->platform));
	next = MIN(next, config_store_next_deadline(&control->config));
	return next;
}

void control_set_state(struct control *control, enum member_state state,
		       int64_t now_ms, struct control_sink *sink)
{
	control->now_ms = now_ms;
	control->options.self.state = state;
	self_refresh(control, now_ms);
	announce(control, sink);
	sink->changed(sink);
}
