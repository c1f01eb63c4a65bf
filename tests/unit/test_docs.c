#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tarragonflow/common/counter.h"
#include "tarragonflow/common/status.h"
#include "tarragonflow/manifest/manifest.h"
#include "tarragonflow/net/decision.h"
#include "tarragonflow/node/settings.h"

/*
 * The pages in docs/ list exactly the counters, log events, status codes,
 * decisions and fields of the code. SOURCE_ROOT names the source folder.
 */

static char *read_page(const char *name)
{
	char *path =
		g_build_filename(g_getenv("SOURCE_ROOT"), "docs", name, NULL);
	GError *error = NULL;
	char *text = NULL;

	g_file_get_contents(path, &text, NULL, &error);
	g_assert_no_error(error);
	g_free(path);
	return text;
}

static unsigned int count_rows(const char *page)
{
	char **lines = g_strsplit(page, "\n", 0);
	unsigned int n = 0;

	for (int i = 0; lines[i]; i++)
		n += g_str_has_prefix(lines[i], "| `");
	g_strfreev(lines);
	return n;
}

static void assert_row(const char *page, const char *name)
{
	char *row = g_strdup_printf("\n| `%s` |", name);

	if (!strstr(page, row))
		g_error("no row for `%s`", name);
	g_free(row);
}

/* Adds the names of all events that the source @text logs to @events. */
static void find_events(const char *text, GHashTable *events)
{
	GRegex *call_regex = g_regex_new("log_event\\([^;]*;", 0, 0, NULL);
	GRegex *name_regex = g_regex_new("\"([a-z]+(-[a-z]+)*)\"", 0, 0, NULL);
	GMatchInfo *calls, *names;

	g_regex_match(call_regex, text, 0, &calls);
	for (; g_match_info_matches(calls); g_match_info_next(calls, NULL)) {
		char *call_text = g_match_info_fetch(calls, 0);

		g_regex_match(name_regex, call_text, 0, &names);
		for (; g_match_info_matches(names);
		     g_match_info_next(names, NULL))
			g_hash_table_add(events, g_match_info_fetch(names, 1));
		g_match_info_free(names);
		g_free(call_text);
	}
	g_match_info_free(calls);
	g_regex_unref(name_regex);
	g_regex_unref(call_regex);
}

static void find_events_in_folder(const char *folder, GHashTable *events)
{
	char *path = g_build_filename(g_getenv("SOURCE_ROOT"), folder, NULL);
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *file;

	g_assert_nonnull(dir);
	while ((file = g_dir_read_name(dir))) {
		char *source = g_build_filename(path, file, NULL);
		char *text = NULL;

		if (g_str_has_suffix(file, ".c") &&
		    g_file_get_contents(source, &text, NULL, NULL))
			find_events(text, events);
		g_free(text);
		g_free(source);
	}
	g_dir_close(dir);
	g_free(path);
}

static void test_logs(void)
{
	static const char *const folders[] = {
		"admin",
		"admit",
		"control",
		"flow",
		"manifest",
		"net",
		"node",
		"order",
		"platform",
		"roster",
		"route",
		"store",
		"tarragonflow/commands",
	};
	GHashTable *events =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	char *page = read_page("LOGS.md");
	GHashTableIter iter;
	gpointer event;

	for (size_t i = 0; i < G_N_ELEMENTS(folders); i++)
		find_events_in_folder(folders[i], events);
	g_hash_table_iter_init(&iter, events);
	while (g_hash_table_iter_next(&iter, &event, NULL))
		assert_row(page, event);
	g_assert_cmpuint(count_rows(page), ==, g_hash_table_size(events));
	g_hash_table_unref(events);
	g_free(page);
}

static void test_counters(void)
{
	char *page = read_page("COUNTERS.md");

	for (int i = 0; i < COUNTER_COUNT; i++)
		assert_row(page, counter_name((enum counter_id)i));
	g_assert_cmpuint(count_rows(page), ==, COUNTER_COUNT);
	g_free(page);
}

static void test_status_codes(void)
{
	static const struct {
		enum status_code code;
		const char *text;
	} codes[] = {
#define CODE_ROW(name, number, text) {STATUS_##name, text},
		STATUS_LIST(CODE_ROW)
#undef CODE_ROW
	};
	char *page = read_page("STATUS-CODES.md");

	for (size_t i = 0; i < G_N_ELEMENTS(codes); i++) {
		char *row = g_strdup_printf(
			"\n| `%s` | %d | %d | %s |", status_name(codes[i].code),
			(int)codes[i].code, status_exit_code(codes[i].code),
			codes[i].text);

		if (!strstr(page, row))
			g_error("no row '%s'", row);
		g_free(row);
	}
	g_assert_cmpuint(count_rows(page), ==, G_N_ELEMENTS(codes));
	g_free(page);
}

static void test_decisions(void)
{
	char *page = read_page("OPERATIONS.md");

	for (int i = 0; i < DECISION_COUNT; i++)
		assert_row(page, decision_name((enum decision_kind)i));
	g_free(page);
}

static void test_fields(void)
{
	const struct {
		const struct field *fields;
		size_t n;
	} tables[] = {
		{settings_fields, settings_n_fields},
		{settings_agent_fields, settings_n_agent_fields},
		{manifest_fields, manifest_n_fields},
		{manifest_zone_fields, manifest_n_zone_fields},
		{manifest_service_fields, manifest_n_service_fields},
		{manifest_route_fields, manifest_n_route_fields},
		{manifest_backend_fields, manifest_n_backend_fields},
	};
	char *page = read_page("SETTINGS.md");
	size_t n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++)
		for (size_t j = 0; j < tables[i].n; j++, n++)
			assert_row(page, tables[i].fields[j].name);
	g_assert_cmpuint(count_rows(page), ==, n);
	g_free(page);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/docs/counters", test_counters);
	g_test_add_func("/docs/status-codes", test_status_codes);
	g_test_add_func("/docs/decisions", test_decisions);
	g_test_add_func("/docs/fields", test_fields);
	g_test_add_func("/docs/logs", test_logs);
	return g_test_run();
}
