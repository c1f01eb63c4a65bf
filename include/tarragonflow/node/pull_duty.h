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

/** One pull at a time, by a thread of its own. */
struct pull_lane {
	struct pull_duty *duty;
	/** Of struct pull_job, to the thread and back. */
	struct ring wanted, done;
	int wake;
	/** Jobs that wait or are under way. */
	_Atomic unsigned int jobs;
	pthread_t thread;
};

/**
 * Threads for what is too large for a datagram: one serves pulls of peers at
 * the TCP port of the control address, a few pull from peers, so that one
 * that stalls does not hold up the others. Frames both ways are control
 * messages.
 */
struct pull_duty {
	/** Answers @request into @out; false refuses. From the server thread.
	 */
	bool (*answer)(struct pull_duty *duty, struct str request,
		       struct strbuf *out);
	struct clock clock;
	int listen_fd;
	struct pull_lane lanes[CONFIG_PULLS_MAX];
	/** Eventfd that is woken when a job is done. */
	int wake_done;
	/** Ends the thread that serves. */
	int wake_stop;
	_Atomic bool stop;
	pthread_t server_thread;
};

/** One pull. */
struct pull_job {
	struct endpoint peer;
	struct strbuf request;
	/** The answer; valid when `good`. */
	struct strbuf answer;
	bool good;
};

/** Listens at TCP @control. @wake_done stays the caller's. */
enum status_code pull_duty_init(struct pull_duty *duty,
				const struct endpoint *control, int wake_done,
				struct status *status);
enum status_code pull_duty_start(struct pull_duty *duty, struct status *status);
void pull_duty_stop(struct pull_duty *duty);
void pull_duty_finish(struct pull_duty *duty);

/** Starts a pull; false when too many wait already. */
bool pull_duty_submit(struct pull_duty *duty, const struct endpoint *peer,
		      struct str request);

/** The next job that is done, or NULL; ends with pull_job_free(). */
struct pull_job *pull_duty_take(struct pull_duty *duty);
void pull_job_free(struct pull_job *job);

#endif
