#include "fuzz.h"
#include "tarragonflow/net/packet.h"

/* A valid header is encoded to the same length and can be decoded again. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct packet_header header, reparsed;
	uint8_t wire[PACKET_HEADER_MAX];
	size_t len = packet_header_decode(&header, data, size);

	if (!len)
		return 0;
	assert(len <= size && header.position < header.n_candidates);
	assert(packet_header_encode(&header, wire) == len);
	assert(packet_header_decode(&reparsed, wire, len) == len);
	assert(reparsed.n_candidates == header.n_candidates);
	return 0;
}
