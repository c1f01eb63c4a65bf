#include <glib.h>
#include <string.h>

#include "tarragonflow/net/packet_auth.h"

#define BODY 100
#define SIZE (PACKET_AUTH_BYTES + BODY)
#define KEY_A "000102030405060708090a0b0c0d0e0f"
#define KEY_B "f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff"

/* A process that sends and one that receives. */
struct pair {
	struct keyring sender_keys, receiver_keys;
	struct packet_auth sender, receiver;
	struct counters counters;
	uint8_t wire[SIZE];
};

static const struct endpoint to = {0x7f000001, 4701};

static void add_key(struct keyring *keyring, uint8_t id, const char *hex)
{
	struct status status;

	status_init(&status);
	g_assert_cmpint(keyring_add(keyring, id, str_from(hex), &status), ==,
			STATUS_OK);
}

static void pair_init(struct pair *pair)
{
	memset(pair, 0, sizeof(*pair));
	add_key(&pair->sender_keys, 1, KEY_A);
	add_key(&pair->receiver_keys, 1, KEY_A);
	counters_init(&pair->counters);
	packet_auth_init(&pair->sender, &pair->sender_keys, 11, 5,
			 &pair->counters);
	packet_auth_init(&pair->receiver, &pair->receiver_keys, 22, 5,
			 &pair->counters);
}

static void pair_finish(struct pair *pair)
{
	packet_auth_finish(&pair->sender);
	packet_auth_finish(&pair->receiver);
}

static void seal(struct pair *pair)
{
	memset(pair->wire + PACKET_AUTH_BYTES, 'x', BODY);
	packet_auth_seal(&pair->sender, &to, pair->wire, BODY);
}

static int receive(struct pair *pair, size_t len, int64_t now_ms)
{
	return packet_auth_open(&pair->receiver, pair->wire, len, now_ms);
}

static uint64_t drops(const struct pair *pair, enum counter_id id)
{
	return counter_get(&pair->counters, id);
}

static void test_forged(void)
{
	struct pair pair;
	uint64_t dropped;

	pair_init(&pair);
	seal(&pair);
	for (size_t bit = 0; bit < SIZE * 8; bit++) {
		pair.wire[bit / 8] ^= (uint8_t)(1 << bit % 8);
		g_assert_cmpint(receive(&pair, SIZE, 0), ==, -1);
		pair.wire[bit / 8] ^= (uint8_t)(1 << bit % 8);
	}
	dropped = drops(&pair, COUNTER_DROP_AUTH) +
		  drops(&pair, COUNTER_DROP_UNKNOWN_KEY) +
		  drops(&pair, COUNTER_DROP_UNSIGNED);
	g_assert_cmpuint(dropped, ==, SIZE * 8);
	g_assert_cmpuint(drops(&pair, COUNTER_DROP_UNSIGNED), ==, 8);
	g_assert_cmpuint(drops(&pair, COUNTER_DROP_UNKNOWN_KEY), ==, 8);
	g_assert_cmpint(receive(&pair, SIZE, 0), ==, PACKET_AUTH_BYTES);
	pair_finish(&pair);
}

static void test_truncated(void)
{
	struct pair pair;

	pair_init(&pair);
	seal(&pair);
	for (size_t len = 0; len < SIZE; len++)
		g_assert_cmpint(receive(&pair, len, 0), ==, -1);
	g_assert_cmpuint(drops(&pair, COUNTER_DROP_UNSIGNED), ==,
			 PACKET_AUTH_BYTES);
	g_assert_cmpuint(drops(&pair, COUNTER_DROP_AUTH), ==, BODY);
	pair_finish(&pair);
}

/* Sequence numbers in the order of arrival, and what becomes of each. */
static void test_replay(void)
{
	static const struct {
		uint64_t sequence;
		bool good;
	} cases[] = {
		{1, true},     {1, false},     {3, true},     {2, true},
		{2, false},    {3, false},     {1500, true},  {1500, false},
		{476, false},  {477, true},    {477, false},  {1499, true},
		{9000, true},  {7976, false},  {7977, true},  {1500, false},
		{10023, true}, {9000, false},  {9001, true},  {10024, true},
		{9000, false}, {100000, true}, {99999, true}, {10024, false},
	};
	uint64_t refused = 0;
	struct pair pair;

	pair_init(&pair);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (int j = 0; j < PACKET_AUTH_COUNTERS; j++)
			pair.sender.sequences[j] = cases[i].sequence - 1;
		seal(&pair);
		g_assert_cmpint(receive(&pair, SIZE, 0), ==,
				cases[i].good ? PACKET_AUTH_BYTES : -1);
		refused += !cases[i].good;
	}
	g_assert_cmpuint(drops(&pair, COUNTER_DROP_REPLAYED), ==, refused);
	pair_finish(&pair);
}

/* A sender restarts: its old datagrams are refused from then on. */
static void test_instances(void)
{
	static const struct {
		uint64_t instance;
		int64_t now_ms;
		bool good;
	} cases[] = {
		{5, 0, true},
		{5, 1, false},
		{6, 2, true},
		{5, 3, false},
		{5, 2 + PACKET_AUTH_FORGET_MS - 1, false},
		{4, 2 + PACKET_AUTH_FORGET_MS, true},
		{4, 3 + PACKET_AUTH_FORGET_MS, false},
	};
	struct pair pair;

	pair_init(&pair);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		memset(pair.sender.sequences, 0,
		       PACKET_AUTH_COUNTERS * sizeof(uint64_t));
		pair.sender.instance = cases[i].instance;
		seal(&pair);
		g_assert_cmpint(receive(&pair, SIZE, cases[i].now_ms), ==,
				cases[i].good ? PACKET_AUTH_BYTES : -1);
	}
	pair_finish(&pair);
}

/* Keys change in three steps, with datagrams on the way at each. */
static void test_rotation(void)
{
	static const struct {
		uint8_t sender[2], receiver[2];
		bool good;
	} steps[] = {
		{{1, 0}, {1, 0}, true},	 {{1, 0}, {1, 2}, true},
		{{1, 2}, {1, 2}, true},	 {{2, 1}, {1, 2}, true},
		{{1, 2}, {2, 1}, true},	 {{2, 1}, {2, 1}, true},
		{{2, 0}, {2, 1}, true},	 {{2, 0}, {2, 0}, true},
		{{1, 0}, {2, 0}, false},
	};
	static const char *const keys[] = {NULL, KEY_A, KEY_B};
	struct pair pair;

	pair_init(&pair);
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		keyring_init(&pair.sender_keys);
		keyring_init(&pair.receiver_keys);
		for (int j = 0; j < 2; j++) {
			if (steps[i].sender[j])
				add_key(&pair.sender_keys, steps[i].sender[j],
					keys[steps[i].sender[j]]);
			if (steps[i].receiver[j])
				add_key(&pair.receiver_keys,
					steps[i].receiver[j],
					keys[steps[i].receiver[j]]);
		}
		seal(&pair);
		g_assert_cmpint(receive(&pair, SIZE, 0), ==,
				steps[i].good ? PACKET_AUTH_BYTES : -1);
	}
	g_assert_cmpuint(drops(&pair, COUNTER_DROP_UNKNOWN_KEY), ==, 1);
	pair_finish(&pair);
}

static void test_senders_bounded(void)
{
	const uint32_t full = PACKET_AUTH_SENDERS / 4 * 3;
	struct pair pair;

	pair_init(&pair);
	for (uint64_t id = 1; id <= full; id++) {
		pair.sender.self = id;
		seal(&pair);
		g_assert_cmpint(receive(&pair, SIZE, 0), >, 0);
	}
	pair.sender.self = full + 1;
	seal(&pair);
	g_assert_cmpint(receive(&pair, SIZE, 1), ==, -1);
	g_assert_cmpuint(drops(&pair, COUNTER_DROP_SENDERS_FULL), ==, 1);
	g_assert_cmpint(receive(&pair, SIZE, 1 + PACKET_AUTH_FORGET_MS), >, 0);
	g_assert_cmpuint(pair.receiver.n_senders, ==, 1);
	pair_finish(&pair);
}

static void test_without_keys(void)
{
	struct pair pair;

	pair_init(&pair);
	seal(&pair);
	keyring_init(&pair.receiver_keys);
	g_assert_cmpint(receive(&pair, SIZE, 0), ==, 0);
	pair_finish(&pair);
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
