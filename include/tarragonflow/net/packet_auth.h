#ifndef TARRAGONFLOW_NET_PACKET_AUTH_H
#define TARRAGONFLOW_NET_PACKET_AUTH_H

#include "tarragonflow/common/counter.h"
#include "tarragonflow/common/keyring.h"
#include "tarragonflow/net/endpoint.h"

/**
 * The authenticated form of datagrams between balancers and agents: an
 * envelope with sender, sequence number and keyed tag in front of packet
 * header and inner packet. It is renewed at each hop.
 *
 * Replay is bounded by a window of sequence numbers per sender and instance,
 * so that no clock is compared. A sender that restarts has a greater
 * instance; datagrams of a smaller one are refused. Only senders with a
 * valid tag take room in the table.
 */

/** Bytes of an envelope: version, key id, tag, instance, sender, sequence. */
#define PACKET_AUTH_BYTES 32

/** Sequence counters; those of different receivers are mostly apart. */
#define PACKET_AUTH_COUNTERS 4096

/** Datagrams that may arrive behind the newest one of their sender. */
#define PACKET_AUTH_WINDOW 1024

/** Senders that are remembered, at most; a power of two. */
#define PACKET_AUTH_SENDERS 32768

/** Time until a silent sender may be forgotten or go back, ms. */
#define PACKET_AUTH_FORGET_MS 60000

struct packet_auth_sender {
	uint64_t id;
	uint64_t instance;
	/** Greatest sequence number accepted. */
	uint64_t newest;
	int64_t last_ms;
	/** One bit for each sequence number of the window, by its remainder. */
	uint64_t seen[PACKET_AUTH_WINDOW / 64];
};

struct packet_auth {
	const struct keyring *keyring;
	struct counters *counters;
	uint64_t self;
	uint64_t instance;
	/** By hash of the receiver, so that a window sees few gaps. */
	uint64_t *sequences;
	/** Open-addressed table of pointers, allocated as senders appear. */
	struct packet_auth_sender **senders;
	uint32_t n_senders;
	/** A full table is not swept again before, ms. */
	int64_t next_sweep_ms;
};

/** The 64 bits that name the process called @name in envelopes. */
uint64_t packet_auth_sender_id(const struct name *name);

/**
 * @self is from packet_auth_sender_id(), @instance its instance (48
 * bits are carried). The keyring must outlive @auth.
 */
void packet_auth_init(struct packet_auth *auth, const struct keyring *keyring,
		      uint64_t self, uint64_t instance,
		      struct counters *counters);
void packet_auth_finish(struct packet_auth *auth);

/**
 * Fills in the envelope, the first PACKET_AUTH_BYTES of @datagram, for the
 * @len bytes that follow it on their way to @to. There must be a key.
 */
void packet_auth_seal(struct packet_auth *auth, const struct endpoint *to,
		      uint8_t *datagram, size_t len);

/**
 * Checks a received datagram. Returns the number of bytes to skip, or -1
 * when it is to be dropped; the reason is counted. Without keys nothing is
 * checked and nothing skipped.
 */
int packet_auth_open(struct packet_auth *auth, const uint8_t *datagram,
		     size_t len, int64_t now_ms);

#endif
