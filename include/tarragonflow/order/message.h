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
	/** Claims a key at a home, for one request. */
	ORDER_CLAIM = 1,
	/** Carries the home's enum claim_verdict. */
	ORDER_CLAIM_RESPONSE = 2,
	/** Outcome of a claimed request; resent until acknowledged. */
	ORDER_SETTLE = 3,
	/** The sender's epoch, home list and free slots. */
	ORDER_BEACON = 4,
	/** Requests a copy of the claims on keys whose homes are both sides. */
	ORDER_COPY_REQUEST = 5,
	/** One part of the copy. */
	ORDER_COPY = 6,
	/** Forwards a queued request to another gate. */
	ORDER_TRANSFER = 7,
	/** Outcome of a forwarded request and the server's response. */
	ORDER_TRANSFER_RESPONSE = 8,
	/** Cancels a forwarded request. */
	ORDER_TRANSFER_CANCEL = 9,
	/** Acknowledges an ORDER_SETTLE. */
	ORDER_SETTLE_ACK = 10,
};

enum claim_state {
	/** The key was never claimed. */
	CLAIM_NONE = 0,
	/** A request holds the key and may be running or run later. */
	CLAIM_HELD = 1,
	/** The request ran to completion. */
	CLAIM_DONE = 2,
	/** The request may have run; its outcome is not known. */
	CLAIM_UNKNOWN = 3,
	/** Released by a request that did not run. */
	CLAIM_RELEASED = 4,
};

enum claim_verdict {
	CLAIM_GRANTED = 1,
	/** Another request claimed the key; order_message.state has more. */
	CLAIM_CONFLICT = 2,
	/** The claiming gate and the home have different home lists. */
	CLAIM_LIST_MISMATCH = 3,
	/** The request arrived before the key was last released. */
	CLAIM_SUPERSEDED = 4,
	/** The home can't reach a majority of the homes. */
	CLAIM_FENCED = 5,
	/** The home has no memory for another claim. */
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
	/** Instance of the agent, see claims_options. */
	uint64_t instance;
	/** Id of the request at that agent's gate. */
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
 * A set of keys on which claims may have been lost: the keys whose two homes
 * were home_a and home_b in the home list of `epoch`. A home that records it
 * counts as not complete for these keys until all lost claims have expired.
 */
struct claim_gap {
	uint64_t epoch;
	struct name home_a, home_b;
	/** When the lost claims have expired, ms; in messages, ms from now. */
	int64_t until_ms;
	/** In messages: the home list of `epoch`. */
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
	/**
	 * CLAIM_RESPONSE: the sender has all claims on the key. COPY: it has
	 * all claims on the keys that it shares with the receiver.
	 */
	bool complete;
	/** COPY: value of `complete` before the last change of the list. */
	bool complete_before;
	/** COPY: index of this part, from 0, and whether it is the last. */
	uint32_t part;
	bool last;
	/**
	 * CLAIM_RESPONSE: last known instance of the key's other home.
	 * TRANSFER, TRANSFER_CANCEL: instance of the receiver.
	 */
	uint64_t peer_instance;
	/** BEACON: free slots of the sender's gate. */
	uint32_t free_slots;
	/** BEACON: the sender is in sync, see claims_is_synced(). */
	bool synced;
	/** BEACON: the sender requests to become a home. */
	bool join_request;
	/** TRANSFER: time until the deadline, ms. */
	int64_t time_left_ms;
	/**
	 * TRANSFER, TRANSFER_RESPONSE, TRANSFER_CANCEL: id of the request at
	 * the gate that forwards it.
	 */
	uint64_t request;
	bool idempotent;
	enum order_outcome outcome;
	/** One of enum order_reason (gate.h). */
	unsigned int reason;
	/** TRANSFER: the request; TRANSFER_RESPONSE: the server's response. */
	struct str payload;
	/** The sender's home list, if the receiver may lack it; else NULL. */
	const struct home_list *list;
	const struct claim_copy *copies;
	size_t n_copies;
	/** Last part of a COPY: gaps that the sender recorded. */
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

/** Bytes of the length, a big-endian number, that precedes each message. */
#define ORDER_FRAME_HEADER_BYTES 4
/** Size of a message at most, without its length, bytes. */
#define ORDER_FRAME_BYTES_MAX (256 * 1024)

/** Decodes one message, without its length; false when malformed. */
bool order_message_decode(struct order_message_buffer *buffer,
			  const uint8_t *data, size_t len);
void order_message_buffer_init(struct order_message_buffer *buffer);
void order_message_buffer_finish(struct order_message_buffer *buffer);

#endif
