#include "gate_internal.h"

#include <string.h>

/*
 * A key is claimed at its first home and then at its second, so that of two
 * claimants one stops at the first. See claims.h for when a claim is held.
 */
static const struct str no_payload = {"", 0};

/* Time in which another request's claim may still end, ms. */
#define HELD_WAIT_MS 500

static void start_over(struct request *request)
{
	request->asked = 0;
	request->complete = false;
	request->first_instance = 0;
}

/* Asks again a little later, from the first home on. */
static void ask_later(struct gate *gate, struct request *request,
		      int64_t now_ms)
{
	start_over(request);
	request->next_ask_ms = now_ms + GATE_CLAIM_RETRY_MS;
	gate_wake_at(gate, request->next_ask_ms);
}

static void make_claim(const struct gate *gate, const struct request *request,
		       int64_t now_ms, struct order_message *message)
{
	claims_message(gate->claims, message, ORDER_CLAIM);
	message->key = request->key;
	message->owner.instance = gate->claims->options.instance;
	message->owner.request = request->id;
	message->age_ms = now_ms - request->arrived_ms;
	message->sent_ms = now_ms;
	message->refuse_only = request->refuse != ORDER_REASON_NONE;
}

static const struct name *home_name(const struct gate *gate,
				    const struct request *request, size_t which)
{
	return &gate->claims->list.names[request->pair.at[which]];
}

static void ask(struct gate *gate, struct request *request, int64_t now_ms,
		struct gate_sink *sink)
{
	const struct home_list *list = &gate->claims->list;
	struct order_message message, answer;

	request->next_ask_ms = now_ms + GATE_CLAIM_RETRY_MS;
	gate_wake_at(gate, request->next_ask_ms);
	if (!list->n)
		return;
	if (request->claim_epoch != list->epoch)
		start_over(request);
	request->claim_epoch = list->epoch;
	home_list_pair(list, &request->key, &request->pair);
	request->asked_ms = now_ms;
	make_claim(gate, request, now_ms, &message);
	if ((int)request->pair.at[request->asked] != gate->claims->self_at) {
		sink->send(sink, home_name(gate, request, request->asked),
			   &message);
		return;
	}
	claims_answer(gate->claims, &message, now_ms, &answer);
	gate_claim_answer(gate, &answer, now_ms, sink);
}

void gate_claim_start(struct gate *gate, struct request *request,
		      int64_t now_ms, struct gate_sink *sink)
{
	request->stage = STAGE_ASKING;
	request->claim_deadline_ms = now_ms + GATE_CLAIM_TIMEOUT_MS;
	gate->pending++;
	ask(gate, request, now_ms, sink);
}

static void held(struct gate *gate, struct request *request, int64_t now_ms,
		 struct gate_sink *sink)
{
	request->stage = STAGE_HELD;
	gate->pending--;
	if (request->refuse != ORDER_REASON_NONE)
		gate_conclude(gate, request, ORDER_NOT_RUN, request->refuse,
			      no_payload, now_ms, sink);
}

static void granted(struct gate *gate, struct request *request,
		    const struct order_message *answer, int64_t now_ms,
		    struct gate_sink *sink)
{
	bool last = request->asked + 1 == request->pair.n;

	request->complete = request->complete || answer->complete;
	if (request->asked == 0)
		request->first_instance = answer->instance;
	/* The first home restarted since and forgot what it granted. */
	else if (answer->peer_instance != request->first_instance) {
		ask_later(gate, request, now_ms);
		return;
	}
	if (!last) {
		request->asked++;
		ask(gate, request, now_ms, sink);
	} else if (request->complete) {
		held(gate, request, now_ms, sink);
	} else {
		request->found_new = true;
		ask_later(gate, request, now_ms);
	}
}

/* The first home lost its memory if only the second knows the key. */
static void correct_first(struct gate *gate, struct request *request,
			  enum claim_state state, int64_t now_ms,
			  struct gate_sink *sink)
{
	struct order_message message;

	make_claim(gate, request, now_ms, &message);
	message.type = ORDER_SETTLE;
	message.state = state == CLAIM_HELD ? CLAIM_UNKNOWN : state;
	if ((int)request->pair.at[0] == gate->claims->self_at)
		claims_settle(gate->claims, &message, now_ms);
	else
		sink->send(sink, home_name(gate, request, 0), &message);
}

static void taken(struct gate *gate, struct request *request,
		  enum claim_state state, int64_t now_ms,
		  struct gate_sink *sink)
{
	if (state == CLAIM_HELD &&
	    now_ms - request->arrived_ms < HELD_WAIT_MS) {
		ask_later(gate, request, now_ms);
		return;
	}
	if (request->asked)
		correct_first(gate, request, state, now_ms, sink);
	/* Nothing of ours is left to settle. */
	request->has_key = false;
	if (state == CLAIM_DONE)
		gate_conclude(gate, request, ORDER_DONE,
			      ORDER_REASON_REPEATED_DONE, no_payload, now_ms,
			      sink);
	else
		gate_conclude(gate, request, ORDER_UNKNOWN,
			      state == CLAIM_HELD
				      ? ORDER_REASON_REPEATED_RUNNING
				      : ORDER_REASON_REPEATED_UNKNOWN,
			      no_payload, now_ms, sink);
}

/* Another attempt under the key was told not run after this one arrived. */
static void superseded(struct gate *gate, struct request *request,
		       int64_t now_ms, struct gate_sink *sink)
{
	gate_refuse(gate, request, ORDER_REASON_SUPERSEDED, now_ms, sink);
	start_over(request);
	ask(gate, request, now_ms, sink);
}

/* Who has the older list learns the other's. */
static void stale(struct gate *gate, struct request *request,
		  const struct order_message *answer, int64_t now_ms,
		  struct gate_sink *sink)
{
	struct order_message message;

	if (answer->list)
		claims_hear_list(gate->claims, answer->list, now_ms);
	if (answer->epoch < gate->claims->list.epoch) {
		claims_message(gate->claims, &message, ORDER_BEACON);
		message.list = &gate->claims->list;
		sink->send(sink, &answer->from, &message);
	}
	ask_later(gate, request, now_ms);
}

static bool answers(const struct gate *gate, const struct request *request,
		    const struct order_message *answer, int64_t now_ms)
{
	return request->stage == STAGE_ASKING &&
	       request->asked_ms == answer->sent_ms &&
	       now_ms - answer->sent_ms <= CLAIM_LIFE_MS &&
	       request->claim_epoch == gate->claims->list.epoch &&
	       name_equal(&answer->from,
			  home_name(gate, request, request->asked));
}

void gate_claim_answer(struct gate *gate, const struct order_message *answer,
		       int64_t now_ms, struct gate_sink *sink)
{
	struct request *request = gate_find(gate, answer->owner.request);

	if (!request ||
	    answer->owner.instance != gate->claims->options.instance ||
	    !order_key_equal(&answer->key, &request->key) ||
	    !answers(gate, request, answer, now_ms)) {
		counter_inc(gate->counters, COUNTER_CLAIM_RESPONSE_LATE);
		return;
	}
	if (answer->verdict != CLAIM_STALE &&
	    answer->epoch != request->claim_epoch) {
		ask_later(gate, request, now_ms);
		return;
	}
	switch (answer->verdict) {
	case CLAIM_GRANTED:
		granted(gate, request, answer, now_ms, sink);
		break;
	case CLAIM_TAKEN:
		taken(gate, request, answer->state, now_ms, sink);
		break;
	case CLAIM_STALE:
		stale(gate, request, answer, now_ms, sink);
		break;
	case CLAIM_TOO_OLD:
		superseded(gate, request, now_ms, sink);
		break;
	case CLAIM_FENCED:
		ask_later(gate, request, now_ms);
		break;
	case CLAIM_FULL:
		gate_conclude(gate, request, ORDER_UNKNOWN,
			      ORDER_REASON_HOMES_FULL, no_payload, now_ms,
			      sink);
		break;
	}
}

void gate_claim_tick(struct gate *gate, struct request *request, int64_t now_ms,
		     struct gate_sink *sink)
{
	if (now_ms >= request->claim_deadline_ms)
		gate_conclude(gate, request, ORDER_UNKNOWN,
			      request->found_new ? ORDER_REASON_HOMES_NEW
						 : ORDER_REASON_HOMES_SILENT,
			      no_payload, now_ms, sink);
	else if (now_ms >= request->next_ask_ms)
		ask(gate, request, now_ms, sink);
}
