#ifndef TARRAGONFLOW_NODE_HANDOVER_LISTENER_H
#define TARRAGONFLOW_NODE_HANDOVER_LISTENER_H

#include <pthread.h>
#include <stdatomic.h>

#include "tarragonflow/common/status.h"
#include "tarragonflow/common/str.h"
#include "tarragonflow/net/endpoint.h"

/**
 * Replaces a running agent, the predecessor, by a new process on the same VM,
 * the successor. The successor starts with the same settings and connects to
 * the `handover` address. The predecessor then stops receiving packets, sends
 * its connections in one frame and exits. The predecessor closes this TCP
 * connection last, so that all its addresses are free once the successor reads
 * end of file.
 */
struct handover_listener {
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
enum status_code handover_listener_start(struct handover_listener *listener,
					 const struct endpoint *local,
					 struct status *status);
void handover_listener_finish(struct handover_listener *listener);

/**
 * Sends the serialized connections @flows to the successor; false when it has
 * closed the TCP connection, or on timeout.
 */
bool handover_listener_send(struct handover_listener *listener,
			    struct str flows);

/**
 * Fetches the serialized connections of the predecessor that listens at @local
 * into @flows, and waits until the predecessor exits. False, with @flows empty,
 * when no process listens at @local or the transfer fails.
 */
bool handover_fetch(const struct endpoint *local, struct strbuf *flows);

#endif
