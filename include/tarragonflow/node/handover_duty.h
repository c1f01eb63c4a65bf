#ifndef TARRAGONFLOW_NODE_HANDOVER_DUTY_H
#define TARRAGONFLOW_NODE_HANDOVER_DUTY_H

#include <pthread.h>
#include <stdatomic.h>

#include "tarragonflow/common/status.h"
#include "tarragonflow/common/str.h"
#include "tarragonflow/net/endpoint.h"

/**
 * Replaces a running agent, the predecessor, by a new process on the same VM,
 * the successor. The successor starts with the same settings and connects to
 * the `handover` address. The predecessor then stops receiving packets, sends
 * its connections in one frame and exits. It closes the TCP connection last,
 * so that its addresses are free once the successor reads end of file.
 */
struct handover_duty {
	int listen_fd;
	/** TCP connection to the successor, or -1. */
	int successor_fd;
	/** A successor has connected. */
	_Atomic bool requested;
	_Atomic bool stop;
	pthread_t thread;
};

/**
 * Listens at @local in a thread. The first successor that connects sets
 * `requested` and raises SIGTERM in this process.
 */
enum status_code handover_duty_start(struct handover_duty *duty,
				     const struct endpoint *local,
				     struct status *status);
void handover_duty_finish(struct handover_duty *duty);

/** Sends @flows to the successor; false on a closed connection or timeout. */
bool handover_duty_send(struct handover_duty *duty, struct str flows);

/**
 * Receives the connections of the predecessor at @local into @flows and waits
 * until it closes the connection on exit. False, with @flows empty, when no
 * process listens there or the transfer fails.
 */
bool handover_fetch(const struct endpoint *local, struct strbuf *flows);

#endif
