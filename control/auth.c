#include "tarragonflow/control/auth.h"

#include <sodium.h>
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

bool auth_keys_add(struct auth_keys *keys, int64_t id, struct str hex)
{
	struct auth_key *key = &keys->keys[keys->n];
	const char *end = NULL;
	size_t len = 0;

	if (sodium_init() < 0 || keys->n == AUTH_KEYS_MAX || id < 1 ||
	    id > UINT8_MAX)
		return false;
	for (size_t i = 0; i < keys->n; i++)
		if (keys->keys[i].id == id)
			return false;
	if (sodium_hex2bin(key->bytes, sizeof(key->bytes), hex.data, hex.len,
			   NULL, &len, &end) ||
	    len != AUTH_KEY_BYTES || end != hex.data + hex.len)
		return false;
	key->id = (uint8_t)id;
	keys->n++;
	return true;
}

static const struct auth_key *find_key(const struct auth_keys *keys, uint8_t id)
{
	for (size_t i = 0; i < keys->n; i++)
		if (keys->keys[i].id == id)
			return &keys->keys[i];
	return NULL;
}

static void make_tag(const struct auth_key *key, const struct endpoint *to,
		     struct str message, uint8_t *tag)
{
	const uint8_t head[HEAD_BYTES + ADDRESS_BYTES] = {
		key->id,
		(uint8_t)(to->ip >> 24),
		(uint8_t)(to->ip >> 16),
		(uint8_t)(to->ip >> 8),
		(uint8_t)to->ip,
		(uint8_t)(to->port >> 8),
		(uint8_t)to->port,
	};
	crypto_generichash_state state;

	crypto_generichash_init(&state, key->bytes, AUTH_KEY_BYTES,
				AUTH_TAG_BYTES);
	crypto_generichash_update(&state, head, sizeof(head));
	crypto_generichash_update(&state, (const uint8_t *)message.data,
				  message.len);
	crypto_generichash_final(&state, tag, AUTH_TAG_BYTES);
}

void auth_seal(const struct auth_keys *keys, const struct endpoint *to,
	       struct str message, struct strbuf *out)
{
	uint8_t head[HEAD_BYTES + AUTH_TAG_BYTES] = {0};

	if (!keys->n) {
		strbuf_add(out, head, HEAD_BYTES);
	} else {
		head[0] = keys->keys[0].id;
		make_tag(&keys->keys[0], to, message, head + HEAD_BYTES);
		strbuf_add(out, head, sizeof(head));
	}
	strbuf_add(out, message.data, message.len);
}

bool auth_open(const struct auth_keys *keys, const struct endpoint *self,
	       const uint8_t *data, size_t len, struct str *message)
{
	const size_t head = HEAD_BYTES + AUTH_TAG_BYTES;
	const struct auth_key *key;
	uint8_t tag[AUTH_TAG_BYTES];

	if (!keys->n) {
		if (len < HEAD_BYTES || data[0])
			return false;
		message->data = (const char *)data + HEAD_BYTES;
		message->len = len - HEAD_BYTES;
		return true;
	}
	if (len < head)
		return false;
	key = find_key(keys, data[0]);
	if (!key)
		return false;
	message->data = (const char *)data + head;
	message->len = len - head;
	make_tag(key, self, *message, tag);
	return !sodium_memcmp(tag, data + HEAD_BYTES, AUTH_TAG_BYTES);
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
