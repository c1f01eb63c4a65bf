#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "standin.h"
#include "tarragonflow/net/inner.h"
#include "tarragonflow/net/udp.h"

/*
 * A backend server: answers opening packets, echoes payloads behind its
 * service's name, resets what it does not know. Prints its counts at the
 * end.
 */
#define POLL_MS 100
#define REPLY_MAX 1400

struct server {
	int fd;
	struct endpoint agent;
	const char *service;
	struct ip_addr address;
	GHashTable *connections;
	unsigned long opened;
	unsigned long wrong_service;
	unsigned long resets;
};

static volatile sig_atomic_t stopping;

static void on_signal(int signo)
{
	(void)signo;
	stopping = 1;
}

static guint key_hash(gconstpointer key)
{
	return (guint)flow_key_hash(key, 0);
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, sizeof(struct flow_key));
}

static void reply(struct server *server, const struct inner_packet *packet,
		  uint8_t flags, const char *payload, size_t len)
{
	struct inner_spec spec = {
		.seq = packet->ack,
		.ack = packet->seq + packet->payload_len,
		.flags = flags,
		.payload = payload,
		.payload_len = len,
	};
	uint8_t out[REPLY_MAX + 64];
	size_t out_len;

	if (packet->flags & (TCP_SYN | TCP_FIN))
		spec.ack++;
	flow_key_reverse(&spec.key, &packet->key);
	out_len = inner_build(&spec, out, sizeof(out));
	udp_send(server->fd, &server->agent, out, out_len);
}

static void serve_data(struct server *server, const struct inner_packet *packet)
{
	char text[REPLY_MAX];
	int len;

	if (!packet->payload_len)
		return;
	len = snprintf(text, sizeof(text), "%s %.*s", server->service,
		       packet->payload_len,
		       (const char *)packet->data + packet->len -
			       packet->payload_len);
	reply(server, packet, TCP_ACK, text,
	      (size_t)MIN(len, (int)sizeof(text) - 1));
}

static void serve_packet(struct server *server,
			 const struct inner_packet *packet)
{
	bool known = g_hash_table_contains(server->connections, &packet->key);

	if (!ip_addr_equal(&packet->key.dst, &server->address)) {
		server->wrong_service++;
		return;
	}
	if (inner_opens(packet)) {
		if (!known) {
			g_hash_table_add(
				server->connections,
				g_memdup2(&packet->key, sizeof(packet->key)));
			server->opened++;
		}
		reply(server, packet, TCP_SYN | TCP_ACK, NULL, 0);
	} else if (packet->flags & TCP_RST) {
		g_hash_table_remove(server->connections, &packet->key);
	} else if (!known && !(packet->flags & TCP_FIN)) {
		server->resets++;
		reply(server, packet, TCP_RST | TCP_ACK, NULL, 0);
	} else if (packet->flags & TCP_FIN) {
		g_hash_table_remove(server->connections, &packet->key);
		reply(server, packet, TCP_FIN | TCP_ACK, NULL, 0);
	} else {
		serve_data(server, packet);
	}
}

static void run(struct server *server)
{
	struct pollfd pfd = {.fd = server->fd, .events = POLLIN};
	static uint8_t buf[INNER_MAX];
	struct inner_packet packet;
	ssize_t len;

	while (!stopping) {
		poll(&pfd, 1, POLL_MS);
		while ((len = udp_receive(server->fd, buf, sizeof(buf),
					  NULL)) >= 0)
			if (inner_parse(&packet, buf, (size_t)len))
				serve_packet(server, &packet);
	}
}

int standin_server(int argc, char **argv)
{
	struct server server = {0};
	struct endpoint local;
	struct status status;

	if (argc != 5 || !endpoint_parse(&local, argv[1]) ||
	    !endpoint_parse(&server.agent, argv[2]) ||
	    !ip_addr_parse(&server.address, argv[4])) {
		fprintf(stderr, "usage: standin server LISTEN AGENT SERVICE "
				"SERVICE-ADDRESS\n");
		return 2;
	}
	server.service = argv[3];
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	if (udp_open(&local, &server.fd, &status) != STATUS_OK) {
		fprintf(stderr, "%s\n", status.message);
		return 1;
	}
	server.connections =
		g_hash_table_new_full(key_hash, key_equal, g_free, NULL);
	run(&server);
	printf("server %s opened=%lu wrong_service=%lu resets=%lu\n", argv[1],
	       server.opened, server.wrong_service, server.resets);
	g_hash_table_destroy(server.connections);
	return 0;
}
