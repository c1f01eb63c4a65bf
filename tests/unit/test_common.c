#include <glib.h>
#include <pthread.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/counter.h"
#include "tarragonflow/common/ring.h"
#include "tarragonflow/common/status.h"
#include "tarragonflow/common/str.h"

static void test_name_set(void)
{
	static const struct {
		const char *text;
		bool valid;
	} cases[] = {
		{"orders", true},
		{"tas-a", true},
		{"a.b.c-1", true},
		{"", false},
		{"Orders", false},
		{"a b", false},
		{"caf\xc3\xa9", false},
		{"a/b", false},
		{"abcdefghijklmnopqrstuvwxyz0123456789abcdefghijklmnopqrstuvwxyz",
		 true},
		{"abcdefghijklmnopqrstuvwxyz0123456789abcdefghijklmnopqrstuvwxyz1",
		 false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct name name;

		g_assert_cmpint(name_set(&name, str_from(cases[i].text)), ==,
				cases[i].valid);
		if (cases[i].valid)
			g_assert_true(str_equal(name_str(&name),
						str_from(cases[i].text)));
	}
}

static void test_strbuf(void)
{
	struct strbuf buf;

	strbuf_init(&buf);
	for (int i = 0; i < 1000; i++)
		strbuf_addf(&buf, "%d,", i % 10);
	g_assert_cmpuint(buf.len, ==, 2000);
	g_assert_true(buf.data[buf.len] == '\0');
	strbuf_add(&buf, "a\0b", 3);
	g_assert_cmpuint(buf.len, ==, 2003);
	strbuf_reset(&buf);
	g_assert_cmpuint(strbuf_str(&buf).len, ==, 0);
	strbuf_finish(&buf);
}

static void test_clock_manual(void)
{
	struct clock clock;

	clock_init_manual(&clock, 5);
	g_assert_cmpint(clock_now(&clock), ==, 5);
	clock_advance(&clock, 7);
	g_assert_cmpint(clock_now(&clock), ==, 12);
}

static void test_status(void)
{
	static const struct {
		enum status_code code;
		const char *name;
		int exit_code;
	} cases[] = {
		{STATUS_OK, "OK", 0},
		{STATUS_USAGE, "USAGE", 2},
		{STATUS_INVALID, "INVALID", 3},
		{STATUS_STALE, "STALE", 4},
		{STATUS_UNKNOWN, "UNKNOWN", 5},
		{STATUS_TIMEOUT, "TIMEOUT", 6},
		{STATUS_INTERNAL, "INTERNAL", 1},
	};
	struct status status;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		status_init(&status);
		g_assert_cmpint(status_set(&status, cases[i].code, "n=%d", 3),
				==, cases[i].code);
		g_assert_cmpstr(status.message, ==, "n=3");
		g_assert_cmpstr(status_name(cases[i].code), ==, cases[i].name);
		g_assert_cmpint(status_exit_code(cases[i].code), ==,
				cases[i].exit_code);
	}
}

#define RING_ITEMS 200000

static void *produce(void *arg)
{
	struct ring *ring = arg;

	for (uintptr_t i = 1; i <= RING_ITEMS; i++)
		while (!ring_push(ring, (void *)i))
			;
	return NULL;
}

static void test_ring_threads(void)
{
	struct ring ring;
	pthread_t thread;
	uintptr_t expected = 1;

	ring_init(&ring, 64);
	pthread_create(&thread, NULL, produce, &ring);
	while (expected <= RING_ITEMS) {
		uintptr_t item = (uintptr_t)ring_pop(&ring);

		if (!item)
			continue;
		g_assert_cmpuint(item, ==, expected);
		expected++;
	}
	pthread_join(thread, NULL);
	g_assert_null(ring_pop(&ring));
	ring_finish(&ring);
}

static void test_ring_full(void)
{
	struct ring ring;
	int item;

	ring_init(&ring, 4);
	for (int i = 0; i < 3; i++)
		g_assert_true(ring_push(&ring, &item));
	g_assert_false(ring_push(&ring, &item));
	g_assert_true(ring_pop(&ring) == &item);
	g_assert_true(ring_push(&ring, &item));
	ring_finish(&ring);
}

static void test_counters(void)
{
	struct counters counters;

	counters_init(&counters);
	counter_inc(&counters, COUNTER_DROP_HOP_BUDGET);
	counter_add(&counters, COUNTER_DROP_HOP_BUDGET, 4);
	g_assert_cmpuint(counter_get(&counters, COUNTER_DROP_HOP_BUDGET), ==,
			 5);
	g_assert_cmpuint(counter_get(&counters, COUNTER_PACKET_RECEIVED), ==,
			 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/common/name-set", test_name_set);
	g_test_add_func("/common/strbuf", test_strbuf);
	g_test_add_func("/common/clock-manual", test_clock_manual);
	g_test_add_func("/common/status", test_status);
	g_test_add_func("/common/ring-threads", test_ring_threads);
	g_test_add_func("/common/ring-full", test_ring_full);
	g_test_add_func("/common/counters", test_counters);
	return g_test_run();
}
