#include <glib.h>
#include <string.h>

/*
 * Checks that the --help, man page and shell completion of each command name
 * the same options. TARRAGONFLOW is the program, SOURCE_ROOT the source folder.
 */

static char *run_command(const char *command, const char *option)
{
	const char *argv[] = {g_getenv("TARRAGONFLOW"), command, option, NULL};
	GError *error = NULL;
	char *out = NULL;
	int code = -1;

	g_spawn_sync(NULL, (char **)argv, NULL, G_SPAWN_DEFAULT, NULL, NULL,
		     &out, NULL, &code, &error);
	g_assert_no_error(error);
	g_assert_cmpint(code, ==, 0);
	return out;
}

static char *read_source(const char *name)
{
	char *path = g_build_filename(g_getenv("SOURCE_ROOT"), name, NULL);
	GError *error = NULL;
	char *text = NULL;

	g_file_get_contents(path, &text, NULL, &error);
	g_assert_no_error(error);
	g_free(path);
	return text;
}

static int compare_names(gconstpointer a, gconstpointer b)
{
	return g_strcmp0(*(char *const *)a, *(char *const *)b);
}

/* The distinct words --NAME of @text, sorted, without the dashes. */
static char *list_options(const char *text)
{
	GRegex *regex = g_regex_new("--([a-z][a-z-]*)", 0, 0, NULL);
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GMatchInfo *match;
	GString *out = g_string_new(NULL);

	g_regex_match(regex, text, 0, &match);
	while (g_match_info_matches(match)) {
		char *name = g_match_info_fetch(match, 1);

		if (g_ptr_array_find_with_equal_func(names, name, g_str_equal,
						     NULL))
			g_free(name);
		else
			g_ptr_array_add(names, name);
		g_match_info_next(match, NULL);
	}
	g_ptr_array_sort(names, compare_names);
	for (guint i = 0; i < names->len; i++)
		g_string_append_printf(out, "%s ",
				       (char *)g_ptr_array_index(names, i));
	g_match_info_free(match);
	g_regex_unref(regex);
	g_ptr_array_unref(names);
	return g_string_free(out, FALSE);
}

/* Copies @text from the first @from up to the next @to. */
static char *copy_section(const char *text, const char *from, const char *to)
{
	const char *start = strstr(text, from);
	const char *end;

	g_assert_nonnull(start);
	end = strstr(start, to);
	g_assert_nonnull(end);
	return g_strndup(start, (gsize)(end - start));
}

static void check_command(const char *name, const char *completion)
{
	char *file =
		g_strdup_printf("tarragonflow/man/tarragonflow-%s.1.scd", name);
	char *case_label = g_strdup_printf("\n\t%s)\n", name);
	char *help = run_command(name, "--help"), *page = read_source(file);
	char *page_options = copy_section(page, "# OPTIONS", "# EXIT STATUS");
	char *completion_case = copy_section(completion, case_label, ";;");
	char *help_names = list_options(help),
	     *page_names = list_options(page_options);
	char *completion_names = list_options(completion_case);

	g_test_message("%s", name);
	g_assert_cmpstr(help_names, ==, page_names);
	g_assert_cmpstr(help_names, ==, completion_names);
	g_free(file);
	g_free(case_label);
	g_free(help);
	g_free(page);
	g_free(page_options);
	g_free(completion_case);
	g_free(help_names);
	g_free(page_names);
	g_free(completion_names);
}

/* Checks each command that `tarragonflow --help` lists. */
static void test_commands(void)
{
	char *completion =
		read_source("tarragonflow/completion/tarragonflow.bash");
	char *page = read_source("tarragonflow/man/tarragonflow.1.scd");
	char *usage = run_command("--help", NULL);
	char *list = copy_section(usage, "Commands:\n", "\n\n");
	char **lines = g_strsplit(list, "\n", 0);
	unsigned int n = 0;

	for (int i = 1; lines[i]; i++) {
		char **words = g_strsplit(g_strstrip(lines[i]), " ", 2);
		char *entry = g_strdup_printf("\n*%s*\n", words[0]);

		g_assert_nonnull(strstr(page, entry));
		check_command(words[0], completion);
		n++;
		g_free(entry);
		g_strfreev(words);
	}
	g_assert_cmpuint(n, >=, 7);
	g_strfreev(lines);
	g_free(list);
	g_free(usage);
	g_free(page);
	g_free(completion);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pages/commands", test_commands);
	return g_test_run();
}
