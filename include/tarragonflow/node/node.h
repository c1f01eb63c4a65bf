#ifndef TARRAGONFLOW_NODE_NODE_H
#define TARRAGONFLOW_NODE_NODE_H

#include <pthread.h>
#include <stdatomic.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/counter.h"
#include "tarragonflow/common/histogram.h"
#include "tarragonflow/common/ring.h"
#include "tarragonflow/control/control.h"
#include "tarragonflow/flow/server_watch.h"
#include "tarragonflow/node/adapter.h"
#include "tarragonflow/node/store_duty.h"
#include "tarragonflow/node/pull_duty.h"
#include "tarragonflow/node/server_check.h"
#include "tarragonflow/node/settings.h"
#include "tarragonflow/route/view.h"

/**
 * What both long-running roles share: a control duty, two platform duties
 * and a pull duty, all threads, joined by bounded rings. The packet duty of the
 * role takes new views from the `views` ring.
 */
struct node {
	const struct settings *settings;
	struct clock clock;
	struct counters counters;
	/** Guards control; the admin API reads under it. */
	pthread_mutex_t lock;
	struct control control;
	int control_fd;
	/** Calls of the object store, one thread for each lane. */
	struct store_duty store[STORE_QUEUES];
	struct pull_duty pulls;
	/** Views to the packet duty, replaced ones back to be freed. */
	struct ring views;
	struct ring retired_views;
	int wake_control;
	int wake_packet;
	/** Set when configuration or roster changed since the last view. */
	bool view_dirty;
	/** Next time a view may be computed, ms. */
	int64_t next_view_ms;
	/** State that the control duty is to announce. */
	_Atomic int wanted_state;
	_Atomic bool stop;
	/** When configuration and roster were known to be fresh last, ms. */
	_Atomic int64_t fresh_ms;
	/** Connections that are open here, for the admin API. */
	_Atomic uint32_t open_connections;
	/** Connections that admission allows now; agents only. */
	_Atomic uint32_t connection_limit;
	pthread_t control_thread;
	uint64_t instance;
	const struct adapter *adapter;
	/** Reports of the backend server, to the packet duty. */
	struct ring reports;
	/** What is known from them, under `lock`. */
	struct server_watch server;
	/** Agents whose servers report only. */
	struct server_check check;
	/** Of the packet core, for the metrics; NULL where there is none. */
	const struct histogram *answers, *waits;
	/** Balancers: most agents can't be reached. */
	_Atomic bool cut_off;
	/** Set when the process itself is to end. */
	_Atomic bool leaving;
};

/** Opens the control socket; the duties start with node_start(). */
enum status_code node_init(struct node *node, const struct settings *settings,
			   const struct adapter *adapter,
			   struct status *status);
enum status_code node_start(struct node *node, struct status *status);

/** Ends the duties and frees everything. */
void node_finish(struct node *node);

/** Announces @state through the control duty. */
void node_set_state(struct node *node, enum member_state state);

/** Announces that the process leaves; reports no longer change its state. */
void node_leave(struct node *node, enum member_state state);

/**
 * Takes the local backend server's word on itself; false when this process
 * has no backend server or is too busy to take it. From any thread.
 */
bool node_take_report(struct node *node, const struct server_report *report);

/** Whether the local backend server has ended, as far as can be told. */
bool node_server_ended(struct node *node);

/** The next report for the packet duty, which frees it, or NULL. */
struct server_report *node_next_report(struct node *node);

/** Why the process should get no packets, or NULL. From any thread. */
const char *node_not_ready_reason(struct node *node);

/** Wakes a duty through its eventfd. */
void node_wake(int fd);

/** Empties an eventfd after a wake. */
void node_wake_clear(int fd);

/** The next view for the packet duty, or NULL. */
struct view *node_take_view(struct node *node);

/** Gives a replaced view back to be freed. */
void node_retire_view(struct node *node, struct view *view);

/** What a role waits for beside its duties. */
enum node_signal {
	NODE_SIGNAL_NONE,
	/** SIGHUP asks for a reload. */
	NODE_SIGNAL_RELOAD,
	/** SIGTERM and SIGINT. */
	NODE_SIGNAL_STOP,
};

/**
 * Waits for a signal for at most @timeout_ms. The signals must be blocked
 * already.
 */
enum node_signal node_wait_signal(int64_t timeout_ms);

/** True when a SIGHUP waits, which this takes; for roles that are leaving. */
bool node_reload_pending(void);

/** Blocks these signals; call before any thread starts. */
void node_block_signals(void);

#endif
