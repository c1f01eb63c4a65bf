#include <stdio.h>
#include <string.h>

#include "tarragonflow/flow/agent.h"
#include "tarragonflow/route/balancer.h"

/*
 * Drives the packet cores from outside: one SYN goes through a balancer to an
 * agent and on to the backend server. Exit code 0 when the SYN arrived.
 * docs/BENCH-ADAPTER.md explains the steps.
 */
struct trial {
	struct packet_sink sink;
	struct agent agent;
	int64_t now_ms;
	/* Number of packets that reached the backend server. */
	int delivered;
};

static void to_peer(struct packet_sink *sink, const struct endpoint *to,
		    const struct packet_header *header, const uint8_t *inner,
		    size_t len)
{
	struct trial *trial = (struct trial *)sink;
	uint8_t wire[PACKET_HEADER_MAX + INNER_MAX];
	size_t head = packet_header_encode(header, wire);

	(void)to;
	memcpy(wire + head, inner, len);
	agent_handle_peer(&trial->agent, wire, head + len, trial->now_ms, sink);
}

static void to_server(struct packet_sink *sink, const uint8_t *inner,
		      size_t len)
{
	(void)inner;
	(void)len;
	((struct trial *)sink)->delivered++;
}

static void to_fabric(struct packet_sink *sink, const uint8_t *inner,
		      size_t len)
{
	(void)sink;
	(void)inner;
	(void)len;
}

static const char manifest_text[] =
	"{\"deployment\":\"example\",\"release\":1,"
	"\"zones\":[{\"name\":\"tas-a\"}],"
	"\"services\":[{\"name\":\"orders\",\"address\":\"10.0.0.1\","
	"\"port\":80}]}";

/* A view of one service with one backend server. */
static enum status_code make_view(struct view *view, struct status *status)
{
	struct manifest manifest;
	struct roster roster;
	struct member member = {
		.role = MEMBER_AGENT,
		.state = MEMBER_ACTIVE,
		.instance = 1,
		.sequence = 1,
		.data = {0x7f000001, 4701},
		.connections = 2000,
		.slots = 5,
	};

	manifest_init(&manifest);
	roster_init(&roster);
	name_set(&member.name, str_from("orders-1"));
	name_set(&member.zone, str_from("tas-a"));
	name_set(&member.service, str_from("orders"));
	roster_merge(&roster, &member, 0);
	if (manifest_parse(&manifest, str_from(manifest_text), "example",
			   status) == STATUS_OK)
		view_init(view, &manifest, &roster);
	roster_finish(&roster);
	manifest_finish(&manifest);
	return status->code;
}

int main(void)
{
	struct agent_identity identity = {.instance = 1, .connections = 2000};
	struct trial trial = {.sink = {to_peer, to_server, to_fabric}};
	struct inner_spec spec = {.flags = TCP_SYN, .seq = 7};
	struct balancer balancer;
	struct counters counters;
	struct status status;
	struct view view;
	uint8_t packet[128];

	status_init(&status);
	counters_init(&counters);
	if (make_view(&view, &status) != STATUS_OK) {
		fprintf(stderr, "%s\n", status.message);
		return 1;
	}
	name_set(&identity.name, str_from("orders-1"));
	name_set(&identity.zone, str_from("tas-a"));
	name_set(&identity.service, str_from("orders"));
	agent_init(&trial.agent, &identity, &counters, trial.now_ms);
	agent_set_view(&trial.agent, &view);
	balancer_init(&balancer, &counters);
	balancer_set_view(&balancer, &view);

	ip_addr_parse(&spec.key.src, "10.9.9.9");
	ip_addr_parse(&spec.key.dst, "10.0.0.1");
	spec.key.src_port = 40000;
	spec.key.dst_port = 80;
	balancer_handle_packet(&balancer, packet,
			       inner_build(&spec, packet, sizeof(packet)),
			       trial.now_ms, &trial.sink);
	printf("delivered %d\n", trial.delivered);
	agent_finish(&trial.agent);
	view_finish(&view);
	return trial.delivered == 1 ? 0 : 1;
}
