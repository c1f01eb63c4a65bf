#include "tarragonflow/commands/command.h"

enum status_code command_parse(const struct command *command,
			       const GOptionEntry *entries, int *argc,
			       char ***argv, int min, int max,
			       struct status *status)
{
	GOptionContext *context = g_option_context_new(command->arguments);
	GError *error = NULL;
	char *program;

	program = g_strdup_printf("tarragonflow %s", command->name);
	g_set_prgname(program);
	g_free(program);
	g_option_context_set_summary(context, command->summary);
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, argc, argv, &error)) {
		status_set(status, STATUS_USAGE, "%s", error->message);
		g_error_free(error);
	} else if (*argc - 1 < min || *argc - 1 > max) {
		status_set(status, STATUS_USAGE,
			   "found %d arguments, needs %s; see --help",
			   *argc - 1,
			   *command->arguments ? command->arguments : "none");
	}
	g_option_context_free(context);
	return status->code;
}
