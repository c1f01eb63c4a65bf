#include "tarragonflow/control/auth.h"

#include <string.h>
#include <xxhash.h>

#define ADDRESS_BYTES 6
#define KEY_ID_BYTES 1
#define WINDOW_BITS 64

/** Which message numbers were accepted from one sender. */
struct replay_window {
	/** Hash of the sender's name. */
	uint64_t sender;
	uint64_t instance;
	/** Greatest number accepted. */
	uint64_t highest_number;
	/** Bit i: number highest_number - i was accepted. */
	uint64_t accepted_numbers;
};

/* The authenticated data: the receiver's address and the message. */
static void build_signed_data(const struct endpoint *to, struct str message,
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
	uint8_t header[KEY_ID_BYTES + KEYRING_TAG_BYTES] = {0};
	struct strbuf data;

	if (keyring_empty(keys)) {
		strbuf_add(out, header, KEY_ID_BYTES);
	} else {
		build_signed_data(to, message, &data);
		keyring_sign(keys, data.data, data.len, &header[0],
			     header + KEY_ID_BYTES);
		strbuf_add(out, header, sizeof(header));
		strbuf_finish(&data);
	}
	strbuf_add(out, message.data, message.len);
}

static bool verify_tag(const struct keyring *keys, const struct endpoint *self,
		       const uint8_t *header, struct str message)
{
	struct strbuf data;
	bool tag_valid;

	build_signed_data(self, message, &data);
	tag_valid = keyring_verify(keys, data.data, data.len, header[0],
				   header + KEY_ID_BYTES) == KEYRING_VALID;
	strbuf_finish(&data);
	return tag_valid;
}

bool auth_open(const struct keyring *keys, const struct endpoint *self,
	       const uint8_t *data, size_t len, struct str *message)
{
	bool keyed = !keyring_empty(keys);
	size_t header_len = keyed ? KEY_ID_BYTES + KEYRING_TAG_BYTES
				  : KEY_ID_BYTES;

	if (len < header_len || (!keyed && data[0]))
		return false;
	message->data = (const char *)data + header_len;
	message->len = len - header_len;
	return !keyed || verify_tag(keys, self, data, *message);
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
	uint64_t offset;

	if (instance < window->instance)
		return REPLAY_OLD_INSTANCE;
	if (instance > window->instance) {
		window->instance = instance;
		window->highest_number = number;
		window->accepted_numbers = 1;
		return REPLAY_FRESH;
	}
	if (number > window->highest_number) {
		offset = number - window->highest_number;
		window->accepted_numbers =
			offset < WINDOW_BITS
				? window->accepted_numbers << offset | 1
				: 1;
		window->highest_number = number;
		return REPLAY_FRESH;
	}
	offset = window->highest_number - number;
	if (offset >= WINDOW_BITS || window->accepted_numbers >> offset & 1)
		return REPLAY_REPEATED;
	window->accepted_numbers |= 1ULL << offset;
	return REPLAY_FRESH;
}
