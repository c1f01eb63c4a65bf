#include "tarragonflow/control/config_store.h"

#include <string.h>

#include "tarragonflow/common/log.h"

void config_store_init(struct config_store *store,
		       const struct name *deployment, struct counters *counters)
{
	memset(store, 0, sizeof(*store));
	store->deployment = *deployment;
	store->counters = counters;
	manifest_init(&store->manifest);
	strbuf_init(&store->text);
}

void config_store_finish(struct config_store *store)
{
	manifest_finish(&store->manifest);
	strbuf_finish(&store->text);
}

int64_t config_store_release(const struct config_store *store)
{
	return store->manifest.release;
}

static bool config_parse(struct config_store *store, struct manifest *manifest,
			 struct str text, const char *source)
{
	struct status status;

	status_init(&status);
	if (manifest_parse(manifest, text, source, &status) != STATUS_OK) {
		counter_inc(store->counters, COUNTER_CONTROL_DROP_MALFORMED);
		return false;
	}
	if (manifest->release <= store->manifest.release ||
	    !name_equal(&manifest->deployment, &store->deployment)) {
		counter_inc(store->counters, COUNTER_CONFIG_OLDER_IGNORED);
		return false;
	}
	return true;
}

bool config_store_offer(struct config_store *store, struct str text,
			const char *source)
{
	struct manifest manifest;

	manifest_init(&manifest);
	if (!config_parse(store, &manifest, text, source)) {
		manifest_finish(&manifest);
		return false;
	}
	manifest_finish(&store->manifest);
	store->manifest = manifest;
	strbuf_reset(&store->text);
	strbuf_add(&store->text, text.data, text.len);
	counter_inc(store->counters, COUNTER_CONFIG_APPLIED);
	log_event(LOG_LEVEL_INFO, "config-applied", "release=%lld source=%s",
		  (long long)manifest.release, source);
	return true;
}

bool config_store_start_pull(struct config_store *store, int64_t release,
			     int64_t now_ms)
{
	if (release <= store->manifest.release || now_ms < store->pull_until_ms)
		return false;
	store->pull_until_ms = now_ms + CONFIG_PULL_TIMEOUT_MS;
	counter_inc(store->counters, COUNTER_CONFIG_PULLED);
	return true;
}

void config_store_end_pull(struct config_store *store)
{
	store->pull_until_ms = 0;
}

struct str config_store_datagram(const struct config_store *store)
{
	static const struct str too_large = {"", 0};

	if (store->text.len > CONFIG_DATAGRAM_MAX)
		return too_large;
	return strbuf_str(&store->text);
}
