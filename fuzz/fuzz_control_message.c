#include "fuzz.h"
#include "tarragonflow/control/auth.h"
#include "tarragonflow/control/message.h"

/* Checks the authentication, here without keys, and decodes the message. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct message message;
	static struct keyring keyring;
	const struct endpoint self = {0x7f000001, 4702};
	struct strbuf storage;
	struct str body;

	if (!auth_open(&keyring, &self, data, size, &body))
		return 0;
	strbuf_init(&storage);
	if (message_decode(&message, (const uint8_t *)body.data, body.len,
			   &storage)) {
		assert(message.n_members <= MESSAGE_MEMBERS_MAX);
		assert(message.n_zones <= MESSAGE_ZONES_MAX);
	}
	strbuf_finish(&storage);
	return 0;
}
