#include "gate_internal.h"

#include <string.h>

/*
 * A gate claims a key at the key's first home and then at its second home, so
 * one of two concurrent claims fails at the first home. The claim is held when
 * both homes granted it and at least one of them is complete, see claims.h.
 */
static const struct str no_payload = {"", 0};

/*
 * While another request holds the key, a request retries its claim until this
 * time after its arrival, ms: the other request may still end.
 */
#define CLAIM_HELD_WAIT_MS 500

/* The next try of the claim starts at the first home. */
static void restart_claim(struct request *request)
{
	request->home_index = 0;
	request->home_complete = false;
	request->first_home_instance = 0;
}

/* Schedules another try of the claim, starting at the first home. */
static void retry_claim_later(struct gate *gate, struct request *request,
			      int64_t now_ms)
{
	restart_claim(request);
	request->next_claim_ms = now_ms + GATE_CLAIM_RETRY_MS;
	gate_wake_at(gate, request->next_claim_ms);
}

static void fill_claim(const struct gate *gate, const struct request *request,
		       int64_t now_ms, struct order_message *message)
{
	claims_init_message(gate->claims, message, ORDER_CLAIM);
	message->key = request->key;
	message->owner.instance = gate->claims->options.instance;
	message->owner.request = request->id;
	message->age_ms = now_ms - request->arrived_ms;
	message->sent_ms = now_ms;
	message->refuse_only = request->refuse_reason != ORDER_REASON_NONE;
}

static const struct name *claim_home_name(const struct gate *gate,
					  const struct request *request,
					  size_t home_index)
{
	return &gate->claims->list.names[request->homes.index[home_index]];
}

/* Sends the claim to the home at request->home_index. */
static void send_claim(struct gate *gate, struct request *request,
		       int64_t now_ms, struct gate_sink *sink)
{
	const struct home_list *list = &gate->claims->list;
	struct order_message message, response;

	request->next_claim_ms = now_ms + GATE_CLAIM_RETRY_MS;
	gate_wake_at(gate, request->next_claim_ms);
	if (!list->n)
		return;
	if (request->claim_list_epoch != list->epoch)
		restart_claim(request);
	request->claim_list_epoch = list->epoch;
	home_list_select_pair(list, &request->key, &request->homes);
	request->claim_sent_ms = now_ms;
	fill_claim(gate, request, now_ms, &message);
	if ((int)request->homes.index[request->home_index] !=
	    gate->claims->self_index) {
		sink->send(sink,
			   claim_home_name(gate, request, request->home_index),
			   &message);
		return;
	}
	claims_handle_claim(gate->claims, &message, now_ms, &response);
	gate_claim_handle_response(gate, &response, now_ms, sink);
}

void gate_claim_start(struct gate *gate, struct request *request,
		      int64_t now_ms, struct gate_sink *sink)
{
	request->claim_stage = CLAIM_STAGE_PENDING;
	request->claim_deadline_ms = now_ms + GATE_CLAIM_TIMEOUT_MS;
	gate->claims_pending++;
	send_claim(gate, request, now_ms, sink);
}

static void finish_claim(struct gate *gate, struct request *request,
			 int64_t now_ms, struct gate_sink *sink)
{
	request->claim_stage = CLAIM_STAGE_HELD;
	gate->claims_pending--;
	if (request->refuse_reason != ORDER_REASON_NONE)
		gate_conclude(gate, request, ORDER_NOT_RUN,
			      request->refuse_reason, no_payload, now_ms, sink);
}

static void handle_grant(struct gate *gate, struct request *request,
			 const struct order_message *response, int64_t now_ms,
			 struct gate_sink *sink)
{
	bool last_home = request->home_index + 1 == request->homes.n;

	request->home_complete = request->home_complete || response->complete;
	if (request->home_index == 0)
		request->first_home_instance = response->instance;
	/* The first home restarted after its grant and lost the claim. */
	else if (response->peer_instance != request->first_home_instance) {
		retry_claim_later(gate, request, now_ms);
		return;
	}
	if (!last_home) {
		request->home_index++;
		send_claim(gate, request, now_ms, sink);
	} else if (request->home_complete) {
		finish_claim(gate, request, now_ms, sink);
	} else {
		request->homes_incomplete = true;
		retry_claim_later(gate, request, now_ms);
	}
}

/*
 * Another request has the key at the second home, but the first home granted
 * this request's claim, so it lost the other one. Restores the state of the
 * other claim at the first home; a held claim as CLAIM_UNKNOWN.
 */
static void restore_first_home(struct gate *gate, struct request *request,
			       enum claim_state state, int64_t now_ms,
			       struct gate_sink *sink)
{
	struct order_message message;

	fill_claim(gate, request, now_ms, &message);
	message.type = ORDER_SETTLE;
	message.state = state == CLAIM_HELD ? CLAIM_UNKNOWN : state;
	if ((int)request->homes.index[0] == gate->claims->self_index)
		claims_settle(gate->claims, &message, now_ms);
	else
		sink->send(sink, claim_home_name(gate, request, 0), &message);
}

static void handle_conflict(struct gate *gate, struct request *request,
			    enum claim_state state, int64_t now_ms,
			    struct gate_sink *sink)
{
	if (state == CLAIM_HELD &&
	    now_ms - request->arrived_ms < CLAIM_HELD_WAIT_MS) {
		retry_claim_later(gate, request, now_ms);
		return;
	}
	if (request->home_index)
		restore_first_home(gate, request, state, now_ms, sink);
	/* This request holds no claim to settle. */
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

/*
 * Another request with the key was reported not run after @request arrived, so
 * @request must not run. It claims the key again, just to be refused.
 */
static void handle_superseded(struct gate *gate, struct request *request,
			      int64_t now_ms, struct gate_sink *sink)
{
	gate_refuse(gate, request, ORDER_REASON_SUPERSEDED, now_ms, sink);
	restart_claim(request);
	send_claim(gate, request, now_ms, sink);
}

/* The side with the older home list receives the newer one. */
static void handle_list_mismatch(struct gate *gate, struct request *request,
				 const struct order_message *response,
				 int64_t now_ms, struct gate_sink *sink)
{
	struct order_message message;

	if (response->list)
		claims_receive_list(gate->claims, response->list, now_ms);
	if (response->epoch < gate->claims->list.epoch) {
		claims_init_message(gate->claims, &message, ORDER_BEACON);
		message.list = &gate->claims->list;
		sink->send(sink, &response->from, &message);
	}
	retry_claim_later(gate, request, now_ms);
}

/* Whether @response is a timely response to the last claim sent. */
static bool response_matches(const struct gate *gate,
			     const struct request *request,
			     const struct order_message *response,
			     int64_t now_ms)
{
	return request->claim_stage == CLAIM_STAGE_PENDING &&
	       request->claim_sent_ms == response->sent_ms &&
	       now_ms - response->sent_ms <= CLAIM_RESPONSE_TTL_MS &&
	       request->claim_list_epoch == gate->claims->list.epoch &&
	       name_equal(&response->from,
			  claim_home_name(gate, request, request->home_index));
}

void gate_claim_handle_response(struct gate *gate,
				const struct order_message *response,
				int64_t now_ms, struct gate_sink *sink)
{
	struct request *request =
		gate_find_request(gate, response->owner.request);

	if (!request ||
	    response->owner.instance != gate->claims->options.instance ||
	    !order_key_equal(&response->key, &request->key) ||
	    !response_matches(gate, request, response, now_ms)) {
		counter_inc(gate->counters, COUNTER_CLAIM_RESPONSE_LATE);
		return;
	}
	if (response->verdict != CLAIM_LIST_MISMATCH &&
	    response->epoch != request->claim_list_epoch) {
		retry_claim_later(gate, request, now_ms);
		return;
	}
	switch (response->verdict) {
	case CLAIM_GRANTED:
		handle_grant(gate, request, response, now_ms, sink);
		break;
	case CLAIM_CONFLICT:
		handle_conflict(gate, request, response->state, now_ms, sink);
		break;
	case CLAIM_LIST_MISMATCH:
		handle_list_mismatch(gate, request, response, now_ms, sink);
		break;
	case CLAIM_SUPERSEDED:
		handle_superseded(gate, request, now_ms, sink);
		break;
	case CLAIM_FENCED:
		retry_claim_later(gate, request, now_ms);
		break;
	case CLAIM_TABLE_FULL:
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
			      request->homes_incomplete
				      ? ORDER_REASON_HOMES_INCOMPLETE
				      : ORDER_REASON_HOMES_NO_RESPONSE,
			      no_payload, now_ms, sink);
	else if (now_ms >= request->next_claim_ms)
		send_claim(gate, request, now_ms, sink);
}
