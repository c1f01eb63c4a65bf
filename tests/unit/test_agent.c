#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tarragonflow/flow/agent.h"
#include "tarragonflow/flow/handover.h"
#include "tarragonflow/route/balancer.h"

/*
 * Agents and balancers whose views differ, with packets carried by hand.
 * Agent N is the member orders-N at address N.
 */
#define AGENTS_MAX 20
#define LIMIT 64
#define ISN 1000

struct rig;

struct rig_agent {
	struct packet_sink sink;
	struct rig *rig;
	struct agent agent;
	struct counters counters;
	/** Packets at the server, and flags of the last one. */
	unsigned int delivered;
	uint8_t server_flags;
};

struct rig {
	struct rig_agent agents[AGENTS_MAX];
	int n;
	struct balancer balancer;
	struct counters counters;
	struct packet_sink balancer_sink;
	/** Views by the number of members that they know. */
	struct view views[AGENTS_MAX + 1];
	/** Datagrams under way to agents, and resets to callers. */
	GQueue packets;
	unsigned int resets;
};

struct datagram {
	int to;
	size_t len;
	uint8_t data[PACKET_HEADER_MAX + 200];
};

static unsigned long allocations;

#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
#define COUNTS_ALLOCATIONS 1
void *__libc_malloc(size_t size);
void *__libc_calloc(size_t n, size_t size);

void *malloc(size_t size)
{
	allocations++;
	return __libc_malloc(size);
}

void *calloc(size_t n, size_t size)
{
	allocations++;
	return __libc_calloc(n, size);
}
#else
#define COUNTS_ALLOCATIONS 0
#endif

static void rig_queue(struct rig *rig, const struct endpoint *to,
		      const struct packet_header *header, const uint8_t *inner,
		      size_t len)
{
	struct datagram *datagram = g_new(struct datagram, 1);
	size_t head = packet_header_encode(header, datagram->data);

	if (len)
		memcpy(datagram->data + head, inner, len);
	datagram->len = head + len;
	datagram->to = (int)to->ip;
	g_queue_push_tail(&rig->packets, datagram);
}

static void from_agent(struct packet_sink *sink, const struct endpoint *to,
		       const struct packet_header *header, const uint8_t *inner,
		       size_t len)
{
	rig_queue(((struct rig_agent *)sink)->rig, to, header, inner, len);
}

static void from_balancer(struct packet_sink *sink, const struct endpoint *to,
			  const struct packet_header *header,
			  const uint8_t *inner, size_t len)
{
	struct rig *rig = (struct rig *)((char *)sink -
					 offsetof(struct rig, balancer_sink));

	rig_queue(rig, to, header, inner, len);
}

static void to_server(struct packet_sink *sink, const uint8_t *inner,
		      size_t len)
{
	struct rig_agent *self = (struct rig_agent *)sink;
	struct inner_packet packet;

	g_assert_true(inner_parse(&packet, inner, len));
	self->delivered++;
	self->server_flags = packet.flags;
}

static void to_fabric(struct packet_sink *sink, const uint8_t *inner,
		      size_t len)
{
	struct inner_packet packet;

	g_assert_true(inner_parse(&packet, inner, len));
	if (packet.flags & TCP_RST)
		((struct rig_agent *)sink)->rig->resets++;
}

static void make_manifest(struct manifest *manifest)
{
	static const char text[] =
		"{\"deployment\":\"d\",\"release\":1,"
		"\"zones\":[{\"name\":\"tas-a\"},{\"name\":\"tas-b\"}],"
		"\"services\":[{\"name\":\"orders\",\"address\":\"10.0.0.1\","
		"\"port\":80}]}";
	struct status status;

	status_init(&status);
	manifest_init(manifest);
	g_assert_cmpint(manifest_parse(manifest, str_from(text), "m", &status),
			==, STATUS_OK);
}

static void make_member(struct member *member, int number)
{
	char text[32];

	memset(member, 0, sizeof(*member));
	snprintf(text, sizeof(text), "orders-%d", number);
	name_set(&member->name, str_from(text));
	name_set(&member->zone, str_from("tas-a"));
	name_set(&member->service, str_from("orders"));
	member->role = MEMBER_AGENT;
	member->state = MEMBER_ACTIVE;
	member->instance = 1;
	member->connections = LIMIT;
	member->data.ip = (uint32_t)number;
	member->data.port = 1;
}

/* A view of the first @n members; the @suspect-th is suspected. */
static void make_view(struct view *view, int n, int suspect)
{
	struct manifest manifest;
	struct roster roster;
	struct member member;

	make_manifest(&manifest);
	roster_init(&roster);
	for (int i = 1; i <= n; i++) {
		make_member(&member, i);
		if (i == suspect)
			member.state = MEMBER_SUSPECT;
		roster_merge(&roster, &member, 0);
	}
	view_init(view, &manifest, &roster);
	roster_finish(&roster);
	manifest_finish(&manifest);
}

static void start_agent(struct rig *rig, int number)
{
	struct rig_agent *self = &rig->agents[number - 1];
	struct agent_identity identity = {
		.instance = 1, .connections = LIMIT, .slots = 5, .seed = 1};
	struct member member;

	make_member(&member, number);
	identity.name = member.name;
	identity.zone = member.zone;
	identity.service = member.service;
	self->sink = (struct packet_sink){from_agent, to_server, to_fabric};
	self->rig = rig;
	counters_init(&self->counters);
	agent_init(&self->agent, &identity, &self->counters, 0);
	agent_set_view(&self->agent, &rig->views[rig->n]);
	self->agent.admit.limit = LIMIT;
}

static void rig_init(struct rig *rig, int n)
{
	memset(rig, 0, sizeof(*rig));
	rig->n = n;
	g_queue_init(&rig->packets);
	for (int i = 1; i <= n; i++)
		make_view(&rig->views[i], i, 0);
	for (int i = 1; i <= n; i++)
		start_agent(rig, i);
	counters_init(&rig->counters);
	balancer_init(&rig->balancer, &rig->counters);
	rig->balancer_sink.to_peer = from_balancer;
}

static void rig_finish(struct rig *rig)
{
	g_queue_clear_full(&rig->packets, g_free);
	for (int i = 1; i <= rig->n; i++) {
		agent_finish(&rig->agents[i - 1].agent);
		view_finish(&rig->views[i]);
	}
}

static void rig_pump(struct rig *rig, int64_t now_ms)
{
	struct datagram *datagram;

	while ((datagram = g_queue_pop_head(&rig->packets))) {
		struct rig_agent *self = &rig->agents[datagram->to - 1];

		agent_handle_peer(&self->agent, datagram->data, datagram->len,
				  now_ms, &self->sink);
		g_free(datagram);
	}
}

/* A caller's packet through a balancer that knows the first @n members. */
static void rig_send(struct rig *rig, int n, const struct inner_spec *spec,
		     int64_t now_ms)
{
	uint8_t out[200];

	balancer_set_view(&rig->balancer, &rig->views[n]);
	balancer_handle_packet(&rig->balancer, out,
			       inner_build(spec, out, sizeof(out)), 0,
			       &rig->balancer_sink);
	rig_pump(rig, now_ms);
}

/* The server of agent @number answers @spec. */
static void rig_answer(struct rig *rig, int number,
		       const struct inner_spec *spec, uint32_t seq,
		       uint8_t flags)
{
	struct rig_agent *self = &rig->agents[number - 1];
	struct inner_spec answer = {
		.seq = seq, .ack = spec->seq + 1, .flags = flags};
	uint8_t out[200];

	flow_key_reverse(&answer.key, &spec->key);
	agent_handle_server(&self->agent, out,
			    inner_build(&answer, out, sizeof(out)), 1,
			    &self->sink);
}

/* A connection whose chain in the view of all has @first in front. */
static struct inner_spec caller_of(struct rig *rig, int first)
{
	struct inner_spec spec = {.flags = TCP_SYN, .seq = 5000};
	const struct view *view = &rig->views[rig->n];
	struct packet_header header;

	ip_addr_parse(&spec.key.src, "10.9.0.1");
	ip_addr_parse(&spec.key.dst, "10.0.0.1");
	spec.key.dst_port = 80;
	for (uint16_t port = 1024; port; port++) {
		spec.key.src_port = port;
		view_fill_chain(
			&view->services[0],
			view_bucket_of(view, &view->services[0], &spec.key),
			&header);
		if ((int)header.candidates[0].data.ip == first)
			return spec;
	}
	g_assert_not_reached();
}

static struct inner_spec ack_of(const struct inner_spec *syn, uint32_t isn)
{
	struct inner_spec spec = *syn;

	spec.flags = TCP_ACK;
	spec.seq = syn->seq + 1;
	spec.ack = isn + 1;
	return spec;
}

static uint64_t agents_count(struct rig *rig, enum counter_id id)
{
	uint64_t sum = 0;

	for (int i = 0; i < rig->n; i++)
		sum += counter_get(&rig->agents[i].counters, id);
	return sum;
}

static void open_at(struct rig *rig, const struct inner_spec *syn, int number)
{
	struct inner_spec ack = ack_of(syn, ISN);

	rig_send(rig, rig->n, syn, 1);
	g_assert_cmpuint(rig->agents[number - 1].delivered, ==, 1);
	rig_answer(rig, number, syn, ISN, TCP_SYN | TCP_ACK);
	rig_send(rig, rig->n, &ack, 1);
	g_assert_cmpuint(rig->agents[number - 1].delivered, ==, 2);
}

/* The repeat of a SYN goes through a view without the one that took it. */
static void test_repeat_through_other_view(void)
{
	struct rig rig;
	struct inner_spec syn, ack;
	int other;

	rig_init(&rig, 3);
	syn = caller_of(&rig, 3);
	ack = ack_of(&syn, ISN);
	rig_send(&rig, 3, &syn, 1);
	rig_answer(&rig, 3, &syn, ISN, TCP_SYN | TCP_ACK);
	rig_send(&rig, 2, &syn, 2);
	other = rig.agents[0].delivered ? 1 : 2;
	g_assert_cmpuint(rig.agents[other - 1].delivered, ==, 1);
	rig_answer(&rig, other, &syn, ISN + 7, TCP_SYN | TCP_ACK);
	/* The caller took the first answer; the lagging balancer sends on. */
	rig_send(&rig, 2, &ack, 3);
	g_assert_cmpuint(rig.agents[2].delivered, ==, 2);
	g_assert_cmpint(rig.agents[other - 1].server_flags, ==, TCP_RST);
	g_assert_cmpuint(agent_open(&rig.agents[other - 1].agent), ==, 0);
	g_assert_cmpuint(agents_count(&rig, COUNTER_OPEN_LOST_RACE), ==, 1);
	g_assert_cmpuint(rig.resets, ==, 0);
	rig_finish(&rig);
}

/* A half-open entry takes nothing before its server answered. */
static void test_data_before_syn(void)
{
	struct rig rig;
	struct inner_spec syn, ack;

	rig_init(&rig, 3);
	syn = caller_of(&rig, 1);
	ack = ack_of(&syn, ISN);
	rig_send(&rig, 3, &ack, 1);
	g_assert_cmpuint(agents_count(&rig, COUNTER_PACKET_DELIVERED), ==, 0);
	g_assert_cmpuint(agents_count(&rig, COUNTER_DROP_NO_OWNER), ==, 1);
	rig_send(&rig, 3, &syn, 1);
	rig_send(&rig, 3, &ack, 1);
	g_assert_cmpuint(rig.agents[0].delivered, ==, 1);
	g_assert_cmpuint(rig.resets, ==, 0);
	rig_finish(&rig);
}

/* An old entry in front of the owner lets a new connection pass. */
static void test_reused_five_tuple(void)
{
	struct rig rig;
	struct inner_spec old, syn, ack;

	rig_init(&rig, 2);
	old = caller_of(&rig, 1);
	open_at(&rig, &old, 1);
	agent_drain(&rig.agents[0].agent);
	syn = old;
	syn.seq = old.seq + (1U << 30);
	ack = ack_of(&syn, ISN + (1U << 30));
	/* As a balancer sends it that knows of the drain. */
	rig.views[2].services[0].members[0].flags = 0;
	rig_send(&rig, 2, &syn, 5);
	g_assert_cmpuint(rig.agents[1].delivered, ==, 1);
	rig_answer(&rig, 2, &syn, ISN + (1U << 30), TCP_SYN | TCP_ACK);
	rig_send(&rig, 2, &ack, 6);
	g_assert_cmpuint(rig.agents[0].delivered, ==, 2);
	g_assert_cmpuint(rig.agents[1].delivered, ==, 2);
	rig_finish(&rig);
}

/* Room that appears between a SYN and its repeat changes nothing. */
static void test_handed_on_syn_repeats(void)
{
	struct rig rig;
	struct inner_spec syn;

	rig_init(&rig, 2);
	syn = caller_of(&rig, 1);
	rig.agents[0].agent.admit.limit = 0;
	rig_send(&rig, 2, &syn, 1);
	g_assert_cmpuint(rig.agents[1].delivered, ==, 1);
	rig.agents[0].agent.admit.limit = LIMIT;
	rig_send(&rig, 2, &syn, 1000);
	g_assert_cmpuint(rig.agents[0].delivered, ==, 0);
	g_assert_cmpuint(rig.agents[1].delivered, ==, 2);
	g_assert_cmpuint(agents_count(&rig, COUNTER_OPEN_REPEATED), ==, 1);
	rig_finish(&rig);
}

static void test_late_syn_of_closed(void)
{
	struct rig rig;
	struct inner_spec syn, rst;

	rig_init(&rig, 1);
	syn = caller_of(&rig, 1);
	open_at(&rig, &syn, 1);
	rst = ack_of(&syn, ISN);
	rst.flags = TCP_RST;
	rig_send(&rig, 1, &rst, 5);
	rig_send(&rig, 1, &syn, 6);
	g_assert_cmpuint(rig.agents[0].delivered, ==, 3);
	g_assert_cmpuint(agents_count(&rig, COUNTER_DROP_LATE), ==, 1);
	syn.seq += 1U << 20;
	rig_send(&rig, 1, &syn, 7);
	g_assert_cmpuint(rig.agents[0].delivered, ==, 4);
	rig_finish(&rig);
}

/* The owner lies behind a whole chain, as after many joins. */
static void test_owner_beyond_chain(void)
{
	struct rig rig;
	struct inner_spec syn, ack;

	rig_init(&rig, AGENTS_MAX);
	syn = caller_of(&rig, 1);
	/* Opened when there was only the first server. */
	rig_send(&rig, 1, &syn, 1);
	rig_answer(&rig, 1, &syn, ISN, TCP_SYN | TCP_ACK);
	ack = ack_of(&syn, ISN);
	for (int n = 1; n <= AGENTS_MAX; n++) {
		rig_send(&rig, n, &ack, 2);
		g_assert_cmpuint(rig.agents[0].delivered, ==, n + 1);
	}
	/* Every owner is found, wherever it stands in the order. */
	for (int owner = 2; owner <= AGENTS_MAX; owner++) {
		struct agent *agent = &rig.agents[owner - 1].agent;

		syn.key.src_port++;
		ack.key.src_port++;
		g_assert_nonnull(flow_table_insert(&agent->flows, &syn.key));
		flow_table_find(&agent->flows, &syn.key)->state = FLOW_OPEN;
		flow_table_find(&agent->flows, &syn.key)->caller_seq = ack.seq;
		flow_table_find(&agent->flows, &syn.key)->server_seq = ack.ack;
		rig_send(&rig, AGENTS_MAX, &ack, 2);
		g_assert_cmpuint(rig.agents[owner - 1].delivered, ==, 1);
	}
	g_assert_cmpuint(agents_count(&rig, COUNTER_CHAIN_RESOLVED), >, 0);
	rig_finish(&rig);
}

/* Refusal needs that everybody was asked and is full; else callers repeat. */
static void test_refusal(void)
{
	static const struct {
		int suspect;
		int older;
		bool cold;
		enum counter_id counter;
	} cases[] = {
		{0, 0, false, COUNTER_REFUSE_NO_ROOM},
		{0, 0, true, COUNTER_DROP_OPEN_WARMING},
		{2, 0, false, COUNTER_DROP_OPEN_UNSURE},
		{0, 1, false, COUNTER_DROP_OPEN_UNSURE},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct rig rig;
		struct inner_spec syn;

		rig_init(&rig, 3);
		view_finish(&rig.views[3]);
		make_view(&rig.views[3], 3, cases[i].suspect);
		for (int n = 0; n < 3; n++) {
			agent_set_view(&rig.agents[n].agent, &rig.views[3]);
			rig.agents[n].agent.admit.open = LIMIT;
		}
		if (cases[i].cold) {
			rig.agents[1].agent.admit.open = 0;
			rig.agents[1].agent.admit.limit = 0;
		}
		syn = caller_of(&rig, 1);
		rig.views[3].config_revision = 1 - cases[i].older;
		rig.views[2].config_revision = 2;
		rig_send(&rig, cases[i].older ? 2 : 3, &syn, 1);
		g_assert_cmpuint(agents_count(&rig, cases[i].counter), ==, 1);
		g_assert_cmpuint(rig.resets, ==,
				 cases[i].counter == COUNTER_REFUSE_NO_ROOM);
		rig_finish(&rig);
	}
}

/* Headers that must not reach the server, and what is counted. */
static void test_not_meant_for_us(void)
{
	static const struct {
		const char *dst;
		uint32_t service_id, member_id;
		uint8_t hops_left;
		enum counter_id counter;
	} cases[] = {
		{"10.0.0.1", 1, 0, 9, COUNTER_STRAY_PASSED},
		{"10.0.0.2", 0, 0, 9, COUNTER_DROP_WRONG_SERVICE},
		{"10.0.0.1", 0, 1, 9, COUNTER_STRAY_PASSED},
		{"10.0.0.1", 0, 0, 0, COUNTER_DROP_HOPS},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct packet_header header;
		struct inner_spec spec;
		struct rig rig;
		uint8_t wire[PACKET_HEADER_MAX + 200];
		size_t head;

		rig_init(&rig, 2);
		spec = caller_of(&rig, 1);
		spec.flags = TCP_ACK;
		ip_addr_parse(&spec.key.dst, cases[i].dst);
		memset(&header, 0, sizeof(header));
		header.service_id =
			rig.agents[0].agent.service_id + cases[i].service_id;
		header.hops_left = cases[i].hops_left;
		header.from = PACKET_FROM_OUTSIDE;
		view_fill_chain(&rig.views[2].services[0], 0, &header);
		header.candidates[0] = rig.views[2].services[0].members[0];
		header.candidates[1] = rig.views[2].services[0].members[1];
		header.candidates[0].member_id += cases[i].member_id;
		head = packet_header_encode(&header, wire);
		agent_handle_peer(&rig.agents[0].agent, wire,
				  head + inner_build(&spec, wire + head, 200),
				  1, &rig.agents[0].sink);
		rig_pump(&rig, 1);
		g_assert_cmpuint(agents_count(&rig, COUNTER_PACKET_DELIVERED),
				 ==, 0);
		g_assert_cmpuint(
			counter_get(&rig.agents[0].counters, cases[i].counter),
			==, 1);
		rig_finish(&rig);
	}
}

/* An agent that knows its zone is out serves nothing, but passes on. */
static void test_zone_out(void)
{
	struct rig rig;
	struct inner_spec syn;
	struct view out;

	rig_init(&rig, 2);
	syn = caller_of(&rig, 1);
	make_view(&out, 2, 0);
	out.n_zones_in_service = 0;
	agent_set_view(&rig.agents[0].agent, &out);
	rig_send(&rig, 2, &syn, 1);
	g_assert_cmpuint(rig.agents[0].delivered, ==, 0);
	g_assert_cmpuint(rig.agents[1].delivered, ==, 1);
	view_finish(&out);
	rig_finish(&rig);
}

static void test_stale_instance(void)
{
	struct rig rig;
	struct inner_spec syn;

	rig_init(&rig, 1);
	syn = caller_of(&rig, 1);
	rig.agents[0].agent.instance_check++;
	open_at(&rig, &syn, 1);
	g_assert_cmpuint(agents_count(&rig, COUNTER_STALE_INSTANCE), ==, 2);
	rig_finish(&rig);
}

static void test_handover(void)
{
	struct strbuf flows;
	struct inner_spec syn, ack;
	struct rig rig;
	struct agent *agent;

	rig_init(&rig, 2);
	agent = &rig.agents[0].agent;
	syn = caller_of(&rig, 1);
	open_at(&rig, &syn, 1);
	strbuf_init(&flows);
	handover_export(agent, 5, &flows);
	agent_finish(agent);
	start_agent(&rig, 1);
	for (size_t cut = 1; cut < flows.len; cut++)
		if (handover_import(agent, (uint8_t *)flows.data, cut, 6))
			g_assert_cmpuint(agent_open(agent), <=, 1);
	agent_finish(agent);
	start_agent(&rig, 1);
	/* Another server's agent must not take them. */
	g_assert_false(handover_import(&rig.agents[1].agent,
				       (uint8_t *)flows.data, flows.len, 6));
	g_assert_true(
		handover_import(agent, (uint8_t *)flows.data, flows.len, 6));
	g_assert_cmpuint(agent_open(agent), ==, 1);
	rig.agents[0].delivered = 0;
	ack = ack_of(&syn, ISN);
	rig_send(&rig, 2, &ack, 7);
	g_assert_cmpuint(rig.agents[0].delivered, ==, 1);
	strbuf_finish(&flows);
	rig_finish(&rig);
}

/* A flood of half-open connections gives way to callers that answer. */
static void test_half_open_give_way(void)
{
	struct rig rig;
	struct inner_spec syn;

	rig_init(&rig, 1);
	syn = caller_of(&rig, 1);
	for (int i = 0; i < LIMIT; i++, syn.key.src_port++)
		rig_send(&rig, 1, &syn, 1);
	rig_send(&rig, 1, &syn, 2);
	g_assert_cmpuint(rig.resets, ==, 1);
	rig_send(&rig, 1, &syn, 6000);
	g_assert_cmpuint(agents_count(&rig, COUNTER_FLOW_EVICTED), ==, 1);
	g_assert_cmpuint(agent_open(&rig.agents[0].agent), ==, LIMIT);
	rig_finish(&rig);
}

static void count_peer(struct packet_sink *sink, const struct endpoint *to,
		       const struct packet_header *header, const uint8_t *inner,
		       size_t len)
{
	(void)sink;
	(void)to;
	(void)header;
	(void)inner;
	(void)len;
}

/* Neither core allocates for a packet, whatever the packet is. */
static void test_no_allocation(void)
{
	static const uint8_t flags[] = {TCP_SYN, TCP_ACK, TCP_FIN | TCP_ACK,
					TCP_RST};
	struct packet_sink sink = {count_peer, to_server, to_fabric};
	struct packet_header header = {.hops_left = 9};
	struct inner_spec spec;
	struct rig rig;
	uint8_t wire[PACKET_HEADER_MAX + 200];
	unsigned long before;
	size_t head, len;

	if (!COUNTS_ALLOCATIONS) {
		g_test_skip("the sanitizer has the allocator");
		return;
	}
	rig_init(&rig, 2);
	spec = caller_of(&rig, 1);
	rig.balancer.view = &rig.views[2];
	rig.agents[0].sink.to_peer = count_peer;
	header.service_id = rig.agents[0].agent.service_id;
	view_fill_chain(&rig.views[2].services[0], 0, &header);
	header.candidates[0] = rig.views[2].services[0].members[0];
	head = packet_header_encode(&header, wire);
	before = allocations;
	g_assert_cmpuint(before, >, 0);
	for (int i = 0; i < 4000; i++) {
		spec.key.src_port = (uint16_t)(1024 + i / 4);
		spec.flags = flags[i % 4];
		len = inner_build(&spec, wire + head, 200);
		balancer_handle_packet(&rig.balancer, wire + head, len, i,
				       &sink);
		agent_handle_peer(&rig.agents[0].agent, wire, head + len, i,
				  &rig.agents[0].sink);
		agent_tick(&rig.agents[0].agent, i, &rig.agents[0].sink);
	}
	g_assert_cmpuint(allocations, ==, before);
	g_assert_cmpuint(rig.agents[0].delivered, >, 0);
	rig_finish(&rig);
}

int main(int argc, char **argv)
{
	static const struct {
		const char *path;
		void (*run)(void);
	} tests[] = {
		{"/agent/repeat-through-other-view",
		 test_repeat_through_other_view},
		{"/agent/data-before-syn", test_data_before_syn},
		{"/agent/reused-five-tuple", test_reused_five_tuple},
		{"/agent/handed-on-syn-repeats", test_handed_on_syn_repeats},
		{"/agent/late-syn-of-closed", test_late_syn_of_closed},
		{"/agent/owner-beyond-chain", test_owner_beyond_chain},
		{"/agent/refusal", test_refusal},
		{"/agent/not-meant-for-us", test_not_meant_for_us},
		{"/agent/zone-out", test_zone_out},
		{"/agent/stale-instance", test_stale_instance},
		{"/agent/handover", test_handover},
		{"/agent/half-open-give-way", test_half_open_give_way},
		{"/agent/no-allocation", test_no_allocation},
	};

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(tests); i++)
		g_test_add_func(tests[i].path, tests[i].run);
	return g_test_run();
}
