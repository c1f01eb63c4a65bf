#include "caller_pool.h"

#include <stdio.h>
#include <string.h>

#define RETRY_MS 300
#define GIVE_UP_MS 20000
#define SUBNET_FIRST 0x0a630001u /* 10.99.0.1 */
#define PORT_FIRST 20000
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
	pool->active = g_ptr_array_new();
	pool->by_key = g_hash_table_new(key_hash, key_equal);
}

void caller_pool_finish(struct caller_pool *pool)
{
	g_rand_free(pool->rand);
	g_hash_table_destroy(pool->by_key);
	g_ptr_array_free(pool->active, TRUE);
	g_ptr_array_free(pool->callers, TRUE);
}

struct caller *caller_pool_add(struct caller_pool *pool,
			       const struct service *service, int64_t open_ms,
			       int lines, int64_t gap_ms)
{
	struct caller *caller = g_new0(struct caller, 1);
	uint32_t id = pool->next_id++;
	uint32_t ip = GUINT32_TO_BE(SUBNET_FIRST + id / PORTS_PER_ADDRESS);

	caller->service = service;
	ip_addr_from_v4(&caller->key.src, (const uint8_t *)&ip);
	caller->key.src_port = (uint16_t)(PORT_FIRST + id % PORTS_PER_ADDRESS);
	caller->key.dst = service->address;
	caller->key.dst_port = (uint16_t)service->port;
	caller->seq = g_rand_int(pool->rand);
	caller->todo = lines;
	caller->gap_ms = gap_ms;
	caller->due_ms = open_ms;
	g_ptr_array_add(pool->callers, caller);
	g_ptr_array_add(pool->active, caller);
	g_hash_table_insert(pool->by_key, &caller->key, caller);
	pool->open++;
	return caller;
}

static void send_packet(struct caller_pool *pool, struct caller *caller)
{
	char payload[PAYLOAD_MAX];
	uint8_t out[256];
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
						    "line %d", caller->sent);
	}
	pool->send(pool, out, inner_build(&spec, out, sizeof(out)));
}

static void send_ack(struct caller_pool *pool, struct caller *caller)
{
	uint8_t out[128];
	struct inner_spec spec = {
		.key = caller->key,
		.seq = caller->seq,
		.ack = caller->ack,
		.flags = TCP_ACK,
	};

	pool->send(pool, out, inner_build(&spec, out, sizeof(out)));
}

static void finish_caller(struct caller_pool *pool, struct caller *caller,
			  bool lost, int64_t now_ms)
{
	caller->done_ms = now_ms;
	pool->open--;
	if (!lost) {
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

static void step(struct caller_pool *pool, struct caller *caller,
		 int64_t now_ms)
{
	if (caller->phase == CALLER_DONE || now_ms < caller->due_ms)
		return;
	if (!caller->waiting) {
		caller->waiting = true;
		caller->first_try_ms = now_ms;
	} else {
		pool->retries++;
	}
	if (now_ms - caller->first_try_ms > GIVE_UP_MS) {
		finish_caller(pool, caller, true, now_ms);
		return;
	}
	caller->due_ms = now_ms + RETRY_MS;
	caller->tries++;
	send_packet(pool, caller);
}

void caller_pool_step(struct caller_pool *pool, int64_t now_ms)
{
	for (guint i = pool->active->len; i-- > 0;) {
		struct caller *caller = g_ptr_array_index(pool->active, i);

		if (caller->phase == CALLER_DONE)
			g_ptr_array_remove_index_fast(pool->active, i);
		else
			step(pool, caller, now_ms);
	}
}

/* True when the echo is of the right service and the right line. */
static bool echo_matches(struct caller_pool *pool, struct caller *caller,
			 const struct inner_packet *packet)
{
	char expected[PAYLOAD_MAX + NAME_MAX_LEN + 2];
	const char *got =
		(const char *)packet->data + packet->len - packet->payload_len;
	const char *name = caller->service->name.data;

	if (packet->payload_len < strlen(name) ||
	    memcmp(got, name, strlen(name)) != 0) {
		if (!caller->wrong_service)
			pool->wrong_service++;
		caller->wrong_service = true;
		return false;
	}
	snprintf(expected, sizeof(expected), "%s line %d", name, caller->sent);
	return packet->payload_len == strlen(expected) &&
	       !memcmp(got, expected, strlen(expected));
}

static void schedule_next(struct caller_pool *pool, struct caller *caller,
			  int64_t now_ms)
{
	caller->waiting = false;
	caller->due_ms = now_ms + g_rand_int_range(pool->rand, 0,
						   (int)caller->gap_ms * 2 + 1);
	caller->phase = caller->sent == caller->todo ? CALLER_CLOSING
						     : CALLER_DATA;
}

/* A reset counts when it fits what we sent (RFC 9293, RFC 5961). */
static bool reset_fits(const struct caller *caller,
		       const struct inner_packet *packet)
{
	if (caller->phase == CALLER_OPENING)
		return packet->ack == caller->seq + 1;
	return packet->seq == caller->ack;
}

static void accept_answer(struct caller_pool *pool, struct caller *caller,
			  const struct inner_packet *packet, int64_t now_ms)
{
	if (packet->ack != caller->seq + 1)
		return;
	pool->opened++;
	caller->opened_ms = now_ms;
	if (caller->tries == 1)
		pool->opened_at_once++;
	caller->seq++;
	caller->ack = packet->seq + 1;
	caller->server_seq = packet->seq;
	schedule_next(pool, caller, now_ms);
	send_ack(pool, caller);
}

static void take_answer(struct caller_pool *pool, struct caller *caller,
			const struct inner_packet *packet, int64_t now_ms)
{
	if (packet->flags & TCP_RST) {
		if (reset_fits(caller, packet))
			finish_caller(pool, caller, true, now_ms);
	} else if (caller->phase == CALLER_OPENING) {
		if (packet->flags & TCP_SYN)
			accept_answer(pool, caller, packet, now_ms);
	} else if (packet->flags & TCP_SYN) {
		send_ack(pool, caller);
	} else if (caller->phase == CALLER_DATA && packet->payload_len &&
		   caller->waiting && echo_matches(pool, caller, packet)) {
		caller->sent++;
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
		take_answer(pool, caller, &packet, now_ms);
}
