#include "tarragonflow/net/packet_auth.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/*
 * Layout of an envelope. The tag covers all bytes after the tag; a datagram
 * with a modified version or key id, which precede the tag, fails verification,
 * too.
 */
#define OFFSET_VERSION 0
#define OFFSET_KEY_ID 1
#define OFFSET_TAG 2
#define OFFSET_INSTANCE 10
#define OFFSET_SENDER 16
#define OFFSET_SEQUENCE 24
/* Differs from the first byte of any IP packet or packet header. */
#define ENVELOPE_VERSION 0xa1
#define INSTANCE_BYTES 6
#define INSTANCE_MASK 0xffffffffffffULL
#define WORD_BITS 64
/* Senders in the table before inactive ones are evicted. */
#define SENDERS_MAX (PACKET_AUTH_TABLE_SLOTS / 4 * 3)
#define HASH_MULTIPLIER 0x9e3779b97f4a7c15ULL

static void put_uint(uint8_t *p, uint64_t v, int bytes)
{
	for (int i = bytes - 1; i >= 0; i--, v >>= 8)
		p[i] = (uint8_t)v;
}

static uint64_t get_uint(const uint8_t *p, int bytes)
{
	uint64_t v = 0;

	for (int i = 0; i < bytes; i++)
		v = v << 8 | p[i];
	return v;
}

/* Fibonacci hashing: uses the high bits of the product. */
static uint32_t hash_slot(uint64_t value, uint32_t size)
{
	return (uint32_t)(value * HASH_MULTIPLIER >> 32) & (size - 1);
}

uint64_t packet_auth_sender_id(const struct name *name)
{
	return XXH3_64bits(name->data, name->len);
}

void packet_auth_init(struct packet_auth *auth, const struct keyring *keyring,
		      uint64_t sender_id, uint64_t instance,
		      struct counters *counters)
{
	memset(auth, 0, sizeof(*auth));
	auth->keyring = keyring;
	auth->counters = counters;
	auth->sender_id = sender_id;
	auth->instance = instance & INSTANCE_MASK;
	auth->sequences = g_new0(uint64_t, PACKET_AUTH_SEQUENCE_COUNTERS);
	auth->senders =
		g_new0(struct packet_auth_sender *, PACKET_AUTH_TABLE_SLOTS);
}

void packet_auth_finish(struct packet_auth *auth)
{
	for (size_t i = 0; i < PACKET_AUTH_TABLE_SLOTS; i++)
		g_free(auth->senders[i]);
	g_free(auth->senders);
	g_free(auth->sequences);
}

void packet_auth_seal(struct packet_auth *auth, const struct endpoint *to,
		      uint8_t *datagram, size_t len)
{
	uint64_t receiver = (uint64_t)to->ip << 16 | to->port;
	uint32_t counter_index =
		hash_slot(receiver, PACKET_AUTH_SEQUENCE_COUNTERS);

	datagram[OFFSET_VERSION] = ENVELOPE_VERSION;
	put_uint(datagram + OFFSET_INSTANCE, auth->instance, INSTANCE_BYTES);
	put_uint(datagram + OFFSET_SENDER, auth->sender_id, 8);
	put_uint(datagram + OFFSET_SEQUENCE, ++auth->sequences[counter_index],
		 8);
	keyring_sign(auth->keyring, datagram + OFFSET_INSTANCE,
		     PACKET_AUTH_BYTES - OFFSET_INSTANCE + len,
		     &datagram[OFFSET_KEY_ID], datagram + OFFSET_TAG);
}

/* Removes all inactive senders and rebuilds the table. */
static void evict_inactive_senders(struct packet_auth *auth, int64_t now_ms)
{
	struct packet_auth_sender **old = auth->senders;

	auth->senders =
		g_new0(struct packet_auth_sender *, PACKET_AUTH_TABLE_SLOTS);
	auth->n_senders = 0;
	for (size_t i = 0; i < PACKET_AUTH_TABLE_SLOTS; i++) {
		uint32_t slot;

		if (!old[i])
			continue;
		if (now_ms - old[i]->last_received_ms >=
		    PACKET_AUTH_EXPIRY_MS) {
			g_free(old[i]);
			continue;
		}
		slot = hash_slot(old[i]->id, PACKET_AUTH_TABLE_SLOTS);
		while (auth->senders[slot])
			slot = (slot + 1) & (PACKET_AUTH_TABLE_SLOTS - 1);
		auth->senders[slot] = old[i];
		auth->n_senders++;
	}
	g_free(old);
}

/* Returns the sender @id, added if new; NULL when the table is full. */
static struct packet_auth_sender *
find_or_add_sender(struct packet_auth *auth, uint64_t id, int64_t now_ms)
{
	uint32_t slot = hash_slot(id, PACKET_AUTH_TABLE_SLOTS);
	struct packet_auth_sender *sender;

	while ((sender = auth->senders[slot])) {
		if (sender->id == id)
			return sender;
		slot = (slot + 1) & (PACKET_AUTH_TABLE_SLOTS - 1);
	}
	if (auth->n_senders >= SENDERS_MAX) {
		if (now_ms < auth->next_eviction_ms)
			return NULL;
		auth->next_eviction_ms = now_ms + PACKET_AUTH_EXPIRY_MS;
		evict_inactive_senders(auth, now_ms);
		return auth->n_senders < SENDERS_MAX
			       ? find_or_add_sender(auth, id, now_ms)
			       : NULL;
	}
	sender = g_new0(struct packet_auth_sender, 1);
	sender->id = id;
	sender->last_received_ms = now_ms;
	auth->senders[slot] = sender;
	auth->n_senders++;
	return sender;
}

static void reset_replay_window(struct packet_auth_sender *sender,
				uint64_t instance)
{
	sender->instance = instance;
	sender->newest_sequence = 0;
	memset(sender->accepted_bits, 0, sizeof(sender->accepted_bits));
}

/* Makes @sequence the newest one and clears the bits of skipped numbers. */
static void advance_replay_window(struct packet_auth_sender *sender,
				  uint64_t sequence)
{
	uint64_t steps = sequence - sender->newest_sequence;

	if (steps >= PACKET_AUTH_WINDOW_PACKETS) {
		memset(sender->accepted_bits, 0, sizeof(sender->accepted_bits));
	} else {
		for (uint64_t s = sender->newest_sequence + 1; s <= sequence;
		     s++) {
			uint64_t bit = s % PACKET_AUTH_WINDOW_PACKETS;

			sender->accepted_bits[bit / WORD_BITS] &=
				~(1ULL << bit % WORD_BITS);
		}
	}
	sender->newest_sequence = sequence;
}

/* Accepts @sequence of @instance; false for a replay or if either is too old.
 */
static bool accept_sequence(struct packet_auth_sender *sender,
			    uint64_t instance, uint64_t sequence,
			    int64_t now_ms)
{
	uint64_t bit = sequence % PACKET_AUTH_WINDOW_PACKETS;
	uint64_t mask = 1ULL << bit % WORD_BITS;

	if (instance > sender->instance ||
	    (instance < sender->instance &&
	     now_ms - sender->last_received_ms >= PACKET_AUTH_EXPIRY_MS))
		reset_replay_window(sender, instance);
	if (instance < sender->instance)
		return false;
	if (sequence > sender->newest_sequence)
		advance_replay_window(sender, sequence);
	else if (sender->newest_sequence - sequence >=
			 PACKET_AUTH_WINDOW_PACKETS ||
		 (sender->accepted_bits[bit / WORD_BITS] & mask))
		return false;
	sender->accepted_bits[bit / WORD_BITS] |= mask;
	sender->last_received_ms = now_ms;
	return true;
}

static int count_drop(struct packet_auth *auth, enum counter_id reason)
{
	counter_inc(auth->counters, reason);
	return -1;
}

int packet_auth_open(struct packet_auth *auth, const uint8_t *datagram,
		     size_t len, int64_t now_ms)
{
	struct packet_auth_sender *sender;

	if (keyring_empty(auth->keyring))
		return 0;
	if (len < PACKET_AUTH_BYTES ||
	    datagram[OFFSET_VERSION] != ENVELOPE_VERSION)
		return count_drop(auth, COUNTER_DROP_UNSIGNED);
	switch (keyring_verify(auth->keyring, datagram + OFFSET_INSTANCE,
			       len - OFFSET_INSTANCE, datagram[OFFSET_KEY_ID],
			       datagram + OFFSET_TAG)) {
	case KEYRING_UNKNOWN_KEY:
		return count_drop(auth, COUNTER_DROP_UNKNOWN_KEY);
	case KEYRING_BAD_TAG:
		return count_drop(auth, COUNTER_DROP_BAD_TAG);
	case KEYRING_VALID:
		break;
	}
	sender = find_or_add_sender(auth, get_uint(datagram + OFFSET_SENDER, 8),
				    now_ms);
	if (!sender)
		return count_drop(auth, COUNTER_DROP_SENDER_TABLE_FULL);
	if (!accept_sequence(
		    sender,
		    get_uint(datagram + OFFSET_INSTANCE, INSTANCE_BYTES),
		    get_uint(datagram + OFFSET_SEQUENCE, 8), now_ms))
		return count_drop(auth, COUNTER_DROP_REPLAYED);
	return PACKET_AUTH_BYTES;
}
