#include "tarragonflow/net/inner.h"

#include <string.h>
#include <xxhash.h>

#define IPV4_HEADER_MIN_BYTES 20
#define IPV6_HEADER_BYTES 40
#define TCP_HEADER_MIN_BYTES 20
#define PROTOCOL_ICMP 1
#define PROTOCOL_TCP 6
#define PROTOCOL_ICMPV6 58
#define IPV6_EXTENSION_HOP_BY_HOP 0
#define IPV6_EXTENSION_ROUTING 43
#define IPV6_EXTENSION_FRAGMENT 44
#define IPV6_EXTENSION_DESTINATION 60
#define IPV6_EXTENSIONS_MAX 4
#define ICMP_HEADER_BYTES 8
#define ICMP_UNREACHABLE 3
#define ICMP_TIME_EXCEEDED 11
#define ICMP_PARAMETER_PROBLEM 12
#define ICMPV6_ERROR_FIRST 1
#define ICMPV6_ERROR_LAST 4
/* An ICMP error must quote at least the TCP ports and sequence number. */
#define QUOTED_TCP_MIN_BYTES 8
#define DEFAULT_TTL 64
#define DEFAULT_WINDOW 0xffff
#define IPV4_FRAGMENT_MASK 0x3fff /* offset and more-fragments */
#define IPV4_OFFSET_MASK 0x1fff

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

/* A parsed IP header; `offset` and `protocol` are those of the payload. */
struct ip_layer {
	size_t offset;
	uint8_t protocol;
	struct ip_addr src, dst;
};

static enum inner_fault parse_ipv4(struct ip_layer *ip, const uint8_t *data,
				   size_t len, bool quoted)
{
	size_t header_len = (size_t)(data[0] & 0x0f) * 4;

	if (header_len < IPV4_HEADER_MIN_BYTES || len < header_len ||
	    (!quoted && get_u16(data + 2) != len))
		return INNER_MALFORMED;
	if (!quoted && checksum_fold(checksum_add(0, data, header_len)))
		return INNER_CHECKSUM;
	if (get_u16(data + 6) &
	    (quoted ? IPV4_OFFSET_MASK : IPV4_FRAGMENT_MASK))
		return INNER_FRAGMENT;
	ip->offset = header_len;
	ip->protocol = data[9];
	ip_addr_from_v4(&ip->src, data + 12);
	ip_addr_from_v4(&ip->dst, data + 16);
	return INNER_OK;
}

static bool is_ipv6_extension(uint8_t protocol)
{
	return protocol == IPV6_EXTENSION_HOP_BY_HOP ||
	       protocol == IPV6_EXTENSION_ROUTING ||
	       protocol == IPV6_EXTENSION_DESTINATION;
}

static enum inner_fault parse_ipv6(struct ip_layer *ip, const uint8_t *data,
				   size_t len, bool quoted)
{
	if (len < IPV6_HEADER_BYTES ||
	    (!quoted && (size_t)get_u16(data + 4) + IPV6_HEADER_BYTES != len))
		return INNER_MALFORMED;
	ip->offset = IPV6_HEADER_BYTES;
	ip->protocol = data[6];
	memcpy(ip->src.bytes, data + 8, 16);
	memcpy(ip->dst.bytes, data + 24, 16);
	for (int i = 0; is_ipv6_extension(ip->protocol); i++) {
		if (i == IPV6_EXTENSIONS_MAX || len < ip->offset + 8)
			return INNER_MALFORMED;
		ip->protocol = data[ip->offset];
		ip->offset += ((size_t)data[ip->offset + 1] + 1) * 8;
	}
	return ip->protocol == IPV6_EXTENSION_FRAGMENT ? INNER_FRAGMENT
						       : INNER_OK;
}

/* @quoted: @data is the truncated packet inside an ICMP error. */
static enum inner_fault parse_ip(struct ip_layer *ip, const uint8_t *data,
				 size_t len, bool quoted)
{
	enum inner_fault fault = INNER_MALFORMED;

	if (len < IPV4_HEADER_MIN_BYTES)
		return INNER_MALFORMED;
	if (data[0] >> 4 == 4)
		fault = parse_ipv4(ip, data, len, quoted);
	else if (data[0] >> 4 == 6)
		fault = parse_ipv6(ip, data, len, quoted);
	if (fault == INNER_OK && ip->offset > len)
		return INNER_MALFORMED;
	return fault;
}

static enum inner_fault parse_tcp(struct inner_packet *packet,
				  const struct ip_layer *ip)
{
	const uint8_t *tcp = packet->data + ip->offset;
	size_t remaining_len = packet->len - ip->offset;
	size_t header_len;

	if (remaining_len < TCP_HEADER_MIN_BYTES)
		return INNER_MALFORMED;
	header_len = (size_t)(tcp[12] >> 4) * 4;
	if (header_len < TCP_HEADER_MIN_BYTES || header_len > remaining_len)
		return INNER_MALFORMED;
	packet->key.src = ip->src;
	packet->key.dst = ip->dst;
	packet->key.src_port = get_u16(tcp);
	packet->key.dst_port = get_u16(tcp + 2);
	packet->seq = get_u32(tcp + 4);
	packet->ack = get_u32(tcp + 8);
	packet->flags = tcp[13];
	packet->tcp_offset = (uint16_t)ip->offset;
	packet->payload_len = (uint16_t)(remaining_len - header_len);
	return INNER_OK;
}

static bool is_icmp_error(uint8_t type, bool v4)
{
	if (v4)
		return type == ICMP_UNREACHABLE || type == ICMP_TIME_EXCEEDED ||
		       type == ICMP_PARAMETER_PROBLEM;
	return type >= ICMPV6_ERROR_FIRST && type <= ICMPV6_ERROR_LAST;
}

static bool icmp_checksum_is_valid(const struct ip_layer *ip,
				   const uint8_t *icmp, size_t len)
{
	uint32_t sum = 0;

	if (ip->protocol == PROTOCOL_ICMPV6) {
		sum = PROTOCOL_ICMPV6 + (uint32_t)len;
		sum = checksum_add(sum, ip->src.bytes, 16);
		sum = checksum_add(sum, ip->dst.bytes, 16);
	}
	return !checksum_fold(checksum_add(sum, icmp, len));
}

static enum inner_fault parse_icmp(struct inner_packet *packet,
				   const struct ip_layer *ip)
{
	const uint8_t *icmp = packet->data + ip->offset;
	size_t len = packet->len - ip->offset;
	enum inner_fault fault;
	struct ip_layer quoted;
	const uint8_t *tcp;

	if (len < ICMP_HEADER_BYTES)
		return INNER_MALFORMED;
	if (!icmp_checksum_is_valid(ip, icmp, len))
		return INNER_CHECKSUM;
	if (!is_icmp_error(icmp[0], ip->protocol == PROTOCOL_ICMP))
		return INNER_PROTOCOL;
	fault = parse_ip(&quoted, icmp + ICMP_HEADER_BYTES,
			 len - ICMP_HEADER_BYTES, true);
	if (fault != INNER_OK)
		return fault;
	if (quoted.protocol != PROTOCOL_TCP)
		return INNER_PROTOCOL;
	if (len < ICMP_HEADER_BYTES + quoted.offset + QUOTED_TCP_MIN_BYTES ||
	    !ip_addr_equal(&quoted.src, &ip->dst))
		return INNER_MALFORMED;
	tcp = icmp + ICMP_HEADER_BYTES + quoted.offset;
	packet->key.src = quoted.dst;
	packet->key.dst = quoted.src;
	packet->key.src_port = get_u16(tcp + 2);
	packet->key.dst_port = get_u16(tcp);
	packet->seq = get_u32(tcp + 4);
	packet->icmp_error = true;
	return INNER_OK;
}

static enum inner_fault parse(struct inner_packet *packet)
{
	struct ip_layer ip;
	enum inner_fault fault;

	if (packet->len > INNER_MAX)
		return INNER_MALFORMED;
	fault = parse_ip(&ip, packet->data, packet->len, false);
	if (fault != INNER_OK)
		return fault;
	if (ip.protocol == PROTOCOL_TCP)
		return parse_tcp(packet, &ip);
	if (ip.protocol ==
	    (ip_addr_is_v4(&ip.dst) ? PROTOCOL_ICMP : PROTOCOL_ICMPV6))
		return parse_icmp(packet, &ip);
	return INNER_PROTOCOL;
}

bool inner_parse(struct inner_packet *packet, const uint8_t *data, size_t len)
{
	memset(packet, 0, sizeof(*packet));
	packet->data = data;
	packet->len = len;
	packet->fault = parse(packet);
	return packet->fault == INNER_OK;
}

enum counter_id inner_drop_reason(const struct inner_packet *packet)
{
	switch (packet->fault) {
	case INNER_FRAGMENT:
		return COUNTER_DROP_FRAGMENT;
	case INNER_CHECKSUM:
		return COUNTER_DROP_CHECKSUM;
	case INNER_PROTOCOL:
		return COUNTER_DROP_PROTOCOL;
	default:
		return COUNTER_DROP_MALFORMED_PACKET;
	}
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

bool inner_opens_connection(const struct inner_packet *packet)
{
	return (packet->flags & (TCP_SYN | TCP_ACK | TCP_RST)) == TCP_SYN;
}

uint64_t flow_key_hash(const struct flow_key *key, uint64_t seed)
{
	return XXH3_64bits_withSeed(key, sizeof(*key), seed);
}

static void build_tcp(const struct inner_spec *spec, uint8_t *tcp, size_t len)
{
	uint32_t sum = PROTOCOL_TCP + (uint32_t)len;
	bool v4 = ip_addr_is_v4(&spec->key.dst);
	size_t addr_offset = v4 ? 12 : 0;

	memset(tcp, 0, TCP_HEADER_MIN_BYTES);
	put_u16(tcp, spec->key.src_port);
	put_u16(tcp + 2, spec->key.dst_port);
	put_u32(tcp + 4, spec->seq);
	put_u32(tcp + 8, spec->ack);
	tcp[12] = (TCP_HEADER_MIN_BYTES / 4) << 4;
	tcp[13] = spec->flags;
	put_u16(tcp + 14, DEFAULT_WINDOW);
	if (spec->payload_len)
		memcpy(tcp + TCP_HEADER_MIN_BYTES, spec->payload,
		       spec->payload_len);
	sum = checksum_add(sum, spec->key.src.bytes + addr_offset,
			   16 - addr_offset);
	sum = checksum_add(sum, spec->key.dst.bytes + addr_offset,
			   16 - addr_offset);
	put_u16(tcp + 16, checksum_fold(checksum_add(sum, tcp, len)));
}

static void build_ipv4(const struct inner_spec *spec, uint8_t *ip, size_t len)
{
	memset(ip, 0, IPV4_HEADER_MIN_BYTES);
	ip[0] = 0x45;
	put_u16(ip + 2, (uint16_t)len);
	ip[8] = DEFAULT_TTL;
	ip[9] = PROTOCOL_TCP;
	memcpy(ip + 12, spec->key.src.bytes + 12, 4);
	memcpy(ip + 16, spec->key.dst.bytes + 12, 4);
	put_u16(ip + 10,
		checksum_fold(checksum_add(0, ip, IPV4_HEADER_MIN_BYTES)));
}

static void build_ipv6(const struct inner_spec *spec, uint8_t *ip, size_t len)
{
	memset(ip, 0, IPV6_HEADER_BYTES);
	ip[0] = 0x60;
	put_u16(ip + 4, (uint16_t)(len - IPV6_HEADER_BYTES));
	ip[6] = PROTOCOL_TCP;
	ip[7] = DEFAULT_TTL;
	memcpy(ip + 8, spec->key.src.bytes, 16);
	memcpy(ip + 24, spec->key.dst.bytes, 16);
}

size_t inner_build(const struct inner_spec *spec, uint8_t *out, size_t cap)
{
	bool v4 = ip_addr_is_v4(&spec->key.dst);
	size_t ip_header_len = v4 ? IPV4_HEADER_MIN_BYTES : IPV6_HEADER_BYTES;
	size_t tcp_len = TCP_HEADER_MIN_BYTES + spec->payload_len;
	size_t len = ip_header_len + tcp_len;

	if (len > cap || len > INNER_MAX)
		return 0;
	build_tcp(spec, out + ip_header_len, tcp_len);
	if (v4)
		build_ipv4(spec, out, len);
	else
		build_ipv6(spec, out, len);
	return len;
}
