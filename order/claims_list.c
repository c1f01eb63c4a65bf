#include "tarragonflow/order/claims.h"

#include <string.h>

#define COPY_REQUEST_INTERVAL_MS 500
/* Time until the next request to a home whose copy was not sufficient. */
#define COPY_RETRY_MS 5000

void claims_init_message(const struct claims *claims,
			 struct order_message *message,
			 enum order_message_type type)
{
	memset(message, 0, sizeof(*message));
	message->type = type;
	message->from = claims->options.self;
	message->instance = claims->options.instance;
	message->epoch = claims->list.epoch;
}

/* With an even number of homes the first one has two votes, to avoid ties. */
static size_t home_votes(const struct claims *claims, size_t index)
{
	return index == 0 && claims->list.n % 2 == 0 ? 2 : 1;
}

static bool home_is_reachable(const struct claims *claims, size_t index,
			      int64_t now_ms)
{
	const struct home_peer *peer = &claims->peers[index];

	return peer->last_message_ms &&
	       now_ms - peer->last_message_ms < CLAIMS_FENCE_AFTER_MS &&
	       peer->last_epoch >= claims->list.epoch;
}

/* Votes of the other homes that are reachable at this epoch or a later one. */
static size_t reachable_votes(const struct claims *claims, int64_t now_ms)
{
	size_t votes = 0;

	for (size_t i = 0; i < claims->list.n; i++)
		if ((int)i != claims->self_index &&
		    home_is_reachable(claims, i, now_ms))
			votes += home_votes(claims, i);
	return votes;
}

static size_t total_votes(const struct claims *claims)
{
	return claims->list.n + (claims->list.n % 2 == 0);
}

bool claims_is_fenced(const struct claims *claims, int64_t now_ms)
{
	size_t votes = reachable_votes(claims, now_ms);

	if (claims->self_index < 0 || !claims->list_confirmed)
		return true;
	votes += home_votes(claims, (size_t)claims->self_index);
	return votes * 2 <= total_votes(claims);
}

bool claims_is_synced(const struct claims *claims)
{
	int self = claims->self_index;

	if (self < 0)
		return false;
	for (size_t i = 0; i < claims->list.n; i++)
		if (((int)i != self || claims->list.n == 1) &&
		    !claims->peers[i].complete &&
		    !claims->peers[i].copy_received)
			return false;
	return true;
}

const struct home_list *claims_find_list(const struct claims *claims,
					 uint64_t epoch)
{
	const struct home_list *list =
		&claims->earlier_lists[epoch % CLAIMS_LIST_HISTORY];

	if (epoch == claims->list.epoch)
		return &claims->list;
	return list->epoch == epoch ? list : NULL;
}

/* Whether @key is one of the keys of @gap, or may be as the list is unknown. */
static bool key_in_gap(const struct claims *claims, const struct claim_gap *gap,
		       const struct order_key *key)
{
	const struct home_list *list = claims_find_list(claims, gap->epoch);
	struct home_pair pair;
	size_t matches = 0;

	if (!list)
		return true;
	home_list_select_pair(list, key, &pair);
	for (size_t i = 0; i < pair.n; i++)
		matches +=
			name_equal(&list->names[pair.index[i]], &gap->home_a) ||
			name_equal(&list->names[pair.index[i]], &gap->home_b);
	return matches == pair.n;
}

bool claims_is_complete(const struct claims *claims,
			const struct order_key *key,
			const struct home_pair *pair, int64_t now_ms)
{
	int self = claims->self_index;
	size_t other = pair->index[0];

	if (pair->n > 1 && (int)other == self)
		other = pair->index[1];
	if (now_ms < claims->incomplete_until_ms ||
	    !claims->peers[other].complete)
		return false;
	for (size_t i = 0; i < claims->n_gaps; i++)
		if (now_ms < claims->gaps[i].until_ms &&
		    key_in_gap(claims, &claims->gaps[i], key))
			return false;
	return true;
}

uint64_t claims_peer_instance(const struct claims *claims,
			      const struct home_pair *pair)
{
	for (size_t i = 0; i < pair->n; i++)
		if ((int)pair->index[i] != claims->self_index)
			return claims->peers[pair->index[i]].instance;
	return 0;
}

static void drop_expired_gaps(struct claims *claims, int64_t now_ms)
{
	size_t n = 0;

	for (size_t i = 0; i < claims->n_gaps; i++)
		if (now_ms < claims->gaps[i].until_ms)
			claims->gaps[n++] = claims->gaps[i];
	claims->n_gaps = n;
}

/*
 * Records @gap, or prolongs the recorded gap for the same keys. With the table
 * full, no key counts as complete until all lost claims have expired.
 */
static void add_gap(struct claims *claims, const struct claim_gap *gap,
		    int64_t now_ms)
{
	for (size_t i = 0; i < claims->n_gaps; i++) {
		struct claim_gap *existing = &claims->gaps[i];

		if (existing->epoch != gap->epoch ||
		    !name_equal(&existing->home_a, &gap->home_a) ||
		    !name_equal(&existing->home_b, &gap->home_b))
			continue;
		existing->until_ms = MAX(existing->until_ms, gap->until_ms);
		return;
	}
	drop_expired_gaps(claims, now_ms);
	if (claims->n_gaps < CLAIM_GAPS_MAX)
		claims->gaps[claims->n_gaps++] = *gap;
	else
		claims->incomplete_until_ms =
			now_ms + claims->options.retention_ms;
}

/*
 * Records that claims on the keys of the homes @a and @b may be lost, until
 * they expire. Only claims granted before @sharing_since_ms may be, since this
 * home has stored all later ones; 0: any claim granted until now may be lost.
 */
static void record_gap(struct claims *claims, uint64_t epoch,
		       const struct name *a, const struct name *b,
		       int64_t sharing_since_ms, int64_t now_ms)
{
	struct claim_gap gap = {
		.epoch = epoch,
		.home_a = *a,
		.home_b = *b,
		.until_ms = (sharing_since_ms ? sharing_since_ms : now_ms) +
			    claims->options.retention_ms,
	};

	add_gap(claims, &gap, now_ms);
}

/*
 * Before the list changes, records a gap for claims that this home lacks and
 * that can't be copied from the home at @index under the next list. If this
 * home was complete before a home was last removed, just the claims that the
 * removed home shared with the home at @index are lacking.
 */
static void record_uncopied_claims(struct claims *claims, size_t index,
				   bool added, const struct name *changed,
				   int64_t now_ms)
{
	struct home_peer *peer = &claims->peers[index];
	const struct name *name = &claims->list.names[index];

	if (peer->complete)
		return;
	if (peer->complete_before && claims->last_removed.len) {
		record_gap(claims, claims->list.epoch - 1,
			   &claims->last_removed, name, peer->sharing_since_ms,
			   now_ms);
		peer->complete = true;
	} else if (added || name_equal(name, changed)) {
		record_gap(claims, claims->list.epoch, &claims->options.self,
			   name, peer->sharing_since_ms, now_ms);
	}
}

/* The state of the home @name under the next list. */
static struct home_peer peer_after_change(const struct claims *claims,
					  const struct name *name, bool added,
					  const struct name *changed,
					  size_t next_n)
{
	int index = home_list_find(&claims->list, name);
	struct home_peer old_peer = {0};
	struct home_peer peer;

	if (index >= 0)
		old_peer = claims->peers[index];
	peer = old_peer;
	peer.sharing_since_ms = 0;
	peer.copy_requested_ms = 0;
	peer.synced = false;
	peer.copy_received = false;
	/* Adding a home adds no keys to the pairs of the other homes. */
	peer.complete = added ? old_peer.complete || name_equal(name, changed)
			      : next_n == 1;
	peer.complete_before = !added && old_peer.complete;
	return peer;
}

/* Updates the state of the other homes for the list @next. */
static void apply_change(struct claims *claims, const struct home_list *next,
			 const struct name *changed, bool added, int64_t now_ms)
{
	struct home_peer peers[HOMES_MAX];

	for (size_t i = 0; i < claims->list.n; i++)
		if ((int)i != claims->self_index || claims->list.n == 1)
			record_uncopied_claims(claims, i, added, changed,
					       now_ms);
	for (size_t i = 0; i < next->n; i++)
		peers[i] = peer_after_change(claims, &next->names[i], added,
					     changed, next->n);
	memcpy(claims->peers, peers, sizeof(peers[0]) * next->n);
	memset(&claims->last_removed, 0, sizeof(claims->last_removed));
	if (!added)
		claims->last_removed = *changed;
}

/*
 * Discards the state of all homes, for a new list that differs from the last
 * one by more than a single change.
 */
static void reset_peers(struct claims *claims, uint64_t epoch)
{
	claims->followed_since_epoch = epoch;
	claims->n_gaps = 0;
	memset(claims->peers, 0, sizeof(claims->peers));
	memset(claims->earlier_lists, 0, sizeof(claims->earlier_lists));
	memset(&claims->last_removed, 0, sizeof(claims->last_removed));
}

static void adopt_list(struct claims *claims, const struct home_list *list,
		       int64_t now_ms)
{
	const struct home_list *old_list = &claims->list;
	int next_self_index = home_list_find(list, &claims->options.self);
	struct name changed;
	bool added;

	if (list->epoch <= old_list->epoch || !list->n)
		return;
	if (claims->self_index >= 0 && next_self_index >= 0 &&
	    home_list_follows(old_list, list, &changed, &added)) {
		apply_change(claims, list, &changed, added, now_ms);
		claims->earlier_lists[old_list->epoch % CLAIMS_LIST_HISTORY] =
			*old_list;
	} else {
		reset_peers(claims, list->epoch);
	}
	claims->list = *list;
	claims->self_index = next_self_index;
	claims->adopted_ms = now_ms;
	claims->next_beacon_ms = now_ms;
	counter_inc(claims->counters, COUNTER_HOME_LIST_ADOPTED);
}

void claims_receive_list(struct claims *claims, const struct home_list *list,
			 int64_t now_ms)
{
	adopt_list(claims, list, now_ms);
}

void claims_set_list(struct claims *claims, const struct home_list *list,
		     bool created_list, int64_t now_ms)
{
	if (!list->epoch && !claims->list.epoch)
		claims->may_create_list = true;
	adopt_list(claims, list, now_ms);
	if (list->epoch == claims->list.epoch)
		claims->list_confirmed = true;
	if (created_list && list->epoch == 1 && claims->list.epoch == 1)
		claims->peers[0].complete = true;
}

static void send_beacon(struct claims *claims, const struct name *to,
			int64_t now_ms, struct claims_sink *sink)
{
	int index = home_list_find(&claims->list, to);
	struct order_message message;

	claims_init_message(claims, &message, ORDER_BEACON);
	message.free_slots = claims->free_slots;
	message.synced = claims_is_synced(claims);
	message.sent_ms = now_ms;
	message.join_request = claims->self_index < 0 && !claims->leaving;
	if (index < 0 || claims->peers[index].last_epoch < claims->list.epoch)
		message.list = &claims->list;
	sink->send(sink, to, &message);
}

/*
 * Updates @peer from a message of that home. A new instance has restarted and
 * lost its claims; those stored here stay valid.
 */
static void record_contact(struct claims *claims, struct home_peer *peer,
			   const struct order_message *message, int64_t now_ms)
{
	if (peer->instance != message->instance) {
		peer->sharing_since_ms = 0;
		peer->copy_received = false;
	}
	peer->instance = message->instance;
	peer->last_message_ms = MAX(now_ms, (int64_t)1);
	peer->last_epoch = message->epoch;
	if (message->epoch < claims->list.epoch)
		peer->sharing_since_ms = 0;
	else if (!peer->sharing_since_ms)
		peer->sharing_since_ms = now_ms;
}

static void handle_beacon(struct claims *claims, int index,
			  const struct order_message *message, int64_t now_ms,
			  struct claims_sink *sink)
{
	if (index >= 0)
		claims->peers[index].synced =
			message->synced && message->epoch == claims->list.epoch;
	else if (message->join_request)
		claims->join_candidate = message->from;
	if (message->join_request)
		claims->join_requested_ms = now_ms;
	if (message->epoch < claims->list.epoch)
		send_beacon(claims, &message->from, now_ms, sink);
	/*
	 * A restarted agent trusts its list once homes with a majority of the
	 * votes have no newer one: its earlier run may have had a newer list
	 * than a single home has.
	 */
	if (!claims->list_confirmed &&
	    reachable_votes(claims, now_ms) * 2 > total_votes(claims))
		claims->list_confirmed = true;
}

/*
 * Stores an earlier list in `earlier_lists`. The list of an epoch never
 * changes, so it may come from any agent.
 */
static void store_list(struct claims *claims, const struct home_list *list)
{
	struct home_list *entry;

	if (!list || list->epoch >= claims->list.epoch)
		return;
	entry = &claims->earlier_lists[list->epoch % CLAIMS_LIST_HISTORY];
	if (entry->epoch < list->epoch)
		*entry = *list;
}

/*
 * Whether this home was one of the two homes of @gap and has applied each
 * change of the list since: it has the claims or recorded the gap itself.
 */
static bool has_own_record(const struct claims *claims,
			   const struct claim_gap *gap)
{
	return gap->epoch >= claims->followed_since_epoch &&
	       (name_equal(&gap->home_a, &claims->options.self) ||
		name_equal(&gap->home_b, &claims->options.self));
}

/*
 * Records the gaps of the home that sent a copy, whose claims this home lacks
 * then, too. False when the home list of a gap is neither stored here nor sent
 * with it, so that its keys can't be determined.
 */
static bool record_gaps_of_sender(struct claims *claims,
				  const struct order_message *message,
				  int64_t now_ms)
{
	bool all_known = true;

	for (size_t i = 0; i < message->n_gaps; i++) {
		struct claim_gap gap = message->gaps[i];

		if (has_own_record(claims, &gap))
			continue;
		gap.until_ms += now_ms;
		store_list(claims, gap.list);
		all_known = all_known && claims_find_list(claims, gap.epoch);
		gap.list = NULL;
		add_gap(claims, &gap, now_ms);
	}
	return all_known;
}

/* All parts of a copy arrived: updates whether this home is complete. */
static void finish_copy(struct claims *claims, struct home_peer *peer,
			const struct name *from, int64_t now_ms)
{
	peer->copy_received = true;
	if (peer->copy_sufficient) {
		peer->complete = true;
	} else if (peer->sender_incomplete && peer->complete_before &&
		   claims->last_removed.len) {
		/* The sender lacks claims that it shared with @last_removed. */
		record_gap(claims, claims->list.epoch - 1, from,
			   &claims->last_removed, 0, now_ms);
		peer->complete = true;
	}
}

/* False for a duplicate part or one beyond CLAIMS_COPY_PARTS_MAX. */
static bool record_part(struct home_peer *peer, uint32_t part)
{
	uint64_t bit = 1ULL << (part % 64);

	if (part >= CLAIMS_COPY_PARTS_MAX || (peer->parts[part / 64] & bit))
		return false;
	peer->parts[part / 64] |= bit;
	peer->n_parts++;
	return true;
}

/* The parts of a copy may arrive late, reordered or duplicated. */
static void handle_copy(struct claims *claims, struct home_peer *peer,
			const struct order_message *message, int64_t now_ms)
{
	if (message->epoch != claims->list.epoch ||
	    message->sent_ms != peer->copy_requested_ms)
		return;
	claims_apply_copies(claims, message->copies, message->n_copies, now_ms);
	if (!record_part(peer, message->part))
		return;
	if (message->last) {
		peer->parts_expected = message->part + 1;
		peer->sender_incomplete = !message->complete &&
					  !message->complete_before;
		peer->copy_sufficient =
			(message->complete ||
			 (message->complete_before && peer->complete_before)) &&
			record_gaps_of_sender(claims, message, now_ms);
	}
	if (peer->n_parts == peer->parts_expected)
		finish_copy(claims, peer, &message->from, now_ms);
}

void claims_handle_message(struct claims *claims,
			   const struct order_message *message, int64_t now_ms,
			   struct claims_sink *sink)
{
	struct order_message response;
	int index;

	if (message->list && message->list->n)
		adopt_list(claims, message->list, now_ms);
	index = home_list_find(&claims->list, &message->from);
	if (index >= 0)
		record_contact(claims, &claims->peers[index], message, now_ms);
	switch (message->type) {
	case ORDER_CLAIM:
		claims_handle_claim(claims, message, now_ms, &response);
		sink->send(sink, &message->from, &response);
		break;
	case ORDER_SETTLE:
		claims_settle(claims, message, now_ms);
		claims_init_message(claims, &response, ORDER_SETTLE_ACK);
		response.owner = message->owner;
		sink->send(sink, &message->from, &response);
		break;
	case ORDER_BEACON:
		handle_beacon(claims, index, message, now_ms, sink);
		break;
	case ORDER_COPY_REQUEST:
		if (message->epoch == claims->list.epoch)
			claims_send_copies(claims, message, now_ms, sink);
		break;
	case ORDER_COPY:
		if (index >= 0)
			handle_copy(claims, &claims->peers[index], message,
				    now_ms);
		break;
	default:
		break;
	}
}

static void request_copies(struct claims *claims, int64_t now_ms,
			   struct claims_sink *sink)
{
	struct order_message message;

	if (claims->self_index < 0)
		return;
	if (claims->list.n == 1 && !claims->peers[0].complete)
		claims->peers[0].complete = now_ms - claims->adopted_ms >=
					    claims->options.retention_ms;

	for (size_t i = 0; i < claims->list.n; i++) {
		struct home_peer *peer = &claims->peers[i];

		if (peer->complete || (int)i == claims->self_index)
			continue;
		if (peer->sharing_since_ms &&
		    now_ms - peer->sharing_since_ms >=
			    claims->options.retention_ms)
			peer->complete = true;
		if (now_ms < peer->copy_requested_ms +
				     (peer->copy_received
					      ? COPY_RETRY_MS
					      : COPY_REQUEST_INTERVAL_MS))
			continue;
		claims_init_message(claims, &message, ORDER_COPY_REQUEST);
		message.sent_ms = now_ms;
		peer->copy_requested_ms = now_ms;
		memset(peer->parts, 0, sizeof(peer->parts));
		peer->n_parts = 0;
		peer->parts_expected = 0;
		sink->send(sink, &claims->list.names[i], &message);
	}
}

/* A home that sent nothing for CLAIMS_REMOVE_AFTER_MS; NULL if none. */
static const struct name *unreachable_home(const struct claims *claims,
					   int64_t now_ms)
{
	int self = claims->self_index;

	for (size_t i = 0; i < claims->list.n; i++) {
		int64_t last_ms = MAX(claims->peers[i].last_message_ms,
				      claims->adopted_ms);

		if ((int)i != self &&
		    now_ms - last_ms >= CLAIMS_REMOVE_AFTER_MS)
			return &claims->list.names[i];
	}
	return NULL;
}

/*
 * Whether all homes but @removed (NULL: none) are in sync, or CLAIMS_SYNC_MS
 * have passed since the last change.
 */
static bool may_change_list(const struct claims *claims,
			    const struct name *removed, int64_t now_ms)
{
	if (now_ms - claims->adopted_ms >= CLAIMS_SYNC_MS)
		return true;
	if (!removed && !claims_is_synced(claims))
		return false;
	for (size_t i = 0; i < claims->list.n; i++) {
		const struct home_peer *peer = &claims->peers[i];

		if ((int)i == claims->self_index ||
		    (removed && name_equal(removed, &claims->list.names[i])))
			continue;
		if (!peer->synced || peer->last_epoch != claims->list.epoch)
			return false;
	}
	return true;
}

/* Only the first live home proposes, to limit the load on the platform. */
static bool is_proposer(const struct claims *claims, int64_t now_ms)
{
	for (int i = 0; i < claims->self_index; i++)
		if (now_ms - claims->peers[i].last_message_ms <
		    CLAIMS_REMOVE_AFTER_MS)
			return false;
	return claims->self_index >= 0 && !claims_is_fenced(claims, now_ms);
}

/* Applies to @next the change of the list to propose; false for none. */
static bool build_next_list(const struct claims *claims, struct home_list *next,
			    int64_t now_ms)
{
	const struct name *unreachable = unreachable_home(claims, now_ms);

	if (!claims->list.epoch)
		return claims->may_create_list && !claims->leaving &&
		       home_list_add(next, &claims->options.self);
	if (claims->leaving)
		return claims->list.n > 1 &&
		       may_change_list(claims, NULL, now_ms) &&
		       home_list_remove(next, &claims->options.self);
	if (!is_proposer(claims, now_ms))
		return false;
	if (unreachable)
		return may_change_list(claims, unreachable, now_ms) &&
		       home_list_remove(next, unreachable);
	return claims->join_requested_ms &&
	       now_ms - claims->join_requested_ms < CLAIMS_REMOVE_AFTER_MS &&
	       may_change_list(claims, NULL, now_ms) &&
	       home_list_add(next, &claims->join_candidate);
}

static void propose_list(struct claims *claims, int64_t now_ms,
			 struct claims_sink *sink)
{
	struct home_list next = claims->list;

	if (now_ms < claims->next_propose_ms ||
	    !build_next_list(claims, &next, now_ms))
		return;
	claims->next_propose_ms = now_ms + CLAIMS_BEACON_INTERVAL_MS;
	sink->propose(sink, &next);
}

void claims_tick(struct claims *claims, int64_t now_ms,
		 struct claims_sink *sink)
{
	request_copies(claims, now_ms, sink);
	propose_list(claims, now_ms, sink);
	if (now_ms < claims->next_beacon_ms)
		return;
	claims->next_beacon_ms = now_ms + CLAIMS_BEACON_INTERVAL_MS;
	for (size_t i = 0; i < claims->list.n; i++)
		if ((int)i != claims->self_index)
			send_beacon(claims, &claims->list.names[i], now_ms,
				    sink);
}
