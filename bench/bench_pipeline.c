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
#include "tarragonflow/node/packet_duty.h"

/*
 * Packets a second through a balancer's packet duty on real sockets, beside
 * a plain forwarder that receives and sends the same packets in the same
 * run.
 */
#define MEASURE_MS 1000
#define WARM_UP_MS 200
#define BATCH 32
#define FLOWS 1024
#define SHARE_MIN 0.6
#define POLL_MS 20
#define SETTLE_MS 100
#define DISCARD_PORT 9

struct traffic {
	struct endpoint target;
	int send_fd, sink_fd;
	uint8_t (*packets)[BENCH_PACKET_CAP];
	size_t len;
	_Atomic uint64_t received;
	_Atomic bool stop;
};

static void *send_duty(void *arg)
{
	struct traffic *traffic = arg;
	struct mmsghdr messages[BATCH];
	struct iovec parts[BATCH];
	struct sockaddr_in addr;
	size_t next = 0;

	endpoint_to_sockaddr(&traffic->target, &addr);
	memset(messages, 0, sizeof(messages));
	while (!atomic_load(&traffic->stop)) {
		for (int i = 0; i < BATCH; i++) {
			parts[i].iov_base = traffic->packets[next++ % FLOWS];
			parts[i].iov_len = traffic->len;
			messages[i].msg_hdr.msg_name = &addr;
			messages[i].msg_hdr.msg_namelen = sizeof(addr);
			messages[i].msg_hdr.msg_iov = &parts[i];
			messages[i].msg_hdr.msg_iovlen = 1;
		}
		sendmmsg(traffic->send_fd, messages, BATCH, 0);
	}
	return NULL;
}

static void *sink_duty(void *arg)
{
	struct traffic *traffic = arg;
	struct pollfd pfd = {.fd = traffic->sink_fd, .events = POLLIN};
	uint8_t(*bufs)[BENCH_PACKET_CAP] = g_malloc(sizeof(*bufs) * BATCH);
	struct mmsghdr messages[BATCH];
	struct iovec parts[BATCH];

	memset(messages, 0, sizeof(messages));
	for (int i = 0; i < BATCH; i++) {
		parts[i].iov_base = bufs[i];
		parts[i].iov_len = sizeof(bufs[i]);
		messages[i].msg_hdr.msg_iov = &parts[i];
		messages[i].msg_hdr.msg_iovlen = 1;
	}
	while (!atomic_load(&traffic->stop)) {
		int got = recvmmsg(traffic->sink_fd, messages, BATCH,
				   MSG_DONTWAIT, NULL);

		if (got > 0)
			atomic_fetch_add(&traffic->received, (uint64_t)got);
		else
			poll(&pfd, 1, POLL_MS);
	}
	g_free(bufs);
	return NULL;
}

/* Runs traffic for a while; packets a second at the sink. */
static double measure(struct traffic *traffic)
{
	pthread_t sender, sink;
	uint64_t before, after;
	int64_t start, end;

	atomic_store(&traffic->stop, false);
	pthread_create(&sink, NULL, sink_duty, traffic);
	pthread_create(&sender, NULL, send_duty, traffic);
	clock_sleep(WARM_UP_MS);
	before = atomic_load(&traffic->received);
	start = bench_now_ns();
	clock_sleep(MEASURE_MS);
	after = atomic_load(&traffic->received);
	end = bench_now_ns();
	atomic_store(&traffic->stop, true);
	pthread_join(sender, NULL);
	pthread_join(sink, NULL);
	clock_sleep(SETTLE_MS);
	return (double)(after - before) * 1e9 / (double)(end - start);
}

/** The plain forwarder: receive one, send one. */
struct forwarder {
	int fd;
	struct endpoint to;
	_Atomic bool stop;
};

static void *forward_duty(void *arg)
{
	struct forwarder *forwarder = arg;
	struct pollfd pfd = {.fd = forwarder->fd, .events = POLLIN};
	uint8_t buf[BENCH_PACKET_CAP];
	ssize_t len;

	while (!atomic_load(&forwarder->stop)) {
		poll(&pfd, 1, POLL_MS);
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
	traffic->target = *local;
	pthread_create(&thread, NULL, forward_duty, &forwarder);
	rate = measure(traffic);
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
	struct packet_duty duty;
	struct settings settings;
	struct status status;
	struct view *view = g_new(struct view, 1);
	struct node *node = g_new(struct node, 1);
	double rate = 0;

	status_init(&status);
	fill_settings(&settings, ip);
	bench_make_view(view, bench_env("SERVERS", 7), sink);
	if (node_init(node, &settings, &adapter_native, &status) != STATUS_OK ||
	    packet_duty_start(&duty, node, str_from(""), &status) !=
		    STATUS_OK ||
	    node_start(node, &status) != STATUS_OK) {
		fprintf(stderr, "%s\n", status.message);
		return 0;
	}
	ring_push(&node->views, view);
	node_wake(node->packet_wake_fd);
	clock_sleep(SETTLE_MS);
	traffic->target = settings.data;
	rate = measure(traffic);
	packet_duty_finish(&duty);
	node_finish(node);
	g_free(node);
	return rate;
}

static void run(struct bench *bench)
{
	uint32_t net = bench_loopback_net();
	struct endpoint plain = {net + 1, 4701}, sink = {net + 2, 4701};
	struct endpoint source = {net + 3, DISCARD_PORT + 4000};
	struct traffic traffic = {
		.packets = g_malloc(sizeof(*traffic.packets) * FLOWS),
	};
	struct status status;
	double base, rate;

	status_init(&status);
	traffic.len = bench_make_packets(traffic.packets, FLOWS, bench->seed);
	if (udp_open(&source, &traffic.send_fd, &status) != STATUS_OK ||
	    udp_open(&sink, &traffic.sink_fd, &status) != STATUS_OK) {
		fprintf(stderr, "%s\n", status.message);
		bench->failed++;
		return;
	}
	base = measure_plain(&traffic, &plain, &sink);
	rate = measure_balancer(&traffic, net + 4, &sink);
	bench_figure(bench, BENCH_TIMING, "forward_plain_pps", base, "1/s",
		     BENCH_REPORT, 0);
	bench_figure(bench, BENCH_TIMING, "forward_balancer_pps", rate, "1/s",
		     BENCH_REPORT, 0);
	bench_figure(bench, BENCH_TIMING, "forward_share", rate / base, "x",
		     BENCH_AT_LEAST, SHARE_MIN);
	close(traffic.send_fd);
	close(traffic.sink_fd);
	g_free(traffic.packets);
}

const struct bench_group bench_pipeline = {"pipeline", run};
