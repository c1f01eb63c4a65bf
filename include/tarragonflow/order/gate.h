#ifndef TARRAGONFLOW_ORDER_GATE_H
#define TARRAGONFLOW_ORDER_GATE_H

#include <glib.h>

#include "tarragonflow/order/claims.h"

/**
 * The request gate of one agent: queues requests for the slots of its backend
 * server, claims keys before a dispatch, forwards queued requests to other
 * gates, and reports each request's outcome once. Does no input or output:
 * time, messages and results of the server are passed in, all output goes
 * through the sink.
 *
 * ORDER_NOT_RUN is reported only when proven: a request with a key may repeat
 * an earlier request, so it is reported not run only while the gate holds the
 * claim on the key.
 */
enum order_class {
	/** Short requests; dispatched first. */
	ORDER_CLASS_ORDER,
	/** Requests with a large body. */
	ORDER_CLASS_UPLOAD,
	/** Number of classes. */
	ORDER_CLASSES,
};

enum order_state {
	ORDER_STATE_QUEUED,
	/** Forwarded to another gate, which may have dispatched it. */
	ORDER_STATE_FORWARDED,
	ORDER_STATE_DISPATCHED,
	/** Outcome reported; holds its slot until the server finishes. */
	ORDER_STATE_REPORTED,
};

/** Reasons of outcomes: name, text in the response header, counter. */
#define ORDER_REASON_LIST(X)                                                 \
	X(NONE, "none", ORDER_FINISHED)                                      \
	X(QUEUE_FULL, "queue-full", ORDER_REFUSE_QUEUE_FULL)                 \
	X(CALLER_LIMIT, "caller-limit", ORDER_REFUSE_CALLER_LIMIT)           \
	X(DEADLINE, "deadline", ORDER_REFUSE_DEADLINE)                       \
	X(DRAINING, "draining", ORDER_REFUSE_DRAINING)                       \
	X(CANCELLED, "cancelled", ORDER_CANCELLED)                           \
	X(SUPERSEDED, "superseded", ORDER_REFUSE_SUPERSEDED)                 \
	X(SERVER_UNREACHABLE, "server-unreachable",                          \
	  ORDER_REFUSE_SERVER_UNREACHABLE)                                   \
	X(SERVER_LOST, "server-lost", ORDER_UNKNOWN_SERVER_LOST)             \
	X(REPEATED_DONE, "repeated-done", ORDER_REPEATED_DONE)               \
	X(REPEATED_RUNNING, "repeated-running", ORDER_REPEATED_RUNNING)      \
	X(REPEATED_UNKNOWN, "repeated-unknown", ORDER_REPEATED_UNKNOWN)      \
	X(HOMES_NO_RESPONSE, "homes-silent", ORDER_UNKNOWN_HOME_NO_RESPONSE) \
	X(HOMES_INCOMPLETE, "homes-new", ORDER_UNKNOWN_HOMES_REPLACED)       \
	X(HOMES_FULL, "homes-full", ORDER_UNKNOWN_HOME_FULL)                 \
	X(OVERLOAD, "overload", ORDER_UNKNOWN_OVERLOAD)                      \
	X(FORWARD_LOST, "handed-on-lost", ORDER_UNKNOWN_FORWARD_LOST)

enum order_reason {
#define ORDER_REASON_ENUM(id, text, counter) ORDER_REASON_##id,
	ORDER_REASON_LIST(ORDER_REASON_ENUM)
#undef ORDER_REASON_ENUM
		ORDER_REASON_COUNT
};

/** Result of one dispatch of a request to the server. */
enum order_attempt_result {
	/** The complete response to this request arrived. */
	ORDER_ATTEMPT_COMPLETED,
	/** The request provably never reached the server. */
	ORDER_ATTEMPT_NOT_SENT,
	/** Sent, but no complete response arrived. */
	ORDER_ATTEMPT_NO_RESPONSE,
	/** As NO_RESPONSE, and the caller received part of a response. */
	ORDER_ATTEMPT_TRUNCATED,
};

/** A request as submitted by the edge, which accepts callers' requests. */
struct order_request {
	/** Chosen by the edge; unique within this instance. */
	uint64_t id;
	bool has_key;
	struct order_key key;
	bool idempotent;
	enum order_class class;
	/** Hash of the caller, for the limit on queued requests. */
	uint64_t caller;
	/** When the request must have ended, on the clock of now_ms, ms. */
	int64_t deadline_ms;
	/** Whole request for forwarding; empty if it can't be forwarded. */
	struct str payload;
};

/** The outcome of a request, reported once. */
struct order_result {
	uint64_t id;
	enum order_outcome outcome;
	enum order_reason reason;
	/** Response of another gate's server; empty for the own server. */
	struct str payload;
	/** Time until a retry makes sense, s; 0 for no hint. */
	int retry_after_s;
};

struct gate_sink {
	/** Sends to another gate of the service. */
	void (*send)(struct gate_sink *sink, const struct name *to,
		     const struct order_message *message);
	/** Sends @id to the server; @payload is set for forwarded requests. */
	void (*dispatch)(struct gate_sink *sink, uint64_t id, uint32_t attempt,
			 struct str payload);
	/** Cancels @id at the server; its response is no longer needed. */
	void (*cancel)(struct gate_sink *sink, uint64_t id, uint32_t attempt);
	/** Reports the outcome of a request to the edge. */
	void (*report)(struct gate_sink *sink,
		       const struct order_result *result);
};

struct gate_options {
	/** Requests that the server processes concurrently. */
	uint32_t slots;
	/** Queued requests at most, in total and of one caller. */
	uint32_t queue_max;
	uint32_t caller_queue_max;
	/** Requests with pending claims at most. */
	uint32_t claims_pending_max;
};

/** Another gate, as of its last beacon. */
struct gate_peer {
	struct name name;
	uint64_t instance;
	uint32_t free_slots;
	/** When its last beacon arrived, ms. */
	int64_t last_beacon_ms;
};

struct gate {
	struct gate_options options;
	struct counters *counters;
	/** Claims stored by this agent, and the home list. */
	struct claims *claims;
	/** struct request by id. */
	GHashTable *requests;
	GQueue queues[ORDER_CLASSES];
	/** Requests that hold a slot. */
	uint32_t running;
	/** Requests in the queues. */
	uint32_t queued;
	/** Requests that wait for a claim. */
	uint32_t claims_pending;
	/** Orders dispatched since the last upload, while an upload waits. */
	uint32_t orders_since_upload;
	/** Moving average of the server's response time for each request
	 * class, in units of 1/8 ms. */
	int64_t mean_service_8th_ms[ORDER_CLASSES];
	/** Retries that may be made, in thousandths of a retry. */
	int64_t retry_budget;
	/** Number of queued requests by caller. */
	GHashTable *queued_by_caller;
	/** Received or cancelled transfers, by sender and its request id. */
	GHashTable *transfers;
	GQueue transfers_by_age;
	/** Outcomes that the homes have not acknowledged, by request id. */
	GHashTable *unsettled;
	struct gate_peer peers[HOMES_MAX];
	size_t n_peers;
	/** Id for the next request received from another gate. */
	uint64_t next_remote_id;
	int64_t next_deadline_ms;
	bool draining;
};

/** A waiting upload is dispatched after so many orders. */
#define GATE_ORDERS_PER_UPLOAD 4
/**
 * A request that must run at most once is not dispatched when the time left is
 * less than this multiple of the server's mean time: its outcome would likely
 * be unknown.
 */
#define GATE_TIME_LEFT_FACTOR 3
/** Retries earned per dispatched request, in thousandths of a retry. */
#define GATE_RETRY_EARNED 100
/** Retry budget at most, in thousandths of a retry. */
#define GATE_RETRY_BUDGET_MAX 10000
/** Time until a claim is sent again, ms. */
#define GATE_CLAIM_RETRY_MS 100
/** Time after which a pending claim fails, ms. */
#define GATE_CLAIM_TIMEOUT_MS 3000
/** Time for another gate to respond to a cancellation, ms. */
#define GATE_CANCEL_TIMEOUT_MS 300
/** Time for which received transfers are remembered, ms. */
#define GATE_TRANSFER_RETENTION_MS 600000
/** First id for requests forwarded by other gates. */
#define GATE_REMOTE_ID_FIRST (1ULL << 62)

void gate_init(struct gate *gate, const struct gate_options *options,
	       struct claims *claims, struct counters *counters);
void gate_finish(struct gate *gate);

/** Queues or refuses @request; its outcome is reported through the sink. */
void gate_submit(struct gate *gate, const struct order_request *request,
		 int64_t now_ms, struct gate_sink *sink);

/** The caller disconnected or cancelled the request. */
void gate_cancel(struct gate *gate, uint64_t id, int64_t now_ms,
		 struct gate_sink *sink);

/**
 * Dispatch number @attempt of request @id ended with @result; @payload is the
 * server's response.
 */
void gate_end_attempt(struct gate *gate, uint64_t id, uint32_t attempt,
		      enum order_attempt_result result, struct str payload,
		      int64_t now_ms, struct gate_sink *sink);

/**
 * Handles a message from another gate: beacons, and all types that
 * claims_handle_message() ignores.
 */
void gate_handle_message(struct gate *gate, const struct order_message *message,
			 int64_t now_ms, struct gate_sink *sink);

/** Handles deadlines, retries and timeouts that are due. */
void gate_tick(struct gate *gate, int64_t now_ms, struct gate_sink *sink);

/** When gate_tick() has to run next, ms. */
int64_t gate_next_deadline(const struct gate *gate);

/** Sets the number of slots, which is smaller while the server warms up. */
void gate_set_slots(struct gate *gate, uint32_t slots, int64_t now_ms,
		    struct gate_sink *sink);

/** Refuses new requests from now on. */
void gate_drain(struct gate *gate);

/** Number of requests that are not reported yet or hold a slot. */
size_t gate_count_open(const struct gate *gate);

const char *order_reason_text(enum order_reason reason);
const char *order_outcome_text(enum order_outcome outcome);

#endif
