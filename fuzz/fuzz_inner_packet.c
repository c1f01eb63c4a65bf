#include <string.h>

#include "fuzz.h"
#include "tarragonflow/net/mss.h"

#define MSS_LIMIT 1260
#define TCP_HEADER_BYTES 20

/* Clamping the MSS of a valid packet leaves it valid, with the same key. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct inner_packet packet, clamped;
	uint8_t copy[INNER_MAX];

	if (!inner_parse(&packet, data, size)) {
		assert(packet.fault != INNER_OK);
		return 0;
	}
	assert(packet.icmp_error ||
	       packet.tcp_offset + TCP_HEADER_BYTES + packet.payload_len <=
		       size);
	memcpy(copy, data, size);
	mss_clamp(copy, &packet, MSS_LIMIT);
	assert(inner_parse(&clamped, copy, size));
	assert(!memcmp(&clamped.key, &packet.key, sizeof(clamped.key)));
	return 0;
}
