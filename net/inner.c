#include "tarragonflow/net/inner.h"

#include <string.h>
#include <xxhash.h>

#define IPV4_HEADER_MIN 20
#define IPV6_HEADER 40
#define TCP_HEADER_MIN 20
#define PROTOCOL_TCP 6
#define DEFAULT_TTL 64
#define DEFAULT_WINDOW 0xffff
#define IPV4_FRAGMENT_MASK 0x3fff /* offset and more-fragments */

static uint16_t get_u16(const uint8_t *p)
{
	return (uint16_t)(p[0] << 8 | p[1]);
}

static uint32_t get_u32(const uint8_t *p)
{
	return (uint32_t)get_u16(p) << 16 | get_u16(p + 2);
}

static void put_u16(uint8_t *p, uint16_t v)
{
	p[0] = (uint8_t)(v >> 8);
	p[1] = (uint8_t)v;
}

static void put_u32(uint8_t *p, uint32_t v)
{
	put_u16(p, (uint16_t)(v >> 16));
	put_u16(p + 2, (uint16_t)v);
}

static bool parse_ipv4(struct inner_packet *packet)
{
	const uint8_t *ip = packet->data;
	size_t header = (size_t)(ip[0] & 0x0f) * 4;

	if (header < IPV4_HEADER_MIN || packet->len < header ||
	    get_u16(ip + 2) != packet->len || ip[9] != PROTOCOL_TCP ||
	    (get_u16(ip + 6) & IPV4_FRAGMENT_MASK))
		return false;
	ip_addr_from_v4(&packet->key.src, ip + 12);
	ip_addr_from_v4(&packet->key.dst, ip + 16);
	packet->tcp_offset = (uint16_t)header;
	return true;
}

static bool parse_ipv6(struct inner_packet *packet)
{
	const uint8_t *ip = packet->data;

	if (packet->len < IPV6_HEADER || ip[6] != PROTOCOL_TCP ||
	    (size_t)get_u16(ip + 4) + IPV6_HEADER != packet->len)
		return false;
	memcpy(packet->key.src.bytes, ip + 8, 16);
	memcpy(packet->key.dst.bytes, ip + 24, 16);
	packet->tcp_offset = IPV6_HEADER;
	return true;
}

static bool parse_tcp(struct inner_packet *packet)
{
	const uint8_t *tcp = packet->data + packet->tcp_offset;
	size_t rest = packet->len - packet->tcp_offset;
	size_t header;

	if (rest < TCP_HEADER_MIN)
		return false;
	header = (size_t)(tcp[12] >> 4) * 4;
	if (header < TCP_HEADER_MIN || header > rest)
		return false;
	packet->key.src_port = get_u16(tcp);
	packet->key.dst_port = get_u16(tcp + 2);
	packet->seq = get_u32(tcp + 4);
	packet->ack = get_u32(tcp + 8);
	packet->flags = tcp[13];
	packet->payload_len = (uint16_t)(rest - header);
	return true;
}

bool inner_parse(struct inner_packet *packet, const uint8_t *data, size_t len)
{
	bool good = false;

	if (len < IPV4_HEADER_MIN || len > INNER_MAX)
		return false;
	packet->data = data;
	packet->len = len;
	packet->key.zero = 0;
	if (data[0] >> 4 == 4)
		good = parse_ipv4(packet);
	else if (data[0] >> 4 == 6)
		good = parse_ipv6(packet);
	return good && parse_tcp(packet);
}

void flow_key_reverse(struct flow_key *out, const struct flow_key *key)
{
	struct flow_key reversed = {
		.src = key->dst,
		.dst = key->src,
		.src_port = key->dst_port,
		.dst_port = key->src_port,
	};

	*out = reversed;
}

bool inner_opens(const struct inner_packet *packet)
{
	return (packet->flags & (TCP_SYN | TCP_ACK | TCP_RST)) == TCP_SYN;
}

uint64_t flow_key_hash(const struct flow_key *key, uint64_t seed)
{
	return XXH3_64bits_withSeed(key, sizeof(*key), seed);
}

static uint32_t checksum_add(uint32_t sum, const uint8_t *data, size_t len)
{
	for (size_t i = 0; i + 1 < len; i += 2)
		sum += get_u16(data + i);
	if (len & 1)
		sum += (uint32_t)data[len - 1] << 8;
	return sum;
}

static uint16_t checksum_fold(uint32_t sum)
{
	while (sum >> 16)
		sum = (sum & 0xffff) + (sum >> 16);
	return (uint16_t)~sum;
}

static void build_tcp(const struct inner_spec *spec, uint8_t *tcp, size_t len)
{
	uint32_t sum = PROTOCOL_TCP + (uint32_t)len;
	bool v4 = ip_addr_is_v4(&spec->key.dst);
	size_t skip = v4 ? 12 : 0;

	memset(tcp, 0, TCP_HEADER_MIN);
	put_u16(tcp, spec->key.src_port);
	put_u16(tcp + 2, spec->key.dst_port);
	put_u32(tcp + 4, spec->seq);
	put_u32(tcp + 8, spec->ack);
	tcp[12] = (TCP_HEADER_MIN / 4) << 4;
	tcp[13] = spec->flags;
	put_u16(tcp + 14, DEFAULT_WINDOW);
	if (spec->payload_len)
		memcpy(tcp + TCP_HEADER_MIN, spec->payload, spec->payload_len);
	sum = checksum_add(sum, spec->key.src.bytes + skip, 16 - skip);
	sum = checksum_add(sum, spec->key.dst.bytes + skip, 16 - skip);
	put_u16(tcp + 16, checksum_fold(checksum_add(sum, tcp, len)));
}

static void build_ipv4(const struct inner_spec *spec, uint8_t *ip, size_t len)
{
	memset(ip, 0, IPV4_HEADER_MIN);
	ip[0] = 0x45;
	put_u16(ip + 2, (uint16_t)len);
	ip[8] = DEFAULT_TTL;
	ip[9] = PROTOCOL_TCP;
	memcpy(ip + 12, spec->key.src.bytes + 12, 4);
	memcpy(ip + 16, spec->key.dst.bytes + 12, 4);
	put_u16(ip + 10, checksum_fold(checksum_add(0, ip, IPV4_HEADER_MIN)));
}

static void build_ipv6(const struct inner_spec *spec, uint8_t *ip, size_t len)
{
	memset(ip, 0, IPV6_HEADER);
	ip[0] = 0x60;
	put_u16(ip + 4, (uint16_t)(len - IPV6_HEADER));
	ip[6] = PROTOCOL_TCP;
	ip[7] = DEFAULT_TTL;
	memcpy(ip + 8, spec->key.src.bytes, 16);
	memcpy(ip + 24, spec->key.dst.bytes, 16);
}

size_t inner_build(const struct inner_spec *spec, uint8_t *out, size_t cap)
{
	bool v4 = ip_addr_is_v4(&spec->key.dst);
	size_t ip_header = v4 ? IPV4_HEADER_MIN : IPV6_HEADER;
	size_t tcp_len = TCP_HEADER_MIN + spec->payload_len;
	size_t len = ip_header + tcp_len;

	if (len > cap || len > INNER_MAX)
		return 0;
	build_tcp(spec, out + ip_header, tcp_len);
	if (v4)
		build_ipv4(spec, out, len);
	else
		build_ipv6(spec, out, len);
	return len;
}
