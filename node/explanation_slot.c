#include "tarragonflow/node/explanation_slot.h"

#include <time.h>

#include "tarragonflow/node/node.h"

#define MS_PER_S 1000
#define NS_PER_MS 1000000

void explanation_slot_init(struct explanation_slot *slot, int wake_fd)
{
	pthread_condattr_t attr;

	atomic_init(&slot->pending, false);
	pthread_mutex_init(&slot->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&slot->changed, &attr);
	pthread_condattr_destroy(&attr);
	slot->state = EXPLANATION_SLOT_FREE;
	slot->wake_fd = wake_fd;
	clock_init_monotonic(&slot->clock);
}

void explanation_slot_finish(struct explanation_slot *slot)
{
	pthread_cond_destroy(&slot->changed);
	pthread_mutex_destroy(&slot->lock);
}

/* Waits until the state is @state; false when @deadline passes first. Call with
 * the lock held. */
static bool wait_for_state(struct explanation_slot *slot,
			   enum explanation_slot_state state,
			   const struct timespec *deadline)
{
	while (slot->state != state)
		if (pthread_cond_timedwait(&slot->changed, &slot->lock,
					   deadline))
			return slot->state == state;
	return true;
}

static void set_state(struct explanation_slot *slot,
		      enum explanation_slot_state state)
{
	slot->state = state;
	atomic_store(&slot->pending, state == EXPLANATION_SLOT_ASKED);
	pthread_cond_broadcast(&slot->changed);
}

enum status_code explanation_slot_ask(struct explanation_slot *slot,
				      const struct flow_key *key,
				      struct explanation *out,
				      struct status *status)
{
	int64_t end_ms = clock_now(&slot->clock) + EXPLANATION_TIMEOUT_MS;
	const struct timespec deadline = {
		.tv_sec = end_ms / MS_PER_S,
		.tv_nsec = end_ms % MS_PER_S * NS_PER_MS,
	};
	bool answered = false;

	pthread_mutex_lock(&slot->lock);
	if (wait_for_state(slot, EXPLANATION_SLOT_FREE, &deadline)) {
		slot->key = *key;
		set_state(slot, EXPLANATION_SLOT_ASKED);
		/* The packet thread skips a request while the lock is held. */
		pthread_mutex_unlock(&slot->lock);
		node_wake(slot->wake_fd);
		pthread_mutex_lock(&slot->lock);
		answered = wait_for_state(slot, EXPLANATION_SLOT_ANSWERED,
					  &deadline);
		if (answered)
			*out = slot->answer;
		set_state(slot, EXPLANATION_SLOT_FREE);
	}
	pthread_mutex_unlock(&slot->lock);
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
	if (!atomic_load(&slot->pending) || pthread_mutex_trylock(&slot->lock))
		return;
	if (slot->state == EXPLANATION_SLOT_ASKED) {
		explanation_init(&slot->answer, balancer, &slot->key, now_ms);
		set_state(slot, EXPLANATION_SLOT_ANSWERED);
	}
	pthread_mutex_unlock(&slot->lock);
}
