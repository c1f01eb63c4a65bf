#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "tarragonflow/commands/command.h"

#ifndef TARRAGONFLOW_VERSION
#define TARRAGONFLOW_VERSION "unknown"
#endif

static const struct command *const commands[] = {
	&command_balancer, &command_agent,   &command_check,
	&command_apply,	   &command_status,  &command_wait,
	&command_dump,	   &command_explain, &command_where,
};

static void print_usage(FILE *out)
{
	fprintf(out, "usage: tarragonflow COMMAND [OPTION...]\n"
		     "       tarragonflow --help | --version\n\n"
		     "Commands:\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-10s %s\n", commands[i]->name,
			commands[i]->summary);
	fprintf(out, "\n'tarragonflow COMMAND --help' explains a command.\n");
}

static int run_command(const struct command *command, int argc, char **argv)
{
	struct status status;
	enum status_code code;

	status_init(&status);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	code = command->run(command, argc, argv, &status);
	curl_global_cleanup();
	if (code != STATUS_OK)
		fprintf(stderr, "tarragonflow %s: %s: %s\n", command->name,
			status_name(code),
			*status.message ? status.message : status_text(code));
	return status_exit_code(code);
}

int main(int argc, char **argv)
{
	if (argc < 2) {
		print_usage(stderr);
		return status_exit_code(STATUS_USAGE);
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h")) {
		print_usage(stdout);
		return 0;
	}
	if (!strcmp(argv[1], "--version")) {
		printf("tarragonflow %s\n", TARRAGONFLOW_VERSION);
		return 0;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(argv[1], commands[i]->name))
			return run_command(commands[i], argc - 1, argv + 1);
	fprintf(stderr, "tarragonflow: no command '%s'\n", argv[1]);
	print_usage(stderr);
	return status_exit_code(STATUS_USAGE);
}
