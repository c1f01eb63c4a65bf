#ifndef TARRAGONFLOW_NODE_HANDOVER_DUTY_H
#define TARRAGONFLOW_NODE_HANDOVER_DUTY_H

#include <pthread.h>
#include <stdatomic.h>

#include "tarragonflow/common/status.h"
#include "tarragonflow/common/str.h"
#include "tarragonflow/net/endpoint.h"

/**
 * Replaces an agent by a newer process on the same VM. The successor starts
 * with the same settings and connects to the `handover` address; its
 * predecessor stops taking packets, sends its connections in one frame and
 * ends. The connection closes with the predecessor, so that its addresses
 * are free when the successor sees the end.
 */
struct handover_duty {
	int listen_fd;
	/** The successor's connection, -1 until there is one. */
	int peer_fd;
	/** A successor asked. */
	_Atomic bool requested;
	_Atomic bool stop;
	pthread_t thread;
};

/** Listens at @local; a request raises SIGTERM in this process. */
enum status_code handover_duty_start(struct handover_duty *duty,
				     const struct endpoint *local,
				     struct status *status);
void handover_duty_finish(struct handover_duty *duty);

/** Sends @flows to the successor; false when it did not take them. */
bool handover_duty_send(struct handover_duty *duty, struct str flows);

/**
 * Asks a predecessor at @local for its connections and waits until it has
 * ended. False, with @flows empty, when there is none or it failed.
 */
bool handover_fetch(const struct endpoint *local, struct strbuf *flows);

#endif
