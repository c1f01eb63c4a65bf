#include "tarragonflow/order/claims.h"

#include <string.h>

/* One claim; linked in by_age. */
struct claim {
	struct order_key key;
	struct claim_owner owner;
	int64_t changed_ms;
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
	claims->self_at = -1;
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
	/* The record, and the table's key, value and hash at half load. */
	return sizeof(struct claim) + 2 * (2 * sizeof(void *) + sizeof(guint));
}

static void forget(struct claims *claims, struct claim *claim)
{
	g_queue_unlink(&claims->by_age, &claim->link);
	g_hash_table_remove(claims->table, &claim->key);
}

static void expire(struct claims *claims, int64_t now_ms)
{
	GList *oldest;

	while ((oldest = g_queue_peek_head_link(&claims->by_age))) {
		struct claim *claim = oldest->data;

		if (now_ms - claim->changed_ms < claims->options.retention_ms)
			return;
		forget(claims, claim);
	}
}

static void set_state(struct claims *claims, struct claim *claim,
		      const struct claim_owner *owner, enum claim_state state,
		      int64_t now_ms)
{
	claim->owner = *owner;
	claim->state = state;
	claim->changed_ms = now_ms;
	g_queue_unlink(&claims->by_age, &claim->link);
	g_queue_push_tail_link(&claims->by_age, &claim->link);
}

/* The claim on @key, made when absent; NULL when there is no room. */
static struct claim *find_or_add(struct claims *claims,
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
 * A request that arrived before its key was last told not run must not run:
 * the caller may have been told so in answer to a repetition. Its time of
 * arrival is known up to CLAIM_LIFE_MS.
 */
static bool too_old(const struct claim *claim, const struct order_message *ask,
		    int64_t now_ms)
{
	return now_ms - ask->age_ms - CLAIM_LIFE_MS < claim->changed_ms;
}

static enum claim_verdict decide(struct claims *claims, struct claim *claim,
				 const struct order_message *ask,
				 int64_t now_ms)
{
	switch (claim->state) {
	case CLAIM_HELD:
	case CLAIM_DONE:
	case CLAIM_UNKNOWN:
		if (claim->state == CLAIM_HELD &&
		    same_owner(&claim->owner, &ask->owner))
			return CLAIM_GRANTED;
		return CLAIM_TAKEN;
	case CLAIM_RELEASED:
		/* A late copy of a claim that was given back since. */
		if (same_owner(&claim->owner, &ask->owner))
			return CLAIM_TOO_OLD;
		if (!ask->refuse_only && too_old(claim, ask, now_ms))
			return CLAIM_TOO_OLD;
		break;
	case CLAIM_NONE:
		break;
	}
	set_state(claims, claim, &ask->owner, CLAIM_HELD, now_ms);
	return CLAIM_GRANTED;
}

static bool pair_has(const struct claims *claims, const struct home_pair *pair,
		     const struct name *name)
{
	for (size_t i = 0; i < pair->n; i++)
		if (name_equal(&claims->list.names[pair->at[i]], name))
			return true;
	return false;
}

void claims_answer(struct claims *claims, const struct order_message *ask,
		   int64_t now_ms, struct order_message *answer)
{
	struct home_pair pair;
	struct claim *claim;

	claims_message(claims, answer, ORDER_CLAIM_ANSWER);
	answer->key = ask->key;
	answer->owner = ask->owner;
	answer->sent_ms = ask->sent_ms;
	home_list_pair(&claims->list, &ask->key, &pair);
	expire(claims, now_ms);
	if (!ask->epoch || ask->epoch != claims->list.epoch ||
	    !pair_has(claims, &pair, &claims->options.self)) {
		answer->verdict = CLAIM_STALE;
		if (ask->epoch < claims->list.epoch)
			answer->list = &claims->list;
		return;
	}
	if (claims_fenced(claims, now_ms)) {
		answer->verdict = CLAIM_FENCED;
		return;
	}
	claim = find_or_add(claims, &ask->key);
	if (!claim) {
		answer->verdict = CLAIM_FULL;
		return;
	}
	answer->verdict = decide(claims, claim, ask, now_ms);
	answer->state = claim->state;
	answer->complete = claims_complete(claims, &ask->key, &pair, now_ms);
	answer->peer_instance = claims_other_instance(claims, &pair);
	counter_inc(claims->counters, answer->verdict == CLAIM_GRANTED
					      ? COUNTER_CLAIM_GRANTED
					      : COUNTER_CLAIM_DENIED);
}

void claims_settle(struct claims *claims, const struct order_message *settle,
		   int64_t now_ms)
{
	struct claim *claim = find_or_add(claims, &settle->key);

	if (!claim)
		return;
	/* A claim given back says nothing against another owner's. */
	if (settle->state == CLAIM_RELEASED && claim->state != CLAIM_NONE &&
	    !same_owner(&claim->owner, &settle->owner))
		return;
	if (claim->state == CLAIM_DONE)
		return;
	set_state(claims, claim, &settle->owner, settle->state, now_ms);
}

/*
 * The graver state wins where two homes differ, but for a claim that its
 * owner gave back and that one of them missed.
 */
static bool graver(const struct claim_copy *copy, const struct claim *claim)
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

void claims_take_copies(struct claims *claims, const struct claim_copy *copies,
			size_t n, int64_t now_ms)
{
	for (size_t i = 0; i < n; i++) {
		const struct claim_copy *copy = &copies[i];
		struct claim *claim = find_or_add(claims, &copy->key);

		if (!claim) {
			claims->blind_until_ms =
				now_ms + claims->options.retention_ms;
			return;
		}
		/* Ages restart here: kept somewhat longer, never shorter. */
		if (graver(copy, claim))
			set_state(claims, claim, &copy->owner, copy->state,
				  now_ms);
	}
}

static bool shared_with(const struct claims *claims, const struct claim *claim,
			const struct name *name)
{
	struct home_pair pair;

	if (claim->state == CLAIM_NONE)
		return false;
	home_list_pair(&claims->list, &claim->key, &pair);
	return pair_has(claims, &pair, name) &&
	       pair_has(claims, &pair, &claims->options.self);
}

void claims_send_copies(struct claims *claims, const struct order_message *ask,
			int64_t now_ms, struct claims_sink *sink)
{
	const struct name *to = &ask->from;
	int at = home_list_find(&claims->list, to);
	struct claim_gap gaps[CLAIM_GAPS_MAX];
	struct claim_copy copies[ORDER_COPY_MAX];
	struct order_message message;

	if (at < 0)
		return;
	claims_message(claims, &message, ORDER_COPY);
	message.copies = copies;
	message.sent_ms = ask->sent_ms;
	for (GList *link = claims->by_age.head; link; link = link->next) {
		const struct claim *claim = link->data;
		struct claim_copy *copy = &copies[message.n_copies];

		if (!shared_with(claims, claim, to))
			continue;
		copy->key = claim->key;
		copy->owner = claim->owner;
		copy->state = claim->state;
		copy->age_ms = now_ms - claim->changed_ms;
		if (++message.n_copies < ORDER_COPY_MAX)
			continue;
		sink->send(sink, to, &message);
		message.n_copies = 0;
		message.part++;
	}
	for (size_t i = 0; i < claims->n_gaps; i++) {
		gaps[i] = claims->gaps[i];
		gaps[i].until_ms -= now_ms;
		gaps[i].list = claims_list_of(claims, gaps[i].epoch);
	}
	message.gaps = gaps;
	message.n_gaps = claims->n_gaps;
	message.complete = claims->peers[at].complete &&
			   now_ms >= claims->blind_until_ms;
	message.complete_before = claims->peers[at].complete_before &&
				  now_ms >= claims->blind_until_ms;
	message.last = true;
	sink->send(sink, to, &message);
}
