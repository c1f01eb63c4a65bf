#ifndef TARRAGONFLOW_CONTROL_PLATFORM_SYNC_INTERNAL_H
#define TARRAGONFLOW_CONTROL_PLATFORM_SYNC_INTERNAL_H

#include "tarragonflow/control/platform_sync.h"

/** What the two halves of the platform core share. */

/** Time that who found the platform watches in the watchers' place, ms. */
#define ACTING_MS 30000

/** A watcher trusts no watch for longer than this, ms. */
#define READ_INTERVAL_MS 2000

/** A random number below @n. */
uint64_t platform_random_below(struct platform_sync *sync, int64_t n);

/** Starts @request in @lane and finishes it. */
void platform_start_call(struct platform_sync *sync, struct platform_lane *lane,
			 enum platform_task task,
			 struct platform_request *request, int64_t now_ms,
			 struct platform_sync_out *out);

/** Takes the result of the call in @lane, which is free from then on. */
void platform_finish_task(struct platform_sync *sync,
			  struct platform_lane *lane,
			  const struct platform_result *result,
			  const struct platform_view *view, int64_t now_ms,
			  struct platform_sync_out *out);

#endif
