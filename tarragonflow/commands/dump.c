#include <stdio.h>

#include "tarragonflow/commands/command.h"
#include "tarragonflow/manifest/manifest.h"
#include "tarragonflow/platform/http_platform.h"

static enum status_code dump_prefix(struct platform *platform,
				    const char *prefix, struct status *status)
{
	struct platform_request request;
	struct platform_result result;

	platform_request_init(&request, PLATFORM_OP_LIST, prefix);
	request.timeout_ms = 3000;
	platform->call(platform, &request, &result);
	*status = result.status;
	for (size_t i = 0; i < result.n_objects; i++)
		printf("%s version=%lld\n%s\n", result.objects[i].key,
		       (long long)result.objects[i].version,
		       strbuf_str(&result.objects[i].value).data);
	platform_result_finish(&result);
	platform_request_finish(&request);
	return status->code;
}

static enum status_code run_dump(const struct command *command, int argc,
				 char **argv, struct status *status)
{
	char *url = NULL;
	const GOptionEntry entries[] = {
		{"platform", 'p', 0, G_OPTION_ARG_STRING, &url,
		 "URL of the platform's object API", "URL"},
		{NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	char prefix[PLATFORM_KEY_MAX];
	struct http_platform http;
	struct name deployment;

	if (command_parse(command, entries, &argc, &argv, 1, 1, status) !=
	    STATUS_OK)
		return status->code;
	if (!url)
		return status_set(status, STATUS_USAGE,
				  "--platform URL is missing");
	if (!name_set(&deployment, str_from(argv[1])))
		return status_set(status, STATUS_USAGE,
				  "DEPLOYMENT: found \"%s\", allowed is a "
				  "name",
				  argv[1]);
	snprintf(prefix, sizeof(prefix), "tarragonflow/%s/", deployment.data);
	http_platform_init(&http, url, NULL);
	dump_prefix(&http.platform, prefix, status);
	http_platform_finish(&http);
	g_free(url);
	return status->code;
}

const struct command command_dump = {
	.name = "dump",
	.arguments = "DEPLOYMENT",
	.summary = "Print what the platform holds of a deployment",
	.run = run_dump,
};
