#ifndef TARRAGONFLOW_FLOW_AGENT_FLOW_H
#define TARRAGONFLOW_FLOW_AGENT_FLOW_H

#include "tarragonflow/flow/agent.h"

/**
 * Internal to the agent: operations on one connection of the flow table, shared
 * by the handlers of both directions.
 */

/** Increments the agent's counter @id. */
void agent_count(struct agent *agent, enum counter_id id);

/** Sets the connection to FLOW_CLOSING. Admission no longer counts it. */
void agent_flow_close(struct agent *agent, struct flow *flow);

/** Removes the connection from the flow table. An open one is no longer counted
 * by admission. */
void agent_flow_remove(struct agent *agent, struct flow *flow);

/**
 * Records the time of a packet and closes the connection on a RST or the second
 * FIN. @fin_bit is the enum flow_state_bit for a FIN of the packet's sender.
 */
void agent_flow_track(struct agent *agent, struct flow *flow, uint8_t flags,
		      uint8_t fin_bit, int64_t now_ms);

/** Index in the cost model of the kind of request that connections with @key
 * carry: their route. */
uint8_t agent_kind_of(struct agent *agent, const struct flow_key *key);

/** Counts a connection that was added to the flow table with @key. */
void agent_flow_count_open(struct agent *agent, struct flow *flow,
			   const struct flow_key *key, int64_t now_ms);

/** Records that a request of the caller arrived. */
void agent_flow_start_request(struct agent *agent, struct flow *flow,
			      int64_t now_ms);

/** Records that the server responded to the request, if there is one, or that
 * it will not (@responded false). */
void agent_flow_end_request(struct agent *agent, struct flow *flow,
			    bool responded, int64_t now_ms);

/** Passes a decision on the connection of @packet to @sink, for the log. */
void agent_record_decision(const struct agent *agent, enum decision_kind kind,
			   const struct inner_packet *packet,
			   uint32_t member_id, const char *reason,
			   struct packet_sink *sink);

/** Sends a RST to the caller of @packet. */
void agent_reset_caller(struct agent *agent, const struct inner_packet *packet,
			struct packet_sink *sink);

/** Time since the connection's last packet, ms. */
uint32_t agent_flow_age(const struct flow *flow, int64_t now_ms);

/** The sender's next sequence number after @packet. */
uint32_t agent_seq_after(const struct inner_packet *packet);

/**
 * Whether @a and @b are so close that they may be sequence numbers of the same
 * connection.
 */
bool agent_seq_in_window(const struct agent *agent, uint32_t a, uint32_t b);

/**
 * Whether the sequence numbers of @packet, which is no SYN, show that it
 * belongs to @flow, an open or closed connection, and not to another one from
 * the same address and port.
 */
bool agent_flow_has_packet(const struct agent *agent, const struct flow *flow,
			   const struct inner_packet *packet);

/** Sets @next to @seq if @seq is later. */
void agent_seq_advance(uint32_t *next, uint32_t seq);

#endif
