#define _GNU_SOURCE
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bench.h"
#include "bench_fixture.h"
#include "tarragonflow/net/udp.h"
#include "tarragonflow/node/packet_worker.h"

/*
 * Packets per second through the packet thread of a balancer on real sockets,
 * compared with those through a plain forwarder of the same packets in the same
 * run. A sender sends them to either one, which forwards them to a sink.
 */
#define MEASURE_MS 1000
#define WARM_UP_MS 200
#define BATCH 32
#define FLOWS 1024
/* Lower bound of the balancer's rate relative to the plain forwarder's. */
#define FORWARD_SHARE_MIN 0.6
#define POLL_MS 20
#define SETTLE_MS 100
#define DISCARD_PORT 9

struct traffic {
	/** Where the packets are sent: the plain forwarder or the balancer. */
	struct endpoint forwarder_addr;
	/** Sockets of the sender and of the sink. */
	int send_fd, sink_fd;
	uint8_t (*packets)[BENCH_PACKET_CAP];
	/** Length of each packet, bytes. */
	size_t packet_len;
	/** Packets that have arrived at the sink. */
	_Atomic uint64_t n_received;
	_Atomic bool stop;
};

static void *send_packets(void *arg)
{
	struct traffic *traffic = arg;
	struct mmsghdr messages[BATCH];
	struct iovec iovecs[BATCH];
	struct sockaddr_in addr;
	size_t next_packet = 0;

	endpoint_to_sockaddr(&traffic->forwarder_addr, &addr);
	memset(messages, 0, sizeof(messages));
	while (!atomic_load(&traffic->stop)) {
		for (int i = 0; i < BATCH; i++) {
			iovecs[i].iov_base =
				traffic->packets[next_packet++ % FLOWS];
			iovecs[i].iov_len = traffic->packet_len;
			messages[i].msg_hdr.msg_name = &addr;
			messages[i].msg_hdr.msg_namelen = sizeof(addr);
			messages[i].msg_hdr.msg_iov = &iovecs[i];
			messages[i].msg_hdr.msg_iovlen = 1;
		}
		sendmmsg(traffic->send_fd, messages, BATCH, 0);
	}
	return NULL;
}

static void *receive_packets(void *arg)
{
	struct traffic *traffic = arg;
	struct pollfd poll_fd = {.fd = traffic->sink_fd, .events = POLLIN};
	uint8_t(*buffers)[BENCH_PACKET_CAP] =
		g_malloc(sizeof(*buffers) * BATCH);
	struct mmsghdr messages[BATCH];
	struct iovec iovecs[BATCH];

	memset(messages, 0, sizeof(messages));
	for (int i = 0; i < BATCH; i++) {
		iovecs[i].iov_base = buffers[i];
		iovecs[i].iov_len = sizeof(buffers[i]);
		messages[i].msg_hdr.msg_iov = &iovecs[i];
		messages[i].msg_hdr.msg_iovlen = 1;
	}
	while (!atomic_load(&traffic->stop)) {
		int n_received = recvmmsg(traffic->sink_fd, messages, BATCH,
					  MSG_DONTWAIT, NULL);

		if (n_received > 0)
			atomic_fetch_add(&traffic->n_received,
					 (uint64_t)n_received);
		else
			poll(&poll_fd, 1, POLL_MS);
	}
	g_free(buffers);
	return NULL;
}

/* Sends traffic for a while; returns the packets per second at the sink. */
static double measure_rate(struct traffic *traffic)
{
	pthread_t sender, sink;
	uint64_t before, after;
	int64_t start, end;

	atomic_store(&traffic->stop, false);
	pthread_create(&sink, NULL, receive_packets, traffic);
	pthread_create(&sender, NULL, send_packets, traffic);
	clock_sleep(WARM_UP_MS);
	before = atomic_load(&traffic->n_received);
	start = bench_now_ns();
	clock_sleep(MEASURE_MS);
	after = atomic_load(&traffic->n_received);
	end = bench_now_ns();
	atomic_store(&traffic->stop, true);
	pthread_join(sender, NULL);
	pthread_join(sink, NULL);
	clock_sleep(SETTLE_MS);
	return (double)(after - before) * 1e9 / (double)(end - start);
}

/** The plain forwarder receives and sends one packet at a time. */
struct forwarder {
	int fd;
	struct endpoint to;
	_Atomic bool stop;
};

static void *forward_packets(void *arg)
{
	struct forwarder *forwarder = arg;
	struct pollfd poll_fd = {.fd = forwarder->fd, .events = POLLIN};
	uint8_t buf[BENCH_PACKET_CAP];
	ssize_t len;

	while (!atomic_load(&forwarder->stop)) {
		poll(&poll_fd, 1, POLL_MS);
		while ((len = udp_receive(forwarder->fd, buf, sizeof(buf),
					  NULL)) >= 0) {
			udp_send(forwarder->fd, &forwarder->to, buf,
				 (size_t)len);
			if (atomic_load(&forwarder->stop))
				break;
		}
	}
	return NULL;
}

static double measure_plain(struct traffic *traffic,
			    const struct endpoint *local,
			    const struct endpoint *sink)
{
	struct forwarder forwarder = {.to = *sink};
	struct status status;
	pthread_t thread;
	double rate;

	status_init(&status);
	if (udp_open(local, &forwarder.fd, &status) != STATUS_OK) {
		fprintf(stderr, "%s\n", status.message);
		return 0;
	}
	traffic->forwarder_addr = *local;
	pthread_create(&thread, NULL, forward_packets, &forwarder);
	rate = measure_rate(traffic);
	atomic_store(&forwarder.stop, true);
	pthread_join(thread, NULL);
	close(forwarder.fd);
	return rate;
}

static void fill_settings(struct settings *settings, uint32_t ip)
{
	memset(settings, 0, sizeof(*settings));
	settings->role = MEMBER_BALANCER;
	name_set(&settings->name, str_from("balancer-1"));
	name_set(&settings->zone, str_from("z"));
	name_set(&settings->deployment, str_from("bench"));
	settings->data = (struct endpoint){ip, 4701};
	settings->control = (struct endpoint){ip, 4702};
	settings->admin = (struct endpoint){ip, 4703};
	g_strlcpy(settings->platform.data, "http://127.0.0.1:9",
		  sizeof(settings->platform.data));
	settings->platform.len = strlen(settings->platform.data);
}

static double measure_balancer(struct traffic *traffic, uint32_t ip,
			       const struct endpoint *sink)
{
	struct packet_worker worker;
	struct settings settings;
	struct status status;
	struct view *view = g_new(struct view, 1);
	struct node *node = g_new(struct node, 1);
	double rate = 0;

	status_init(&status);
	fill_settings(&settings, ip);
	bench_make_view(view, bench_env("SERVERS", 7), sink);
	if (node_init(node, &settings, &adapter_native, &status) != STATUS_OK ||
	    packet_worker_start(&worker, node, str_from(""), &status) !=
		    STATUS_OK ||
	    node_start(node, &status) != STATUS_OK) {
		fprintf(stderr, "%s\n", status.message);
		return 0;
	}
	ring_push(&node->views, view);
	node_wake(node->packet_wake_fd);
	clock_sleep(SETTLE_MS);
	traffic->forwarder_addr = settings.data;
	rate = measure_rate(traffic);
	packet_worker_finish(&worker);
	node_finish(node);
	g_free(node);
	return rate;
}

static void run(struct bench *bench)
{
	uint32_t net = bench_loopback_net();
	struct endpoint plain_addr = {net + 1, 4701},
			sink_addr = {net + 2, 4701};
	struct endpoint source_addr = {net + 3, DISCARD_PORT + 4000};
	struct traffic traffic = {
		.packets = g_malloc(sizeof(*traffic.packets) * FLOWS),
	};
	struct status status;
	double plain_rate, balancer_rate;

	status_init(&status);
	traffic.packet_len =
		bench_make_packets(traffic.packets, FLOWS, bench->seed);
	if (udp_open(&source_addr, &traffic.send_fd, &status) != STATUS_OK ||
	    udp_open(&sink_addr, &traffic.sink_fd, &status) != STATUS_OK) {
		fprintf(stderr, "%s\n", status.message);
		bench->failed++;
		return;
	}
	plain_rate = measure_plain(&traffic, &plain_addr, &sink_addr);
	balancer_rate = measure_balancer(&traffic, net + 4, &sink_addr);
	bench_figure(bench, BENCH_TIMING, "forward_plain_pps", plain_rate,
		     "1/s", BENCH_REPORT, 0);
	bench_figure(bench, BENCH_TIMING, "forward_balancer_pps", balancer_rate,
		     "1/s", BENCH_REPORT, 0);
	bench_figure(bench, BENCH_TIMING, "forward_share",
		     balancer_rate / plain_rate, "x", BENCH_AT_LEAST,
		     FORWARD_SHARE_MIN);
	close(traffic.send_fd);
	close(traffic.sink_fd);
	g_free(traffic.packets);
}

const struct bench_group bench_pipeline = {"pipeline", run};
