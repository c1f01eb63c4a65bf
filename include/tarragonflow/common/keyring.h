#ifndef TARRAGONFLOW_COMMON_KEYRING_H
#define TARRAGONFLOW_COMMON_KEYRING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/json_reader.h"

/**
 * Shared secret keys for keyed tags (SipHash-2-4, by libsodium). Two keys
 * are valid at once, so that keys are replaced without a moment in which
 * two processes reject each other: the first key of the list signs, both
 * verify.
 */

/** Keys that are valid at once, at most. */
#define KEYRING_KEYS_MAX 2

/** Bytes of one key. */
#define KEYRING_KEY_BYTES 16

/** Bytes of one tag. */
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
	KEYRING_GOOD,
	/** No key has this id. */
	KEYRING_UNKNOWN_KEY,
	/** The tag doesn't belong to the data. */
	KEYRING_BAD_TAG,
};

/** A keyring without keys: nothing can be signed or verified. */
void keyring_init(struct keyring *keyring);

/** Wipes the keys. */
void keyring_finish(struct keyring *keyring);

/** True when there is no key. */
bool keyring_empty(const struct keyring *keyring);

/**
 * Adds the key of @id given by @hex (32 hexadecimal digits). STATUS_INVALID
 * when it isn't that or the id is taken, STATUS_FULL beyond
 * KEYRING_KEYS_MAX.
 */
enum status_code keyring_add(struct keyring *keyring, uint8_t id,
			     struct str hex, struct status *status);

/**
 * Reads the optional array @name of {"id": 1 to 255, "key": hex} objects of
 * @root; faults go to @errors. No message ever holds key material.
 */
void keyring_read(struct keyring *keyring, const json_t *root, const char *name,
		  struct json_errors *errors);

/**
 * Computes the @tag (KEYRING_TAG_BYTES) of @data by the first key and gives
 * its @id. The keyring must not be empty.
 */
void keyring_sign(const struct keyring *keyring, const void *data, size_t len,
		  uint8_t *id, uint8_t *tag);

/** Checks @tag of @data by the key of @id, in constant time. */
enum keyring_verdict keyring_verify(const struct keyring *keyring,
				    const void *data, size_t len, uint8_t id,
				    const uint8_t *tag);

#endif
