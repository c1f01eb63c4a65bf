#include <stdio.h>

#include "tarragonflow/commands/command.h"
#include "tarragonflow/manifest/manifest.h"
#include "tarragonflow/node/settings.h"

static enum status_code check_settings(const char *role, const char *path,
				       struct status *status)
{
	struct settings settings;

	if (!g_strcmp0(role, "balancer"))
		return settings_load(&settings, MEMBER_BALANCER, path, status);
	if (!g_strcmp0(role, "agent"))
		return settings_load(&settings, MEMBER_AGENT, path, status);
	return status_set(status, STATUS_USAGE,
			  "--settings: found \"%s\", allowed is balancer or "
			  "agent",
			  role);
}

static enum status_code check_manifest(const char *path, struct status *status)
{
	struct manifest manifest;

	manifest_init(&manifest);
	if (manifest_load(&manifest, path, status) == STATUS_OK)
		printf("%s: deployment %s, release %lld, %zu zones, "
		       "%zu services\n",
		       path, manifest.deployment.data,
		       (long long)manifest.release, manifest.n_zones,
		       manifest.n_services);
	manifest_finish(&manifest);
	return status->code;
}

static enum status_code run_check(const struct command *command, int argc,
				  char **argv, struct status *status)
{
	char *role = NULL;
	const GOptionEntry entries[] = {
		{"settings", 's', 0, G_OPTION_ARG_STRING, &role,
		 "FILE is the settings of a balancer or agent", "ROLE"},
		{NULL, 0, 0, 0, NULL, NULL, NULL},
	};

	if (command_parse(command, entries, &argc, &argv, 1, 1, status) !=
	    STATUS_OK)
		return status->code;
	if (role)
		check_settings(role, argv[1], status);
	else
		check_manifest(argv[1], status);
	g_free(role);
	return status->code;
}

const struct command command_check = {
	.name = "check",
	.arguments = "FILE",
	.summary = "Check a manifest, or settings, and change nothing",
	.run = run_check,
};
