#include "gate_internal.h"

/*
 * The outcome of a request that claimed a key is sent to the key's homes until
 * both have acknowledged or SETTLE_TRIES_MAX is reached. A home that misses an
 * outcome keeps the key claimed, which is safe, but when the caller repeats the
 * request, its outcome is then reported as unknown.
 */
#define SETTLE_RETRY_MS 300
#define SETTLE_TRIES_MAX 20

/* An outcome that not all homes of its key have acknowledged. */
struct unsettled {
	/* Id of the request. */
	uint64_t request;
	struct order_key key;
	int64_t arrived_ms;
	/* Final state of the claim. */
	enum claim_state state;
	/* When the outcome is sent again, ms. */
	int64_t next_send_ms;
	/* Number of times that it was sent. */
	unsigned int tries;
	/* The home that acknowledged first; empty until then. */
	struct name acked_home;
};

void gate_settle_init(struct gate *gate)
{
	gate->unsettled = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
}

void gate_settle_finish(struct gate *gate)
{
	g_hash_table_destroy(gate->unsettled);
}

/*
 * Sends the outcome to the homes that have not acknowledged it. True when it
 * needn't be sent again: no such home is left, or SETTLE_TRIES_MAX is reached.
 */
static bool send_settle(struct gate *gate, struct unsettled *unsettled,
			int64_t now_ms, struct gate_sink *sink)
{
	const struct home_list *list = &gate->claims->list;
	struct order_message message;
	struct home_pair pair;
	bool all_acked = true;

	claims_init_message(gate->claims, &message, ORDER_SETTLE);
	message.key = unsettled->key;
	message.owner.instance = gate->claims->options.instance;
	message.owner.request = unsettled->request;
	message.state = unsettled->state;
	home_list_select_pair(list, &unsettled->key, &pair);
	for (size_t i = 0; i < pair.n; i++) {
		const struct name *home = &list->names[pair.index[i]];

		if ((int)pair.index[i] == gate->claims->self_index) {
			claims_settle(gate->claims, &message, now_ms);
		} else if (!name_equal(home, &unsettled->acked_home)) {
			sink->send(sink, home, &message);
			all_acked = false;
		}
	}
	unsettled->next_send_ms = now_ms + SETTLE_RETRY_MS;
	return all_acked || ++unsettled->tries >= SETTLE_TRIES_MAX;
}

void gate_settle(struct gate *gate, const struct request *request,
		 enum claim_state state, int64_t now_ms, struct gate_sink *sink)
{
	struct unsettled *unsettled = g_new0(struct unsettled, 1);

	unsettled->request = request->id;
	unsettled->key = request->key;
	unsettled->state = state;
	if (send_settle(gate, unsettled, now_ms, sink)) {
		g_free(unsettled);
		return;
	}
	g_hash_table_replace(gate->unsettled, &unsettled->request, unsettled);
	gate_wake_at(gate, unsettled->next_send_ms);
}

/* Stops sending the outcome once all homes of the key have acknowledged. */
void gate_settle_ack(struct gate *gate, const struct order_message *ack)
{
	struct unsettled *unsettled =
		g_hash_table_lookup(gate->unsettled, &ack->owner.request);
	const struct home_list *list = &gate->claims->list;
	struct home_pair pair;

	if (!unsettled || ack->owner.instance != gate->claims->options.instance)
		return;
	home_list_select_pair(list, &unsettled->key, &pair);
	for (size_t i = 0; i < pair.n; i++)
		if ((int)pair.index[i] != gate->claims->self_index &&
		    !name_equal(&list->names[pair.index[i]], &ack->from) &&
		    !name_equal(&list->names[pair.index[i]],
				&unsettled->acked_home)) {
			unsettled->acked_home = ack->from;
			return;
		}
	g_hash_table_remove(gate->unsettled, &ack->owner.request);
}

void gate_settle_tick(struct gate *gate, int64_t now_ms, struct gate_sink *sink)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->unsettled);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct unsettled *unsettled = value;

		if (now_ms >= unsettled->next_send_ms &&
		    send_settle(gate, unsettled, now_ms, sink)) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		gate_wake_at(gate, unsettled->next_send_ms);
	}
}
