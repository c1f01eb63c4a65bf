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

/** Entries of the table of received packets by sender, a power of two. */
#define AGENT_SENDERS 1024

/** Packets received directly from one process. */
struct sender_count {
	struct endpoint sender;
	uint32_t packets;
};

/**
 * The packet-handling core of the agent at one backend server. It delivers the
 * packets of the server's connections, admits opening packets (SYNs) or
 * forwards them to other agents, and forwards all other packets to the next
 * candidate of their chain, which searches for the owner: the server that has
 * the connection.
 */
struct agent {
	/** NULL until the first configuration has arrived. */
	const struct view *view;
	/** The server's service, NULL when it is not in the view. */
	const struct service_view *service;
	struct counters *counters;
	/** Packet format of callers and the server. */
	const struct packet_format *format;
	struct flow_table flows;
	struct admit admit;
	/** SYNs queued until the server has a free slot. */
	struct waiting_room waiting;
	/** Reports of the server on its state, where servers send them. */
	struct server_watch server;
	/**
	 * When the first SYN or data since the server's last packet was
	 * delivered, ms; CLOCK_NEVER: none.
	 */
	int64_t unanswered_since_ms;
	/** Earliest time of the next check of the server, ms. */
	int64_t next_server_check_ms;
	/** Until then `flows` may lack connections of the server, ms. */
	int64_t table_incomplete_until_ms;
	/** Send load notices to balancers, which choose servers by load. */
	bool notifies_balancers;
	/** SYNs that were forwarded to other agents. */
	struct forwarded_syns forwarded_syns;
	/** Connections that the server does not have. */
	struct absent_flows absent_flows;
	/** Load and reachability of other agents. */
	struct peer_loads peers;
	/** Packets received from each process, reported in notices to it. */
	struct sender_count senders[AGENT_SENDERS];
	struct name zone;
	uint32_t member_id;
	uint32_t service_id;
	uint16_t instance_check;
	/** Whether the agent's zone is in service by the view. */
	bool zone_in_service;
	/** State of an order that takes the agent's zone out of service. */
	enum zone_order_state zone_order;
	/** Time without packets after which a connection is removed, ms. */
	int64_t idle_timeout_ms;
	/** Chains to resolve and owner hints to send until next_refill_ms. */
	uint32_t searches_left, hints_left;
	/** When the two rate limits are reset, ms. */
	int64_t next_refill_ms;
	/** Times from a request to its answer, and of SYNs in the queue, ms. */
	struct histogram answers, waits;
	/** Time of the next notice to the agents of all services, ms. */
	int64_t next_keepalive_ms;
	/** Load notices: earliest next time, ms, and index of the last peer. */
	int64_t next_notice_ms;
	size_t notice_cursor;
	/** Load in the last notice, and when it was sent, ms. */
	uint16_t last_notice_load;
	int64_t last_notice_ms;
};

/** Identity and settings of an agent. */
struct agent_identity {
	struct name name;
	struct name zone;
	struct name service;
	uint64_t instance;
	/** Connection limit of the warm server. */
	uint32_t connections;
	/** Requests that the warm server can run at once. */
	uint32_t slots;
	/** Seed of the flow table's hash. */
	uint64_t seed;
	/** Packet format; NULL stands for packet_format_ip. */
	const struct packet_format *format;
	/** The server reports its state, see struct server_watch. */
	bool server_reports;
	/** How long a report of the server is valid, ms. */
	int64_t report_lease_ms;
	/**
	 * Longest life of a connection, ms; 0 where connections do not
	 * outlive the agent process.
	 */
	int64_t flow_lifetime_ms;
	/** Balancers choose servers by load and get load notices. */
	bool notifies_balancers;
};

void agent_init(struct agent *agent, const struct agent_identity *identity,
		struct counters *counters, int64_t now_ms);
void agent_finish(struct agent *agent);

/** Uses @view from now on; it must outlive its use here. */
void agent_set_view(struct agent *agent, const struct view *view);

/** Stops accepting new connections. */
void agent_drain(struct agent *agent);

/** Processes a report of the server on its state. */
void agent_handle_report(struct agent *agent,
			 const struct server_report *report, int64_t now_ms,
			 struct packet_sink *sink);

/**
 * Whether to check now that the server is still up: its report has expired, or
 * packets to it have been unanswered for too long. Limited in rate.
 */
bool agent_server_check_due(struct agent *agent, int64_t now_ms);

/** Handles a datagram from a balancer or another agent. */
void agent_handle_peer(struct agent *agent, const uint8_t *data, size_t len,
		       int64_t now_ms, struct packet_sink *sink);

/** Handles a packet that the local backend server sent. */
void agent_handle_server(struct agent *agent, const uint8_t *data, size_t len,
			 int64_t now_ms, struct packet_sink *sink);

/**
 * Periodic work: updates admission limits, admits queued SYNs, sends load
 * notices and removes idle connections from a bounded number of slots.
 */
void agent_tick(struct agent *agent, int64_t now_ms, struct packet_sink *sink);

/** When agent_tick() is to run next, ms. */
int64_t agent_next_deadline(const struct agent *agent);

/** Number of connections open at the server. */
uint32_t agent_connection_count(const struct agent *agent);

#endif
