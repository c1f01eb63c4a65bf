#ifndef TARRAGONFLOW_ORDER_GATE_INTERNAL_H
#define TARRAGONFLOW_ORDER_GATE_INTERNAL_H

#include "tarragonflow/order/gate.h"

/* Shared by the parts of the gate; see gate.h. */
enum claim_stage {
	/* No claim is needed. */
	STAGE_NONE,
	STAGE_ASKING,
	STAGE_HELD,
};

struct request {
	uint64_t id;
	enum order_state state;
	enum order_class class;
	bool has_key, idempotent, told;
	struct order_key key;
	uint64_t caller;
	int64_t arrived_ms, deadline_ms;
	uint32_t attempt;
	int64_t dispatched_ms;
	/* It reached, or may have reached, a server. */
	bool exposed, exposed_before;
	/* In a queue through link. */
	bool queued;
	GList link;
	struct strbuf payload;
	/* Why it will be refused once its claim is held; NONE if it won't. */
	enum order_reason refuse;

	enum claim_stage stage;
	struct home_pair pair;
	uint64_t claim_epoch;
	/* The home asked now, 0 or 1; what the first one said. */
	size_t asked;
	uint64_t first_instance;
	bool complete, found_new;
	int64_t asked_ms, next_ask_ms, claim_deadline_ms;

	/* Handed on from another gate. */
	bool remote;
	struct name remote_from;
	uint64_t remote_instance, remote_id;
	/* Handed on to another gate. */
	struct name handed_to;
	uint64_t handed_instance;
	bool cancel_sent;
};

bool request_needs_claim(const struct request *request);
bool request_ready(const struct request *request);

struct request *gate_find(const struct gate *gate, uint64_t id);

/* Makes a request known; the gate owns it. */
struct request *gate_add(struct gate *gate, uint64_t id, int64_t now_ms);

void gate_enqueue(struct gate *gate, struct request *request, bool first);
void gate_dequeue(struct gate *gate, struct request *request);

/* Moves the next deadline forward to @at_ms if that is sooner. */
void gate_wake_at(struct gate *gate, int64_t at_ms);

/* Tells the outcome, settles the claim and, if no slot is held, forgets. */
void gate_conclude(struct gate *gate, struct request *request,
		   enum order_outcome outcome, enum order_reason reason,
		   struct str payload, int64_t now_ms, struct gate_sink *sink);

/* Ends a request that was not dispatched, once not run is proven. */
void gate_refuse(struct gate *gate, struct request *request,
		 enum order_reason reason, int64_t now_ms,
		 struct gate_sink *sink);

/* Dispatches and hands on what can go. */
void gate_pump(struct gate *gate, int64_t now_ms, struct gate_sink *sink);

/* Takes one from the retry budget. */
bool gate_may_retry(struct gate *gate, const struct request *request,
		    int64_t now_ms);

void gate_claim_start(struct gate *gate, struct request *request,
		      int64_t now_ms, struct gate_sink *sink);
void gate_claim_tick(struct gate *gate, struct request *request, int64_t now_ms,
		     struct gate_sink *sink);
void gate_claim_answer(struct gate *gate, const struct order_message *answer,
		       int64_t now_ms, struct gate_sink *sink);

/* Tells the key's homes how the request ended, until they ack. */
void gate_settle(struct gate *gate, const struct request *request,
		 enum claim_state state, int64_t now_ms,
		 struct gate_sink *sink);
void gate_settle_ack(struct gate *gate, const struct order_message *ack);
void gate_settle_tick(struct gate *gate, int64_t now_ms,
		      struct gate_sink *sink);
void gate_settle_init(struct gate *gate);
void gate_settle_finish(struct gate *gate);

/* Hands @request on if a gate has room. */
bool gate_hand_on(struct gate *gate, struct request *request, int64_t now_ms,
		  struct gate_sink *sink);
void gate_hand_on_cancel(struct gate *gate, struct request *request,
			 int64_t now_ms, struct gate_sink *sink);
void gate_transfer_handle(struct gate *gate,
			  const struct order_message *message, int64_t now_ms,
			  struct gate_sink *sink);
/* Answers the gate that handed @request on. */
void gate_transfer_tell(struct gate *gate, const struct request *request,
			enum order_outcome outcome, enum order_reason reason,
			struct str payload, struct gate_sink *sink);
void gate_transfer_forget(struct gate *gate, int64_t now_ms);
void gate_transfer_init(struct gate *gate);
void gate_transfer_finish(struct gate *gate);

#endif
