#ifndef TARRAGONFLOW_NET_PACKET_AUTH_H
#define TARRAGONFLOW_NET_PACKET_AUTH_H

#include "tarragonflow/common/counter.h"
#include "tarragonflow/common/keyring.h"
#include "tarragonflow/net/endpoint.h"

/**
 * Authentication of datagrams between balancers and agents: an envelope with
 * sender, sequence number and keyed tag precedes packet header and inner
 * packet. Each hop verifies the envelope and creates a new one.
 *
 * A sliding window of sequence numbers per sender and instance prevents replay
 * without comparing clocks. A sender that restarts uses a greater instance, and
 * datagrams of a smaller instance are dropped. A sender is added to the table
 * only after a datagram with a valid tag.
 */

/** Envelope of version, key id, tag, instance, sender and sequence, bytes. */
#define PACKET_AUTH_BYTES 32

/** Sequence counters of a sender, selected by a hash of the receiver. */
#define PACKET_AUTH_SEQUENCE_COUNTERS 4096

/** Accepted reordering: how far a sequence number may be behind the newest. */
#define PACKET_AUTH_WINDOW_PACKETS 1024

/** Size of the sender table, of which 3/4 are used; a power of two. */
#define PACKET_AUTH_TABLE_SLOTS 32768

/**
 * Time without datagrams until a sender may be evicted or use a smaller
 * instance, ms.
 */
#define PACKET_AUTH_EXPIRY_MS 60000

/** Replay window of one sender. */
struct packet_auth_sender {
	/** packet_auth_sender_id(). */
	uint64_t id;
	uint64_t instance;
	/** Greatest sequence number accepted. */
	uint64_t newest_sequence;
	int64_t last_received_ms;
	/**
	 * Bit s % PACKET_AUTH_WINDOW_PACKETS is set if sequence number s of the
	 * window was accepted.
	 */
	uint64_t accepted_bits[PACKET_AUTH_WINDOW_PACKETS / 64];
};

struct packet_auth {
	const struct keyring *keyring;
	struct counters *counters;
	/** Own identity in envelopes. */
	uint64_t sender_id;
	uint64_t instance;
	/**
	 * Last sequence numbers sent, by hash of the receiver: few receivers
	 * share a counter, so that each sees few gaps in its window.
	 */
	uint64_t *sequences;
	/** Hash table with open addressing; entries are allocated on demand. */
	struct packet_auth_sender **senders;
	uint32_t n_senders;
	/** Earliest time to evict senders from a full table again, ms. */
	int64_t next_eviction_ms;
};

/** The 64-bit sender id, in envelopes, of the process called @name. */
uint64_t packet_auth_sender_id(const struct name *name);

/**
 * @sender_id is from packet_auth_sender_id(); envelopes carry the low 48 bits
 * of @instance. The keyring must outlive @auth.
 */
void packet_auth_init(struct packet_auth *auth, const struct keyring *keyring,
		      uint64_t sender_id, uint64_t instance,
		      struct counters *counters);
void packet_auth_finish(struct packet_auth *auth);

/**
 * Writes the envelope into the first PACKET_AUTH_BYTES of @datagram, for the
 * @len bytes after them, to be sent to @to. Requires a key.
 */
void packet_auth_seal(struct packet_auth *auth, const struct endpoint *to,
		      uint8_t *datagram, size_t len);

/**
 * Verifies a received datagram. Returns the length of its envelope, or -1 when
 * the datagram must be dropped, and then counts the reason. Without keys,
 * returns 0 and checks nothing.
 */
int packet_auth_open(struct packet_auth *auth, const uint8_t *datagram,
		     size_t len, int64_t now_ms);

#endif
