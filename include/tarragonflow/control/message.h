#ifndef TARRAGONFLOW_CONTROL_MESSAGE_H
#define TARRAGONFLOW_CONTROL_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/str.h"
#include "tarragonflow/platform/platform.h"
#include "tarragonflow/roster/roster.h"

/**
 * Control messages in the form that the cores use. The wire form is
 * protobuf (proto/control.proto).
 */
enum message_kind {
	MESSAGE_GOSSIP = 1,
	MESSAGE_PULL = 2,
	MESSAGE_CONFIG = 3,
	MESSAGE_PING = 4,
	MESSAGE_ACK = 5,
	MESSAGE_PING_REQUEST = 6,
};

/** Roster entries in one message, at most. */
#define MESSAGE_MEMBERS_MAX 16

struct message {
	enum message_kind kind;
	/** The sender's own entry. */
	struct member from;
	struct member members[MESSAGE_MEMBERS_MAX];
	size_t n_members;
	/**
	 * Canonical manifest of a CONFIG; points into the decoded data. Empty
	 * when it is too large for a datagram: it is pulled over TCP then.
	 */
	struct str manifest;
	int64_t config_revision;
	/** What the sender knows about contacts with the platform. */
	struct platform_ages ages;
	uint64_t nonce;
	/** Whom a PING_REQUEST is about; has_target says if it is set. */
	struct member target;
	bool has_target;
};

/** Appends the wire form of @message to @out. */
void message_encode(const struct message *message, struct strbuf *out);

/**
 * Decodes @data; false when malformed, with no effect to keep. The manifest
 * is copied into @storage.
 */
bool message_decode(struct message *message, const uint8_t *data, size_t len,
		    struct strbuf *storage);

#endif
