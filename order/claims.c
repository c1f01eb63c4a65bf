#include "tarragonflow/order/claims.h"

#include <string.h>

/* The claim on one key. */
struct claim {
	struct order_key key;
	struct claim_owner owner;
	int64_t changed_ms;
	/* Entry in claims->by_age. */
	GList link;
	enum claim_state state;
};

static guint key_hash(gconstpointer key)
{
	return (guint)((const struct order_key *)key)->lo;
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	return order_key_equal(a, b);
}

void claims_init(struct claims *claims, const struct claims_options *options,
		 struct counters *counters, int64_t now_ms)
{
	memset(claims, 0, sizeof(*claims));
	claims->options = *options;
	claims->counters = counters;
	claims->table =
		g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
	g_queue_init(&claims->by_age);
	claims->self_index = -1;
	claims->started_ms = now_ms;
	claims->next_beacon_ms = now_ms;
	claims->next_propose_ms = now_ms;
}

void claims_finish(struct claims *claims)
{
	g_hash_table_destroy(claims->table);
	claims->table = NULL;
}

size_t claims_bytes_per_key(void)
{
	/* The claim, and two hash table entries: the table is half full. */
	return sizeof(struct claim) + 2 * (2 * sizeof(void *) + sizeof(guint));
}

static void remove_claim(struct claims *claims, struct claim *claim)
{
	g_queue_unlink(&claims->by_age, &claim->link);
	g_hash_table_remove(claims->table, &claim->key);
}

static void expire_claims(struct claims *claims, int64_t now_ms)
{
	GList *oldest;

	while ((oldest = g_queue_peek_head_link(&claims->by_age))) {
		struct claim *claim = oldest->data;

		if (now_ms - claim->changed_ms < claims->options.retention_ms)
			return;
		remove_claim(claims, claim);
	}
}

static void set_claim_state(struct claims *claims, struct claim *claim,
			    const struct claim_owner *owner,
			    enum claim_state state, int64_t now_ms)
{
	claim->owner = *owner;
	claim->state = state;
	claim->changed_ms = now_ms;
	g_queue_unlink(&claims->by_age, &claim->link);
	g_queue_push_tail_link(&claims->by_age, &claim->link);
}

/* The claim on @key, added if absent; NULL when the table is full. */
static struct claim *find_or_add_claim(struct claims *claims,
				       const struct order_key *key)
{
	struct claim *claim = g_hash_table_lookup(claims->table, key);

	if (claim)
		return claim;
	if (g_hash_table_size(claims->table) >= claims->options.keys_max)
		return NULL;
	claim = g_new0(struct claim, 1);
	claim->key = *key;
	claim->link.data = claim;
	g_queue_push_tail_link(&claims->by_age, &claim->link);
	g_hash_table_insert(claims->table, &claim->key, claim);
	return claim;
}

static bool same_owner(const struct claim_owner *a, const struct claim_owner *b)
{
	return a->instance == b->instance && a->request == b->request;
}

/*
 * Whether @request arrived before its key was last released by a request that
 * did not run. @request must not run then: the caller may have repeated it and
 * received "not run" for the repetition. The time of arrival is known to within
 * CLAIM_RESPONSE_TTL_MS.
 */
static bool arrived_before_release(const struct claim *claim,
				   const struct order_message *request,
				   int64_t now_ms)
{
	return now_ms - request->age_ms - CLAIM_RESPONSE_TTL_MS <
	       claim->changed_ms;
}

static enum claim_verdict decide_claim(struct claims *claims,
				       struct claim *claim,
				       const struct order_message *request,
				       int64_t now_ms)
{
	switch (claim->state) {
	case CLAIM_HELD:
	case CLAIM_DONE:
	case CLAIM_UNKNOWN:
		if (claim->state == CLAIM_HELD &&
		    same_owner(&claim->owner, &request->owner))
			return CLAIM_GRANTED;
		return CLAIM_CONFLICT;
	case CLAIM_RELEASED:
		/* A delayed copy of a claim that its owner released since. */
		if (same_owner(&claim->owner, &request->owner))
			return CLAIM_SUPERSEDED;
		if (!request->refuse_only &&
		    arrived_before_release(claim, request, now_ms))
			return CLAIM_SUPERSEDED;
		break;
	case CLAIM_NONE:
		break;
	}
	set_claim_state(claims, claim, &request->owner, CLAIM_HELD, now_ms);
	return CLAIM_GRANTED;
}

static bool pair_contains(const struct claims *claims,
			  const struct home_pair *pair, const struct name *name)
{
	for (size_t i = 0; i < pair->n; i++)
		if (name_equal(&claims->list.names[pair->index[i]], name))
			return true;
	return false;
}

void claims_handle_claim(struct claims *claims,
			 const struct order_message *request, int64_t now_ms,
			 struct order_message *response)
{
	struct home_pair pair;
	struct claim *claim;

	claims_init_message(claims, response, ORDER_CLAIM_RESPONSE);
	response->key = request->key;
	response->owner = request->owner;
	response->sent_ms = request->sent_ms;
	home_list_select_pair(&claims->list, &request->key, &pair);
	expire_claims(claims, now_ms);
	if (!request->epoch || request->epoch != claims->list.epoch ||
	    !pair_contains(claims, &pair, &claims->options.self)) {
		response->verdict = CLAIM_LIST_MISMATCH;
		if (request->epoch < claims->list.epoch)
			response->list = &claims->list;
		return;
	}
	if (claims_is_fenced(claims, now_ms)) {
		response->verdict = CLAIM_FENCED;
		return;
	}
	claim = find_or_add_claim(claims, &request->key);
	if (!claim) {
		response->verdict = CLAIM_TABLE_FULL;
		return;
	}
	response->verdict = decide_claim(claims, claim, request, now_ms);
	response->state = claim->state;
	response->complete =
		claims_is_complete(claims, &request->key, &pair, now_ms);
	response->peer_instance = claims_peer_instance(claims, &pair);
	counter_inc(claims->counters, response->verdict == CLAIM_GRANTED
					      ? COUNTER_CLAIM_GRANTED
					      : COUNTER_CLAIM_DENIED);
}

void claims_settle(struct claims *claims, const struct order_message *settle,
		   int64_t now_ms)
{
	struct claim *claim = find_or_add_claim(claims, &settle->key);

	if (!claim)
		return;
	/* A release does not affect the claim of another owner. */
	if (settle->state == CLAIM_RELEASED && claim->state != CLAIM_NONE &&
	    !same_owner(&claim->owner, &settle->owner))
		return;
	if (claim->state == CLAIM_DONE)
		return;
	set_claim_state(claims, claim, &settle->owner, settle->state, now_ms);
}

/*
 * Whether the state in @copy replaces that of @claim: the state of higher rank
 * wins. Exception: when a claim's owner released it and one home missed the
 * release, the release wins.
 */
static bool copy_overrides(const struct claim_copy *copy,
			   const struct claim *claim)
{
	static const int rank[] = {
		[CLAIM_NONE] = 0,    [CLAIM_RELEASED] = 1, [CLAIM_HELD] = 2,
		[CLAIM_UNKNOWN] = 3, [CLAIM_DONE] = 4,
	};

	if (same_owner(&copy->owner, &claim->owner)) {
		if (copy->state == CLAIM_RELEASED && claim->state == CLAIM_HELD)
			return true;
		if (copy->state == CLAIM_HELD && claim->state == CLAIM_RELEASED)
			return false;
	}
	return rank[copy->state] > rank[claim->state];
}

void claims_apply_copies(struct claims *claims, const struct claim_copy *copies,
			 size_t n, int64_t now_ms)
{
	for (size_t i = 0; i < n; i++) {
		const struct claim_copy *copy = &copies[i];
		struct claim *claim = find_or_add_claim(claims, &copy->key);

		if (!claim) {
			claims->incomplete_until_ms =
				now_ms + claims->options.retention_ms;
			return;
		}
		/* The retention time restarts: longer is safe, shorter not. */
		if (copy_overrides(copy, claim))
			set_claim_state(claims, claim, &copy->owner,
					copy->state, now_ms);
	}
}

/* Whether this agent and @name are the homes of the key of @claim. */
static bool is_shared_with(const struct claims *claims,
			   const struct claim *claim, const struct name *name)
{
	struct home_pair pair;

	if (claim->state == CLAIM_NONE)
		return false;
	home_list_select_pair(&claims->list, &claim->key, &pair);
	return pair_contains(claims, &pair, name) &&
	       pair_contains(claims, &pair, &claims->options.self);
}

void claims_send_copies(struct claims *claims,
			const struct order_message *request, int64_t now_ms,
			struct claims_sink *sink)
{
	const struct name *to = &request->from;
	int index = home_list_find(&claims->list, to);
	struct claim_gap gaps[CLAIM_GAPS_MAX];
	struct claim_copy copies[ORDER_COPY_CLAIMS_MAX];
	struct order_message message;

	if (index < 0)
		return;
	claims_init_message(claims, &message, ORDER_COPY);
	message.copies = copies;
	message.sent_ms = request->sent_ms;
	for (GList *link = claims->by_age.head; link; link = link->next) {
		const struct claim *claim = link->data;
		struct claim_copy *copy = &copies[message.n_copies];

		if (!is_shared_with(claims, claim, to))
			continue;
		copy->key = claim->key;
		copy->owner = claim->owner;
		copy->state = claim->state;
		copy->age_ms = now_ms - claim->changed_ms;
		if (++message.n_copies < ORDER_COPY_CLAIMS_MAX)
			continue;
		sink->send(sink, to, &message);
		message.n_copies = 0;
		message.part++;
	}
	for (size_t i = 0; i < claims->n_gaps; i++) {
		gaps[i] = claims->gaps[i];
		gaps[i].until_ms -= now_ms;
		gaps[i].list = claims_find_list(claims, gaps[i].epoch);
	}
	message.gaps = gaps;
	message.n_gaps = claims->n_gaps;
	message.complete = claims->peers[index].complete &&
			   now_ms >= claims->incomplete_until_ms;
	message.complete_before = claims->peers[index].complete_before &&
				  now_ms >= claims->incomplete_until_ms;
	message.last = true;
	sink->send(sink, to, &message);
}
