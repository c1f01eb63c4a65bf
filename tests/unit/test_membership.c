#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tarragonflow/control/anti_entropy.h"
#include "tarragonflow/control/auth.h"
#include "tarragonflow/control/byte_budget.h"
#include "tarragonflow/control/failure_detector.h"
#include "tarragonflow/control/gossip_queue.h"
#include "tarragonflow/control/message.h"
#include "tarragonflow/control/zone_monitor.h"

static void make_name(struct name *name, const char *prefix, int number)
{
	char text[32];

	snprintf(text, sizeof(text), "%s-%d", prefix, number);
	name_set(name, str_from(text));
}

static void make_member(struct member *member, int number, const char *zone)
{
	memset(member, 0, sizeof(*member));
	make_name(&member->name, "orders", number);
	name_set(&member->zone, str_from(zone));
	name_set(&member->service, str_from("orders"));
	member->role = MEMBER_AGENT;
	member->state = MEMBER_ACTIVE;
	member->instance = 5;
	member->sequence = 1;
	member->control.ip = (uint32_t)number;
	member->control.port = 7;
}

static void make_roster(struct roster *roster, int n, const char *zone)
{
	struct member member;

	roster_init(roster);
	for (int i = 1; i <= n; i++) {
		make_member(&member, i, zone);
		roster_merge(roster, &member, 0);
	}
}

static void test_revision_merge(void)
{
	static const struct {
		uint64_t instance, sequence, revision, merged_revision;
		enum roster_change change;
	} steps[] = {
		{5, 1, 3, 3, ROSTER_CHANGED},	{5, 1, 4, 4, ROSTER_REFRESHED},
		{5, 2, 2, 4, ROSTER_REFRESHED}, {4, 9, 9, 4, ROSTER_UNCHANGED},
		{6, 1, 1, 1, ROSTER_CHANGED},
	};
	struct member member;
	struct roster roster;

	roster_init(&roster);
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		make_member(&member, 1, "z");
		member.instance = steps[i].instance;
		member.sequence = steps[i].sequence;
		member.config_revision = steps[i].revision;
		g_assert_cmpint(roster_merge(&roster, &member, 0), ==,
				steps[i].change);
		g_assert_cmpuint(roster.members[0].config_revision, ==,
				 steps[i].merged_revision);
	}
	roster_finish(&roster);
}

static void test_queue_order(void)
{
	static const struct {
		enum gossip_priority priority;
		int number;
	} puts[] = {
		{GOSSIP_REVISION, 1}, {GOSSIP_JOIN, 2}, {GOSSIP_STATE, 3},
		{GOSSIP_ZONE, 4},     {GOSSIP_SELF, 5}, {GOSSIP_STATE, 1},
	};
	static const int order[] = {4, 5, 1, 3, 2};
	struct gossip_queue queue;
	struct name name;

	gossip_queue_init(&queue);
	for (size_t i = 0; i < G_N_ELEMENTS(puts); i++) {
		make_name(&name, "m", puts[i].number);
		g_assert_true(gossip_queue_put(&queue, puts[i].priority, &name,
					       false));
	}
	gossip_queue_sort(&queue);
	g_assert_cmpuint(queue.n, ==, G_N_ELEMENTS(order));
	for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
		make_name(&name, "m", order[i]);
		g_assert_true(name_equal(&queue.items[i].name, &name));
	}
	gossip_queue_finish(&queue);
}

static void test_queue_limits(void)
{
	static const struct {
		enum gossip_priority priority;
		size_t members;
		unsigned int limit;
	} limits[] = {
		{GOSSIP_STATE, 1, 2},	   {GOSSIP_STATE, 15, 8},
		{GOSSIP_REVISION, 15, 4},  {GOSSIP_STATE, 1024, 22},
		{GOSSIP_STATE, 16000, 28},
	};
	struct gossip_queue queue;
	struct name name;

	for (size_t i = 0; i < G_N_ELEMENTS(limits); i++)
		g_assert_cmpuint(gossip_queue_send_limit(limits[i].priority,
							 limits[i].members),
				 ==, limits[i].limit);
	gossip_queue_init(&queue);
	for (int i = 0; i < GOSSIP_QUEUE_MAX; i++) {
		make_name(&name, "m", i);
		g_assert_true(
			gossip_queue_put(&queue, GOSSIP_JOIN, &name, true));
	}
	make_name(&name, "late", 1);
	g_assert_false(gossip_queue_put(&queue, GOSSIP_REVISION, &name, false));
	g_assert_false(gossip_queue_put(&queue, GOSSIP_STATE, &name, false));
	g_assert_cmpuint(queue.n, ==, GOSSIP_QUEUE_MAX);
	gossip_queue_sort(&queue);
	g_assert_true(name_equal(&queue.items[0].name, &name));
	for (unsigned int i = 0; i < 8; i++)
		gossip_queue_count_send(&queue, 0);
	gossip_queue_prune(&queue, 15);
	g_assert_cmpuint(queue.n, ==, GOSSIP_QUEUE_MAX - 1);
	gossip_queue_finish(&queue);
}

/* Under constant demand the bytes sent in any one second stay within the
 * budget of 3072. */
static void test_byte_budget(void)
{
	struct byte_budget budget;
	size_t bytes_sent[3000] = {0};

	byte_budget_init(&budget, 3072, 0);
	for (int ms = 0; ms < 3000; ms++) {
		byte_budget_refill(&budget, ms);
		bytes_sent[ms] = byte_budget_available(&budget) >= 100 ? 100
								       : 0;
		byte_budget_charge(&budget, bytes_sent[ms]);
	}
	for (int from = 0; from + 1000 <= 3000; from++) {
		size_t bytes_in_window = 0;

		for (int ms = from; ms < from + 1000; ms++)
			bytes_in_window += bytes_sent[ms];
		g_assert_cmpuint(bytes_in_window, <=, 3072);
		g_assert_cmpuint(bytes_in_window, >=, 1500);
	}
	byte_budget_charge(&budget, 5000);
	g_assert_cmpuint(byte_budget_available(&budget), ==, 0);
}

static void make_keys(struct keyring *keys, const int *ids, size_t n)
{
	struct status status;
	char hex[33];

	keyring_init(keys);
	status_init(&status);
	for (size_t i = 0; i < n; i++) {
		snprintf(hex, sizeof(hex), "%032x", ids[i]);
		keyring_add(keys, (uint8_t)ids[i], str_from(hex), &status);
		g_assert_cmpint(status.code, ==, STATUS_OK);
	}
}

static void test_auth(void)
{
	static const struct {
		int sender[2], receiver[2];
		size_t n_sender, n_receiver;
		uint16_t port;
		/** Byte to alter, -1 for none. */
		int altered_byte;
		/** Bytes to cut at the end. */
		int cut_bytes;
		bool valid;
	} cases[] = {
		{{0}, {0}, 0, 0, 7, -1, 0, true},
		{{1}, {1}, 1, 1, 7, -1, 0, true},
		{{1}, {2, 1}, 1, 2, 7, -1, 0, true},
		{{2, 1}, {1, 2}, 2, 2, 7, -1, 0, true},
		{{1}, {2}, 1, 1, 7, -1, 0, false},
		{{0}, {1}, 0, 1, 7, -1, 0, false},
		{{1}, {0}, 1, 0, 7, -1, 0, false},
		{{1}, {1}, 1, 1, 8, -1, 0, false},
		{{1}, {1}, 1, 1, 7, 0, 0, false},
		{{1}, {1}, 1, 1, 7, 3, 0, false},
		{{1}, {1}, 1, 1, 7, 12, 0, false},
		{{1}, {1}, 1, 1, 7, -1, 1, false},
		{{1}, {1}, 1, 1, 7, -1, 12, false},
	};
	static const struct endpoint to = {1, 7};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct endpoint self = {1, cases[i].port};
		struct keyring sender, receiver;
		struct strbuf wire;
		struct str body;

		make_keys(&sender, cases[i].sender, cases[i].n_sender);
		make_keys(&receiver, cases[i].receiver, cases[i].n_receiver);
		strbuf_init(&wire);
		auth_seal(&sender, &to, str_from("message"), &wire);
		if (cases[i].altered_byte >= 0)
			wire.data[cases[i].altered_byte] ^= 1;
		g_assert_cmpint(
			auth_open(&receiver, &self, (const uint8_t *)wire.data,
				  wire.len - (size_t)cases[i].cut_bytes, &body),
			==, cases[i].valid);
		if (cases[i].valid)
			g_assert_true(str_equal(body, str_from("message")));
		strbuf_finish(&wire);
	}
}

static void test_replay(void)
{
	static const struct {
		uint64_t instance, number;
		enum replay_verdict verdict;
	} steps[] = {
		{5, 1, REPLAY_FRESH},	       {5, 1, REPLAY_REPEATED},
		{5, 3, REPLAY_FRESH},	       {5, 2, REPLAY_FRESH},
		{5, 2, REPLAY_REPEATED},       {5, 200, REPLAY_FRESH},
		{5, 136, REPLAY_REPEATED},     {5, 137, REPLAY_FRESH},
		{5, 137, REPLAY_REPEATED},     {6, 1, REPLAY_FRESH},
		{5, 201, REPLAY_OLD_INSTANCE}, {6, 1, REPLAY_REPEATED},
	};
	struct replay_guard guard;
	struct name name;

	replay_guard_init(&guard);
	make_name(&name, "m", 1);
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++)
		g_assert_cmpint(replay_guard_check(&guard, &name,
						   steps[i].instance,
						   steps[i].number),
				==, steps[i].verdict);
	replay_guard_finish(&guard);
}

/* Every kind survives encoding and decoding; truncation never crashes. */
static void test_message(void)
{
	for (int kind = MESSAGE_GOSSIP; kind <= MESSAGE_EXCHANGE; kind++) {
		struct message message = {.kind = (enum message_kind)kind,
					  .number = 9,
					  .nonce = 0xdeadbeef};
		struct message decoded;
		struct strbuf wire, storage;

		strbuf_init(&wire);
		strbuf_init(&storage);
		make_member(&message.from.member, 1, "z");
		message.from.brief = kind % 2;
		make_member(&message.members[0].member, 2, "z");
		make_member(&message.members[1].member, 3, "z");
		message.members[1].brief = true;
		message.n_members = 2;
		name_set(&message.zones[0].zone, str_from("z"));
		message.zones[0].id = 4;
		message.zones[0].state = MEMBER_SUSPECT;
		message.n_zones = 1;
		make_member(&message.target, 4, "z");
		message.manifest = str_from("{}");
		message.digest.depth = 3;
		message.digest.mask = 5;
		message.digest.checksums[15] = 77;
		message_encode(&message, &wire);
		g_assert_true(message_decode(&decoded,
					     (const uint8_t *)wire.data,
					     wire.len, &storage));
		g_assert_cmpint(decoded.kind, ==, kind);
		g_assert_cmpuint(decoded.number, ==, 9);
		g_assert_cmpuint(decoded.nonce, ==, 0xdeadbeef);
		g_assert_cmpint(decoded.from.brief, ==, kind % 2);
		g_assert_cmpuint(decoded.from.member.control.ip, ==, 1);
		g_assert_cmpuint(decoded.n_members, ==, 2);
		g_assert_false(decoded.members[0].brief);
		g_assert_cmpuint(decoded.members[0].member.control.ip, ==, 2);
		g_assert_true(decoded.members[1].brief);
		g_assert_cmpuint(decoded.zones[0].id, ==, 4);
		if (kind == MESSAGE_DIGEST)
			g_assert_cmpuint(decoded.digest.checksums[15], ==, 77);
		if (kind == MESSAGE_EXCHANGE)
			g_assert_cmpuint(decoded.digest.mask, ==, 5);
		for (size_t len = 0; len < wire.len; len++)
			message_decode(&decoded, (const uint8_t *)wire.data,
				       len, &storage);
		strbuf_finish(&storage);
		strbuf_finish(&wire);
	}
}

/** Counts the callbacks of a detector and applies its reports. */
struct detector_recorder {
	struct detector_callbacks callbacks;
	unsigned int pings, ping_requests, suspects, deaths, indirect_results;
	uint32_t nonce;
	bool result_alive;
	struct roster *roster;
	struct failure_detector *detector;
	int64_t now_ms;
};

static void record_ping(struct detector_callbacks *callbacks,
			const struct member *to, uint32_t nonce)
{
	struct detector_recorder *recorder =
		(struct detector_recorder *)callbacks;

	(void)to;
	recorder->pings++;
	recorder->nonce = nonce;
}

static void record_ping_request(struct detector_callbacks *callbacks,
				const struct member *helper,
				const struct member *target, uint32_t nonce)
{
	g_assert_false(name_equal(&helper->name, &target->name));
	(void)nonce;
	((struct detector_recorder *)callbacks)->ping_requests++;
}

static void record_indirect_result(struct detector_callbacks *callbacks,
				   const struct endpoint *to, bool alive,
				   uint32_t nonce)
{
	struct detector_recorder *recorder =
		(struct detector_recorder *)callbacks;

	g_assert_cmpuint(to->ip, ==, 9);
	g_assert_cmpuint(nonce, ==, 1234);
	recorder->indirect_results++;
	recorder->result_alive = alive;
}

static void change_state(struct detector_recorder *recorder,
			 const struct member *member, enum member_state state)
{
	struct member entry = *member;

	entry.state = state;
	roster_merge(recorder->roster, &entry, recorder->now_ms);
	failure_detector_member_changed(recorder->detector, &entry,
					recorder->now_ms);
}

static void record_suspect(struct detector_callbacks *callbacks,
			   const struct member *member)
{
	struct detector_recorder *recorder =
		(struct detector_recorder *)callbacks;

	recorder->suspects++;
	change_state(recorder, member, MEMBER_SUSPECT);
}

static void record_dead(struct detector_callbacks *callbacks,
			const struct member *member)
{
	struct detector_recorder *recorder =
		(struct detector_recorder *)callbacks;

	recorder->deaths++;
	change_state(recorder, member, MEMBER_LEFT);
}

static bool is_in_scope(struct detector_callbacks *callbacks,
			const struct member *member)
{
	(void)callbacks;
	return strcmp(member->zone.data, "far");
}

static void run_detector(struct detector_recorder *recorder, int64_t until_ms)
{
	for (; recorder->now_ms < until_ms; recorder->now_ms += 10)
		failure_detector_tick(recorder->detector, recorder->now_ms,
				      &recorder->callbacks);
}

static void setup_detector(struct detector_recorder *recorder,
			   struct failure_detector *detector,
			   struct roster *roster)
{
	struct name self;

	memset(recorder, 0, sizeof(*recorder));
	recorder->callbacks = (struct detector_callbacks){
		record_ping,	record_ping_request, record_indirect_result,
		record_suspect, record_dead,	     is_in_scope,
	};
	recorder->roster = roster;
	recorder->detector = detector;
	make_name(&self, "orders", 1);
	failure_detector_init(detector, roster, &self, 3, 0);
}

/* A member that does not respond to probes is suspected and declared dead,
 * unless it refutes the suspicion. */
static void test_detector_suspicion(void)
{
	static const struct {
		const char *zone;
		/** Whether the member refutes each suspicion. */
		bool refutes;
		/** Whether the member announced that it drains. */
		bool draining;
		/** No member is suspected before this time, as after a pause,
		 * ms. */
		int64_t no_suspicion_until_ms;
		unsigned int min_suspects, max_suspects, deaths;
	} cases[] = {
		{"z", false, false, 0, 1, 1, 1},
		{"z", true, false, 0, 2, 1000, 0},
		{"z", false, true, 0, 0, 0, 1},
		{"z", false, false, 20000, 0, 0, 0},
		{"far", false, false, 0, 0, 0, 0},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct failure_detector detector;
		struct detector_recorder recorder;
		struct roster roster;
		struct member other;

		make_roster(&roster, 1, "z");
		make_member(&other, 2, cases[i].zone);
		if (cases[i].draining)
			other.state = MEMBER_DRAINING;
		roster_merge(&roster, &other, 0);
		setup_detector(&recorder, &detector, &roster);
		if (cases[i].no_suspicion_until_ms)
			failure_detector_reset_after_pause(
				&detector, cases[i].no_suspicion_until_ms, 0);
		for (int64_t ms = 500; ms <= 19000; ms += 500) {
			run_detector(&recorder, ms);
			if (!cases[i].refutes ||
			    roster.members[1].state != MEMBER_SUSPECT)
				continue;
			other.sequence = roster.members[1].sequence + 1;
			change_state(&recorder, &other, MEMBER_ACTIVE);
		}
		g_assert_cmpuint(recorder.suspects, >=, cases[i].min_suspects);
		g_assert_cmpuint(recorder.suspects, <=, cases[i].max_suspects);
		g_assert_cmpuint(recorder.deaths, ==, cases[i].deaths);
		g_assert_cmpint(recorder.pings > 0, ==,
				strcmp(cases[i].zone, "far") != 0);
		failure_detector_finish(&detector);
		roster_finish(&roster);
	}
}

static void test_detector_responses(void)
{
	struct failure_detector detector;
	struct detector_recorder recorder;
	struct roster roster;

	make_roster(&roster, 10, "z");
	setup_detector(&recorder, &detector, &roster);
	for (int64_t ms = 10; ms < 20000; ms += 10) {
		run_detector(&recorder, ms);
		failure_detector_handle_response(&detector, recorder.nonce,
						 true, ms, &recorder.callbacks);
	}
	g_assert_cmpuint(recorder.suspects, ==, 0);
	g_assert_cmpuint(recorder.ping_requests, ==, 0);
	g_assert_cmpuint(recorder.pings, >=, 40);
	failure_detector_finish(&detector);
	roster_finish(&roster);
}

static void test_detector_indirect_probe(void)
{
	static const bool alive[] = {true, false};
	static const struct endpoint requester = {9, 9};

	for (size_t i = 0; i < G_N_ELEMENTS(alive); i++) {
		struct failure_detector detector;
		struct detector_recorder recorder;
		struct roster roster;

		make_roster(&roster, 1, "z");
		setup_detector(&recorder, &detector, &roster);
		failure_detector_start_indirect_probe(&detector, &requester,
						      &roster.members[0], 1234,
						      0, &recorder.callbacks);
		g_assert_cmpuint(recorder.pings, ==, 1);
		if (alive[i])
			failure_detector_handle_response(
				&detector, recorder.nonce, true, 50,
				&recorder.callbacks);
		run_detector(&recorder, 1000);
		g_assert_cmpuint(recorder.indirect_results, ==, 1);
		g_assert_cmpint(recorder.result_alive, ==, alive[i]);
		failure_detector_finish(&detector);
		roster_finish(&roster);
	}
}

/** Exchanges entries between two rosters: @from sends, @to receives. */
struct exchange_recorder {
	struct anti_entropy_callbacks callbacks;
	struct roster *from, *to;
	unsigned int messages;
};

static void merge_all(struct roster *to, const struct member **members,
		      size_t n)
{
	for (size_t i = 0; i < n; i++) {
		struct member copy = *members[i];

		roster_merge(to, &copy, 0);
	}
}

static void record_exchange(struct anti_entropy_callbacks *callbacks,
			    const struct roster_digest *digest)
{
	struct exchange_recorder *recorder =
		(struct exchange_recorder *)callbacks;
	const struct member *members[256];
	struct message message = {.kind = MESSAGE_EXCHANGE, .digest = *digest};
	size_t n = anti_entropy_entries(recorder->from, digest, members,
					EXCHANGE_MEMBERS_MAX);

	recorder->messages++;
	for (size_t i = 0; i < n; i++)
		message.members[message.n_members++].member = *members[i];
	merge_all(recorder->to, members, n);
	n = anti_entropy_newer_entries(recorder->to, &message, 0, members, 256);
	merge_all(recorder->from, members, n);
}

static void record_digest(struct anti_entropy_callbacks *callbacks,
			  const struct roster_digest *digest)
{
	struct exchange_recorder *recorder =
		(struct exchange_recorder *)callbacks;
	struct exchange_recorder reverse = *recorder;

	recorder->messages++;
	reverse.from = recorder->to;
	reverse.to = recorder->from;
	anti_entropy_compare(reverse.from, digest, &reverse.callbacks);
	recorder->messages += reverse.messages - recorder->messages;
}

/* Rosters that differ become equal within max_rounds comparisons. */
static void test_anti_entropy(void)
{
	static const struct {
		int local, remote, changed;
		unsigned int max_rounds;
	} cases[] = {
		{15, 15, 0, 0}, {15, 15, 1, 1},	  {15, 1, 0, 2},
		{1, 15, 0, 4},	{300, 300, 5, 3}, {300, 1, 0, 40},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct exchange_recorder recorder = {
			.callbacks = {record_digest, record_exchange}};
		struct roster local, remote;
		struct roster_digest local_digest = {0}, remote_digest = {0};
		unsigned int rounds = 0;

		make_roster(&local, cases[i].local, "z");
		make_roster(&remote, cases[i].remote, "z");
		for (int j = 0; j < cases[i].changed; j++) {
			struct member entry = local.members[j * 7];

			entry.sequence++;
			roster_merge(&local, &entry, 0);
		}
		recorder.from = &local;
		recorder.to = &remote;
		for (;; rounds++) {
			digest_compute(&local_digest, &local);
			digest_compute(&remote_digest, &remote);
			if (!memcmp(local_digest.checksums,
				    remote_digest.checksums,
				    sizeof(local_digest.checksums)))
				break;
			g_assert_cmpuint(rounds, <, cases[i].max_rounds);
			anti_entropy_compare(&local, &remote_digest,
					     &recorder.callbacks);
		}
		g_assert_cmpuint(local.n, ==, remote.n);
		roster_finish(&local);
		roster_finish(&remote);
	}
}

static void test_zone_monitor(void)
{
	static const struct {
		int members, suspects;
		bool found;
	} cases[] = {
		{30, 7, false}, {30, 9, false}, {30, 10, true},
		{8, 8, true},	{7, 7, false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct zone_monitor *monitor = g_new(struct zone_monitor, 1);
		struct zone_report report, received;
		struct roster roster;

		zone_monitor_init(monitor);
		make_roster(&roster, cases[i].members, "z");
		for (int j = 0; j < cases[i].suspects; j++) {
			struct member entry = roster.members[j];

			entry.state = MEMBER_SUSPECT;
			roster_merge(&roster, &entry, 0);
		}
		g_assert_cmpint(
			zone_monitor_detect_loss(monitor, &roster, 5, &report),
			==, cases[i].found);
		if (cases[i].found) {
			g_assert_cmpuint(report.id, ==, 1);
			g_assert_true(zone_monitor_has_recent_report(
				monitor, &report.zone, 6));
			received = report;
			g_assert_false(zone_monitor_merge_report(monitor,
								 &received, 7));
			received.id = 2;
			g_assert_true(zone_monitor_merge_report(monitor,
								&received, 8));
		}
		g_assert_false(
			zone_monitor_detect_loss(monitor, &roster, 9, &report));
		roster_finish(&roster);
		g_free(monitor);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/roster/revision-merge", test_revision_merge);
	g_test_add_func("/gossip-queue/order", test_queue_order);
	g_test_add_func("/gossip-queue/limits", test_queue_limits);
	g_test_add_func("/byte-budget", test_byte_budget);
	g_test_add_func("/auth", test_auth);
	g_test_add_func("/auth/replay", test_replay);
	g_test_add_func("/message", test_message);
	g_test_add_func("/failure-detector/suspicion", test_detector_suspicion);
	g_test_add_func("/failure-detector/responses", test_detector_responses);
	g_test_add_func("/failure-detector/indirect-probe",
			test_detector_indirect_probe);
	g_test_add_func("/anti-entropy", test_anti_entropy);
	g_test_add_func("/zone-monitor", test_zone_monitor);
	return g_test_run();
}
