#include "tarragonflow/net/packet_auth.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/*
 * Where the parts of an envelope stand. The tag covers all after it; another
 * version or key id in front of it doesn't verify either.
 */
#define AT_VERSION 0
#define AT_KEY 1
#define AT_TAG 2
#define AT_INSTANCE 10
#define AT_SENDER 16
#define AT_SEQUENCE 24
/* Never the first byte of an IP packet or of a bare header. */
#define VERSION 0xa1
#define INSTANCE_BYTES 6
#define INSTANCE_MASK 0xffffffffffffULL
#define WORD_BITS 64
/* From this share on, senders that are silent are forgotten. */
#define SENDERS_FULL (PACKET_AUTH_SENDERS / 4 * 3)
#define GOLDEN_RATIO 0x9e3779b97f4a7c15ULL

static void put(uint8_t *p, uint64_t v, int bytes)
{
	for (int i = bytes - 1; i >= 0; i--, v >>= 8)
		p[i] = (uint8_t)v;
}

static uint64_t get(const uint8_t *p, int bytes)
{
	uint64_t v = 0;

	for (int i = 0; i < bytes; i++)
		v = v << 8 | p[i];
	return v;
}

/* Spreads @value; the high bits of the product are the good ones. */
static uint32_t slot_of(uint64_t value, uint32_t size)
{
	return (uint32_t)(value * GOLDEN_RATIO >> 32) & (size - 1);
}

uint64_t packet_auth_sender_id(const struct name *name)
{
	return XXH3_64bits(name->data, name->len);
}

void packet_auth_init(struct packet_auth *auth, const struct keyring *keyring,
		      uint64_t self, uint64_t instance,
		      struct counters *counters)
{
	memset(auth, 0, sizeof(*auth));
	auth->keyring = keyring;
	auth->counters = counters;
	auth->self = self;
	auth->instance = instance & INSTANCE_MASK;
	auth->sequences = g_new0(uint64_t, PACKET_AUTH_COUNTERS);
	auth->senders =
		g_new0(struct packet_auth_sender *, PACKET_AUTH_SENDERS);
}

void packet_auth_finish(struct packet_auth *auth)
{
	for (size_t i = 0; i < PACKET_AUTH_SENDERS; i++)
		g_free(auth->senders[i]);
	g_free(auth->senders);
	g_free(auth->sequences);
}

void packet_auth_seal(struct packet_auth *auth, const struct endpoint *to,
		      uint8_t *datagram, size_t len)
{
	uint64_t receiver = (uint64_t)to->ip << 16 | to->port;
	uint32_t counter = slot_of(receiver, PACKET_AUTH_COUNTERS);

	datagram[AT_VERSION] = VERSION;
	put(datagram + AT_INSTANCE, auth->instance, INSTANCE_BYTES);
	put(datagram + AT_SENDER, auth->self, 8);
	put(datagram + AT_SEQUENCE, ++auth->sequences[counter], 8);
	keyring_sign(auth->keyring, datagram + AT_INSTANCE,
		     PACKET_AUTH_BYTES - AT_INSTANCE + len, &datagram[AT_KEY],
		     datagram + AT_TAG);
}

/* Forgets all senders that are silent, and places the others anew. */
static void sweep(struct packet_auth *auth, int64_t now_ms)
{
	struct packet_auth_sender **old = auth->senders;

	auth->senders =
		g_new0(struct packet_auth_sender *, PACKET_AUTH_SENDERS);
	auth->n_senders = 0;
	for (size_t i = 0; i < PACKET_AUTH_SENDERS; i++) {
		uint32_t slot;

		if (!old[i])
			continue;
		if (now_ms - old[i]->last_ms >= PACKET_AUTH_FORGET_MS) {
			g_free(old[i]);
			continue;
		}
		slot = slot_of(old[i]->id, PACKET_AUTH_SENDERS);
		while (auth->senders[slot])
			slot = (slot + 1) & (PACKET_AUTH_SENDERS - 1);
		auth->senders[slot] = old[i];
		auth->n_senders++;
	}
	g_free(old);
}

/* The sender @id, remembered from now on; NULL when there is no room. */
static struct packet_auth_sender *find_sender(struct packet_auth *auth,
					      uint64_t id, int64_t now_ms)
{
	uint32_t slot = slot_of(id, PACKET_AUTH_SENDERS);
	struct packet_auth_sender *sender;

	while ((sender = auth->senders[slot])) {
		if (sender->id == id)
			return sender;
		slot = (slot + 1) & (PACKET_AUTH_SENDERS - 1);
	}
	if (auth->n_senders >= SENDERS_FULL) {
		if (now_ms < auth->next_sweep_ms)
			return NULL;
		auth->next_sweep_ms = now_ms + PACKET_AUTH_FORGET_MS;
		sweep(auth, now_ms);
		return auth->n_senders < SENDERS_FULL
			       ? find_sender(auth, id, now_ms)
			       : NULL;
	}
	sender = g_new0(struct packet_auth_sender, 1);
	sender->id = id;
	sender->last_ms = now_ms;
	auth->senders[slot] = sender;
	auth->n_senders++;
	return sender;
}

static void restart_window(struct packet_auth_sender *sender, uint64_t instance)
{
	sender->instance = instance;
	sender->newest = 0;
	memset(sender->seen, 0, sizeof(sender->seen));
}

/* Moves the window on to @sequence, forgetting what falls out of it. */
static void advance(struct packet_auth_sender *sender, uint64_t sequence)
{
	uint64_t steps = sequence - sender->newest;

	if (steps >= PACKET_AUTH_WINDOW) {
		memset(sender->seen, 0, sizeof(sender->seen));
	} else {
		for (uint64_t s = sender->newest + 1; s <= sequence; s++) {
			uint64_t bit = s % PACKET_AUTH_WINDOW;

			sender->seen[bit / WORD_BITS] &=
				~(1ULL << bit % WORD_BITS);
		}
	}
	sender->newest = sequence;
}

/* True when @sequence of @instance was not accepted before. */
static bool accept_once(struct packet_auth_sender *sender, uint64_t instance,
			uint64_t sequence, int64_t now_ms)
{
	uint64_t bit = sequence % PACKET_AUTH_WINDOW;
	uint64_t mask = 1ULL << bit % WORD_BITS;

	if (instance > sender->instance ||
	    (instance < sender->instance &&
	     now_ms - sender->last_ms >= PACKET_AUTH_FORGET_MS))
		restart_window(sender, instance);
	if (instance < sender->instance)
		return false;
	if (sequence > sender->newest)
		advance(sender, sequence);
	else if (sender->newest - sequence >= PACKET_AUTH_WINDOW ||
		 (sender->seen[bit / WORD_BITS] & mask))
		return false;
	sender->seen[bit / WORD_BITS] |= mask;
	sender->last_ms = now_ms;
	return true;
}

static int drop(struct packet_auth *auth, enum counter_id reason)
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
	if (len < PACKET_AUTH_BYTES || datagram[AT_VERSION] != VERSION)
		return drop(auth, COUNTER_DROP_UNSIGNED);
	switch (keyring_verify(auth->keyring, datagram + AT_INSTANCE,
			       len - AT_INSTANCE, datagram[AT_KEY],
			       datagram + AT_TAG)) {
	case KEYRING_UNKNOWN_KEY:
		return drop(auth, COUNTER_DROP_UNKNOWN_KEY);
	case KEYRING_BAD_TAG:
		return drop(auth, COUNTER_DROP_AUTH);
	case KEYRING_GOOD:
		break;
	}
	sender = find_sender(auth, get(datagram + AT_SENDER, 8), now_ms);
	if (!sender)
		return drop(auth, COUNTER_DROP_SENDERS_FULL);
	if (!accept_once(sender, get(datagram + AT_INSTANCE, INSTANCE_BYTES),
			 get(datagram + AT_SEQUENCE, 8), now_ms))
		return drop(auth, COUNTER_DROP_REPLAYED);
	return PACKET_AUTH_BYTES;
}
