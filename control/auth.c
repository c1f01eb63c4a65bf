#include "tarragonflow/control/auth.h"

#include <string.h>
#include <xxhash.h>

#define ADDRESS_BYTES 6
#define HEAD_BYTES 1
#define WINDOW_BITS 64

/** What was taken from one sender. */
struct replay_window {
	uint64_t sender;
	uint64_t instance;
	/** Greatest number taken. */
	uint64_t top;
	/** Bit i: number top - i was taken. */
	uint64_t taken;
};

/* What the tag is over: the receiver's address and the message. */
static void signed_data(const struct endpoint *to, struct str message,
			struct strbuf *out)
{
	const uint8_t address[ADDRESS_BYTES] = {
		(uint8_t)(to->ip >> 24),  (uint8_t)(to->ip >> 16),
		(uint8_t)(to->ip >> 8),	  (uint8_t)to->ip,
		(uint8_t)(to->port >> 8), (uint8_t)to->port,
	};

	strbuf_init(out);
	strbuf_add(out, address, sizeof(address));
	strbuf_add(out, message.data, message.len);
}

void auth_seal(const struct keyring *keys, const struct endpoint *to,
	       struct str message, struct strbuf *out)
{
	uint8_t head[HEAD_BYTES + KEYRING_TAG_BYTES] = {0};
	struct strbuf data;

	if (keyring_empty(keys)) {
		strbuf_add(out, head, HEAD_BYTES);
	} else {
		signed_data(to, message, &data);
		keyring_sign(keys, data.data, data.len, &head[0],
			     head + HEAD_BYTES);
		strbuf_add(out, head, sizeof(head));
		strbuf_finish(&data);
	}
	strbuf_add(out, message.data, message.len);
}

static bool verify(const struct keyring *keys, const struct endpoint *self,
		   const uint8_t *head, struct str message)
{
	struct strbuf data;
	bool good;

	signed_data(self, message, &data);
	good = keyring_verify(keys, data.data, data.len, head[0],
			      head + HEAD_BYTES) == KEYRING_GOOD;
	strbuf_finish(&data);
	return good;
}

bool auth_open(const struct keyring *keys, const struct endpoint *self,
	       const uint8_t *data, size_t len, struct str *message)
{
	bool keyed = !keyring_empty(keys);
	size_t head = keyed ? HEAD_BYTES + KEYRING_TAG_BYTES : HEAD_BYTES;

	if (len < head || (!keyed && data[0]))
		return false;
	message->data = (const char *)data + head;
	message->len = len - head;
	return !keyed || verify(keys, self, data, *message);
}

void replay_guard_init(struct replay_guard *guard)
{
	guard->windows = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
}

void replay_guard_finish(struct replay_guard *guard)
{
	g_hash_table_destroy(guard->windows);
}

static struct replay_window *find_window(struct replay_guard *guard,
					 const struct name *sender)
{
	uint64_t id = XXH3_64bits(sender->data, sender->len);
	struct replay_window *window = g_hash_table_lookup(guard->windows, &id);

	if (window)
		return window;
	window = g_new0(struct replay_window, 1);
	window->sender = id;
	g_hash_table_insert(guard->windows, &window->sender, window);
	return window;
}

enum replay_verdict replay_guard_check(struct replay_guard *guard,
				       const struct name *sender,
				       uint64_t instance, uint64_t number)
{
	struct replay_window *window = find_window(guard, sender);
	uint64_t back;

	if (instance < window->instance)
		return REPLAY_OLD_INSTANCE;
	if (instance > window->instance) {
		window->instance = instance;
		window->top = number;
		window->taken = 1;
		return REPLAY_FRESH;
	}
	if (number > window->top) {
		back = number - window->top;
		window->taken = back < WINDOW_BITS ? window->taken << back | 1
						   : 1;
		window->top = number;
		return REPLAY_FRESH;
	}
	back = window->top - number;
	if (back >= WINDOW_BITS || window->taken >> back & 1)
		return REPLAY_REPEATED;
	window->taken |= 1ULL << back;
	return REPLAY_FRESH;
}
