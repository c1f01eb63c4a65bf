#ifndef TARRAGONFLOW_ORDER_GATE_H
#define TARRAGONFLOW_ORDER_GATE_H

#include <glib.h>

#include "tarragonflow/order/claims.h"

/**
 * The request gate of one agent: queues requests for the slots of its
 * backend server, claims keys before a dispatch, hands requests on while
 * they are queued, and tells each request's outcome once. Pure: time,
 * messages and the server's answers come in, everything else goes out
 * through the sink.
 *
 * Not run is told only when proven: a request with a key that may be a
 * repetition is told so only while the gate holds the claim on the key.
 */
enum order_class {
	/** Short requests; they go first. */
	ORDER_CLASS_ORDER,
	ORDER_CLASS_UPLOAD,
	ORDER_CLASSES,
};

enum order_state {
	ORDER_STATE_QUEUED,
	/** At another gate, which may have dispatched it. */
	ORDER_STATE_HANDED_ON,
	ORDER_STATE_DISPATCHED,
	/** Told; its slot waits for the server to end it. */
	ORDER_STATE_TOLD,
};

/** Reasons in the answer's header, and their counters. */
#define ORDER_REASON_LIST(X)                                                 \
	X(NONE, "none", ORDER_FINISHED)                                      \
	X(QUEUE_FULL, "queue-full", ORDER_REFUSE_QUEUE_FULL)                 \
	X(CALLER_LIMIT, "caller-limit", ORDER_REFUSE_CALLER_LIMIT)           \
	X(DEADLINE, "deadline", ORDER_REFUSE_DEADLINE)                       \
	X(DRAINING, "draining", ORDER_REFUSE_DRAINING)                       \
	X(CANCELLED, "cancelled", ORDER_CANCELLED)                           \
	X(SUPERSEDED, "superseded", ORDER_REFUSE_SUPERSEDED)                 \
	X(NO_CONNECT, "server-unreachable", ORDER_REFUSE_SERVER_UNREACHABLE) \
	X(SERVER_LOST, "server-lost", ORDER_UNKNOWN_SERVER_LOST)             \
	X(REPEATED_DONE, "repeated-done", ORDER_REPEATED_DONE)               \
	X(REPEATED_RUNNING, "repeated-running", ORDER_REPEATED_RUNNING)      \
	X(REPEATED_UNKNOWN, "repeated-unknown", ORDER_REPEATED_UNKNOWN)      \
	X(HOMES_SILENT, "homes-silent", ORDER_UNKNOWN_HOME_NO_RESPONSE)      \
	X(HOMES_NEW, "homes-new", ORDER_UNKNOWN_HOMES_REPLACED)              \
	X(HOMES_FULL, "homes-full", ORDER_UNKNOWN_HOME_FULL)                 \
	X(OVERLOAD, "overload", ORDER_UNKNOWN_OVERLOAD)                      \
	X(HANDED_ON_LOST, "handed-on-lost", ORDER_UNKNOWN_FORWARD_LOST)

enum order_reason {
#define ORDER_REASON_ENUM(id, text, counter) ORDER_REASON_##id,
	ORDER_REASON_LIST(ORDER_REASON_ENUM)
#undef ORDER_REASON_ENUM
		ORDER_REASON_COUNT
};

/** How the server's part of a request ended. */
enum order_answer {
	/** The whole answer of this request arrived. */
	ORDER_ANSWER_WHOLE,
	/** Proven never to have reached the server. */
	ORDER_ANSWER_NOT_SENT,
	/** Sent, and no whole answer. */
	ORDER_ANSWER_LOST,
	/** As LOST, and part of the answer was told already. */
	ORDER_ANSWER_CUT,
};

/** A request as the edge submits it. */
struct order_request {
	/** Chosen by the edge, not used before in this instance. */
	uint64_t id;
	bool has_key;
	struct order_key key;
	bool idempotent;
	enum order_class class;
	/** Hash of the caller, for the limit on queued requests. */
	uint64_t caller;
	/** When it must have ended, ms. */
	int64_t deadline_ms;
	/** Whole request for a hand-on; empty when it can't be handed on. */
	struct str payload;
};

/** What is told of a request, once. */
struct order_told {
	uint64_t id;
	enum order_outcome outcome;
	enum order_reason reason;
	/** The answer of another gate's server; empty when ours answered. */
	struct str payload;
	/** When to try again, s; 0 for no hint. */
	int retry_after_s;
};

struct gate_sink {
	/** Sends to another gate of the service. */
	void (*send)(struct gate_sink *sink, const struct name *to,
		     const struct order_message *message);
	/** Runs @id at our server; @payload is set for handed-on ones. */
	void (*dispatch)(struct gate_sink *sink, uint64_t id, uint32_t attempt,
			 struct str payload);
	/** Tells our server that nobody waits for @id any more. */
	void (*cancel)(struct gate_sink *sink, uint64_t id, uint32_t attempt);
	void (*tell)(struct gate_sink *sink, const struct order_told *told);
};

struct gate_options {
	uint32_t slots;
	/** Requests queued at most, of one caller and together. */
	uint32_t queue_max;
	uint32_t caller_queue_max;
	/** Requests whose claims are pending at most. */
	uint32_t pending_max;
};

/** Another gate, as its beacons tell. */
struct gate_peer {
	struct name name;
	uint64_t instance;
	uint32_t room;
	int64_t heard_ms;
};

struct gate {
	struct gate_options options;
	struct counters *counters;
	/** Claims kept here, and the home list. */
	struct claims *claims;
	GHashTable *requests;
	GQueue queues[ORDER_CLASSES];
	uint32_t running;
	uint32_t queued;
	uint32_t pending;
	/** Orders dispatched since the last upload. */
	uint32_t orders_in_row;
	/** Moving mean of the server's time by class, in 1/8 ms. */
	int64_t usual_8th_ms[ORDER_CLASSES];
	/** Retries that may be made, in thousandths. */
	int64_t retry_budget;
	/** Queued requests by caller. */
	GHashTable *callers;
	/** Handed-on requests seen, by sender and number. */
	GHashTable *seen;
	GQueue seen_by_age;
	/** What the homes have not acked yet, by request. */
	GHashTable *unsettled;
	struct gate_peer peers[HOMES_MAX];
	size_t n_peers;
	uint64_t next_remote_id;
	int64_t next_deadline_ms;
	bool draining;
};

/** Of waiting uploads one goes after so many orders. */
#define GATE_ORDERS_PER_UPLOAD 4
/**
 * A request that may run once only is not dispatched when less than so many
 * times the server's usual time is left: it would likely end unknown.
 */
#define GATE_TIME_LEFT_FACTOR 3
/** Share of admitted requests that may be retried, in thousandths. */
#define GATE_RETRY_SHARE 100
/** Retries saved up at most, in thousandths. */
#define GATE_RETRY_SAVED 10000
/** Time until a claim is asked again, ms. */
#define GATE_CLAIM_RETRY_MS 100
/** Time after which homes that don't answer are taken as lost, ms. */
#define GATE_CLAIM_TIMEOUT_MS 3000
/** Time that another gate has to answer a cancellation, ms. */
#define GATE_HAND_ON_GRACE_MS 300
/** Time that handed-on requests are remembered, ms. */
#define GATE_SEEN_MS 600000
/** Remote requests get ids from here on. */
#define GATE_REMOTE_ID (1ULL << 62)

void gate_init(struct gate *gate, const struct gate_options *options,
	       struct claims *claims, struct counters *counters);
void gate_finish(struct gate *gate);

void gate_submit(struct gate *gate, const struct order_request *request,
		 int64_t now_ms, struct gate_sink *sink);

/** The caller went away or gave up. */
void gate_cancel(struct gate *gate, uint64_t id, int64_t now_ms,
		 struct gate_sink *sink);

/** The server's part of attempt @attempt of @id ended. */
void gate_answer(struct gate *gate, uint64_t id, uint32_t attempt,
		 enum order_answer answer, struct str payload, int64_t now_ms,
		 struct gate_sink *sink);

/** Takes a message from another gate that claims_handle() does not. */
void gate_handle(struct gate *gate, const struct order_message *message,
		 int64_t now_ms, struct gate_sink *sink);

void gate_tick(struct gate *gate, int64_t now_ms, struct gate_sink *sink);

/** When gate_tick() wants to run next, ms. */
int64_t gate_next_deadline(const struct gate *gate);

/** Admission changed the number of slots, such as in a cold start. */
void gate_set_slots(struct gate *gate, uint32_t slots, int64_t now_ms,
		    struct gate_sink *sink);

/** Takes nothing new from now on. */
void gate_drain(struct gate *gate);

/** Requests that are not told yet or still have a slot. */
size_t gate_open(const struct gate *gate);

const char *order_reason_text(enum order_reason reason);
const char *order_outcome_text(enum order_outcome outcome);

#endif
