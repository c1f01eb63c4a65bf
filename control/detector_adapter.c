#include <glib.h>

#include "context.h"

/* Callbacks by which the failure detector acts on the control core. */

/* @member if it is suspect: its entry is sent to it so that it can refute the
 * suspicion. Otherwise NULL. */
static const struct member *entry_if_suspect(const struct member *member)
{
	return member->state == MEMBER_SUSPECT ? member : NULL;
}

static struct control_context *context_of(struct detector_callbacks *callbacks)
{
	return ((struct detector_adapter *)callbacks)->context;
}

static void send_ping(struct detector_callbacks *callbacks,
		      const struct member *to, uint32_t nonce)
{
	outbound_send_with_gossip(context_of(callbacks), &to->control,
				  MESSAGE_PING, nonce, entry_if_suspect(to));
}

static void send_ping_request(struct detector_callbacks *callbacks,
			      const struct member *helper,
			      const struct member *target, uint32_t nonce)
{
	struct control_context *context = context_of(callbacks);
	struct message message;

	outbound_init_message(context, &message, MESSAGE_PING_REQUEST, false);
	message.nonce = nonce;
	message.target = *target;
	outbound_send(context, &helper->control, &message);
}

static void send_indirect_result(struct detector_callbacks *callbacks,
				 const struct endpoint *to, bool alive,
				 uint32_t nonce)
{
	outbound_send_with_gossip(context_of(callbacks), to,
				  alive ? MESSAGE_ACK : MESSAGE_NACK, nonce,
				  NULL);
}

static void report_suspect(struct detector_callbacks *callbacks,
			   const struct member *member)
{
	struct control_context *context = context_of(callbacks);
	struct member entry = *member;

	entry.state = MEMBER_SUSPECT;
	counter_inc(context->control->counters, COUNTER_MEMBER_SUSPECTED);
	inbound_merge_entry(context, &entry, true);
}

static void report_dead(struct detector_callbacks *callbacks,
			const struct member *member)
{
	struct control_context *context = context_of(callbacks);
	struct member entry = *member;

	entry.state = MEMBER_LEFT;
	counter_inc(context->control->counters, COUNTER_MEMBER_DECLARED_DEAD);
	inbound_merge_entry(context, &entry, true);
}

static bool is_in_scope(struct detector_callbacks *callbacks,
			const struct member *member)
{
	return outbound_is_same_region(context_of(callbacks)->control, member);
}

void detector_adapter_init(struct detector_adapter *adapter,
			   struct control_context *context)
{
	static const struct detector_callbacks callbacks = {
		.send_ping = send_ping,
		.send_ping_request = send_ping_request,
		.send_indirect_result = send_indirect_result,
		.report_suspect = report_suspect,
		.report_dead = report_dead,
		.is_in_scope = is_in_scope,
	};

	adapter->callbacks = callbacks;
	adapter->context = context;
}
