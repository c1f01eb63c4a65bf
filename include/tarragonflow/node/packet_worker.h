#ifndef TARRAGONFLOW_NODE_PACKET_WORKER_H
#define TARRAGONFLOW_NODE_PACKET_WORKER_H

#include "tarragonflow/common/log.h"
#include "tarragonflow/flow/agent.h"
#include "tarragonflow/net/pacer.h"
#include "tarragonflow/net/packet_auth.h"
#include "tarragonflow/net/packet_interface.h"
#include "tarragonflow/node/node.h"
#include "tarragonflow/route/balancer.h"

/**
 * The packet thread of a balancer or agent: receives packets, runs them through
 * the packet core (struct balancer or struct agent) and sends the results.
 */
struct packet_worker {
	struct packet_sink sink;
	struct node *node;
	pthread_t thread;
	/** The thread was started and has not been joined. */
	bool running;
	struct view *view;
	/** When the thread last ran, and when it last resumed after a pause. */
	int64_t last_run_ms, last_resume_ms;
	/** UDP socket for packets between balancers and agents. */
	int data_fd;
	/**
	 * Balancers: TUN interface or separate UDP socket for callers' packets
	 * from the fabric; fd is -1 when `data_fd` receives them. Agents: TUN
	 * interface towards the fabric, or fd -1.
	 */
	struct packet_interface fabric;
	/** Agents only: interface to the backend server. */
	struct packet_interface server;
	/** Keys in use, and new key rings to replace them by. */
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
	/** Balancers: when to check next if most agents are unreachable, ms. */
	int64_t next_isolation_check_ms;
	/** Limits of log lines about connections; index: decision_kind. */
	struct log_rate_limit log_limits[DECISION_COUNT];
	/** Setting `log_connections`; changed by a reload. */
	_Atomic bool log_connections;
	/** Set to make the agent refuse new connections. */
	_Atomic bool drain;
	/** Agents: connections of the predecessor were imported. */
	bool imported;
};

/**
 * Opens the sockets and starts the thread. An agent first imports @flows, the
 * serialized connections of its predecessor; empty without a predecessor.
 */
enum status_code packet_worker_start(struct packet_worker *worker,
				     struct node *node, struct str flows,
				     struct status *status);

/**
 * Ends the thread but keeps its state, so that connections can be exported.
 * Sets node->stop, which ends the other threads of the process, too.
 */
void packet_worker_stop(struct packet_worker *worker);

/** Replaces the keys of the running thread by a copy of @keyring. */
void packet_worker_set_keys(struct packet_worker *worker,
			    const struct keyring *keyring);

/** Ends the thread and frees its state; call before node_finish(). */
void packet_worker_finish(struct packet_worker *worker);

#endif
