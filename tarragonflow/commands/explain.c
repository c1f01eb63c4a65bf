#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tarragonflow/commands/command.h"

#define FILES_MAX 4096
#define WORD_MAX 128

/** A line on the wanted connection. */
struct found {
	long long at_ms;
	/** Order of reading, for lines of the same time. */
	size_t order;
	/** Index of the file. */
	int file;
	char *text;
};

/** What is read from all files. */
struct trail {
	GArray *lines;
	/** Names of members by their identifiers in the lines. */
	GHashTable *names;
};

/* Copies the value of `key=` in @line into @out; false when it has none. */
static bool word_of(const char *line, const char *key, char *out)
{
	const char *at = line;
	size_t len = strlen(key), n;

	while ((at = strstr(at, key)) && at != line && at[-1] != ' ')
		at += len;
	if (!at)
		return false;
	n = strcspn(at + len, " \n");
	if (n >= WORD_MAX)
		return false;
	memcpy(out, at + len, n);
	out[n] = '\0';
	return true;
}

static void take_name(struct trail *trail, const char *line)
{
	char id[WORD_MAX], name[WORD_MAX];

	if (word_of(line, "id=", id) && word_of(line, "name=", name))
		g_hash_table_replace(trail->names, g_strdup(id),
				     g_strdup(name));
}

static void take_line(struct trail *trail, const char *line, const char *wanted,
		      int file)
{
	struct found found = {.order = trail->lines->len, .file = file};
	char word[WORD_MAX];
	const char *start = strstr(line, "event=");

	if (!start)
		return;
	if (g_str_has_prefix(start, "event=member "))
		take_name(trail, start);
	if (!g_str_has_prefix(start, "event=conn ") ||
	    !word_of(start, "id=", word) || !strstr(word, wanted))
		return;
	if (word_of(start, "at_ms=", word))
		found.at_ms = strtoll(word, NULL, 10);
	found.text = g_strchomp(g_strdup(start));
	g_array_append_val(trail->lines, found);
}

static enum status_code read_log(struct trail *trail, const char *path,
				 const char *wanted, int file,
				 struct status *status)
{
	FILE *in = fopen(path, "r");
	char *line = NULL;
	size_t cap = 0;

	if (!in)
		return status_set(status, STATUS_IO, "%s: cannot be read",
				  path);
	while (getline(&line, &cap, in) >= 0)
		take_line(trail, line, wanted, file);
	free(line);
	fclose(in);
	return STATUS_OK;
}

static int found_order(gconstpointer a, gconstpointer b)
{
	const struct found *x = a, *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->order < y->order ? -1 : 1;
}

static void print_trail(const struct trail *trail, char **files)
{
	for (guint i = 0; i < trail->lines->len; i++) {
		const struct found *found =
			&g_array_index(trail->lines, struct found, i);
		char *base = g_path_get_basename(files[found->file]);
		char id[WORD_MAX] = "";
		const char *name = NULL;

		if (word_of(found->text, "member=", id))
			name = g_hash_table_lookup(trail->names, id);
		printf("%s: %s%s%s\n", base, found->text,
		       name ? " member_name=" : "", name ? name : "");
		g_free(base);
		g_free(found->text);
	}
}

static enum status_code run_explain(const struct command *command, int argc,
				    char **argv, struct status *status)
{
	const GOptionEntry entries[] = {
		{NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	struct trail trail;

	if (command_parse(command, entries, &argc, &argv, 2, FILES_MAX,
			  status) != STATUS_OK)
		return status->code;
	trail.lines = g_array_new(FALSE, FALSE, sizeof(struct found));
	trail.names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (int i = 2; i < argc && status->code == STATUS_OK; i++)
		read_log(&trail, argv[i], argv[1], i, status);
	g_array_sort(trail.lines, found_order);
	if (status->code == STATUS_OK && !trail.lines->len)
		status_set(status, STATUS_NOT_FOUND,
			   "ID: no line on a connection with \"%s\"", argv[1]);
	print_trail(&trail, argv);
	g_array_free(trail.lines, TRUE);
	g_hash_table_unref(trail.names);
	return status->code;
}

const struct command command_explain = {
	.name = "explain",
	.arguments = "ID FILE...",
	.summary = "Follow one connection through the logs of all processes",
	.run = run_explain,
};
