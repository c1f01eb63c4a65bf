#include "tarragonflow/common/keyring.h"

#include <assert.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define KEY_ID_MAX 255
#define HEX_DIGITS (2 * KEYRING_KEY_BYTES)
#define FIELD_PATH_MAX_BYTES 64

static_assert(KEYRING_KEY_BYTES == crypto_shorthash_KEYBYTES, "key size");
static_assert(KEYRING_TAG_BYTES == crypto_shorthash_BYTES, "tag size");

/* An element of a key list in the settings. */
struct key_entry {
	int64_t id;
	struct json_text key;
};

static const struct field key_fields[] = {
	{.name = "id",
	 .type = FIELD_INT,
	 .offset = offsetof(struct key_entry, id),
	 .required = true,
	 .min = 1,
	 .max = KEY_ID_MAX},
	{.name = "key",
	 .type = FIELD_TEXT,
	 .offset = offsetof(struct key_entry, key),
	 .required = true,
	 .min = 1,
	 .max = JSON_TEXT_MAX},
};

void keyring_init(struct keyring *keyring)
{
	memset(keyring, 0, sizeof(*keyring));
}

void keyring_finish(struct keyring *keyring)
{
	sodium_memzero(keyring, sizeof(*keyring));
}

bool keyring_empty(const struct keyring *keyring)
{
	return !keyring->n;
}

static const struct keyring_key *find_key(const struct keyring *keyring,
					  uint8_t id)
{
	for (size_t i = 0; i < keyring->n; i++)
		if (keyring->keys[i].id == id)
			return &keyring->keys[i];
	return NULL;
}

enum status_code keyring_add(struct keyring *keyring, uint8_t id,
			     struct str hex, struct status *status)
{
	struct keyring_key key = {.id = id};
	size_t len = 0;

	if (keyring->n == KEYRING_KEYS_MAX)
		return status_set(status, STATUS_FULL,
				  "found too many keys, allowed are at most %d",
				  KEYRING_KEYS_MAX);
	if (!id || find_key(keyring, id))
		return status_set(status, STATUS_INVALID,
				  "found the key id %d again, allowed are "
				  "different ids from 1 up",
				  id);
	if (hex.len != HEX_DIGITS ||
	    sodium_hex2bin(key.bytes, sizeof(key.bytes), hex.data, hex.len,
			   NULL, &len, NULL) ||
	    len != KEYRING_KEY_BYTES)
		return status_set(status, STATUS_INVALID,
				  "found %zu bytes, allowed are %d hexadecimal "
				  "digits",
				  hex.len, HEX_DIGITS);
	keyring->keys[keyring->n++] = key;
	return STATUS_OK;
}

static void read_key(struct keyring *keyring, const json_t *object,
		     const char *path, struct json_errors *errors)
{
	struct key_entry entry = {0};
	unsigned int errors_before = errors->count;
	struct status status;
	struct str hex;

	json_reader_object(object, path, key_fields,
			   sizeof(key_fields) / sizeof(key_fields[0]), &entry,
			   errors);
	if (errors->count > errors_before)
		return;
	status_init(&status);
	hex.data = entry.key.data;
	hex.len = entry.key.len;
	if (keyring_add(keyring, (uint8_t)entry.id, hex, &status) != STATUS_OK)
		json_errors_add(errors, path, "%s", status.message);
	sodium_memzero(&entry, sizeof(entry));
}

void keyring_read(struct keyring *keyring, const json_t *root, const char *name,
		  struct json_errors *errors)
{
	const json_t *keys = json_reader_array(root, "", name, KEYRING_KEYS_MAX,
					       false, errors);
	char path[FIELD_PATH_MAX_BYTES];
	const json_t *key;
	size_t i;

	json_array_foreach(keys, i, key)
	{
		snprintf(path, sizeof(path), "%s[%zu]", name, i);
		read_key(keyring, key, path, errors);
	}
}

void keyring_sign(const struct keyring *keyring, const void *data, size_t len,
		  uint8_t *id, uint8_t *tag)
{
	const struct keyring_key *key = &keyring->keys[0];

	*id = key->id;
	crypto_shorthash(tag, data, len, key->bytes);
}

enum keyring_verdict keyring_verify(const struct keyring *keyring,
				    const void *data, size_t len, uint8_t id,
				    const uint8_t *tag)
{
	const struct keyring_key *key = find_key(keyring, id);
	uint8_t expected[KEYRING_TAG_BYTES];

	if (!key)
		return KEYRING_UNKNOWN_KEY;
	crypto_shorthash(expected, data, len, key->bytes);
	if (sodium_memcmp(expected, tag, sizeof(expected)) != 0)
		return KEYRING_BAD_TAG;
	return KEYRING_VALID;
}
