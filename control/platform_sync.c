#include "tarragonflow/control/platform_sync.h"

#include <string.h>

#define RETRY_MS 1000
#define CALL_TIMEOUT_MS 3000
#define WATCH_WAIT_MS 20000

void platform_sync_init(struct platform_sync *sync,
			const struct platform_sync_options *options,
			struct counters *counters, int64_t now_ms)
{
	memset(sync, 0, sizeof(*sync));
	sync->options = *options;
	sync->counters = counters;
	sync->next_call_ms = now_ms;
}

void platform_sync_finish(struct platform_sync *sync)
{
	(void)sync;
}

static void start_call(struct platform_sync *sync, enum platform_op op,
		       struct platform_sync_out *out)
{
	struct platform_request request;
	char key[PLATFORM_KEY_MAX];

	platform_manifest_key(key, &sync->options.deployment);
	platform_request_init(&request, op, key);
	request.id = ++sync->next_call_id;
	request.version = sync->watch_version;
	request.timeout_ms = op == PLATFORM_OP_WATCH ? WATCH_WAIT_MS
						     : CALL_TIMEOUT_MS;
	sync->call_pending = true;
	out->call(out, &request);
	platform_request_finish(&request);
}

void platform_sync_handle_result(struct platform_sync *sync,
				 const struct platform_result *result,
				 const struct roster *roster, int64_t now_ms,
				 struct platform_sync_out *out)
{
	(void)roster;
	sync->call_pending = false;
	sync->next_call_ms = now_ms + RETRY_MS;
	if (result->status.code == STATUS_GONE)
		sync->watch_version = 0;
	if (result->status.code != STATUS_OK)
		return;
	if (result->version > sync->watch_version)
		sync->watch_version = result->version;
	for (size_t i = 0; i < result->n_objects; i++)
		if (!result->objects[i].deleted)
			out->config(out, strbuf_str(&result->objects[i].value));
	if (sync->options.role == MEMBER_BALANCER)
		sync->next_call_ms = now_ms;
}

/* Balancers watch; agents ask only while they have nothing. */
void platform_sync_tick(struct platform_sync *sync, const struct roster *roster,
			int64_t now_ms, struct platform_sync_out *out)
{
	(void)roster;
	if (sync->call_pending || now_ms < sync->next_call_ms)
		return;
	if (!sync->watch_version)
		start_call(sync, PLATFORM_OP_GET, out);
	else if (sync->options.role == MEMBER_BALANCER)
		start_call(sync, PLATFORM_OP_WATCH, out);
}

void platform_sync_heard(struct platform_sync *sync,
			 const struct platform_ages *ages, int64_t now_ms)
{
	(void)sync;
	(void)ages;
	(void)now_ms;
}

struct platform_ages platform_sync_ages(const struct platform_sync *sync,
					int64_t now_ms)
{
	const struct platform_ages ages = {PLATFORM_AGE_NEVER,
					   PLATFORM_AGE_NEVER};

	(void)sync;
	(void)now_ms;
	return ages;
}

int64_t platform_sync_next_deadline(const struct platform_sync *sync)
{
	return sync->call_pending ? INT64_MAX : sync->next_call_ms;
}
