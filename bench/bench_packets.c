#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "tarragonflow/net/inner.h"
#include "tarragonflow/net/packet.h"
#include "tarragonflow/net/packet_auth.h"

/* CPU time to parse, to seal and to verify one packet. */
#define ROUNDS 200000
#define AUTH_KEY "000102030405060708090a0b0c0d0e0f"

/** Sender and receiver with a shared key. */
struct auth_pair {
	struct keyring keyring;
	struct counters counters;
	struct packet_auth sender, receiver;
};

static void auth_pair_init(struct auth_pair *auth_pair)
{
	struct status status;

	status_init(&status);
	keyring_init(&auth_pair->keyring);
	keyring_add(&auth_pair->keyring, 1, str_from(AUTH_KEY), &status);
	counters_init(&auth_pair->counters);
	packet_auth_init(&auth_pair->sender, &auth_pair->keyring, 1, 1,
			 &auth_pair->counters);
	packet_auth_init(&auth_pair->receiver, &auth_pair->keyring, 2, 1,
			 &auth_pair->counters);
}

/* Buffer size for the name of a figure, with the terminator. */
#define FIGURE_NAME_BYTES 64

static void report_figure(struct bench *bench, const char *prefix, size_t len,
			  int64_t total_ns)
{
	char name[FIGURE_NAME_BYTES];

	snprintf(name, sizeof(name), "%s_%zu_bytes", prefix, len);
	bench_figure(bench, BENCH_TIMING, name, (double)total_ns / ROUNDS, "ns",
		     BENCH_REPORT, 0);
}

/*
 * Seals and verifies packets that consist of the longest header and @len bytes
 * of a caller's packet.
 */
static void measure_auth(struct bench *bench, size_t len)
{
	const struct endpoint to = {0x7f000001, 4701};
	uint8_t *wire = g_malloc0(PACKET_AUTH_BYTES + PACKET_HEADER_MAX + len);
	size_t body_len = PACKET_HEADER_MAX + len;
	int64_t seal_ns = 0, open_ns = 0;
	unsigned int n_accepted = 0;
	char name[FIGURE_NAME_BYTES];
	struct auth_pair auth_pair;

	auth_pair_init(&auth_pair);
	for (int i = 0; i < ROUNDS; i++) {
		int64_t start_ns = bench_now_ns(), sealed_ns;

		packet_auth_seal(&auth_pair.sender, &to, wire, body_len);
		sealed_ns = bench_now_ns();
		n_accepted += packet_auth_open(&auth_pair.receiver, wire,
					       PACKET_AUTH_BYTES + body_len,
					       0) > 0;
		seal_ns += sealed_ns - start_ns;
		open_ns += bench_now_ns() - sealed_ns;
	}
	report_figure(bench, "packet_seal", len, seal_ns);
	report_figure(bench, "packet_open", len, open_ns);
	snprintf(name, sizeof(name), "packets_accepted_%zu_bytes", len);
	bench_figure(bench, BENCH_DECISION, name, n_accepted, "packets",
		     BENCH_EQUAL, ROUNDS);
	packet_auth_finish(&auth_pair.sender);
	packet_auth_finish(&auth_pair.receiver);
	g_free(wire);
}

static void measure_parse(struct bench *bench)
{
	struct inner_spec spec = {.flags = TCP_ACK};
	struct inner_packet packet;
	uint8_t segment[64];
	int64_t start_ns;
	size_t len;

	ip_addr_parse(&spec.key.src, "10.0.0.1");
	ip_addr_parse(&spec.key.dst, "10.0.0.2");
	len = inner_build(&spec, segment, sizeof(segment));
	start_ns = bench_now_ns();
	for (int i = 0; i < ROUNDS; i++)
		inner_parse(&packet, segment, len);
	report_figure(bench, "packet_parse", len, bench_now_ns() - start_ns);
}

static void run(struct bench *bench)
{
	measure_auth(bench, 40);
	measure_auth(bench, 1300);
	measure_parse(bench);
}

const struct bench_group bench_packets = {"packets", run};
