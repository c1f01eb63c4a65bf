#ifndef TARRAGONFLOW_ORDER_CLAIMS_H
#define TARRAGONFLOW_ORDER_CLAIMS_H

#include <glib.h>

#include "tarragonflow/common/counter.h"
#include "tarragonflow/order/message.h"

/**
 * The claims that one agent keeps as a home of keys. Pure. A request may be
 * dispatched once both homes of its key, under one epoch, granted it and at
 * least one of them is complete: it knows every claim on the key that
 * succeeded within the retention time.
 */
/**
 * A home that heard no majority of the list, at its own epoch, for so long is
 * fenced, ms. The first of the list counts twice when the number is even.
 */
#define CLAIMS_FENCE_MS 10000
/** A home that was silent so long is removed from the list, ms. */
#define CLAIMS_REMOVE_MS 3000
#define CLAIMS_BEACON_MS 500
/** Time for copies to complete before the next change of the list, ms. */
#define CLAIMS_SETTLE_MS 5000
/** Lists that are remembered. */
#define CLAIMS_HISTORY 16

struct claims_sink {
	void (*send)(struct claims_sink *sink, const struct name *to,
		     const struct order_message *message);
	/** Asks the platform to replace list->epoch - 1 by @list. */
	void (*propose)(struct claims_sink *sink, const struct home_list *list);
};

struct claims_options {
	struct name self;
	uint64_t instance;
	/** Time a claim is remembered after its last change, ms. */
	int64_t retention_ms;
	/** Claims kept at most. */
	size_t keys_max;
};

/** What is known of another home. */
struct home_peer {
	int64_t heard_ms;
	uint64_t heard_epoch;
	uint64_t instance;
	bool settled;
	/** We know all claims on the keys that we share with it. */
	bool complete;
	/** As complete, before the last change of the list. */
	bool complete_before;
	/** Since when both keep the shared keys under this list, ms. */
	int64_t since_ms;
	int64_t next_ask_ms;
	/** Claims received in answer to the last asking. */
	uint32_t copied;
	/** It gave all that it has under this list. */
	bool copy_done;
};

struct claims {
	struct claims_options options;
	struct counters *counters;
	struct home_list list;
	/** Our index in the list, or -1. */
	int self_at;
	/** The platform said that there is no list yet. */
	bool may_found;
	/** The list is not older than any that an earlier run of us had. */
	bool confirmed;
	/** Lists before this one, by epoch modulo CLAIMS_HISTORY. */
	struct home_list history[CLAIMS_HISTORY];
	/** By index in the list; our own place serves for a list of one. */
	struct home_peer peers[HOMES_MAX];
	/** The first list that we followed without a break. */
	uint64_t first_epoch;
	/** What the last change of the list removed, if it did. */
	struct name removed;
	struct claim_gap gaps[CLAIM_GAPS_MAX];
	size_t n_gaps;
	/** Nothing is complete before this time, ms. */
	int64_t blind_until_ms;
	GHashTable *table;
	/** Claims, the longest unchanged first. */
	GQueue by_age;
	int64_t started_ms;
	int64_t next_beacon_ms;
	int64_t next_propose_ms;
	/** When the list was adopted, ms. */
	int64_t adopted_ms;
	/** Free slots of the gate, told in beacons. */
	uint32_t room;
	/** An agent that asks to become a home, and when it did, ms. */
	struct name joiner;
	int64_t joiner_ms;
	/** The agent is leaving: it asks to be removed. */
	bool leaving;
};

/** A claim's answer counts only within this time of the asking, ms. */
#define CLAIM_LIFE_MS 500
/** Must exceed CLAIMS_FENCE_MS by far, so that lost homes are fenced, ms. */
#define CLAIMS_RETENTION_MIN_MS (6 * CLAIMS_FENCE_MS)

void claims_init(struct claims *claims, const struct claims_options *options,
		 struct counters *counters, int64_t now_ms);
void claims_finish(struct claims *claims);

/**
 * Takes the list that the platform holds now; 0 as its epoch says that there
 * is none. @founded says that our own proposal created the first list, so
 * that no earlier claims exist.
 */
void claims_set_list(struct claims *claims, const struct home_list *list,
		     bool founded, int64_t now_ms);

/** Takes a message of one of the types CLAIM, SETTLE, BEACON and COPY*. */
void claims_handle(struct claims *claims, const struct order_message *message,
		   int64_t now_ms, struct claims_sink *sink);

/** Fills the answer to a CLAIM, also our own. */
void claims_answer(struct claims *claims, const struct order_message *claim,
		   int64_t now_ms, struct order_message *answer);

void claims_settle(struct claims *claims, const struct order_message *settle,
		   int64_t now_ms);

void claims_tick(struct claims *claims, int64_t now_ms,
		 struct claims_sink *sink);

/** Sets type, sender and epoch of @message and clears the rest. */
void claims_message(const struct claims *claims, struct order_message *message,
		    enum order_message_type type);

/** Whether too few other homes were heard to grant anything. */
bool claims_fenced(const struct claims *claims, int64_t now_ms);

/** Whether we know every claim on @key, of which we are a home. */
bool claims_complete(const struct claims *claims, const struct order_key *key,
		     const struct home_pair *pair, int64_t now_ms);

/** The last instance heard of the other home in @pair; 0 for none. */
uint64_t claims_other_instance(const struct claims *claims,
			       const struct home_pair *pair);

/** The list of @epoch, or NULL when it is not remembered. */
const struct home_list *claims_list_of(const struct claims *claims,
				       uint64_t epoch);

/** Adopts a later list that some peer sent. */
void claims_hear_list(struct claims *claims, const struct home_list *list,
		      int64_t now_ms);

/** Takes claims that another home copied to us. */
void claims_take_copies(struct claims *claims, const struct claim_copy *copies,
			size_t n, int64_t now_ms);

/** Answers ORDER_COPY_ASK with the claims on the keys that both keep. */
void claims_send_copies(struct claims *claims, const struct order_message *ask,
			int64_t now_ms, struct claims_sink *sink);

/** Whether the other homes gave all that they have under this list. */
bool claims_settled(const struct claims *claims);

/** Bytes that one remembered key takes. */
size_t claims_bytes_per_key(void);

#endif
