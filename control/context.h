#ifndef TARRAGONFLOW_CONTROL_CONTEXT_H
#define TARRAGONFLOW_CONTROL_CONTEXT_H

#include "tarragonflow/control/control.h"

/** What the parts of the control core need while one input is handled. */
struct control_context {
	struct control *control;
	struct control_sink *sink;
	int64_t now_ms;
};

/* outbound.c: what is sent */

/** A message of @kind with our own entry, brief unless @whole. */
void outbound_init(struct control_context *context, struct message *message,
		   enum message_kind kind, bool whole);

/** Adds what the gossip queue and the byte budget allow. */
void outbound_fill(struct control_context *context, struct message *message);

void outbound_add(struct message *message, const struct member *member,
		  bool brief);

/** Numbers and signs @message for @to; appends the datagram to @wire. */
void outbound_seal(struct control_context *context, const struct endpoint *to,
		   struct message *message, struct strbuf *wire);

/** Asks @to for its configuration over TCP. */
void outbound_pull_tcp(struct control_context *context,
		       const struct endpoint *to);

/** Seals and sends @message; charges the byte budget. */
void outbound_send(struct control_context *context, const struct endpoint *to,
		   struct message *message);

/** Sends a message of @kind with whatever else is to be told. */
void outbound_send_filled(struct control_context *context,
			  const struct endpoint *to, enum message_kind kind,
			  uint32_t nonce, const struct member *first);

/** Gossips to @fanout random peers, when there is something to tell. */
void outbound_gossip(struct control_context *context, int fanout);

/** Sends the sums of the whole roster to @to. */
void outbound_digest(struct control_context *context,
		     const struct endpoint *to);

/** Answers the sums of a peer with what differs. */
void outbound_compare(struct control_context *context,
		      const struct endpoint *to,
		      const struct roster_digest *theirs);

/** Answers an EXCHANGE with the entries that its sender lacks. */
void outbound_missing(struct control_context *context,
		      const struct message *exchange);

/** Asks @to for its whole entry and its configuration. */
void outbound_pull(struct control_context *context, const struct endpoint *to,
		   uint32_t nonce);

/** Queues our configuration for @to. */
void outbound_want_config(struct control_context *context,
			  const struct endpoint *to);

/** @to has our configuration meanwhile. */
void outbound_forget_config(struct control_context *context,
			    const struct endpoint *to);

/** Sends the configuration to those that wait, as the budget allows. */
void outbound_configs(struct control_context *context);

/** A random living peer in our region; sometimes one of another. */
const struct member *outbound_pick(struct control_context *context);

/** Whether @member is in our region. */
bool outbound_in_region(const struct control *control,
			const struct member *member);

/* inbound.c: what comes in */

/** Merges @entry; @tell queues news for gossip. */
void inbound_entry(struct control_context *context, const struct member *entry,
		   bool tell);

/** Puts a configuration in force when it is newer. */
void inbound_config(struct control_context *context, struct str text,
		    enum config_source source);

/** Merges orders on zones; a change is told to the others. */
void inbound_orders(struct control_context *context,
		    const struct zone_orders *orders);

/** Another configuration is in force: tells the others. */
void inbound_config_changed(struct control_context *context);

/** Applies a zone report that is news here. */
void inbound_apply_zone(struct control_context *context,
			const struct zone_report *report);

/** Takes a decoded message. */
void inbound_message(struct control_context *context,
		     const struct message *message);

/* control.c: the failure detector's way out */

struct detector_edge {
	struct detector_out out;
	struct control_context *context;
};

void detector_edge_init(struct detector_edge *edge,
			struct control_context *context);

/** A new configuration is in force: begins to tell the others. */
void control_push_begin(struct control_context *context);

/** Our own entry changed: merges it and queues it as @class. */
void control_own_changed(struct control_context *context,
			 enum gossip_class class);

#endif
