#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tarragonflow/common/counter.h"
#include "tarragonflow/common/status.h"
#include "tarragonflow/manifest/manifest.h"
#include "tarragonflow/net/decision.h"
#include "tarragonflow/node/settings.h"

/* The pages list what the code has; run from the source folder. */

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
	return g_test_run();
}
