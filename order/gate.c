#include "gate_internal.h"

#include <string.h>

#define THOUSAND 1000
#define RETRY_AFTER_S 1

static const struct str no_payload = {"", 0};

bool request_needs_claim(const struct request *request)
{
	return request->has_key && !request->idempotent && !request->remote;
}

bool request_ready(const struct request *request)
{
	return request->stage != STAGE_ASKING;
}

static void request_free(gpointer data)
{
	struct request *request = data;

	strbuf_finish(&request->payload);
	g_free(request);
}

void gate_init(struct gate *gate, const struct gate_options *options,
	       struct claims *claims, struct counters *counters)
{
	memset(gate, 0, sizeof(*gate));
	gate->options = *options;
	gate->claims = claims;
	gate->counters = counters;
	gate->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, request_free);
	gate->callers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, NULL);
	for (int i = 0; i < ORDER_CLASSES; i++)
		g_queue_init(&gate->queues[i]);
	gate->next_remote_id = GATE_REMOTE_ID;
	gate->next_deadline_ms = INT64_MAX;
	claims->room = options->slots;
	gate_transfer_init(gate);
	gate_settle_init(gate);
}

void gate_finish(struct gate *gate)
{
	gate_settle_finish(gate);
	gate_transfer_finish(gate);
	g_hash_table_destroy(gate->callers);
	g_hash_table_destroy(gate->requests);
}

struct request *gate_find(const struct gate *gate, uint64_t id)
{
	return g_hash_table_lookup(gate->requests, &id);
}

struct request *gate_add(struct gate *gate, uint64_t id, int64_t now_ms)
{
	struct request *request = g_new0(struct request, 1);

	request->id = id;
	request->arrived_ms = now_ms;
	request->link.data = request;
	strbuf_init(&request->payload);
	g_hash_table_insert(gate->requests, &request->id, request);
	return request;
}

void gate_wake_at(struct gate *gate, int64_t at_ms)
{
	gate->next_deadline_ms = MIN(gate->next_deadline_ms, at_ms);
}

int64_t gate_next_deadline(const struct gate *gate)
{
	return gate->next_deadline_ms;
}

static uint32_t caller_queued(const struct gate *gate, uint64_t caller)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(gate->callers, &caller));
}

static void count_caller(struct gate *gate, uint64_t caller, int change)
{
	uint32_t n = caller_queued(gate, caller) + (uint32_t)change;

	if (n)
		g_hash_table_replace(gate->callers,
				     g_memdup2(&caller, sizeof(caller)),
				     GUINT_TO_POINTER(n));
	else
		g_hash_table_remove(gate->callers, &caller);
}

void gate_enqueue(struct gate *gate, struct request *request, bool first)
{
	GQueue *queue = &gate->queues[request->class];

	request->queued = true;
	request->state = ORDER_STATE_QUEUED;
	if (first)
		g_queue_push_head_link(queue, &request->link);
	else
		g_queue_push_tail_link(queue, &request->link);
	gate->queued++;
	count_caller(gate, request->caller, 1);
}

void gate_dequeue(struct gate *gate, struct request *request)
{
	if (!request->queued)
		return;
	request->queued = false;
	g_queue_unlink(&gate->queues[request->class], &request->link);
	gate->queued--;
	count_caller(gate, request->caller, -1);
}

static void tell(struct gate *gate, uint64_t id, enum order_outcome outcome,
		 enum order_reason reason, struct str payload,
		 struct gate_sink *sink)
{
	static const enum counter_id counters[] = {
#define REASON_COUNTER(name, text, counter) COUNTER_##counter,
		ORDER_REASON_LIST(REASON_COUNTER)
#undef REASON_COUNTER
	};
	struct order_told told = {
		.id = id,
		.outcome = outcome,
		.reason = reason,
		.payload = payload,
		.retry_after_s = outcome == ORDER_NOT_RUN ? RETRY_AFTER_S : 0,
	};

	counter_inc(gate->counters, counters[reason]);
	sink->tell(sink, &told);
}

static enum claim_state settled_state(const struct request *request,
				      enum order_outcome outcome)
{
	if (outcome == ORDER_DONE)
		return CLAIM_DONE;
	if (outcome == ORDER_NOT_RUN || !request->exposed)
		return CLAIM_RELEASED;
	return CLAIM_UNKNOWN;
}

void gate_conclude(struct gate *gate, struct request *request,
		   enum order_outcome outcome, enum order_reason reason,
		   struct str payload, int64_t now_ms, struct gate_sink *sink)
{
	gate_dequeue(gate, request);
	if (request->stage == STAGE_ASKING)
		gate->pending--;
	if (request_needs_claim(request))
		gate_settle(gate, request, settled_state(request, outcome),
			    now_ms, sink);
	request->stage = STAGE_HELD;
	if (request->remote)
		gate_transfer_tell(gate, request, outcome, reason, payload,
				   sink);
	else
		tell(gate, request->id, outcome, reason, payload, sink);
	request->told = true;
	if (request->state == ORDER_STATE_DISPATCHED)
		request->state = ORDER_STATE_TOLD;
	else
		g_hash_table_remove(gate->requests, &request->id);
}

void gate_refuse(struct gate *gate, struct request *request,
		 enum order_reason reason, int64_t now_ms,
		 struct gate_sink *sink)
{
	gate_dequeue(gate, request);
	if (request_ready(request)) {
		gate_conclude(gate, request, ORDER_NOT_RUN, reason, no_payload,
			      now_ms, sink);
		return;
	}
	if (request->refuse == ORDER_REASON_NONE)
		request->refuse = reason;
}

/* The first request of @class whose claim is held. */
static struct request *first_ready(const struct gate *gate,
				   enum order_class class)
{
	for (GList *link = gate->queues[class].head; link; link = link->next)
		if (request_ready(link->data))
			return link->data;
	return NULL;
}

static struct request *pick(struct gate *gate)
{
	struct request *order = first_ready(gate, ORDER_CLASS_ORDER);
	struct request *upload = first_ready(gate, ORDER_CLASS_UPLOAD);

	if (upload &&
	    (!order || gate->orders_in_row >= GATE_ORDERS_PER_UPLOAD)) {
		gate->orders_in_row = 0;
		return upload;
	}
	if (order && upload)
		gate->orders_in_row++;
	return order;
}

static void set_room(struct gate *gate)
{
	uint32_t busy = gate->running + gate->queued;

	gate->claims->room = gate->draining || busy >= gate->options.slots
				     ? 0
				     : gate->options.slots - busy;
}

/* A mean of the last eight or so whole answers. */
static void note_time(struct gate *gate, const struct request *request,
		      int64_t now_ms)
{
	int64_t *usual = &gate->usual_8th_ms[request->class];

	*usual += now_ms - request->dispatched_ms - *usual / 8;
}

static bool too_late(const struct gate *gate, const struct request *request,
		     int64_t now_ms)
{
	return !request->idempotent &&
	       (request->deadline_ms - now_ms) * 8 <
		       gate->usual_8th_ms[request->class] *
			       GATE_TIME_LEFT_FACTOR;
}

static void dispatch(struct gate *gate, struct request *request, int64_t now_ms,
		     struct gate_sink *sink)
{
	request->dispatched_ms = now_ms;
	gate_dequeue(gate, request);
	request->state = ORDER_STATE_DISPATCHED;
	request->exposed_before = request->exposed;
	request->exposed = true;
	request->attempt++;
	gate->running++;
	if (request->attempt == 1)
		gate->retry_budget = MIN(gate->retry_budget + GATE_RETRY_SHARE,
					 (int64_t)GATE_RETRY_SAVED);
	counter_inc(gate->counters, request->attempt > 1
					    ? COUNTER_ORDER_RETRIED
					    : COUNTER_ORDER_DISPATCHED);
	sink->dispatch(sink, request->id, request->attempt,
		       strbuf_str(&request->payload));
}

void gate_pump(struct gate *gate, int64_t now_ms, struct gate_sink *sink)
{
	struct request *request;

	while (gate->running < gate->options.slots && (request = pick(gate))) {
		if (too_late(gate, request, now_ms))
			gate_refuse(gate, request, ORDER_REASON_DEADLINE,
				    now_ms, sink);
		else
			dispatch(gate, request, now_ms, sink);
	}
	while ((request = first_ready(gate, ORDER_CLASS_ORDER)) &&
	       gate_hand_on(gate, request, now_ms, sink))
		;
	set_room(gate);
}

bool gate_may_retry(struct gate *gate, const struct request *request,
		    int64_t now_ms)
{
	if (now_ms >= request->deadline_ms || gate->retry_budget < THOUSAND)
		return false;
	gate->retry_budget -= THOUSAND;
	return true;
}

static enum order_reason admission(const struct gate *gate,
				   const struct order_request *request)
{
	if (gate->draining)
		return ORDER_REASON_DRAINING;
	if (gate->queued >= gate->options.queue_max &&
	    gate->running >= gate->options.slots)
		return ORDER_REASON_QUEUE_FULL;
	if (caller_queued(gate, request->caller) >=
	    gate->options.caller_queue_max)
		return ORDER_REASON_CALLER_LIMIT;
	return ORDER_REASON_NONE;
}

void gate_submit(struct gate *gate, const struct order_request *asked,
		 int64_t now_ms, struct gate_sink *sink)
{
	enum order_reason reason = admission(gate, asked);
	bool claim = asked->has_key && !asked->idempotent;
	struct request *request;

	if (claim && gate->pending >= gate->options.pending_max) {
		tell(gate, asked->id, ORDER_UNKNOWN, ORDER_REASON_OVERLOAD,
		     no_payload, sink);
		return;
	}
	if (!claim && reason != ORDER_REASON_NONE) {
		tell(gate, asked->id, ORDER_NOT_RUN, reason, no_payload, sink);
		return;
	}
	request = gate_add(gate, asked->id, now_ms);
	request->class = asked->class;
	request->has_key = asked->has_key;
	request->key = asked->key;
	request->idempotent = asked->idempotent;
	request->caller = asked->caller;
	request->deadline_ms = asked->deadline_ms;
	request->refuse = reason;
	strbuf_add(&request->payload, asked->payload.data, asked->payload.len);
	gate_wake_at(gate, request->deadline_ms);
	if (reason == ORDER_REASON_NONE)
		gate_enqueue(gate, request, false);
	if (claim)
		gate_claim_start(gate, request, now_ms, sink);
	gate_pump(gate, now_ms, sink);
}

/* Nobody waits for the answer of a dispatched request any more. */
static void give_up(struct gate *gate, struct request *request,
		    enum order_reason reason, int64_t now_ms,
		    struct gate_sink *sink)
{
	switch (request->state) {
	case ORDER_STATE_QUEUED:
		gate_refuse(gate, request, reason, now_ms, sink);
		break;
	case ORDER_STATE_HANDED_ON:
		gate_hand_on_cancel(gate, request, now_ms, sink);
		break;
	case ORDER_STATE_DISPATCHED:
		sink->cancel(sink, request->id, request->attempt);
		gate_conclude(gate, request, ORDER_UNKNOWN, reason, no_payload,
			      now_ms, sink);
		break;
	case ORDER_STATE_TOLD:
		break;
	}
}

void gate_cancel(struct gate *gate, uint64_t id, int64_t now_ms,
		 struct gate_sink *sink)
{
	struct request *request = gate_find(gate, id);

	if (!request)
		return;
	give_up(gate, request, ORDER_REASON_CANCELLED, now_ms, sink);
	gate_pump(gate, now_ms, sink);
}

/* The server ended a request whose outcome was told before. */
static void end_told(struct gate *gate, struct request *request,
		     enum order_answer answer, int64_t now_ms,
		     struct gate_sink *sink)
{
	counter_inc(gate->counters, COUNTER_ORDER_RESPONSE_LATE);
	if (answer == ORDER_ANSWER_WHOLE && request_needs_claim(request))
		gate_settle(gate, request, CLAIM_DONE, now_ms, sink);
	g_hash_table_remove(gate->requests, &request->id);
}

static void end_dispatched(struct gate *gate, struct request *request,
			   enum order_answer answer, struct str payload,
			   int64_t now_ms, struct gate_sink *sink)
{
	bool retry = answer == ORDER_ANSWER_NOT_SENT ||
		     (answer == ORDER_ANSWER_LOST && request->idempotent);

	request->state = ORDER_STATE_QUEUED;
	if (answer == ORDER_ANSWER_WHOLE)
		note_time(gate, request, now_ms);
	if (answer == ORDER_ANSWER_NOT_SENT)
		request->exposed = request->exposed_before;
	if (answer == ORDER_ANSWER_WHOLE)
		gate_conclude(gate, request, ORDER_DONE, ORDER_REASON_NONE,
			      payload, now_ms, sink);
	else if (retry && gate_may_retry(gate, request, now_ms))
		gate_enqueue(gate, request, true);
	else if (!request->exposed)
		gate_refuse(gate, request, ORDER_REASON_NO_CONNECT, now_ms,
			    sink);
	else
		gate_conclude(gate, request, ORDER_UNKNOWN,
			      ORDER_REASON_SERVER_LOST, no_payload, now_ms,
			      sink);
}

void gate_answer(struct gate *gate, uint64_t id, uint32_t attempt,
		 enum order_answer answer, struct str payload, int64_t now_ms,
		 struct gate_sink *sink)
{
	struct request *request = gate_find(gate, id);

	if (!request || attempt != request->attempt ||
	    (request->state != ORDER_STATE_DISPATCHED &&
	     request->state != ORDER_STATE_TOLD)) {
		counter_inc(gate->counters, COUNTER_ORDER_RESPONSE_UNMATCHED);
		return;
	}
	gate->running--;
	if (request->state == ORDER_STATE_TOLD)
		end_told(gate, request, answer, now_ms, sink);
	else
		end_dispatched(gate, request, answer, payload, now_ms, sink);
	gate_pump(gate, now_ms, sink);
}

void gate_handle(struct gate *gate, const struct order_message *message,
		 int64_t now_ms, struct gate_sink *sink)
{
	if (message->type == ORDER_CLAIM_ANSWER)
		gate_claim_answer(gate, message, now_ms, sink);
	else if (message->type == ORDER_SETTLE_ACK)
		gate_settle_ack(gate, message);
	else
		gate_transfer_handle(gate, message, now_ms, sink);
	gate_pump(gate, now_ms, sink);
}

/* What is due for one request; it may be gone afterwards. */
static void request_tick(struct gate *gate, struct request *request,
			 int64_t now_ms, struct gate_sink *sink)
{
	uint64_t id = request->id;

	if (request->state != ORDER_STATE_TOLD &&
	    now_ms >= request->deadline_ms)
		give_up(gate, request, ORDER_REASON_DEADLINE, now_ms, sink);
	request = gate_find(gate, id);
	if (request && request->stage == STAGE_ASKING)
		gate_claim_tick(gate, request, now_ms, sink);
	request = gate_find(gate, id);
	if (!request || request->state == ORDER_STATE_TOLD)
		return;
	if (request->stage == STAGE_ASKING)
		gate_wake_at(gate, MIN(request->next_ask_ms,
				       request->claim_deadline_ms));
	if (now_ms < request->deadline_ms)
		gate_wake_at(gate, request->deadline_ms);
}

void gate_tick(struct gate *gate, int64_t now_ms, struct gate_sink *sink)
{
	GList *ids;

	if (now_ms < gate->next_deadline_ms)
		return;
	gate->next_deadline_ms = INT64_MAX;
	gate_transfer_forget(gate, now_ms);
	gate_settle_tick(gate, now_ms, sink);
	ids = g_hash_table_get_values(gate->requests);
	/* Concluding one request never removes another. */
	for (GList *link = ids; link; link = link->next)
		request_tick(gate, link->data, now_ms, sink);
	g_list_free(ids);
	gate_pump(gate, now_ms, sink);
}

void gate_set_slots(struct gate *gate, uint32_t slots, int64_t now_ms,
		    struct gate_sink *sink)
{
	gate->options.slots = slots;
	gate_pump(gate, now_ms, sink);
}

void gate_drain(struct gate *gate)
{
	gate->draining = true;
	set_room(gate);
}

size_t gate_open(const struct gate *gate)
{
	return g_hash_table_size(gate->requests);
}

const char *order_reason_text(enum order_reason reason)
{
	static const char *const texts[] = {
#define REASON_TEXT(name, text, counter) text,
		ORDER_REASON_LIST(REASON_TEXT)
#undef REASON_TEXT
	};

	return reason < ORDER_REASON_COUNT ? texts[reason] : "none";
}

const char *order_outcome_text(enum order_outcome outcome)
{
	static const char *const texts[] = {"", "done", "not-run", "unknown"};

	return texts[outcome];
}
