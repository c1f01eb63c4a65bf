#include <glib.h>
#include <string.h>

#include "tarragonflow/net/mss.h"
#include "tarragonflow/net/packet.h"
#include "tarragonflow/net/packet_auth.h"
#include "tarragonflow/net/tun.h"

#define CALLER4 "10.0.0.1"
#define SERVICE4 "10.0.0.2"
#define CALLER6 "fd00::1"
#define SERVICE6 "fd00::2"
#define ROUTER4 "192.0.2.9"
#define ROUTER6 "2001:db8::9"
#define ICMP_BYTES 8
#define OPTION_BYTES 12

/** A change of a valid packet, for tests of inner_parse(). */
struct change {
	/** Offset of the changed byte in the packet; -1 ends the list. */
	int offset;
	uint8_t value;
};

static size_t build(uint8_t *out, const char *src, const char *dst,
		    uint8_t flags)
{
	struct inner_spec spec = {.seq = 100, .ack = 200, .flags = flags};

	g_assert_true(ip_addr_parse(&spec.key.src, src));
	g_assert_true(ip_addr_parse(&spec.key.dst, dst));
	spec.key.src_port = 1234;
	spec.key.dst_port = 80;
	spec.payload = "0123456789abcdefghij";
	spec.payload_len = 20;
	return inner_build(&spec, out, 256);
}

static uint32_t sum_16_bit_words(const uint8_t *data, size_t len)
{
	uint32_t sum = 0;

	for (size_t i = 0; i < len; i++)
		sum += (uint32_t)data[i] << (i & 1 ? 0 : 8);
	return sum;
}

static uint16_t checksum(uint32_t sum)
{
	while (sum >> 16)
		sum = (sum & 0xffff) + (sum >> 16);
	return (uint16_t)~sum;
}

static void put_u16(uint8_t *p, uint16_t v)
{
	p[0] = (uint8_t)(v >> 8);
	p[1] = (uint8_t)v;
}

static void fix_ipv4_checksum(uint8_t *ip)
{
	put_u16(ip + 10, 0);
	put_u16(ip + 10, checksum(sum_16_bit_words(ip, 20)));
}

static void test_ipv4_faults(void)
{
	static const struct {
		const char *name;
		struct change changes[3];
		bool fix_checksum;
		enum inner_fault fault;
		enum counter_id counter;
	} cases[] = {
		{"valid", {{-1}}, true, INNER_OK, 0},
		{"don't fragment", {{6, 0x40}, {-1}}, true, INNER_OK, 0},
		{"first fragment",
		 {{6, 0x20}, {-1}},
		 true,
		 INNER_FRAGMENT,
		 COUNTER_DROP_FRAGMENT},
		{"later fragment",
		 {{7, 0x10}, {-1}},
		 true,
		 INNER_FRAGMENT,
		 COUNTER_DROP_FRAGMENT},
		{"last fragment of many",
		 {{6, 0x1f}, {7, 0xff}, {-1}},
		 true,
		 INNER_FRAGMENT,
		 COUNTER_DROP_FRAGMENT},
		{"bad checksum",
		 {{10, 0x55}, {-1}},
		 false,
		 INNER_CHECKSUM,
		 COUNTER_DROP_CHECKSUM},
		{"changed address",
		 {{16, 11}, {-1}},
		 false,
		 INNER_CHECKSUM,
		 COUNTER_DROP_CHECKSUM},
		{"udp",
		 {{9, 17}, {-1}},
		 true,
		 INNER_PROTOCOL,
		 COUNTER_DROP_PROTOCOL},
		{"icmpv6 in IPv4",
		 {{9, 58}, {-1}},
		 true,
		 INNER_PROTOCOL,
		 COUNTER_DROP_PROTOCOL},
		{"short header",
		 {{0, 0x44}, {-1}},
		 true,
		 INNER_MALFORMED,
		 COUNTER_DROP_MALFORMED_PACKET},
		{"version 5",
		 {{0, 0x55}, {-1}},
		 true,
		 INNER_MALFORMED,
		 COUNTER_DROP_MALFORMED_PACKET},
		{"total length too long",
		 {{3, 61}, {-1}},
		 true,
		 INNER_MALFORMED,
		 COUNTER_DROP_MALFORMED_PACKET},
		{"tcp header too short",
		 {{32, 0x40}, {-1}},
		 true,
		 INNER_MALFORMED,
		 COUNTER_DROP_MALFORMED_PACKET},
		{"tcp header beyond the end",
		 {{32, 0xf0}, {-1}},
		 true,
		 INNER_MALFORMED,
		 COUNTER_DROP_MALFORMED_PACKET},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct inner_packet packet;
		uint8_t data[256];
		size_t len = build(data, CALLER4, SERVICE4, TCP_ACK);

		g_test_message("%s", cases[i].name);
		for (int j = 0; cases[i].changes[j].offset >= 0; j++)
			data[cases[i].changes[j].offset] =
				cases[i].changes[j].value;
		if (cases[i].fix_checksum)
			fix_ipv4_checksum(data);
		g_assert_cmpint(inner_parse(&packet, data, len), ==,
				cases[i].fault == INNER_OK);
		g_assert_cmpint(packet.fault, ==, cases[i].fault);
		if (cases[i].fault != INNER_OK)
			g_assert_cmpint(inner_drop_reason(&packet), ==,
					cases[i].counter);
	}
}

/* inner_parse() skips at most 4 extension headers between IPv6 and TCP, here of
 * 8 bytes each. */
static void test_ipv6_extensions(void)
{
	static const struct {
		uint8_t headers[6];
		int n;
		enum inner_fault fault;
	} cases[] = {
		{{0}, 0, INNER_OK},
		{{0}, 1, INNER_OK},
		{{60}, 1, INNER_OK},
		{{0, 43, 60}, 3, INNER_OK},
		{{0, 60, 43, 60}, 4, INNER_OK},
		{{0, 60, 43, 60, 60}, 5, INNER_MALFORMED},
		{{44}, 1, INNER_FRAGMENT},
		{{0, 44}, 2, INNER_FRAGMENT},
		{{50}, 1, INNER_PROTOCOL},
		{{17}, 1, INNER_PROTOCOL},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		size_t extra = (size_t)cases[i].n * 8;
		uint8_t plain[256], data[256] = {0};
		struct inner_packet packet;
		size_t len = build(plain, CALLER6, SERVICE6, TCP_ACK);

		memcpy(data, plain, 40);
		memcpy(data + 40 + extra, plain + 40, len - 40);
		put_u16(data + 4, (uint16_t)(len - 40 + extra));
		for (int j = 0; j < cases[i].n; j++) {
			data[j ? 40 + (j - 1) * 8 : 6] = cases[i].headers[j];
			data[40 + j * 8] = 6;
		}
		inner_parse(&packet, data, len + extra);
		g_assert_cmpint(packet.fault, ==, cases[i].fault);
		if (packet.fault == INNER_OK)
			g_assert_cmpuint(packet.tcp_offset, ==, 40 + extra);
	}
}

/* Which TCP flags make a packet open a connection. */
static void test_opens_connection_by_flags(void)
{
	static const struct {
		uint8_t flags;
		bool opens_connection;
	} cases[] = {
		{TCP_SYN, true},
		{TCP_SYN | TCP_ACK, false},
		{TCP_SYN | TCP_RST, false},
		{TCP_ACK, false},
		{TCP_FIN | TCP_ACK, false},
		{TCP_RST, false},
		{TCP_SYN | TCP_FIN, true},
		{0, false},
		{TCP_SYN | 0xc0, true},
	};
	static const char *const address_pairs[][2] = {{CALLER4, SERVICE4},
						       {CALLER6, SERVICE6}};

	for (size_t i = 0; i < G_N_ELEMENTS(cases) * 2; i++) {
		struct inner_packet packet;
		uint8_t data[256];
		size_t len = build(data, address_pairs[i & 1][0],
				   address_pairs[i & 1][1], cases[i / 2].flags);

		g_assert_true(inner_parse(&packet, data, len));
		g_assert_cmpint(inner_opens_connection(&packet), ==,
				cases[i / 2].opens_connection);
	}
}

/* Builds an ICMP error of @router that quotes @len bytes of a packet. */
static size_t build_icmp(uint8_t *out, const char *router, uint8_t type,
			 const uint8_t *quoted, size_t len)
{
	bool v4 = quoted[0] >> 4 == 4;
	size_t ip = v4 ? 20 : 40;
	size_t icmp_len = ICMP_BYTES + len;
	struct ip_addr source;
	uint32_t sum = 0;

	g_assert_true(ip_addr_parse(&source, router));
	memset(out, 0, ip + ICMP_BYTES);
	memcpy(out + ip + ICMP_BYTES, quoted, len);
	out[ip] = type;
	if (v4) {
		out[0] = 0x45;
		put_u16(out + 2, (uint16_t)(ip + icmp_len));
		out[9] = 1;
		memcpy(out + 12, source.bytes + 12, 4);
		memcpy(out + 16, quoted + 12, 4);
		fix_ipv4_checksum(out);
	} else {
		out[0] = 0x60;
		put_u16(out + 4, (uint16_t)icmp_len);
		out[6] = 58;
		memcpy(out + 8, source.bytes, 16);
		memcpy(out + 24, quoted + 8, 16);
		sum = sum_16_bit_words(out + 8, 32) + 58 + (uint32_t)icmp_len;
	}
	put_u16(out + ip + 2,
		checksum(sum + sum_16_bit_words(out + ip, icmp_len)));
	return ip + icmp_len;
}

/*
 * An ICMP error about a packet of the server gets the flow key of the caller's
 * packets, so that the error is forwarded to the server that has the
 * connection.
 */
static void test_icmp(void)
{
	static const struct {
		bool v4;
		uint8_t type;
		/** How many bytes of the packet are quoted; 0: all. */
		size_t quoted;
		enum inner_fault fault;
	} cases[] = {
		{true, 3, 0, INNER_OK},
		{true, 11, 0, INNER_OK},
		{true, 12, 0, INNER_OK},
		{true, 3, 28, INNER_OK},
		{true, 3, 27, INNER_MALFORMED},
		{true, 3, 8, INNER_MALFORMED},
		{true, 0, 0, INNER_PROTOCOL},
		{true, 8, 0, INNER_PROTOCOL},
		{true, 5, 0, INNER_PROTOCOL},
		{false, 1, 0, INNER_OK},
		{false, 2, 0, INNER_OK},
		{false, 3, 48, INNER_OK},
		{false, 4, 0, INNER_OK},
		{false, 3, 47, INNER_MALFORMED},
		{false, 128, 0, INNER_PROTOCOL},
		{false, 135, 0, INNER_PROTOCOL},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bool v4 = cases[i].v4;
		struct inner_packet packet, request_packet;
		uint8_t quoted[256], request[256], data[512];
		struct flow_key key;
		size_t len, n;

		n = build(request, v4 ? CALLER4 : CALLER6,
			  v4 ? SERVICE4 : SERVICE6, TCP_ACK);
		g_assert_true(inner_parse(&request_packet, request, n));
		n = build(quoted, v4 ? SERVICE4 : SERVICE6,
			  v4 ? CALLER4 : CALLER6, TCP_ACK);
		len = build_icmp(data, v4 ? ROUTER4 : ROUTER6, cases[i].type,
				 quoted, cases[i].quoted ? cases[i].quoted : n);
		inner_parse(&packet, data, len);
		g_assert_cmpint(packet.fault, ==, cases[i].fault);
		if (packet.fault != INNER_OK)
			continue;
		key = request_packet.key;
		key.src_port = 80;
		key.dst_port = 1234;
		g_assert_cmpmem(&packet.key, sizeof(key), &key, sizeof(key));
		g_assert_true(packet.icmp_error);
		g_assert_cmpuint(packet.seq, ==, 100);
		g_assert_false(inner_opens_connection(&packet));
		data[v4 ? 30 : 50] ^= 1;
		g_assert_false(inner_parse(&packet, data, len));
		g_assert_cmpint(packet.fault, ==, INNER_CHECKSUM);
	}
}

/* An ICMP error is rejected when its destination is not the sender of the
 * quoted packet. */
static void test_icmp_other_destination(void)
{
	uint8_t quoted[256], data[512];
	struct inner_packet packet;
	size_t n = build(quoted, SERVICE4, CALLER4, TCP_ACK);
	size_t len = build_icmp(data, ROUTER4, 3, quoted, n);

	data[19] ^= 1;
	fix_ipv4_checksum(data);
	g_assert_false(inner_parse(&packet, data, len));
	g_assert_cmpint(packet.fault, ==, INNER_MALFORMED);
}

/* The TCP checksum of the whole packet, including its checksum field: 0 when
 * that field is valid. */
static uint16_t tcp_checksum(const uint8_t *data, size_t len, bool v4)
{
	size_t ip = v4 ? 20 : 40;
	const uint8_t *addresses = data + (v4 ? 12 : 8);
	uint32_t sum = sum_16_bit_words(addresses, v4 ? 8 : 32) + 6;

	return checksum(sum + (uint32_t)(len - ip) +
			sum_16_bit_words(data + ip, len - ip));
}

/* mss_clamp() reduces the MSS option of SYNs and SYN-ACKs. */
static void test_mss(void)
{
	static const struct {
		const char *name;
		uint8_t flags;
		uint8_t options[OPTION_BYTES];
		/** Offset of the MSS value in the options. */
		int offset;
		/** The MSS value before and after clamping to 1272 bytes. */
		uint16_t before, after;
	} cases[] = {
		{"first option", TCP_SYN, {2, 4, 5, 0xb4}, 2, 1460, 1272},
		{"SYN-ACK", TCP_SYN | TCP_ACK, {2, 4, 5, 0xb4}, 2, 1460, 1272},
		{"odd offset", TCP_SYN, {1, 2, 4, 5, 0xb4}, 3, 1460, 1272},
		{"after other options",
		 TCP_SYN,
		 {4, 2, 3, 3, 7, 1, 2, 4, 0x23, 0x00},
		 8,
		 8960,
		 1272},
		{"smaller", TCP_SYN, {2, 4, 2, 0x18}, 2, 536, 536},
		{"equal", TCP_SYN, {2, 4, 4, 0xf8}, 2, 1272, 1272},
		{"no SYN", TCP_ACK, {2, 4, 5, 0xb4}, 2, 1460, 1460},
		{"after the end option",
		 TCP_SYN,
		 {0, 2, 4, 5, 0xb4},
		 3,
		 1460,
		 1460},
		{"wrong length", TCP_SYN, {2, 3, 5, 0xb4}, 2, 1460, 1460},
		{"length zero", TCP_SYN, {3, 0, 2, 4, 5, 0xb4}, 4, 1460, 1460},
		{"truncated by the header end",
		 TCP_SYN,
		 {1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 2, 4},
		 10,
		 0x0204,
		 0x0204},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases) * 2; i++) {
		bool v4 = i & 1;
		size_t n = i / 2, ip = v4 ? 20 : 40;
		uint8_t data[256], *tcp = data + ip;
		struct inner_packet packet;
		size_t len = build(data, v4 ? CALLER4 : CALLER6,
				   v4 ? SERVICE4 : SERVICE6, cases[n].flags);
		const uint8_t *value = tcp + 20 + cases[n].offset;

		g_test_message("%s", cases[n].name);
		tcp[12] = (20 + OPTION_BYTES) / 4 << 4;
		memcpy(tcp + 20, cases[n].options, OPTION_BYTES);
		put_u16(tcp + 16, 0);
		put_u16(tcp + 16, tcp_checksum(data, len, v4));
		g_assert_true(inner_parse(&packet, data, len));
		g_assert_cmpuint(value[0] << 8 | value[1], ==, cases[n].before);
		g_assert_cmpint(mss_clamp(data, &packet, 1272), ==,
				cases[n].before != cases[n].after);
		g_assert_cmpuint(value[0] << 8 | value[1], ==, cases[n].after);
		g_assert_cmpuint(tcp_checksum(data, len, v4), ==, 0);
	}
}

/* A segment of the maximum size, with all headers added, is exactly as large as
 * the MTU. */
static void test_mss_for_mtu(void)
{
	static const struct {
		uint16_t mtu;
		bool v4;
		uint16_t mss;
	} cases[] = {
		{1500, true, 1260}, {1500, false, 1240}, {1280, false, 1020},
		{9000, true, 8760}, {100, true, 0},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpuint(mss_for_mtu(cases[i].mtu, cases[i].v4), ==,
				 cases[i].mss);
	g_assert_cmpuint(1260 + 40 + PACKET_HEADER_MAX + PACKET_AUTH_BYTES +
				 MSS_OUTER_BYTES,
			 ==, 1500);
}

static void test_tun_errors(void)
{
	static const struct {
		const char *device, *name, *message;
		enum status_code code;
	} cases[] = {
		{"/nonexistent/tun", "tf0", "cannot open /nonexistent/tun",
		 STATUS_IO},
		{"/dev/null", "tf0", "cannot attach to TUN interface tf0",
		 STATUS_IO},
		{TUN_DEVICE, "", "allowed are 1 to 15 bytes", STATUS_INVALID},
		{TUN_DEVICE, "sixteen-byte-nam", "allowed are 1 to 15 bytes",
		 STATUS_INVALID},
	};
	struct packet_interface interface;
	struct status status;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		status_init(&status);
		g_assert_cmpint(
			packet_interface_init_tun(&interface, cases[i].device,
						  cases[i].name, &status),
			==, cases[i].code);
		g_assert_nonnull(strstr(status.message, cases[i].message));
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/packets/ipv4-faults", test_ipv4_faults);
	g_test_add_func("/packets/ipv6-extensions", test_ipv6_extensions);
	g_test_add_func("/packets/flags", test_opens_connection_by_flags);
	g_test_add_func("/packets/icmp", test_icmp);
	g_test_add_func("/packets/icmp-other-destination",
			test_icmp_other_destination);
	g_test_add_func("/packets/mss", test_mss);
	g_test_add_func("/packets/mss-for-mtu", test_mss_for_mtu);
	g_test_add_func("/packets/tun-errors", test_tun_errors);
	return g_test_run();
}
