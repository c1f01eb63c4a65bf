#ifndef TARRAGONFLOW_CONTROL_MESSAGE_H
#define TARRAGONFLOW_CONTROL_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/str.h"
#include "tarragonflow/store/object_store.h"
#include "tarragonflow/roster/roster.h"
#include "tarragonflow/roster/zone_orders.h"

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
	MESSAGE_NACK = 7,
	MESSAGE_DIGEST = 8,
	MESSAGE_EXCHANGE = 9,
};

/** Roster entries in one message, at most. */
#define MESSAGE_MEMBERS_MAX 40

/** Zone reports in one message, at most. */
#define MESSAGE_ZONES_MAX 8

/** Largest datagram of any kind but CONFIG, bytes. */
#define MESSAGE_BYTES_MAX 1200

/** Children of a node of the digest tree. */
#define DIGEST_FANOUT 16

/** Half-bytes of a hashed name. */
#define DIGEST_DEPTH_MAX 16

/**
 * A roster entry on its way. A brief one has only name, instance, sequence,
 * state, control address and config_revision.
 */
struct message_entry {
	struct member member;
	bool brief;
};

/** A state of all members of a zone at once. */
struct zone_report {
	struct name zone;
	/** Tells reports on one zone apart; the greater one is the later. */
	uint64_t id;
	enum member_state state;
};

/** Sums over the part of the roster that a prefix of hashed names picks. */
struct roster_digest {
	/** Half-bytes of the prefix that count. */
	uint32_t depth;
	uint64_t prefix;
	/** DIGEST: one for each value of the next half-byte. */
	uint32_t sums[DIGEST_FANOUT];
	/** EXCHANGE: the values of the next half-byte that are meant. */
	uint32_t mask;
};

struct message {
	enum message_kind kind;
	/** The sender's own entry. */
	struct message_entry from;
	struct message_entry members[MESSAGE_MEMBERS_MAX];
	size_t n_members;
	struct zone_report zones[MESSAGE_ZONES_MAX];
	size_t n_zones;
	/**
	 * Canonical manifest of a CONFIG; points into the decoded data. Empty
	 * when it is too large for a datagram: it is pulled over TCP then.
	 */
	struct str manifest;
	int64_t config_revision;
	/** What the sender knows about contacts with the platform. */
	struct store_ages ages;
	/** Release that the receiver had in force before it was restarted. */
	uint64_t former_release;
	/** All orders on zones that the sender knows. */
	struct zone_orders orders;
	uint32_t nonce;
	/** Whom a PING_REQUEST is about; brief. */
	struct member target;
	/** Part of the roster that a DIGEST or EXCHANGE is about. */
	struct roster_digest digest;
	/** Counts the messages of the sender's instance. */
	uint64_t number;
};

/** Appends the wire form of @message to @out. */
void message_encode(const struct message *message, struct strbuf *out);

/** Bytes that @entry adds to a message. */
size_t message_entry_bytes(const struct message_entry *entry);

/** Bytes that @report adds to a message. */
size_t message_zone_bytes(const struct zone_report *report);

/**
 * Decodes @data; false when malformed, with no effect to keep. The manifest
 * is copied into @storage.
 */
bool message_decode(struct message *message, const uint8_t *data, size_t len,
		    struct strbuf *storage);

#endif
