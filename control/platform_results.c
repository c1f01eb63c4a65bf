#include "platform_sync_internal.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/log.h"
#include "tarragonflow/manifest/manifest_object.h"

/* Processing of call results for platform_sync.c. */

static void write_shard(struct platform_sync *sync, int64_t now_ms,
			struct platform_sync_callbacks *callbacks)
{
	struct store_request request;
	char key[STORE_KEY_MAX];

	roster_shard_key(key, &sync->options.deployment,
			 sync->roster_sync.current_shard);
	store_request_init(&request, STORE_OP_PUT, key);
	request.version = sync->shard_version;
	strbuf_add(&request.value, sync->shard_value.data,
		   sync->shard_value.len);
	snprintf(request.token, sizeof(request.token), "%016llx%016llx",
		 (unsigned long long)random_next(&sync->random),
		 (unsigned long long)random_next(&sync->random));
	roster_sync_start_write(&sync->roster_sync, request.token, now_ms);
	platform_start_call(sync, &sync->shard_call, TASK_WRITE_SHARD, &request,
			    now_ms, callbacks);
}

static void record_contact(struct platform_sync *sync, int64_t now_ms)
{
	sync->last_contact_ms = now_ms;
	if (sync->selected)
		sync->last_watcher_contact_ms = now_ms;
}

static void count_retry(struct platform_sync *sync, enum status_code code)
{
	switch (code) {
	case STATUS_CONFLICT:
		counter_inc(sync->counters, COUNTER_PLATFORM_RETRY_CONFLICT);
		break;
	case STATUS_UNKNOWN:
		counter_inc(sync->counters, COUNTER_PLATFORM_RETRY_UNKNOWN);
		break;
	case STATUS_GONE:
		counter_inc(sync->counters, COUNTER_PLATFORM_RETRY_GONE);
		break;
	case STATUS_TIMEOUT:
		counter_inc(sync->counters, COUNTER_PLATFORM_RETRY_EXPIRED);
		break;
	default:
		counter_inc(sync->counters, COUNTER_PLATFORM_RETRY_NO_RESPONSE);
		break;
	}
}

static void schedule_retry(struct platform_sync *sync,
			   struct platform_call *call, enum status_code code,
			   int64_t now_ms)
{
	count_retry(sync, code);
	call->not_before_ms = now_ms + backoff_next(&call->backoff,
						    random_next(&sync->random));
}

static void deliver_manifest_object(struct str value,
				    struct platform_sync_callbacks *callbacks)
{
	struct manifest_object object;

	manifest_object_init(&object);
	if (manifest_object_read(&object, value))
		callbacks->deliver_config(callbacks,
					  strbuf_str(&object.manifest));
	manifest_object_finish(&object);
}

/* With strong_reads, each version of the manifest is delivered once. */
static void deliver_manifests(struct platform_sync *sync,
			      const struct store_result *result,
			      struct platform_sync_callbacks *callbacks)
{
	for (size_t i = 0; i < result->n_objects; i++) {
		const struct store_object *object = &result->objects[i];
		struct str value = strbuf_str(&object->value);

		if (object->deleted)
			continue;
		if (!sync->options.strong_reads) {
			deliver_manifest_object(value, callbacks);
			continue;
		}
		if (object->version <= sync->config_version)
			continue;
		sync->config_version = object->version;
		callbacks->deliver_config(callbacks, value);
	}
}

static void handle_watch(struct platform_sync *sync,
			 const struct store_result *result, int64_t now_ms,
			 struct platform_sync_callbacks *callbacks)
{
	enum status_code code = result->status.code;

	if (code == STATUS_GONE)
		sync->watch_version = 0;
	if (code != STATUS_OK) {
		sync->config_call.not_before_ms =
			MIN(sync->config_call.not_before_ms, now_ms);
		schedule_retry(sync, &sync->watch_call, code, now_ms);
		return;
	}
	backoff_reset(&sync->watch_call.backoff);
	/* The delay lets one watch return changes in quick succession. */
	sync->watch_call.not_before_ms = now_ms;
	if (result->n_objects && sync->options.strong_reads)
		sync->watch_call.not_before_ms += WATCH_BATCH_MS;
	sync->watch_version = MAX(sync->watch_version, result->version);
	deliver_manifests(sync, result, callbacks);
}

/*
 * With strong_reads, a working watch needs no additional reads; one that has no
 * version to start from needs a list.
 */
static int64_t next_config_read_ms(struct platform_sync *sync, int64_t now_ms)
{
	if (!sync->watch_version)
		return now_ms;
	if (sync->options.strong_reads)
		return CLOCK_NEVER;
	return now_ms + CONFIG_READ_INTERVAL_MS / 2 +
	       (int64_t)platform_random_below(sync, CONFIG_READ_INTERVAL_MS);
}

static void handle_config(struct platform_sync *sync,
			  const struct store_result *result,
			  enum platform_task task,
			  const struct platform_view *view, int64_t now_ms,
			  struct platform_sync_callbacks *callbacks)
{
	enum status_code code = result->status.code;

	if (code != STATUS_OK && code != STATUS_NOT_FOUND) {
		schedule_retry(sync, &sync->config_call, code, now_ms);
		return;
	}
	backoff_reset(&sync->config_call.backoff);
	if (task == TASK_LIST_CONFIG) {
		sync->watch_version = MAX(result->version, 1);
		sync->watch_call.not_before_ms =
			MAX(now_ms, sync->watch_not_before_ms);
	}
	sync->config_call.not_before_ms = next_config_read_ms(sync, now_ms);
	/* No selected watcher seems to reach the platform: substitute them. */
	if (!sync->selected && now_ms >= sync->substitute_until_ms &&
	    platform_watchers_lack_contact(sync, view->roster, now_ms)) {
		sync->substitute_until_ms = now_ms + SUBSTITUTE_WATCH_MS;
		sync->config_call.not_before_ms = now_ms;
	}
	deliver_manifests(sync, result, callbacks);
}

/*
 * An existing object puts its zone out of service, whatever its value. A
 * deletion keeps the version of the deleted object, not that of the response:
 * a later order for the zone, in the same response or received from peers, has
 * a greater version than the deletion.
 */
static void parse_zone_orders(const struct store_result *result,
			      struct zone_orders *orders)
{
	for (size_t i = 0; i < result->n_objects; i++) {
		const struct store_object *object = &result->objects[i];
		const char *slash = strrchr(object->key, '/');
		struct zone_order order = {
			.epoch = result->epoch,
			.version = (uint64_t)MAX(object->version, 1),
			.out = !object->deleted,
		};

		if (slash && name_set(&order.zone, str_from(slash + 1)))
			zone_orders_merge(orders, &order);
		else
			log_event(LOG_LEVEL_WARN, "zone-order-skipped",
				  "key=\"%s\"", object->key);
	}
}

static void handle_zones(struct platform_sync *sync,
			 const struct store_result *result,
			 enum platform_task task, int64_t now_ms,
			 struct platform_sync_callbacks *callbacks)
{
	enum status_code code = result->status.code;
	struct zone_orders_update update = {
		.epoch = result->epoch,
		.version = (uint64_t)result->version,
		.is_full_list = task == TASK_LIST_ZONES,
		.decides_earlier_epochs = platform_epoch_settled(
			sync, sync->zones_call.started_ms),
	};

	if (code == STATUS_GONE)
		sync->zones_version = 0;
	if (code != STATUS_OK) {
		schedule_retry(sync, &sync->zones_call, code, now_ms);
		return;
	}
	backoff_reset(&sync->zones_call.backoff);
	sync->zones_call.not_before_ms = MAX(now_ms, sync->watch_not_before_ms);
	sync->zones_version = MAX(sync->zones_version, result->version);
	parse_zone_orders(result, &update.orders);
	callbacks->deliver_zone_orders(callbacks, &update);
}

/* Tombstones are delivered only for members that the local roster has. Returns
 * false if an entry was skipped. */
static bool deliver_members(const struct store_object *object,
			    const struct roster *known,
			    struct platform_sync_callbacks *callbacks)
{
	struct roster stored;
	bool all_valid;

	roster_init(&stored);
	all_valid = roster_shard_parse(strbuf_str(&object->value), &stored);
	for (size_t i = 0; i < stored.n; i++)
		if (stored.members[i].state != MEMBER_LEFT ||
		    roster_find(known, &stored.members[i].name))
			callbacks->deliver_member(callbacks,
						  &stored.members[i]);
	roster_finish(&stored);
	return all_valid;
}

static void handle_roster_list(struct platform_sync *sync,
			       const struct store_result *result,
			       const struct platform_view *view, int64_t now_ms,
			       struct platform_sync_callbacks *callbacks)
{
	bool all_valid = true;

	if (result->status.code != STATUS_OK) {
		if (!sync->full_roster_received)
			sync->initial_list_sent = false;
		schedule_retry(sync, &sync->list_call, result->status.code,
			       now_ms);
		return;
	}
	for (size_t i = 0; i < result->n_objects; i++)
		all_valid &= deliver_members(&result->objects[i], view->roster,
					     callbacks);
	if (sync->list_covers_all) {
		sync->roster_exceeds_one_response = result->has_more;
		/* A skipped entry may be that of a member. */
		sync->full_roster_received |= !result->has_more &&
					      !sync->list_may_be_stale &&
					      result->n_objects && all_valid;
	}
	if (sync->pages_requested == ALL_PAGES || sync->list_covers_all)
		sync->list_call.not_before_ms =
			now_ms + backoff_next(&sync->list_call.backoff,
					      random_next(&sync->random));
}

static void retry_shard(struct platform_sync *sync, enum status_code code,
			int64_t now_ms)
{
	count_retry(sync, code);
	roster_sync_retry_shard(&sync->roster_sync, code, now_ms,
				random_next(&sync->random));
}

static void handle_shard_read(struct platform_sync *sync,
			      const struct store_result *result,
			      const struct platform_view *view, int64_t now_ms,
			      struct platform_sync_callbacks *callbacks)
{
	enum status_code code = result->status.code;
	const struct store_object *object =
		result->n_objects ? &result->objects[0] : NULL;

	if (code != STATUS_OK && code != STATUS_NOT_FOUND) {
		retry_shard(sync, code, now_ms);
		return;
	}
	if (object)
		deliver_members(object, view->roster, callbacks);
	strbuf_reset(&sync->shard_value);
	sync->shard_version = object ? object->version : 0;
	if (roster_sync_merge(&sync->roster_sync, object, view->roster, now_ms,
			      &sync->shard_value))
		write_shard(sync, now_ms, callbacks);
	else
		roster_sync_finish_shard(&sync->roster_sync);
}

static void handle_shard_write(struct platform_sync *sync,
			       enum status_code code, int64_t now_ms)
{
	sync->shard_write_conflicted = code == STATUS_CONFLICT;
	if (code != STATUS_OK) {
		retry_shard(sync, code, now_ms);
		return;
	}
	counter_inc(sync->counters, COUNTER_ROSTER_SHARD_WRITTEN);
	roster_sync_finish_shard(&sync->roster_sync);
}

static bool platform_responded(enum status_code code)
{
	return code != STATUS_UNAVAILABLE && code != STATUS_UNKNOWN &&
	       code != STATUS_TIMEOUT;
}

/* Logs when the platform becomes unreachable and when it is reached again. */
static void record_outcome(struct platform_sync *sync,
			   const struct store_result *result, int64_t now_ms)
{
	const struct status *status = &result->status;

	if (!platform_responded(status->code)) {
		if (sync->failed_calls++)
			return;
		sync->first_failure_ms = now_ms;
		log_event(LOG_LEVEL_WARN, "platform-lost",
			  "status=%s reason=\"%s\"", status_name(status->code),
			  status->message);
		return;
	}
	record_contact(sync, now_ms);
	if (!sync->failed_calls)
		return;
	log_event(LOG_LEVEL_INFO, "platform-regained",
		  "lost_for_ms=%lld calls_lost=%u call=%s status=%s "
		  "version=%lld watched_from=%lld epoch=%llu",
		  (long long)(now_ms - sync->first_failure_ms),
		  sync->failed_calls, store_op_name(result->op),
		  status_name(status->code), (long long)result->version,
		  (long long)sync->watch_version,
		  (unsigned long long)result->epoch);
	sync->failed_calls = 0;
}

static void handle_result(struct platform_sync *sync, enum platform_task task,
			  const struct store_result *result,
			  const struct platform_view *view, int64_t now_ms,
			  struct platform_sync_callbacks *callbacks)
{
	switch (task) {
	case TASK_WATCH:
		handle_watch(sync, result, now_ms, callbacks);
		break;
	case TASK_LIST_CONFIG:
	case TASK_READ_CONFIG:
		handle_config(sync, result, task, view, now_ms, callbacks);
		break;
	case TASK_LIST_ZONES:
	case TASK_WATCH_ZONES:
		handle_zones(sync, result, task, now_ms, callbacks);
		break;
	case TASK_LIST_ROSTER:
		handle_roster_list(sync, result, view, now_ms, callbacks);
		break;
	case TASK_READ_SHARD:
		handle_shard_read(sync, result, view, now_ms, callbacks);
		break;
	case TASK_WRITE_SHARD:
		handle_shard_write(sync, result->status.code, now_ms);
		break;
	case TASK_NONE:
		break;
	}
}

void platform_finish_call(struct platform_sync *sync,
			  struct platform_call *call,
			  const struct store_result *result,
			  const struct platform_view *view, int64_t now_ms,
			  struct platform_sync_callbacks *callbacks)
{
	struct store_result checked = *result;
	enum platform_task task = call->task;

	call->task = TASK_NONE;
	record_outcome(sync, result, now_ms);
	platform_update_epoch(sync, result, now_ms, callbacks);
	checked.status.code =
		platform_epoch_status(sync, task, call->epoch, result);
	handle_result(sync, task, &checked, view, now_ms, callbacks);
}
