#include "gate_internal.h"

#include <string.h>

/*
 * A request is forwarded by an ORDER_TRANSFER message; the response carries its
 * outcome. The receiving gate stores the sender's request id, so that a
 * duplicate transfer is ignored and a transfer that arrives after its
 * cancellation is not run.
 */

/* A gate whose last beacon is older receives no requests, ms. */
#define BEACON_MAX_AGE_MS 2000

static const struct str no_payload = {"", 0};

/* A transfer that was received, or whose cancellation was. */
struct transfer {
	/* Instance of the forwarding gate and its id of the request. */
	uint64_t sender_instance, sender_request;
	int64_t received_ms;
	/* Id of the request in this gate; 0 if it was not accepted. */
	uint64_t local_id;
	/* Entry in gate->transfers_by_age. */
	GList link;
};

static guint transfer_hash(gconstpointer data)
{
	const struct transfer *transfer = data;

	return (guint)(transfer->sender_instance ^ transfer->sender_request);
}

static gboolean transfer_equal(gconstpointer a, gconstpointer b)
{
	const struct transfer *x = a, *y = b;

	return x->sender_instance == y->sender_instance &&
	       x->sender_request == y->sender_request;
}

void gate_transfer_init(struct gate *gate)
{
	gate->transfers = g_hash_table_new_full(transfer_hash, transfer_equal,
						g_free, NULL);
	g_queue_init(&gate->transfers_by_age);
}

void gate_transfer_finish(struct gate *gate)
{
	g_hash_table_destroy(gate->transfers);
}

static struct transfer *find_transfer(const struct gate *gate,
				      const struct order_message *message)
{
	struct transfer key = {.sender_instance = message->instance,
			       .sender_request = message->request};

	return g_hash_table_lookup(gate->transfers, &key);
}

static struct transfer *add_transfer(struct gate *gate,
				     const struct order_message *message,
				     uint64_t id, int64_t now_ms)
{
	struct transfer *transfer = g_new0(struct transfer, 1);

	transfer->sender_instance = message->instance;
	transfer->sender_request = message->request;
	transfer->received_ms = now_ms;
	transfer->local_id = id;
	transfer->link.data = transfer;
	g_hash_table_add(gate->transfers, transfer);
	g_queue_push_tail_link(&gate->transfers_by_age, &transfer->link);
	return transfer;
}

void gate_transfer_expire(struct gate *gate, int64_t now_ms)
{
	GList *oldest;

	while ((oldest = g_queue_peek_head_link(&gate->transfers_by_age))) {
		struct transfer *transfer = oldest->data;

		if (now_ms - transfer->received_ms < GATE_TRANSFER_RETENTION_MS)
			return;
		g_queue_unlink(&gate->transfers_by_age, oldest);
		g_hash_table_remove(gate->transfers, transfer);
	}
}

/* The gate with the most free slots; NULL if none has any. */
static struct gate_peer *pick_forward_target(struct gate *gate, int64_t now_ms)
{
	struct gate_peer *best = NULL;

	for (size_t i = 0; i < gate->n_peers; i++) {
		struct gate_peer *peer = &gate->peers[i];

		if (peer->free_slots &&
		    now_ms - peer->last_beacon_ms < BEACON_MAX_AGE_MS &&
		    (!best || peer->free_slots > best->free_slots))
			best = peer;
	}
	return best;
}

bool gate_forward(struct gate *gate, struct request *request, int64_t now_ms,
		  struct gate_sink *sink)
{
	struct gate_peer *peer = pick_forward_target(gate, now_ms);
	struct order_message message;

	if (!peer || request->remote || request->may_have_run ||
	    !request->payload.len)
		return false;
	gate_dequeue(gate, request);
	request->state = ORDER_STATE_FORWARDED;
	request->forwarded_to = peer->name;
	request->forwarded_instance = peer->instance;
	request->may_have_run_before = request->may_have_run;
	request->may_have_run = true;
	peer->free_slots--;
	claims_init_message(gate->claims, &message, ORDER_TRANSFER);
	message.peer_instance = peer->instance;
	message.request = request->id;
	message.time_left_ms = request->deadline_ms - now_ms;
	message.idempotent = request->idempotent;
	message.payload = strbuf_str(&request->payload);
	counter_inc(gate->counters, COUNTER_ORDER_FORWARDED);
	sink->send(sink, &peer->name, &message);
	return true;
}

/*
 * Cancels a forwarded request. On the second call, which means that the
 * cancellation got no response in time, concludes it as unknown.
 */
void gate_forward_cancel(struct gate *gate, struct request *request,
			 int64_t now_ms, struct gate_sink *sink)
{
	struct order_message message;

	if (request->cancel_sent) {
		gate_conclude(gate, request, ORDER_UNKNOWN,
			      ORDER_REASON_FORWARD_LOST, no_payload, now_ms,
			      sink);
		return;
	}
	request->cancel_sent = true;
	request->deadline_ms = now_ms + GATE_CANCEL_TIMEOUT_MS;
	gate_wake_at(gate, request->deadline_ms);
	claims_init_message(gate->claims, &message, ORDER_TRANSFER_CANCEL);
	message.request = request->id;
	message.peer_instance = request->forwarded_instance;
	sink->send(sink, &request->forwarded_to, &message);
}

static void send_transfer_response(struct gate *gate, const struct name *to,
				   uint64_t instance, uint64_t id,
				   enum order_outcome outcome,
				   enum order_reason reason, struct str payload,
				   struct gate_sink *sink)
{
	struct order_message message;

	claims_init_message(gate->claims, &message, ORDER_TRANSFER_RESPONSE);
	message.owner.instance = instance;
	message.request = id;
	message.outcome = outcome;
	message.reason = reason;
	message.payload = payload;
	sink->send(sink, to, &message);
}

void gate_transfer_respond(struct gate *gate, const struct request *request,
			   enum order_outcome outcome, enum order_reason reason,
			   struct str payload, struct gate_sink *sink)
{
	send_transfer_response(gate, &request->origin, request->origin_instance,
			       request->origin_request, outcome, reason,
			       payload, sink);
}

static void refuse_transfer(struct gate *gate,
			    const struct order_message *message,
			    struct gate_sink *sink)
{
	send_transfer_response(gate, &message->from, message->instance,
			       message->request, ORDER_NOT_RUN,
			       ORDER_REASON_QUEUE_FULL, no_payload, sink);
}

static void handle_transfer(struct gate *gate,
			    const struct order_message *message, int64_t now_ms,
			    struct gate_sink *sink)
{
	struct request *request;

	if (find_transfer(gate, message)) {
		counter_inc(gate->counters, COUNTER_ORDER_TRANSFER_DUPLICATE);
		return;
	}
	/*
	 * Meant for an earlier run of this agent, which may have received
	 * another copy of the message and accepted the request.
	 */
	if (message->peer_instance != gate->claims->options.instance)
		return;
	if (gate->draining || gate->queued >= gate->options.queue_max ||
	    message->time_left_ms <= 0) {
		add_transfer(gate, message, 0, now_ms);
		refuse_transfer(gate, message, sink);
		return;
	}
	request = gate_add_request(gate, gate->next_remote_id++, now_ms);
	add_transfer(gate, message, request->id, now_ms);
	request->remote = true;
	request->origin = message->from;
	request->origin_instance = message->instance;
	request->origin_request = message->request;
	request->idempotent = message->idempotent;
	request->deadline_ms = now_ms + message->time_left_ms;
	strbuf_add(&request->payload, message->payload.data,
		   message->payload.len);
	gate_wake_at(gate, request->deadline_ms);
	gate_enqueue(gate, request, false);
}

static void handle_transfer_cancel(struct gate *gate,
				   const struct order_message *message,
				   int64_t now_ms, struct gate_sink *sink)
{
	struct transfer *transfer = find_transfer(gate, message);

	/* An earlier run of this agent may have dispatched the request. */
	if (message->peer_instance != gate->claims->options.instance) {
		send_transfer_response(gate, &message->from, message->instance,
				       message->request, ORDER_UNKNOWN,
				       ORDER_REASON_FORWARD_LOST, no_payload,
				       sink);
		return;
	}
	if (!transfer)
		transfer = add_transfer(gate, message, 0, now_ms);
	if (!transfer->local_id)
		refuse_transfer(gate, message, sink);
	else
		gate_cancel(gate, transfer->local_id, now_ms, sink);
}

/* Queues a forwarded request again that the other gate did not run. */
static void handle_transfer_refusal(struct gate *gate, struct request *request,
				    int64_t now_ms, struct gate_sink *sink)
{
	request->state = ORDER_STATE_QUEUED;
	request->may_have_run = request->may_have_run_before;
	if (request->cancel_sent)
		gate_refuse(gate, request, ORDER_REASON_DEADLINE, now_ms, sink);
	else
		gate_enqueue(gate, request, true);
}

static void handle_transfer_response(struct gate *gate,
				     const struct order_message *message,
				     int64_t now_ms, struct gate_sink *sink)
{
	struct request *request = gate_find_request(gate, message->request);

	if (!request || request->state != ORDER_STATE_FORWARDED ||
	    message->owner.instance != gate->claims->options.instance ||
	    !name_equal(&message->from, &request->forwarded_to)) {
		counter_inc(gate->counters, COUNTER_ORDER_RESPONSE_UNMATCHED);
		return;
	}
	if (message->outcome == ORDER_DONE)
		gate_conclude(gate, request, ORDER_DONE, ORDER_REASON_NONE,
			      message->payload, now_ms, sink);
	else if (message->outcome == ORDER_NOT_RUN &&
		 message->instance == request->forwarded_instance)
		handle_transfer_refusal(gate, request, now_ms, sink);
	else
		gate_conclude(gate, request, ORDER_UNKNOWN,
			      message->reason < ORDER_REASON_COUNT
				      ? (enum order_reason)message->reason
				      : ORDER_REASON_FORWARD_LOST,
			      no_payload, now_ms, sink);
}

static void update_peer(struct gate *gate, const struct order_message *beacon,
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
	peer->free_slots = beacon->free_slots;
	peer->last_beacon_ms = now_ms;
}

void gate_transfer_handle(struct gate *gate,
			  const struct order_message *message, int64_t now_ms,
			  struct gate_sink *sink)
{
	switch (message->type) {
	case ORDER_TRANSFER:
		handle_transfer(gate, message, now_ms, sink);
		break;
	case ORDER_TRANSFER_RESPONSE:
		handle_transfer_response(gate, message, now_ms, sink);
		break;
	case ORDER_TRANSFER_CANCEL:
		handle_transfer_cancel(gate, message, now_ms, sink);
		break;
	case ORDER_BEACON:
		update_peer(gate, message, now_ms);
		break;
	default:
		break;
	}
}
