#ifndef TARRAGONFLOW_NODE_STORE_DUTY_H
#define TARRAGONFLOW_NODE_STORE_DUTY_H

#include <pthread.h>
#include <stdatomic.h>

#include "tarragonflow/common/ring.h"
#include "tarragonflow/store/http_store.h"

/**
 * A thread that makes blocking calls of the platform, one at a time. A
 * process has one for watches and one for everything else, so that a waiting
 * watch holds nothing up.
 */
struct store_duty {
	struct ring requests;
	struct ring results;
	struct http_store http;
	/** Wakes this duty. */
	int wake;
	/** Eventfd that is woken when a result is there. */
	int wake_results;
	_Atomic bool stop;
	pthread_t thread;
};

/** @wake_results stays the caller's; @counters count the calls. */
void store_duty_init(struct store_duty *duty, const char *url,
		     const struct http_dialect *dialect,
		     struct counters *counters, int wake_results);

enum status_code store_duty_start(struct store_duty *duty,
				  struct status *status);

/** Ends the call under way and the thread. */
void store_duty_stop(struct store_duty *duty);

/** After store_duty_stop(), or when never started. */
void store_duty_finish(struct store_duty *duty);

/** Hands a copy of @request to the duty; false when its ring is full. */
bool store_duty_submit(struct store_duty *duty,
		       const struct store_request *request);

/** The next result, which the caller finishes and frees, or NULL. */
struct store_result *store_duty_take(struct store_duty *duty);

#endif
