#include <glib.h>
#include <string.h>

#include "tarragonflow/common/keyring.h"

#define KEY_A "000102030405060708090a0b0c0d0e0f"
#define KEY_B "f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff"

static void add_key(struct keyring *keyring, uint8_t id, const char *hex)
{
	struct status status;

	status_init(&status);
	g_assert_cmpint(keyring_add(keyring, id, str_from(hex), &status), ==,
			STATUS_OK);
}

/* The published test vector of SipHash-2-4 for 15 bytes 00 to 0e. */
static void test_published_vector(void)
{
	static const uint8_t expected[KEYRING_TAG_BYTES] = {
		0xe5, 0x45, 0xbe, 0x49, 0x61, 0xca, 0x29, 0xa1};
	uint8_t data[15], tag[KEYRING_TAG_BYTES], id;
	struct keyring keyring;

	for (size_t i = 0; i < sizeof(data); i++)
		data[i] = (uint8_t)i;
	keyring_init(&keyring);
	add_key(&keyring, 7, KEY_A);
	keyring_sign(&keyring, data, sizeof(data), &id, tag);
	g_assert_cmpuint(id, ==, 7);
	g_assert_cmpmem(tag, sizeof(tag), expected, sizeof(expected));
	keyring_finish(&keyring);
	g_assert_true(keyring_empty(&keyring));
}

static void test_add(void)
{
	static const struct {
		uint8_t id;
		const char *hex;
		enum status_code code;
	} cases[] = {
		{0, KEY_B, STATUS_INVALID},
		{1, KEY_B, STATUS_INVALID},
		{2, "", STATUS_INVALID},
		{2, "00", STATUS_INVALID},
		{2, KEY_B "00", STATUS_INVALID},
		{2, "g0f1f2f3f4f5f6f7f8f9fafbfcfdfeff", STATUS_INVALID},
		{2, KEY_B, STATUS_OK},
		{3, KEY_B, STATUS_FULL},
	};
	struct keyring keyring;
	struct status status;

	keyring_init(&keyring);
	add_key(&keyring, 1, KEY_A);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		status_init(&status);
		g_assert_cmpint(keyring_add(&keyring, cases[i].id,
					    str_from(cases[i].hex), &status),
				==, cases[i].code);
		g_assert_null(strstr(status.message, "f0f1"));
	}
}

/*
 * Each pair of steps that a sender and a receiver may have reached in a key
 * rotation, and pairs that can't occur in a valid rotation.
 */
static void test_rotation(void)
{
	static const struct {
		uint8_t sender[KEYRING_KEYS_MAX], receiver[KEYRING_KEYS_MAX];
		enum keyring_verdict verdict;
	} cases[] = {
		{{1, 0}, {1, 0}, KEYRING_VALID},
		{{1, 2}, {1, 0}, KEYRING_VALID},
		{{1, 0}, {1, 2}, KEYRING_VALID},
		{{2, 1}, {1, 2}, KEYRING_VALID},
		{{1, 2}, {2, 1}, KEYRING_VALID},
		{{2, 0}, {2, 1}, KEYRING_VALID},
		{{2, 1}, {2, 0}, KEYRING_VALID},
		{{2, 0}, {1, 0}, KEYRING_UNKNOWN_KEY},
		{{1, 0}, {0, 0}, KEYRING_UNKNOWN_KEY},
	};
	static const char *const keys[] = {NULL, KEY_A, KEY_B};
	uint8_t tag[KEYRING_TAG_BYTES], id;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct keyring sender, receiver;

		keyring_init(&sender);
		keyring_init(&receiver);
		for (int j = 0; j < KEYRING_KEYS_MAX; j++) {
			uint8_t s = cases[i].sender[j];
			uint8_t r = cases[i].receiver[j];

			if (s)
				add_key(&sender, s, keys[s]);
			if (r)
				add_key(&receiver, r, keys[r]);
		}
		keyring_sign(&sender, "data", 4, &id, tag);
		g_assert_cmpint(keyring_verify(&receiver, "data", 4, id, tag),
				==, cases[i].verdict);
	}
}

static void test_modified_data(void)
{
	uint8_t tag[KEYRING_TAG_BYTES], id, data[40] = {1, 2, 3};
	struct keyring keyring;

	keyring_init(&keyring);
	add_key(&keyring, 1, KEY_A);
	keyring_sign(&keyring, data, sizeof(data), &id, tag);
	for (size_t bit = 0; bit < sizeof(data) * 8; bit++) {
		data[bit / 8] ^= (uint8_t)(1 << bit % 8);
		g_assert_cmpint(
			keyring_verify(&keyring, data, sizeof(data), id, tag),
			==, KEYRING_BAD_TAG);
		data[bit / 8] ^= (uint8_t)(1 << bit % 8);
	}
	for (size_t bit = 0; bit < sizeof(tag) * 8; bit++) {
		tag[bit / 8] ^= (uint8_t)(1 << bit % 8);
		g_assert_cmpint(
			keyring_verify(&keyring, data, sizeof(data), id, tag),
			==, KEYRING_BAD_TAG);
		tag[bit / 8] ^= (uint8_t)(1 << bit % 8);
	}
	for (size_t len = 0; len < sizeof(data); len++)
		g_assert_cmpint(keyring_verify(&keyring, data, len, id, tag),
				==, KEYRING_BAD_TAG);
	g_assert_cmpint(keyring_verify(&keyring, data, sizeof(data), id, tag),
			==, KEYRING_VALID);
}

static void test_read(void)
{
	static const struct {
		const char *text;
		unsigned int errors;
		size_t keys;
	} cases[] = {
		{"{}", 0, 0},
		{"{\"keys\":[]}", 0, 0},
		{"{\"keys\":[{\"id\":1,\"key\":\"" KEY_A "\"}]}", 0, 1},
		{"{\"keys\":[{\"id\":1,\"key\":\"" KEY_A "\"},"
		 "{\"id\":2,\"key\":\"" KEY_B "\"}]}",
		 0, 2},
		{"{\"keys\":[{\"id\":1,\"key\":\"" KEY_A "\"},"
		 "{\"id\":1,\"key\":\"" KEY_B "\"}]}",
		 1, 1},
		{"{\"keys\":[{\"id\":1,\"key\":\"zz\"}]}", 1, 0},
		{"{\"keys\":[{\"id\":256,\"key\":\"" KEY_A "\"}]}", 1, 0},
		{"{\"keys\":[{\"id\":1}]}", 1, 0},
		{"{\"keys\":[3]}", 1, 0},
		{"{\"keys\":3}", 1, 0},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct json_errors errors;
		struct keyring keyring;
		json_t *root = json_loads(cases[i].text, 0, NULL);

		json_errors_init(&errors, "test");
		keyring_init(&keyring);
		keyring_read(&keyring, root, "keys", &errors);
		g_assert_cmpuint(errors.count, ==, cases[i].errors);
		g_assert_cmpuint(keyring.n, ==, cases[i].keys);
		json_errors_finish(&errors);
		json_decref(root);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/keyring/published-vector", test_published_vector);
	g_test_add_func("/keyring/add", test_add);
	g_test_add_func("/keyring/rotation", test_rotation);
	g_test_add_func("/keyring/modified-data", test_modified_data);
	g_test_add_func("/keyring/read", test_read);
	return g_test_run();
}
