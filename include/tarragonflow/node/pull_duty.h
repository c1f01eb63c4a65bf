#ifndef TARRAGONFLOW_NODE_PULL_DUTY_H
#define TARRAGONFLOW_NODE_PULL_DUTY_H

#include <pthread.h>
#include <stdatomic.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/ring.h"
#include "tarragonflow/common/status.h"
#include "tarragonflow/common/str.h"
#include "tarragonflow/control/config_store.h"
#include "tarragonflow/net/endpoint.h"

/** A thread that pulls from one peer at a time. */
struct pull_worker {
	struct pull_duty *duty;
	/** Of struct pull_job: jobs for the thread, and jobs it has run. */
	struct ring queued, finished;
	/** Eventfd that wakes the thread. */
	int wake_fd;
	/** Jobs that are queued or running. */
	_Atomic unsigned int n_pending;
	pthread_t thread;
};

/**
 * Transfers state that is too large for a datagram, over TCP. One thread serves
 * pull requests at the port of the control address; several workers pull from
 * peers, so that one stalled peer does not delay the others. Requests and
 * responses are frames with one control message each.
 */
struct pull_duty {
	/**
	 * Writes the response to @request into @out; false to send none.
	 * Called by the server thread.
	 */
	bool (*handle_request)(struct pull_duty *duty, struct str request,
			       struct strbuf *out);
	struct clock clock;
	int listen_fd;
	struct pull_worker workers[CONFIG_PULLS_MAX];
	/** Eventfd to wake when a job has finished. */
	int finished_wake_fd;
	/** Eventfd that wakes the server thread to stop it. */
	int stop_wake_fd;
	_Atomic bool stop;
	pthread_t server_thread;
};

/** One pull from a peer. */
struct pull_job {
	struct endpoint peer;
	struct strbuf request;
	/** Valid when `succeeded`. */
	struct strbuf response;
	bool succeeded;
};

/**
 * Listens at @control, TCP. The caller keeps ownership of @finished_wake_fd.
 */
enum status_code pull_duty_init(struct pull_duty *duty,
				const struct endpoint *control,
				int finished_wake_fd, struct status *status);
enum status_code pull_duty_start(struct pull_duty *duty, struct status *status);
void pull_duty_stop(struct pull_duty *duty);
void pull_duty_finish(struct pull_duty *duty);

/** Queues a pull; false when the queue of the least busy worker is full. */
bool pull_duty_submit(struct pull_duty *duty, const struct endpoint *peer,
		      struct str request);

/** Returns the next finished job, to be freed with pull_job_free(), or NULL. */
struct pull_job *pull_duty_pop_finished(struct pull_duty *duty);
void pull_job_free(struct pull_job *job);

#endif
