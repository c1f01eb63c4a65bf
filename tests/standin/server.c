#include <poll.h>
#include <signal.h>
#include <stdio.h>

#include "backend.h"
#include "standin.h"
#include "tarragonflow/net/udp.h"

#define POLL_MS 100

struct server {
	struct backend backend;
	int fd;
	struct endpoint agent;
};

static volatile sig_atomic_t stopping;

static void on_signal(int signo)
{
	(void)signo;
	stopping = 1;
}

static void send_to_agent(struct backend *backend, const uint8_t *data,
			  size_t len)
{
	struct server *server = (struct server *)backend;

	udp_send(server->fd, &server->agent, data, len);
}

static void run(struct server *server)
{
	struct pollfd pfd = {.fd = server->fd, .events = POLLIN};
	static uint8_t buf[INNER_MAX];
	ssize_t len;

	while (!stopping) {
		poll(&pfd, 1, POLL_MS);
		while ((len = udp_receive(server->fd, buf, sizeof(buf),
					  NULL)) >= 0)
			backend_handle(&server->backend, buf, (size_t)len);
	}
}

int standin_server(int argc, char **argv)
{
	struct server server;
	struct endpoint local;
	struct ip_addr address;
	struct status status;

	if (argc != 5 || !endpoint_parse(&local, argv[1]) ||
	    !endpoint_parse(&server.agent, argv[2]) ||
	    !ip_addr_parse(&address, argv[4])) {
		fprintf(stderr, "usage: standin server LISTEN AGENT SERVICE "
				"SERVICE-ADDRESS\n");
		return 2;
	}
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	if (udp_open(&local, &server.fd, &status) != STATUS_OK) {
		fprintf(stderr, "%s\n", status.message);
		return 1;
	}
	backend_init(&server.backend, argv[3], &address);
	server.backend.send = send_to_agent;
	run(&server);
	printf("wrong_service %lu\nresets %lu\nopened %lu\n",
	       server.backend.wrong_service, server.backend.resets,
	       server.backend.opened);
	backend_finish(&server.backend);
	return 0;
}
