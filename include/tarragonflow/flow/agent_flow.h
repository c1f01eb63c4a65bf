#ifndef TARRAGONFLOW_FLOW_AGENT_FLOW_H
#define TARRAGONFLOW_FLOW_AGENT_FLOW_H

#include "tarragonflow/flow/agent.h"

/**
 * What both directions of an agent do with one connection of its table: the
 * agent's own files use this, nobody else.
 */

void agent_count(struct agent *agent, enum counter_id id);

/** The connection ended; its entry stays for late packets. */
void agent_flow_close(struct agent *agent, struct flow *flow);

/** Takes the entry out of the table, and out of admission if still open. */
void agent_flow_forget(struct agent *agent, struct flow *flow);

/** Follows FIN and RST; @fin_bit says who sent the packet. */
void agent_flow_track(struct agent *agent, struct flow *flow, uint8_t flags,
		      uint8_t fin_bit, int64_t now_ms);

/** The caller's request waits for an answer, or no longer does. */
void agent_flow_ask(struct agent *agent, struct flow *flow, bool asked,
		    int64_t now_ms);

/** Tells what was decided about the connection of @packet. */
void agent_decided(const struct agent *agent, enum decision_kind kind,
		   const struct inner_packet *packet, uint32_t member_id,
		   const char *reason, struct packet_sink *sink);

/** Tells the caller of @packet that its connection is gone. */
void agent_reset_caller(struct agent *agent, const struct inner_packet *packet,
			struct packet_sink *sink);

/** Time since the connection's last packet, ms. */
uint32_t agent_flow_age(const struct flow *flow, int64_t now_ms);

/** The sequence number that follows @packet. */
uint32_t agent_seq_after(const struct inner_packet *packet);

/** True when @a may belong to the connection that is at @b. */
bool agent_seq_near(uint32_t a, uint32_t b);

/** Moves @next on to @seq, never back. */
void agent_seq_advance(uint32_t *next, uint32_t seq);

#endif
