#ifndef TARRAGONFLOW_FLOW_AGENT_FLOW_H
#define TARRAGONFLOW_FLOW_AGENT_FLOW_H

#include "tarragonflow/flow/agent.h"

/**
 * Internal to the agent: operations on one connection of the flow table, shared
 * by the handlers of both directions.
 */

/** Increments the agent's counter @id. */
void agent_count(struct agent *agent, enum counter_id id);

/** Marks the connection as ended; its entry stays for late packets. */
void agent_flow_close(struct agent *agent, struct flow *flow);

/** Removes the connection; admission no longer counts it if still open. */
void agent_flow_remove(struct agent *agent, struct flow *flow);

/** Updates the state by FIN and RST; @fin_bit is the sender's FIN bit. */
void agent_flow_track(struct agent *agent, struct flow *flow, uint8_t flags,
		      uint8_t fin_bit, int64_t now_ms);

/** Sets whether a request of the caller is unanswered. */
void agent_flow_set_awaiting(struct agent *agent, struct flow *flow,
			     bool awaiting, int64_t now_ms);

/** Reports a decision on the connection of @packet to @sink. */
void agent_report_decision(const struct agent *agent, enum decision_kind kind,
			   const struct inner_packet *packet,
			   uint32_t member_id, const char *reason,
			   struct packet_sink *sink);

/** Sends a RST to the caller of @packet. */
void agent_reset_caller(struct agent *agent, const struct inner_packet *packet,
			struct packet_sink *sink);

/** Time since the connection's last packet, ms. */
uint32_t agent_flow_age(const struct flow *flow, int64_t now_ms);

/** The sequence number after @packet. */
uint32_t agent_seq_after(const struct inner_packet *packet);

/** Whether sequence number @a is within SEQ_WINDOW of @b. */
bool agent_seq_in_window(uint32_t a, uint32_t b);

/** Advances @next to @seq if that is later. */
void agent_seq_advance(uint32_t *next, uint32_t seq);

#endif
