#include "backend.h"

#include <stdio.h>
#include <string.h>

#define REPLY_MAX 1300

static guint key_hash(gconstpointer key)
{
	return (guint)flow_key_hash(key, 0);
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, sizeof(struct flow_key));
}

void backend_init(struct backend *backend, const char *service,
		  const struct ip_addr *address)
{
	memset(backend, 0, sizeof(*backend));
	backend->service = service;
	backend->address = *address;
	backend->connections =
		g_hash_table_new_full(key_hash, key_equal, g_free, NULL);
	backend->closed =
		g_hash_table_new_full(key_hash, key_equal, g_free, NULL);
}

void backend_finish(struct backend *backend)
{
	g_hash_table_destroy(backend->closed);
	g_hash_table_destroy(backend->connections);
}

void backend_restart(struct backend *backend)
{
	g_hash_table_remove_all(backend->connections);
	backend->max_connections = 0;
}

static void send_reply(struct backend *backend,
		       const struct inner_packet *packet, uint8_t flags,
		       const char *payload, size_t len)
{
	struct inner_spec spec = {
		.seq = packet->ack,
		.ack = packet->seq + packet->payload_len,
		.flags = flags,
		.payload = payload,
		.payload_len = len,
	};
	uint8_t segment[REPLY_MAX + 100];

	if (packet->flags & (TCP_SYN | TCP_FIN))
		spec.ack++;
	flow_key_reverse(&spec.key, &packet->key);
	backend->send(backend, segment,
		      inner_build(&spec, segment, sizeof(segment)));
}

static void send_echo(struct backend *backend,
		      const struct inner_packet *packet)
{
	char text[REPLY_MAX];
	int len;

	if (!packet->payload_len)
		return;
	len = snprintf(text, sizeof(text), "%s %.*s", backend->service,
		       packet->payload_len,
		       (const char *)packet->data + packet->len -
			       packet->payload_len);
	send_reply(backend, packet, TCP_ACK, text,
		   (size_t)MIN(len, (int)sizeof(text) - 1));
}

static uint32_t initial_seq(const struct backend *backend,
			    const struct inner_packet *packet)
{
	return (uint32_t)flow_key_hash(&packet->key,
				       backend->seq_seed + packet->seq);
}

static void accept_connection(struct backend *backend,
			      const struct inner_packet *packet)
{
	struct inner_packet syn_ack = *packet;

	syn_ack.ack = initial_seq(backend, packet);
	if (!g_hash_table_contains(backend->connections, &packet->key)) {
		g_hash_table_insert(
			backend->connections,
			g_memdup2(&packet->key, sizeof(packet->key)),
			GUINT_TO_POINTER(syn_ack.ack));
		backend->opened++;
		backend->max_connections =
			MAX(backend->max_connections,
			    g_hash_table_size(backend->connections));
		if (backend->cold && g_hash_table_size(backend->connections) >
					     backend->cold_capacity)
			backend->opens_over_capacity++;
	}
	send_reply(backend, &syn_ack, TCP_SYN | TCP_ACK, NULL, 0);
}

static void send_reset(struct backend *backend,
		       const struct inner_packet *packet)
{
	backend->resets++;
	send_reply(backend, packet, TCP_RST | TCP_ACK, NULL, 0);
}

static void close_connection(struct backend *backend,
			     const struct inner_packet *packet)
{
	gpointer key, seq;

	if (g_hash_table_steal_extended(backend->connections, &packet->key,
					&key, &seq))
		g_hash_table_replace(backend->closed, key, seq);
}

/* Whether the connection is open and @packet acknowledges data sent on it. */
static bool acks_known_connection(const struct backend *backend,
				  const struct inner_packet *packet)
{
	gpointer seq;

	if (!g_hash_table_lookup_extended(backend->connections, &packet->key,
					  NULL, &seq))
		return false;
	return (int32_t)(packet->ack - GPOINTER_TO_UINT(seq)) > 0;
}

void backend_handle(struct backend *backend, const uint8_t *data, size_t len)
{
	struct inner_packet packet;

	if (!inner_parse(&packet, data, len))
		return;
	if (!ip_addr_equal(&packet.key.dst, &backend->address)) {
		backend->wrong_service++;
	} else if (inner_opens_connection(&packet)) {
		if (backend->refuse_new)
			send_reset(backend, &packet);
		else
			accept_connection(backend, &packet);
	} else if (packet.flags & TCP_RST) {
		g_hash_table_remove(backend->connections, &packet.key);
	} else if (packet.flags & TCP_FIN) {
		close_connection(backend, &packet);
		send_reply(backend, &packet, TCP_FIN | TCP_ACK, NULL, 0);
	} else if (!acks_known_connection(backend, &packet)) {
		send_reset(backend, &packet);
	} else {
		send_echo(backend, &packet);
	}
}
