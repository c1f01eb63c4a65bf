#ifndef TARRAGONFLOW_COMMANDS_COMMAND_H
#define TARRAGONFLOW_COMMANDS_COMMAND_H

#include <glib.h>

#include "tarragonflow/common/status.h"

/** A sub-command; main.c selects one by name. */
struct command {
	const char *name;
	/** Positional arguments shown in usage, such as "MANIFEST". */
	const char *arguments;
	/** One-line description shown in usage. */
	const char *summary;
	/**
	 * Runs the command; @argv[0] is its name. The returned code is also in
	 * @status and determines the exit code of the process.
	 */
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
extern const struct command command_where;

/**
 * Parses the options @entries with GLib, removes them from @argv and checks
 * that @min to @max positional arguments remain. STATUS_USAGE on a wrong
 * command line. --help prints the usage and exits the process.
 */
enum status_code command_parse(const struct command *command,
			       const GOptionEntry *entries, int *argc,
			       char ***argv, int min, int max,
			       struct status *status);

#endif
