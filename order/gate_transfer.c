#include "gate_internal.h"

#include <string.h>

/*
 * A hand-on is a transfer that is answered done, not run or unknown. The
 * gate that takes it remembers its number, so that a doubled transfer runs
 * nothing and one that was cancelled before it came is refused.
 */
#define PEER_HEARD_MS 2000

static const struct str no_payload = {"", 0};

/* A transfer that was seen, by sender and number. */
struct seen {
	uint64_t instance, request;
	int64_t at_ms;
	/* The request that it became here, or 0. */
	uint64_t id;
	GList link;
};

static guint seen_hash(gconstpointer data)
{
	const struct seen *seen = data;

	return (guint)(seen->instance ^ seen->request);
}

static gboolean seen_equal(gconstpointer a, gconstpointer b)
{
	const struct seen *x = a, *y = b;

	return x->instance == y->instance && x->request == y->request;
}

void gate_transfer_init(struct gate *gate)
{
	gate->seen = g_hash_table_new_full(seen_hash, seen_equal, g_free, NULL);
	g_queue_init(&gate->seen_by_age);
}

void gate_transfer_finish(struct gate *gate)
{
	g_hash_table_destroy(gate->seen);
}

static struct seen *seen_find(const struct gate *gate,
			      const struct order_message *message)
{
	struct seen key = {.instance = message->instance,
			   .request = message->request};

	return g_hash_table_lookup(gate->seen, &key);
}

static struct seen *seen_add(struct gate *gate,
			     const struct order_message *message, uint64_t id,
			     int64_t now_ms)
{
	struct seen *seen = g_new0(struct seen, 1);

	seen->instance = message->instance;
	seen->request = message->request;
	seen->at_ms = now_ms;
	seen->id = id;
	seen->link.data = seen;
	g_hash_table_add(gate->seen, seen);
	g_queue_push_tail_link(&gate->seen_by_age, &seen->link);
	return seen;
}

void gate_transfer_forget(struct gate *gate, int64_t now_ms)
{
	GList *oldest;

	while ((oldest = g_queue_peek_head_link(&gate->seen_by_age))) {
		struct seen *seen = oldest->data;

		if (now_ms - seen->at_ms < GATE_SEEN_MS)
			return;
		g_queue_unlink(&gate->seen_by_age, oldest);
		g_hash_table_remove(gate->seen, seen);
	}
}

static struct gate_peer *roomiest(struct gate *gate, int64_t now_ms)
{
	struct gate_peer *best = NULL;

	for (size_t i = 0; i < gate->n_peers; i++) {
		struct gate_peer *peer = &gate->peers[i];

		if (peer->room && now_ms - peer->heard_ms < PEER_HEARD_MS &&
		    (!best || peer->room > best->room))
			best = peer;
	}
	return best;
}

bool gate_hand_on(struct gate *gate, struct request *request, int64_t now_ms,
		  struct gate_sink *sink)
{
	struct gate_peer *peer = roomiest(gate, now_ms);
	struct order_message message;

	if (!peer || request->remote || request->exposed ||
	    !request->payload.len)
		return false;
	gate_dequeue(gate, request);
	request->state = ORDER_STATE_HANDED_ON;
	request->handed_to = peer->name;
	request->handed_instance = peer->instance;
	request->exposed_before = request->exposed;
	request->exposed = true;
	peer->room--;
	claims_message(gate->claims, &message, ORDER_TRANSFER);
	message.peer_instance = peer->instance;
	message.request = request->id;
	message.time_left_ms = request->deadline_ms - now_ms;
	message.idempotent = request->idempotent;
	message.payload = strbuf_str(&request->payload);
	counter_inc(gate->counters, COUNTER_ORDER_FORWARDED);
	sink->send(sink, &peer->name, &message);
	return true;
}

/* Asks the other gate to give the request back; waits a little for it. */
void gate_hand_on_cancel(struct gate *gate, struct request *request,
			 int64_t now_ms, struct gate_sink *sink)
{
	struct order_message message;

	if (request->cancel_sent) {
		gate_conclude(gate, request, ORDER_UNKNOWN,
			      ORDER_REASON_HANDED_ON_LOST, no_payload, now_ms,
			      sink);
		return;
	}
	request->cancel_sent = true;
	request->deadline_ms = now_ms + GATE_HAND_ON_GRACE_MS;
	gate_wake_at(gate, request->deadline_ms);
	claims_message(gate->claims, &message, ORDER_TRANSFER_CANCEL);
	message.request = request->id;
	message.peer_instance = request->handed_instance;
	sink->send(sink, &request->handed_to, &message);
}

static void send_answer(struct gate *gate, const struct name *to,
			uint64_t instance, uint64_t id,
			enum order_outcome outcome, enum order_reason reason,
			struct str payload, struct gate_sink *sink)
{
	struct order_message message;

	claims_message(gate->claims, &message, ORDER_TRANSFER_ANSWER);
	message.owner.instance = instance;
	message.request = id;
	message.outcome = outcome;
	message.reason = reason;
	message.payload = payload;
	sink->send(sink, to, &message);
}

void gate_transfer_tell(struct gate *gate, const struct request *request,
			enum order_outcome outcome, enum order_reason reason,
			struct str payload, struct gate_sink *sink)
{
	send_answer(gate, &request->remote_from, request->remote_instance,
		    request->remote_id, outcome, reason, payload, sink);
}

static void refuse_transfer(struct gate *gate,
			    const struct order_message *message,
			    struct gate_sink *sink)
{
	send_answer(gate, &message->from, message->instance, message->request,
		    ORDER_NOT_RUN, ORDER_REASON_QUEUE_FULL, no_payload, sink);
}

static void take_transfer(struct gate *gate,
			  const struct order_message *message, int64_t now_ms,
			  struct gate_sink *sink)
{
	struct request *request;

	if (seen_find(gate, message)) {
		counter_inc(gate->counters, COUNTER_ORDER_TRANSFER_DUPLICATE);
		return;
	}
	/* Meant for an earlier run of ours, which may have taken it. */
	if (message->peer_instance != gate->claims->options.instance)
		return;
	if (gate->draining || gate->queued >= gate->options.queue_max ||
	    message->time_left_ms <= 0) {
		seen_add(gate, message, 0, now_ms);
		refuse_transfer(gate, message, sink);
		return;
	}
	request = gate_add(gate, gate->next_remote_id++, now_ms);
	seen_add(gate, message, request->id, now_ms);
	request->remote = true;
	request->remote_from = message->from;
	request->remote_instance = message->instance;
	request->remote_id = message->request;
	request->idempotent = message->idempotent;
	request->deadline_ms = now_ms + message->time_left_ms;
	strbuf_add(&request->payload, message->payload.data,
		   message->payload.len);
	gate_wake_at(gate, request->deadline_ms);
	gate_enqueue(gate, request, false);
}

static void cancel_transfer(struct gate *gate,
			    const struct order_message *message, int64_t now_ms,
			    struct gate_sink *sink)
{
	struct seen *seen = seen_find(gate, message);

	/* An earlier run of ours may have dispatched it. */
	if (message->peer_instance != gate->claims->options.instance) {
		send_answer(gate, &message->from, message->instance,
			    message->request, ORDER_UNKNOWN,
			    ORDER_REASON_HANDED_ON_LOST, no_payload, sink);
		return;
	}
	if (!seen)
		seen = seen_add(gate, message, 0, now_ms);
	if (!seen->id)
		refuse_transfer(gate, message, sink);
	else
		gate_cancel(gate, seen->id, now_ms, sink);
}

static void take_refusal(struct gate *gate, struct request *request,
			 int64_t now_ms, struct gate_sink *sink)
{
	request->state = ORDER_STATE_QUEUED;
	request->exposed = request->exposed_before;
	if (request->cancel_sent)
		gate_refuse(gate, request, ORDER_REASON_DEADLINE, now_ms, sink);
	else
		gate_enqueue(gate, request, true);
}

static void take_answer(struct gate *gate, const struct order_message *message,
			int64_t now_ms, struct gate_sink *sink)
{
	struct request *request = gate_find(gate, message->request);

	if (!request || request->state != ORDER_STATE_HANDED_ON ||
	    message->owner.instance != gate->claims->options.instance ||
	    !name_equal(&message->from, &request->handed_to)) {
		counter_inc(gate->counters, COUNTER_ORDER_RESPONSE_UNMATCHED);
		return;
	}
	if (message->outcome == ORDER_DONE)
		gate_conclude(gate, request, ORDER_DONE, ORDER_REASON_NONE,
			      message->payload, now_ms, sink);
	else if (message->outcome == ORDER_NOT_RUN &&
		 message->instance == request->handed_instance)
		take_refusal(gate, request, now_ms, sink);
	else
		gate_conclude(gate, request, ORDER_UNKNOWN,
			      message->reason < ORDER_REASON_COUNT
				      ? (enum order_reason)message->reason
				      : ORDER_REASON_HANDED_ON_LOST,
			      no_payload, now_ms, sink);
}

static void hear_peer(struct gate *gate, const struct order_message *beacon,
		      int64_t now_ms)
{
	struct gate_peer *peer = NULL;

	for (size_t i = 0; i < gate->n_peers && !peer; i++)
		if (name_equal(&gate->peers[i].name, &beacon->from))
			peer = &gate->peers[i];
	if (!peer && gate->n_peers == HOMES_MAX)
		return;
	if (!peer)
		peer = &gate->peers[gate->n_peers++];
	peer->name = beacon->from;
	peer->instance = beacon->instance;
	peer->room = beacon->room;
	peer->heard_ms = now_ms;
}

void gate_transfer_handle(struct gate *gate,
			  const struct order_message *message, int64_t now_ms,
			  struct gate_sink *sink)
{
	switch (message->type) {
	case ORDER_TRANSFER:
		take_transfer(gate, message, now_ms, sink);
		break;
	case ORDER_TRANSFER_ANSWER:
		take_answer(gate, message, now_ms, sink);
		break;
	case ORDER_TRANSFER_CANCEL:
		cancel_transfer(gate, message, now_ms, sink);
		break;
	case ORDER_BEACON:
		hear_peer(gate, message, now_ms);
		break;
	default:
		break;
	}
}
