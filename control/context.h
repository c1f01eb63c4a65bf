#ifndef TARRAGONFLOW_CONTROL_CONTEXT_H
#define TARRAGONFLOW_CONTROL_CONTEXT_H

#include "tarragonflow/control/control.h"

/** Time for anti-entropy to compare the roster with several peers after the
 * start, ms. */
#define CONTROL_ROSTER_COMPLETE_AFTER_MS 5000

/** State of the control core while it handles one input. */
struct control_context {
	struct control *control;
	struct control_sink *sink;
	int64_t now_ms;
};

/* outbound.c: sending messages */

/** Starts a message with the local entry, brief unless @full_entry. */
void outbound_init_message(struct control_context *context,
			   struct message *message, enum message_kind kind,
			   bool full_entry);

/** Piggybacks queued gossip as far as the byte budget allows. */
void outbound_add_gossip(struct control_context *context,
			 struct message *message);

void outbound_add_entry(struct message *message, const struct member *member,
			bool brief);

/** Numbers and signs @message for @to; appends the datagram to @wire. */
void outbound_seal(struct control_context *context, const struct endpoint *to,
		   struct message *message, struct strbuf *wire);

/** Requests the configuration of @to over TCP. */
void outbound_pull_config(struct control_context *context,
			  const struct endpoint *to);

/** Seals and sends @message; charges the byte budget. */
void outbound_send(struct control_context *context, const struct endpoint *to,
		   struct message *message);

/** Sends a message with @first_entry (may be NULL) and piggybacked gossip. */
void outbound_send_with_gossip(struct control_context *context,
			       const struct endpoint *to,
			       enum message_kind kind, uint32_t nonce,
			       const struct member *first_entry);

/** Sends queued gossip, if any, to @fanout random peers. */
void outbound_gossip(struct control_context *context, int fanout);

/** Sends the digest of the whole roster to @to. */
void outbound_send_digest(struct control_context *context,
			  const struct endpoint *to);

/** Responds to a peer's digest with the parts that differ. */
void outbound_respond_to_digest(struct control_context *context,
				const struct endpoint *to,
				const struct roster_digest *remote);

/** Responds to an EXCHANGE with entries that are newer here. */
void outbound_respond_to_exchange(struct control_context *context,
				  const struct message *exchange);

/**
 * Requests the full entry of @to, and its configuration when newer. A @nonce
 * other than 0 identifies a resync request.
 */
void outbound_request_entry(struct control_context *context,
			    const struct endpoint *to, uint32_t nonce);

/** Queues the local configuration for @to. */
void outbound_queue_config(struct control_context *context,
			   const struct endpoint *to);

/** Removes @to, which has the configuration, from the queue. */
void outbound_unqueue_config(struct control_context *context,
			     const struct endpoint *to);

/** Sends queued configurations as far as the byte budget allows. */
void outbound_send_configs(struct control_context *context);

/** A random live peer, mostly of the local region; NULL if none is found. */
const struct member *outbound_pick_peer(struct control_context *context);

/** Whether @member is in the local region. */
bool outbound_is_same_region(const struct control *control,
			     const struct member *member);

/* inbound.c: handling what is received */

/** Merges @entry into the roster; @gossip queues a change for gossip. */
void inbound_merge_entry(struct control_context *context,
			 const struct member *entry, bool gossip);

/** Applies the configuration @text when it is newer. */
void inbound_offer_config(struct control_context *context, struct str text,
			  enum config_source source);

/** Merges zone orders; gossips them on a change. */
void inbound_merge_zone_orders(struct control_context *context,
			       const struct zone_orders *orders);

/** Announces the new configuration in force to peers. */
void inbound_config_applied(struct control_context *context);

/** Queues a new zone report and marks the zone's members suspect. */
void inbound_apply_zone_report(struct control_context *context,
			       const struct zone_report *report);

/** Handles a decoded message. */
void inbound_handle_message(struct control_context *context,
			    const struct message *message);

/* detector_adapter.c: the callbacks of the failure detector */

struct detector_adapter {
	struct detector_callbacks callbacks;
	struct control_context *context;
};

void detector_adapter_init(struct detector_adapter *adapter,
			   struct control_context *context);

/* control.c */

/** Starts to push a new configuration to peers. */
void control_start_push(struct control_context *context);

/** Merges the changed local entry and queues it for gossip. */
void control_announce_self(struct control_context *context,
			   enum gossip_priority priority);

#endif
