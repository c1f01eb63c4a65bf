#include "tarragonflow/net/mss.h"

#include "tarragonflow/net/packet.h"
#include "tarragonflow/net/packet_auth.h"

#define IPV4_HEADER_BYTES 20
#define IPV6_HEADER_BYTES 40
#define TCP_HEADER_BYTES 20
#define TCP_CHECKSUM_OFFSET 16
#define TCP_OPTION_END 0
#define TCP_OPTION_NOP 1
#define TCP_OPTION_MSS 2
#define TCP_OPTION_MSS_BYTES 4

uint16_t mss_for_mtu(uint16_t mtu, bool v4)
{
	int mss =
		mtu - MSS_OUTER_BYTES - PACKET_AUTH_BYTES - PACKET_HEADER_MAX -
		(v4 ? IPV4_HEADER_BYTES : IPV6_HEADER_BYTES) - TCP_HEADER_BYTES;

	return mss > 0 ? (uint16_t)mss : 0;
}

static uint16_t get_u16(const uint8_t *p)
{
	return (uint16_t)(p[0] << 8 | p[1]);
}

static void put_u16(uint8_t *p, uint16_t v)
{
	p[0] = (uint8_t)(v >> 8);
	p[1] = (uint8_t)v;
}

static uint16_t swap_bytes(uint16_t v)
{
	return (uint16_t)(v << 8 | v >> 8);
}

/* RFC 1624: updates the checksum for a word changed from @before to @after. */
static uint16_t checksum_update(uint16_t checksum, uint16_t before,
				uint16_t after)
{
	uint32_t sum = (uint16_t)~checksum;

	sum += (uint16_t)~before;
	sum += after;
	sum = (sum & 0xffff) + (sum >> 16);
	sum = (sum & 0xffff) + (sum >> 16);
	return (uint16_t)~sum;
}

/* Offset of the MSS value from @tcp, 0 when the option is missing. */
static size_t find_mss(const uint8_t *tcp, size_t header_len)
{
	size_t offset = TCP_HEADER_BYTES;

	while (offset < header_len && tcp[offset] != TCP_OPTION_END) {
		if (tcp[offset] == TCP_OPTION_NOP) {
			offset++;
			continue;
		}
		if (offset + 1 >= header_len || tcp[offset + 1] < 2 ||
		    offset + tcp[offset + 1] > header_len)
			return 0;
		if (tcp[offset] == TCP_OPTION_MSS &&
		    tcp[offset + 1] == TCP_OPTION_MSS_BYTES)
			return offset + 2;
		offset += tcp[offset + 1];
	}
	return 0;
}

bool mss_clamp(uint8_t *data, const struct inner_packet *packet, uint16_t max)
{
	uint8_t *tcp = data + packet->tcp_offset;
	uint16_t old_mss, checksum;
	size_t offset;

	if (packet->icmp_error || !(packet->flags & TCP_SYN))
		return false;
	offset = find_mss(tcp, (size_t)(tcp[12] >> 4) * 4);
	if (!offset || get_u16(tcp + offset) <= max)
		return false;
	old_mss = get_u16(tcp + offset);
	put_u16(tcp + offset, max);
	checksum = get_u16(tcp + TCP_CHECKSUM_OFFSET);
	/* At an odd offset the value spans two words of the checksum. */
	if (offset & 1)
		checksum = checksum_update(checksum, swap_bytes(old_mss),
					   swap_bytes(max));
	else
		checksum = checksum_update(checksum, old_mss, max);
	put_u16(tcp + TCP_CHECKSUM_OFFSET, checksum);
	return true;
}
