#include <glib.h>
#include <string.h>

#include "tarragonflow/flow/agent.h"

#define CALLER "10.9.0.1"
#define SERVICE "10.0.0.1"
#define SYN_SEQ 1000u
#define SERVER_SEQ 5000u

/*
 * Tests how the agent handles FIN, RST and ICMP errors of one connection, with
 * tables of packets. Sequence numbers are relative to those of the sender's SYN
 * or SYN-ACK.
 */
enum side {
	CALLER_SIDE,
	SERVER_SIDE,
	/** A router, with an ICMP error about a packet of the server. */
	ROUTER_SIDE,
};

/** Where the agent sends a packet that it has received. */
enum outcome {
	TO_SERVER,
	TO_FABRIC,
	DROPPED,
};

/** A packet to the agent and the expected result. */
struct step {
	/** Sender of the packet. */
	enum side side;
	uint8_t flags;
	uint32_t seq, ack;
	enum outcome outcome;
	/** Expected number of open connections afterwards. */
	uint32_t open_connections;
};

struct fixture {
	struct packet_sink sink;
	struct manifest manifest;
	struct roster roster;
	struct view view;
	struct counters counters;
	struct agent agent;
	/** Numbers of packets that the agent sent to the server and the fabric.
	 */
	unsigned int to_server, to_fabric;
};

static void ignore_peer_packet(struct packet_sink *sink,
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

static void count_server_packet(struct packet_sink *sink, const uint8_t *inner,
				size_t len)
{
	(void)inner;
	(void)len;
	((struct fixture *)sink)->to_server++;
}

static void count_fabric_packet(struct packet_sink *sink, const uint8_t *inner,
				size_t len)
{
	(void)inner;
	(void)len;
	((struct fixture *)sink)->to_fabric++;
}

static void fixture_init(struct fixture *fixture)
{
	static const char text[] =
		"{\"deployment\":\"d\",\"release\":1,"
		"\"zones\":[{\"name\":\"tas-a\"}],"
		"\"services\":[{\"name\":\"orders\",\"address\":\"" SERVICE
		"\",\"port\":80}]}";
	struct agent_identity identity = {
		.instance = 1, .connections = 2000, .slots = 5};
	struct member member = {.role = MEMBER_AGENT,
				.state = MEMBER_ACTIVE,
				.instance = 1,
				.sequence = 1,
				.connections = 2000,
				.data = {0x7f000001, 4701}};
	struct status status;

	memset(fixture, 0, sizeof(*fixture));
	fixture->sink.to_peer = ignore_peer_packet;
	fixture->sink.to_server = count_server_packet;
	fixture->sink.to_fabric = count_fabric_packet;
	status_init(&status);
	manifest_init(&fixture->manifest);
	g_assert_cmpint(manifest_parse(&fixture->manifest, str_from(text), "m",
				       &status),
			==, STATUS_OK);
	name_set(&identity.name, str_from("orders-1"));
	name_set(&identity.zone, str_from("tas-a"));
	name_set(&identity.service, str_from("orders"));
	member.name = identity.name;
	member.zone = identity.zone;
	member.service = identity.service;
	roster_init(&fixture->roster);
	roster_merge(&fixture->roster, &member, 0);
	view_init(&fixture->view, &fixture->manifest, &fixture->roster);
	counters_init(&fixture->counters);
	agent_init(&fixture->agent, &identity, &fixture->counters, 0);
	agent_set_view(&fixture->agent, &fixture->view);
}

static void fixture_finish(struct fixture *fixture)
{
	agent_finish(&fixture->agent);
	view_finish(&fixture->view);
	roster_finish(&fixture->roster);
	manifest_finish(&fixture->manifest);
}

static size_t build(uint8_t *out, const struct step *step)
{
	bool from_caller = step->side == CALLER_SIDE;
	struct inner_spec spec = {
		.seq = step->seq + (from_caller ? SYN_SEQ : SERVER_SEQ),
		.ack = step->ack + (from_caller ? SERVER_SEQ : SYN_SEQ),
		.flags = step->flags,
	};

	ip_addr_parse(&spec.key.src, from_caller ? CALLER : SERVICE);
	ip_addr_parse(&spec.key.dst, from_caller ? SERVICE : CALLER);
	spec.key.src_port = from_caller ? 1234 : 80;
	spec.key.dst_port = from_caller ? 80 : 1234;
	return inner_build(&spec, out, 128);
}

static uint16_t checksum(const uint8_t *data, size_t len)
{
	uint32_t sum = 0;

	for (size_t i = 0; i < len; i++)
		sum += (uint32_t)data[i] << (i & 1 ? 0 : 8);
	while (sum >> 16)
		sum = (sum & 0xffff) + (sum >> 16);
	return (uint16_t)~sum;
}

static void put_checksum(uint8_t *out, uint16_t value)
{
	out[0] = (uint8_t)(value >> 8);
	out[1] = (uint8_t)value;
}

/* Replaces the packet of @len bytes at @data by an ICMP error ("fragmentation
 * needed") that quotes it. Returns the length of the error. */
static size_t wrap_in_icmp(uint8_t *data, size_t len)
{
	static const uint8_t router[4] = {192, 0, 2, 9};
	uint8_t quoted[128];
	size_t total = 28 + len;

	memcpy(quoted, data, len);
	memset(data, 0, 28);
	memcpy(data + 28, quoted, len);
	data[0] = 0x45;
	data[3] = (uint8_t)total;
	data[9] = 1;
	memcpy(data + 12, router, sizeof(router));
	memcpy(data + 16, quoted + 12, 4);
	put_checksum(data + 10, checksum(data, 20));
	data[20] = 3;
	data[21] = 4;
	put_checksum(data + 22, checksum(data + 20, 8 + len));
	return total;
}

static void send_step(struct fixture *fixture, const struct step *step)
{
	uint8_t wire[PACKET_HEADER_MAX + 256], data[256];
	struct packet_header header = {.from = PACKET_FROM_OUTSIDE,
				       .hops_left = PACKET_HOP_BUDGET};
	size_t len = build(data, step);
	size_t header_len;

	if (step->side == SERVER_SIDE) {
		agent_handle_server(&fixture->agent, data, len, 1,
				    &fixture->sink);
		return;
	}
	if (step->side == ROUTER_SIDE)
		len = wrap_in_icmp(data, len);
	header.service_id = fixture->view.services[0].service.id;
	view_fill_chain(&fixture->view.services[0], 0, &header);
	header_len = packet_header_encode(&header, wire);
	memcpy(wire + header_len, data, len);
	agent_handle_peer(&fixture->agent, wire, header_len + len, 1,
			  &fixture->sink);
}

/* Sends the packets of @steps and checks their results. */
static void run_steps(const struct step *steps)
{
	struct fixture fixture;

	fixture_init(&fixture);
	for (; steps->flags || steps->side == ROUTER_SIDE; steps++) {
		fixture.to_server = 0;
		fixture.to_fabric = 0;
		send_step(&fixture, steps);
		g_assert_cmpuint(fixture.to_server, ==,
				 steps->outcome == TO_SERVER);
		g_assert_cmpuint(fixture.to_fabric, ==,
				 steps->outcome == TO_FABRIC);
		g_assert_cmpuint(fixture.agent.admit.open, ==,
				 steps->open_connections);
	}
	fixture_finish(&fixture);
}

/* Steps that open the connection. */
#define HANDSHAKE                                                     \
	{CALLER_SIDE, TCP_SYN, 0, 0, TO_SERVER, 1},                   \
		{SERVER_SIDE, TCP_SYN | TCP_ACK, 0, 1, TO_FABRIC, 1}, \
	{                                                             \
		CALLER_SIDE, TCP_ACK, 1, 1, TO_SERVER, 1              \
	}

static void test_fin(void)
{
	static const struct step caller_first[] = {
		HANDSHAKE,
		{CALLER_SIDE, TCP_FIN | TCP_ACK, 1, 1, TO_SERVER, 1},
		{SERVER_SIDE, TCP_ACK, 1, 2, TO_FABRIC, 1},
		{SERVER_SIDE, TCP_FIN | TCP_ACK, 1, 2, TO_FABRIC, 0},
		{CALLER_SIDE, TCP_ACK, 2, 2, TO_SERVER, 0},
		{0},
	};
	static const struct step server_first[] = {
		HANDSHAKE,
		{SERVER_SIDE, TCP_FIN | TCP_ACK, 1, 1, TO_FABRIC, 1},
		{CALLER_SIDE, TCP_FIN | TCP_ACK, 1, 2, TO_SERVER, 0},
		{SERVER_SIDE, TCP_ACK, 2, 2, TO_FABRIC, 0},
		{0},
	};
	static const struct step retransmitted[] = {
		HANDSHAKE,
		{CALLER_SIDE, TCP_FIN | TCP_ACK, 1, 1, TO_SERVER, 1},
		{CALLER_SIDE, TCP_FIN | TCP_ACK, 1, 1, TO_SERVER, 1},
		{0},
	};

	run_steps(caller_first);
	run_steps(server_first);
	run_steps(retransmitted);
}

static void test_rst(void)
{
	static const struct step by_caller[] = {
		HANDSHAKE,
		{CALLER_SIDE, TCP_RST, 1, 0, TO_SERVER, 0},
		{0},
	};
	static const struct step by_server[] = {
		HANDSHAKE,
		{SERVER_SIDE, TCP_RST | TCP_ACK, 1, 1, TO_FABRIC, 0},
		{0},
	};
	/* Far outside the window: from another connection, or forged. */
	static const struct step outside_window[] = {
		HANDSHAKE,
		{CALLER_SIDE, TCP_RST, 0x40000000, 0, DROPPED, 1},
		{CALLER_SIDE, TCP_ACK, 1, 1, TO_SERVER, 1},
		{0},
	};
	static const struct step unknown_connection[] = {
		{CALLER_SIDE, TCP_RST, 1, 0, DROPPED, 0},
		{0},
	};

	run_steps(by_caller);
	run_steps(by_server);
	run_steps(outside_window);
	run_steps(unknown_connection);
}

static void test_icmp(void)
{
	static const struct step open_connection[] = {
		HANDSHAKE,
		{ROUTER_SIDE, TCP_ACK, 1, 1, TO_SERVER, 1},
		{CALLER_SIDE, TCP_ACK, 1, 1, TO_SERVER, 1},
		{0},
	};
	static const struct step outside_window[] = {
		HANDSHAKE,
		{ROUTER_SIDE, TCP_ACK, 0x40000000, 1, DROPPED, 1},
		{0},
	};
	static const struct step unknown_connection[] = {
		{ROUTER_SIDE, TCP_ACK, 1, 1, DROPPED, 0},
		{0},
	};

	run_steps(open_connection);
	run_steps(outside_window);
	run_steps(unknown_connection);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/agent-packets/fin", test_fin);
	g_test_add_func("/agent-packets/rst", test_rst);
	g_test_add_func("/agent-packets/icmp", test_icmp);
	return g_test_run();
}
