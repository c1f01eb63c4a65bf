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
 * Control messages in decoded form. The wire format is protobuf
 * (proto/control.proto).
 */
enum message_kind {
	/** Roster entries and zone reports; other kinds may carry them, too. */
	MESSAGE_GOSSIP = 1,
	/** Requests the receiver's full entry, or its configuration over TCP.
	 */
	MESSAGE_PULL = 2,
	MESSAGE_CONFIG = 3,
	/** Probes the receiver, which responds with an ACK. */
	MESSAGE_PING = 4,
	MESSAGE_ACK = 5,
	/** Requests the receiver to probe another member. */
	MESSAGE_PING_REQUEST = 6,
	/** The member probed for a PING_REQUEST has not responded. */
	MESSAGE_NACK = 7,
	/** Checksums over a part of the sender's roster. */
	MESSAGE_DIGEST = 8,
	/** Entries of a part of the roster; requests the receiver's newer ones.
	 */
	MESSAGE_EXCHANGE = 9,
};

/** Maximum number of roster entries in one message. */
#define MESSAGE_MEMBERS_MAX 40

/** Maximum number of zone reports in one message. */
#define MESSAGE_ZONES_MAX 8

/** Maximum size of a datagram of any kind except CONFIG, bytes. */
#define MESSAGE_BYTES_MAX 1200

/** Children per node of the tree of checksums over the roster. */
#define DIGEST_FANOUT 16

/** Depth of the tree of checksums: the half-bytes of a hashed name. */
#define DIGEST_DEPTH_MAX 16

/**
 * A roster entry in a message. A brief one has only name, instance, sequence,
 * state and config_revision; the sender's also has its control address.
 */
struct message_entry {
	struct member member;
	bool brief;
};

/** Largest id of a zone report. */
#define ZONE_REPORT_ID_MAX (1ULL << 53)

/** Reports the state of all members of a zone at once. */
struct zone_report {
	struct name zone;
	/** Distinguishes reports on one zone; a greater id is newer. */
	uint64_t id;
	enum member_state state;
};

/** A part of the roster: members whose hashed names begin with a prefix. */
struct roster_digest {
	/** Length of the prefix, half-bytes. */
	uint32_t depth;
	uint64_t prefix;
	/** DIGEST: checksum of the entries for each value of the half-byte that
	 * follows the prefix. */
	uint32_t checksums[DIGEST_FANOUT];
	/** EXCHANGE: bit i selects the members whose hashed names have the
	 * value i in the half-byte that follows the prefix. */
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
	 * when it is too large for a datagram; it is then pulled over TCP.
	 */
	struct str manifest;
	/** Release of the configuration that a CONFIG sends or announces. */
	int64_t config_revision;
	/** Time since the last known contacts with the platform. */
	struct store_contact_ages contact_ages;
	/** Release that the receiver had in force before its restart, as known
	 * to the sender; 0 for none. */
	uint64_t previous_release;
	/** Newest epoch of the platform's store that the sender knows;
	 * 0 for none. */
	uint64_t store_epoch;
	/** All zone orders that the sender has. */
	struct zone_orders zone_orders;
	/** Matches a response with its request. */
	uint32_t nonce;
	/** PING_REQUEST: the member to probe; a brief entry. */
	struct member target;
	/** The part of the roster that a DIGEST or EXCHANGE covers. */
	struct roster_digest digest;
	/** Number of this message since the sender's instance started. */
	uint64_t number;
	/** Decoded messages: entries, zone reports and zone orders that were
	 * skipped as not valid, and the invalid field of the last one. */
	size_t n_skipped;
	const char *skipped_field;
};

/** Appends the wire form of @message to @out. */
void message_encode(const struct message *message, struct strbuf *out);

/** Bytes that @entry adds to a message. */
size_t message_entry_bytes(const struct message_entry *entry);

/** Bytes that @report adds to a message. */
size_t message_zone_bytes(const struct zone_report *report);

/**
 * Decodes @data; false when malformed, and @message is then invalid. Entries,
 * zone reports and zone orders that are not valid are skipped. The manifest is
 * copied into @storage.
 */
bool message_decode(struct message *message, const uint8_t *data, size_t len,
		    struct strbuf *storage);

#endif
