#include "run_role.h"

#include <glib.h>
#include <unistd.h>

#include "tarragonflow/common/log.h"
#include "tarragonflow/flow/handover.h"

#define MS_PER_S 1000
#define DRAIN_POLL_MS 100
/* Time for the announced state to reach the peers. */
#define ANNOUNCE_WAIT_MS 500
/* Longest time to save the connections. No packets are handled meanwhile. */
#define SAVE_TIMEOUT_MS 500

/*
 * Sends the connections to the successor and exits at once: the successor can't
 * serve until the addresses of this process are free.
 */
static void agent_hand_over(struct role *role)
{
	struct strbuf flows;
	bool transferred;

	strbuf_init(&flows);
	packet_worker_stop(&role->packet_worker);
	handover_export(&role->packet_worker.agent,
			clock_now(&role->node.clock), &flows);
	transferred = handover_listener_send(&role->handover_listener,
					     strbuf_str(&flows));
	log_event(transferred ? LOG_LEVEL_INFO : LOG_LEVEL_ERROR, "handed-over",
		  "connections=%u bytes=%zu",
		  agent_connection_count(&role->packet_worker.agent),
		  flows.len);
	_exit(transferred ? 0 : status_exit_code(STATUS_IO));
}

/* A successor may connect even while this agent drains. */
static void hand_over_if_requested(struct role *role)
{
	if (role->settings.handover.port &&
	    atomic_load(&role->handover_listener.requested))
		agent_hand_over(role);
}

/* Waits while the server refuses connections until it is known to have ended.
 * After that, peers need not query this agent. */
static void wait_for_server_end(struct role *role, int64_t deadline_ms)
{
	while (atomic_load(&role->node.server_refuses) &&
	       !node_server_ended(&role->node) &&
	       clock_now(&role->node.clock) < deadline_ms)
		clock_sleep(DRAIN_POLL_MS);
	if (node_server_ended(&role->node))
		clock_sleep(ANNOUNCE_WAIT_MS);
}

/* Saves the connections for the next process, if their server goes on. They
 * must not change any more, so packets are no longer handled. */
static void save_connections(struct role *role)
{
	struct agent *agent = &role->packet_worker.agent;
	int64_t now_ms;
	struct strbuf flows;

	if (node_server_ended(&role->node)) {
		checkpoint_worker_delete(&role->checkpoint_worker);
		return;
	}
	packet_worker_stop(&role->packet_worker);
	now_ms = clock_now(&role->node.clock);
	strbuf_init(&flows);
	handover_export(agent, now_ms, &flows);
	checkpoint_worker_save(&role->checkpoint_worker, &flows,
			       handover_incomplete_ms(agent, now_ms),
			       SAVE_TIMEOUT_MS);
	strbuf_finish(&flows);
}

/*
 * Connections that outlive the agent process can't be reached until the next
 * one runs, so the agent doesn't wait for them to end.
 */
static void leave_connections(struct role *role, int64_t deadline_ms)
{
	int64_t announced_ms = clock_now(&role->node.clock) + ANNOUNCE_WAIT_MS;

	checkpoint_worker_prepare_save(&role->checkpoint_worker,
				       ANNOUNCE_WAIT_MS);
	clock_sleep(MAX(announced_ms - clock_now(&role->node.clock), 0));
	wait_for_server_end(role, deadline_ms);
	save_connections(role);
}

static void agent_leave(struct role *role)
{
	int64_t deadline_ms = clock_now(&role->node.clock) +
			      role->settings.drain_deadline_s * MS_PER_S;

	hand_over_if_requested(role);
	atomic_store(&role->packet_worker.drain, true);
	node_leave(&role->node, node_server_ended(&role->node)
					? MEMBER_LEFT
					: MEMBER_DRAINING);
	if (role->settings.flow_lifetime_ms) {
		leave_connections(role, deadline_ms);
		return;
	}
	clock_sleep(ANNOUNCE_WAIT_MS);
	while (atomic_load(&role->node.open_connections) &&
	       clock_now(&role->node.clock) < deadline_ms) {
		hand_over_if_requested(role);
		if (node_reload_pending())
			role_reload(role);
		clock_sleep(DRAIN_POLL_MS);
	}
	log_event(LOG_LEVEL_INFO, "drained", "connections_left=%u",
		  atomic_load(&role->node.open_connections));
	node_leave(&role->node, MEMBER_LEFT);
	clock_sleep(ANNOUNCE_WAIT_MS);
}

static enum status_code run_agent(const struct command *command, int argc,
				  char **argv, struct status *status)
{
	return run_role(command, MEMBER_AGENT, agent_leave, argc, argv, status);
}

const struct command command_agent = {
	.name = "agent",
	.arguments = "",
	.summary = "Run the agent beside a backend server",
	.run = run_agent,
};
