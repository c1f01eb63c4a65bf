#ifndef TARRAGONFLOW_NODE_NODE_H
#define TARRAGONFLOW_NODE_NODE_H

#include <pthread.h>
#include <stdatomic.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/counter.h"
#include "tarragonflow/common/histogram.h"
#include "tarragonflow/common/ring.h"
#include "tarragonflow/control/control.h"
#include "tarragonflow/flow/report_gate.h"
#include "tarragonflow/flow/server_watch.h"
#include "tarragonflow/node/adapter.h"
#include "tarragonflow/node/explanation_slot.h"
#include "tarragonflow/node/store_worker.h"
#include "tarragonflow/node/pull_server.h"
#include "tarragonflow/node/server_check.h"
#include "tarragonflow/node/settings.h"
#include "tarragonflow/route/view.h"

/**
 * State shared by balancer and agent processes: the control thread, one store
 * thread per request queue and the pull threads, connected by bounded rings.
 * The packet thread (struct packet_worker) gets each new view, a snapshot of
 * the configuration and roster, from the `views` ring.
 */
struct node {
	const struct settings *settings;
	struct clock clock;
	struct counters counters;
	/** Guards `control` and `server_watch`; the admin API takes it to read.
	 */
	pthread_mutex_t lock;
	struct control control;
	int control_fd;
	/** Threads that call the object store, one per request queue. */
	struct store_worker store_workers[STORE_QUEUES];
	struct pull_server pull_server;
	/** New views for the packet thread, and replaced views to free. */
	struct ring views;
	struct ring retired_views;
	/** Eventfds that wake the control and the packet thread. */
	int control_wake_fd;
	int packet_wake_fd;
	/** Configuration or roster changed since the last view for `views`. */
	bool view_dirty;
	/** Earliest time to compute the next view, ms. */
	int64_t next_publish_ms;
	/** enum member_state that the control thread announces to peers. */
	_Atomic int target_state;
	_Atomic bool stop;
	/** When the last published view was last known to be up to date, ms. */
	_Atomic int64_t view_up_to_date_ms;
	/** Open connections of this process, for the admin API. */
	_Atomic uint32_t open_connections;
	/** Current connection limit of admission control; agents only. */
	_Atomic uint32_t connection_limit;
	pthread_t control_thread;
	/** Start time of the process, ms since 1970; identifies this run. */
	uint64_t instance;
	const struct adapter *adapter;
	/** Server reports (struct server_report) for the packet thread. */
	struct ring server_reports;
	/** Connections of the predecessor (struct inherited_flows) for the
	 * packet thread. */
	struct ring inherited_flows;
	/** State of the backend server according to its server reports. */
	struct server_watch server_watch;
	/** Holds back server reports that contradict `server_watch`. */
	struct report_gate report_gate;
	/** Checks that the server listens; unused without server reports. */
	struct server_check server_check;
	/** Start of the last check that the server refused, for the packet
	 * thread, ms; CLOCK_NEVER: none. */
	_Atomic int64_t server_refused_ms;
	/** The server refuses connections, and may have ended. */
	_Atomic bool server_refuses;
	/** The server was checked at least once. */
	_Atomic bool server_checked;
	/** Histograms of the agent core for the metrics; NULL in balancers. */
	const struct histogram *response_times, *wait_times;
	/** Balancers: most agents are unreachable, so not ready. */
	_Atomic bool isolated;
	/** Requests of the admin API to the packet thread; balancers only. */
	struct explanation_slot explanation_slot;
	/** Shutting down: server reports no longer change the state. */
	_Atomic bool leaving;
};

/** Connections of an agent's predecessor, for the packet thread. */
struct inherited_flows {
	/** Written by handover_export(); may be empty. */
	struct strbuf flows;
	/** The checkpoint is claimed: connections may be opened. */
	bool claimed;
	/** The predecessor's connections are complete with those passed so far,
	 * but the server may have others for incomplete_ms. */
	bool complete;
	int64_t incomplete_ms;
};

void inherited_flows_free(struct inherited_flows *inherited);

/** Opens the control sockets; node_start() starts the threads. */
enum status_code node_init(struct node *node, const struct settings *settings,
			   const struct adapter *adapter,
			   struct status *status);
enum status_code node_start(struct node *node, struct status *status);

/** Stops the threads and frees everything. */
void node_finish(struct node *node);

/** Makes the control thread announce @state to peers. */
void node_set_state(struct node *node, enum member_state state);

/** Announces @state for a shutdown: server reports no longer change it. */
void node_leave(struct node *node, enum member_state state);

/**
 * Queues a server report of the local backend server for the packet thread.
 * Thread-safe. Errors: STATUS_INVALID when the report names a service that is
 * not of this deployment, STATUS_UNAVAILABLE when this process expects no
 * reports, STATUS_FULL.
 */
enum status_code node_submit_server_report(struct node *node,
					   const struct server_report *report,
					   struct status *status);

/**
 * Records that the local backend server has ended, by its last report with the
 * state SERVER_GONE; ignored if another server has reported since. Thread-safe.
 */
void node_record_server_end(struct node *node,
			    const struct server_report *last_report);

/** Whether node_record_server_end() was called for the latest server.
 * Thread-safe. */
bool node_server_ended(struct node *node);

/** Start of the last check in which the server refused a connection, ms;
 * CLOCK_NEVER: none, or cleared. */
int64_t node_server_refusal(struct node *node);

/** Clears the refusal of the check that began at @began_ms, once
 * `server_refuses` reflects it. */
void node_clear_server_refusal(struct node *node, int64_t began_ms);

/** Returns the next server report, to be freed by the caller, or NULL. */
struct server_report *node_pop_server_report(struct node *node);

/** Why the fabric should send no packets here, or NULL. Thread-safe. */
const char *node_not_ready_reason(struct node *node);

/** Wakes the thread that polls the eventfd @fd. */
void node_wake(int fd);

/** Resets the eventfd @fd after a wakeup. */
void node_wake_clear(int fd);

/** Returns the next view for the packet thread, or NULL. */
struct view *node_pop_view(struct node *node);

/** Passes a replaced view to the control thread, which frees it. */
void node_retire_view(struct node *node, struct view *view);

/** Requests that reach the main thread as signals. */
enum node_signal {
	NODE_SIGNAL_NONE,
	/** SIGHUP: reload the settings. */
	NODE_SIGNAL_RELOAD,
	/** SIGTERM or SIGINT: shut down. */
	NODE_SIGNAL_STOP,
};

/**
 * Waits for a signal for at most @timeout_ms. Requires node_block_signals()
 * first.
 */
enum node_signal node_wait_signal(int64_t timeout_ms);

/** Consumes a pending SIGHUP; false when there is none. For shutdowns. */
bool node_reload_pending(void);

/** Blocks SIGHUP, SIGTERM and SIGINT; call before any thread starts. */
void node_block_signals(void);

#endif
