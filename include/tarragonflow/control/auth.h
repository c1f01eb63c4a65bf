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
 * Authentication of control messages. A datagram consists of a key id, a tag
 * and the message; the tag authenticates the receiver's address and the
 * message. Key id 0 means that there is no key and no tag.
 */

/** Appends to @out the signed datagram of @message for the receiver @to. */
void auth_seal(const struct keyring *keys, const struct endpoint *to,
	       struct str message, struct strbuf *out);

/**
 * Verifies a datagram received at address @self; @message then points into
 * @data. False when the tag is missing or wrong.
 */
bool auth_open(const struct keyring *keys, const struct endpoint *self,
	       const uint8_t *data, size_t len, struct str *message);

/**
 * Replay protection: for each sender, the instance and a sliding window of the
 * message numbers that were accepted.
 */
struct replay_guard {
	GHashTable *windows;
};

enum replay_verdict {
	REPLAY_FRESH,
	/** Accepted before, or older than the window. */
	REPLAY_REPEATED,
	/** From an earlier instance of the sender. */
	REPLAY_OLD_INSTANCE,
};

void replay_guard_init(struct replay_guard *guard);
void replay_guard_finish(struct replay_guard *guard);

/** Checks message @number of @instance of @sender and records it. */
enum replay_verdict replay_guard_check(struct replay_guard *guard,
				       const struct name *sender,
				       uint64_t instance, uint64_t number);

#endif
