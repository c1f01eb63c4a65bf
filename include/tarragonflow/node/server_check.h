#ifndef TARRAGONFLOW_NODE_SERVER_CHECK_H
#define TARRAGONFLOW_NODE_SERVER_CHECK_H

#include <pthread.h>
#include <stdatomic.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/status.h"
#include "tarragonflow/net/endpoint.h"

/**
 * A duty that finds out whether the local backend server still listens, when
 * the packet duty doubts it: a refused TCP connection proves that its process
 * has ended, and its connections with it.
 */
struct server_check {
	/** Where the server listens. */
	struct endpoint server;
	struct clock clock;
	/** Wakes the duty for one check. */
	int wake;
	_Atomic bool stop;
	pthread_t thread;
	/** Called from the duty when the server refused; @user is passed on. */
	void (*ended)(void *user);
	void *user;
};

enum status_code server_check_start(struct server_check *check,
				    const struct endpoint *server,
				    void (*ended)(void *user), void *user,
				    struct status *status);
void server_check_finish(struct server_check *check);

/** Asks for a check; from any thread. */
void server_check_want(struct server_check *check);

/** Checks at once, within a bounded time; from any thread. */
bool server_check_refused(const struct server_check *check);

#endif
