#include <stdio.h>

#include "tarragonflow/commands/command.h"
#include "tarragonflow/commands/fetch.h"

static const char *text_of(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "-";
}

static void print_table(const json_t *root)
{
	const json_t *members = json_object_get(root, "members");
	const json_t *member;
	size_t i;

	printf("deployment %s, release %lld, seen by %s\n",
	       text_of(root, "deployment"),
	       (long long)json_integer_value(json_object_get(root, "release")),
	       text_of(root, "name"));
	printf("%-16s %-9s %-12s %-12s %-9s %s\n", "NAME", "ROLE", "ZONE",
	       "SERVICE", "STATE", "RELEASE");
	json_array_foreach(members, i, member) printf(
		"%-16s %-9s %-12s %-12s %-9s %lld\n", text_of(member, "name"),
		text_of(member, "role"), text_of(member, "zone"),
		text_of(member, "service"), text_of(member, "state"),
		(long long)json_integer_value(
			json_object_get(member, "release")));
}

static enum status_code run_status(const struct command *command, int argc,
				   char **argv, struct status *status)
{
	char *admin = NULL;
	gboolean json = FALSE;
	const GOptionEntry entries[] = {
		{"admin", 'a', 0, G_OPTION_ARG_STRING, &admin,
		 "admin address of any process", "IP:PORT"},
		{"json", 0, 0, G_OPTION_ARG_NONE, &json,
		 "print the document as JSON", NULL},
		{NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	json_t *root;

	if (command_parse(command, entries, &argc, &argv, 0, 0, status) !=
	    STATUS_OK)
		return status->code;
	if (!admin)
		return status_set(status, STATUS_USAGE,
				  "--admin IP:PORT is missing");
	root = fetch_json(admin, "/v1/status", status);
	g_free(admin);
	if (!root)
		return status->code;
	if (json) {
		json_dumpf(root, stdout, JSON_INDENT(2));
		printf("\n");
	} else {
		print_table(root);
	}
	json_decref(root);
	return STATUS_OK;
}

const struct command command_status = {
	.name = "status",
	.arguments = "",
	.summary = "Show members and the release in force",
	.run = run_status,
};
