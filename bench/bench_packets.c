#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "tarragonflow/net/inner.h"
#include "tarragonflow/net/packet.h"
#include "tarragonflow/net/packet_auth.h"

/* Processor time that reading and authenticating one packet takes. */
#define ROUNDS 200000
#define KEY "000102030405060708090a0b0c0d0e0f"

struct ends {
	struct keyring keyring;
	struct counters counters;
	struct packet_auth sender, receiver;
};

static void ends_init(struct ends *ends)
{
	struct status status;

	status_init(&status);
	keyring_init(&ends->keyring);
	keyring_add(&ends->keyring, 1, str_from(KEY), &status);
	counters_init(&ends->counters);
	packet_auth_init(&ends->sender, &ends->keyring, 1, 1, &ends->counters);
	packet_auth_init(&ends->receiver, &ends->keyring, 2, 1,
			 &ends->counters);
}

/* Longest name of a figure, with the terminator. */
#define NAME_BYTES 64

static void report(struct bench *bench, const char *what, size_t len,
		   int64_t took_ns)
{
	char name[NAME_BYTES];

	snprintf(name, sizeof(name), "%s_%zu_bytes", what, len);
	bench_figure(bench, BENCH_TIMING, name, (double)took_ns / ROUNDS, "ns",
		     BENCH_REPORT, 0);
}

/* @len bytes of a caller's packet behind the longest header. */
static void run_auth(struct bench *bench, size_t len)
{
	const struct endpoint to = {0x7f000001, 4701};
	uint8_t *wire = g_malloc0(PACKET_AUTH_BYTES + PACKET_HEADER_MAX + len);
	size_t body = PACKET_HEADER_MAX + len;
	int64_t seal_ns = 0, open_ns = 0;
	unsigned int accepted = 0;
	char name[NAME_BYTES];
	struct ends ends;

	ends_init(&ends);
	for (int i = 0; i < ROUNDS; i++) {
		int64_t start = bench_now_ns(), sealed;

		packet_auth_seal(&ends.sender, &to, wire, body);
		sealed = bench_now_ns();
		accepted += packet_auth_open(&ends.receiver, wire,
					     PACKET_AUTH_BYTES + body, 0) > 0;
		seal_ns += sealed - start;
		open_ns += bench_now_ns() - sealed;
	}
	report(bench, "packet_seal", len, seal_ns);
	report(bench, "packet_open", len, open_ns);
	snprintf(name, sizeof(name), "packets_accepted_%zu_bytes", len);
	bench_figure(bench, BENCH_DECISION, name, accepted, "packets",
		     BENCH_EQUAL, ROUNDS);
	packet_auth_finish(&ends.sender);
	packet_auth_finish(&ends.receiver);
	g_free(wire);
}

static void run_parse(struct bench *bench)
{
	struct inner_spec spec = {.flags = TCP_ACK};
	struct inner_packet packet;
	uint8_t out[64];
	int64_t start;
	size_t len;

	ip_addr_parse(&spec.key.src, "10.0.0.1");
	ip_addr_parse(&spec.key.dst, "10.0.0.2");
	len = inner_build(&spec, out, sizeof(out));
	start = bench_now_ns();
	for (int i = 0; i < ROUNDS; i++)
		inner_parse(&packet, out, len);
	report(bench, "packet_parse", len, bench_now_ns() - start);
}

static void run(struct bench *bench)
{
	run_auth(bench, 40);
	run_auth(bench, 1300);
	run_parse(bench);
}

const struct bench_group bench_packets = {"packets", run};
