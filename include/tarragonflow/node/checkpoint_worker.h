#ifndef TARRAGONFLOW_NODE_CHECKPOINT_WORKER_H
#define TARRAGONFLOW_NODE_CHECKPOINT_WORKER_H

#include <pthread.h>
#include <stdatomic.h>

#include "tarragonflow/flow/checkpoint.h"
#include "tarragonflow/node/node.h"
#include "tarragonflow/store/http_store.h"
#include "tarragonflow/store/object_replacement.h"

/**
 * Reads and writes the checkpoint of an agent. A thread of its own reads it at
 * the start, passes the connections to the packet thread and claims the
 * checkpoint; it ends when that is done.
 */
struct checkpoint_worker {
	struct node *node;
	struct http_store http;
	struct object_replacement object;
	/** The thread was started and has not been joined. */
	bool started;
	pthread_t thread;
	_Atomic bool stop;
	int stop_fd;
	struct random random;
	/** Connections of the predecessor were found, and how long the server
	 * may have others, ms. */
	bool predecessor_found;
	int64_t incomplete_ms;
};

enum status_code checkpoint_worker_start(struct checkpoint_worker *worker,
					 struct node *node,
					 struct status *status);

/**
 * Ends the thread and reads the checkpoint, so that one write can save the
 * connections. Blocks for at most @timeout_ms.
 */
void checkpoint_worker_prepare_save(struct checkpoint_worker *worker,
				    int64_t timeout_ms);

/**
 * Saves @connections, written by handover_export(); the server may have others
 * for @incomplete_ms. Blocks for at most @timeout_ms. Makes no call if
 * checkpoint_worker_prepare_save() could not read the checkpoint, since packets
 * are not handled meanwhile.
 */
void checkpoint_worker_save(struct checkpoint_worker *worker,
			    const struct strbuf *connections,
			    int64_t incomplete_ms, int64_t timeout_ms);

/** Deletes the checkpoint, as the server has ended. Call
 * checkpoint_worker_prepare_save() first. */
void checkpoint_worker_delete(struct checkpoint_worker *worker);

/** Ends the thread if it still runs and frees everything. */
void checkpoint_worker_finish(struct checkpoint_worker *worker);

#endif
