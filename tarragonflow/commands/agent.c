#include "run_role.h"

#include <unistd.h>

#include "tarragonflow/common/log.h"
#include "tarragonflow/flow/handover.h"

#define MS_PER_S 1000
#define DRAIN_POLL_MS 100
/* Time for the announced state to reach the peers. */
#define ANNOUNCE_WAIT_MS 500

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

static void agent_leave(struct role *role)
{
	int64_t deadline_ms = clock_now(&role->node.clock) +
			      role->settings.drain_deadline_s * MS_PER_S;

	hand_over_if_requested(role);
	atomic_store(&role->packet_worker.drain, true);
	node_leave(&role->node, node_server_ended(&role->node)
					? MEMBER_LEFT
					: MEMBER_DRAINING);
	clock_sleep(ANNOUNCE_WAIT_MS);
	/*
	 * Connections that outlive the agent cannot be reached until the next
	 * agent runs, so this agent doesn't wait for them to end.
	 */
	if (role->settings.flow_lifetime_ms) {
		wait_for_server_end(role, deadline_ms);
		return;
	}
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
