#ifndef TARRAGONFLOW_CONTROL_PLATFORM_SYNC_INTERNAL_H
#define TARRAGONFLOW_CONTROL_PLATFORM_SYNC_INTERNAL_H

#include "tarragonflow/control/platform_sync.h"

/** What the two halves of the platform core share. */

/** Time that who found the platform watches in the watchers' place, ms. */
#define ACTING_MS 30000

/** A watcher trusts no watch for longer than this, ms. */
#define READ_INTERVAL_MS 2000

/** Time for more changes to come after one that a watch brought, ms. */
#define WATCH_GAP_MS 150

/** All pages of the roster, as bits. */
#define PAGES_ALL ((1u << ROSTER_SHARD_PAGES) - 1)

/** A random number below @n. */
uint64_t platform_random_below(struct platform_sync *sync, int64_t n);

/** Whether news of a contact at @contact_ms is old in a fleet of @n_members. */
bool platform_is_old(int64_t contact_ms, size_t n_members, int64_t now_ms);

/** Whether the chosen watchers seem unable to reach the platform. */
bool platform_watchers_fail(const struct platform_sync *sync,
			    const struct roster *roster, int64_t now_ms);

/** Starts @request in @lane and finishes it. */
void platform_start_call(struct platform_sync *sync, struct platform_lane *lane,
			 enum platform_task task, struct store_request *request,
			 int64_t now_ms, struct platform_sync_out *out);

/** Takes the result of the call in @lane, which is free from then on. */
void platform_finish_task(struct platform_sync *sync,
			  struct platform_lane *lane,
			  const struct store_result *result,
			  const struct platform_view *view, int64_t now_ms,
			  struct platform_sync_out *out);

#endif
