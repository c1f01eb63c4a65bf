#ifndef TARRAGONFLOW_ORDER_GATE_INTERNAL_H
#define TARRAGONFLOW_ORDER_GATE_INTERNAL_H

#include "tarragonflow/order/gate.h"

/* Shared by the parts of the gate; see gate.h. */
enum claim_stage {
	/* No claim is needed. */
	CLAIM_STAGE_NONE,
	/* The claim was sent; not both homes have granted it. */
	CLAIM_STAGE_PENDING,
	CLAIM_STAGE_HELD,
};

/* A request in the gate; struct order_request describes the first fields. */
struct request {
	uint64_t id;
	enum order_state state;
	enum order_class class;
	bool has_key, idempotent, outcome_reported;
	struct order_key key;
	uint64_t caller;
	int64_t arrived_ms, deadline_ms;
	/* Number of dispatches so far. */
	uint32_t attempt;
	int64_t dispatched_ms;
	/* Some attempt, here or forwarded, may have reached a server. */
	bool may_have_run;
	/* Value of may_have_run before the last attempt. */
	bool may_have_run_before;
	/* Whether link is in a queue of the gate. */
	bool queued;
	GList link;
	struct strbuf payload;
	/*
	 * Once the claim is held, the request is refused for this reason;
	 * ORDER_REASON_NONE: it is dispatched.
	 */
	enum order_reason refuse_reason;

	enum claim_stage claim_stage;
	/* Homes of the key in the list of claim_list_epoch. */
	struct home_pair homes;
	uint64_t claim_list_epoch;
	/* Index in homes, 0 or 1, of the home that the claim was sent to. */
	size_t home_index;
	/* Instance of the first home when it granted the claim. */
	uint64_t first_home_instance;
	/* A home that granted the current claim is complete. */
	bool home_complete;
	/* Both homes granted an earlier try, but neither was complete. */
	bool homes_incomplete;
	int64_t claim_sent_ms, next_claim_ms, claim_deadline_ms;

	/* Another gate, the origin, forwarded the request to this one. */
	bool remote;
	struct name origin;
	/* Instance of the origin, and its id of the request. */
	uint64_t origin_instance, origin_request;
	/* The gate that the request was last forwarded to, its instance. */
	struct name forwarded_to;
	uint64_t forwarded_instance;
	/* The cancellation of the forwarded request was sent. */
	bool cancel_sent;
};

/* A forwarded request was claimed by the gate that forwarded it. */
bool request_needs_claim(const struct request *request);

/* Whether the request doesn't wait for a claim and may be dispatched. */
bool request_is_ready(const struct request *request);

struct request *gate_find_request(const struct gate *gate, uint64_t id);

/* Adds a request; the gate owns it. */
struct request *gate_add_request(struct gate *gate, uint64_t id,
				 int64_t now_ms);

void gate_enqueue(struct gate *gate, struct request *request, bool at_head);
void gate_dequeue(struct gate *gate, struct request *request);

/* Makes gate_tick() run at @at_ms at the latest. */
void gate_wake_at(struct gate *gate, int64_t at_ms);

/*
 * Reports the outcome and settles the claim; frees the request unless it holds
 * a slot.
 */
void gate_conclude(struct gate *gate, struct request *request,
		   enum order_outcome outcome, enum order_reason reason,
		   struct str payload, int64_t now_ms, struct gate_sink *sink);

/* Concludes a queued request as not run, once its claim is held if needed. */
void gate_refuse(struct gate *gate, struct request *request,
		 enum order_reason reason, int64_t now_ms,
		 struct gate_sink *sink);

/*
 * Dispatches ready requests to free slots of the own server; forwards the
 * remaining ready ones of ORDER_CLASS_ORDER to gates with free slots.
 */
void gate_dispatch_ready(struct gate *gate, int64_t now_ms,
			 struct gate_sink *sink);

/* Takes one retry from the budget; false if none is left or it is too late. */
bool gate_use_retry(struct gate *gate, const struct request *request,
		    int64_t now_ms);

void gate_claim_start(struct gate *gate, struct request *request,
		      int64_t now_ms, struct gate_sink *sink);
void gate_claim_tick(struct gate *gate, struct request *request, int64_t now_ms,
		     struct gate_sink *sink);
void gate_claim_handle_response(struct gate *gate,
				const struct order_message *response,
				int64_t now_ms, struct gate_sink *sink);

/* Sends the final claim state to the key's homes until they acknowledge. */
void gate_settle(struct gate *gate, const struct request *request,
		 enum claim_state state, int64_t now_ms,
		 struct gate_sink *sink);
void gate_settle_ack(struct gate *gate, const struct order_message *ack);
void gate_settle_tick(struct gate *gate, int64_t now_ms,
		      struct gate_sink *sink);
void gate_settle_init(struct gate *gate);
void gate_settle_finish(struct gate *gate);

/* Forwards @request if possible and another gate has free slots. */
bool gate_forward(struct gate *gate, struct request *request, int64_t now_ms,
		  struct gate_sink *sink);
void gate_forward_cancel(struct gate *gate, struct request *request,
			 int64_t now_ms, struct gate_sink *sink);
void gate_transfer_handle(struct gate *gate,
			  const struct order_message *message, int64_t now_ms,
			  struct gate_sink *sink);
/* Responds to the gate that forwarded @request. */
void gate_transfer_respond(struct gate *gate, const struct request *request,
			   enum order_outcome outcome, enum order_reason reason,
			   struct str payload, struct gate_sink *sink);
void gate_transfer_expire(struct gate *gate, int64_t now_ms);
void gate_transfer_init(struct gate *gate);
void gate_transfer_finish(struct gate *gate);

#endif
