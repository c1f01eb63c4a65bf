#include <stdio.h>
#include <string.h>

#include "tarragonflow/commands/command.h"
#include "tarragonflow/commands/fetch.h"
#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/str.h"

#define MS_PER_S 1000
#define POLL_INTERVAL_MS 200
#define DEFAULT_TIMEOUT_S 30

static bool member_lags(const json_t *member, int64_t release)
{
	const char *state = json_string_value(json_object_get(member, "state"));

	if (!state || !strcmp(state, "left"))
		return false;
	return json_integer_value(json_object_get(member, "release")) < release;
}

/* Lists the members that have not reported @release; returns their number. */
static size_t list_lagging(const json_t *root, int64_t release,
			   struct strbuf *names)
{
	const json_t *member;
	size_t i, n_lagging = 0;

	strbuf_reset(names);
	json_array_foreach(json_object_get(root, "members"), i, member)
	{
		if (!member_lags(member, release))
			continue;
		strbuf_addf(names, "%s%s", n_lagging ? ", " : "",
			    json_string_value(json_object_get(member, "name")));
		n_lagging++;
	}
	return n_lagging;
}

static enum status_code wait_release(const char *admin, int64_t release,
				     int64_t timeout_s, struct status *status)
{
	struct strbuf names;
	struct clock clock;
	int64_t deadline_ms;

	strbuf_init(&names);
	clock_init_monotonic(&clock);
	deadline_ms = clock_now(&clock) + timeout_s * MS_PER_S;
	for (;;) {
		json_t *root = fetch_json(admin, "/v1/status", status);
		size_t lagging = root ? list_lagging(root, release, &names) : 0;

		json_decref(root);
		if (root && !lagging) {
			status_init(status);
			printf("release %lld is in force everywhere\n",
			       (long long)release);
			break;
		}
		if (clock_now(&clock) >= deadline_ms) {
			if (root)
				status_set(status, STATUS_TIMEOUT,
					   "not yet in force at: %s",
					   names.data);
			break;
		}
		status_init(status);
		clock_sleep(POLL_INTERVAL_MS);
	}
	strbuf_finish(&names);
	return status->code;
}

static enum status_code run_wait(const struct command *command, int argc,
				 char **argv, struct status *status)
{
	char *admin = NULL;
	gint64 release = 0;
	gint timeout_s = DEFAULT_TIMEOUT_S;
	const GOptionEntry entries[] = {
		{"admin", 'a', 0, G_OPTION_ARG_STRING, &admin,
		 "admin address of any process", "IP:PORT"},
		{"release", 'r', 0, G_OPTION_ARG_INT64, &release,
		 "release to wait for", "N"},
		{"timeout", 't', 0, G_OPTION_ARG_INT, &timeout_s,
		 "time to wait, default 30", "SECONDS"},
		{NULL, 0, 0, 0, NULL, NULL, NULL},
	};

	if (command_parse(command, entries, &argc, &argv, 0, 0, status) !=
	    STATUS_OK)
		return status->code;
	if (!admin || release < 1)
		return status_set(status, STATUS_USAGE,
				  "--admin IP:PORT and --release N are "
				  "needed");
	wait_release(admin, release, timeout_s, status);
	g_free(admin);
	return status->code;
}

const struct command command_wait = {
	.name = "wait",
	.arguments = "",
	.summary = "Wait until a release is in force everywhere",
	.run = run_wait,
};
