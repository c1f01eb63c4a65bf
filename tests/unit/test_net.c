#include <glib.h>
#include <unistd.h>
#include <pthread.h>
#include <string.h>

#include "tarragonflow/net/udp.h"
#include "tarragonflow/common/clock.h"
#include "tarragonflow/net/endpoint.h"
#include "tarragonflow/net/inner.h"
#include "tarragonflow/net/packet.h"

static void test_endpoint(void)
{
	static const struct {
		const char *text;
		bool valid;
	} cases[] = {
		{"127.0.0.1:80", true},	    {"255.255.255.255:65535", true},
		{"127.0.0.1", false},	    {"127.0.0.1:0", false},
		{"127.0.0.1:65536", false}, {"127.0.0.1:-1", false},
		{"localhost:80", false},    {"1.2.3:4", false},
		{"1.2.3.4:5x", false},
	};
	char text[ENDPOINT_TEXT_MAX];

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct endpoint endpoint;

		g_assert_cmpint(endpoint_parse(&endpoint, cases[i].text), ==,
				cases[i].valid);
		if (cases[i].valid)
			g_assert_cmpstr(endpoint_format(&endpoint, text), ==,
					cases[i].text);
	}
}

static void init_spec(struct inner_spec *spec, const char *src, const char *dst)
{
	memset(spec, 0, sizeof(*spec));
	g_assert_true(ip_addr_parse(&spec->key.src, src));
	g_assert_true(ip_addr_parse(&spec->key.dst, dst));
	spec->key.src_port = 1234;
	spec->key.dst_port = 80;
	spec->seq = 0xfffffff0;
	spec->ack = 7;
	spec->flags = TCP_ACK;
	spec->payload = "hello";
	spec->payload_len = 5;
}

static void test_inner_round_trip(void)
{
	static const char *const pairs[][2] = {
		{"10.0.0.1", "10.0.0.2"},
		{"fd00::1", "fd00::2"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(pairs); i++) {
		struct inner_packet packet;
		struct inner_spec spec;
		uint8_t out[128];
		size_t len;

		init_spec(&spec, pairs[i][0], pairs[i][1]);
		len = inner_build(&spec, out, sizeof(out));
		g_assert_true(inner_parse(&packet, out, len));
		g_assert_cmpmem(&packet.key, sizeof(packet.key), &spec.key,
				sizeof(spec.key));
		g_assert_cmpuint(packet.seq, ==, spec.seq);
		g_assert_cmpuint(packet.payload_len, ==, 5);
		g_assert_false(inner_opens_connection(&packet));
	}
}

static void test_inner_truncated(void)
{
	struct inner_packet packet;
	struct inner_spec spec;
	uint8_t out[128];
	size_t len;

	init_spec(&spec, "10.0.0.1", "10.0.0.2");
	len = inner_build(&spec, out, sizeof(out));
	for (size_t truncated_len = 0; truncated_len < len; truncated_len++)
		g_assert_false(inner_parse(&packet, out, truncated_len));
	out[6] = 0x20; /* more fragments follow */
	g_assert_false(inner_parse(&packet, out, len));
}

static void init_header(struct packet_header *header)
{
	memset(header, 0, sizeof(*header));
	header->service_id = 0x01020304;
	header->config_revision = 1ULL << 40;
	header->agents_digest = 9;
	header->hops_left = PACKET_HOP_BUDGET;
	header->position = 2;
	header->n_candidates = 3;
	header->bucket = 511;
	header->resolves = PACKET_RESOLVES_MAX;
	header->services_tried = 7;
	header->unsure = 0x5a;
	header->asking = true;
	for (uint8_t i = 0; i < 3; i++) {
		header->candidates[i].data.ip = 0x7f000001u + i;
		header->candidates[i].data.port = 4701;
		header->candidates[i].member_id = 77u + i;
		header->candidates[i].instance_check = 0x3fff;
		header->candidates[i].flags = i;
	}
}

static void test_header_round_trip(void)
{
	struct packet_header in, out;
	uint8_t wire[PACKET_HEADER_MAX];
	size_t len;

	init_header(&in);
	memset(&out, 0, sizeof(out));
	len = packet_header_encode(&in, wire);
	g_assert_cmpuint(packet_header_decode(&out, wire, len), ==, len);
	g_assert_cmpuint(out.bucket, ==, in.bucket);
	g_assert_cmpuint(out.position, ==, in.position);
	g_assert_cmpuint(out.n_candidates, ==, in.n_candidates);
	g_assert_cmpuint(out.resolves, ==, in.resolves);
	g_assert_cmpuint(out.services_tried, ==, in.services_tried);
	g_assert_cmpuint(out.unsure, ==, in.unsure);
	g_assert_true(out.asking);
	g_assert_false(out.placed);
	for (int i = 0; i < 3; i++) {
		g_assert_cmpuint(out.candidates[i].member_id, ==,
				 in.candidates[i].member_id);
		g_assert_cmpuint(out.candidates[i].flags, ==,
				 in.candidates[i].flags);
		g_assert_cmpuint(out.candidates[i].instance_check, ==, 0x3fff);
	}
	for (size_t truncated_len = 0; truncated_len < len; truncated_len++)
		g_assert_cmpuint(
			packet_header_decode(&out, wire, truncated_len), ==, 0);
}

static void test_header_malformed(void)
{
	/* Changes of one byte that make the header invalid. */
	static const struct {
		int offset;
		uint8_t value;
	} cases[] = {
		{0, 0}, {2, 1}, {24, 0x33}, {24, 0x20}, {24, 0x29}, {26, 4},
	};
	struct packet_header header;
	uint8_t wire[PACKET_HEADER_MAX];
	size_t len;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		init_header(&header);
		len = packet_header_encode(&header, wire);
		wire[cases[i].offset] = cases[i].value;
		g_assert_cmpuint(packet_header_decode(&header, wire, len), ==,
				 0);
	}
}

/** Keeps an address bound for a while, like a process that is exiting. */
struct address_holder {
	int fd;
	int64_t hold_ms;
};

static void *close_later(void *arg)
{
	const struct address_holder *address_holder = arg;

	clock_sleep(address_holder->hold_ms);
	close(address_holder->fd);
	return NULL;
}

/* A successor waits for an address until its predecessor closes it. */
static void test_udp_address_freed(void)
{
	const struct endpoint local = {0x7f4d0701, 4702};
	struct address_holder address_holder = {.hold_ms = 200};
	struct status status;
	pthread_t thread;
	int fd;

	status_init(&status);
	g_assert_cmpint(udp_open(&local, &address_holder.fd, &status), ==,
			STATUS_OK);
	pthread_create(&thread, NULL, close_later, &address_holder);
	g_assert_cmpint(udp_open(&local, &fd, &status), ==, STATUS_OK);
	pthread_join(thread, NULL);
	/* When the address stays in use, the error names it. */
	g_assert_cmpint(udp_open(&local, &address_holder.fd, &status), ==,
			STATUS_IO);
	g_assert_nonnull(strstr(status.message, "127.77.7.1:4702"));
	close(fd);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/net/endpoint", test_endpoint);
	g_test_add_func("/net/inner-round-trip", test_inner_round_trip);
	g_test_add_func("/net/inner-truncated", test_inner_truncated);
	g_test_add_func("/net/header-round-trip", test_header_round_trip);
	g_test_add_func("/net/header-malformed", test_header_malformed);
	g_test_add_func("/net/udp-address-freed", test_udp_address_freed);
	return g_test_run();
}
