#ifndef TARRAGONFLOW_NODE_PACKET_DUTY_H
#define TARRAGONFLOW_NODE_PACKET_DUTY_H

#include "tarragonflow/common/log.h"
#include "tarragonflow/flow/agent.h"
#include "tarragonflow/net/pacer.h"
#include "tarragonflow/net/packet_auth.h"
#include "tarragonflow/net/packet_edge.h"
#include "tarragonflow/node/node.h"
#include "tarragonflow/route/balancer.h"

/**
 * The packet thread of a balancer or agent: receives packets, runs them through
 * the packet core (struct balancer or struct agent) and sends the results.
 */
struct packet_duty {
	struct packet_sink sink;
	struct node *node;
	pthread_t thread;
	struct view *view;
	/** Last run of the thread, and its last return from a pause, ms. */
	int64_t last_run_ms, last_resume_ms;
	/** UDP socket for packets between balancers and agents. */
	int data_fd;
	/**
	 * Balancers: TUN interface or separate UDP socket for callers' packets
	 * from the fabric; fd is -1 when `data_fd` receives them. Agents: TUN
	 * interface towards the fabric, or fd -1.
	 */
	struct packet_edge fabric;
	/** Agents only: interface to the backend server. */
	struct packet_edge server;
	/** Keys in use, and replacements from other threads. */
	struct keyring keyring;
	struct ring new_keyrings;
	struct packet_auth auth;
	/** Limits the rate of packets to balancers and agents. */
	struct pacer pacer;
	/** Buffer for one outgoing packet. */
	uint8_t *out_buf;
	/** Maximum TCP segment size between balancers and agents, bytes. */
	uint16_t mss_v4, mss_v6;
	/** Used by agents. */
	struct agent agent;
	/** Used by balancers. */
	struct balancer balancer;
	/** Balancers: next check whether most agents are unreachable, ms. */
	int64_t next_isolation_check_ms;
	/** Limits of log lines about connections, by enum decision_kind. */
	struct log_rate_limit log_budgets[DECISION_COUNT];
	/** Setting `log_connections`; changed by a reload. */
	_Atomic bool log_connections;
	/** Set to make the agent refuse new connections. */
	_Atomic bool drain;
};

/**
 * Opens the sockets and starts the thread. An agent first imports @flows, the
 * serialized connections of the old agent process, unless it is empty.
 */
enum status_code packet_duty_start(struct packet_duty *duty, struct node *node,
				   struct str flows, struct status *status);

/**
 * Ends the thread but keeps its state, so that connections can be exported.
 * Sets node->stop, which ends the other threads of the process, too.
 */
void packet_duty_stop(struct packet_duty *duty);

/** Replaces the keys of the running thread by a copy of @keyring. */
void packet_duty_set_keys(struct packet_duty *duty,
			  const struct keyring *keyring);

/** Ends the thread and frees its state; call before node_finish(). */
void packet_duty_finish(struct packet_duty *duty);

#endif
