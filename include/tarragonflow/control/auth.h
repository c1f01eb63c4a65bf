#ifndef TARRAGONFLOW_CONTROL_AUTH_H
#define TARRAGONFLOW_CONTROL_AUTH_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/str.h"
#include "tarragonflow/net/endpoint.h"

/**
 * Authentication of control messages. A datagram is a key id, a tag and the
 * message; the tag is keyed BLAKE2b over the key id, the receiver's address
 * and the message. Two keys are valid at once, so that keys can be rotated
 * without an outage. Key id 0 means that there is no key and no tag.
 */
#define AUTH_KEY_BYTES 32
#define AUTH_TAG_BYTES 16
#define AUTH_KEYS_MAX 2

struct auth_key {
	/** 1 to 255. */
	uint8_t id;
	uint8_t bytes[AUTH_KEY_BYTES];
};

/** The first key signs; every key verifies. None: nothing is signed. */
struct auth_keys {
	struct auth_key keys[AUTH_KEYS_MAX];
	size_t n;
};

/** Adds key @id, given as @hex digits; false when either is invalid. */
bool auth_keys_add(struct auth_keys *keys, int64_t id, struct str hex);

/** Appends the datagram of @message for the receiver at @to. */
void auth_seal(const struct auth_keys *keys, const struct endpoint *to,
	       struct str message, struct strbuf *out);

/** Checks a datagram that came to @self and finds its message. */
bool auth_open(const struct auth_keys *keys, const struct endpoint *self,
	       const uint8_t *data, size_t len, struct str *message);

/**
 * Bounds replay: for each sender the instance and the numbers of its
 * messages that were taken, in a sliding window.
 */
struct replay_guard {
	GHashTable *windows;
};

enum replay_verdict {
	REPLAY_FRESH,
	/** Seen before, or too old to tell. */
	REPLAY_REPEATED,
	/** From an earlier run of the sender. */
	REPLAY_OLD_INSTANCE,
};

void replay_guard_init(struct replay_guard *guard);
void replay_guard_finish(struct replay_guard *guard);

/** Judges message @number of run @instance of @sender and remembers it. */
enum replay_verdict replay_guard_check(struct replay_guard *guard,
				       const struct name *sender,
				       uint64_t instance, uint64_t number);

#endif
