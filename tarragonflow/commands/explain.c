#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tarragonflow/commands/command.h"

#define FILES_MAX 4096
#define VALUE_MAX 128

/* A log line about the connection sought. */
struct trace_line {
	long long at_ms;
	/* Index in the order read; sorts lines with equal times. */
	size_t read_index;
	/* Index of the file in argv. */
	int file_index;
	char *text;
};

/* Log lines about the connection sought, from all files. */
struct trace {
	/* Elements are struct trace_line. */
	GArray *lines;
	/* Member names by the ids that log lines use. */
	GHashTable *member_names;
};

/* Copies the value of @key, which ends in '=', to @out; false if absent. */
static bool get_value(const char *line, const char *key, char *out)
{
	const char *pos = line;
	size_t key_len = strlen(key), value_len;

	while ((pos = strstr(pos, key)) && pos != line && pos[-1] != ' ')
		pos += key_len;
	if (!pos)
		return false;
	value_len = strcspn(pos + key_len, " \n");
	if (value_len >= VALUE_MAX)
		return false;
	memcpy(out, pos + key_len, value_len);
	out[value_len] = '\0';
	return true;
}

static void add_member_name(struct trace *trace, const char *line)
{
	char id[VALUE_MAX], name[VALUE_MAX];

	if (get_value(line, "id=", id) && get_value(line, "name=", name))
		g_hash_table_replace(trace->member_names, g_strdup(id),
				     g_strdup(name));
}

static void add_line(struct trace *trace, const char *line, const char *id_part,
		     int file_index)
{
	struct trace_line entry = {.read_index = trace->lines->len,
				   .file_index = file_index};
	char value[VALUE_MAX];
	const char *start = strstr(line, "event=");

	if (!start)
		return;
	if (g_str_has_prefix(start, "event=member "))
		add_member_name(trace, start);
	if (!g_str_has_prefix(start, "event=conn ") ||
	    !get_value(start, "id=", value) || !strstr(value, id_part))
		return;
	if (get_value(start, "at_ms=", value))
		entry.at_ms = strtoll(value, NULL, 10);
	entry.text = g_strchomp(g_strdup(start));
	g_array_append_val(trace->lines, entry);
}

static enum status_code read_log(struct trace *trace, const char *path,
				 const char *id_part, int file_index,
				 struct status *status)
{
	FILE *in = fopen(path, "r");
	char *line = NULL;
	size_t cap = 0;

	if (!in)
		return status_set(status, STATUS_IO, "%s: cannot be read",
				  path);
	while (getline(&line, &cap, in) >= 0)
		add_line(trace, line, id_part, file_index);
	free(line);
	fclose(in);
	return STATUS_OK;
}

static int compare_lines(gconstpointer a, gconstpointer b)
{
	const struct trace_line *x = a, *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->read_index < y->read_index ? -1 : 1;
}

static void print_trace(const struct trace *trace, char **files)
{
	for (guint i = 0; i < trace->lines->len; i++) {
		const struct trace_line *entry =
			&g_array_index(trace->lines, struct trace_line, i);
		char *file_name = g_path_get_basename(files[entry->file_index]);
		char id[VALUE_MAX] = "";
		const char *name = NULL;

		if (get_value(entry->text, "member=", id))
			name = g_hash_table_lookup(trace->member_names, id);
		printf("%s: %s%s%s\n", file_name, entry->text,
		       name ? " member_name=" : "", name ? name : "");
		g_free(file_name);
		g_free(entry->text);
	}
}

static enum status_code run_explain(const struct command *command, int argc,
				    char **argv, struct status *status)
{
	const GOptionEntry entries[] = {
		{NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	struct trace trace;

	if (command_parse(command, entries, &argc, &argv, 2, FILES_MAX,
			  status) != STATUS_OK)
		return status->code;
	trace.lines = g_array_new(FALSE, FALSE, sizeof(struct trace_line));
	trace.member_names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (int i = 2; i < argc && status->code == STATUS_OK; i++)
		read_log(&trace, argv[i], argv[1], i, status);
	g_array_sort(trace.lines, compare_lines);
	if (status->code == STATUS_OK && !trace.lines->len)
		status_set(status, STATUS_NOT_FOUND,
			   "ID: no log line of a connection with \"%s\"",
			   argv[1]);
	print_trace(&trace, argv);
	g_array_free(trace.lines, TRUE);
	g_hash_table_unref(trace.member_names);
	return status->code;
}

const struct command command_explain = {
	.name = "explain",
	.arguments = "ID FILE...",
	.summary = "Follow one connection through the logs of all processes",
	.run = run_explain,
};
