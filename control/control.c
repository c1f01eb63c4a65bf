#include "tarragonflow/control/control.h"

#include <glib.h>
#include <string.h>

#include "tarragonflow/common/log.h"

#define GOSSIP_INTERVAL_MS 200
#define ANNOUNCE_INTERVAL_MS 1000
#define PLATFORM_RETRY_MS 1000
#define PLATFORM_TIMEOUT_MS 3000
#define WATCH_WAIT_MS 20000
#define ANNOUNCE_FANOUT 4

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
	self->config_revision = (uint64_t)control->manifest.release;
	roster_merge(&control->roster, self, now_ms);
}

void control_init(struct control *control,
		  const struct control_options *options,
		  struct counters *counters, int64_t now_ms)
{
	memset(control, 0, sizeof(*control));
	control->options = *options;
	control->counters = counters;
	control->random_state = options->random_seed | 1;
	roster_init(&control->roster);
	manifest_init(&control->manifest);
	strbuf_init(&control->manifest_text);
	control->next_gossip_ms = now_ms;
	control->next_announce_ms = now_ms;
	control->next_platform_ms = now_ms;
	self_refresh(control, now_ms);
}

void control_finish(struct control *control)
{
	roster_finish(&control->roster);
	manifest_finish(&control->manifest);
	strbuf_finish(&control->manifest_text);
}

static void send_message(struct control *control, const struct endpoint *to,
			 struct message *message, struct control_sink *sink)
{
	struct strbuf wire;

	strbuf_init(&wire);
	message->from = control->options.self;
	message_encode(message, &wire);
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
		.manifest = strbuf_str(&control->manifest_text),
		.config_revision = control->manifest.release,
	};

	send_message(control, to, &message, sink);
}

/*
 * Puts @text in force when it is newer than what is. Everything that brings
 * a configuration goes through here, so a release never reverts.
 */
static void config_offer(struct control *control, struct str text,
			 const char *source, int64_t now_ms,
			 struct control_sink *sink)
{
	struct manifest manifest;
	struct status status;

	manifest_init(&manifest);
	status_init(&status);
	if (manifest_parse(&manifest, text, source, &status) != STATUS_OK) {
		counter_inc(control->counters, COUNTER_CONTROL_DROP_MALFORMED);
		manifest_finish(&manifest);
		return;
	}
	if (manifest.release <= control->manifest.release ||
	    !name_equal(&manifest.deployment, &control->options.deployment)) {
		counter_inc(control->counters, COUNTER_CONFIG_OLDER_IGNORED);
		manifest_finish(&manifest);
		return;
	}
	manifest_finish(&control->manifest);
	control->manifest = manifest;
	strbuf_reset(&control->manifest_text);
	strbuf_add(&control->manifest_text, text.data, text.len);
	counter_inc(control->counters, COUNTER_CONFIG_APPLIED);
	log_event(LOG_LEVEL_INFO, "config-applied", "release=%lld source=%s",
		  (long long)manifest.release, source);
	self_refresh(control, now_ms);
	control->next_announce_ms = now_ms;
	sink->changed(sink);
}

/* Whoever is behind learns it from the first message that meets it. */
static void compare_revisions(struct control *control,
			      const struct message *message,
			      struct control_sink *sink)
{
	struct message pull = {.kind = MESSAGE_PULL};
	uint64_t theirs = message->from.config_revision;
	uint64_t ours = (uint64_t)control->manifest.release;

	if (theirs < ours && message->kind != MESSAGE_CONFIG)
		send_config(control, &message->from.control, sink);
	else if (theirs > ours)
		send_message(control, &message->from.control, &pull, sink);
}

static enum roster_change
take_member(struct control *control, const struct member *entry, int64_t now_ms)
{
	struct member *self = &control->options.self;
	enum roster_change change;

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
	strbuf_init(&storage);
	counter_inc(control->counters, COUNTER_CONTROL_IN);
	if (!message_decode(&message, data, len, &storage)) {
		counter_inc(control->counters, COUNTER_CONTROL_DROP_MALFORMED);
		strbuf_finish(&storage);
		return;
	}
	changed = take_member(control, &message.from, now_ms) == ROSTER_CHANGED;
	for (size_t i = 0; i < message.n_members; i++)
		if (take_member(control, &message.members[i], now_ms) ==
		    ROSTER_CHANGED)
			changed = true;
	if (message.kind == MESSAGE_CONFIG)
		config_offer(control, message.manifest, "peer", now_ms, sink);
	compare_revisions(control, &message, sink);
	if (changed)
		sink->changed(sink);
	strbuf_finish(&storage);
}

static void call_platform(struct control *control, enum platform_op op,
			  struct control_sink *sink)
{
	struct platform_request request;
	char key[PLATFORM_KEY_MAX];

	platform_manifest_key(key, &control->options.deployment);
	platform_request_init(&request, op, key);
	request.id = ++control->next_call_id;
	request.version = control->watch_version;
	request.timeout_ms = op == PLATFORM_OP_WATCH ? WATCH_WAIT_MS
						     : PLATFORM_TIMEOUT_MS;
	control->call_pending = true;
	sink->call(sink, &request);
	platform_request_finish(&request);
}

void control_handle_result(struct control *control,
			   const struct platform_result *result, int64_t now_ms,
			   struct control_sink *sink)
{
	control->call_pending = false;
	control->next_platform_ms = now_ms + PLATFORM_RETRY_MS;
	if (result->status.code == STATUS_GONE)
		control->watch_version = 0;
	if (result->status.code != STATUS_OK)
		return;
	if (result->version > control->watch_version)
		control->watch_version = result->version;
	for (size_t i = 0; i < result->n_objects; i++)
		if (!result->objects[i].deleted)
			config_offer(control,
				     strbuf_str(&result->objects[i].value),
				     "platform", now_ms, sink);
	if (control->options.self.role == MEMBER_BALANCER)
		control->next_platform_ms = now_ms;
}

/* Balancers watch; agents ask only while they have nothing. */
static void platform_step(struct control *control, int64_t now_ms,
			  struct control_sink *sink)
{
	if (control->call_pending || now_ms < control->next_platform_ms)
		return;
	if (!control->watch_version)
		call_platform(control, PLATFORM_OP_GET, sink);
	else if (control->options.self.role == MEMBER_BALANCER)
		call_platform(control, PLATFORM_OP_WATCH, sink);
}

static void announce(struct control *control, struct control_sink *sink)
{
	for (int i = 0; i < ANNOUNCE_FANOUT; i++)
		gossip(control, sink);
}

void control_tick(struct control *control, int64_t now_ms,
		  struct control_sink *sink)
{
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
}

int64_t control_next_deadline(const struct control *control)
{
	int64_t next = MIN(control->next_gossip_ms, control->next_announce_ms);

	if (!control->call_pending)
		next = MIN(next, MAX(control->next_platform_ms, next));
	return next;
}

void control_set_state(struct control *control, enum member_state state,
		       int64_t now_ms, struct control_sink *sink)
{
	control->options.self.state = state;
	self_refresh(control, now_ms);
	announce(control, sink);
	sink->changed(sink);
}
