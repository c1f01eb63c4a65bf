#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tarragonflow/flow/agent.h"
#include "tarragonflow/flow/handover.h"
#include "tarragonflow/route/balancer.h"

/*
 * Agents and a balancer whose views of the members differ. The tests deliver
 * the datagrams without a network. Agent N is the member orders-N at address N.
 */
#define TEST_AGENTS_MAX 20
#define CONNECTION_LIMIT 64
/* Initial sequence number of servers. */
#define SERVER_ISN 1000

struct cluster;

struct test_agent {
	struct packet_sink sink;
	struct cluster *cluster;
	struct agent agent;
	struct counters counters;
	/** Number of packets delivered to the server, and TCP flags of the last
	 * one. */
	unsigned int delivered;
	uint8_t delivered_flags;
};

struct cluster {
	struct test_agent agents[TEST_AGENTS_MAX];
	int n;
	struct balancer balancer;
	struct counters counters;
	struct packet_sink balancer_sink;
	/** views[i] contains the first i members. */
	struct view views[TEST_AGENTS_MAX + 1];
	/** Datagrams to agents that have not been delivered yet. */
	GQueue packets;
	/** Number of RSTs sent to callers. */
	unsigned int resets_to_callers;
};

struct datagram {
	/** Number of the receiving agent. */
	int to;
	size_t len;
	uint8_t data[PACKET_HEADER_MAX + 200];
};

/* Number of calls of malloc() and calloc(). */
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

static void queue_datagram(struct cluster *cluster, const struct endpoint *to,
			   const struct packet_header *header,
			   const uint8_t *inner, size_t len)
{
	struct datagram *datagram = g_new(struct datagram, 1);
	size_t head = packet_header_encode(header, datagram->data);

	if (len)
		memcpy(datagram->data + head, inner, len);
	datagram->len = head + len;
	datagram->to = (int)to->ip;
	g_queue_push_tail(&cluster->packets, datagram);
}

static void send_from_agent(struct packet_sink *sink, const struct endpoint *to,
			    const struct packet_header *header,
			    const uint8_t *inner, size_t len)
{
	queue_datagram(((struct test_agent *)sink)->cluster, to, header, inner,
		       len);
}

static void send_from_balancer(struct packet_sink *sink,
			       const struct endpoint *to,
			       const struct packet_header *header,
			       const uint8_t *inner, size_t len)
{
	struct cluster *cluster =
		(struct cluster *)((char *)sink -
				   offsetof(struct cluster, balancer_sink));

	queue_datagram(cluster, to, header, inner, len);
}

static void to_server(struct packet_sink *sink, const uint8_t *inner,
		      size_t len)
{
	struct test_agent *self = (struct test_agent *)sink;
	struct inner_packet packet;

	g_assert_true(inner_parse(&packet, inner, len));
	self->delivered++;
	self->delivered_flags = packet.flags;
}

static void to_fabric(struct packet_sink *sink, const uint8_t *inner,
		      size_t len)
{
	struct inner_packet packet;

	g_assert_true(inner_parse(&packet, inner, len));
	if (packet.flags & TCP_RST)
		((struct test_agent *)sink)->cluster->resets_to_callers++;
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
	member->connections = CONNECTION_LIMIT;
	member->data.ip = (uint32_t)number;
	member->data.port = 1;
}

/* Makes a view of the first @n members. Member number @suspect is suspected of
 * having failed; 0: none. */
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

static void start_agent(struct cluster *cluster, int number)
{
	struct test_agent *self = &cluster->agents[number - 1];
	struct agent_identity identity = {.instance = 1,
					  .connections = CONNECTION_LIMIT,
					  .slots = 5,
					  .seed = 1};
	struct member member;

	make_member(&member, number);
	identity.name = member.name;
	identity.zone = member.zone;
	identity.service = member.service;
	self->sink =
		(struct packet_sink){send_from_agent, to_server, to_fabric};
	self->cluster = cluster;
	counters_init(&self->counters);
	agent_init(&self->agent, &identity, &self->counters, 0);
	agent_set_view(&self->agent, &cluster->views[cluster->n]);
	self->agent.admit.limit = CONNECTION_LIMIT;
}

static void cluster_init(struct cluster *cluster, int n)
{
	memset(cluster, 0, sizeof(*cluster));
	cluster->n = n;
	g_queue_init(&cluster->packets);
	for (int i = 1; i <= n; i++)
		make_view(&cluster->views[i], i, 0);
	for (int i = 1; i <= n; i++)
		start_agent(cluster, i);
	counters_init(&cluster->counters);
	balancer_init(&cluster->balancer, &cluster->counters);
	cluster->balancer_sink.to_peer = send_from_balancer;
}

static void cluster_finish(struct cluster *cluster)
{
	g_queue_clear_full(&cluster->packets, g_free);
	for (int i = 1; i <= cluster->n; i++) {
		agent_finish(&cluster->agents[i - 1].agent);
		view_finish(&cluster->views[i]);
	}
}

static void deliver_datagrams(struct cluster *cluster, int64_t now_ms)
{
	struct datagram *datagram;

	while ((datagram = g_queue_pop_head(&cluster->packets))) {
		struct test_agent *self = &cluster->agents[datagram->to - 1];

		agent_handle_peer(&self->agent, datagram->data, datagram->len,
				  now_ms, &self->sink);
		g_free(datagram);
	}
}

/* Sends a caller's packet through the balancer, whose view contains the first
 * @n members. */
static void send_through_balancer(struct cluster *cluster, int n,
				  const struct inner_spec *spec, int64_t now_ms)
{
	uint8_t out[200];

	balancer_set_view(&cluster->balancer, &cluster->views[n]);
	balancer_handle_packet(&cluster->balancer, out,
			       inner_build(spec, out, sizeof(out)), 0,
			       &cluster->balancer_sink);
	deliver_datagrams(cluster, now_ms);
}

/* The server of agent @number sends a packet that acknowledges @spec. */
static void send_from_server(struct cluster *cluster, int number,
			     const struct inner_spec *spec, uint32_t seq,
			     uint8_t flags)
{
	struct test_agent *self = &cluster->agents[number - 1];
	struct inner_spec response = {
		.seq = seq, .ack = spec->seq + 1, .flags = flags};
	uint8_t out[200];

	flow_key_reverse(&response.key, &spec->key);
	agent_handle_server(&self->agent, out,
			    inner_build(&response, out, sizeof(out)), 1,
			    &self->sink);
}

/* A SYN of a connection whose chain begins with agent @first, in the view of
 * all members. */
static struct inner_spec make_syn(struct cluster *cluster, int first)
{
	struct inner_spec spec = {.flags = TCP_SYN, .seq = 5000};
	const struct view *view = &cluster->views[cluster->n];
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

/* The caller's ACK of the SYN-ACK with the sequence number @isn. */
static struct inner_spec make_ack(const struct inner_spec *syn, uint32_t isn)
{
	struct inner_spec spec = *syn;

	spec.flags = TCP_ACK;
	spec.seq = syn->seq + 1;
	spec.ack = isn + 1;
	return spec;
}

static uint64_t sum_counter(struct cluster *cluster, enum counter_id id)
{
	uint64_t sum = 0;

	for (int i = 0; i < cluster->n; i++)
		sum += counter_get(&cluster->agents[i].counters, id);
	return sum;
}

static void open_connection(struct cluster *cluster,
			    const struct inner_spec *syn, int number)
{
	struct inner_spec ack = make_ack(syn, SERVER_ISN);

	send_through_balancer(cluster, cluster->n, syn, 1);
	g_assert_cmpuint(cluster->agents[number - 1].delivered, ==, 1);
	send_from_server(cluster, number, syn, SERVER_ISN, TCP_SYN | TCP_ACK);
	send_through_balancer(cluster, cluster->n, &ack, 1);
	g_assert_cmpuint(cluster->agents[number - 1].delivered, ==, 2);
}

/*
 * A SYN is retransmitted through a balancer whose view lacks the agent that got
 * the first copy, so a second server responds, too. The caller acknowledges the
 * first SYN-ACK. The ACK must reach the first server and end the half-open
 * connection at the second.
 */
static void test_syn_retransmitted_through_other_view(void)
{
	struct cluster cluster;
	struct inner_spec syn, ack;
	int other_agent;

	cluster_init(&cluster, 3);
	syn = make_syn(&cluster, 3);
	ack = make_ack(&syn, SERVER_ISN);
	send_through_balancer(&cluster, 3, &syn, 1);
	send_from_server(&cluster, 3, &syn, SERVER_ISN, TCP_SYN | TCP_ACK);
	send_through_balancer(&cluster, 2, &syn, 2);
	other_agent = cluster.agents[0].delivered ? 1 : 2;
	g_assert_cmpuint(cluster.agents[other_agent - 1].delivered, ==, 1);
	send_from_server(&cluster, other_agent, &syn, SERVER_ISN + 7,
			 TCP_SYN | TCP_ACK);
	/* The ACK of the first SYN-ACK, through the balancer that lacks agent 3
	 * in its view. */
	send_through_balancer(&cluster, 2, &ack, 3);
	g_assert_cmpuint(cluster.agents[2].delivered, ==, 2);
	g_assert_cmpint(cluster.agents[other_agent - 1].delivered_flags, ==,
			TCP_RST);
	g_assert_cmpuint(
		agent_connection_count(&cluster.agents[other_agent - 1].agent),
		==, 0);
	g_assert_cmpuint(sum_counter(&cluster, COUNTER_OPEN_LOST_RACE), ==, 1);
	g_assert_cmpuint(cluster.resets_to_callers, ==, 0);
	cluster_finish(&cluster);
}

/* An ACK that precedes the server's SYN-ACK is not delivered to the server. */
static void test_data_before_handshake(void)
{
	struct cluster cluster;
	struct inner_spec syn, ack;

	cluster_init(&cluster, 3);
	syn = make_syn(&cluster, 1);
	ack = make_ack(&syn, SERVER_ISN);
	send_through_balancer(&cluster, 3, &ack, 1);
	g_assert_cmpuint(
		sum_counter(&cluster, COUNTER_PACKET_DELIVERED_TO_SERVER), ==,
		0);
	g_assert_cmpuint(sum_counter(&cluster, COUNTER_DROP_NO_OWNER), ==, 1);
	send_through_balancer(&cluster, 3, &syn, 1);
	send_through_balancer(&cluster, 3, &ack, 1);
	g_assert_cmpuint(cluster.agents[0].delivered, ==, 1);
	g_assert_cmpuint(cluster.resets_to_callers, ==, 0);
	cluster_finish(&cluster);
}

/*
 * A 5-tuple is reused while the first agent of the chain still has the previous
 * connection with it: packets of the new connection must be forwarded by that
 * agent to their owner.
 */
static void test_reused_five_tuple(void)
{
	struct cluster cluster;
	struct inner_spec previous_syn, syn, ack;

	cluster_init(&cluster, 2);
	previous_syn = make_syn(&cluster, 1);
	open_connection(&cluster, &previous_syn, 1);
	agent_drain(&cluster.agents[0].agent);
	syn = previous_syn;
	syn.seq = previous_syn.seq + (1U << 30);
	ack = make_ack(&syn, SERVER_ISN + (1U << 30));
	/* In the balancer's view the first agent is draining. */
	cluster.views[2].services[0].members[0].flags = 0;
	send_through_balancer(&cluster, 2, &syn, 5);
	g_assert_cmpuint(cluster.agents[1].delivered, ==, 1);
	send_from_server(&cluster, 2, &syn, SERVER_ISN + (1U << 30),
			 TCP_SYN | TCP_ACK);
	send_through_balancer(&cluster, 2, &ack, 6);
	g_assert_cmpuint(cluster.agents[0].delivered, ==, 2);
	g_assert_cmpuint(cluster.agents[1].delivered, ==, 2);
	cluster_finish(&cluster);
}

/*
 * A retransmitted SYN goes to the agent that got the first copy, even if the
 * server of the forwarding agent has a free slot by then.
 */
static void test_forwarded_syn_retransmitted(void)
{
	struct cluster cluster;
	struct inner_spec syn;

	cluster_init(&cluster, 2);
	syn = make_syn(&cluster, 1);
	cluster.agents[0].agent.admit.limit = 0;
	send_through_balancer(&cluster, 2, &syn, 1);
	g_assert_cmpuint(cluster.agents[1].delivered, ==, 1);
	cluster.agents[0].agent.admit.limit = CONNECTION_LIMIT;
	send_through_balancer(&cluster, 2, &syn, 1000);
	g_assert_cmpuint(cluster.agents[0].delivered, ==, 0);
	g_assert_cmpuint(cluster.agents[1].delivered, ==, 2);
	g_assert_cmpuint(sum_counter(&cluster, COUNTER_OPEN_RETRANSMITTED), ==,
			 1);
	cluster_finish(&cluster);
}

/* A late copy of the SYN of a closed connection is dropped; a SYN with another
 * sequence number opens a new connection. */
static void test_late_syn_of_closed_connection(void)
{
	struct cluster cluster;
	struct inner_spec syn, rst;

	cluster_init(&cluster, 1);
	syn = make_syn(&cluster, 1);
	open_connection(&cluster, &syn, 1);
	rst = make_ack(&syn, SERVER_ISN);
	rst.flags = TCP_RST;
	send_through_balancer(&cluster, 1, &rst, 5);
	send_through_balancer(&cluster, 1, &syn, 6);
	g_assert_cmpuint(cluster.agents[0].delivered, ==, 3);
	g_assert_cmpuint(sum_counter(&cluster, COUNTER_DROP_LATE_OPEN), ==, 1);
	syn.seq += 1U << 20;
	send_through_balancer(&cluster, 1, &syn, 7);
	g_assert_cmpuint(cluster.agents[0].delivered, ==, 4);
	cluster_finish(&cluster);
}

/* The owner is not in the chain, as many members have joined since. */
static void test_owner_beyond_chain(void)
{
	struct cluster cluster;
	struct inner_spec syn, ack;

	cluster_init(&cluster, TEST_AGENTS_MAX);
	syn = make_syn(&cluster, 1);
	/* Opened while the balancer had only the first member. */
	send_through_balancer(&cluster, 1, &syn, 1);
	send_from_server(&cluster, 1, &syn, SERVER_ISN, TCP_SYN | TCP_ACK);
	ack = make_ack(&syn, SERVER_ISN);
	for (int n = 1; n <= TEST_AGENTS_MAX; n++) {
		send_through_balancer(&cluster, n, &ack, 2);
		g_assert_cmpuint(cluster.agents[0].delivered, ==, n + 1);
	}
	/* The search finds the owner wherever it is in the rendezvous order. */
	for (int owner = 2; owner <= TEST_AGENTS_MAX; owner++) {
		struct agent *agent = &cluster.agents[owner - 1].agent;

		syn.key.src_port++;
		ack.key.src_port++;
		g_assert_nonnull(flow_table_insert(&agent->flows, &syn.key));
		flow_table_find(&agent->flows, &syn.key)->state = FLOW_OPEN;
		flow_table_find(&agent->flows, &syn.key)->caller_seq = ack.seq;
		flow_table_find(&agent->flows, &syn.key)->server_seq = ack.ack;
		send_through_balancer(&cluster, TEST_AGENTS_MAX, &ack, 2);
		g_assert_cmpuint(cluster.agents[owner - 1].delivered, ==, 1);
	}
	g_assert_cmpuint(sum_counter(&cluster, COUNTER_CHAIN_RECOMPUTED), >, 0);
	cluster_finish(&cluster);
}

/*
 * A SYN is refused only when every member was queried and is full. Otherwise it
 * is dropped and the caller retransmits it.
 */
static void test_syn_refused_or_dropped(void)
{
	static const struct {
		/** Number of the suspected member; 0: none. */
		int suspect;
		/** 1: the agents' view is older than the balancer's. */
		int agent_view_older;
		/** A server is cold instead of full. */
		bool cold;
		enum counter_id counter;
	} cases[] = {
		{0, 0, false, COUNTER_REFUSE_NO_CAPACITY},
		{0, 0, true, COUNTER_DROP_OPEN_WARMING},
		{2, 0, false, COUNTER_DROP_OPEN_UNCERTAIN},
		{0, 1, false, COUNTER_DROP_OPEN_UNCERTAIN},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cluster cluster;
		struct inner_spec syn;

		cluster_init(&cluster, 3);
		view_finish(&cluster.views[3]);
		make_view(&cluster.views[3], 3, cases[i].suspect);
		for (int n = 0; n < 3; n++) {
			agent_set_view(&cluster.agents[n].agent,
				       &cluster.views[3]);
			cluster.agents[n].agent.admit.open = CONNECTION_LIMIT;
		}
		if (cases[i].cold) {
			cluster.agents[1].agent.admit.open = 0;
			cluster.agents[1].agent.admit.limit = 0;
		}
		syn = make_syn(&cluster, 1);
		cluster.views[3].config_revision =
			1 - cases[i].agent_view_older;
		cluster.views[2].config_revision = 2;
		send_through_balancer(
			&cluster, cases[i].agent_view_older ? 2 : 3, &syn, 1);
		g_assert_cmpuint(sum_counter(&cluster, cases[i].counter), ==,
				 1);
		g_assert_cmpuint(cluster.resets_to_callers, ==,
				 cases[i].counter ==
					 COUNTER_REFUSE_NO_CAPACITY);
		cluster_finish(&cluster);
	}
}

/* Packets that must not reach the server: the agent drops or forwards each and
 * increments the given counter. */
static void test_misaddressed_packets(void)
{
	static const struct {
		const char *dst;
		/** Differences to the agent's own identifiers. */
		uint32_t service_id, member_id;
		uint8_t hops_left;
		enum counter_id counter;
	} cases[] = {
		{"10.0.0.1", 1, 0, 9, COUNTER_STRAY_FORWARDED},
		{"10.0.0.2", 0, 0, 9, COUNTER_DROP_WRONG_SERVICE},
		{"10.0.0.1", 0, 1, 9, COUNTER_STRAY_FORWARDED},
		{"10.0.0.1", 0, 0, 0, COUNTER_DROP_HOP_BUDGET},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct packet_header header;
		struct inner_spec spec;
		struct cluster cluster;
		uint8_t wire[PACKET_HEADER_MAX + 200];
		size_t head;

		cluster_init(&cluster, 2);
		spec = make_syn(&cluster, 1);
		spec.flags = TCP_ACK;
		ip_addr_parse(&spec.key.dst, cases[i].dst);
		memset(&header, 0, sizeof(header));
		header.service_id = cluster.agents[0].agent.service_id +
				    cases[i].service_id;
		header.hops_left = cases[i].hops_left;
		header.from = PACKET_FROM_OUTSIDE;
		view_fill_chain(&cluster.views[2].services[0], 0, &header);
		header.candidates[0] = cluster.views[2].services[0].members[0];
		header.candidates[1] = cluster.views[2].services[0].members[1];
		header.candidates[0].member_id += cases[i].member_id;
		head = packet_header_encode(&header, wire);
		agent_handle_peer(&cluster.agents[0].agent, wire,
				  head + inner_build(&spec, wire + head, 200),
				  1, &cluster.agents[0].sink);
		deliver_datagrams(&cluster, 1);
		g_assert_cmpuint(
			sum_counter(&cluster,
				    COUNTER_PACKET_DELIVERED_TO_SERVER),
			==, 0);
		g_assert_cmpuint(counter_get(&cluster.agents[0].counters,
					     cases[i].counter),
				 ==, 1);
		cluster_finish(&cluster);
	}
}

/* An agent whose zone is out of service only forwards packets. */
static void test_zone_out_of_service(void)
{
	struct cluster cluster;
	struct inner_spec syn;
	struct view view;

	cluster_init(&cluster, 2);
	syn = make_syn(&cluster, 1);
	make_view(&view, 2, 0);
	view.n_zones_in_service = 0;
	agent_set_view(&cluster.agents[0].agent, &view);
	send_through_balancer(&cluster, 2, &syn, 1);
	g_assert_cmpuint(cluster.agents[0].delivered, ==, 0);
	g_assert_cmpuint(cluster.agents[1].delivered, ==, 1);
	view_finish(&view);
	cluster_finish(&cluster);
}

/* Packets for a former instance of the agent are handled and counted. */
static void test_stale_instance(void)
{
	struct cluster cluster;
	struct inner_spec syn;

	cluster_init(&cluster, 1);
	syn = make_syn(&cluster, 1);
	cluster.agents[0].agent.instance_check++;
	open_connection(&cluster, &syn, 1);
	g_assert_cmpuint(sum_counter(&cluster, COUNTER_STALE_INSTANCE), ==, 2);
	cluster_finish(&cluster);
}

/* A successor imports the state of its predecessor and then has its
 * connections. Truncated state must not be imported wrongly. */
static void test_handover(void)
{
	struct strbuf exported_state;
	struct inner_spec syn, ack;
	struct cluster cluster;
	struct agent *agent;

	cluster_init(&cluster, 2);
	agent = &cluster.agents[0].agent;
	syn = make_syn(&cluster, 1);
	open_connection(&cluster, &syn, 1);
	strbuf_init(&exported_state);
	handover_export(agent, 5, &exported_state);
	agent_finish(agent);
	start_agent(&cluster, 1);
	for (size_t truncated_len = 1; truncated_len < exported_state.len;
	     truncated_len++)
		if (handover_import(agent, (uint8_t *)exported_state.data,
				    truncated_len, 6))
			g_assert_cmpuint(agent_connection_count(agent), <=, 1);
	agent_finish(agent);
	start_agent(&cluster, 1);
	/* The agent of another server must not import this state. */
	g_assert_false(handover_import(&cluster.agents[1].agent,
				       (uint8_t *)exported_state.data,
				       exported_state.len, 6));
	g_assert_true(handover_import(agent, (uint8_t *)exported_state.data,
				      exported_state.len, 6));
	g_assert_cmpuint(agent_connection_count(agent), ==, 1);
	cluster.agents[0].delivered = 0;
	ack = make_ack(&syn, SERVER_ISN);
	send_through_balancer(&cluster, 2, &ack, 7);
	g_assert_cmpuint(cluster.agents[0].delivered, ==, 1);
	strbuf_finish(&exported_state);
	cluster_finish(&cluster);
}

/* In a SYN flood old half-open connections are evicted for new connections. */
static void test_half_open_evicted(void)
{
	struct cluster cluster;
	struct inner_spec syn;

	cluster_init(&cluster, 1);
	syn = make_syn(&cluster, 1);
	for (int i = 0; i < CONNECTION_LIMIT; i++, syn.key.src_port++)
		send_through_balancer(&cluster, 1, &syn, 1);
	send_through_balancer(&cluster, 1, &syn, 2);
	g_assert_cmpuint(cluster.resets_to_callers, ==, 1);
	send_through_balancer(&cluster, 1, &syn, 6000);
	g_assert_cmpuint(sum_counter(&cluster, COUNTER_FLOW_EVICTED), ==, 1);
	g_assert_cmpuint(agent_connection_count(&cluster.agents[0].agent), ==,
			 CONNECTION_LIMIT);
	cluster_finish(&cluster);
}

static void discard_datagram(struct packet_sink *sink,
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

/* The packet paths of agent and balancer allocate no memory. */
static void test_no_allocation(void)
{
	static const uint8_t flags[] = {TCP_SYN, TCP_ACK, TCP_FIN | TCP_ACK,
					TCP_RST};
	struct packet_sink sink = {discard_datagram, to_server, to_fabric};
	struct packet_header header = {.hops_left = 9};
	struct inner_spec spec;
	struct cluster cluster;
	uint8_t wire[PACKET_HEADER_MAX + 200];
	unsigned long before;
	size_t head, len;

	if (!COUNTS_ALLOCATIONS) {
		g_test_skip("the sanitizer has the allocator");
		return;
	}
	cluster_init(&cluster, 2);
	spec = make_syn(&cluster, 1);
	cluster.balancer.view = &cluster.views[2];
	cluster.agents[0].sink.to_peer = discard_datagram;
	header.service_id = cluster.agents[0].agent.service_id;
	view_fill_chain(&cluster.views[2].services[0], 0, &header);
	header.candidates[0] = cluster.views[2].services[0].members[0];
	head = packet_header_encode(&header, wire);
	before = allocations;
	g_assert_cmpuint(before, >, 0);
	for (int i = 0; i < 4000; i++) {
		spec.key.src_port = (uint16_t)(1024 + i / 4);
		spec.flags = flags[i % 4];
		len = inner_build(&spec, wire + head, 200);
		balancer_handle_packet(&cluster.balancer, wire + head, len, i,
				       &sink);
		agent_handle_peer(&cluster.agents[0].agent, wire, head + len, i,
				  &cluster.agents[0].sink);
		agent_tick(&cluster.agents[0].agent, i,
			   &cluster.agents[0].sink);
	}
	g_assert_cmpuint(allocations, ==, before);
	g_assert_cmpuint(cluster.agents[0].delivered, >, 0);
	cluster_finish(&cluster);
}

int main(int argc, char **argv)
{
	static const struct {
		const char *path;
		void (*run)(void);
	} tests[] = {
		{"/agent/syn-retransmitted-through-other-view",
		 test_syn_retransmitted_through_other_view},
		{"/agent/data-before-handshake", test_data_before_handshake},
		{"/agent/reused-five-tuple", test_reused_five_tuple},
		{"/agent/forwarded-syn-retransmitted",
		 test_forwarded_syn_retransmitted},
		{"/agent/late-syn-of-closed-connection",
		 test_late_syn_of_closed_connection},
		{"/agent/owner-beyond-chain", test_owner_beyond_chain},
		{"/agent/syn-refused-or-dropped", test_syn_refused_or_dropped},
		{"/agent/misaddressed-packets", test_misaddressed_packets},
		{"/agent/zone-out-of-service", test_zone_out_of_service},
		{"/agent/stale-instance", test_stale_instance},
		{"/agent/handover", test_handover},
		{"/agent/half-open-evicted", test_half_open_evicted},
		{"/agent/no-allocation", test_no_allocation},
	};

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(tests); i++)
		g_test_add_func(tests[i].path, tests[i].run);
	return g_test_run();
}
