#ifndef TARRAGONFLOW_ORDER_MESSAGE_H
#define TARRAGONFLOW_ORDER_MESSAGE_H

#include "tarragonflow/common/str.h"
#include "tarragonflow/order/homes.h"

/**
 * Messages between the order gates of one service: claims on keys, the
 * copying of claims between homes, and requests handed on.
 */
enum order_message_type {
	/** Asks a home for a key. */
	ORDER_CLAIM = 1,
	ORDER_CLAIM_ANSWER = 2,
	/** Tells a home how a claimed request ended; repeated until acked. */
	ORDER_SETTLE = 3,
	/** Says the sender's epoch, list and free slots. */
	ORDER_BEACON = 4,
	/** Asks a home for the claims that both keep. */
	ORDER_COPY_ASK = 5,
	ORDER_COPY = 6,
	/** Passes on a request that is still queued. */
	ORDER_TRANSFER = 7,
	ORDER_TRANSFER_ANSWER = 8,
	ORDER_TRANSFER_CANCEL = 9,
	ORDER_SETTLE_ACK = 10,
};

enum claim_state {
	CLAIM_NONE = 0,
	/** Held by a request that may run or be running. */
	CLAIM_HELD = 1,
	CLAIM_DONE = 2,
	/** Dispatched, and the outcome will not be known. */
	CLAIM_UNKNOWN = 3,
	/** Given back by a request that was never dispatched. */
	CLAIM_RELEASED = 4,
};

enum claim_verdict {
	CLAIM_GRANTED = 1,
	/** Another request has the key; `state` says more. */
	CLAIM_TAKEN = 2,
	/** Sender and home have different lists. */
	CLAIM_STALE = 3,
	/** Asked before the key was last told not run. */
	CLAIM_TOO_OLD = 4,
	/** The home lost touch with most others. */
	CLAIM_FENCED = 5,
	CLAIM_FULL = 6,
};

/** How a request ended. */
enum order_outcome {
	/** It ran, and the whole answer is told. */
	ORDER_DONE = 1,
	/** Proven not to have run. */
	ORDER_NOT_RUN = 2,
	ORDER_UNKNOWN = 3,
};

/** The request that claims a key. */
struct claim_owner {
	uint64_t instance;
	uint64_t request;
};

/** One claim, as homes copy it. */
struct claim_copy {
	struct order_key key;
	struct claim_owner owner;
	enum claim_state state;
	/** Time since the claim last changed, ms. */
	int64_t age_ms;
};

/** Claims in one ORDER_COPY at most. */
#define ORDER_COPY_MAX 256

/**
 * Keys whose claims were lost: those that had the homes @a and @b in the
 * list of @epoch. Until it ends, a home that has the gap is not complete for
 * them.
 */
struct claim_gap {
	uint64_t epoch;
	struct name a, b;
	/** Here, ms of the local clock; in messages, ms left. */
	int64_t until_ms;
	/** In messages: the list of @epoch. */
	const struct home_list *list;
};

#define CLAIM_GAPS_MAX 16

struct order_message {
	enum order_message_type type;
	struct name from;
	/** Instance of the sender. */
	uint64_t instance;
	/** Epoch of the sender's home list; 0 when it has none. */
	uint64_t epoch;
	struct order_key key;
	struct claim_owner owner;
	/** CLAIM: time since the request arrived, ms. */
	int64_t age_ms;
	/** Comes back in the answer; the sender's ms clock. */
	int64_t sent_ms;
	/** CLAIM: the request will only be refused. */
	bool refuse_only;
	enum claim_verdict verdict;
	enum claim_state state;
	/** The sender knows all claims of the key or of the shared keys. */
	bool complete;
	/** COPY: as `complete`, before the last change of the list. */
	bool complete_before;
	/** COPY: the last one, and the claims in all of them. */
	bool last;
	uint32_t total;
	/**
	 * CLAIM_ANSWER: the instance of the key's other home, as this home
	 * knows it. TRANSFER: the instance that it is meant for.
	 */
	uint64_t peer_instance;
	/** BEACON: free slots; all copies are complete; wants to be a home. */
	uint32_t room;
	bool settled;
	bool joining;
	/** TRANSFER: time left, ms; number of the sender's request. */
	int64_t time_left_ms;
	uint64_t request;
	bool idempotent;
	enum order_outcome outcome;
	unsigned int reason;
	/** TRANSFER and its answer: the request or answer. */
	struct str payload;
	/** Present when the receiver may lack it; n is 0 otherwise. */
	const struct home_list *list;
	const struct claim_copy *copies;
	size_t n_copies;
	/** COPY: gaps in what the sender knows. */
	const struct claim_gap *gaps;
	size_t n_gaps;
};

/** Appends @message, with a length before it, to @out. */
void order_message_encode(const struct order_message *message,
			  struct strbuf *out);

/** A decoded message and the memory that it points to. */
struct order_message_buffer {
	struct order_message message;
	struct home_list list;
	struct claim_copy copies[ORDER_COPY_MAX];
	struct claim_gap gaps[CLAIM_GAPS_MAX];
	struct home_list gap_lists[CLAIM_GAPS_MAX];
	struct strbuf payload;
};

/** Bytes of the length before each message; big-endian. */
#define ORDER_FRAME_HEAD 4
/** Largest message without its length, in bytes. */
#define ORDER_FRAME_MAX (256 * 1024)

/** Decodes one message without its length; false when malformed. */
bool order_message_decode(struct order_message_buffer *buffer,
			  const uint8_t *data, size_t len);
void order_message_buffer_init(struct order_message_buffer *buffer);
void order_message_buffer_finish(struct order_message_buffer *buffer);

#endif
