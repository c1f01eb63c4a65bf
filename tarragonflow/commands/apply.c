#include <stdio.h>
#include <string.h>

#include "tarragonflow/commands/command.h"
#include "tarragonflow/manifest/apply.h"
#include "tarragonflow/store/http_store.h"

static enum status_code run_apply(const struct command *command, int argc,
				  char **argv, struct status *status)
{
	char *url = NULL, *applied_by = NULL;
	const GOptionEntry entries[] = {
		{"platform", 'p', 0, G_OPTION_ARG_STRING, &url,
		 "URL of the platform's object API", "URL"},
		{"by", 'b', 0, G_OPTION_ARG_STRING, &applied_by,
		 "who applies it, default the user's name", "NAME"},
		{NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	struct manifest manifest;
	struct http_store http;

	if (command_parse(command, entries, &argc, &argv, 1, 1, status) !=
	    STATUS_OK)
		return status->code;
	if (!url)
		return status_set(status, STATUS_USAGE,
				  "--platform URL is missing");
	manifest_init(&manifest);
	if (manifest_load(&manifest, argv[1], status) == STATUS_OK) {
		http_store_init(&http, url, &http_dialect_native, NULL);
		manifest_apply(&http.store, &manifest,
			       applied_by ? applied_by : g_get_user_name(),
			       status);
		http_store_finish(&http);
	}
	if (status->code == STATUS_OK)
		printf("release %lld of %s accepted\n",
		       (long long)manifest.release, manifest.deployment.data);
	manifest_finish(&manifest);
	g_free(url);
	g_free(applied_by);
	return status->code;
}

const struct command command_apply = {
	.name = "apply",
	.arguments = "MANIFEST",
	.summary = "Check a manifest and put it in force",
	.run = run_apply,
};
