#include "tarragonflow/order/claims.h"

#include <string.h>

#define COPY_ASK_MS 500
/* A home that could not give all is asked again after this time. */
#define COPY_AGAIN_MS 5000

void claims_message(const struct claims *claims, struct order_message *message,
		    enum order_message_type type)
{
	memset(message, 0, sizeof(*message));
	message->type = type;
	message->from = claims->options.self;
	message->instance = claims->options.instance;
	message->epoch = claims->list.epoch;
}

/* The first home of an even number counts twice, so that half can win. */
static size_t weight(const struct claims *claims, size_t at)
{
	return at == 0 && claims->list.n % 2 == 0 ? 2 : 1;
}

static bool heard(const struct claims *claims, size_t at, int64_t now_ms)
{
	const struct home_peer *peer = &claims->peers[at];

	return peer->heard_ms && now_ms - peer->heard_ms < CLAIMS_FENCE_MS &&
	       peer->heard_epoch >= claims->list.epoch;
}

/* The weight of the homes that were heard and are as far as we are. */
static size_t heard_weight(const struct claims *claims, int64_t now_ms)
{
	size_t sum = 0;

	for (size_t i = 0; i < claims->list.n; i++)
		if ((int)i != claims->self_at && heard(claims, i, now_ms))
			sum += weight(claims, i);
	return sum;
}

static size_t total_weight(const struct claims *claims)
{
	return claims->list.n + (claims->list.n % 2 == 0);
}

bool claims_fenced(const struct claims *claims, int64_t now_ms)
{
	size_t sum = heard_weight(claims, now_ms);

	if (claims->self_at < 0 || !claims->confirmed)
		return true;
	sum += weight(claims, (size_t)claims->self_at);
	return sum * 2 <= total_weight(claims);
}

bool claims_settled(const struct claims *claims)
{
	int self = claims->self_at;

	if (self < 0)
		return false;
	for (size_t i = 0; i < claims->list.n; i++)
		if (((int)i != self || claims->list.n == 1) &&
		    !claims->peers[i].complete && !claims->peers[i].copy_done)
			return false;
	return true;
}

const struct home_list *claims_list_of(const struct claims *claims,
				       uint64_t epoch)
{
	const struct home_list *list = &claims->history[epoch % CLAIMS_HISTORY];

	if (epoch == claims->list.epoch)
		return &claims->list;
	return list->epoch == epoch ? list : NULL;
}

/* Whether the homes of @key in the list of the gap were the lost ones. */
static bool in_gap(const struct claims *claims, const struct claim_gap *gap,
		   const struct order_key *key)
{
	const struct home_list *list = claims_list_of(claims, gap->epoch);
	struct home_pair pair;
	size_t hits = 0;

	if (!list)
		return true;
	home_list_pair(list, key, &pair);
	for (size_t i = 0; i < pair.n; i++)
		hits += name_equal(&list->names[pair.at[i]], &gap->a) ||
			name_equal(&list->names[pair.at[i]], &gap->b);
	return hits == pair.n;
}

bool claims_complete(const struct claims *claims, const struct order_key *key,
		     const struct home_pair *pair, int64_t now_ms)
{
	int self = claims->self_at;
	size_t other = pair->at[0];

	if (pair->n > 1 && (int)other == self)
		other = pair->at[1];
	if (now_ms < claims->blind_until_ms || !claims->peers[other].complete)
		return false;
	for (size_t i = 0; i < claims->n_gaps; i++)
		if (now_ms < claims->gaps[i].until_ms &&
		    in_gap(claims, &claims->gaps[i], key))
			return false;
	return true;
}

uint64_t claims_other_instance(const struct claims *claims,
			       const struct home_pair *pair)
{
	for (size_t i = 0; i < pair->n; i++)
		if ((int)pair->at[i] != claims->self_at)
			return claims->peers[pair->at[i]].instance;
	return 0;
}

static void drop_old_gaps(struct claims *claims, int64_t now_ms)
{
	size_t kept = 0;

	for (size_t i = 0; i < claims->n_gaps; i++)
		if (now_ms < claims->gaps[i].until_ms)
			claims->gaps[kept++] = claims->gaps[i];
	claims->n_gaps = kept;
}

static void add_gap(struct claims *claims, const struct claim_gap *gap,
		    int64_t now_ms)
{
	for (size_t i = 0; i < claims->n_gaps; i++) {
		struct claim_gap *have = &claims->gaps[i];

		if (have->epoch != gap->epoch ||
		    !name_equal(&have->a, &gap->a) ||
		    !name_equal(&have->b, &gap->b))
			continue;
		have->until_ms = MAX(have->until_ms, gap->until_ms);
		return;
	}
	drop_old_gaps(claims, now_ms);
	if (claims->n_gaps < CLAIM_GAPS_MAX)
		claims->gaps[claims->n_gaps++] = *gap;
	else
		claims->blind_until_ms = now_ms + claims->options.retention_ms;
}

static void note_gap(struct claims *claims, uint64_t epoch,
		     const struct name *a, const struct name *b,
		     int64_t since_ms, int64_t now_ms)
{
	struct claim_gap gap = {
		.epoch = epoch,
		.a = *a,
		.b = *b,
		.until_ms = (since_ms ? since_ms : now_ms) +
			    claims->options.retention_ms,
	};

	add_gap(claims, &gap, now_ms);
}

/*
 * Before the list changes, writes down as gaps what can't be copied under
 * the next one. A home that followed the last removal and whose copy did not
 * come lacks just what the removed one and the other shared.
 */
static void note_lost(struct claims *claims, size_t at, bool added,
		      const struct name *changed, int64_t now_ms)
{
	struct home_peer *peer = &claims->peers[at];
	const struct name *name = &claims->list.names[at];

	if (peer->complete)
		return;
	if (peer->complete_before && claims->removed.len) {
		note_gap(claims, claims->list.epoch - 1, &claims->removed, name,
			 peer->since_ms, now_ms);
		peer->complete = true;
	} else if (added || name_equal(name, changed)) {
		note_gap(claims, claims->list.epoch, &claims->options.self,
			 name, peer->since_ms, now_ms);
	}
}

/* What we know of the home @name under the next list. */
static struct home_peer next_peer(const struct claims *claims,
				  const struct name *name, bool added,
				  const struct name *changed, size_t next_n)
{
	int at = home_list_find(&claims->list, name);
	struct home_peer old = {0};
	struct home_peer peer;

	if (at >= 0)
		old = claims->peers[at];
	peer = old;
	peer.since_ms = 0;
	peer.next_ask_ms = 0;
	peer.settled = false;
	peer.copy_done = false;
	/* Adding a home only takes keys away from those that share them. */
	peer.complete = added ? old.complete || name_equal(name, changed)
			      : next_n == 1;
	peer.complete_before = !added && old.complete;
	return peer;
}

static void follow(struct claims *claims, const struct home_list *next,
		   const struct name *changed, bool added, int64_t now_ms)
{
	struct home_peer peers[HOMES_MAX];

	for (size_t i = 0; i < claims->list.n; i++)
		if ((int)i != claims->self_at || claims->list.n == 1)
			note_lost(claims, i, added, changed, now_ms);
	for (size_t i = 0; i < next->n; i++)
		peers[i] = next_peer(claims, &next->names[i], added, changed,
				     next->n);
	memcpy(claims->peers, peers, sizeof(peers[0]) * next->n);
	memset(&claims->removed, 0, sizeof(claims->removed));
	if (!added)
		claims->removed = *changed;
}

/* Starts without any knowledge of claims under @next. */
static void start_over(struct claims *claims, uint64_t epoch)
{
	claims->first_epoch = epoch;
	claims->n_gaps = 0;
	memset(claims->peers, 0, sizeof(claims->peers));
	memset(claims->history, 0, sizeof(claims->history));
	memset(&claims->removed, 0, sizeof(claims->removed));
}

static void adopt(struct claims *claims, const struct home_list *list,
		  int64_t now_ms)
{
	const struct home_list *before = &claims->list;
	int next_at = home_list_find(list, &claims->options.self);
	struct name changed;
	bool added;

	if (list->epoch <= before->epoch || !list->n)
		return;
	if (claims->self_at >= 0 && next_at >= 0 &&
	    home_list_follows(before, list, &changed, &added)) {
		follow(claims, list, &changed, added, now_ms);
		claims->history[before->epoch % CLAIMS_HISTORY] = *before;
	} else {
		start_over(claims, list->epoch);
	}
	claims->list = *list;
	claims->self_at = next_at;
	claims->adopted_ms = now_ms;
	claims->next_beacon_ms = now_ms;
	counter_inc(claims->counters, COUNTER_HOME_LIST_ADOPTED);
}

void claims_hear_list(struct claims *claims, const struct home_list *list,
		      int64_t now_ms)
{
	adopt(claims, list, now_ms);
}

void claims_set_list(struct claims *claims, const struct home_list *list,
		     bool founded, int64_t now_ms)
{
	if (!list->epoch && !claims->list.epoch)
		claims->may_found = true;
	adopt(claims, list, now_ms);
	if (list->epoch == claims->list.epoch)
		claims->confirmed = true;
	if (founded && list->epoch == 1 && claims->list.epoch == 1)
		claims->peers[0].complete = true;
}

static void send_beacon(struct claims *claims, const struct name *to,
			int64_t now_ms, struct claims_sink *sink)
{
	int at = home_list_find(&claims->list, to);
	struct order_message message;

	claims_message(claims, &message, ORDER_BEACON);
	message.room = claims->room;
	message.settled = claims_settled(claims);
	message.sent_ms = now_ms;
	message.joining = claims->self_at < 0 && !claims->leaving;
	if (at < 0 || claims->peers[at].heard_epoch < claims->list.epoch)
		message.list = &claims->list;
	sink->send(sink, to, &message);
}

/* A restarted home lost its claims; we still have ours. */
static void hear(struct claims *claims, struct home_peer *peer,
		 const struct order_message *message, int64_t now_ms)
{
	if (peer->instance != message->instance) {
		peer->since_ms = 0;
		peer->copy_done = false;
	}
	peer->instance = message->instance;
	peer->heard_ms = MAX(now_ms, (int64_t)1);
	peer->heard_epoch = message->epoch;
	if (message->epoch < claims->list.epoch)
		peer->since_ms = 0;
	else if (!peer->since_ms)
		peer->since_ms = now_ms;
}

static void take_beacon(struct claims *claims, int at,
			const struct order_message *message, int64_t now_ms,
			struct claims_sink *sink)
{
	if (at >= 0)
		claims->peers[at].settled = message->settled &&
					    message->epoch ==
						    claims->list.epoch;
	else if (message->joining)
		claims->joiner = message->from;
	if (message->joining)
		claims->joiner_ms = now_ms;
	if (message->epoch < claims->list.epoch)
		send_beacon(claims, &message->from, now_ms, sink);
	/* An earlier run of us may have had a later list than one peer. */
	if (!claims->confirmed &&
	    heard_weight(claims, now_ms) * 2 > total_weight(claims))
		claims->confirmed = true;
}

/* Lists never change, so anybody's copy of an earlier one will do. */
static void remember_list(struct claims *claims, const struct home_list *list)
{
	struct home_list *place;

	if (!list || list->epoch >= claims->list.epoch)
		return;
	place = &claims->history[list->epoch % CLAIMS_HISTORY];
	if (place->epoch < list->epoch)
		*place = *list;
}

/* What we followed ourselves we know, or have gaps of our own for. */
static bool known_better(const struct claims *claims,
			 const struct claim_gap *gap)
{
	return gap->epoch >= claims->first_epoch &&
	       (name_equal(&gap->a, &claims->options.self) ||
		name_equal(&gap->b, &claims->options.self));
}

/* Returns false when a gap is in a list that nobody remembers. */
static bool take_gaps(struct claims *claims,
		      const struct order_message *message, int64_t now_ms)
{
	bool known = true;

	for (size_t i = 0; i < message->n_gaps; i++) {
		struct claim_gap gap = message->gaps[i];

		if (known_better(claims, &gap))
			continue;
		gap.until_ms += now_ms;
		remember_list(claims, gap.list);
		known = known && claims_list_of(claims, gap.epoch);
		gap.list = NULL;
		add_gap(claims, &gap, now_ms);
	}
	return known;
}

/* The whole copy came: what it makes of our knowledge. */
static void end_copy(struct claims *claims, struct home_peer *peer,
		     const struct name *from, int64_t now_ms)
{
	peer->copy_done = true;
	if (peer->gives_all) {
		peer->complete = true;
	} else if (peer->gives_nothing && peer->complete_before &&
		   claims->removed.len) {
		/* It lost what it shared with the removed one. */
		note_gap(claims, claims->list.epoch - 1, from, &claims->removed,
			 0, now_ms);
		peer->complete = true;
	}
}

/* False when the part came before, or there are too many. */
static bool note_part(struct home_peer *peer, uint32_t part)
{
	uint64_t bit = 1ULL << (part % 64);

	if (part >= CLAIMS_PARTS_MAX || (peer->parts[part / 64] & bit))
		return false;
	peer->parts[part / 64] |= bit;
	peer->n_parts++;
	return true;
}

/* The parts of a copy may come in any order, late or twice. */
static void take_copy(struct claims *claims, struct home_peer *peer,
		      const struct order_message *message, int64_t now_ms)
{
	if (message->epoch != claims->list.epoch ||
	    message->sent_ms != peer->next_ask_ms)
		return;
	claims_take_copies(claims, message->copies, message->n_copies, now_ms);
	if (!note_part(peer, message->part))
		return;
	if (message->last) {
		peer->parts_expected = message->part + 1;
		peer->gives_nothing = !message->complete &&
				      !message->complete_before;
		peer->gives_all =
			(message->complete ||
			 (message->complete_before && peer->complete_before)) &&
			take_gaps(claims, message, now_ms);
	}
	if (peer->n_parts == peer->parts_expected)
		end_copy(claims, peer, &message->from, now_ms);
}

void claims_handle(struct claims *claims, const struct order_message *message,
		   int64_t now_ms, struct claims_sink *sink)
{
	struct order_message answer;
	int at;

	if (message->list && message->list->n)
		adopt(claims, message->list, now_ms);
	at = home_list_find(&claims->list, &message->from);
	if (at >= 0)
		hear(claims, &claims->peers[at], message, now_ms);
	switch (message->type) {
	case ORDER_CLAIM:
		claims_answer(claims, message, now_ms, &answer);
		sink->send(sink, &message->from, &answer);
		break;
	case ORDER_SETTLE:
		claims_settle(claims, message, now_ms);
		claims_message(claims, &answer, ORDER_SETTLE_ACK);
		answer.owner = message->owner;
		sink->send(sink, &message->from, &answer);
		break;
	case ORDER_BEACON:
		take_beacon(claims, at, message, now_ms, sink);
		break;
	case ORDER_COPY_ASK:
		if (message->epoch == claims->list.epoch)
			claims_send_copies(claims, message, now_ms, sink);
		break;
	case ORDER_COPY:
		if (at >= 0)
			take_copy(claims, &claims->peers[at], message, now_ms);
		break;
	default:
		break;
	}
}

static void ask_copies(struct claims *claims, int64_t now_ms,
		       struct claims_sink *sink)
{
	struct order_message message;

	if (claims->self_at < 0)
		return;
	if (claims->list.n == 1 && !claims->peers[0].complete)
		claims->peers[0].complete = now_ms - claims->adopted_ms >=
					    claims->options.retention_ms;

	for (size_t i = 0; i < claims->list.n; i++) {
		struct home_peer *peer = &claims->peers[i];

		if (peer->complete || (int)i == claims->self_at)
			continue;
		if (peer->since_ms &&
		    now_ms - peer->since_ms >= claims->options.retention_ms)
			peer->complete = true;
		if (now_ms <
		    peer->next_ask_ms +
			    (peer->copy_done ? COPY_AGAIN_MS : COPY_ASK_MS))
			continue;
		claims_message(claims, &message, ORDER_COPY_ASK);
		message.sent_ms = now_ms;
		peer->next_ask_ms = now_ms;
		memset(peer->parts, 0, sizeof(peer->parts));
		peer->n_parts = 0;
		peer->parts_expected = 0;
		sink->send(sink, &claims->list.names[i], &message);
	}
}

/* A home that is silent or leaving, to be removed next; NULL for none. */
static const struct name *to_remove(const struct claims *claims, int64_t now_ms)
{
	int self = claims->self_at;

	for (size_t i = 0; i < claims->list.n; i++) {
		int64_t heard =
			MAX(claims->peers[i].heard_ms, claims->adopted_ms);

		if ((int)i != self && now_ms - heard >= CLAIMS_REMOVE_MS)
			return &claims->list.names[i];
	}
	return NULL;
}

/* Whether all others that are alive finished copying, or had the time to. */
static bool may_change(const struct claims *claims, const struct name *leaving,
		       int64_t now_ms)
{
	if (now_ms - claims->adopted_ms >= CLAIMS_SETTLE_MS)
		return true;
	if (!leaving && !claims_settled(claims))
		return false;
	for (size_t i = 0; i < claims->list.n; i++) {
		const struct home_peer *peer = &claims->peers[i];

		if ((int)i == claims->self_at ||
		    (leaving && name_equal(leaving, &claims->list.names[i])))
			continue;
		if (!peer->settled || peer->heard_epoch != claims->list.epoch)
			return false;
	}
	return true;
}

/* The first home that is alive speaks for all, to spare the platform. */
static bool speaks(const struct claims *claims, int64_t now_ms)
{
	for (int i = 0; i < claims->self_at; i++)
		if (now_ms - claims->peers[i].heard_ms < CLAIMS_REMOVE_MS)
			return false;
	return claims->self_at >= 0 && !claims_fenced(claims, now_ms);
}

static bool next_list(const struct claims *claims, struct home_list *next,
		      int64_t now_ms)
{
	const struct name *gone = to_remove(claims, now_ms);

	if (!claims->list.epoch)
		return claims->may_found && !claims->leaving &&
		       home_list_add(next, &claims->options.self);
	if (claims->leaving)
		return claims->list.n > 1 && may_change(claims, NULL, now_ms) &&
		       home_list_remove(next, &claims->options.self);
	if (!speaks(claims, now_ms))
		return false;
	if (gone)
		return may_change(claims, gone, now_ms) &&
		       home_list_remove(next, gone);
	return claims->joiner_ms &&
	       now_ms - claims->joiner_ms < CLAIMS_REMOVE_MS &&
	       may_change(claims, NULL, now_ms) &&
	       home_list_add(next, &claims->joiner);
}

static void propose(struct claims *claims, int64_t now_ms,
		    struct claims_sink *sink)
{
	struct home_list next = claims->list;

	if (now_ms < claims->next_propose_ms ||
	    !next_list(claims, &next, now_ms))
		return;
	claims->next_propose_ms = now_ms + CLAIMS_BEACON_MS;
	sink->propose(sink, &next);
}

void claims_tick(struct claims *claims, int64_t now_ms,
		 struct claims_sink *sink)
{
	ask_copies(claims, now_ms, sink);
	propose(claims, now_ms, sink);
	if (now_ms < claims->next_beacon_ms)
		return;
	claims->next_beacon_ms = now_ms + CLAIMS_BEACON_MS;
	for (size_t i = 0; i < claims->list.n; i++)
		if ((int)i != claims->self_at)
			send_beacon(claims, &claims->list.names[i], now_ms,
				    sink);
}
