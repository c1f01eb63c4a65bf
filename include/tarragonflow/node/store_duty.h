#ifndef TARRAGONFLOW_NODE_STORE_DUTY_H
#define TARRAGONFLOW_NODE_STORE_DUTY_H

#include <pthread.h>
#include <stdatomic.h>

#include "tarragonflow/common/ring.h"
#include "tarragonflow/store/http_store.h"

/**
 * A thread that makes blocking calls to the platform's object store, one at a
 * time. Watches have a thread of their own, so that a pending watch does not
 * delay other calls.
 */
struct store_duty {
	struct ring requests;
	struct ring results;
	struct http_store http;
	/** Eventfd that wakes the thread. */
	int wake_fd;
	/** Eventfd to wake when a result is available. */
	int results_wake_fd;
	_Atomic bool stop;
	pthread_t thread;
};

/**
 * @counters count the calls. The caller keeps ownership of @results_wake_fd.
 */
void store_duty_init(struct store_duty *duty, const char *url,
		     const struct http_dialect *dialect,
		     struct counters *counters, int results_wake_fd);

enum status_code store_duty_start(struct store_duty *duty,
				  struct status *status);

/** Cancels the current call and ends the thread. */
void store_duty_stop(struct store_duty *duty);

/** Frees everything; after store_duty_stop(), or when never started. */
void store_duty_finish(struct store_duty *duty);

/** Queues a copy of @request; false when the queue is full. */
bool store_duty_submit(struct store_duty *duty,
		       const struct store_request *request);

/** Returns the next result, which the caller finishes and frees, or NULL. */
struct store_result *store_duty_pop_result(struct store_duty *duty);

#endif
