#ifndef TARRAGONFLOW_FLOW_AGENT_H
#define TARRAGONFLOW_FLOW_AGENT_H

#include "tarragonflow/admit/admit.h"
#include "tarragonflow/admit/waiting_room.h"
#include "tarragonflow/common/counter.h"
#include "tarragonflow/common/histogram.h"
#include "tarragonflow/flow/absent_memory.h"
#include "tarragonflow/flow/flow_table.h"
#include "tarragonflow/flow/open_memory.h"
#include "tarragonflow/flow/peer_load.h"
#include "tarragonflow/flow/server_watch.h"
#include "tarragonflow/net/packet_format.h"
#include "tarragonflow/net/packet_sink.h"
#include "tarragonflow/route/view.h"

/** Processes whose packets an agent counts, a power of two. */
#define AGENT_SENDERS 1024

/** Packets that came straight from one process. */
struct sender_count {
	struct endpoint sender;
	uint32_t packets;
};

/**
 * The agent's packet core: the authority on one backend server. It delivers
 * the packets of connections that live here, admits or hands on opening
 * packets, and passes everything else to the next candidate of its chain.
 */
struct agent {
	/** NULL until there is a configuration. */
	const struct view *view;
	/** Our service in the view, NULL when the view has none. */
	const struct service_view *service;
	struct counters *counters;
	/** How the packets of callers and the server look. */
	const struct packet_format *format;
	struct flow_table flows;
	struct admit admit;
	/** Opening packets that wait for a free slot of the server. */
	struct waiting_room waiting;
	/** The server's own word on itself, where servers report. */
	struct server_watch server;
	/** Since when the server owes a packet, ms; CLOCK_NEVER: it does not.
	 */
	int64_t owed_since_ms;
	/** No doubt about the server is raised before this time, ms. */
	int64_t next_doubt_ms;
	/** Until then connections may live here that are not in `flows`, ms. */
	int64_t unsure_until_ms;
	/** Balancers choose by load, so they are told ours. */
	bool tells_balancers;
	struct open_memory handed_on;
	/** Connections that the server was asked about and does not have. */
	struct absent_memory absent;
	struct peer_loads peers;
	/** What to tell each process about its packets. */
	struct sender_count senders[AGENT_SENDERS];
	struct name zone;
	uint32_t member_id;
	uint32_t service_id;
	uint16_t instance_check;
	/** Whether the view has our zone in service. */
	bool zone_in;
	/** An order has taken our zone out, or is about to. */
	enum zone_order_state zone_order;
	/** Time until a silent connection is forgotten, ms. */
	int64_t idle_timeout_ms;
	/** Searches and hints that may still be sent in this second. */
	uint32_t searches_left, hints_left;
	int64_t next_refill_ms;
	/** Times from a caller's request to the answer, and of waits. */
	struct histogram answers, waits;
	/** Next notice to all other agents, ms. */
	int64_t next_alive_ms;
	/** Load notices: when, to whom next, and what was told last. */
	int64_t next_notice_ms;
	size_t notice_cursor;
	uint16_t told_load;
	int64_t told_ms;
};

/** What an agent is, from its settings. */
struct agent_identity {
	struct name name;
	struct name zone;
	struct name service;
	uint64_t instance;
	/** Connections of the warm server. */
	uint32_t connections;
	/** Requests that the warm server runs at once. */
	uint32_t slots;
	/** Seed of the flow table's hash. */
	uint64_t seed;
	/** NULL: packet_format_ip. */
	const struct packet_format *format;
	/** The server reports on itself, see server_watch. */
	bool server_reports;
	/** Time for which a report holds, ms. */
	int64_t report_lease_ms;
	/** Longest life of a connection, ms; 0 where none outlives its agent.
	 */
	int64_t flow_lifetime_ms;
	/** Balancers choose backend servers by load. */
	bool tells_balancers;
};

void agent_init(struct agent *agent, const struct agent_identity *identity,
		struct counters *counters, int64_t now_ms);
void agent_finish(struct agent *agent);

/** Puts @view in force; the caller keeps it alive. */
void agent_set_view(struct agent *agent, const struct view *view);

/** Takes no new connections from now on. */
void agent_drain(struct agent *agent);

/** Takes the server's own word on itself. */
void agent_take_report(struct agent *agent, const struct server_report *report,
		       int64_t now_ms, struct packet_sink *sink);

/**
 * Whether the server should be checked: it has been silent for too long while
 * it owes packets. True at most once in a while.
 */
bool agent_doubts_server(struct agent *agent, int64_t now_ms);

/** Handles a datagram from a balancer or another agent. */
void agent_handle_peer(struct agent *agent, const uint8_t *data, size_t len,
		       int64_t now_ms, struct packet_sink *sink);

/** Handles a packet that the local backend server sent. */
void agent_handle_server(struct agent *agent, const uint8_t *data, size_t len,
			 int64_t now_ms, struct packet_sink *sink);

/**
 * Moves limits, tells the other agents of the service our load, and forgets
 * a bounded number of idle connections.
 */
void agent_tick(struct agent *agent, int64_t now_ms, struct packet_sink *sink);

/** When agent_tick() wants to run next, ms. */
int64_t agent_next_deadline(const struct agent *agent);

/** Connections that are open here. */
uint32_t agent_open(const struct agent *agent);

#endif
