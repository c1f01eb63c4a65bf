#include <glib.h>
#include <string.h>

#include "tarragonflow/control/config_store.h"
#include "tarragonflow/control/platform_sync.h"
#include "tarragonflow/control/watcher_selection.h"
#include "tests/standin/memory_store.h"

/** A platform_sync with an in-memory store, and the calls that it made. */
struct fixture {
	struct platform_sync_callbacks callbacks;
	struct platform_sync sync;
	struct counters counters;
	struct memory_store store;
	struct roster roster;
	/** The last call other than zone calls. */
	struct store_request last_call;
	/** Number of calls other than zone calls, by enum store_op. */
	unsigned int n_calls[5];
	/** The last call for zone orders, which has its own queue. */
	struct store_request last_zones_call;
	unsigned int n_zone_calls;
	unsigned int n_cancelled;
	/** Version and start of the last watch of the manifest, ms. */
	int64_t watch_version, watch_started_ms;
	struct zone_orders orders;
	bool orders_are_full_list;
	uint64_t orders_version;
	unsigned int manifests_delivered, members_delivered;
	int64_t now_ms;
	/** This many writes take effect, but their responses are lost. */
	int responses_to_lose;
	bool unreachable;
};

static void record_call(struct platform_sync_callbacks *callbacks,
			const struct store_request *request)
{
	struct fixture *fixture = (struct fixture *)callbacks;

	if (request->queue == STORE_QUEUE_ZONES) {
		fixture->n_zone_calls++;
		fixture->last_zones_call = *request;
		return;
	}
	fixture->n_calls[request->op]++;
	if (request->op == STORE_OP_WATCH) {
		fixture->watch_version = request->version;
		fixture->watch_started_ms = fixture->now_ms;
	}
	store_request_finish(&fixture->last_call);
	fixture->last_call = *request;
	strbuf_init(&fixture->last_call.value);
	strbuf_add(&fixture->last_call.value, request->value.data,
		   request->value.len);
}

static void count_cancelled(struct platform_sync_callbacks *callbacks,
			    enum store_queue queue, uint64_t id)
{
	(void)queue;
	(void)id;
	((struct fixture *)callbacks)->n_cancelled++;
}

static void record_config(struct platform_sync_callbacks *callbacks,
			  struct str text)
{
	(void)text;
	((struct fixture *)callbacks)->manifests_delivered++;
}

static void record_zones(struct platform_sync_callbacks *callbacks,
			 const struct zone_orders_update *update)
{
	struct fixture *fixture = (struct fixture *)callbacks;

	fixture->orders = update->orders;
	fixture->orders_are_full_list = update->is_full_list;
	fixture->orders_version = update->version;
}

static void record_member(struct platform_sync_callbacks *callbacks,
			  const struct member *entry)
{
	struct fixture *fixture = (struct fixture *)callbacks;

	fixture->members_delivered++;
	roster_merge(&fixture->roster, entry, fixture->now_ms);
}

static void add_member(struct roster *roster, const char *name,
		       enum member_role role, enum member_state state)
{
	struct member member = {.role = role, .state = state, .instance = 5};

	g_assert_true(name_set(&member.name, str_from(name)));
	g_assert_true(name_set(&member.zone, str_from("z")));
	if (role == MEMBER_AGENT)
		g_assert_true(name_set(&member.service, str_from("orders")));
	member.data = member.control = member.admin =
		(struct endpoint){0x7f000001, 4701};
	roster_merge(roster, &member, 0);
}

static void fixture_init_with(struct fixture *fixture, enum member_role role,
			      bool strong_reads, uint64_t seed)
{
	struct platform_sync_options options = {
		.role = role,
		.random_seed = seed,
		.strong_reads = strong_reads,
	};

	memset(fixture, 0, sizeof(*fixture));
	fixture->callbacks.start_call = record_call;
	fixture->callbacks.cancel_call = count_cancelled;
	fixture->callbacks.deliver_config = record_config;
	fixture->callbacks.deliver_zone_orders = record_zones;
	fixture->callbacks.deliver_member = record_member;
	fixture->now_ms = 1000;
	name_set(&options.deployment, str_from("d"));
	name_set(&options.name, str_from("self"));
	name_set(&options.zone, str_from("z"));
	counters_init(&fixture->counters);
	memory_store_init(&fixture->store);
	roster_init(&fixture->roster);
	add_member(&fixture->roster, "self", role, MEMBER_ACTIVE);
	platform_sync_init(&fixture->sync, &options, &fixture->counters,
			   fixture->now_ms);
}

static void fixture_init(struct fixture *fixture, enum member_role role)
{
	fixture_init_with(fixture, role, false, 7);
}

/* An agent whose roster has four balancers and four other agents, all in one
 * zone. */
static void fixture_init_fleet(struct fixture *fixture)
{
	fixture_init_with(fixture, MEMBER_AGENT, true, 7);
	for (int i = 0; i < 8; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "m%d", i);
		add_member(&fixture->roster, name,
			   i % 2 ? MEMBER_AGENT : MEMBER_BALANCER,
			   MEMBER_ACTIVE);
	}
}

static void fixture_finish(struct fixture *fixture)
{
	platform_sync_finish(&fixture->sync);
	store_request_finish(&fixture->last_call);
	memory_store_finish(&fixture->store);
	roster_finish(&fixture->roster);
}

static struct platform_view fixture_view(const struct fixture *fixture)
{
	const struct platform_view view = {
		.roster = &fixture->roster,
		.release = 1,
		.newest_release = 1,
		.oldest_order_epoch = UINT64_MAX,
	};

	return view;
}

static void respond_to_last_call(struct fixture *fixture)
{
	const struct platform_view view = fixture_view(fixture);
	struct store_request request = fixture->last_call;
	struct store_result result;

	if (fixture->unreachable) {
		store_result_init(&result, &request);
		status_set(&result.status, STATUS_UNAVAILABLE, "down");
	} else {
		memory_store_apply(&fixture->store, &request, &result);
	}
	if (request.op == STORE_OP_PUT && fixture->responses_to_lose > 0) {
		fixture->responses_to_lose--;
		status_set(&result.status, STATUS_UNKNOWN, "lost");
	}
	strbuf_init(&fixture->last_call.value);
	platform_sync_handle_result(&fixture->sync, &result, &view,
				    fixture->now_ms, &fixture->callbacks);
	store_result_finish(&result);
	strbuf_finish(&request.value);
}

/* Runs for @ms; responds at once to every call except a watch that waits. */
static void fixture_run(struct fixture *fixture, int64_t ms)
{
	const struct platform_view view = fixture_view(fixture);
	int64_t end_ms = fixture->now_ms + ms;
	uint64_t last_responded_id = fixture->sync.last_request_id;

	for (; fixture->now_ms < end_ms; fixture->now_ms += 10) {
		platform_sync_tick(&fixture->sync, &view, fixture->now_ms,
				   &fixture->callbacks);
		while (fixture->sync.last_request_id > last_responded_id) {
			last_responded_id = fixture->sync.last_request_id;
			if (fixture->last_call.op != STORE_OP_WATCH ||
			    fixture->unreachable ||
			    fixture->last_call.version <
				    fixture->store.history_from)
				respond_to_last_call(fixture);
		}
	}
}

static uint64_t counter_value(const struct fixture *fixture, enum counter_id id)
{
	return counter_get(&fixture->counters, id);
}

static void put_object(struct fixture *fixture, const char *key,
		       int64_t version, const char *value)
{
	struct store_request request;
	struct store_result result;

	store_request_init(&request, STORE_OP_PUT, key);
	request.version = version;
	strbuf_add(&request.value, value, strlen(value));
	memory_store_apply(&fixture->store, &request, &result);
	g_assert_cmpint(result.status.code, ==, STATUS_OK);
	store_result_finish(&result);
	store_request_finish(&request);
}

static void test_watch_and_gone(void)
{
	struct fixture fixture;

	fixture_init(&fixture, MEMBER_AGENT);
	put_object(&fixture, "tarragonflow/d/manifest", 0, "{\"release\":1}");
	fixture_run(&fixture, 1500);
	g_assert_cmpuint(fixture.n_calls[STORE_OP_WATCH], ==, 1);
	g_assert_cmpint(fixture.sync.watch_version, ==, fixture.store.version);
	/* The store drops the history that the next watch needs. */
	put_object(&fixture, "tarragonflow/d/other", 0, "x");
	memory_store_drop_history(&fixture.store);
	fixture_run(&fixture, 20000);
	g_assert_cmpuint(counter_value(&fixture, COUNTER_PLATFORM_RETRY_GONE),
			 ==, 1);
	g_assert_cmpint(fixture.sync.watch_version, ==, fixture.store.version);
	g_assert_cmpuint(fixture.manifests_delivered, >, 1);
	fixture_finish(&fixture);
}

static void test_backoff_while_unreachable(void)
{
	struct fixture fixture;
	unsigned int n_calls = 0;

	fixture_init(&fixture, MEMBER_BALANCER);
	fixture.unreachable = true;
	fixture_run(&fixture, 60000);
	for (size_t i = 0; i < G_N_ELEMENTS(fixture.n_calls); i++)
		n_calls += fixture.n_calls[i];
	g_assert_cmpuint(n_calls, >=, 20);
	g_assert_cmpuint(n_calls, <=, 120);
	g_assert_cmpuint(
		counter_value(&fixture, COUNTER_PLATFORM_RETRY_NO_RESPONSE), ==,
		n_calls);
	fixture_finish(&fixture);
}

static void test_shard_written_once(void)
{
	static const int lost_responses[] = {0, 1, 2};

	for (size_t i = 0; i < G_N_ELEMENTS(lost_responses); i++) {
		struct fixture fixture;

		fixture_init(&fixture, MEMBER_BALANCER);
		fixture.responses_to_lose = lost_responses[i];
		fixture_run(&fixture, 20000);
		/* A write whose response was lost is recognized, not repeated.
		 */
		g_assert_cmpuint(fixture.n_calls[STORE_OP_PUT], ==, 1);
		g_assert_cmpuint(
			counter_value(&fixture,
				      COUNTER_PLATFORM_WRITE_CONFIRMED),
			==, lost_responses[i] ? 1 : 0);
		fixture_finish(&fixture);
	}
}

/* Copies the name of the first member "orders-N" of @shard, N at least @number,
 * to @text. Returns N. */
static int find_name_in_shard(unsigned int shard, int number, char *text,
			      size_t size)
{
	struct name name;

	do {
		g_snprintf(text, size, "orders-%d", number++);
		name_set(&name, str_from(text));
	} while (roster_shard_of(&name) != shard);
	return number - 1;
}

static void test_shard_merges(void)
{
	struct fixture fixture;
	struct roster stored, other;
	struct strbuf value;
	char key[STORE_KEY_MAX], name[32];
	unsigned int shard;
	struct name self, deployment;

	fixture_init(&fixture, MEMBER_BALANCER);
	name_set(&self, str_from("self"));
	name_set(&deployment, str_from("d"));
	shard = roster_shard_of(&self);
	roster_init(&stored);
	roster_init(&other);
	strbuf_init(&value);
	/* Another writer added a member to the shard of "self". */
	find_name_in_shard(shard, 0, name, sizeof(name));
	add_member(&other, name, MEMBER_AGENT, MEMBER_ACTIVE);
	roster_shard_format(&other, &value);
	roster_shard_key(key, &deployment, shard);
	put_object(&fixture, key, 0, value.data);
	fixture_run(&fixture, 20000);
	g_assert_cmpuint(fixture.members_delivered, >=, 1);
	g_assert_nonnull(roster_find(&fixture.roster, &other.members[0].name));
	strbuf_reset(&value);
	strbuf_add(&value, fixture.last_call.value.data,
		   fixture.last_call.value.len);
	g_assert_cmpuint(fixture.n_calls[STORE_OP_PUT], ==, 1);
	fixture_finish(&fixture);
	roster_finish(&stored);
	roster_finish(&other);
	strbuf_finish(&value);
}

/* An entry in the store's copy of the roster, with one field replaced. */
#define ENTRY(name, state, instance, sequence, connections, data)             \
	"{\"name\":" name ",\"zone\":\"z\",\"service\":\"orders\",\"role\":2" \
	",\"state\":" state ",\"instance\":" instance                         \
	",\"sequence\":" sequence ",\"connections\":" connections             \
	",\"slots\":5,\"data\":" data                                         \
	",\"control\":\"10.0.0.9:2\",\"admin\":\"10.0.0.9:3\"}"
#define DATA "\"10.0.0.9:1\""
#define DEEP                                       \
	"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[" \
	"]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]"
#define LARGE "99999999999999999999"

/* Parses the shard @key in the store into @out; false if an entry is not valid.
 */
static bool read_stored_shard(struct fixture *fixture, const char *key,
			      struct roster *out)
{
	struct store_request request;
	struct store_result result;
	bool valid;

	store_request_init(&request, STORE_OP_GET, key);
	memory_store_apply(&fixture->store, &request, &result);
	g_assert_cmpuint(result.n_objects, ==, 1);
	valid = roster_shard_parse(strbuf_str(&result.objects[0].value), out);
	store_result_finish(&result);
	store_request_finish(&request);
	return valid;
}

/*
 * Guards against the loss of members because another writer left an odd entry
 * beside them in the store: processes that know only the store must learn the
 * others, and a balancer that updates the shard must keep them.
 */
static void test_odd_entry_in_roster(void)
{
	static const char *const odd_entries[] = {
		ENTRY("\"odd\"", "1", DEEP, "1", "9", DATA),
		ENTRY("\"odd\"", "1", LARGE, "1", "9", DATA),
		ENTRY("\"odd\"", "1", "1e999", "1", "9", DATA),
		ENTRY("\"odd\"", "1", "9223372036854775807", "1", "9", DATA),
		ENTRY("\"odd\"", "1", "1", "9223372036854775807", "9", DATA),
		ENTRY("\"odd\"", "1", "1", "1", "4294967296", DATA),
		ENTRY("\"odd\"", "1", "1", "1", "-1", DATA),
		ENTRY("\"odd\"", "9", "1", "1", "9", DATA),
		ENTRY("\"odd\"", "\"ready\"", "1", "1", "9", DATA),
		ENTRY("\"odd\"", "1", "1", "1", "9", "\"10.0.0.9:65536\""),
		ENTRY("\"odd\"", "1", "1", "1", "9", "\"10.0.0.9:0\""),
		ENTRY("\"odd\"", "1", "1", "1", "9",
		      "\"10.0.0.9:99999999999\""),
		ENTRY("\"odd\"", "1", "1", "1", "9", "8080"),
		ENTRY("\"\xff\"", "1", "1", "1", "9", DATA),
		ENTRY("\"Odd\"", "1", "1", "1", "9", DATA),
		ENTRY("[]", "1", "1", "1", "9", DATA),
		"{}",
		"7",
		"\"odd\"",
		DEEP,
	};
	char key[STORE_KEY_MAX], before[32], after[32];
	struct name self, deployment, odd;
	int number;

	name_set(&self, str_from("self"));
	name_set(&deployment, str_from("d"));
	name_set(&odd, str_from("odd"));
	roster_shard_key(key, &deployment, roster_shard_of(&self));
	number = find_name_in_shard(roster_shard_of(&self), 0, before,
				    sizeof(before));
	find_name_in_shard(roster_shard_of(&self), number + 1, after,
			   sizeof(after));
	for (size_t i = 0; i < G_N_ELEMENTS(odd_entries); i++) {
		/* The process reads the roster by a list, or the shard in order
		 * to write it. */
		for (int writes = 0; writes < 2; writes++) {
			char *text = g_strdup_printf(
				"{\"members\":[" ENTRY(
					"\"%s\"", "1", "5", "1", "9",
					DATA) ",%s," ENTRY("\"%s\"", "1", "5",
							   "1", "9", DATA) "]}",
				before, odd_entries[i], after);
			struct roster written;
			struct fixture fixture;

			g_test_message("entry %zu, writes %d", i, writes);
			fixture_init_with(&fixture,
					  writes ? MEMBER_BALANCER
						 : MEMBER_AGENT,
					  !writes, 7);
			put_object(&fixture, key, 0, text);
			fixture_run(&fixture, 20000);
			g_assert_cmpuint(fixture.roster.n, ==, 3);
			g_assert_null(roster_find(&fixture.roster, &odd));
			g_assert_false(fixture.sync.full_roster_received);
			if (writes) {
				g_assert_cmpuint(fixture.n_calls[STORE_OP_PUT],
						 ==, 1);
				roster_init(&written);
				g_assert_true(read_stored_shard(&fixture, key,
								&written));
				g_assert_cmpuint(written.n, ==, 3);
				roster_finish(&written);
			}
			fixture_finish(&fixture);
			g_free(text);
		}
	}
}

/* A shard that can't be read at all is written anew, and stops no other. */
static void test_unreadable_shard(void)
{
	static const char *const values[] = {
		"", "7", "{", "{\"members\":{}}", "{\"members\":[1,]}", "\xff"};
	struct name self, deployment;
	char key[STORE_KEY_MAX];

	name_set(&self, str_from("self"));
	name_set(&deployment, str_from("d"));
	roster_shard_key(key, &deployment, roster_shard_of(&self));
	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		struct roster written;
		struct fixture fixture;

		fixture_init(&fixture, MEMBER_BALANCER);
		put_object(&fixture, key, 0, values[i]);
		fixture_run(&fixture, 20000);
		g_assert_cmpuint(fixture.n_calls[STORE_OP_PUT], ==, 1);
		roster_init(&written);
		g_assert_true(read_stored_shard(&fixture, key, &written));
		g_assert_nonnull(roster_find(&written, &self));
		roster_finish(&written);
		fixture_finish(&fixture);
	}
}

static void test_tombstones_expire(void)
{
	struct fixture fixture;

	fixture_init(&fixture, MEMBER_BALANCER);
	add_member(&fixture.roster, "orders-9", MEMBER_AGENT, MEMBER_LEFT);
	fixture_run(&fixture, 20000);
	g_assert_cmpuint(fixture.n_calls[STORE_OP_PUT], ==, 2);
	fixture_run(&fixture, ROSTER_TOMBSTONE_MS);
	g_assert_cmpuint(fixture.n_calls[STORE_OP_PUT], ==, 3);
	g_assert_cmpstr(fixture.last_call.key, !=, "");
	fixture_finish(&fixture);
}

static void test_watcher_selection(void)
{
	static const struct {
		enum member_state state;
		size_t watchers;
	} cases[] = {
		{MEMBER_ACTIVE, WATCHERS_PER_ZONE},
		{MEMBER_DRAINING, WATCHERS_PER_ZONE},
		/* Departed members are not ranked: each would be selected. */
		{MEMBER_LEFT, 8},
	};
	char name[32];

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct roster roster;
		size_t selected = 0;

		roster_init(&roster);
		for (int j = 0; j < 8; j++) {
			g_snprintf(name, sizeof(name), "orders-%d", j);
			add_member(&roster, name, MEMBER_AGENT, cases[i].state);
		}
		for (size_t j = 0; j < roster.n; j++)
			selected += watcher_is_selected(
				&roster, &roster.members[j].name,
				&roster.members[j].zone);
		g_assert_cmpuint(selected, ==, cases[i].watchers);
		roster_finish(&roster);
	}
}

/** A release offered to a process that starts at 0 ms, and the release that is
 * then in force. */
struct release_step {
	int64_t at_ms;
	/** Release of the previous run as peers report it; 0 for none. */
	int64_t previous_release;
	/** 0: none is offered. */
	int64_t offered_release;
	int64_t expected_release;
};

static void run_release_steps(const struct release_step *steps, size_t n)
{
	struct counters counters;
	struct config_store store;
	struct name deployment;
	char text[256];

	counters_init(&counters);
	name_set(&deployment, str_from("d"));
	config_store_init(&store, &deployment, &counters, 0);
	for (size_t i = 0; i < n; i++) {
		config_store_record_previous_release(
			&store, (uint64_t)steps[i].previous_release);
		g_snprintf(text, sizeof(text),
			   "{\"deployment\":\"d\",\"release\":%d,"
			   "\"zones\":[],\"services\":[]}",
			   (int)steps[i].offered_release);
		if (steps[i].offered_release)
			config_store_offer(&store, str_from(text),
					   CONFIG_FROM_PEER, steps[i].at_ms);
		config_store_tick(&store, steps[i].at_ms);
		g_assert_cmpint(config_store_release(&store), ==,
				steps[i].expected_release);
	}
	config_store_finish(&store);
}

static void test_never_reverts(void)
{
	/* Older and equal releases change nothing. */
	static const struct release_step steps_while_running[] = {
		{500, 0, 3, 3},
		{600, 0, 2, 3},
		{700, 0, 3, 3},
		{800, 0, 4, 4},
	};
	/* A starting process waits first, then applies the newest release. */
	static const struct release_step steps_at_start[] = {
		{10, 0, 3, 0},
		{20, 0, 5, 0},
		{30, 0, 4, 0},
		{400, 0, 0, 5},
	};
	/* Peers report that 5 was in force before: 4 would be a revert. */
	static const struct release_step steps_after_restart[] = {
		{10, 4, 4, 0},
		{20, 5, 0, 0},
		{900, 0, 4, 0},
		{950, 0, 5, 5},
	};

	run_release_steps(steps_while_running,
			  G_N_ELEMENTS(steps_while_running));
	run_release_steps(steps_at_start, G_N_ELEMENTS(steps_at_start));
	run_release_steps(steps_after_restart,
			  G_N_ELEMENTS(steps_after_restart));
}

static void advance_and_tick(struct fixture *fixture, int64_t ms)
{
	const struct platform_view view = fixture_view(fixture);

	fixture->now_ms += ms;
	platform_sync_tick(&fixture->sync, &view, fixture->now_ms,
			   &fixture->callbacks);
}

/** One object of zone tas-a in a response; version 0 ends the list. */
struct zone_event {
	int64_t version;
	bool deleted;
};

#define ZONE_EVENTS_MAX 4

static void respond_to_zones_call(struct fixture *fixture,
				  enum status_code code, int64_t version,
				  const struct zone_event *events)
{
	const struct platform_view view = fixture_view(fixture);
	struct store_result result;

	store_result_init(&result, &fixture->last_zones_call);
	result.status.code = code;
	result.version = version;
	for (size_t i = 0; i < ZONE_EVENTS_MAX && events[i].version; i++)
		store_result_add(&result, "tarragonflow/d/zones/tas-a",
				 events[i].version, str_from("{}"))
			->deleted = events[i].deleted;
	platform_sync_handle_result(&fixture->sync, &result, &view,
				    fixture->now_ms, &fixture->callbacks);
	store_result_finish(&result);
}

static void respond_with_zone(struct fixture *fixture, enum status_code code,
			      int64_t version, const char *zone, bool deleted)
{
	const struct zone_event events[ZONE_EVENTS_MAX] = {
		{zone ? version - 1 : 0, deleted},
	};

	respond_to_zones_call(fixture, code, version, events);
}

/*
 * Zone orders are listed, then watched from the version of the list, and listed
 * again when the store no longer has that version.
 */
static void test_zone_orders(void)
{
	struct fixture fixture;
	struct name zone;

	name_set(&zone, str_from("tas-a"));
	fixture_init(&fixture, MEMBER_BALANCER);
	advance_and_tick(&fixture, 500);
	g_assert_cmpuint(fixture.n_zone_calls, ==, 1);
	g_assert_cmpint(fixture.last_zones_call.op, ==, STORE_OP_LIST);
	respond_with_zone(&fixture, STATUS_OK, 12, "tas-a", false);
	g_assert_true(fixture.orders_are_full_list);
	g_assert_cmpuint(fixture.orders_version, ==, 12);
	g_assert_true(zone_orders_is_out_of_service(&fixture.orders, &zone));
	advance_and_tick(&fixture, 10);
	g_assert_cmpint(fixture.last_zones_call.op, ==, STORE_OP_WATCH);
	g_assert_cmpint(fixture.last_zones_call.version, ==, 12);
	respond_with_zone(&fixture, STATUS_OK, 20, "tas-a", true);
	g_assert_false(fixture.orders_are_full_list);
	g_assert_cmpuint(fixture.orders.n, ==, 1);
	/* The deletion has the deleted object's version, so that a later
	 * order, up to the store's version, is newer. */
	g_assert_cmpuint(fixture.orders.entries[0].version, ==, 19);
	g_assert_false(zone_orders_is_out_of_service(&fixture.orders, &zone));
	advance_and_tick(&fixture, 10);
	respond_with_zone(&fixture, STATUS_GONE, 0, NULL, false);
	advance_and_tick(&fixture, 1000);
	g_assert_cmpint(fixture.last_zones_call.op, ==, STORE_OP_LIST);
	fixture_finish(&fixture);
}

/*
 * A zone is put out of service, back in service and out of service again
 * between two responses of the watch. The last order must win, whether the
 * changes arrive in one response or in several, in any order, or from peers
 * first.
 */
static void test_zone_order_renewed(void)
{
	static const struct {
		/** Order received from a peer before; version 0: none. */
		struct zone_event peer;
		struct zone_event responses[2][ZONE_EVENTS_MAX];
		bool out;
	} cases[] = {
		{{0}, {{{14, true}, {15, false}}}, true},
		{{0}, {{{15, false}, {14, true}}}, true},
		{{0}, {{{13, true}, {15, false}}}, true},
		{{0}, {{{13, false}, {13, true}, {15, false}}}, true},
		{{0}, {{{15, false}, {13, true}, {13, false}}}, true},
		{{0}, {{{13, true}}, {{15, false}}}, true},
		{{0}, {{{15, false}}, {{15, true}}}, false},
		{{0}, {{{15, false}}, {{16, true}}}, false},
		{{0}, {{{15, false}, {15, true}}}, false},
		{{0}, {{{15, true}, {15, false}}}, false},
		/* A peer sent the renewed order before the deletion came. */
		{{15, false}, {{{13, true}}}, true},
		{{15, false}, {{{14, true}}}, true},
		{{13, false}, {{{13, true}}}, false},
		{{13, false}, {{{14, true}}}, false},
	};
	struct name zone;

	name_set(&zone, str_from("tas-a"));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct zone_orders merged = {0};
		struct zone_order peer = {
			.zone = zone,
			.version = (uint64_t)cases[i].peer.version,
			.out = true,
		};
		struct fixture fixture;

		if (peer.version)
			zone_orders_merge(&merged, &peer);
		fixture_init(&fixture, MEMBER_BALANCER);
		advance_and_tick(&fixture, 500);
		respond_with_zone(&fixture, STATUS_OK, 12, NULL, false);
		for (size_t j = 0; j < G_N_ELEMENTS(cases[i].responses); j++) {
			if (!cases[i].responses[j][0].version)
				continue;
			advance_and_tick(&fixture, 10);
			g_assert_cmpint(fixture.last_zones_call.op, ==,
					STORE_OP_WATCH);
			respond_to_zones_call(&fixture, STATUS_OK,
					      20 + (int64_t)j,
					      cases[i].responses[j]);
			for (size_t k = 0; k < fixture.orders.n; k++)
				zone_orders_merge(&merged,
						  &fixture.orders.entries[k]);
		}
		g_test_message("case %zu", i);
		g_assert_cmpint(zone_orders_is_out_of_service(&merged, &zone),
				==, cases[i].out);
		fixture_finish(&fixture);
	}
}

/* With strong_reads, a process calls at its start, selected or not. */
static void test_calls_at_start(void)
{
	struct fixture fixture;

	fixture_init_with(&fixture, MEMBER_AGENT, true, 7);
	for (int i = 0; i < 8; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "m%d", i);
		add_member(&fixture.roster, name, MEMBER_AGENT, MEMBER_ACTIVE);
	}
	advance_and_tick(&fixture, 40);
	g_assert_cmpuint(fixture.n_calls[STORE_OP_LIST], ==, 1);
	g_assert_cmpuint(fixture.n_zone_calls, ==, 1);
	fixture_finish(&fixture);
}

/*
 * Every process calls at its start. While peers report that watchers reach the
 * platform, only the selected processes of a zone continue to watch.
 */
static void test_only_selected_watch(void)
{
	const struct store_contact_ages ages = {100, 100, STORE_AGE_NEVER};
	struct fixture fixture;
	unsigned int n_watch_calls;

	fixture_init_fleet(&fixture);
	platform_sync_merge_ages(&fixture.sync, &ages, fixture.now_ms);
	fixture_run(&fixture, 1500);
	g_assert_false(fixture.sync.selected);
	g_assert_cmpuint(fixture.n_calls[STORE_OP_LIST], >=, 1);
	/* A start makes three lists, and no watch while others watch. */
	g_assert_cmpuint(fixture.n_calls[STORE_OP_LIST], <=, 2);
	g_assert_cmpuint(fixture.n_calls[STORE_OP_WATCH], ==, 0);
	g_assert_cmpuint(fixture.n_zone_calls, ==, 1);
	n_watch_calls = fixture.n_calls[STORE_OP_WATCH] + fixture.n_zone_calls;
	for (int i = 0; i < 40; i++) {
		platform_sync_merge_ages(&fixture.sync, &ages, fixture.now_ms);
		fixture_run(&fixture, 500);
		g_assert_false(
			platform_sync_watches(&fixture.sync, fixture.now_ms));
	}
	g_assert_cmpuint(fixture.n_calls[STORE_OP_WATCH] + fixture.n_zone_calls,
			 ==, n_watch_calls);
	fixture_finish(&fixture);
}

static void respond_with_status(struct fixture *fixture, uint64_t id,
				enum store_op op, enum status_code code)
{
	const struct platform_view view = fixture_view(fixture);
	struct store_result result = {.id = id, .op = op};

	status_init(&result.status);
	result.status.code = code;
	platform_sync_handle_result(&fixture->sync, &result, &view,
				    fixture->now_ms, &fixture->callbacks);
}

/* Runs until the watch of the manifest waits, for 6 s at most. */
static void run_until_watch(struct fixture *fixture)
{
	for (int i = 0; i < 600; i++) {
		if (fixture->sync.watch_call.task == TASK_WATCH)
			return;
		fixture_run(fixture, 10);
	}
	g_assert_not_reached();
}

/*
 * A watch fails; while the manifest is read, the repeated watch gets GONE. The
 * manifest must then be listed, whichever response is the first.
 */
static void test_watch_not_resumed(void)
{
	static const bool gone_first[] = {false, true};

	for (size_t i = 0; i < G_N_ELEMENTS(gone_first); i++) {
		struct platform_sync *sync;
		struct fixture fixture;
		uint64_t watch_id, read_id;

		fixture_init_with(&fixture, MEMBER_AGENT, true, 7);
		put_object(&fixture, "tarragonflow/d/manifest", 0, "{}");
		sync = &fixture.sync;
		run_until_watch(&fixture);
		respond_with_status(&fixture, sync->watch_call.id,
				    STORE_OP_WATCH, STATUS_UNAVAILABLE);
		while (sync->watch_call.task == TASK_NONE)
			advance_and_tick(&fixture, 10);
		watch_id = sync->watch_call.id;
		read_id = sync->config_call.id;
		g_assert_cmpint(sync->config_call.task, ==, TASK_READ_CONFIG);
		if (gone_first[i])
			respond_with_status(&fixture, watch_id, STORE_OP_WATCH,
					    STATUS_GONE);
		respond_with_status(&fixture, read_id, STORE_OP_GET, STATUS_OK);
		if (!gone_first[i])
			respond_with_status(&fixture, watch_id, STORE_OP_WATCH,
					    STATUS_GONE);
		run_until_watch(&fixture);
		fixture_finish(&fixture);
	}
}

/* Serves the manifest's call that is in progress, if any: a watch when the
 * store has changes for it, rejects its version, or the wait has ended. */
static void serve_manifest_call(struct fixture *fixture,
				const struct platform_call *call)
{
	static const enum store_op ops[] = {
		[TASK_WATCH] = STORE_OP_WATCH,
		[TASK_LIST_CONFIG] = STORE_OP_LIST,
		[TASK_READ_CONFIG] = STORE_OP_GET,
	};
	const struct platform_view view = fixture_view(fixture);
	struct store_request request;
	struct store_result result;

	if (call->task == TASK_NONE || fixture->unreachable)
		return;
	store_request_init(&request, ops[call->task],
			   "tarragonflow/d/manifest");
	request.id = call->id;
	request.version = fixture->watch_version;
	memory_store_apply(&fixture->store, &request, &result);
	if (call->task != TASK_WATCH || result.n_objects ||
	    result.status.code != STATUS_OK ||
	    fixture->now_ms - fixture->watch_started_ms >= 3000)
		platform_sync_handle_result(&fixture->sync, &result, &view,
					    fixture->now_ms,
					    &fixture->callbacks);
	store_result_finish(&result);
}

static void run_with_watches(struct fixture *fixture, int64_t ms)
{
	for (int64_t end_ms = fixture->now_ms + ms; fixture->now_ms < end_ms;) {
		fixture_run(fixture, 10);
		serve_manifest_call(fixture, &fixture->sync.config_call);
		serve_manifest_call(fixture, &fixture->sync.watch_call);
	}
}

static int64_t manifest_version(struct fixture *fixture)
{
	struct store_request request;
	struct store_result result;
	int64_t version;

	store_request_init(&request, STORE_OP_GET, "tarragonflow/d/manifest");
	memory_store_apply(&fixture->store, &request, &result);
	version = result.version;
	store_result_finish(&result);
	return version;
}

static void put_manifests(struct fixture *fixture, int n, int64_t gap_ms)
{
	for (int i = 0; i < n; i++) {
		put_object(fixture, "tarragonflow/d/manifest",
			   manifest_version(fixture), "{}");
		run_with_watches(fixture, gap_ms);
	}
}

/*
 * The store is restored from an older copy. The manifest written before and
 * after must be delivered within the time in which a release comes into force,
 * whatever the store's versions are then.
 */
static void test_release_ignored_after_restore(void)
{
	static const struct {
		const char *name;
		/** Manifests written after the copy was taken. */
		int lost;
		/** How long the store is down; 0: the watch just goes on. */
		int64_t down_ms;
		/** Manifests written again before the process is served. */
		int rewritten;
		/** Other objects written before the process is served. */
		int other_writes;
	} cases[] = {
		{"versions below", 3, 500, 1, 0},
		{"version equal", 1, 500, 0, 0},
		{"version equal, rewritten", 1, 500, 1, 0},
		{"versions above", 1, 500, 1, 20},
		{"versions above, nothing rewritten", 1, 500, 0, 20},
		{"watch not cut, versions below", 2, 0, 1, 0},
		{"watch not cut, versions above", 1, 0, 1, 20},
		{"nothing lost", 0, 500, 0, 0},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct memory_store backup;
		struct fixture fixture;
		unsigned int n_delivered;

		fixture_init_with(&fixture, MEMBER_AGENT, true, 7 + i);
		memory_store_init(&backup);
		put_object(&fixture, "tarragonflow/d/manifest", 0, "{}");
		run_until_watch(&fixture);
		memory_store_copy(&fixture.store, &backup);
		put_manifests(&fixture, cases[i].lost, 500);
		run_until_watch(&fixture);
		if (cases[i].down_ms) {
			fixture.unreachable = true;
			respond_with_status(&fixture,
					    fixture.sync.watch_call.id,
					    STORE_OP_WATCH, STATUS_UNAVAILABLE);
			fixture_run(&fixture, cases[i].down_ms);
			fixture.unreachable = false;
		}
		memory_store_restore(&fixture.store, &backup);
		for (int j = 0; j < cases[i].other_writes; j++)
			put_object(&fixture, "other",
				   j ? fixture.store.version : 0, "x");
		n_delivered = fixture.manifests_delivered;
		put_manifests(&fixture, cases[i].rewritten, 0);
		run_with_watches(&fixture, 3000);
		g_test_message("%s", cases[i].name);
		g_assert_cmpuint(fixture.manifests_delivered, >, n_delivered);
		n_delivered = fixture.manifests_delivered;
		put_manifests(&fixture, 1, 1000);
		g_assert_cmpuint(fixture.manifests_delivered, ==,
				 n_delivered + 1);
		memory_store_finish(&backup);
		fixture_finish(&fixture);
	}
}

/*
 * The store is restored while a watch from a greater version waits, and no call
 * notices it. A peer's report of the new epoch must start a list at once;
 * repeated or wrong reports must not start more.
 */
static void test_restore_unnoticed(void)
{
	struct memory_store backup;
	struct fixture fixture;
	unsigned int n_delivered, n_lists;

	fixture_init_with(&fixture, MEMBER_AGENT, true, 7);
	memory_store_init(&backup);
	put_object(&fixture, "tarragonflow/d/manifest", 0, "{}");
	run_until_watch(&fixture);
	memory_store_copy(&fixture.store, &backup);
	for (int i = 0; i < 20; i++)
		put_object(&fixture, "other", i ? fixture.store.version : 0,
			   "x");
	put_manifests(&fixture, 1, 500);
	run_until_watch(&fixture);
	memory_store_restore(&fixture.store, &backup);
	put_manifests(&fixture, 1, 0);
	for (int i = 0; i < 25; i++)
		put_object(&fixture, "other", i ? fixture.store.version : 0,
			   "x");
	n_delivered = fixture.manifests_delivered;
	platform_sync_merge_epoch(&fixture.sync, fixture.store.epoch);
	run_with_watches(&fixture, 100);
	g_assert_cmpuint(fixture.manifests_delivered, ==, n_delivered + 1);
	g_assert_cmpuint(fixture.n_cancelled, >, 0);
	n_lists = fixture.n_calls[STORE_OP_LIST];
	for (int i = 0; i < 20; i++) {
		platform_sync_merge_epoch(&fixture.sync, i < 10 ? 2 : 9);
		run_with_watches(&fixture, 100);
	}
	g_assert_cmpuint(fixture.n_calls[STORE_OP_LIST], <=, n_lists + 2);
	n_delivered = fixture.manifests_delivered;
	put_manifests(&fixture, 1, 1000);
	g_assert_cmpuint(fixture.manifests_delivered, ==, n_delivered + 1);
	memory_store_finish(&backup);
	fixture_finish(&fixture);
}

static bool store_has_member(struct fixture *fixture, const char *text)
{
	struct store_request request;
	struct store_result result;
	struct roster stored;
	struct name name, deployment;
	bool found;

	name_set(&name, str_from(text));
	name_set(&deployment, str_from("d"));
	store_request_init(&request, STORE_OP_GET, "");
	roster_shard_key(request.key, &deployment, roster_shard_of(&name));
	memory_store_apply(&fixture->store, &request, &result);
	roster_init(&stored);
	if (result.n_objects)
		roster_shard_parse(strbuf_str(&result.objects[0].value),
				   &stored);
	found = roster_find(&stored, &name) != NULL;
	roster_finish(&stored);
	store_result_finish(&result);
	return found;
}

/* The store is restored from a copy that lacks some of the members that this
 * process has written: it writes them again. */
static void test_members_unstored_after_restore(void)
{
	static const char *const members[] = {"self", "orders-3", "orders-7"};

	for (size_t n_stored = 0; n_stored < 3; n_stored++) {
		struct memory_store backup;
		struct fixture fixture;

		fixture_init_with(&fixture, MEMBER_BALANCER, true, 7);
		memory_store_init(&backup);
		for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
			if (i == n_stored)
				memory_store_copy(&fixture.store, &backup);
			if (i)
				add_member(&fixture.roster, members[i],
					   MEMBER_AGENT, MEMBER_ACTIVE);
			run_with_watches(&fixture, 20000);
		}
		memory_store_restore(&fixture.store, &backup);
		run_with_watches(&fixture, 20000);
		for (size_t i = 0; i < G_N_ELEMENTS(members); i++)
			g_assert_true(store_has_member(&fixture, members[i]));
		memory_store_finish(&backup);
		fixture_finish(&fixture);
	}
}

/** Behaviour of the store while processes start. */
struct start_case {
	const char *name;
	/** Calls within this time after the start get no response, ms. */
	int64_t silent_for_ms;
	/** Response time, ms. */
	int64_t response_ms;
	/** Upper bound on the time from the end of silent_for_ms until a
	 * process has read the manifest, ms. */
	int64_t bound_ms;
};

#define N_PROCESSES 8
/* Two intervals of the fabric's readiness checks. */
#define START_BOUND_MS 1000

/** A call in progress. */
struct pending_call {
	uint64_t id;
	/** When the test first found the call in progress, ms. */
	int64_t seen_ms;
};

/* Responds to the last call or lets it time out; true if it read a manifest. */
static bool finish_last_call(struct fixture *fixture, struct pending_call *call,
			     const struct start_case *start, int64_t start_ms)
{
	int64_t waited_ms = fixture->now_ms - call->seen_ms;
	bool store_responds = call->seen_ms - start_ms >= start->silent_for_ms;

	bool is_config_call = fixture->sync.config_call.task != TASK_NONE;

	if (!is_config_call && fixture->sync.list_call.task == TASK_NONE)
		return false;
	if (call->id != fixture->last_call.id) {
		call->id = fixture->last_call.id;
		call->seen_ms = fixture->now_ms;
		return false;
	}
	if (store_responds && waited_ms >= start->response_ms &&
	    start->response_ms < fixture->last_call.timeout_ms) {
		respond_to_last_call(fixture);
		return is_config_call;
	}
	if (waited_ms >= fixture->last_call.timeout_ms) {
		fixture->unreachable = true;
		respond_to_last_call(fixture);
		fixture->unreachable = false;
	}
	return false;
}

/* When the first of N_PROCESSES that start together has read the manifest, ms
 * after the start; -1 if none has within 30 s. */
static int64_t first_manifest_read_ms(const struct start_case *start,
				      uint64_t seed)
{
	struct fixture *fixtures = g_new0(struct fixture, N_PROCESSES);
	struct pending_call calls[N_PROCESSES] = {0};
	int64_t manifest_read_ms = -1, ms;

	for (int i = 0; i < N_PROCESSES; i++) {
		fixture_init_with(&fixtures[i], MEMBER_AGENT, true,
				  seed * 100 + (uint64_t)i);
	}
	for (ms = 0; ms < 30000 && manifest_read_ms < 0; ms++)
		for (int i = 0; i < N_PROCESSES; i++) {
			fixtures[i].now_ms = 1000 + ms;
			advance_and_tick(&fixtures[i], 0);
			if (finish_last_call(&fixtures[i], &calls[i], start,
					     1000))
				manifest_read_ms = ms;
		}
	for (int i = 0; i < N_PROCESSES; i++)
		fixture_finish(&fixtures[i]);
	g_free(fixtures);
	return manifest_read_ms;
}

/*
 * A process that is not selected to watch starts while the platform rejects all
 * calls. It lists the roster once peers report that the platform is reachable,
 * and only once.
 */
static void test_list_after_outage(void)
{
	const struct store_contact_ages no_contacts = {
		STORE_AGE_NEVER, STORE_AGE_NEVER, STORE_AGE_NEVER};
	const struct store_contact_ages recent_contacts = {100, 100,
							   STORE_AGE_NEVER};
	struct fixture fixture;
	unsigned int n_lists;

	fixture_init_fleet(&fixture);
	put_object(&fixture, "tarragonflow/d/roster/00", 0, "{\"members\":[]}");
	fixture.unreachable = true;
	for (int i = 0; i < 15; i++) {
		platform_sync_merge_ages(&fixture.sync, &no_contacts,
					 fixture.now_ms);
		fixture_run(&fixture, 100);
	}
	g_assert_false(fixture.sync.full_roster_received);
	fixture.unreachable = false;
	for (int i = 0; i < 20; i++) {
		platform_sync_merge_ages(&fixture.sync, &recent_contacts,
					 fixture.now_ms);
		fixture_run(&fixture, 100);
	}
	g_assert_false(platform_sync_watches(&fixture.sync, fixture.now_ms));
	g_assert_true(fixture.sync.full_roster_received);
	n_lists = fixture.n_calls[STORE_OP_LIST];
	for (int i = 0; i < 40; i++) {
		platform_sync_merge_ages(&fixture.sync, &recent_contacts,
					 fixture.now_ms);
		fixture_run(&fixture, 500);
	}
	g_assert_cmpuint(fixture.n_calls[STORE_OP_LIST], ==, n_lists);
	fixture_finish(&fixture);
}

/* A list that fails is repeated. */
static void test_failed_list_repeated(void)
{
	const struct store_contact_ages recent_contacts = {100, 100,
							   STORE_AGE_NEVER};
	struct fixture fixture;

	fixture_init_fleet(&fixture);
	put_object(&fixture, "tarragonflow/d/roster/00", 0, "{\"members\":[]}");
	for (int i = 0; i < 20; i++) {
		platform_sync_merge_ages(&fixture.sync, &recent_contacts,
					 fixture.now_ms);
		fixture.unreachable = fixture.sync.watch_version > 0;
		fixture_run(&fixture, 10);
	}
	/* The lists of the manifest and of the roster; the latter fails. */
	g_assert_cmpuint(fixture.n_calls[STORE_OP_LIST], >=, 2);
	g_assert_false(fixture.sync.full_roster_received);
	fixture.unreachable = false;
	for (int i = 0; i < 20; i++) {
		platform_sync_merge_ages(&fixture.sync, &recent_contacts,
					 fixture.now_ms);
		fixture_run(&fixture, 100);
	}
	g_assert_true(fixture.sync.full_roster_received);
	fixture_finish(&fixture);
}

/*
 * Processes that start together have few members in their rosters, so each
 * ranks itself as selected. Once the platform has responded, such a process
 * watches only if no watcher reports a contact, and after a random delay.
 */
static void test_selection_with_partial_roster(void)
{
	static const struct {
		bool roster_complete, watcher_reported;
		/** When the process starts its watch, ms from its start;
		 * -1: never. */
		int64_t start_ms, until_ms;
	} cases[] = {
		{true, false, 900, 1200},
		{true, true, 900, 1200},
		{false, false, 2000, 6000},
		{false, true, -1, -1},
	};
	const struct store_contact_ages recent_contacts = {100, 100,
							   STORE_AGE_NEVER};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct platform_view view;
		struct fixture fixture;
		int64_t watched_ms = -1;
		uint64_t last_responded_id = 0;

		fixture_init_with(&fixture, MEMBER_AGENT, true, 7 + i);
		put_object(&fixture, "tarragonflow/d/roster/00", 0,
			   "{\"members\":[]}");
		view = fixture_view(&fixture);
		view.roster_complete = cases[i].roster_complete;
		for (int64_t ms = 0; ms < 10000 && watched_ms < 0; ms += 10) {
			fixture.now_ms = 1000 + ms;
			if (cases[i].watcher_reported)
				platform_sync_merge_ages(&fixture.sync,
							 &recent_contacts,
							 fixture.now_ms);
			platform_sync_tick(&fixture.sync, &view, fixture.now_ms,
					   &fixture.callbacks);
			if (fixture.last_call.id > last_responded_id &&
			    fixture.last_call.op != STORE_OP_WATCH) {
				last_responded_id = fixture.last_call.id;
				respond_to_last_call(&fixture);
			}
			if (fixture.n_calls[STORE_OP_WATCH])
				watched_ms = ms;
		}
		g_test_message("case %zu: %d ms", i, (int)watched_ms);
		g_assert_cmpint(watched_ms, >=, cases[i].start_ms);
		g_assert_cmpint(watched_ms, <=, cases[i].until_ms);
		fixture_finish(&fixture);
	}
}

/* A part of the roster does not count as the full roster, whether it came from
 * a page or from a list of which the store holds more. */
static void test_partial_list(void)
{
	struct fixture fixture;
	struct store_result result;
	struct platform_view view;

	fixture_init_fleet(&fixture);
	view = fixture_view(&fixture);
	put_object(&fixture, "tarragonflow/d/roster/00", 0, "{\"members\":[]}");
	for (int i = 0; i < 20 && !fixture.sync.list_covers_all; i++) {
		advance_and_tick(&fixture, 10);
		if (fixture.last_call.op == STORE_OP_LIST &&
		    !fixture.sync.list_covers_all)
			respond_to_last_call(&fixture);
	}
	g_assert_true(fixture.sync.list_covers_all);
	store_result_init(&result, &fixture.last_call);
	result.has_more = true;
	store_result_add(&result, "tarragonflow/d/roster/00", 3,
			 str_from("{\"members\":[]}"));
	platform_sync_handle_result(&fixture.sync, &result, &view,
				    fixture.now_ms, &fixture.callbacks);
	store_result_finish(&result);
	g_assert_false(fixture.sync.full_roster_received);
	/* Without peers the process lists the pages of shards. */
	fixture_run(&fixture, 30000);
	g_assert_false(fixture.sync.list_covers_all);
	g_assert_false(fixture.sync.full_roster_received);
	g_assert_cmpuint(fixture.sync.pages_requested, !=, 0);
	g_assert_cmpuint(fixture.n_calls[STORE_OP_LIST], >, 2);
	fixture_finish(&fixture);
	/* If the list of the whole roster fails, it is repeated; no page is
	 * listed. */
	fixture_init_fleet(&fixture);
	put_object(&fixture, "tarragonflow/d/roster/00", 0, "{\"members\":[]}");
	fixture.unreachable = true;
	fixture_run(&fixture, 15000);
	fixture.unreachable = false;
	fixture_run(&fixture, 20000);
	g_assert_cmpuint(fixture.sync.pages_requested, ==, 0);
	g_assert_true(fixture.sync.full_roster_received);
	fixture_finish(&fixture);
}

/* A stale list only finds peers and does not count as the full roster. */
static void test_stale_list(void)
{
	struct fixture fixture;

	fixture_init_with(&fixture, MEMBER_AGENT, true, 7);
	fixture_run(&fixture, 300);
	g_assert_true(fixture.sync.initial_list_sent);
	g_assert_false(fixture.sync.full_roster_received);
	put_object(&fixture, "tarragonflow/d/roster/00", 0, "{\"members\":[]}");
	fixture_run(&fixture, 5000);
	g_assert_cmpuint(fixture.n_calls[STORE_OP_LIST], >, 2);
	g_assert_false(fixture.sync.full_roster_received);
	fixture_finish(&fixture);
}

/*
 * Processes start together while the store accepts calls without responding.
 * One of them must detect its recovery soon, and must wait for a slow store.
 */
static void test_no_responses_at_start(void)
{
	static const struct start_case cases[] = {
		{"responds at once", 0, 4, START_BOUND_MS},
		{"silent for 0.6 s", 600, 4, START_BOUND_MS},
		{"silent for 1.5 s", 1500, 4, START_BOUND_MS},
		{"silent for 2.4 s", 2400, 4, START_BOUND_MS},
		{"silent for 3.3 s", 3300, 4, START_BOUND_MS},
		{"silent for 7 s", 7000, 4, START_BOUND_MS},
		{"slow", 0, 340, START_BOUND_MS},
		{"very slow", 0, 1500, 10000},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		for (uint64_t seed = 1; seed <= 20; seed++) {
			int64_t ms = first_manifest_read_ms(&cases[i], seed);

			g_test_message("%s, seed %d: %d ms", cases[i].name,
				       (int)seed, (int)ms);
			g_assert_cmpint(ms, >=, 0);
			g_assert_cmpint(ms - cases[i].silent_for_ms, <=,
					cases[i].bound_ms);
		}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform-sync/watch-and-gone", test_watch_and_gone);
	g_test_add_func("/platform-sync/watch-not-resumed",
			test_watch_not_resumed);
	g_test_add_func("/platform-sync/release-ignored-after-restore",
			test_release_ignored_after_restore);
	g_test_add_func("/platform-sync/restore-unnoticed",
			test_restore_unnoticed);
	g_test_add_func("/platform-sync/members-unstored-after-restore",
			test_members_unstored_after_restore);
	g_test_add_func("/platform-sync/backoff-while-unreachable",
			test_backoff_while_unreachable);
	g_test_add_func("/platform-sync/shard-written-once",
			test_shard_written_once);
	g_test_add_func("/platform-sync/shard-merges", test_shard_merges);
	g_test_add_func("/platform-sync/odd-entry-in-roster",
			test_odd_entry_in_roster);
	g_test_add_func("/platform-sync/unreadable-shard",
			test_unreadable_shard);
	g_test_add_func("/platform-sync/tombstones-expire",
			test_tombstones_expire);
	g_test_add_func("/platform-sync/watcher-selection",
			test_watcher_selection);
	g_test_add_func("/config-store/never-reverts", test_never_reverts);
	g_test_add_func("/platform-sync/zone-orders", test_zone_orders);
	g_test_add_func("/platform-sync/zone-renewed", test_zone_order_renewed);
	g_test_add_func("/platform-sync/calls-at-start", test_calls_at_start);
	g_test_add_func("/platform-sync/only-selected-watch",
			test_only_selected_watch);
	g_test_add_func("/platform-sync/lists-after-outage",
			test_list_after_outage);
	g_test_add_func("/platform-sync/list-repeated",
			test_failed_list_repeated);
	g_test_add_func("/platform-sync/stale-list", test_stale_list);
	g_test_add_func("/platform-sync/selection-with-partial-roster",
			test_selection_with_partial_roster);
	g_test_add_func("/platform-sync/list-of-parts", test_partial_list);
	g_test_add_func("/platform-sync/unresponsive-at-start",
			test_no_responses_at_start);
	return g_test_run();
}
