#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "tarragonflow/net/inner.h"
#include "tarragonflow/net/packet_sink.h"
#include "tarragonflow/route/balancer.h"
#include <xxhash.h>

/* Time of one packet through the balancer core, against its floor. */
#define PACKETS 4096
#define ROUNDS 200
#define PACKET_BYTES 600
#define ROUTE_RATIO_MAX 3

struct encode_sink {
	struct packet_sink sink;
	uint8_t out[PACKET_HEADER_MAX + PACKET_BYTES + 64];
	uint64_t sum;
};

static void encode(struct packet_sink *sink, const struct endpoint *to,
		   const struct packet_header *header, const uint8_t *inner,
		   size_t len)
{
	struct encode_sink *self = (struct encode_sink *)sink;
	size_t head = packet_header_encode(header, self->out);

	memcpy(self->out + head, inner, len);
	self->sum += to->ip + self->out[0];
}

static void make_view(struct view *view)
{
	static const char text[] =
		"{\"deployment\":\"d\",\"release\":1,"
		"\"zones\":[{\"name\":\"z\"}],\"services\":[{\"name\":"
		"\"orders\",\"address\":\"10.77.0.10\",\"port\":80}]}";
	struct manifest manifest;
	struct roster roster;
	struct member member;
	struct status status;
	char name[32];

	memset(&member, 0, sizeof(member));
	status_init(&status);
	manifest_init(&manifest);
	roster_init(&roster);
	manifest_parse(&manifest, str_from(text), "bench", &status);
	name_set(&member.zone, str_from("z"));
	name_set(&member.service, str_from("orders"));
	member.role = MEMBER_AGENT;
	member.state = MEMBER_ACTIVE;
	member.connections = 2000;
	for (int i = 1; i <= (int)bench_env("SERVERS", 7); i++) {
		snprintf(name, sizeof(name), "orders-%d", i);
		name_set(&member.name, str_from(name));
		member.data.ip = (uint32_t)i;
		roster_merge(&roster, &member, 0);
	}
	view_init(view, &manifest, &roster);
	roster_finish(&roster);
	manifest_finish(&manifest);
}

static size_t make_packets(uint8_t (*packets)[PACKET_BYTES + 64], uint64_t seed)
{
	static const uint8_t payload[PACKET_BYTES - 40];
	GRand *rand = g_rand_new_with_seed((guint32)seed);
	struct inner_spec spec = {.flags = TCP_ACK,
				  .payload = payload,
				  .payload_len = sizeof(payload)};
	size_t len = 0;

	ip_addr_parse(&spec.key.dst, "10.77.0.10");
	spec.key.dst_port = 80;
	for (int i = 0; i < PACKETS; i++) {
		uint32_t ip = g_rand_int(rand);

		ip_addr_from_v4(&spec.key.src, (const uint8_t *)&ip);
		spec.key.src_port = (uint16_t)g_rand_int(rand);
		len = inner_build(&spec, packets[i], sizeof(packets[i]));
	}
	g_rand_free(rand);
	return len;
}

static double floor_ns(uint8_t (*packets)[PACKET_BYTES + 64], size_t len,
		       struct encode_sink *sink)
{
	int64_t start = bench_now_ns();

	for (int r = 0; r < ROUNDS; r++)
		for (int i = 0; i < PACKETS; i++) {
			sink->sum += XXH3_64bits(packets[i],
						 sizeof(struct flow_key));
			memcpy(sink->out, packets[i], len);
			sink->sum += sink->out[r % 64];
		}
	return (double)(bench_now_ns() - start) / ((double)ROUNDS * PACKETS);
}

static void run(struct bench *bench)
{
	uint8_t(*packets)[PACKET_BYTES + 64] =
		g_malloc(sizeof(*packets) * PACKETS);
	struct encode_sink sink = {.sink = {.to_peer = encode}};
	size_t len = make_packets(packets, bench->seed);
	static const struct endpoint origin = {1, 1};
	struct counters counters;
	struct balancer balancer;
	struct view view;
	double base, route;
	int64_t start;

	counters_init(&counters);
	make_view(&view);
	balancer_init(&balancer, &origin, &counters);
	balancer_set_view(&balancer, &view);
	base = floor_ns(packets, len, &sink);
	start = bench_now_ns();
	for (int r = 0; r < ROUNDS; r++)
		for (int i = 0; i < PACKETS; i++)
			balancer_handle(&balancer, packets[i], len, &sink.sink);
	route = (double)(bench_now_ns() - start) / ((double)ROUNDS * PACKETS);
	bench_figure(bench, BENCH_TIMING, "route_floor_ns", base, "ns",
		     BENCH_REPORT, 0);
	bench_figure(bench, BENCH_TIMING, "route_ns", route, "ns", BENCH_REPORT,
		     0);
	bench_figure(bench, BENCH_TIMING, "route_ratio", route / base, "x",
		     BENCH_AT_MOST, ROUTE_RATIO_MAX);
	view_finish(&view);
	g_free(packets);
}

const struct bench_group bench_route = {"route", run};
