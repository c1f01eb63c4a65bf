#include <glib.h>

#include "context.h"

/* The failure detector's way out into the control core. */

static const struct member *accusable(const struct member *member)
{
	return member->state == MEMBER_SUSPECT ? member : NULL;
}

static struct control_context *context_of(struct detector_out *out)
{
	return ((struct detector_edge *)out)->context;
}

static void edge_ping(struct detector_out *out, const struct member *to,
		      uint32_t nonce)
{
	outbound_send_filled(context_of(out), &to->control, MESSAGE_PING, nonce,
			     accusable(to));
}

static void edge_ping_request(struct detector_out *out,
			      const struct member *helper,
			      const struct member *target, uint32_t nonce)
{
	struct control_context *context = context_of(out);
	struct message message;

	outbound_init(context, &message, MESSAGE_PING_REQUEST, false);
	message.nonce = nonce;
	message.target = *target;
	outbound_send(context, &helper->control, &message);
}

static void edge_relay_answer(struct detector_out *out,
			      const struct endpoint *to, bool alive,
			      uint32_t nonce)
{
	outbound_send_filled(context_of(out), to,
			     alive ? MESSAGE_ACK : MESSAGE_NACK, nonce, NULL);
}

static void edge_suspect(struct detector_out *out, const struct member *member)
{
	struct control_context *context = context_of(out);
	struct member entry = *member;

	entry.state = MEMBER_SUSPECT;
	counter_inc(context->control->counters, COUNTER_MEMBER_SUSPECTED);
	inbound_entry(context, &entry, true);
}

static void edge_dead(struct detector_out *out, const struct member *member)
{
	struct control_context *context = context_of(out);
	struct member entry = *member;

	entry.state = MEMBER_LEFT;
	counter_inc(context->control->counters, COUNTER_MEMBER_DECLARED_DEAD);
	inbound_entry(context, &entry, true);
}

static bool edge_in_scope(struct detector_out *out, const struct member *member)
{
	return outbound_in_region(context_of(out)->control, member);
}

void detector_edge_init(struct detector_edge *edge,
			struct control_context *context)
{
	static const struct detector_out out = {
		.ping = edge_ping,
		.ping_request = edge_ping_request,
		.relay_answer = edge_relay_answer,
		.suspect = edge_suspect,
		.dead = edge_dead,
		.in_scope = edge_in_scope,
	};

	edge->out = out;
	edge->context = context;
}
