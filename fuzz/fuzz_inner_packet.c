#include <string.h>

#include "fuzz.h"
#include "tarragonflow/net/mss.h"

#define MSS 1260
#define TCP_HEADER 20

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct inner_packet packet, again;
	uint8_t copy[INNER_MAX];

	if (!inner_parse(&packet, data, size)) {
		assert(packet.fault != INNER_OK);
		return 0;
	}
	assert(packet.icmp ||
	       packet.tcp_offset + TCP_HEADER + packet.payload_len <= size);
	memcpy(copy, data, size);
	mss_clamp(copy, &packet, MSS);
	assert(inner_parse(&again, copy, size));
	assert(!memcmp(&again.key, &packet.key, sizeof(again.key)));
	return 0;
}
