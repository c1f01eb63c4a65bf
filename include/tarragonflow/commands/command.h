#ifndef TARRAGONFLOW_COMMANDS_COMMAND_H
#define TARRAGONFLOW_COMMANDS_COMMAND_H

#include <glib.h>

#include "tarragonflow/common/status.h"

/** One sub-command; main.c dispatches from a table of these. */
struct command {
	const char *name;
	/** Shown after the name in usage, such as "MANIFEST". */
	const char *arguments;
	const char *summary;
	/** @argv[0] is the command's name. The result is the exit code. */
	enum status_code (*run)(const struct command *command, int argc,
				char **argv, struct status *status);
};

extern const struct command command_balancer;
extern const struct command command_agent;
extern const struct command command_check;
extern const struct command command_apply;
extern const struct command command_status;
extern const struct command command_wait;
extern const struct command command_dump;
extern const struct command command_explain;

/**
 * Parses options by GLib and checks that @min to @max other arguments are
 * left. STATUS_USAGE on a wrong command line. --help prints and exits.
 */
enum status_code command_parse(const struct command *command,
			       const GOptionEntry *entries, int *argc,
			       char ***argv, int min, int max,
			       struct status *status);

#endif
