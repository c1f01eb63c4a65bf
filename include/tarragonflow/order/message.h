#ifndef TARRAGONFLOW_ORDER_MESSAGE_H
#define TARRAGONFLOW_ORDER_MESSAGE_H

#include "tarragonflow/common/str.h"
#include "tarragonflow/order/homes.h"

/**
 * Messages between the gates of one service: claims on keys, copies of claims
 * between homes, and requests forwarded to another gate. A key's homes are the
 * agents that store its claims, see homes.h.
 */
enum order_message_type {
	/** Claims a key at a home. */
	ORDER_CLAIM = 1,
	ORDER_CLAIM_RESPONSE = 2,
	/** Outcome of a claimed request; resent until acknowledged. */
	ORDER_SETTLE = 3,
	/** The sender's epoch, home list and free slots. */
	ORDER_BEACON = 4,
	/** Requests from a home the claims on the keys that both store. */
	ORDER_COPY_REQUEST = 5,
	ORDER_COPY = 6,
	/** Forwards a queued request to another gate. */
	ORDER_TRANSFER = 7,
	ORDER_TRANSFER_RESPONSE = 8,
	ORDER_TRANSFER_CANCEL = 9,
	ORDER_SETTLE_ACK = 10,
};

enum claim_state {
	CLAIM_NONE = 0,
	/** Held by a request that may run or be running. */
	CLAIM_HELD = 1,
	CLAIM_DONE = 2,
	/** Dispatched; the outcome will never be known. */
	CLAIM_UNKNOWN = 3,
	/** Released by a request that did not run. */
	CLAIM_RELEASED = 4,
};

enum claim_verdict {
	CLAIM_GRANTED = 1,
	/** Another request has the key; see the message's `state`. */
	CLAIM_CONFLICT = 2,
	/** Sender and home have different lists. */
	CLAIM_LIST_MISMATCH = 3,
	/** The request arrived before the key was last released. */
	CLAIM_SUPERSEDED = 4,
	/** The home can't reach a majority of the homes. */
	CLAIM_FENCED = 5,
	/** The home stores no more claims. */
	CLAIM_TABLE_FULL = 6,
};

/** How a request ended. */
enum order_outcome {
	/** It ran to completion. */
	ORDER_DONE = 1,
	/** It provably did not run. */
	ORDER_NOT_RUN = 2,
	/** It may have run. */
	ORDER_UNKNOWN = 3,
};

/** The request that claims a key. */
struct claim_owner {
	uint64_t instance;
	uint64_t request;
};

/** One claim, as copied between homes. */
struct claim_copy {
	struct order_key key;
	struct claim_owner owner;
	enum claim_state state;
	/** Time since the claim last changed, ms. */
	int64_t age_ms;
};

/** Claims in one ORDER_COPY at most. */
#define ORDER_COPY_CLAIMS_MAX 1024

/**
 * Keys whose claims were lost: those whose homes were @a and @b in the list of
 * @epoch. A home that records the gap is not complete for them until the gap
 * ends.
 */
struct claim_gap {
	uint64_t epoch;
	struct name a, b;
	/** End, ms of the local clock; in messages, ms from now. */
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
	/** Time of sending, sender's clock, ms; echoed in the response. */
	int64_t sent_ms;
	/** CLAIM: the request will be refused, never dispatched. */
	bool refuse_only;
	enum claim_verdict verdict;
	enum claim_state state;
	/** The sender has all claims on the key or on the shared keys. */
	bool complete;
	/** COPY: as `complete`, before the last change of the list. */
	bool complete_before;
	/** COPY: index of this part, from 0, and whether it is the last. */
	uint32_t part;
	bool last;
	/**
	 * CLAIM_RESPONSE: last known instance of the key's other home.
	 * TRANSFER, TRANSFER_CANCEL: instance of the receiver.
	 */
	uint64_t peer_instance;
	/**
	 * BEACON: free slots; the sender is in sync, see claims_is_synced();
	 * the sender requests to become a home.
	 */
	uint32_t room;
	bool settled;
	bool joining;
	/** TRANSFER: time until the deadline, ms; the sender's request id. */
	int64_t time_left_ms;
	uint64_t request;
	bool idempotent;
	enum order_outcome outcome;
	unsigned int reason;
	/** TRANSFER: the request; TRANSFER_RESPONSE: the server's response. */
	struct str payload;
	/** Home list, when the receiver may lack it; NULL otherwise. */
	const struct home_list *list;
	const struct claim_copy *copies;
	size_t n_copies;
	/** COPY: gaps that the sender recorded. */
	const struct claim_gap *gaps;
	size_t n_gaps;
};

/** Appends @message to @out, preceded by its length. */
void order_message_encode(const struct order_message *message,
			  struct strbuf *out);

/** A decoded message and the memory it points to. */
struct order_message_buffer {
	struct order_message message;
	struct home_list list;
	struct claim_copy copies[ORDER_COPY_CLAIMS_MAX];
	struct claim_gap gaps[CLAIM_GAPS_MAX];
	struct home_list gap_lists[CLAIM_GAPS_MAX];
	struct strbuf payload;
};

/** Size of the length that precedes each message, big-endian, bytes. */
#define ORDER_FRAME_HEADER_BYTES 4
/** Size of a message at most, without its length, bytes. */
#define ORDER_FRAME_BYTES_MAX (256 * 1024)

/** Decodes one message, without its length; false when malformed. */
bool order_message_decode(struct order_message_buffer *buffer,
			  const uint8_t *data, size_t len);
void order_message_buffer_init(struct order_message_buffer *buffer);
void order_message_buffer_finish(struct order_message_buffer *buffer);

#endif
