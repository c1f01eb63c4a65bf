#include <glib.h>
#include <string.h>

#include "control/context.h"
#include "tarragonflow/common/clock.h"
#include "tarragonflow/control/message.h"

/** A control core with a sink that counts the outputs. */
struct fixture {
	struct control_sink sink;
	struct control control;
	struct counters counters;
	unsigned int n_sent, n_routing_changes, n_received;
	/** The last platform call for zone orders. */
	struct store_request last_zones_call;
};

static void count_send(struct control_sink *sink, const struct endpoint *to,
		       const uint8_t *data, size_t len)
{
	(void)to;
	(void)data;
	(void)len;
	((struct fixture *)sink)->n_sent++;
}

static void record_call(struct control_sink *sink,
			const struct store_request *request)
{
	if (request->queue == STORE_QUEUE_ZONES)
		((struct fixture *)sink)->last_zones_call = *request;
}

static void ignore_cancel(struct control_sink *sink, enum store_queue queue,
			  uint64_t id)
{
	(void)sink;
	(void)queue;
	(void)id;
}

static void ignore_pull(struct control_sink *sink, const struct endpoint *peer,
			struct str request)
{
	(void)sink;
	(void)peer;
	(void)request;
}

static void count_routing_change(struct control_sink *sink)
{
	((struct fixture *)sink)->n_routing_changes++;
}

static void fixture_init(struct fixture *fixture, uint64_t instance)
{
	struct control_options options = {
		.random_seed = 3,
		.zone_grace_ms = 3000,
		.strong_reads = true,
	};

	memset(fixture, 0, sizeof(*fixture));
	fixture->sink.send = count_send;
	fixture->sink.call_platform = record_call;
	fixture->sink.cancel_platform_call = ignore_cancel;
	fixture->sink.pull_config = ignore_pull;
	fixture->sink.routing_changed = count_routing_change;
	name_set(&options.deployment, str_from("d"));
	name_set(&options.self.name, str_from("self"));
	name_set(&options.self.zone, str_from("z"));
	options.self.role = MEMBER_BALANCER;
	options.self.state = MEMBER_ACTIVE;
	options.self.instance = instance;
	options.self.control = (struct endpoint){1, 1};
	control_init(&fixture->control, &options, &fixture->counters, 1000);
}

static struct control_context context_at(struct fixture *fixture,
					 int64_t now_ms)
{
	return (struct control_context){&fixture->control, &fixture->sink,
					now_ms};
}

/*
 * After a restart, an entry of the previous run arrives, whose clock was ahead:
 * the new run must take a greater instance.
 */
static void test_previous_run(void)
{
	static const struct {
		uint64_t received_instance;
		int64_t received_ms;
		uint64_t expected_instance;
	} cases[] = {
		{90, 1100, 100},
		{100, 1100, 100},
		{140, 1100, 141},
		/* Too long after the start to be of a previous run. */
		{140, 60000, 100},
	};
	struct fixture fixture;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct control_context context;
		struct member entry;

		fixture_init(&fixture, 100);
		context = context_at(&fixture, cases[i].received_ms);
		entry = fixture.control.options.self;
		entry.instance = cases[i].received_instance;
		inbound_merge_entry(&context, &entry, false);
		g_assert_cmpuint(fixture.control.options.self.instance, ==,
				 cases[i].expected_instance);
		control_finish(&fixture.control);
	}
}

/* Sends @message, from "peer", to the control core. */
static void receive_message(struct fixture *fixture, struct message *message,
			    int64_t now_ms)
{
	struct strbuf wire, sealed;

	message->kind = MESSAGE_GOSSIP;
	message->from.member = (struct member){
		.role = MEMBER_AGENT,
		.state = MEMBER_ACTIVE,
		.instance = 7,
		.control = {2, 2},
	};
	name_set(&message->from.member.name, str_from("peer"));
	name_set(&message->from.member.zone, str_from("z"));
	name_set(&message->from.member.service, str_from("orders"));
	message->number = ++fixture->n_received;
	strbuf_init(&wire);
	strbuf_init(&sealed);
	message_encode(message, &wire);
	auth_seal(&fixture->control.options.keys,
		  &fixture->control.options.self.control, strbuf_str(&wire),
		  &sealed);
	control_handle_message(&fixture->control, &message->from.member.control,
			       (const uint8_t *)sealed.data, sealed.len, now_ms,
			       &fixture->sink);
	strbuf_finish(&wire);
	strbuf_finish(&sealed);
}

static void set_member(struct message_entry *entry, const char *name)
{
	*entry = (struct message_entry){
		.member = {.role = MEMBER_AGENT,
			   .state = MEMBER_ACTIVE,
			   .instance = 5,
			   .sequence = 1,
			   .connections = 2000,
			   .slots = 5,
			   .data = {3, 3},
			   .control = {3, 3}},
	};
	name_set(&entry->member.name, str_from(name));
	name_set(&entry->member.zone, str_from("z"));
	name_set(&entry->member.service, str_from("orders"));
}

/*
 * Guards against the loss of a whole message, or a member that nothing can
 * outnumber any more, because of one odd entry that a peer passes on.
 */
static void test_odd_entry_in_message(void)
{
	/* Fields of the entry in the middle. */
	static const struct {
		enum member_role role;
		enum member_state state;
		uint64_t instance, sequence;
		uint32_t connections, slots;
		const char *service;
	} cases[] = {
		{MEMBER_AGENT, (enum member_state)9, 5, 1, 9, 5, "orders"},
		{(enum member_role)7, MEMBER_ACTIVE, 5, 1, 9, 5, "orders"},
		{MEMBER_AGENT, MEMBER_ACTIVE, 5, 1, 9, 5, ""},
		{MEMBER_AGENT, MEMBER_ACTIVE, UINT64_MAX, 1, 9, 5, "orders"},
		{MEMBER_AGENT, MEMBER_ACTIVE, INT64_MAX, 1, 9, 5, "orders"},
		{MEMBER_AGENT, MEMBER_ACTIVE, 5, UINT64_MAX, 9, 5, "orders"},
		{MEMBER_AGENT, MEMBER_ACTIVE, 5, 1, UINT32_MAX, 5, "orders"},
		{MEMBER_AGENT, MEMBER_ACTIVE, 5, 1, 9, UINT32_MAX, "orders"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct message message = {0};
		struct fixture fixture;
		struct member *odd;
		struct name name;

		fixture_init(&fixture, 100);
		set_member(&message.members[0], "m1");
		set_member(&message.members[1], "m2");
		set_member(&message.members[2], "m3");
		message.n_members = 3;
		odd = &message.members[1].member;
		odd->role = cases[i].role;
		odd->state = cases[i].state;
		odd->instance = cases[i].instance;
		odd->sequence = cases[i].sequence;
		odd->connections = cases[i].connections;
		odd->slots = cases[i].slots;
		if (!*cases[i].service)
			memset(&odd->service, 0, sizeof(odd->service));
		receive_message(&fixture, &message, 1100);
		g_test_message("case %zu", i);
		g_assert_null(roster_find(&fixture.control.roster, &odd->name));
		for (int j = 1; j <= 3; j += 2) {
			char text[] = {'m', (char)('0' + j), 0};

			name_set(&name, str_from(text));
			g_assert_nonnull(
				roster_find(&fixture.control.roster, &name));
		}
		g_assert_cmpuint(counter_get(&fixture.counters,
					     COUNTER_CONTROL_DROP_MALFORMED),
				 ==, 1);
		control_finish(&fixture.control);
	}
}

/* An odd report or order on a zone hides neither the others nor the members of
 * the message, and no later one is older than it. */
static void test_odd_zone_in_message(void)
{
	struct message message = {0};
	struct fixture fixture;
	struct name zone, member;

	fixture_init(&fixture, 100);
	set_member(&message.members[0], "m1");
	message.n_members = 1;
	for (size_t i = 0; i < 3; i++) {
		char text[] = {'z', (char)('1' + i), 0};

		name_set(&message.zones[i].zone, str_from(text));
		message.zones[i].id = 4;
		message.zones[i].state = MEMBER_SUSPECT;
		message.zone_orders.entries[i] =
			(struct zone_order){.version = 4, .out = true};
		name_set(&message.zone_orders.entries[i].zone, str_from(text));
	}
	message.zones[1].id = UINT64_MAX;
	message.zone_orders.entries[1].version = UINT64_MAX;
	message.n_zones = message.zone_orders.n = 3;
	receive_message(&fixture, &message, 1100);
	name_set(&member, str_from("m1"));
	g_assert_nonnull(roster_find(&fixture.control.roster, &member));
	for (int i = 1; i <= 3; i++) {
		char text[] = {'z', (char)('0' + i), 0};

		name_set(&zone, str_from(text));
		g_assert_cmpint(zone_orders_is_out_of_service(
					&fixture.control.zone_orders, &zone),
				==, i != 2);
		g_assert_cmpint(
			zone_monitor_report(&fixture.control.zone_monitor,
					    &zone) != NULL,
			==, i != 2);
	}
	control_finish(&fixture.control);
}

/* An entry of this process with the largest sequence is outnumbered by a new
 * instance; the sequence must not leave the range that peers accept. */
static void test_own_entry_with_largest_sequence(void)
{
	const uint64_t largest_sequence = 1ULL << 53;
	struct control_context context;
	struct fixture fixture;
	struct member entry;

	fixture_init(&fixture, 100);
	context = context_at(&fixture, 1100);
	entry = fixture.control.options.self;
	entry.sequence = largest_sequence;
	entry.state = MEMBER_LEFT;
	inbound_merge_entry(&context, &entry, false);
	g_assert_cmpuint(fixture.control.options.self.instance, ==, 101);
	g_assert_cmpuint(fixture.control.options.self.sequence, <,
			 largest_sequence);
	g_assert_true(member_is_newer(&fixture.control.options.self, &entry));
	control_finish(&fixture.control);
}

/* A zone order is merged once; when the grace time of 3 s ends, the zone's open
 * connections are dropped, so routing changes. */
static void test_zone_orders(void)
{
	struct zone_orders orders = {0};
	struct zone_order order = {.version = 7, .out = true};
	struct control_context context;
	struct fixture fixture;
	unsigned int n_routing_changes;

	fixture_init(&fixture, 100);
	context = context_at(&fixture, 1000);
	name_set(&order.zone, str_from("z"));
	zone_orders_merge(&orders, &order);
	inbound_merge_zone_orders(&context, &orders);
	g_assert_cmpuint(fixture.n_routing_changes, ==, 1);
	inbound_merge_zone_orders(&context, &orders);
	g_assert_cmpuint(fixture.n_routing_changes, ==, 1);
	g_assert_cmpint(zone_orders_state(&fixture.control.zone_orders,
					  &order.zone, 3999),
			==, ZONE_ORDER_DRAINING);
	control_tick(&fixture.control, 1001, &fixture.sink);
	g_assert_cmpint(control_next_deadline(&fixture.control), <=, 4000);
	n_routing_changes = fixture.n_routing_changes;
	control_tick(&fixture.control, 4000, &fixture.sink);
	g_assert_cmpuint(fixture.n_routing_changes, >, n_routing_changes);
	control_finish(&fixture.control);
}

/*
 * A platform list that lacks a zone puts the zone back in service, with the
 * list's version. An order gossiped while the list was read may be newer and
 * stays.
 */
static void test_zone_orders_and_list(void)
{
	static const struct {
		/** Order versions from a peer and in the list; 0 for none. */
		uint64_t gossip_version;
		int64_t listed_version;
		bool out;
	} cases[] = {
		{15, 0, false}, {25, 0, true},	{15, 15, true},
		{15, 18, true}, {25, 18, true}, {0, 18, true},
	};
	struct zone_order order = {.out = true};

	name_set(&order.zone, str_from("z"));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct zone_orders received = {0};
		struct control_context context;
		struct store_result result;
		struct fixture fixture;

		fixture_init(&fixture, 100);
		control_tick(&fixture.control, 1100, &fixture.sink);
		g_assert_cmpint(fixture.last_zones_call.op, ==, STORE_OP_LIST);
		context = context_at(&fixture, 1110);
		order.version = cases[i].gossip_version;
		if (order.version)
			zone_orders_merge(&received, &order);
		inbound_merge_zone_orders(&context, &received);
		store_result_init(&result, &fixture.last_zones_call);
		result.version = 20;
		if (cases[i].listed_version)
			store_result_add(&result, "tarragonflow/d/zones/z",
					 cases[i].listed_version,
					 str_from("{}"));
		control_handle_result(&fixture.control, &result, 1120,
				      &fixture.sink);
		g_assert_cmpint(
			zone_orders_is_out_of_service(
				&fixture.control.zone_orders, &order.zone),
			==, cases[i].out);
		store_result_finish(&result);
		control_finish(&fixture.control);
	}
}

/* Responds to the last call for zone orders with a list that has the order of
 * zone z if @listed_version is not 0. */
static void respond_with_list(struct fixture *fixture, uint64_t epoch,
			      int64_t listed_version, int64_t now_ms)
{
	struct store_result result;

	store_result_init(&result, &fixture->last_zones_call);
	result.epoch = epoch;
	result.version = 20;
	if (listed_version)
		store_result_add(&result, "tarragonflow/d/zones/z",
				 listed_version, str_from("{}"));
	control_handle_result(&fixture->control, &result, now_ms,
			      &fixture->sink);
	store_result_finish(&result);
}

/*
 * The store was restored, and its list may lack an order that the operator has
 * not yet written again: the zone stays out of service until a later list lacks
 * it, too. An order of the same epoch that the list lacks has ended at once.
 */
static void test_order_lost_by_restore(void)
{
	static const struct {
		bool was_out;
		uint64_t order_epoch, order_version, list_epoch;
		/** Version of the order in the first list and in those after
		 * the operators' time to write; 0: it is missing. */
		int64_t listed_version, later_version;
		bool out_at_once, out_later;
	} cases[] = {
		{true, 1, 15, 1, 0, 0, false, false},
		{true, 1, 25, 1, 0, 0, true, true},
		{true, 1, 15, 2, 0, 0, true, false},
		{true, 1, 25, 2, 0, 0, true, false},
		{true, 1, 25, 2, 0, 18, true, true},
		{true, 1, 25, 2, 18, 18, true, true},
		{true, 1, 15, 2, 15, 15, true, true},
		{true, 2, 15, 2, 0, 0, false, false},
		{true, 2, 25, 2, 0, 0, true, true},
		{true, 3, 1, 2, 0, 0, true, true},
		/* The order ended in the lost time; the copy still has it. */
		{false, 1, 15, 2, 15, 0, false, false},
		{false, 1, 15, 2, 18, 18, false, true},
		{false, 1, 15, 1, 18, 18, true, true},
		{false, 2, 15, 2, 18, 18, true, true},
	};
	struct zone_order order = {.out = true};

	name_set(&order.zone, str_from("z"));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct zone_orders received = {0};
		struct control_context context;
		struct fixture fixture;
		uint64_t responded_id;
		const struct zone_orders *orders = &fixture.control.zone_orders;

		fixture_init(&fixture, 100);
		control_tick(&fixture.control, 1100, &fixture.sink);
		context = context_at(&fixture, 1110);
		order.out = cases[i].was_out;
		order.epoch = cases[i].order_epoch;
		order.version = cases[i].order_version;
		zone_orders_merge(&received, &order);
		inbound_merge_zone_orders(&context, &received);
		respond_with_list(&fixture, cases[i].list_epoch,
				  cases[i].listed_version, 1120);
		g_test_message("case %zu", i);
		g_assert_cmpint(
			zone_orders_is_out_of_service(orders, &order.zone), ==,
			cases[i].out_at_once);
		responded_id = fixture.last_zones_call.id;
		for (int64_t ms = 1130; ms < 12000; ms += 10) {
			control_tick(&fixture.control, ms, &fixture.sink);
			if (fixture.last_zones_call.id == responded_id ||
			    fixture.last_zones_call.op != STORE_OP_LIST)
				continue;
			responded_id = fixture.last_zones_call.id;
			respond_with_list(&fixture, cases[i].list_epoch,
					  cases[i].later_version, ms);
		}
		g_assert_cmpint(
			zone_orders_is_out_of_service(orders, &order.zone), ==,
			cases[i].out_later);
		control_finish(&fixture.control);
	}
}

/* A list that the store read before operators had the time to write again, but
 * responded to later, ends no order of an earlier epoch. */
static void test_order_ended_by_slow_list(void)
{
	struct zone_order order = {.epoch = 1, .version = 15, .out = true};
	struct zone_orders received = {0};
	struct store_result other_result = {.epoch = 2};
	struct control_context context;
	struct fixture fixture;

	fixture_init(&fixture, 100);
	control_tick(&fixture.control, 1100, &fixture.sink);
	context = context_at(&fixture, 1110);
	name_set(&order.zone, str_from("z"));
	zone_orders_merge(&received, &order);
	inbound_merge_zone_orders(&context, &received);
	/* The list of the manifest shows the epoch, that of orders is slow. */
	other_result.id = fixture.control.platform.config_call.id;
	other_result.op = STORE_OP_LIST;
	control_handle_result(&fixture.control, &other_result, 1120,
			      &fixture.sink);
	respond_with_list(&fixture, 2, 0, 3900);
	g_assert_true(zone_orders_is_out_of_service(
		&fixture.control.zone_orders, &order.zone));
	control_finish(&fixture.control);
}

/* Zone orders and the previous release survive encoding and decoding. */
static void test_zone_orders_encoding(void)
{
	struct message original = {.kind = MESSAGE_GOSSIP}, decoded;
	struct zone_order order = {
		.epoch = 3,
		.version = 1ULL << 40,
		.out = true,
	};
	struct strbuf wire, storage;

	strbuf_init(&wire);
	strbuf_init(&storage);
	name_set(&original.from.member.name, str_from("m"));
	original.from.member.state = MEMBER_ACTIVE;
	original.from.brief = true;
	name_set(&order.zone, str_from("tas-a"));
	zone_orders_merge(&original.zone_orders, &order);
	name_set(&order.zone, str_from("tas-b"));
	order.out = false;
	zone_orders_merge(&original.zone_orders, &order);
	original.previous_release = 9;
	original.store_epoch = 4;
	original.contact_ages.restore_ms = 250;
	message_encode(&original, &wire);
	g_assert_true(message_decode(&decoded, (const uint8_t *)wire.data,
				     wire.len, &storage));
	g_assert_cmpuint(decoded.zone_orders.n, ==, 2);
	g_assert_true(zone_orders_is_out_of_service(
		&decoded.zone_orders, &original.zone_orders.entries[0].zone));
	g_assert_false(zone_orders_is_out_of_service(&decoded.zone_orders,
						     &order.zone));
	g_assert_cmpuint(decoded.zone_orders.entries[0].version, ==,
			 1ULL << 40);
	g_assert_cmpuint(decoded.zone_orders.entries[0].epoch, ==, 3);
	g_assert_cmpuint(decoded.previous_release, ==, 9);
	g_assert_cmpuint(decoded.store_epoch, ==, 4);
	g_assert_cmpuint(decoded.contact_ages.restore_ms, ==, 250);
	strbuf_finish(&wire);
	strbuf_finish(&storage);
}

/* The roster counts as complete 200 ms after the start if the platform has
 * listed it, otherwise 5 s after the start. */
static void test_roster_complete(void)
{
	struct fixture fixture;

	fixture_init(&fixture, 100);
	g_assert_false(control_roster_is_complete(&fixture.control, 1500));
	g_assert_true(control_roster_is_complete(&fixture.control, 6000));
	fixture.control.platform.full_roster_received = true;
	g_assert_false(control_roster_is_complete(&fixture.control, 1100));
	g_assert_true(control_roster_is_complete(&fixture.control, 1500));
	control_finish(&fixture.control);
}

/* A list of the roster right after a restore, which a peer reported, does not
 * count as complete: members of the lost time may be missing. */
static void test_roster_incomplete_after_restore(void)
{
	static const struct {
		uint32_t restore_age_ms;
		bool complete;
	} cases[] = {
		{STORE_AGE_NEVER, true},
		{0, false},
		{4000, false},
		{6000, true},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct store_contact_ages ages = {
			.any_process_ms = 100,
			.watcher_ms = 100,
			.restore_ms = cases[i].restore_age_ms,
		};
		struct fixture fixture;

		fixture_init(&fixture, 100);
		platform_sync_merge_ages(&fixture.control.platform, &ages,
					 1100);
		fixture.control.platform.full_roster_received = true;
		g_assert_cmpint(
			control_roster_is_complete(&fixture.control, 1500), ==,
			cases[i].complete);
		g_assert_true(
			control_roster_is_complete(&fixture.control, 6000));
		control_finish(&fixture.control);
	}
}

static void receive_member(struct fixture *fixture, const char *name,
			   enum member_role role, uint64_t instance,
			   int64_t now_ms)
{
	struct control_context context = context_at(fixture, now_ms);
	struct member member = {
		.role = role,
		.state = MEMBER_ACTIVE,
		.instance = instance,
		.sequence = 1,
	};

	name_set(&member.name, str_from(name));
	name_set(&member.zone, str_from("z"));
	inbound_merge_entry(&context, &member, true);
}

static void receive_agent(struct fixture *fixture, const char *name,
			  uint64_t instance, int64_t now_ms)
{
	receive_member(fixture, name, MEMBER_AGENT, instance, now_ms);
}

/*
 * Guards against RSTs on connections of agents that the platform's list, which
 * may be seconds old, has as left: when one of them turns out to be running
 * just after the start, others may be, too.
 */
static void test_roster_listed_as_left(void)
{
	struct fixture fixture;
	struct member listed = {
		.role = MEMBER_AGENT,
		.state = MEMBER_LEFT,
		.instance = 1,
	};

	fixture_init(&fixture, 7);
	name_set(&listed.name, str_from("m1"));
	name_set(&listed.zone, str_from("z"));
	roster_merge(&fixture.control.roster, &listed, 1100);
	name_set(&listed.name, str_from("m2"));
	roster_merge(&fixture.control.roster, &listed, 1100);
	fixture.control.platform.full_roster_received = true;
	g_assert_true(control_roster_is_complete(&fixture.control, 1500));
	receive_agent(&fixture, "m1", 1, 1600);
	g_assert_false(control_roster_is_complete(&fixture.control, 1700));
	g_assert_false(control_roster_is_complete(&fixture.control, 3500));
	g_assert_true(control_roster_is_complete(&fixture.control, 3700));
	/* Later the news of a join shows nothing about the list. */
	receive_agent(&fixture, "m2", 1, 8000);
	g_assert_true(control_roster_is_complete(&fixture.control, 8100));
	control_finish(&fixture.control);
}

/*
 * While peers report unknown members, as when a large fleet starts at once, the
 * roster may be incomplete. Restarts of members in the roster do not count.
 */
static void test_roster_growing(void)
{
	struct fixture fixture;

	fixture_init(&fixture, 7);
	receive_agent(&fixture, "m1", 1, 4000);
	g_assert_false(control_roster_is_complete(&fixture.control, 6500));
	receive_agent(&fixture, "m2", 1, 9000);
	g_assert_false(control_roster_is_complete(&fixture.control, 13900));
	receive_agent(&fixture, "m2", 2, 14500);
	g_assert_true(control_roster_is_complete(&fixture.control, 15500));
	control_finish(&fixture.control);
	/* A member was missing in the platform's list: others may be, too. */
	fixture_init(&fixture, 7);
	fixture.control.platform.full_roster_received = true;
	g_assert_true(control_roster_is_complete(&fixture.control, 1500));
	receive_agent(&fixture, "m1", 1, 1600);
	g_assert_false(control_roster_is_complete(&fixture.control, 1700));
	g_assert_false(control_roster_is_complete(&fixture.control, 3500));
	g_assert_true(control_roster_is_complete(&fixture.control, 3700));
	g_assert_true(control_roster_is_complete(&fixture.control, 8000));
	control_finish(&fixture.control);
	/* An unknown balancer counts only if the platform has not listed the
	 * roster: balancers have no connections. */
	fixture_init(&fixture, 7);
	receive_member(&fixture, "b1", MEMBER_BALANCER, 1, 4000);
	g_assert_false(control_roster_is_complete(&fixture.control, 6500));
	control_finish(&fixture.control);
	fixture_init(&fixture, 7);
	fixture.control.platform.full_roster_received = true;
	receive_member(&fixture, "b1", MEMBER_BALANCER, 1, 1600);
	g_assert_true(control_roster_is_complete(&fixture.control, 1700));
	receive_agent(&fixture, "m1", 1, 1800);
	g_assert_false(control_roster_is_complete(&fixture.control, 1900));
	control_finish(&fixture.control);
}

/*
 * A process that doesn't know yet whether its server runs sends nothing of its
 * own until its join, so that peers don't take it for a member to search.
 */
static void test_join_delayed(void)
{
	static const struct {
		/** When the join, or a state, is set, ms; 0: never. */
		int64_t join_ms, state_ms, sends_ms;
	} cases[] = {
		{0, 0, 1600},
		{1300, 0, 1300},
		{0, 1200, 1200},
	};
	struct endpoint seed = {9, 9};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture fixture;

		fixture_init(&fixture, 100);
		fixture.control.options.seeds[0] = seed;
		fixture.control.options.n_seeds = 1;
		fixture.control.join_ms = 1600;
		for (int64_t now_ms = 1000; now_ms < cases[i].sends_ms;
		     now_ms += 10)
			control_tick(&fixture.control, now_ms, &fixture.sink);
		g_assert_cmpuint(fixture.n_sent, ==, 0);
		g_assert_cmpint(control_next_deadline(&fixture.control), >=,
				cases[i].sends_ms - 10);
		if (cases[i].join_ms)
			control_join(&fixture.control, cases[i].join_ms);
		if (cases[i].state_ms)
			control_set_state(&fixture.control, MEMBER_LEFT,
					  cases[i].state_ms, &fixture.sink);
		control_tick(&fixture.control, cases[i].sends_ms,
			     &fixture.sink);
		g_assert_cmpuint(fixture.n_sent, >, 0);
		control_finish(&fixture.control);
	}
}

/* Reports name services: one that neither the configuration nor an agent has
 * is of another writer. */
static void test_service_known(void)
{
	static const struct {
		const char *service;
		bool known;
	} cases[] = {
		{"configured", true},
		/* Dropped by a release, with a server at an agent. */
		{"orders", true},
		{"xf45048", false},
	};
	struct member agent = {
		.role = MEMBER_AGENT,
		.state = MEMBER_ACTIVE,
		.instance = 1,
		.sequence = 1,
	};
	struct control_context context;
	struct status status;
	struct fixture fixture;
	struct name service;

	status_init(&status);
	fixture_init(&fixture, 7);
	g_assert_cmpint(manifest_parse(&fixture.control.config.manifest,
				       str_from("{\"deployment\":\"d\","
						"\"release\":1,\"zones\":[],"
						"\"services\":[{\"name\":"
						"\"configured\"}]}"),
				       "m", &status),
			==, STATUS_OK);
	name_set(&agent.name, str_from("agent"));
	name_set(&agent.service, str_from("orders"));
	context = context_at(&fixture, 1100);
	inbound_merge_entry(&context, &agent, true);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		name_set(&service, str_from(cases[i].service));
		g_assert_cmpint(
			control_knows_service(&fixture.control, &service), ==,
			cases[i].known);
	}
	control_finish(&fixture.control);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/control/odd-entry-in-message",
			test_odd_entry_in_message);
	g_test_add_func("/control/odd-zone-in-message",
			test_odd_zone_in_message);
	g_test_add_func("/control/own-entry-with-largest-sequence",
			test_own_entry_with_largest_sequence);
	g_test_add_func("/control/previous-run", test_previous_run);
	g_test_add_func("/control/zone-orders", test_zone_orders);
	g_test_add_func("/control/zone-orders-and-list",
			test_zone_orders_and_list);
	g_test_add_func("/control/zone-order-ended-by-slow-list",
			test_order_ended_by_slow_list);
	g_test_add_func("/control/zone-order-lost-by-restore",
			test_order_lost_by_restore);
	g_test_add_func("/control/zone-orders-encoding",
			test_zone_orders_encoding);
	g_test_add_func("/control/join-delayed", test_join_delayed);
	g_test_add_func("/control/service-known", test_service_known);
	g_test_add_func("/control/roster-complete", test_roster_complete);
	g_test_add_func("/control/roster-incomplete-after-restore",
			test_roster_incomplete_after_restore);
	g_test_add_func("/control/roster-growing", test_roster_growing);
	g_test_add_func("/control/roster-listed-as-left",
			test_roster_listed_as_left);
	return g_test_run();
}
