#include "run_role.h"

#include <unistd.h>

#include "tarragonflow/common/log.h"
#include "tarragonflow/flow/handover.h"

#define STEP_MS 100
/* Lets the last word reach the peers. */
#define FAREWELL_MS 500

/*
 * Hands over to the successor and ends at once: every moment until our
 * addresses are free is one in which nobody serves.
 */
static void agent_hand_over(struct role *role)
{
	struct strbuf flows;
	bool sent;

	strbuf_init(&flows);
	packet_duty_stop(&role->duty);
	handover_export(&role->duty.agent, clock_now(&role->node.clock),
			&flows);
	sent = handover_duty_send(&role->handover, strbuf_str(&flows));
	log_event(sent ? LOG_LEVEL_INFO : LOG_LEVEL_ERROR, "handed-over",
		  "connections=%u bytes=%zu",
		  agent_connection_count(&role->duty.agent), flows.len);
	_exit(sent ? 0 : status_exit_code(STATUS_IO));
}

/* A successor may come at any time, also while we drain. */
static void hand_over_if_asked(struct role *role)
{
	if (role->settings.handover.port &&
	    atomic_load(&role->handover.requested))
		agent_hand_over(role);
}

static void agent_leave(struct role *role)
{
	int64_t deadline = clock_now(&role->node.clock) +
			   role->settings.drain_deadline_s * 1000;

	hand_over_if_asked(role);
	atomic_store(&role->duty.drain, true);
	/* With its server gone, nobody need look for connections here. */
	node_leave(&role->node, node_server_ended(&role->node)
					? MEMBER_LEFT
					: MEMBER_DRAINING);
	clock_sleep(FAREWELL_MS);
	/*
	 * Where the server keeps its connections without us, every moment until
	 * the next agent runs is one in which nobody reaches them.
	 */
	if (role->settings.flow_lifetime_ms)
		return;
	while (atomic_load(&role->node.open_connections) &&
	       clock_now(&role->node.clock) < deadline) {
		hand_over_if_asked(role);
		if (node_reload_pending())
			role_reload(role);
		clock_sleep(STEP_MS);
	}
	log_event(LOG_LEVEL_INFO, "drained", "connections_left=%u",
		  atomic_load(&role->node.open_connections));
	node_leave(&role->node, MEMBER_LEFT);
	clock_sleep(FAREWELL_MS);
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
