#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>

#include "standin.h"
#include "tarragonflow/common/clock.h"
#include "tarragonflow/manifest/manifest.h"
#include "tarragonflow/net/inner.h"
#include "tarragonflow/net/udp.h"

/*
 * Callers behind a fabric that sprays each packet over the balancers listed
 * in a file, which is read again when it changes. Each connection opens,
 * has its payloads echoed and closes; lost packets are repeated as TCP
 * would. Exit code 0 only when every connection finished.
 */
#define TICK_MS 10
#define RETRY_MS 300
#define GIVE_UP_MS 20000
#define BALANCERS_MAX 16
#define SUBNET_FIRST 0x0a630001u /* 10.99.0.1 */
#define PORT_FIRST 20000
#define PAYLOAD_MAX 64

enum phase { PHASE_OPENING, PHASE_DATA, PHASE_CLOSING, PHASE_DONE };

struct connection {
	struct flow_key key;
	const struct service *service;
	enum phase phase;
	uint32_t seq, ack;
	int sent, todo;
	/** When the open packet, or the next payload, is due. */
	int64_t due_ms;
	int64_t first_try_ms;
	/** A packet is unanswered since first_try_ms. */
	bool waiting;
	bool broken;
	bool wrong_service;
};

struct callers {
	int fd;
	struct clock clock;
	GRand *rand;
	const char *balancers_file;
	struct endpoint balancers[BALANCERS_MAX];
	size_t n_balancers;
	struct connection *connections;
	size_t n;
	GHashTable *by_key;
	size_t open, finished, broken, wrong_service, retries;
	int64_t gap_ms;
};

static guint key_hash(gconstpointer key)
{
	return (guint)flow_key_hash(key, 0);
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, sizeof(struct flow_key));
}

static void read_balancers(struct callers *callers)
{
	char *text = NULL;
	char **lines;

	if (!g_file_get_contents(callers->balancers_file, &text, NULL, NULL))
		return;
	lines = g_strsplit(g_strchomp(text), "\n", BALANCERS_MAX);
	callers->n_balancers = 0;
	for (int i = 0; lines[i]; i++)
		if (endpoint_parse(&callers->balancers[callers->n_balancers],
				   lines[i]))
			callers->n_balancers++;
	g_strfreev(lines);
	g_free(text);
}

/* The fabric: any packet to any balancer. */
static void spray(struct callers *callers, const uint8_t *data, size_t len)
{
	int pick;

	if (!callers->n_balancers)
		return;
	pick = g_rand_int_range(callers->rand, 0, (int)callers->n_balancers);
	udp_send(callers->fd, &callers->balancers[pick], data, len);
}

static void send_packet(struct callers *callers, struct connection *conn)
{
	char payload[PAYLOAD_MAX];
	uint8_t out[256];
	struct inner_spec spec = {
		.key = conn->key,
		.seq = conn->seq,
		.ack = conn->ack,
		.payload = payload,
	};

	if (conn->phase == PHASE_OPENING) {
		spec.flags = TCP_SYN;
	} else if (conn->phase == PHASE_CLOSING) {
		spec.flags = TCP_FIN | TCP_ACK;
	} else {
		spec.flags = TCP_ACK;
		spec.payload_len = (size_t)snprintf(payload, sizeof(payload),
						    "line %d", conn->sent);
	}
	spray(callers, out, inner_build(&spec, out, sizeof(out)));
}

static void finish_connection(struct callers *callers, struct connection *conn,
			      bool broken)
{
	if (conn->phase == PHASE_DONE)
		return;
	conn->phase = PHASE_DONE;
	conn->broken = broken;
	callers->open--;
	if (broken)
		callers->broken++;
	else
		callers->finished++;
}

static void step(struct callers *callers, struct connection *conn,
		 int64_t now_ms)
{
	if (conn->phase == PHASE_DONE || now_ms < conn->due_ms)
		return;
	if (!conn->waiting) {
		conn->waiting = true;
		conn->first_try_ms = now_ms;
	} else {
		callers->retries++;
	}
	if (now_ms - conn->first_try_ms > GIVE_UP_MS) {
		finish_connection(callers, conn, true);
		return;
	}
	conn->due_ms = now_ms + RETRY_MS;
	send_packet(callers, conn);
}

/* True when the echo is of the right service and the right line. */
static bool echo_matches(struct callers *callers, struct connection *conn,
			 const struct inner_packet *packet)
{
	char expected[PAYLOAD_MAX + NAME_MAX_LEN + 2];
	const char *got =
		(const char *)packet->data + packet->len - packet->payload_len;
	const char *name = conn->service->name.data;

	if (packet->payload_len < strlen(name) ||
	    memcmp(got, name, strlen(name)) != 0) {
		if (!conn->wrong_service)
			callers->wrong_service++;
		conn->wrong_service = true;
		return false;
	}
	snprintf(expected, sizeof(expected), "%s line %d", name, conn->sent);
	return packet->payload_len == strlen(expected) &&
	       !memcmp(got, expected, strlen(expected));
}

static void schedule_next(struct callers *callers, struct connection *conn,
			  int64_t now_ms)
{
	conn->waiting = false;
	conn->due_ms = now_ms + g_rand_int_range(callers->rand, 0,
						 (int)callers->gap_ms * 2);
	conn->phase = conn->sent == conn->todo ? PHASE_CLOSING : PHASE_DATA;
}

static void take_answer(struct callers *callers, struct connection *conn,
			const struct inner_packet *packet, int64_t now_ms)
{
	if (packet->flags & TCP_RST) {
		finish_connection(callers, conn, true);
	} else if (conn->phase == PHASE_OPENING && (packet->flags & TCP_SYN)) {
		conn->seq++;
		conn->ack = packet->seq + 1;
		schedule_next(callers, conn, now_ms);
	} else if (conn->phase == PHASE_DATA && packet->payload_len &&
		   conn->waiting && echo_matches(callers, conn, packet)) {
		conn->sent++;
		conn->seq = packet->ack;
		conn->ack = packet->seq + packet->payload_len;
		schedule_next(callers, conn, now_ms);
	} else if (conn->phase == PHASE_CLOSING && (packet->flags & TCP_FIN)) {
		finish_connection(callers, conn, false);
	}
}

static void receive_all(struct callers *callers)
{
	static uint8_t buf[INNER_MAX];
	struct inner_packet packet;
	struct connection *conn;
	struct flow_key key;
	ssize_t len;

	while ((len = udp_receive(callers->fd, buf, sizeof(buf), NULL)) >= 0) {
		if (!inner_parse(&packet, buf, (size_t)len))
			continue;
		flow_key_reverse(&key, &packet.key);
		conn = g_hash_table_lookup(callers->by_key, &key);
		if (conn && conn->phase != PHASE_DONE)
			take_answer(callers, conn, &packet,
				    clock_now(&callers->clock));
	}
}

static void make_connections(struct callers *callers,
			     const struct manifest *manifest, int64_t spread_ms,
			     int lines)
{
	callers->connections = g_new0(struct connection, callers->n);
	callers->by_key = g_hash_table_new(key_hash, key_equal);
	for (size_t i = 0; i < callers->n; i++) {
		struct connection *conn = &callers->connections[i];
		uint32_t ip = GUINT32_TO_BE(SUBNET_FIRST + (uint32_t)i / 200);

		conn->service = &manifest->services[i % manifest->n_services];
		ip_addr_from_v4(&conn->key.src, (const uint8_t *)&ip);
		conn->key.src_port = (uint16_t)(PORT_FIRST + i % 200);
		conn->key.dst = conn->service->address;
		conn->key.dst_port = (uint16_t)conn->service->port;
		conn->seq = g_rand_int(callers->rand);
		conn->todo = lines;
		conn->due_ms =
			clock_now(&callers->clock) +
			g_rand_int_range(callers->rand, 0, (int)spread_ms);
		g_hash_table_insert(callers->by_key, &conn->key, conn);
	}
	callers->open = callers->n;
}

static void run(struct callers *callers)
{
	struct pollfd pfd = {.fd = callers->fd, .events = POLLIN};
	unsigned int round = 0;

	while (callers->open) {
		int64_t now_ms = clock_now(&callers->clock);

		if (round++ % 10 == 0)
			read_balancers(callers);
		for (size_t i = 0; i < callers->n; i++)
			step(callers, &callers->connections[i], now_ms);
		poll(&pfd, 1, TICK_MS);
		receive_all(callers);
	}
}

static void print_table(const struct callers *callers)
{
	printf("connections opened          %zu\n"
	       "connections finished        %zu\n"
	       "connections broken          %zu\n"
	       "answers from wrong service  %zu\n"
	       "packets repeated            %zu\n",
	       callers->n, callers->finished, callers->broken,
	       callers->wrong_service, callers->retries);
}

int standin_callers(int argc, char **argv)
{
	char *listen = NULL, *file = NULL, *manifest_file = NULL;
	int n = 1000, spread_ms = 8000, lines = 10, gap_ms = 500, seed = 1;
	const GOptionEntry entries[] = {
		{"listen", 0, 0, G_OPTION_ARG_STRING, &listen,
		 "where answers arrive", "IP:PORT"},
		{"balancers", 0, 0, G_OPTION_ARG_FILENAME, &file,
		 "data addresses of the balancers, one a line", "FILE"},
		{"manifest", 0, 0, G_OPTION_ARG_FILENAME, &manifest_file,
		 "services to call", "FILE"},
		{"connections", 0, 0, G_OPTION_ARG_INT, &n, "how many", "N"},
		{"spread-ms", 0, 0, G_OPTION_ARG_INT, &spread_ms,
		 "time over which they open", "MS"},
		{"lines", 0, 0, G_OPTION_ARG_INT, &lines, "payloads of each",
		 "N"},
		{"gap-ms", 0, 0, G_OPTION_ARG_INT, &gap_ms,
		 "mean time between payloads", "MS"},
		{"seed", 0, 0, G_OPTION_ARG_INT, &seed, "random seed", "N"},
		{NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	GOptionContext *context = g_option_context_new("");
	struct callers callers = {0};
	struct manifest manifest;
	struct endpoint local;
	struct status status;

	status_init(&status);
	manifest_init(&manifest);
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) || !listen ||
	    !file || !manifest_file || !endpoint_parse(&local, listen)) {
		fprintf(stderr, "standin callers: see --help\n");
		return 2;
	}
	g_option_context_free(context);
	if (manifest_load(&manifest, manifest_file, &status) != STATUS_OK ||
	    udp_open(&local, &callers.fd, &status) != STATUS_OK) {
		fprintf(stderr, "%s\n", status.message);
		return 1;
	}
	clock_init_monotonic(&callers.clock);
	callers.rand = g_rand_new_with_seed((guint32)seed);
	callers.balancers_file = file;
	callers.n = (size_t)n;
	callers.gap_ms = gap_ms;
	make_connections(&callers, &manifest, spread_ms, lines);
	run(&callers);
	print_table(&callers);
	manifest_finish(&manifest);
	return callers.broken || callers.wrong_service;
}
