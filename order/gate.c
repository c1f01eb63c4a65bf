#include "gate_internal.h"

#include <string.h>

/* Cost of one retry in gate->retry_budget. */
#define RETRY_COST 1000
#define RETRY_AFTER_S 1

static const struct str no_payload = {"", 0};

bool request_needs_claim(const struct request *request)
{
	return request->has_key && !request->idempotent && !request->remote;
}

bool request_is_ready(const struct request *request)
{
	return request->claim_stage != CLAIM_STAGE_PENDING;
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
	gate->queued_by_caller = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	for (int i = 0; i < ORDER_CLASSES; i++)
		g_queue_init(&gate->queues[i]);
	gate->next_remote_id = GATE_REMOTE_ID_FIRST;
	gate->next_deadline_ms = INT64_MAX;
	claims->free_slots = options->slots;
	gate_transfer_init(gate);
	gate_settle_init(gate);
}

void gate_finish(struct gate *gate)
{
	gate_settle_finish(gate);
	gate_transfer_finish(gate);
	g_hash_table_destroy(gate->queued_by_caller);
	g_hash_table_destroy(gate->requests);
}

struct request *gate_find_request(const struct gate *gate, uint64_t id)
{
	return g_hash_table_lookup(gate->requests, &id);
}

struct request *gate_add_request(struct gate *gate, uint64_t id, int64_t now_ms)
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

static uint32_t caller_queue_length(const struct gate *gate, uint64_t caller)
{
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(gate->queued_by_caller, &caller));
}

static void adjust_caller_count(struct gate *gate, uint64_t caller, int change)
{
	uint32_t n = caller_queue_length(gate, caller) + (uint32_t)change;

	if (n)
		g_hash_table_replace(gate->queued_by_caller,
				     g_memdup2(&caller, sizeof(caller)),
				     GUINT_TO_POINTER(n));
	else
		g_hash_table_remove(gate->queued_by_caller, &caller);
}

void gate_enqueue(struct gate *gate, struct request *request, bool at_head)
{
	GQueue *queue = &gate->queues[request->class];

	request->queued = true;
	request->state = ORDER_STATE_QUEUED;
	if (at_head)
		g_queue_push_head_link(queue, &request->link);
	else
		g_queue_push_tail_link(queue, &request->link);
	gate->queued++;
	adjust_caller_count(gate, request->caller, 1);
}

void gate_dequeue(struct gate *gate, struct request *request)
{
	if (!request->queued)
		return;
	request->queued = false;
	g_queue_unlink(&gate->queues[request->class], &request->link);
	gate->queued--;
	adjust_caller_count(gate, request->caller, -1);
}

static void report_outcome(struct gate *gate, uint64_t id,
			   enum order_outcome outcome, enum order_reason reason,
			   struct str payload, struct gate_sink *sink)
{
	static const enum counter_id counters[] = {
#define REASON_COUNTER(name, text, counter) COUNTER_##counter,
		ORDER_REASON_LIST(REASON_COUNTER)
#undef REASON_COUNTER
	};
	struct order_result result = {
		.id = id,
		.outcome = outcome,
		.reason = reason,
		.payload = payload,
		.retry_after_s = outcome == ORDER_NOT_RUN ? RETRY_AFTER_S : 0,
	};

	counter_inc(gate->counters, counters[reason]);
	sink->report(sink, &result);
}

static enum claim_state final_claim_state(const struct request *request,
					  enum order_outcome outcome)
{
	if (outcome == ORDER_DONE)
		return CLAIM_DONE;
	if (outcome == ORDER_NOT_RUN || !request->may_have_run)
		return CLAIM_RELEASED;
	return CLAIM_UNKNOWN;
}

void gate_conclude(struct gate *gate, struct request *request,
		   enum order_outcome outcome, enum order_reason reason,
		   struct str payload, int64_t now_ms, struct gate_sink *sink)
{
	gate_dequeue(gate, request);
	if (request->claim_stage == CLAIM_STAGE_PENDING)
		gate->claims_pending--;
	if (request_needs_claim(request))
		gate_settle(gate, request, final_claim_state(request, outcome),
			    now_ms, sink);
	request->claim_stage = CLAIM_STAGE_HELD;
	if (request->remote)
		gate_transfer_respond(gate, request, outcome, reason, payload,
				      sink);
	else
		report_outcome(gate, request->id, outcome, reason, payload,
			       sink);
	request->outcome_reported = true;
	if (request->state == ORDER_STATE_DISPATCHED)
		request->state = ORDER_STATE_REPORTED;
	else
		g_hash_table_remove(gate->requests, &request->id);
}

void gate_refuse(struct gate *gate, struct request *request,
		 enum order_reason reason, int64_t now_ms,
		 struct gate_sink *sink)
{
	gate_dequeue(gate, request);
	if (request_is_ready(request)) {
		gate_conclude(gate, request, ORDER_NOT_RUN, reason, no_payload,
			      now_ms, sink);
		return;
	}
	if (request->refuse_reason == ORDER_REASON_NONE)
		request->refuse_reason = reason;
}

/* The first queued request of @class that doesn't wait for a claim. */
static struct request *first_ready_request(const struct gate *gate,
					   enum order_class class)
{
	for (GList *link = gate->queues[class].head; link; link = link->next)
		if (request_is_ready(link->data))
			return link->data;
	return NULL;
}

static struct request *pick_next(struct gate *gate)
{
	struct request *order = first_ready_request(gate, ORDER_CLASS_ORDER);
	struct request *upload = first_ready_request(gate, ORDER_CLASS_UPLOAD);

	if (upload &&
	    (!order || gate->orders_since_upload >= GATE_ORDERS_PER_UPLOAD)) {
		gate->orders_since_upload = 0;
		return upload;
	}
	if (order && upload)
		gate->orders_since_upload++;
	return order;
}

static void update_free_slots(struct gate *gate)
{
	uint32_t busy = gate->running + gate->queued;

	gate->claims->free_slots = gate->draining || busy >= gate->options.slots
					   ? 0
					   : gate->options.slots - busy;
}

/* Updates the moving average; the newest complete response has weight 1/8. */
static void record_service_time(struct gate *gate,
				const struct request *request, int64_t now_ms)
{
	int64_t *mean_8th_ms = &gate->mean_service_8th_ms[request->class];

	*mean_8th_ms += now_ms - request->dispatched_ms - *mean_8th_ms / 8;
}

/* See GATE_TIME_LEFT_FACTOR. */
static bool deadline_too_close(const struct gate *gate,
			       const struct request *request, int64_t now_ms)
{
	return !request->idempotent &&
	       (request->deadline_ms - now_ms) * 8 <
		       gate->mean_service_8th_ms[request->class] *
			       GATE_TIME_LEFT_FACTOR;
}

static void dispatch_request(struct gate *gate, struct request *request,
			     int64_t now_ms, struct gate_sink *sink)
{
	request->dispatched_ms = now_ms;
	gate_dequeue(gate, request);
	request->state = ORDER_STATE_DISPATCHED;
	request->may_have_run_before = request->may_have_run;
	request->may_have_run = true;
	request->attempt++;
	gate->running++;
	if (request->attempt == 1)
		gate->retry_budget = MIN(gate->retry_budget + GATE_RETRY_EARNED,
					 (int64_t)GATE_RETRY_BUDGET_MAX);
	counter_inc(gate->counters, request->attempt > 1
					    ? COUNTER_ORDER_RETRIED
					    : COUNTER_ORDER_DISPATCHED);
	sink->dispatch(sink, request->id, request->attempt,
		       strbuf_str(&request->payload));
}

void gate_dispatch_ready(struct gate *gate, int64_t now_ms,
			 struct gate_sink *sink)
{
	struct request *request;

	while (gate->running < gate->options.slots &&
	       (request = pick_next(gate))) {
		if (deadline_too_close(gate, request, now_ms))
			gate_refuse(gate, request, ORDER_REASON_DEADLINE,
				    now_ms, sink);
		else
			dispatch_request(gate, request, now_ms, sink);
	}
	while ((request = first_ready_request(gate, ORDER_CLASS_ORDER)) &&
	       gate_forward(gate, request, now_ms, sink))
		;
	update_free_slots(gate);
}

bool gate_use_retry(struct gate *gate, const struct request *request,
		    int64_t now_ms)
{
	if (now_ms >= request->deadline_ms || gate->retry_budget < RETRY_COST)
		return false;
	gate->retry_budget -= RETRY_COST;
	return true;
}

static enum order_reason check_admission(const struct gate *gate,
					 const struct order_request *request)
{
	if (gate->draining)
		return ORDER_REASON_DRAINING;
	if (gate->queued >= gate->options.queue_max &&
	    gate->running >= gate->options.slots)
		return ORDER_REASON_QUEUE_FULL;
	if (caller_queue_length(gate, request->caller) >=
	    gate->options.caller_queue_max)
		return ORDER_REASON_CALLER_LIMIT;
	return ORDER_REASON_NONE;
}

void gate_submit(struct gate *gate, const struct order_request *submitted,
		 int64_t now_ms, struct gate_sink *sink)
{
	enum order_reason reason = check_admission(gate, submitted);
	bool needs_claim = submitted->has_key && !submitted->idempotent;
	struct request *request;

	if (needs_claim &&
	    gate->claims_pending >= gate->options.claims_pending_max) {
		report_outcome(gate, submitted->id, ORDER_UNKNOWN,
			       ORDER_REASON_OVERLOAD, no_payload, sink);
		return;
	}
	if (!needs_claim && reason != ORDER_REASON_NONE) {
		report_outcome(gate, submitted->id, ORDER_NOT_RUN, reason,
			       no_payload, sink);
		return;
	}
	request = gate_add_request(gate, submitted->id, now_ms);
	request->class = submitted->class;
	request->has_key = submitted->has_key;
	request->key = submitted->key;
	request->idempotent = submitted->idempotent;
	request->caller = submitted->caller;
	request->deadline_ms = submitted->deadline_ms;
	request->refuse_reason = reason;
	strbuf_add(&request->payload, submitted->payload.data,
		   submitted->payload.len);
	gate_wake_at(gate, request->deadline_ms);
	if (reason == ORDER_REASON_NONE)
		gate_enqueue(gate, request, false);
	if (needs_claim)
		gate_claim_start(gate, request, now_ms, sink);
	gate_dispatch_ready(gate, now_ms, sink);
}

/* Ends a request that its caller cancelled or whose deadline passed. */
static void abandon_request(struct gate *gate, struct request *request,
			    enum order_reason reason, int64_t now_ms,
			    struct gate_sink *sink)
{
	switch (request->state) {
	case ORDER_STATE_QUEUED:
		gate_refuse(gate, request, reason, now_ms, sink);
		break;
	case ORDER_STATE_FORWARDED:
		gate_forward_cancel(gate, request, now_ms, sink);
		break;
	case ORDER_STATE_DISPATCHED:
		sink->cancel(sink, request->id, request->attempt);
		gate_conclude(gate, request, ORDER_UNKNOWN, reason, no_payload,
			      now_ms, sink);
		break;
	case ORDER_STATE_REPORTED:
		break;
	}
}

void gate_cancel(struct gate *gate, uint64_t id, int64_t now_ms,
		 struct gate_sink *sink)
{
	struct request *request = gate_find_request(gate, id);

	if (!request)
		return;
	abandon_request(gate, request, ORDER_REASON_CANCELLED, now_ms, sink);
	gate_dispatch_ready(gate, now_ms, sink);
}

/* The server finished a request whose outcome was already reported. */
static void end_reported(struct gate *gate, struct request *request,
			 enum order_attempt_result result, int64_t now_ms,
			 struct gate_sink *sink)
{
	counter_inc(gate->counters, COUNTER_ORDER_RESPONSE_LATE);
	if (result == ORDER_ATTEMPT_COMPLETED && request_needs_claim(request))
		gate_settle(gate, request, CLAIM_DONE, now_ms, sink);
	g_hash_table_remove(gate->requests, &request->id);
}

static void end_dispatched_attempt(struct gate *gate, struct request *request,
				   enum order_attempt_result result,
				   struct str payload, int64_t now_ms,
				   struct gate_sink *sink)
{
	bool retry =
		result == ORDER_ATTEMPT_NOT_SENT ||
		(result == ORDER_ATTEMPT_NO_RESPONSE && request->idempotent);

	request->state = ORDER_STATE_QUEUED;
	if (result == ORDER_ATTEMPT_COMPLETED)
		record_service_time(gate, request, now_ms);
	if (result == ORDER_ATTEMPT_NOT_SENT)
		request->may_have_run = request->may_have_run_before;
	if (result == ORDER_ATTEMPT_COMPLETED)
		gate_conclude(gate, request, ORDER_DONE, ORDER_REASON_NONE,
			      payload, now_ms, sink);
	else if (retry && gate_use_retry(gate, request, now_ms))
		gate_enqueue(gate, request, true);
	else if (!request->may_have_run)
		gate_refuse(gate, request, ORDER_REASON_SERVER_UNREACHABLE,
			    now_ms, sink);
	else
		gate_conclude(gate, request, ORDER_UNKNOWN,
			      ORDER_REASON_SERVER_LOST, no_payload, now_ms,
			      sink);
}

void gate_end_attempt(struct gate *gate, uint64_t id, uint32_t attempt,
		      enum order_attempt_result result, struct str payload,
		      int64_t now_ms, struct gate_sink *sink)
{
	struct request *request = gate_find_request(gate, id);

	if (!request || attempt != request->attempt ||
	    (request->state != ORDER_STATE_DISPATCHED &&
	     request->state != ORDER_STATE_REPORTED)) {
		counter_inc(gate->counters, COUNTER_ORDER_RESPONSE_UNMATCHED);
		return;
	}
	gate->running--;
	if (request->state == ORDER_STATE_REPORTED)
		end_reported(gate, request, result, now_ms, sink);
	else
		end_dispatched_attempt(gate, request, result, payload, now_ms,
				       sink);
	gate_dispatch_ready(gate, now_ms, sink);
}

void gate_handle_message(struct gate *gate, const struct order_message *message,
			 int64_t now_ms, struct gate_sink *sink)
{
	if (message->type == ORDER_CLAIM_RESPONSE)
		gate_claim_handle_response(gate, message, now_ms, sink);
	else if (message->type == ORDER_SETTLE_ACK)
		gate_settle_ack(gate, message);
	else
		gate_transfer_handle(gate, message, now_ms, sink);
	gate_dispatch_ready(gate, now_ms, sink);
}

/* Handles the timers of one request; may free @request. */
static void request_tick(struct gate *gate, struct request *request,
			 int64_t now_ms, struct gate_sink *sink)
{
	uint64_t id = request->id;

	if (request->state != ORDER_STATE_REPORTED &&
	    now_ms >= request->deadline_ms)
		abandon_request(gate, request, ORDER_REASON_DEADLINE, now_ms,
				sink);
	request = gate_find_request(gate, id);
	if (request && request->claim_stage == CLAIM_STAGE_PENDING)
		gate_claim_tick(gate, request, now_ms, sink);
	request = gate_find_request(gate, id);
	if (!request || request->state == ORDER_STATE_REPORTED)
		return;
	if (request->claim_stage == CLAIM_STAGE_PENDING)
		gate_wake_at(gate, MIN(request->next_claim_ms,
				       request->claim_deadline_ms));
	if (now_ms < request->deadline_ms)
		gate_wake_at(gate, request->deadline_ms);
}

void gate_tick(struct gate *gate, int64_t now_ms, struct gate_sink *sink)
{
	GList *requests;

	if (now_ms < gate->next_deadline_ms)
		return;
	gate->next_deadline_ms = INT64_MAX;
	gate_transfer_expire(gate, now_ms);
	gate_settle_tick(gate, now_ms, sink);
	requests = g_hash_table_get_values(gate->requests);
	/* request_tick() frees no other request than its own. */
	for (GList *link = requests; link; link = link->next)
		request_tick(gate, link->data, now_ms, sink);
	g_list_free(requests);
	gate_dispatch_ready(gate, now_ms, sink);
}

void gate_set_slots(struct gate *gate, uint32_t slots, int64_t now_ms,
		    struct gate_sink *sink)
{
	gate->options.slots = slots;
	gate_dispatch_ready(gate, now_ms, sink);
}

void gate_drain(struct gate *gate)
{
	gate->draining = true;
	update_free_slots(gate);
}

size_t gate_count_open(const struct gate *gate)
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
