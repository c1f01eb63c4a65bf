#include <glib.h>
#include <string.h>

#include "tarragonflow/net/packet_auth.h"

#define BODY_BYTES 100
#define DATAGRAM_BYTES (PACKET_AUTH_BYTES + BODY_BYTES)
#define KEY_A "000102030405060708090a0b0c0d0e0f"
#define KEY_B "f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff"

/* A sender and a receiver of authenticated datagrams. */
struct peers {
	struct keyring sender_keys, receiver_keys;
	struct packet_auth sender, receiver;
	struct counters counters;
	uint8_t wire[DATAGRAM_BYTES];
};

static const struct endpoint receiver_address = {0x7f000001, 4701};

static void add_key(struct keyring *keyring, uint8_t id, const char *hex)
{
	struct status status;

	status_init(&status);
	g_assert_cmpint(keyring_add(keyring, id, str_from(hex), &status), ==,
			STATUS_OK);
}

static void peers_init(struct peers *peers)
{
	memset(peers, 0, sizeof(*peers));
	add_key(&peers->sender_keys, 1, KEY_A);
	add_key(&peers->receiver_keys, 1, KEY_A);
	counters_init(&peers->counters);
	packet_auth_init(&peers->sender, &peers->sender_keys, 11, 5,
			 &peers->counters);
	packet_auth_init(&peers->receiver, &peers->receiver_keys, 22, 5,
			 &peers->counters);
}

static void peers_finish(struct peers *peers)
{
	packet_auth_finish(&peers->sender);
	packet_auth_finish(&peers->receiver);
}

static void seal(struct peers *peers)
{
	memset(peers->wire + PACKET_AUTH_BYTES, 'x', BODY_BYTES);
	packet_auth_seal(&peers->sender, &receiver_address, peers->wire,
			 BODY_BYTES);
}

static int receive(struct peers *peers, size_t len, int64_t now_ms)
{
	return packet_auth_open(&peers->receiver, peers->wire, len, now_ms);
}

static uint64_t get_counter(const struct peers *peers, enum counter_id id)
{
	return counter_get(&peers->counters, id);
}

static void test_forged(void)
{
	struct peers peers;
	uint64_t dropped;

	peers_init(&peers);
	seal(&peers);
	for (size_t bit = 0; bit < DATAGRAM_BYTES * 8; bit++) {
		peers.wire[bit / 8] ^= (uint8_t)(1 << bit % 8);
		g_assert_cmpint(receive(&peers, DATAGRAM_BYTES, 0), ==, -1);
		peers.wire[bit / 8] ^= (uint8_t)(1 << bit % 8);
	}
	dropped = get_counter(&peers, COUNTER_DROP_BAD_TAG) +
		  get_counter(&peers, COUNTER_DROP_UNKNOWN_KEY) +
		  get_counter(&peers, COUNTER_DROP_UNSIGNED);
	g_assert_cmpuint(dropped, ==, DATAGRAM_BYTES * 8);
	g_assert_cmpuint(get_counter(&peers, COUNTER_DROP_UNSIGNED), ==, 8);
	g_assert_cmpuint(get_counter(&peers, COUNTER_DROP_UNKNOWN_KEY), ==, 8);
	g_assert_cmpint(receive(&peers, DATAGRAM_BYTES, 0), ==,
			PACKET_AUTH_BYTES);
	peers_finish(&peers);
}

static void test_truncated(void)
{
	struct peers peers;

	peers_init(&peers);
	seal(&peers);
	for (size_t len = 0; len < DATAGRAM_BYTES; len++)
		g_assert_cmpint(receive(&peers, len, 0), ==, -1);
	g_assert_cmpuint(get_counter(&peers, COUNTER_DROP_UNSIGNED), ==,
			 PACKET_AUTH_BYTES);
	g_assert_cmpuint(get_counter(&peers, COUNTER_DROP_BAD_TAG), ==,
			 BODY_BYTES);
	peers_finish(&peers);
}

/* Sequence numbers in order of arrival, and whether each is accepted. */
static void test_replay(void)
{
	static const struct {
		uint64_t sequence;
		bool accepted;
	} cases[] = {
		{1, true},     {1, false},     {3, true},     {2, true},
		{2, false},    {3, false},     {1500, true},  {1500, false},
		{476, false},  {477, true},    {477, false},  {1499, true},
		{9000, true},  {7976, false},  {7977, true},  {1500, false},
		{10023, true}, {9000, false},  {9001, true},  {10024, true},
		{9000, false}, {100000, true}, {99999, true}, {10024, false},
	};
	uint64_t n_refused = 0;
	struct peers peers;

	peers_init(&peers);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (int j = 0; j < PACKET_AUTH_SEQUENCE_COUNTERS; j++)
			peers.sender.sequences[j] = cases[i].sequence - 1;
		seal(&peers);
		g_assert_cmpint(receive(&peers, DATAGRAM_BYTES, 0), ==,
				cases[i].accepted ? PACKET_AUTH_BYTES : -1);
		n_refused += !cases[i].accepted;
	}
	g_assert_cmpuint(get_counter(&peers, COUNTER_DROP_REPLAYED), ==,
			 n_refused);
	peers_finish(&peers);
}

/* After a sender restarts, datagrams of its old instance are refused. */
static void test_instances(void)
{
	static const struct {
		uint64_t instance;
		int64_t now_ms;
		bool accepted;
	} cases[] = {
		{5, 0, true},
		{5, 1, false},
		{6, 2, true},
		{5, 3, false},
		{5, 2 + PACKET_AUTH_EXPIRY_MS - 1, false},
		{4, 2 + PACKET_AUTH_EXPIRY_MS, true},
		{4, 3 + PACKET_AUTH_EXPIRY_MS, false},
	};
	struct peers peers;

	peers_init(&peers);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		memset(peers.sender.sequences, 0,
		       PACKET_AUTH_SEQUENCE_COUNTERS * sizeof(uint64_t));
		peers.sender.instance = cases[i].instance;
		seal(&peers);
		g_assert_cmpint(
			receive(&peers, DATAGRAM_BYTES, cases[i].now_ms), ==,
			cases[i].accepted ? PACKET_AUTH_BYTES : -1);
	}
	peers_finish(&peers);
}

/* A key rotation in three steps, with datagrams in flight at each. */
static void test_rotation(void)
{
	static const struct {
		uint8_t sender[2], receiver[2];
		bool accepted;
	} steps[] = {
		{{1, 0}, {1, 0}, true},	 {{1, 0}, {1, 2}, true},
		{{1, 2}, {1, 2}, true},	 {{2, 1}, {1, 2}, true},
		{{1, 2}, {2, 1}, true},	 {{2, 1}, {2, 1}, true},
		{{2, 0}, {2, 1}, true},	 {{2, 0}, {2, 0}, true},
		{{1, 0}, {2, 0}, false},
	};
	static const char *const keys[] = {NULL, KEY_A, KEY_B};
	struct peers peers;

	peers_init(&peers);
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		keyring_init(&peers.sender_keys);
		keyring_init(&peers.receiver_keys);
		for (int j = 0; j < 2; j++) {
			if (steps[i].sender[j])
				add_key(&peers.sender_keys, steps[i].sender[j],
					keys[steps[i].sender[j]]);
			if (steps[i].receiver[j])
				add_key(&peers.receiver_keys,
					steps[i].receiver[j],
					keys[steps[i].receiver[j]]);
		}
		seal(&peers);
		g_assert_cmpint(receive(&peers, DATAGRAM_BYTES, 0), ==,
				steps[i].accepted ? PACKET_AUTH_BYTES : -1);
	}
	g_assert_cmpuint(get_counter(&peers, COUNTER_DROP_UNKNOWN_KEY), ==, 1);
	peers_finish(&peers);
}

static void test_senders_bounded(void)
{
	const uint32_t n_max = PACKET_AUTH_TABLE_SLOTS / 4 * 3;
	struct peers peers;

	peers_init(&peers);
	for (uint64_t id = 1; id <= n_max; id++) {
		peers.sender.sender_id = id;
		seal(&peers);
		g_assert_cmpint(receive(&peers, DATAGRAM_BYTES, 0), >, 0);
	}
	peers.sender.sender_id = n_max + 1;
	seal(&peers);
	g_assert_cmpint(receive(&peers, DATAGRAM_BYTES, 1), ==, -1);
	g_assert_cmpuint(get_counter(&peers, COUNTER_DROP_SENDER_TABLE_FULL),
			 ==, 1);
	g_assert_cmpint(
		receive(&peers, DATAGRAM_BYTES, 1 + PACKET_AUTH_EXPIRY_MS), >,
		0);
	g_assert_cmpuint(peers.receiver.n_senders, ==, 1);
	peers_finish(&peers);
}

static void test_without_keys(void)
{
	struct peers peers;

	peers_init(&peers);
	seal(&peers);
	keyring_init(&peers.receiver_keys);
	g_assert_cmpint(receive(&peers, DATAGRAM_BYTES, 0), ==, 0);
	peers_finish(&peers);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/packet-auth/forged", test_forged);
	g_test_add_func("/packet-auth/truncated", test_truncated);
	g_test_add_func("/packet-auth/replay", test_replay);
	g_test_add_func("/packet-auth/instances", test_instances);
	g_test_add_func("/packet-auth/rotation", test_rotation);
	g_test_add_func("/packet-auth/senders-bounded", test_senders_bounded);
	g_test_add_func("/packet-auth/without-keys", test_without_keys);
	return g_test_run();
}
