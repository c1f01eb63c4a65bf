#include <string.h>

#include "fuzz.h"
#include "tarragonflow/net/packet_auth.h"

/* No packet is accepted that was made without the key. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct keyring keyring;
	static struct counters counters;
	static struct packet_auth auth;

	if (keyring_empty(&keyring)) {
		struct status status;

		status_init(&status);
		keyring_add(&keyring, 1,
			    str_from("000102030405060708090a0b0c0d0e0f"),
			    &status);
		packet_auth_init(&auth, &keyring, 1, 1, &counters);
	}
	assert(packet_auth_open(&auth, data, size, 0) == -1);
	return 0;
}
