#ifndef TARRAGONFLOW_NODE_STORE_WORKER_H
#define TARRAGONFLOW_NODE_STORE_WORKER_H

#include <pthread.h>
#include <stdatomic.h>

#include "tarragonflow/common/ring.h"
#include "tarragonflow/store/http_store.h"

/**
 * A thread that makes blocking calls to the platform's object store, one at a
 * time. Watches have a thread of their own, so that a pending watch does not
 * delay other calls.
 */
struct store_worker {
	struct ring requests;
	struct ring results;
	struct http_store http;
	/** Eventfd that wakes the thread. */
	int wake_fd;
	/** Eventfd that wakes the receiver of the results. */
	int results_wake_fd;
	_Atomic bool stop;
	pthread_t thread;
};

/**
 * @counters count the store calls. The caller keeps ownership of
 * @results_wake_fd.
 */
void store_worker_init(struct store_worker *worker, const char *url,
		       const struct http_dialect *dialect,
		       struct counters *counters, int results_wake_fd);

enum status_code store_worker_start(struct store_worker *worker,
				    struct status *status);

/** Cancels the current call and ends the thread. */
void store_worker_stop(struct store_worker *worker);

/** Frees everything; after store_worker_stop(), or when never started. */
void store_worker_finish(struct store_worker *worker);

/** Queues a copy of @request; false when the queue is full. */
bool store_worker_submit(struct store_worker *worker,
			 const struct store_request *request);

/** Returns the next result, which the caller finishes and frees, or NULL. */
struct store_result *store_worker_pop_result(struct store_worker *worker);

#endif
