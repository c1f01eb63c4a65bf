#include <glib.h>
#include <string.h>

#include "tarragonflow/net/pacer.h"

#define PACKET_BYTES 1300
#define PACKET_MAX 1500

static const struct endpoint peer = {1, 1};

static enum pacer_result offer(struct pacer *pacer, size_t len, uint8_t tag,
			       int64_t now_ms)
{
	uint8_t head[4] = {tag, 1, 2, 3};
	uint8_t body[2 * PACKET_MAX] = {0};

	return pacer_offer(pacer, &peer, head, sizeof(head), body,
			   len - sizeof(head), now_ms);
}

/*
 * A burst as large as a TCP window: the send rate stays within that of the link
 * and its queue, no packet is lost, and the order is kept.
 */
static void test_burst(void)
{
	static const struct {
		int64_t kbit_per_s;
		unsigned int packets;
		/** Bounds of the time when the last packet is sent, ms. */
		int64_t min_ms, max_ms;
	} cases[] = {
		{0, 200, 0, 0},
		{1000 * 1000, 200, 0, 0},
		{20 * 1000, 16, 0, 2},
		/* The first four packets are sent at once: the link's own queue
		 * absorbs such a burst. */
		{2000, 16, 63, 95},
		{2000, 3, 0, 0},
		{1000, 16, 127, 190},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct pacer pacer;
		unsigned int sent = 0, sent_by_10_ms = 0;
		int64_t last_ms = 0;
		uint32_t dropped = 0;

		pacer_init(&pacer, cases[i].kbit_per_s, PACKET_MAX, 1000);
		for (unsigned int j = 0; j < cases[i].packets; j++) {
			enum pacer_result result =
				offer(&pacer, PACKET_BYTES, (uint8_t)j, 1000);

			g_assert_cmpint(result, !=, PACER_QUEUE_FULL);
			sent += result == PACER_SEND;
		}
		for (int64_t ms = 0; ms < 1000; ms++) {
			const struct pacer_packet *packet;

			while ((packet = pacer_next(&pacer, 1000 + ms,
						    &dropped))) {
				g_assert_cmpuint(packet->data[0], ==,
						 (uint8_t)sent);
				g_assert_cmpuint(packet->len, ==, PACKET_BYTES);
				sent++;
				last_ms = ms;
			}
			if (ms == 10)
				sent_by_10_ms = sent;
		}
		g_test_message("case %zu: %d ms", i, (int)last_ms);
		g_assert_cmpuint(sent, ==, cases[i].packets);
		g_assert_cmpuint(dropped, ==, 0);
		g_assert_cmpint(last_ms, >=, cases[i].min_ms);
		g_assert_cmpint(last_ms, <=, cases[i].max_ms);
		if (last_ms > 20)
			g_assert_cmpuint(sent_by_10_ms, <=,
					 cases[i].packets / 2);
		g_assert_cmpint(pacer_wait_ms(&pacer, 2000), ==, -1);
		pacer_finish(&pacer);
	}
}

/* Small packets are sent at once and use up tokens of large ones. */
static void test_small_first(void)
{
	struct pacer pacer;
	uint32_t dropped = 0;
	int n_large_sent = 0;

	pacer_init(&pacer, 2000, PACKET_MAX, 1000);
	for (int i = 0; i < 16; i++)
		offer(&pacer, PACKET_BYTES, 0, 1000);
	for (int64_t ms = 0; ms < 50; ms++) {
		/* Uses a tenth of the link's rate. */
		if (ms % 4 == 0)
			g_assert_cmpint(offer(&pacer, 72, 0, 1000 + ms), ==,
					PACER_SEND);
		while (pacer_next(&pacer, 1000 + ms, &dropped))
			n_large_sent++;
	}
	g_assert_cmpint(n_large_sent, >=, 5);
	g_assert_cmpint(n_large_sent, <=, 9);
	pacer_finish(&pacer);
}

/* Packets that can't be sent in time are dropped and counted. */
static void test_overload(void)
{
	struct pacer pacer;
	uint32_t dropped = 0;
	unsigned int n_full = 0, sent = 0, offered = 0;

	pacer_init(&pacer, 2000, PACKET_MAX, 1000);
	for (int64_t ms = 0; ms < 1000; ms++) {
		const struct pacer_packet *packet;

		for (int i = 0; i < 2; i++, offered++) {
			enum pacer_result result =
				offer(&pacer, PACKET_BYTES, 0, 1000 + ms);

			n_full += result == PACER_QUEUE_FULL;
			sent += result == PACER_SEND;
		}
		while ((packet = pacer_next(&pacer, 1000 + ms, &dropped))) {
			g_assert_cmpint(1000 + ms - packet->queued_ms, <=,
					PACER_QUEUE_MAX_MS);
			sent++;
		}
	}
	g_assert_cmpuint(n_full + dropped + sent + pacer.n_queued, ==, offered);
	/* The link stays busy: 2 Mbit/s carry 188 of these packets/s. */
	g_assert_cmpuint(sent, >=, 160);
	g_assert_cmpuint(sent, <=, 190);
	pacer_finish(&pacer);
}

/* Oversized packets, and a clock that goes backwards or jumps ahead. */
static void test_edge_cases(void)
{
	struct pacer pacer;
	uint32_t dropped = 0;

	pacer_init(&pacer, 1, PACKET_MAX, 1000);
	for (int i = 0; i < 8; i++)
		offer(&pacer, PACKET_BYTES, 0, 1000);
	g_assert_cmpuint(pacer.n_queued, >, 0);
	/* A packet too large for the queue is sent at once. */
	g_assert_cmpint(offer(&pacer, PACKET_MAX + 1, 0, 1000), ==, PACER_SEND);
	g_assert_null(pacer_next(&pacer, 900, &dropped));
	g_assert_cmpint(pacer_wait_ms(&pacer, 900), >, 0);
	for (int64_t s = 2; s < 1000 && pacer.n_queued; s++)
		g_assert_null(pacer_next(&pacer, 1000 * s, &dropped));
	g_assert_cmpuint(pacer.n_queued, ==, 0);
	g_assert_cmpuint(dropped, >, 0);
	pacer_finish(&pacer);
}

/* A process that stops sends all queued packets. */
static void test_flush(void)
{
	struct pacer pacer;
	uint32_t dropped = 0;
	unsigned int sent = 0;

	pacer_init(&pacer, 2000, PACKET_MAX, 1000);
	for (int i = 0; i < 100; i++)
		sent += offer(&pacer, PACKET_BYTES, 0, 1000) == PACER_SEND;
	g_assert_cmpuint(sent, <, 10);
	pacer_flush(&pacer);
	while (pacer_next(&pacer, 1001, &dropped))
		sent++;
	g_assert_cmpuint(sent, ==, 100);
	pacer_finish(&pacer);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pacer/burst", test_burst);
	g_test_add_func("/pacer/small-first", test_small_first);
	g_test_add_func("/pacer/overload", test_overload);
	g_test_add_func("/pacer/edge-cases", test_edge_cases);
	g_test_add_func("/pacer/stop", test_flush);
	return g_test_run();
}
