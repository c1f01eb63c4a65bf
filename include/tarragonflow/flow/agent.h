#ifndef TARRAGONFLOW_FLOW_AGENT_H
#define TARRAGONFLOW_FLOW_AGENT_H

#include "tarragonflow/admit/admit.h"
#include "tarragonflow/admit/waiting_syns.h"
#include "tarragonflow/common/counter.h"
#include "tarragonflow/common/histogram.h"
#include "tarragonflow/flow/server_miss_cache.h"
#include "tarragonflow/flow/server_queries.h"
#include "tarragonflow/flow/flow_table.h"
#include "tarragonflow/flow/forwarded_syns.h"
#include "tarragonflow/flow/peer_load.h"
#include "tarragonflow/flow/server_watch.h"
#include "tarragonflow/net/packet_format.h"
#include "tarragonflow/net/packet_sink.h"
#include "tarragonflow/route/view.h"

/**
 * Time without any response until the server is checked, and between checks,
 * ms. A server with several slots responds to some request within this time.
 */
#define AGENT_SERVER_CHECK_MS 250

/** Entries of the table of received packets by sender, a power of two. */
#define AGENT_SENDERS 1024

/** Packets received directly from one process. */
struct sender_count {
	struct endpoint sender;
	uint32_t packets;
};

/**
 * The packet-handling core of the agent at one backend server. It delivers the
 * packets of the server's connections, admits SYNs or forwards them to other
 * agents, and forwards all other packets to the next candidate of their chain,
 * which continues the search for the owner: the server that has the connection.
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
	/** SYNs that wait until the server has a free slot. */
	struct waiting_syns waiting_syns;
	/** The server reports of the server, if it sends any. */
	struct server_watch server;
	/**
	 * When the first SYN or data was delivered to which the server may not
	 * have responded (no packet of the server has arrived since), ms;
	 * CLOCK_NEVER: none.
	 */
	int64_t awaiting_response_since_ms;
	/** When open connections that are still FLOW_UNCONFIRMED are closed,
	 * ms; CLOCK_NEVER: they are not. */
	int64_t unconfirmed_until_ms;
	/** Earliest time of the next check whether the server is up, ms. */
	int64_t next_server_check_ms;
	/** Until this time `flows` may lack connections of the server, ms. */
	int64_t table_incomplete_until_ms;
	/** Longest life of a connection, ms; see struct agent_identity. */
	int64_t flow_lifetime_ms;
	/** In state SERVER_GONE: the first refusal that showed the end, ms. */
	int64_t server_refused_ms;
	/** No connection is opened before this time, ms; INT64_MIN once the
	 * checkpoint is claimed. */
	int64_t open_not_before_ms;
	/** Not all connections of the predecessor fitted into `flows`. */
	bool import_incomplete;
	/** Time between two server reports, ms; 0: unknown. */
	int64_t report_interval_ms;
	/** agent_drain() was called. */
	bool drains;
	/** Send load reports to balancers, which choose servers by load. */
	bool reports_load_to_balancers;
	/** SYNs that this agent forwarded to other agents. */
	struct forwarded_syns forwarded_syns;
	/** Connections that the server is known not to have. */
	struct server_miss_cache server_miss_cache;
	/** Searches that wait for the server's response. */
	struct server_queries server_queries;
	/** Load and reachability of other agents. */
	struct peer_loads peers;
	/** When the last load report arrived of an agent that is not in the
	 * view, ms. */
	int64_t unlisted_agent_seen_ms;
	/** Packets received from each process, for load reports to it. */
	struct sender_count senders[AGENT_SENDERS];
	struct name zone;
	/** Identifiers of this agent and its service in packet headers. */
	uint32_t member_id;
	uint32_t service_id;
	/** packet_instance_check() of this agent process. */
	uint16_t instance_check;
	/** Whether the agent's zone is in service according to `view`. */
	bool zone_in_service;
	/** State of the operator's order on the agent's zone. */
	enum zone_order_state zone_order;
	/** Time without packets after which a connection is removed, ms. */
	int64_t idle_timeout_ms;
	/** How many chains may still be recomputed, and owner hints sent,
	 * until next_refill_ms. */
	uint32_t chain_resolves_left, hints_left;
	/** When chain_resolves_left and hints_left are next refilled, ms. */
	int64_t next_refill_ms;
	/** Times from a request to its response, and of SYNs from their first
	 * transmission to the end of their wait, ms. */
	struct histogram response_times_ms, syn_wait_times_ms;
	/** Time of the next load reports to the agents of all services, ms. */
	int64_t next_peer_heartbeat_ms;
	/** Earliest time of the next load report on a change of the load, ms,
	 * and index of the member that got the last one. */
	int64_t next_load_report_ms;
	size_t load_report_cursor;
	/** The load that was last reported, and when, ms. */
	uint16_t last_reported_load;
	int64_t last_load_report_ms;
};

/** Identity and settings of an agent. */
struct agent_identity {
	struct name name;
	struct name zone;
	struct name service;
	uint64_t instance;
	/** Connections that the server accepts when it is warm. */
	uint32_t connections;
	/** Requests that the server runs concurrently when it is warm. */
	uint32_t slots;
	/** Seed of the flow table's hash. */
	uint64_t seed;
	/** Format of callers' packets; NULL stands for packet_format_ip. */
	const struct packet_format *format;
	/** The server sends server reports, see struct server_watch. */
	bool server_reports;
	/** How long a server report is valid, ms. */
	int64_t report_lease_ms;
	/**
	 * Longest life of a connection, ms; 0 where connections do not
	 * outlive the agent process.
	 */
	int64_t flow_lifetime_ms;
	/** Time from the start for which no connection is opened, unless the
	 * checkpoint is claimed before, ms; see struct checkpoint. */
	int64_t open_delay_ms;
	/** Time between two server reports, ms; 0: unknown. */
	int64_t report_interval_ms;
	/** Balancers choose servers by load and get load reports. */
	bool reports_load_to_balancers;
	/** Setting `placement` = "work": the load is the work left, see
	 * admit.by_work, and SYNs wait and are refused by the work ahead of
	 * them, see waiting_syns.by_work. */
	bool place_by_work;
};

void agent_init(struct agent *agent, const struct agent_identity *identity,
		struct counters *counters, int64_t now_ms);
void agent_finish(struct agent *agent);

/** Uses @view from now on; it must stay valid until the next call. */
void agent_set_view(struct agent *agent, const struct view *view);

/** Stops accepting new connections, and checks whether the server is up. */
void agent_drain(struct agent *agent);

/** Processes a server report. */
void agent_handle_server_report(struct agent *agent,
				const struct server_report *report,
				int64_t now_ms, struct packet_sink *sink);

/**
 * Processes that the server refused a connection in a check that began at
 * @began_ms. Returns true when this shows that the server has ended; its state
 * is SERVER_GONE then, and its connections are closed.
 */
bool agent_handle_server_refusal(struct agent *agent, int64_t began_ms,
				 int64_t now_ms, struct packet_sink *sink);

/**
 * Whether to check now that the server is still up: its last server report has
 * expired or announced its end, it has not responded for too long, it refused
 * the last check, or the agent drains. Limited in rate.
 */
bool agent_server_check_due(struct agent *agent, int64_t now_ms);

/** Handles a datagram from a balancer or another agent. */
void agent_handle_peer(struct agent *agent, const uint8_t *data, size_t len,
		       int64_t now_ms, struct packet_sink *sink);

/** Handles a packet that the local backend server sent. */
void agent_handle_server(struct agent *agent, const uint8_t *data, size_t len,
			 int64_t now_ms, struct packet_sink *sink);

/**
 * Periodic work: updates admission limits, admits waiting SYNs, sends load
 * reports and removes idle connections from a bounded number of slots.
 */
void agent_tick(struct agent *agent, int64_t now_ms, struct packet_sink *sink);

/** When agent_tick() is to run next, ms. */
int64_t agent_next_deadline(const struct agent *agent);

/** Whether the agent may open connections at its server now. */
bool agent_accepts_new(const struct agent *agent, int64_t now_ms);

/** Number of connections open at the server. */
uint32_t agent_connection_count(const struct agent *agent);

#endif
