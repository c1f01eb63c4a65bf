#include "platform_sync_internal.h"

#include <glib.h>

#include "tarragonflow/common/log.h"

/* Restores of the platform's store from an older copy, for platform_sync.c. */

/* Operators write again what was lost within this time after a restore. */
#define EPOCH_SETTLE_MS 2000

static void cancel_watch(struct platform_call *call,
			 struct platform_sync_callbacks *callbacks)
{
	if (call->task != TASK_WATCH && call->task != TASK_WATCH_ZONES)
		return;
	call->task = TASK_NONE;
	callbacks->cancel_call(callbacks, call->queue, call->id);
}

static void forget_versions(struct platform_sync *sync, int64_t now_ms,
			    struct platform_sync_callbacks *callbacks)
{
	sync->watch_version = 0;
	sync->zones_version = 0;
	sync->config_version = 0;
	roster_sync_forget_copy(&sync->roster_sync);
	sync->config_call.not_before_ms = now_ms;
	sync->zones_call.not_before_ms = now_ms;
	/* Such a watch could wait although the store has newer changes. */
	cancel_watch(&sync->watch_call, callbacks);
	cancel_watch(&sync->zones_call, callbacks);
}

void platform_update_epoch(struct platform_sync *sync,
			   const struct store_result *result, int64_t now_ms,
			   struct platform_sync_callbacks *callbacks)
{
	if (result->epoch <= sync->epoch)
		return;
	if (sync->epoch) {
		counter_inc(sync->counters, COUNTER_PLATFORM_RESTORED);
		log_event(LOG_LEVEL_WARN, "platform-restored",
			  "epoch=%llu previous_epoch=%llu watched_from=%lld",
			  (unsigned long long)result->epoch,
			  (unsigned long long)sync->epoch,
			  (long long)sync->watch_version);
		forget_versions(sync, now_ms, callbacks);
		sync->last_restore_ms = now_ms;
	}
	sync->epoch = result->epoch;
	sync->epoch_start_ms = now_ms;
}

bool platform_epoch_settled(const struct platform_sync *sync, int64_t time_ms)
{
	return time_ms - sync->epoch_start_ms >= EPOCH_SETTLE_MS;
}

void platform_sync_merge_epoch(struct platform_sync *sync, uint64_t epoch)
{
	sync->reported_epoch = MAX(sync->reported_epoch, epoch);
}

bool platform_sync_restored_within(const struct platform_sync *sync, int64_t ms,
				   int64_t now_ms)
{
	return sync->last_restore_ms != INT64_MIN &&
	       now_ms - sync->last_restore_ms < ms;
}

uint64_t platform_sync_newest_epoch(const struct platform_sync *sync)
{
	return MAX(sync->epoch, sync->reported_epoch);
}

void platform_epoch_step(struct platform_sync *sync,
			 const struct platform_view *view, int64_t now_ms,
			 struct platform_sync_callbacks *callbacks)
{
	/* Only the store's own response proves its epoch. */
	if (sync->reported_epoch > MAX(sync->epoch, sync->checked_epoch)) {
		sync->checked_epoch = sync->reported_epoch;
		forget_versions(sync, now_ms, callbacks);
	}
	if (view->oldest_order_epoch < sync->epoch && sync->zones_version &&
	    platform_epoch_settled(sync, now_ms)) {
		sync->zones_version = 0;
		sync->zones_call.not_before_ms = now_ms;
		cancel_watch(&sync->zones_call, callbacks);
	}
}

enum status_code platform_epoch_status(const struct platform_sync *sync,
				       enum platform_task task,
				       uint64_t call_epoch,
				       const struct store_result *result)
{
	enum status_code code = result->status.code;

	if (!result->epoch)
		return code;
	if (result->epoch < sync->epoch)
		return task == TASK_WRITE_SHARD ? STATUS_UNKNOWN
						: STATUS_UNAVAILABLE;
	if (code != STATUS_OK || result->epoch == call_epoch)
		return code;
	switch (task) {
	case TASK_WATCH:
	case TASK_WATCH_ZONES:
		return STATUS_GONE;
	case TASK_WRITE_SHARD:
		return STATUS_CONFLICT;
	default:
		return code;
	}
}
