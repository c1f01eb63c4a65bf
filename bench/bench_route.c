#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "bench_fixture.h"
#include "tarragonflow/net/inner.h"
#include "tarragonflow/net/packet_sink.h"
#include "tarragonflow/route/balancer.h"
#include <xxhash.h>

/*
 * Time of one packet through the balancer core, relative to a lower bound: one
 * hash of the connection key and one copy of the packet.
 */
#define PACKETS 4096
#define ROUNDS 200
#define ROUTE_RATIO_MAX 3

/** Encodes each packet to a buffer instead of sending it. */
struct encode_sink {
	struct packet_sink sink;
	uint8_t encoded[PACKET_HEADER_MAX + BENCH_PACKET_CAP];
	/** Keeps the compiler from removing the work. */
	uint64_t checksum;
};

static void encode_packet(struct packet_sink *sink, const struct endpoint *to,
			  const struct packet_header *header,
			  const uint8_t *inner, size_t len)
{
	struct encode_sink *self = (struct encode_sink *)sink;
	size_t header_len = packet_header_encode(header, self->encoded);

	memcpy(self->encoded + header_len, inner, len);
	self->checksum += to->ip + self->encoded[0];
}

/* Time of the lower bound per packet. */
static double measure_floor_ns(uint8_t (*packets)[BENCH_PACKET_CAP], size_t len,
			       struct encode_sink *sink)
{
	int64_t start_ns = bench_now_ns();

	for (int r = 0; r < ROUNDS; r++)
		for (int i = 0; i < PACKETS; i++) {
			sink->checksum += XXH3_64bits(packets[i],
						      sizeof(struct flow_key));
			memcpy(sink->encoded, packets[i], len);
			sink->checksum += sink->encoded[r % 64];
		}
	return (double)(bench_now_ns() - start_ns) / ((double)ROUNDS * PACKETS);
}

static void run(struct bench *bench)
{
	uint8_t(*packets)[BENCH_PACKET_CAP] =
		g_malloc(sizeof(*packets) * PACKETS);
	struct encode_sink sink = {.sink = {.to_peer = encode_packet}};
	size_t len = bench_make_packets(packets, PACKETS, bench->seed);
	struct endpoint data = {1, 1};
	struct counters counters;
	struct balancer balancer;
	struct view view;
	double floor_ns, route_ns;
	int64_t start_ns;

	counters_init(&counters);
	bench_make_view(&view, bench_env("SERVERS", 7), &data);
	balancer_init(&balancer, &counters);
	balancer_set_origin(&balancer, &data);
	balancer_set_view(&balancer, &view);
	floor_ns = measure_floor_ns(packets, len, &sink);
	start_ns = bench_now_ns();
	for (int r = 0; r < ROUNDS; r++)
		for (int i = 0; i < PACKETS; i++)
			balancer_handle_packet(&balancer, packets[i], len, 0,
					       &sink.sink);
	route_ns = (double)(bench_now_ns() - start_ns) /
		   ((double)ROUNDS * PACKETS);
	bench_figure(bench, BENCH_TIMING, "route_floor_ns", floor_ns, "ns",
		     BENCH_REPORT, 0);
	bench_figure(bench, BENCH_TIMING, "route_ns", route_ns, "ns",
		     BENCH_REPORT, 0);
	bench_figure(bench, BENCH_TIMING, "route_ratio", route_ns / floor_ns,
		     "x", BENCH_AT_MOST, ROUTE_RATIO_MAX);
	view_finish(&view);
	g_free(packets);
}

const struct bench_group bench_route = {"route", run};
