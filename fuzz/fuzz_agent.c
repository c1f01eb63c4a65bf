#include <glib.h>
#include <string.h>

#include "fuzz.h"
#include "tarragonflow/flow/agent.h"
#include "tarragonflow/platform/platform.h"
#include "tarragonflow/route/balancer.h"

/*
 * Arbitrary datagrams to an agent and a balancer. The input is a sequence of
 * records: one byte that selects the receiver, one byte of length, and the
 * datagram. Outgoing packets are discarded; those to peers are checked first.
 */
#define RECORD_INTERVAL_MS 50
#define N_MEMBERS 12

static void check_peer_packet(struct packet_sink *sink,
			      const struct endpoint *to,
			      const struct packet_header *header,
			      const uint8_t *inner, size_t len)
{
	uint8_t wire[PACKET_HEADER_MAX];

	(void)sink;
	(void)to;
	(void)inner;
	(void)len;
	assert(header->n_candidates <= CHAIN_MAX);
	packet_header_encode(header, wire);
}

static void discard_packet(struct packet_sink *sink, const uint8_t *inner,
			   size_t len)
{
	(void)sink;
	(void)inner;
	(void)len;
}

static void make_view(struct view *view)
{
	static const char manifest_text[] =
		"{\"deployment\":\"d\",\"release\":1,\"zones\":[],"
		"\"services\":[{\"name\":\"a\"},{\"name\":\"b\"}],"
		"\"routes\":[{\"name\":\"r\",\"address\":\"198.18.0.1\","
		"\"port\":443,\"kind\":\"safe\",\"backends\":[{\"service\":"
		"\"a\"}]}]}";
	static struct zone_orders orders;
	struct manifest manifest;
	struct roster roster;
	struct status status;

	status_init(&status);
	manifest_init(&manifest);
	manifest_parse(&manifest, str_from(manifest_text), "m", &status);
	roster_init(&roster);
	for (uint32_t i = 1; i <= N_MEMBERS; i++) {
		struct member member = {
			.role = MEMBER_AGENT,
			.state = MEMBER_ACTIVE,
			.instance = 1,
			.connections = 16,
			.data = {i, 1},
		};
		char name[16];

		g_snprintf(name, sizeof(name), "m%u", i);
		name_set(&member.name, str_from(name));
		name_set(&member.zone, str_from("z"));
		name_set(&member.service, str_from(i % 3 ? "a" : "b"));
		roster_merge(&roster, &member, 0);
	}
	view_init_with_orders(view, &manifest, &roster, &orders, 0);
	view->roster_complete = true;
	roster_finish(&roster);
	manifest_finish(&manifest);
}

static void init_agent(struct agent *agent, struct counters *counters,
		       const struct view *view, struct packet_sink *sink)
{
	struct server_report report = {
		.id = "i-1",
		.state = SERVER_READY,
		.sequence = 3,
		.slots = 2,
	};
	struct agent_identity identity = {
		.instance = 1,
		.connections = 16,
		.slots = 2,
		.format = &packet_format_platform,
		.server_reports = true,
		.report_lease_ms = 2000,
		.flow_lifetime_ms = 60000,
		.reports_load_to_balancers = true,
	};

	name_set(&identity.name, str_from("m1"));
	name_set(&identity.zone, str_from("z"));
	name_set(&identity.service, str_from("a"));
	name_set(&report.service, str_from("a"));
	agent_init(agent, &identity, counters, 1000);
	agent_set_view(agent, view);
	agent_handle_server_report(agent, &report, 1000, sink);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct view view;
	static bool view_is_made;
	static struct agent agent;
	static struct balancer balancer;
	struct counters counters;
	struct packet_sink sink = {
		.to_peer = check_peer_packet,
		.to_server = discard_packet,
		.to_fabric = discard_packet,
	};
	int64_t now_ms = 1000;

	if (!view_is_made)
		make_view(&view);
	view_is_made = true;
	counters_init(&counters);
	init_agent(&agent, &counters, &view, &sink);
	balancer_init(&balancer, &counters);
	balancer_set_format(&balancer, &packet_format_platform);
	balancer_set_view(&balancer, &view);
	while (size >= 2) {
		uint8_t receiver = data[0];
		size_t len = MIN((size_t)data[1], size - 2);

		now_ms += RECORD_INTERVAL_MS;
		if (receiver % 3 == 0)
			agent_handle_peer(&agent, data + 2, len, now_ms, &sink);
		else if (receiver % 3 == 1)
			agent_handle_server(&agent, data + 2, len, now_ms,
					    &sink);
		else
			balancer_handle_packet(&balancer, data + 2, len, now_ms,
					       &sink);
		agent_tick(&agent, now_ms, &sink);
		data += 2 + len;
		size -= 2 + len;
	}
	agent_finish(&agent);
	return 0;
}
