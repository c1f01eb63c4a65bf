#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "tarragonflow/commands/command.h"
#include "tarragonflow/commands/fetch.h"
#include "tarragonflow/common/clock.h"

#define WATCH_INTERVAL_MS 1000

static const char *get_text(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "-";
}

static const char *state_colour(const char *state, bool colour)
{
	if (!colour)
		return "";
	if (!strcmp(state, "active") || !strcmp(state, "in"))
		return "\033[32m";
	return strcmp(state, "draining") == 0 ? "\033[33m" : "\033[31m";
}

static void print_state(const char *state, int width, bool colour)
{
	printf("%s%-*s%s ", state_colour(state, colour), width, state,
	       colour ? "\033[0m" : "");
}

static void print_zones(const json_t *root, bool colour)
{
	const json_t *zone;
	size_t i;

	printf("zones:");
	json_array_foreach(json_object_get(root, "zones"), i, zone)
	{
		printf(" %s ", get_text(zone, "name"));
		print_state(get_text(zone, "state"), 0, colour);
	}
	printf("\n");
}

static void print_members(const json_t *root, bool colour)
{
	const json_t *member;
	size_t i;

	printf("%-16s %-9s %-12s %-12s %-9s %s\n", "NAME", "ROLE", "ZONE",
	       "SERVICE", "STATE", "RELEASE");
	json_array_foreach(json_object_get(root, "members"), i, member)
	{
		printf("%-16s %-9s %-12s %-12s ", get_text(member, "name"),
		       get_text(member, "role"), get_text(member, "zone"),
		       get_text(member, "service"));
		print_state(get_text(member, "state"), 9, colour);
		printf("%lld\n", (long long)json_integer_value(
					 json_object_get(member, "release")));
	}
}

static void print_lagging(const json_t *root)
{
	const json_t *name;
	size_t i;

	json_array_foreach(json_object_get(root, "lagging"), i, name)
		printf("%s%s", i ? ", " : "lagging: ", json_string_value(name));
	if (json_array_size(json_object_get(root, "lagging")))
		printf("\n");
}

static void print_table(const json_t *root, bool colour)
{
	printf("deployment %s, release %lld, seen by %s\n",
	       get_text(root, "deployment"),
	       (long long)json_integer_value(json_object_get(root, "release")),
	       get_text(root, "name"));
	print_zones(root, colour);
	print_lagging(root);
	print_members(root, colour);
}

static enum status_code print_status(const char *admin, bool json, bool colour,
				     struct status *status)
{
	json_t *root = fetch_json(admin, "/v1/overview", status);

	if (!root)
		return status->code;
	if (json) {
		json_dumpf(root, stdout, JSON_INDENT(2));
		printf("\n");
	} else {
		print_table(root, colour);
	}
	json_decref(root);
	return STATUS_OK;
}

/* Prints the status every second, also while the process is unreachable. */
static void watch_status(const char *admin, bool json, bool colour)
{
	struct status status;

	for (;;) {
		status_init(&status);
		if (colour)
			printf("\033[H\033[2J");
		if (print_status(admin, json, colour, &status) != STATUS_OK)
			printf("%s\n", status.message);
		fflush(stdout);
		clock_sleep(WATCH_INTERVAL_MS);
	}
}

static enum status_code run_status(const struct command *command, int argc,
				   char **argv, struct status *status)
{
	bool colour = isatty(STDOUT_FILENO);
	char *admin = NULL;
	gboolean json = FALSE, repeat = FALSE;
	const GOptionEntry entries[] = {
		{"admin", 'a', 0, G_OPTION_ARG_STRING, &admin,
		 "admin address of any process", "IP:PORT"},
		{"json", 0, 0, G_OPTION_ARG_NONE, &json,
		 "print the document as JSON", NULL},
		{"watch", 'w', 0, G_OPTION_ARG_NONE, &repeat,
		 "show again every second, until interrupted", NULL},
		{NULL, 0, 0, 0, NULL, NULL, NULL},
	};

	if (command_parse(command, entries, &argc, &argv, 0, 0, status) !=
	    STATUS_OK)
		return status->code;
	if (!admin)
		return status_set(status, STATUS_USAGE,
				  "--admin IP:PORT is missing");
	if (repeat)
		watch_status(admin, json, colour);
	print_status(admin, json, colour, status);
	g_free(admin);
	return status->code;
}

const struct command command_status = {
	.name = "status",
	.arguments = "",
	.summary = "Show zones, members and the release in force",
	.run = run_status,
};
