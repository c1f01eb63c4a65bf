#include <glib.h>
#include <pthread.h>

#include "tarragonflow/common/json_scan.h"
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

static void test_json_scan_object(void)
{
	/** An object, and the text of its member "a"; NULL when malformed. */
	static const struct {
		const char *text, *a;
	} cases[] = {
		{"{}", ""},
		{" { } ", ""},
		{"{\"a\":1}", "1"},
		{"{ \"a\" : 1 , \"b\" : 2 }", "1"},
		{"{\"b\":{\"a\":2}}", ""},
		{"{\"a\":1,\"a\":2}", "2"},
		{"{\"a\":[1,{\"a\":2}]}", "[1,{\"a\":2}]"},
		{"{\"a\":\"\\\"}\"}", "\"\\\"}\""},
		{"{\"a\":\"\\\\\"}", "\"\\\\\""},
		{"{\"\\\"\":{},\"a\":\xff}", "\xff"},
		{"", NULL},
		{"[]", NULL},
		{"{", NULL},
		{"{\"a\":1", NULL},
		{"{\"a\":}", NULL},
		{"{\"a\"}", NULL},
		{"{\"a\":1,}", NULL},
		{"{\"a\":1 \"b\":2}", NULL},
		{"{\"a\":1} 2", NULL},
		{"{\"a\":\"}", NULL},
		{"{a:1}", NULL},
		{"{\"a\":1]", NULL},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct json_part part = {.name = "a"};

		g_test_message("case %zu", i);
		g_assert_cmpint(
			json_scan_object(str_from(cases[i].text), &part, 1), ==,
			cases[i].a != NULL);
		if (cases[i].a)
			g_assert_cmpmem(part.value.data, part.value.len,
					cases[i].a, strlen(cases[i].a));
	}
}

static void test_json_scan_array(void)
{
	/** An array and its elements, joined by '|'; NULL when malformed. */
	static const struct {
		const char *text, *elements;
	} cases[] = {
		{"[]", ""},
		{" [ ] ", ""},
		{"[1]", "1|"},
		{"[ 1 , [2,3] , \"4,5\" ]", "1|[2,3]|\"4,5\"|"},
		{"[{\"a\":[]},\xff,null]", "{\"a\":[]}|\xff|null|"},
		{"", NULL},
		{"{}", NULL},
		{"[1", NULL},
		{"[1,]", NULL},
		{"[,]", NULL},
		{"[,1]", NULL},
		{"[1 2]", NULL},
		{"[1] 2", NULL},
		{"[[1]", NULL},
		{"[\"]", NULL},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *elements = g_string_new(NULL);
		struct json_array array;
		struct str element;

		g_test_message("case %zu", i);
		g_assert_cmpint(
			json_array_scan(&array, str_from(cases[i].text)), ==,
			cases[i].elements != NULL);
		while (cases[i].elements && json_array_next(&array, &element)) {
			g_string_append_len(elements, element.data,
					    (gssize)element.len);
			g_string_append_c(elements, '|');
		}
		if (cases[i].elements)
			g_assert_cmpstr(elements->str, ==, cases[i].elements);
		g_string_free(elements, TRUE);
	}
}

/* A value is parsed unless its nesting would exhaust a thread's stack. */
static void test_json_scan_nesting(void)
{
	static const struct {
		size_t depth;
		bool valid;
	} cases[] = {
		{1, true},
		{JSON_NESTING_MAX, true},
		{JSON_NESTING_MAX + 1, false},
		{1000000, false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *text = g_string_new(NULL);
		struct status status;
		json_t *value;

		for (size_t j = 0; j < cases[i].depth; j++)
			g_string_append_c(text, '[');
		for (size_t j = 0; j < cases[i].depth; j++)
			g_string_append_c(text, ']');
		value = json_scan_parse((struct str){text->str, text->len},
					&status);
		g_assert_cmpint(value != NULL, ==, cases[i].valid);
		json_decref(value);
		/* Without its end. */
		value = json_scan_parse((struct str){text->str, cases[i].depth},
					&status);
		g_assert_null(value);
		g_string_free(text, TRUE);
	}
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
	g_test_add_func("/common/json-scan-object", test_json_scan_object);
	g_test_add_func("/common/json-scan-array", test_json_scan_array);
	g_test_add_func("/common/json-scan-nesting", test_json_scan_nesting);
	return g_test_run();
}
