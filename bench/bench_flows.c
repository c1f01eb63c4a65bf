#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "bench_fixture.h"
#include "tarragonflow/flow/agent.h"

/*
 * New connections per second at the core of one agent, and its memory by the
 * number of open connections.
 */
#define SYN_BYTES 128
#define BYTES_PER_FLOW_MAX 128
/* Connection limit of a backend server in the present deployments. */
#define CONNECTION_LIMIT 2000

static void discard_packet(struct packet_sink *sink, const uint8_t *inner,
			   size_t len)
{
	(void)sink;
	(void)inner;
	(void)len;
}

static void discard_peer_packet(struct packet_sink *sink,
				const struct endpoint *to,
				const struct packet_header *header,
				const uint8_t *inner, size_t len)
{
	(void)sink;
	(void)to;
	(void)header;
	(void)inner;
	(void)len;
}

static void make_agent(struct agent *agent, struct counters *counters,
		       uint32_t connections)
{
	struct agent_identity identity = {
		.instance = 1,
		.connections = connections,
		.seed = 1,
	};

	name_set(&identity.name, str_from("orders-1"));
	name_set(&identity.zone, str_from("z"));
	name_set(&identity.service, str_from("orders"));
	counters_init(counters);
	agent_init(agent, &identity, counters, 0);
}

/* Fills @key with the key of connection number @n. */
static void make_key(struct flow_key *key, uint32_t n)
{
	uint32_t ip = GUINT32_TO_BE(0x0a000000u + (n >> 12));

	memset(key, 0, sizeof(*key));
	ip_addr_from_v4(&key->src, (const uint8_t *)&ip);
	ip_addr_parse(&key->dst, "10.77.0.10");
	key->src_port = (uint16_t)(1024 + (n & 0xfff));
	key->dst_port = 80;
}

static void measure_memory(struct bench *bench, uint32_t connections)
{
	size_t heap_before = bench_heap_bytes();
	struct counters counters;
	struct agent agent;
	struct flow_key key;
	char name[64];
	double bytes;

	make_agent(&agent, &counters, connections);
	for (uint32_t i = 0; i < connections; i++) {
		make_key(&key, i);
		if (!flow_table_insert(&agent.flows, &key))
			bench->failed++;
	}
	bytes = (double)(bench_heap_bytes() - heap_before);
	snprintf(name, sizeof(name), "agent_memory_mib_%u", connections);
	bench_figure(bench, BENCH_DECISION, name, bytes / 1048576, "MiB",
		     BENCH_REPORT, 0);
	snprintf(name, sizeof(name), "agent_table_bytes_per_flow_%u",
		 connections);
	bench_figure(bench, BENCH_DECISION, name, bytes / connections, "B",
		     BENCH_AT_MOST, BYTES_PER_FLOW_MAX);
	if (connections == CONNECTION_LIMIT)
		bench_figure(bench, BENCH_DECISION, "agent_bytes_per_flow",
			     (bytes + sizeof(agent)) / connections, "B",
			     BENCH_AT_MOST, BYTES_PER_FLOW_MAX);
	agent_finish(&agent);
}

/* Time of an agent per SYN, in the form in which balancers forward SYNs. */
static void measure_opens(struct bench *bench)
{
	struct packet_sink sink = {discard_peer_packet, discard_packet,
				   discard_packet};
	uint32_t n = (uint32_t)bench_env("FLOWS", 200000);
	struct endpoint data = {1, 1};
	struct packet_header header;
	struct counters counters;
	struct agent agent;
	struct view view;
	uint8_t wire[PACKET_HEADER_MAX + SYN_BYTES];
	int64_t start_ns;
	double ns_per_open;

	make_agent(&agent, &counters, n);
	bench_make_view(&view, 1, &data);
	agent_set_view(&agent, &view);
	agent.admit.limit = n;
	start_ns = bench_now_ns();
	for (uint32_t i = 0; i < n; i++) {
		struct inner_spec spec = {.flags = TCP_SYN, .seq = i};
		size_t header_len, len;

		make_key(&spec.key, i);
		memset(&header, 0, sizeof(header));
		header.service_id = view.services[0].service.id;
		header.hops_left = PACKET_HOP_BUDGET;
		view_fill_chain(&view.services[0], 0, &header);
		header_len = packet_header_encode(&header, wire);
		len = inner_build(&spec, wire + header_len, SYN_BYTES);
		agent_handle_peer(&agent, wire, header_len + len, 1, &sink);
	}
	ns_per_open = (double)(bench_now_ns() - start_ns) / n;
	bench_figure(bench, BENCH_DECISION, "agent_opens_admitted_share",
		     (double)counter_get(&counters, COUNTER_FLOW_OPENED) / n,
		     "x", BENCH_EQUAL, 1);
	bench_figure(bench, BENCH_TIMING, "agent_open_ns", ns_per_open, "ns",
		     BENCH_REPORT, 0);
	bench_figure(bench, BENCH_TIMING, "agent_opens_per_s",
		     1e9 / ns_per_open, "1/s", BENCH_REPORT, 0);
	view_finish(&view);
	agent_finish(&agent);
}

static void run(struct bench *bench)
{
	static const uint32_t connection_limits[] = {CONNECTION_LIMIT, 20000,
						     200000, 2000000};

	for (size_t i = 0; i < G_N_ELEMENTS(connection_limits); i++)
		measure_memory(bench, connection_limits[i]);
	measure_opens(bench);
}

const struct bench_group bench_flows = {"flows", run};
