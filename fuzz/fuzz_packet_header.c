#include "fuzz.h"
#include "tarragonflow/net/packet.h"

/* What decodes is encoded again to the same bytes. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct packet_header header, again;
	uint8_t wire[PACKET_HEADER_MAX];
	size_t len = packet_header_decode(&header, data, size);

	if (!len)
		return 0;
	assert(len <= size && header.position < header.n_candidates);
	assert(packet_header_encode(&header, wire) == len);
	assert(packet_header_decode(&again, wire, len) == len);
	assert(again.n_candidates == header.n_candidates);
	return 0;
}
