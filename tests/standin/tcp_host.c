#include "tcp_host.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fabric.h"
#include "tarragonflow/net/inner.h"
#include "tarragonflow/net/udp.h"
#include "tcp_bridge.h"
#include "tcp_stack.h"

#define MTU 1500
#define BACKLOG 64
#define SERVICES_MAX 4
#define POLL_MS 100

/* Global, since the stack's output callback has no user argument. */
static struct {
	int fd;
	pthread_mutex_t lock;
	/* Host of callers: packets go to a random balancer. */
	struct fabric_list balancers;
	GRand *rand;
	/* Host of a backend server: packets go to its agent. */
	struct endpoint agent;
} host = {.lock = PTHREAD_MUTEX_INITIALIZER};

/* A service, and the listener on loopback through which callers reach it. */
struct local_service {
	int listener;
	char *address;
	uint16_t port;
};

static void send_to_any_balancer(const uint8_t *data, size_t len)
{
	const struct endpoint *balancer;
	struct endpoint to;

	pthread_mutex_lock(&host.lock);
	balancer = fabric_list_pick(&host.balancers, host.rand);
	if (balancer)
		to = *balancer;
	pthread_mutex_unlock(&host.lock);
	if (balancer)
		udp_send(host.fd, &to, data, len);
}

static void send_to_agent(const uint8_t *data, size_t len)
{
	udp_send(host.fd, &host.agent, data, len);
}

/* Passes packets from the fabric or the agent to the stack. */
static void *receive_packets(void *arg)
{
	struct pollfd pfd = {.fd = host.fd, .events = POLLIN};
	uint8_t *buf = g_malloc(INNER_MAX);
	ssize_t len;

	(void)arg;
	for (;;) {
		poll(&pfd, 1, POLL_MS);
		while ((len = udp_receive(host.fd, buf, INNER_MAX, NULL)) >= 0)
			tcp_stack_input(buf, (size_t)len);
	}
	return NULL;
}

static void *refresh_balancer_list(void *arg)
{
	(void)arg;
	for (;;) {
		usleep(POLL_MS * 1000);
		pthread_mutex_lock(&host.lock);
		fabric_list_read(&host.balancers);
		pthread_mutex_unlock(&host.lock);
	}
	return NULL;
}

static void start_thread(void *(*run)(void *), void *arg)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, arg) != 0)
		g_error("cannot start a thread");
	pthread_detach(thread);
}

static bool start_host(const char *address, const char *listen,
		       tcp_stack_output *output)
{
	struct endpoint local;
	struct status status;

	status_init(&status);
	if (!endpoint_parse(&local, listen) ||
	    udp_open(&local, &host.fd, &status) != STATUS_OK) {
		fprintf(stderr, "%s: %s\n", listen, status.message);
		return false;
	}
	if (!tcp_stack_start(address, MTU, output)) {
		fprintf(stderr, "%s: not a valid IP address\n", address);
		return false;
	}
	start_thread(receive_packets, NULL);
	return true;
}

static int listen_on(const char *text)
{
	struct endpoint endpoint;
	struct sockaddr_in addr;
	int one = 1;
	int fd;

	if (!endpoint_parse(&endpoint, text))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	endpoint_to_sockaddr(&endpoint, &addr);
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0 &&
	    listen(fd, BACKLOG) == 0)
		return fd;
	close(fd);
	return -1;
}

static int connect_to(const struct endpoint *endpoint)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in addr;

	endpoint_to_sockaddr(endpoint, &addr);
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* An accepted system connection whose stack connection is not open yet. */
struct pending_call {
	const struct local_service *service;
	int fd;
};

static void *connect_call(void *arg)
{
	struct pending_call *call = arg;
	int fd = tcp_stack_connect(call->service->address, call->service->port);

	if (fd < 0) {
		fprintf(stderr, "no connection to %s port %u\n",
			call->service->address, call->service->port);
		close(call->fd);
	} else {
		tcp_bridge_start(fd, call->fd);
	}
	g_free(call);
	return NULL;
}

static void *accept_calls(void *arg)
{
	const struct local_service *service = arg;

	for (;;) {
		struct pending_call *call = g_new0(struct pending_call, 1);

		call->service = service;
		call->fd = accept(service->listener, NULL, NULL);
		if (call->fd < 0)
			g_error("accept: %s", strerror(errno));
		start_thread(connect_call, call);
	}
	return NULL;
}

/* Parses LOCAL=ADDRESS,PORT and listens on LOCAL. */
static bool parse_service(struct local_service *service, const char *text)
{
	char **parts = g_strsplit_set(text, "=,", 3);
	bool valid = g_strv_length(parts) == 3;

	if (valid) {
		service->listener = listen_on(parts[0]);
		service->address = g_strdup(parts[1]);
		service->port = (uint16_t)atoi(parts[2]);
		valid = service->listener >= 0;
	}
	g_strfreev(parts);
	return valid;
}

int standin_tcp_caller(int argc, char **argv)
{
	static struct local_service services[SERVICES_MAX];

	if (argc < 5 || argc > 4 + SERVICES_MAX) {
		fprintf(stderr, "usage: standin-tcp caller ADDRESS LISTEN "
				"BALANCERS LOCAL=SERVICE-ADDRESS,PORT...\n");
		return 2;
	}
	host.rand = g_rand_new_with_seed(1);
	host.balancers.path = argv[3];
	fabric_list_read(&host.balancers);
	for (int i = 4; i < argc; i++) {
		if (!parse_service(&services[i - 4], argv[i])) {
			fprintf(stderr,
				"%s: invalid service, or cannot listen\n",
				argv[i]);
			return 2;
		}
	}
	if (!start_host(argv[1], argv[2], send_to_any_balancer))
		return 1;
	start_thread(refresh_balancer_list, NULL);
	for (int i = 5; i < argc; i++)
		start_thread(accept_calls, &services[i - 4]);
	accept_calls(&services[0]);
	return 0;
}

int standin_tcp_server(int argc, char **argv)
{
	struct endpoint http;
	int listener;

	if (argc != 6 || !endpoint_parse(&host.agent, argv[3]) ||
	    !endpoint_parse(&http, argv[5])) {
		fprintf(stderr, "usage: standin-tcp server ADDRESS LISTEN "
				"AGENT PORT HTTP-SERVER\n");
		return 2;
	}
	if (!start_host(argv[1], argv[2], send_to_agent))
		return 1;
	listener = tcp_stack_listen((uint16_t)atoi(argv[4]));
	if (listener < 0)
		return 1;
	for (;;) {
		int fd = tcp_stack_accept(listener);
		int system_fd;

		if (fd < 0)
			continue;
		system_fd = connect_to(&http);
		if (system_fd < 0)
			tcp_stack_close(fd, true);
		else
			tcp_bridge_start(fd, system_fd);
	}
}
