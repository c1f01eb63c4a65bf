#ifndef TARRAGONFLOW_NODE_EXPLANATION_SLOT_H
#define TARRAGONFLOW_NODE_EXPLANATION_SLOT_H

#include <pthread.h>
#include <stdatomic.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/status.h"
#include "tarragonflow/route/explanation.h"

/** Longest wait of a request for the packet thread, ms. */
#define EXPLANATION_TIMEOUT_MS 500

enum explanation_slot_state {
	EXPLANATION_SLOT_IDLE,
	/** A request waits for the packet thread. */
	EXPLANATION_SLOT_ASKED,
	/** The packet thread writes the answer. */
	EXPLANATION_SLOT_ANSWERING,
	EXPLANATION_SLOT_ANSWERED,
};

/**
 * One request at a time from the threads of the admin API to the packet thread,
 * which alone uses the balancer's view and loads. The packet thread takes no
 * lock; while nothing is asked it reads one atomic.
 */
struct explanation_slot {
	/** enum explanation_slot_state. */
	_Atomic int state;
	/** The requesting thread's until the state is EXPLANATION_SLOT_ASKED,
	 * then the packet thread's until it is EXPLANATION_SLOT_ANSWERED. */
	struct flow_key key;
	struct explanation answer;
	/** Requesting threads only: `busy` while one has the slot. */
	pthread_mutex_t lock;
	pthread_cond_t released;
	bool busy;
	/** Eventfds that wake the packet thread (not owned), and the requesting
	 * thread. */
	int wake_fd, answered_fd;
	struct clock clock;
};

void explanation_slot_init(struct explanation_slot *slot, int wake_fd);
void explanation_slot_finish(struct explanation_slot *slot);

/**
 * Requests the explanation for a SYN with @key and waits for it. STATUS_TIMEOUT
 * when the packet thread does not answer within EXPLANATION_TIMEOUT_MS.
 */
enum status_code explanation_slot_ask(struct explanation_slot *slot,
				      const struct flow_key *key,
				      struct explanation *out,
				      struct status *status);

/** Answers a pending request; called by the packet thread. */
void explanation_slot_serve(struct explanation_slot *slot,
			    const struct balancer *balancer, int64_t now_ms);

#endif
