#ifndef TARRAGONFLOW_CONTROL_PLATFORM_SYNC_INTERNAL_H
#define TARRAGONFLOW_CONTROL_PLATFORM_SYNC_INTERNAL_H

#include "tarragonflow/control/platform_sync.h"

/** Shared by platform_sync.c, platform_results.c and platform_epoch.c. */

/** A substitute for the selected watchers watches for this long, ms. */
#define SUBSTITUTE_WATCH_MS 30000

/** A watcher also reads the manifest about this often, in case its watch
 * misses a change, ms. */
#define CONFIG_READ_INTERVAL_MS 2000

/** Delay after a change, so that the next watch returns several, ms. */
#define WATCH_BATCH_MS 150

/** All pages of the roster, one bit each. */
#define ALL_PAGES ((1u << ROSTER_SHARD_PAGES) - 1)

/** A random number below @n. */
uint64_t platform_random_below(struct platform_sync *sync, int64_t n);

/** Whether a contact at @last_contact_ms is stale in a fleet of @n_members. */
bool platform_contact_is_stale(int64_t last_contact_ms, size_t n_members,
			       int64_t now_ms);

/** Whether the selected watchers seem not to reach the platform. */
bool platform_watchers_lack_contact(const struct platform_sync *sync,
				    const struct roster *roster,
				    int64_t now_ms);

/** Starts @request as the call in progress of @call; frees @request. */
void platform_start_call(struct platform_sync *sync, struct platform_call *call,
			 enum platform_task task, struct store_request *request,
			 int64_t now_ms,
			 struct platform_sync_callbacks *callbacks);

/**
 * Starts the epoch of @result if it is newer than the one known: the versions
 * of the earlier epoch are forgotten, and watches from them are cancelled.
 */
void platform_update_epoch(struct platform_sync *sync,
			   const struct store_result *result, int64_t now_ms,
			   struct platform_sync_callbacks *callbacks);

/**
 * The status code of the @result of a call for @task that started when
 * @call_epoch was the newest known epoch. A response of an earlier epoch counts
 * as none; a watch or write at a version of an earlier epoch counts as GONE or
 * CONFLICT.
 */
enum status_code platform_epoch_status(const struct platform_sync *sync,
				       enum platform_task task,
				       uint64_t call_epoch,
				       const struct store_result *result);

/** Whether operators have had the time before @time_ms to write again what the
 * restore at the start of the epoch lost. */
bool platform_epoch_settled(const struct platform_sync *sync, int64_t time_ms);

/** Reads again what may have changed with an epoch that peers reported, and
 * zone orders that were not confirmed in the current one. */
void platform_epoch_step(struct platform_sync *sync,
			 const struct platform_view *view, int64_t now_ms,
			 struct platform_sync_callbacks *callbacks);

/** Ends @call and processes its result. */
void platform_finish_call(struct platform_sync *sync,
			  struct platform_call *call,
			  const struct store_result *result,
			  const struct platform_view *view, int64_t now_ms,
			  struct platform_sync_callbacks *callbacks);

#endif
