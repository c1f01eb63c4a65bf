#ifndef TARRAGONFLOW_COMMON_KEYRING_H
#define TARRAGONFLOW_COMMON_KEYRING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/json_reader.h"

/**
 * Shared secret keys for message authentication tags (SipHash-2-4, by
 * libsodium). The first key of the list signs; all keys of the list verify.
 * Two keys are valid at once, so that during a key rotation processes never
 * reject each other's messages.
 */

/** Maximum number of keys that are valid at once. */
#define KEYRING_KEYS_MAX 2

/** Length of a key in bytes. */
#define KEYRING_KEY_BYTES 16

/** Length of a tag in bytes. */
#define KEYRING_TAG_BYTES 8

struct keyring_key {
	uint8_t id;
	uint8_t bytes[KEYRING_KEY_BYTES];
};

struct keyring {
	struct keyring_key keys[KEYRING_KEYS_MAX];
	size_t n;
};

enum keyring_verdict {
	KEYRING_VALID,
	/** No key has this id. */
	KEYRING_UNKNOWN_KEY,
	/** The tag does not match the data. */
	KEYRING_BAD_TAG,
};

/** Initialises a keyring without keys: it can neither sign nor verify. */
void keyring_init(struct keyring *keyring);

/** Erases the keys from memory. */
void keyring_finish(struct keyring *keyring);

/** Whether @keyring has no key. */
bool keyring_empty(const struct keyring *keyring);

/**
 * Adds the key @hex (32 hexadecimal digits) with @id. STATUS_INVALID when
 * @hex is malformed or @id is 0 or in use, STATUS_FULL when there are
 * KEYRING_KEYS_MAX keys already.
 */
enum status_code keyring_add(struct keyring *keyring, uint8_t id,
			     struct str hex, struct status *status);

/**
 * Reads the optional array @name of @root into @keyring; its elements are
 * objects {"id": 1 to 255, "key": hex}. Errors are added to @errors; no error
 * message contains key material.
 */
void keyring_read(struct keyring *keyring, const json_t *root, const char *name,
		  struct json_errors *errors);

/**
 * Stores in @tag (KEYRING_TAG_BYTES) the tag of @data by the first key, and in
 * @id the id of the first key. The keyring must not be empty.
 */
void keyring_sign(const struct keyring *keyring, const void *data, size_t len,
		  uint8_t *id, uint8_t *tag);

/** Verifies @tag of @data with the key @id, in constant time. */
enum keyring_verdict keyring_verify(const struct keyring *keyring,
				    const void *data, size_t len, uint8_t id,
				    const uint8_t *tag);

#endif
