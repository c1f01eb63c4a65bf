#include "caller_pool.h"

#include <stdio.h>
#include <string.h>

#define RETRANSMIT_MS 300
#define CALL_TIMEOUT_MS 20000
#define FIRST_ADDRESS 0x0a630001u /* 10.99.0.1 */
#define FIRST_PORT 20000
#define PORTS_PER_ADDRESS 200
#define PAYLOAD_MAX 64

static guint key_hash(gconstpointer key)
{
	return (guint)flow_key_hash(key, 0);
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, sizeof(struct flow_key));
}

void caller_pool_init(struct caller_pool *pool, uint32_t seed)
{
	memset(pool, 0, sizeof(*pool));
	pool->rand = g_rand_new_with_seed(seed);
	pool->callers = g_ptr_array_new_with_free_func(g_free);
	pool->unfinished = g_ptr_array_new();
	pool->by_key = g_hash_table_new(key_hash, key_equal);
}

void caller_pool_finish(struct caller_pool *pool)
{
	g_rand_free(pool->rand);
	g_hash_table_destroy(pool->by_key);
	g_ptr_array_free(pool->unfinished, TRUE);
	g_ptr_array_free(pool->callers, TRUE);
}

struct caller *caller_pool_add(struct caller_pool *pool,
			       const struct service *service, int64_t open_ms,
			       int lines, int64_t gap_ms)
{
	struct caller *caller = g_new0(struct caller, 1);
	uint32_t id = pool->next_id++;
	uint32_t ip = GUINT32_TO_BE(FIRST_ADDRESS + id / PORTS_PER_ADDRESS);

	caller->service = service;
	ip_addr_from_v4(&caller->key.src, (const uint8_t *)&ip);
	caller->key.src_port = (uint16_t)(FIRST_PORT + id % PORTS_PER_ADDRESS);
	caller->key.dst = service->address;
	caller->key.dst_port = (uint16_t)service->port;
	caller->seq = g_rand_int(pool->rand);
	caller->lines_total = lines;
	caller->gap_ms = gap_ms;
	caller->next_send_ms = open_ms;
	g_ptr_array_add(pool->callers, caller);
	g_ptr_array_add(pool->unfinished, caller);
	g_hash_table_insert(pool->by_key, &caller->key, caller);
	pool->open++;
	return caller;
}

static void send_packet(struct caller_pool *pool, struct caller *caller)
{
	char payload[PAYLOAD_MAX];
	uint8_t segment[256];
	struct inner_spec spec = {
		.key = caller->key,
		.seq = caller->seq,
		.ack = caller->ack,
		.payload = payload,
	};

	if (caller->phase == CALLER_OPENING) {
		spec.flags = TCP_SYN;
	} else if (caller->phase == CALLER_CLOSING) {
		spec.flags = TCP_FIN | TCP_ACK;
	} else {
		spec.flags = TCP_ACK;
		spec.payload_len = (size_t)snprintf(payload, sizeof(payload),
						    "line %d",
						    caller->lines_echoed);
	}
	pool->send(pool, segment, inner_build(&spec, segment, sizeof(segment)));
}

static void send_ack(struct caller_pool *pool, struct caller *caller)
{
	uint8_t segment[128];
	struct inner_spec spec = {
		.key = caller->key,
		.seq = caller->seq,
		.ack = caller->ack,
		.flags = TCP_ACK,
	};

	pool->send(pool, segment, inner_build(&spec, segment, sizeof(segment)));
}

static void finish_caller(struct caller_pool *pool, struct caller *caller,
			  bool failed, int64_t now_ms)
{
	caller->ended_ms = now_ms;
	pool->open--;
	if (!failed) {
		pool->finished++;
	} else if (caller->phase == CALLER_OPENING) {
		caller->refused = true;
		pool->refused++;
	} else {
		caller->broken = true;
		pool->broken++;
	}
	caller->phase = CALLER_DONE;
}

static void caller_step(struct caller_pool *pool, struct caller *caller,
			int64_t now_ms)
{
	if (caller->phase == CALLER_DONE || now_ms < caller->next_send_ms)
		return;
	if (!caller->awaiting_response) {
		caller->awaiting_response = true;
		caller->first_send_ms = now_ms;
	} else {
		pool->retransmissions++;
	}
	if (now_ms - caller->first_send_ms > CALL_TIMEOUT_MS) {
		finish_caller(pool, caller, true, now_ms);
		return;
	}
	caller->next_send_ms = now_ms + RETRANSMIT_MS;
	caller->send_count++;
	send_packet(pool, caller);
}

void caller_pool_step(struct caller_pool *pool, int64_t now_ms)
{
	for (guint i = pool->unfinished->len; i-- > 0;) {
		struct caller *caller = g_ptr_array_index(pool->unfinished, i);

		if (caller->phase == CALLER_DONE)
			g_ptr_array_remove_index_fast(pool->unfinished, i);
		else
			caller_step(pool, caller, now_ms);
	}
}

/* Whether @packet echoes the current line and comes from the right service. */
static bool echo_matches(struct caller_pool *pool, struct caller *caller,
			 const struct inner_packet *packet)
{
	char expected[PAYLOAD_MAX + NAME_MAX_LEN + 2];
	const char *payload =
		(const char *)packet->data + packet->len - packet->payload_len;
	const char *name = caller->service->name.data;

	if (packet->payload_len < strlen(name) ||
	    memcmp(payload, name, strlen(name)) != 0) {
		if (!caller->wrong_service)
			pool->wrong_service++;
		caller->wrong_service = true;
		return false;
	}
	snprintf(expected, sizeof(expected), "%s line %d", name,
		 caller->lines_echoed);
	return packet->payload_len == strlen(expected) &&
	       !memcmp(payload, expected, strlen(expected));
}

static void schedule_next(struct caller_pool *pool, struct caller *caller,
			  int64_t now_ms)
{
	caller->awaiting_response = false;
	caller->next_send_ms =
		now_ms +
		g_rand_int_range(pool->rand, 0, (int)caller->gap_ms * 2 + 1);
	caller->phase = caller->lines_echoed == caller->lines_total
				? CALLER_CLOSING
				: CALLER_DATA;
}

/* Whether the reset has the expected number (RFC 9293, RFC 5961). */
static bool reset_is_valid(const struct caller *caller,
			   const struct inner_packet *packet)
{
	if (caller->phase == CALLER_OPENING)
		return packet->ack == caller->seq + 1;
	return packet->seq == caller->ack;
}

static void handle_syn_ack(struct caller_pool *pool, struct caller *caller,
			   const struct inner_packet *packet, int64_t now_ms)
{
	if (packet->ack != caller->seq + 1)
		return;
	pool->opened++;
	caller->opened_ms = now_ms;
	if (caller->send_count == 1)
		pool->opened_first_try++;
	caller->seq++;
	caller->ack = packet->seq + 1;
	caller->server_seq = packet->seq;
	schedule_next(pool, caller, now_ms);
	send_ack(pool, caller);
}

static void handle_packet(struct caller_pool *pool, struct caller *caller,
			  const struct inner_packet *packet, int64_t now_ms)
{
	if (packet->flags & TCP_RST) {
		if (reset_is_valid(caller, packet))
			finish_caller(pool, caller, true, now_ms);
	} else if (caller->phase == CALLER_OPENING) {
		if (packet->flags & TCP_SYN)
			handle_syn_ack(pool, caller, packet, now_ms);
	} else if (packet->flags & TCP_SYN) {
		send_ack(pool, caller);
	} else if (caller->phase == CALLER_DATA && packet->payload_len &&
		   caller->awaiting_response &&
		   echo_matches(pool, caller, packet)) {
		caller->lines_echoed++;
		caller->seq = packet->ack;
		caller->ack = packet->seq + packet->payload_len;
		schedule_next(pool, caller, now_ms);
	} else if (caller->phase == CALLER_CLOSING &&
		   (packet->flags & TCP_FIN)) {
		finish_caller(pool, caller, false, now_ms);
	}
}

void caller_pool_receive(struct caller_pool *pool, const uint8_t *data,
			 size_t len, int64_t now_ms)
{
	struct inner_packet packet;
	struct caller *caller;
	struct flow_key key;

	if (!inner_parse(&packet, data, len))
		return;
	flow_key_reverse(&key, &packet.key);
	caller = g_hash_table_lookup(pool->by_key, &key);
	if (caller && caller->phase != CALLER_DONE)
		handle_packet(pool, caller, &packet, now_ms);
}
