#ifndef TARRAGONFLOW_ORDER_CLAIMS_H
#define TARRAGONFLOW_ORDER_CLAIMS_H

#include <glib.h>

#include "tarragonflow/common/counter.h"
#include "tarragonflow/order/message.h"

/**
 * The claims that one agent stores as a home of keys. Does no input or output:
 * time and messages are passed in, all output goes through the sink. A request
 * may be dispatched once both homes of its key, at one epoch, granted its claim
 * and at least one of them is complete: it has every claim on the key that was
 * granted within the retention time.
 */
/**
 * A home is fenced, so that it grants no claims, unless it and the homes that
 * sent it a message of its epoch or a later one within this time, ms, are a
 * majority of the list. With an even number of homes the first one counts
 * twice.
 */
#define CLAIMS_FENCE_AFTER_MS 10000
/** A home without messages for so long is removed from the list, ms. */
#define CLAIMS_REMOVE_AFTER_MS 3000
/** Time between the beacons (ORDER_BEACON) of a home, ms. */
#define CLAIMS_BEACON_INTERVAL_MS 500
/** Time for the homes to copy claims before the list changes again, ms. */
#define CLAIMS_SYNC_MS 5000
/**
 * Messages (ORDER_COPY) that one copy is split into at most. A home that
 * receives a larger copy does not become complete by it.
 */
#define CLAIMS_COPY_PARTS_MAX 2048
/** Number of earlier home lists that are stored. */
#define CLAIMS_LIST_HISTORY 16

struct claims_sink {
	void (*send)(struct claims_sink *sink, const struct name *to,
		     const struct order_message *message);
	/**
	 * Writes @list to the platform, on condition that the list of epoch
	 * list->epoch - 1 is still the current one there.
	 */
	void (*propose)(struct claims_sink *sink, const struct home_list *list);
};

struct claims_options {
	struct name self;
	/** Identifies this run of the agent; differs after a restart. */
	uint64_t instance;
	/** Time for which a claim is stored after its last change, ms. */
	int64_t retention_ms;
	/** Claims stored at most. */
	size_t keys_max;
};

/** State of another home in the list, as seen by this home. */
struct home_peer {
	/** When its last message arrived, ms; 0 for never. */
	int64_t last_message_ms;
	/** Epoch in its last message. */
	uint64_t last_epoch;
	uint64_t instance;
	/** Its last beacon reports that it is in sync at the current epoch. */
	bool synced;
	/** This home has all claims on the keys shared with the other home. */
	bool complete;
	/** Value of `complete` before the last change of the list. */
	bool complete_before;
	/** Since when both homes store the claims on the shared keys, ms; 0:
	 * not yet. */
	int64_t sharing_since_ms;
	/** When the last copy was requested, ms. */
	int64_t copy_requested_ms;
	/** Bit set of the parts of the copy that have arrived, by index. */
	uint64_t parts[CLAIMS_COPY_PARTS_MAX / 64];
	uint32_t n_parts;
	/** Number of parts in the copy; 0 until the last part arrived. */
	uint32_t parts_expected;
	/** By the last part: the whole copy makes this home complete. */
	bool copy_sufficient;
	/**
	 * By the last part: the sender has neither `complete` nor
	 * `complete_before`.
	 */
	bool sender_incomplete;
	/** All parts of a copy arrived at the current epoch. */
	bool copy_received;
};

struct claims {
	struct claims_options options;
	struct counters *counters;
	struct home_list list;
	/** Index of this agent in the list, or -1. */
	int self_index;
	/** The platform has no list yet. */
	bool may_create_list;
	/** The list is not older than any list of an earlier run. */
	bool list_confirmed;
	/** Earlier home lists, by epoch modulo CLAIMS_LIST_HISTORY. */
	struct home_list earlier_lists[CLAIMS_LIST_HISTORY];
	/**
	 * By index in the list. The entry of this home itself is used only
	 * while it is the only home.
	 */
	struct home_peer peers[HOMES_MAX];
	/** Each change of the list after this epoch was applied in turn. */
	uint64_t followed_since_epoch;
	/** The home that the last change removed; empty if one was added. */
	struct name last_removed;
	struct claim_gap gaps[CLAIM_GAPS_MAX];
	size_t n_gaps;
	/** This home is complete for no key before this time, ms. */
	int64_t incomplete_until_ms;
	/** struct claim by struct order_key. */
	GHashTable *table;
	/** Claims, the longest unchanged first. */
	GQueue by_age;
	int64_t started_ms;
	int64_t next_beacon_ms;
	int64_t next_propose_ms;
	/** When the list was adopted, ms. */
	int64_t adopted_ms;
	/** Free slots of this agent's gate, sent in beacons. */
	uint32_t free_slots;
	/** The agent that last requested to become a home. */
	struct name join_candidate;
	/** When that request arrived, ms. */
	int64_t join_requested_ms;
	/** The agent is stopping and proposes its own removal. */
	bool leaving;
};

/** A response to a claim is valid for so long after the claim was sent, ms. */
#define CLAIM_RESPONSE_TTL_MS 500
/**
 * Lower bound for claims_options.retention_ms. Must be far above
 * CLAIMS_FENCE_AFTER_MS, so that a home that lost contact to the others is
 * fenced before claims expire.
 */
#define CLAIMS_RETENTION_MIN_MS (6 * CLAIMS_FENCE_AFTER_MS)

void claims_init(struct claims *claims, const struct claims_options *options,
		 struct counters *counters, int64_t now_ms);
void claims_finish(struct claims *claims);

/**
 * Passes in the list that the platform holds; epoch 0: it holds none.
 * @created_list: a proposal of this agent created the first list, so no earlier
 * claims exist.
 */
void claims_set_list(struct claims *claims, const struct home_list *list,
		     bool created_list, int64_t now_ms);

/** Handles a message of type CLAIM, SETTLE, BEACON, COPY_REQUEST or COPY. */
void claims_handle_message(struct claims *claims,
			   const struct order_message *message, int64_t now_ms,
			   struct claims_sink *sink);

/**
 * Handles the CLAIM @request of another gate or of this agent's own gate and
 * fills @response.
 */
void claims_handle_claim(struct claims *claims,
			 const struct order_message *request, int64_t now_ms,
			 struct order_message *response);

/** Handles a SETTLE message of another gate or of this agent's own gate. */
void claims_settle(struct claims *claims, const struct order_message *settle,
		   int64_t now_ms);

/** Sends beacons, copy requests and proposals that are due. */
void claims_tick(struct claims *claims, int64_t now_ms,
		 struct claims_sink *sink);

/** Sets type, sender and epoch of @message and clears the rest. */
void claims_init_message(const struct claims *claims,
			 struct order_message *message,
			 enum order_message_type type);

/** Whether too few other homes are reachable to grant claims. */
bool claims_is_fenced(const struct claims *claims, int64_t now_ms);

/** Whether this home has every claim on @key; @pair are the key's homes. */
bool claims_is_complete(const struct claims *claims,
			const struct order_key *key,
			const struct home_pair *pair, int64_t now_ms);

/** Last known instance of the other home in @pair; 0 for none. */
uint64_t claims_peer_instance(const struct claims *claims,
			      const struct home_pair *pair);

/** The list of @epoch, or NULL when it is not stored. */
const struct home_list *claims_find_list(const struct claims *claims,
					 uint64_t epoch);

/** Adopts @list, received from another agent, if it is newer. */
void claims_receive_list(struct claims *claims, const struct home_list *list,
			 int64_t now_ms);

/** Merges claims copied from another home. */
void claims_apply_copies(struct claims *claims, const struct claim_copy *copies,
			 size_t n, int64_t now_ms);

/** Responds to ORDER_COPY_REQUEST with the claims on the shared keys. */
void claims_send_copies(struct claims *claims,
			const struct order_message *request, int64_t now_ms,
			struct claims_sink *sink);

/**
 * Whether this home is in sync: for each other home, it is complete or received
 * a copy at the current epoch.
 */
bool claims_is_synced(const struct claims *claims);

/** Approximate memory per stored key, bytes. */
size_t claims_bytes_per_key(void);

#endif
