#ifndef TARRAGONFLOW_NODE_SERVER_CHECK_H
#define TARRAGONFLOW_NODE_SERVER_CHECK_H

#include <pthread.h>
#include <stdatomic.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/status.h"
#include "tarragonflow/net/endpoint.h"

/**
 * A thread that checks on request whether the local backend server still
 * listens. A refused TCP connection proves that the server's process has exited
 * and all its connections are lost.
 */
struct server_check {
	/** TCP address where the server listens. */
	struct endpoint server;
	struct clock clock;
	/** Eventfd that requests one check. */
	int wake_fd;
	_Atomic bool stop;
	pthread_t thread;
	/** Called by the thread, with `user`, on a refused connection. */
	void (*on_refused)(void *user);
	void *user;
};

enum status_code server_check_start(struct server_check *check,
				    const struct endpoint *server,
				    void (*on_refused)(void *user), void *user,
				    struct status *status);
void server_check_finish(struct server_check *check);

/** Makes the thread run a check; thread-safe. */
void server_check_request(struct server_check *check);

/**
 * Whether the server refuses a connection now; blocks for a bounded time.
 * Thread-safe.
 */
bool server_check_refused(const struct server_check *check);

#endif
