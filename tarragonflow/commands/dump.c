#include <stdio.h>

#include "tarragonflow/commands/command.h"
#include "tarragonflow/manifest/manifest.h"
#include "tarragonflow/store/http_store.h"

#define LIST_TIMEOUT_MS 3000

static enum status_code dump_prefix(struct object_store *store,
				    const char *prefix, struct status *status)
{
	struct store_request request;
	struct store_result result;

	store_request_init(&request, STORE_OP_LIST, prefix);
	request.timeout_ms = LIST_TIMEOUT_MS;
	store->call(store, &request, &result);
	*status = result.status;
	for (size_t i = 0; i < result.n_objects; i++)
		printf("%s version=%lld\n%s\n", result.objects[i].key,
		       (long long)result.objects[i].version,
		       strbuf_str(&result.objects[i].value).data);
	store_result_finish(&result);
	store_request_finish(&request);
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
	char prefix[STORE_KEY_MAX];
	struct http_store http;
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
	http_store_init(&http, url, &http_dialect_native, NULL);
	dump_prefix(&http.store, prefix, status);
	http_store_finish(&http);
	g_free(url);
	return status->code;
}

const struct command command_dump = {
	.name = "dump",
	.arguments = "DEPLOYMENT",
	.summary = "Print what the platform holds of a deployment",
	.run = run_dump,
};
