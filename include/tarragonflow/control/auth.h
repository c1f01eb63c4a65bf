#ifndef TARRAGONFLOW_CONTROL_AUTH_H
#define TARRAGONFLOW_CONTROL_AUTH_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/keyring.h"
#include "tarragonflow/common/str.h"
#include "tarragonflow/net/endpoint.h"

/**
 * Authentication of control messages. A datagram is a key id, a tag and the
 * message; the tag is over the receiver's address and the message. Key id 0
 * means that there is no key and no tag.
 */

/** Appends the datagram of @message for the receiver at @to. */
void auth_seal(const struct keyring *keys, const struct endpoint *to,
	       struct str message, struct strbuf *out);

/** Checks a datagram that came to @self and finds its message. */
bool auth_open(const struct keyring *keys, const struct endpoint *self,
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
