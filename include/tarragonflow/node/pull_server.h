#ifndef TARRAGONFLOW_NODE_PULL_SERVER_H
#define TARRAGONFLOW_NODE_PULL_SERVER_H

#include <pthread.h>
#include <stdatomic.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/ring.h"
#include "tarragonflow/common/status.h"
#include "tarragonflow/common/str.h"
#include "tarragonflow/control/config_store.h"
#include "tarragonflow/net/endpoint.h"

/** A thread that pulls from peers, one at a time. */
struct pull_worker {
	struct pull_server *server;
	/** Rings of struct pull_job: jobs to run, and jobs that were run. */
	struct ring queued, finished;
	/** Eventfd that wakes the thread. */
	int wake_fd;
	/** Jobs that are queued or running. */
	_Atomic unsigned int n_pending;
	pthread_t thread;
};

/**
 * Transfers control state that is too large for a datagram, over TCP. One
 * thread serves the pull requests of peers; several workers pull from peers, so
 * that one stalled peer does not delay the others. Requests and
 * responses are frames with one control message each.
 */
struct pull_server {
	/**
	 * Writes the response to a peer's @request into @out; false to send
	 * none. Called by the server thread.
	 */
	bool (*handle_request)(struct pull_server *server, struct str request,
			       struct strbuf *out);
	struct clock clock;
	int listen_fd;
	struct pull_worker workers[CONFIG_PULLS_MAX];
	/** Eventfd to wake when a job has finished. */
	int finished_jobs_wake_fd;
	/** Eventfd that wakes the server thread to stop it. */
	int stop_wake_fd;
	_Atomic bool stop;
	pthread_t server_thread;
};

/** One pull request to a peer, and its response. */
struct pull_job {
	struct endpoint peer;
	struct strbuf request;
	/** Response of the peer; complete only when `succeeded`. */
	struct strbuf response;
	bool succeeded;
};

/**
 * Listens on TCP at the address and port of @control, which control messages
 * use on UDP. The caller keeps ownership of @finished_jobs_wake_fd.
 */
enum status_code pull_server_init(struct pull_server *server,
				  const struct endpoint *control,
				  int finished_jobs_wake_fd,
				  struct status *status);
enum status_code pull_server_start(struct pull_server *server,
				   struct status *status);
void pull_server_stop(struct pull_server *server);
void pull_server_finish(struct pull_server *server);

/** Queues a pull; false when the queue of the least busy worker is full. */
bool pull_server_submit(struct pull_server *server, const struct endpoint *peer,
			struct str request);

/** Returns the next finished job, to be freed with pull_job_free(), or NULL. */
struct pull_job *pull_server_pop_finished(struct pull_server *server);
void pull_job_free(struct pull_job *job);

#endif
