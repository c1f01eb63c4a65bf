#ifndef TARRAGONFLOW_NODE_PLATFORM_DUTY_H
#define TARRAGONFLOW_NODE_PLATFORM_DUTY_H

#include <pthread.h>
#include <stdatomic.h>

#include "tarragonflow/common/ring.h"
#include "tarragonflow/platform/http_platform.h"

/**
 * A thread that makes blocking calls of the platform, one at a time. A
 * process has one for watches and one for everything else, so that a waiting
 * watch holds nothing up.
 */
struct platform_duty {
	struct ring requests;
	struct ring results;
	struct http_platform http;
	/** Wakes this duty. */
	int wake;
	/** Eventfd that is woken when a result is there. */
	int wake_results;
	_Atomic bool stop;
	pthread_t thread;
};

/** @wake_results stays the caller's; @counters count the calls. */
void platform_duty_init(struct platform_duty *duty, const char *url,
			struct counters *counters, int wake_results);

enum status_code platform_duty_start(struct platform_duty *duty,
				     struct status *status);

/** Ends the call under way and the thread. */
void platform_duty_stop(struct platform_duty *duty);

/** After platform_duty_stop(), or when never started. */
void platform_duty_finish(struct platform_duty *duty);

/** Hands a copy of @request to the duty; false when its ring is full. */
bool platform_duty_submit(struct platform_duty *duty,
			  const struct platform_request *request);

/** The next result, which the caller finishes and frees, or NULL. */
struct platform_result *platform_duty_take(struct platform_duty *duty);

#endif
