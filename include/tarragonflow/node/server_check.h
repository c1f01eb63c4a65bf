#ifndef TARRAGONFLOW_NODE_SERVER_CHECK_H
#define TARRAGONFLOW_NODE_SERVER_CHECK_H

#include <pthread.h>
#include <stdatomic.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/status.h"
#include "tarragonflow/net/endpoint.h"

/** A thread that checks on request whether the local backend server still
 * listens. */
struct server_check {
	/** TCP address where the server listens. */
	struct endpoint server;
	struct clock clock;
	/** Eventfd that requests one check. */
	int wake_fd;
	_Atomic bool stop;
	pthread_t thread;
	/** Called by the thread after each check, with `user`, the time at
	 * which the check began, ms, and whether the server refused the
	 * connection.
	 */
	void (*on_result)(void *user, int64_t began_ms, bool refused);
	void *user;
};

enum status_code server_check_start(
	struct server_check *check, const struct endpoint *server,
	void (*on_result)(void *user, int64_t began_ms, bool refused),
	void *user, struct status *status);
void server_check_finish(struct server_check *check);

/** Makes the thread run a check; thread-safe. */
void server_check_request(struct server_check *check);

#endif
