#include "tarragonflow/node/explanation_slot.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include "tarragonflow/node/node.h"

#define MS_PER_S 1000
#define NS_PER_MS 1000000

void explanation_slot_init(struct explanation_slot *slot, int wake_fd)
{
	pthread_condattr_t attr;

	atomic_init(&slot->state, EXPLANATION_SLOT_IDLE);
	pthread_mutex_init(&slot->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&slot->released, &attr);
	pthread_condattr_destroy(&attr);
	slot->busy = false;
	slot->wake_fd = wake_fd;
	slot->answered_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	clock_init_monotonic(&slot->clock);
}

void explanation_slot_finish(struct explanation_slot *slot)
{
	close(slot->answered_fd);
	pthread_cond_destroy(&slot->released);
	pthread_mutex_destroy(&slot->lock);
}

/* Waits for other requests to end; false when @end_ms comes first. */
static bool acquire(struct explanation_slot *slot, int64_t end_ms)
{
	const struct timespec end = {
		.tv_sec = end_ms / MS_PER_S,
		.tv_nsec = end_ms % MS_PER_S * NS_PER_MS,
	};
	int error = 0;
	bool acquired;

	pthread_mutex_lock(&slot->lock);
	while (slot->busy && !error)
		error = pthread_cond_timedwait(&slot->released, &slot->lock,
					       &end);
	acquired = !slot->busy;
	slot->busy = true;
	pthread_mutex_unlock(&slot->lock);
	return acquired;
}

static void release(struct explanation_slot *slot)
{
	pthread_mutex_lock(&slot->lock);
	slot->busy = false;
	pthread_cond_signal(&slot->released);
	pthread_mutex_unlock(&slot->lock);
}

/* Waits for the answer, and withdraws the request when @end_ms comes first. An
 * answer that has been begun is waited for, as it is being written. */
static bool wait_for_answer(struct explanation_slot *slot, int64_t end_ms)
{
	struct pollfd fd = {.fd = slot->answered_fd, .events = POLLIN};

	while (atomic_load(&slot->state) != EXPLANATION_SLOT_ANSWERED) {
		int64_t left_ms = end_ms - clock_now(&slot->clock);
		int asked = EXPLANATION_SLOT_ASKED;

		if (left_ms <= 0 &&
		    atomic_compare_exchange_strong(&slot->state, &asked,
						   EXPLANATION_SLOT_IDLE))
			return false;
		poll(&fd, 1, left_ms > 0 ? (int)left_ms : 1);
		node_wake_clear(slot->answered_fd);
	}
	return true;
}

enum status_code explanation_slot_ask(struct explanation_slot *slot,
				      const struct flow_key *key,
				      struct explanation *out,
				      struct status *status)
{
	int64_t end_ms = clock_now(&slot->clock) + EXPLANATION_TIMEOUT_MS;
	bool answered = false;

	if (acquire(slot, end_ms)) {
		slot->key = *key;
		atomic_store(&slot->state, EXPLANATION_SLOT_ASKED);
		node_wake(slot->wake_fd);
		answered = wait_for_answer(slot, end_ms);
		if (answered)
			*out = slot->answer;
		atomic_store(&slot->state, EXPLANATION_SLOT_IDLE);
		release(slot);
	}
	if (!answered)
		return status_set(status, STATUS_TIMEOUT,
				  "the packet thread did not answer within "
				  "%d ms",
				  EXPLANATION_TIMEOUT_MS);
	return STATUS_OK;
}

void explanation_slot_serve(struct explanation_slot *slot,
			    const struct balancer *balancer, int64_t now_ms)
{
	int asked = EXPLANATION_SLOT_ASKED;

	if (atomic_load(&slot->state) != EXPLANATION_SLOT_ASKED ||
	    !atomic_compare_exchange_strong(&slot->state, &asked,
					    EXPLANATION_SLOT_ANSWERING))
		return;
	explanation_init(&slot->answer, balancer, &slot->key, now_ms);
	atomic_store(&slot->state, EXPLANATION_SLOT_ANSWERED);
	node_wake(slot->answered_fd);
}
