#include "tarragonflow/control/config_store.h"

#include <string.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/log.h"

void config_store_init(struct config_store *store,
		       const struct name *deployment, struct counters *counters,
		       int64_t now_ms)
{
	memset(store, 0, sizeof(*store));
	store->deployment = *deployment;
	store->counters = counters;
	manifest_init(&store->manifest);
	strbuf_init(&store->text);
	strbuf_init(&store->held_text);
	store->settle_end_ms = now_ms + CONFIG_SETTLE_MS;
}

void config_store_finish(struct config_store *store)
{
	manifest_finish(&store->manifest);
	strbuf_finish(&store->text);
	strbuf_finish(&store->held_text);
}

int64_t config_store_release(const struct config_store *store)
{
	return store->manifest.release;
}

static bool parse_newer(struct config_store *store, struct manifest *manifest,
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

void config_store_record_release(struct config_store *store, uint64_t release)
{
	if (release <= INT64_MAX && (int64_t)release > store->newest_release)
		store->newest_release = (int64_t)release;
}

void config_store_record_previous_release(struct config_store *store,
					  uint64_t release)
{
	config_store_record_release(store, release);
	if (release <= INT64_MAX && (int64_t)release > store->previous_release)
		store->previous_release = (int64_t)release;
}

/* Whether to hold @release back; only a process without a configuration does.
 */
static bool must_hold(const struct config_store *store, int64_t release,
		      enum config_source source, int64_t now_ms)
{
	bool settled =
		now_ms >= store->settle_end_ms ||
		(source == CONFIG_FROM_PLATFORM && store->platform_is_current);

	return !store->manifest.release &&
	       (!settled || release < store->previous_release);
}

static void hold_back(struct config_store *store, struct str text,
		      int64_t release)
{
	if (release <= store->held_release)
		return;
	counter_inc(store->counters, COUNTER_CONFIG_DEFERRED);
	store->held_release = release;
	strbuf_reset(&store->held_text);
	strbuf_add(&store->held_text, text.data, text.len);
}

bool config_store_offer(struct config_store *store, struct str text,
			enum config_source source, int64_t now_ms)
{
	static const char *const sources[] = {"platform", "peer", "held"};
	struct manifest manifest;

	manifest_init(&manifest);
	if (!parse_newer(store, &manifest, text, sources[source])) {
		manifest_finish(&manifest);
		return false;
	}
	if (must_hold(store, manifest.release, source, now_ms)) {
		hold_back(store, text, manifest.release);
		manifest_finish(&manifest);
		return false;
	}
	manifest_finish(&store->manifest);
	store->manifest = manifest;
	strbuf_reset(&store->text);
	strbuf_add(&store->text, text.data, text.len);
	counter_inc(store->counters, COUNTER_CONFIG_APPLIED);
	log_event(LOG_LEVEL_INFO, "config-applied", "release=%lld source=%s",
		  (long long)manifest.release, sources[source]);
	return true;
}

static void discard_held(struct config_store *store)
{
	store->held_release = 0;
	strbuf_finish(&store->held_text);
}

bool config_store_tick(struct config_store *store, int64_t now_ms)
{
	struct strbuf text = store->held_text;
	bool applied;

	if (!store->held_release)
		return false;
	if (store->held_release <= store->manifest.release) {
		discard_held(store);
		return false;
	}
	if (must_hold(store, store->held_release, CONFIG_HELD, now_ms))
		return false;
	strbuf_init(&store->held_text);
	applied = config_store_offer(store, strbuf_str(&text), CONFIG_HELD,
				     now_ms);
	strbuf_finish(&text);
	store->held_release = 0;
	return applied;
}

int64_t config_store_next_deadline(const struct config_store *store)
{
	return store->held_release &&
			       store->held_release >= store->previous_release
		       ? store->settle_end_ms
		       : CLOCK_NEVER;
}

bool config_store_start_pull(struct config_store *store, int64_t release,
			     int64_t now_ms)
{
	if (release <= store->manifest.release || now_ms < store->next_pull_ms)
		return false;
	store->next_pull_ms = now_ms + CONFIG_PULL_HEDGE_MS;
	counter_inc(store->counters, COUNTER_CONFIG_PULLED);
	return true;
}

void config_store_end_pull(struct config_store *store)
{
	store->next_pull_ms = 0;
}

struct str config_store_datagram_text(const struct config_store *store)
{
	static const struct str too_large = {"", 0};

	if (store->text.len > CONFIG_DATAGRAM_MAX)
		return too_large;
	return strbuf_str(&store->text);
}
