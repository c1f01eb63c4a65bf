#include "run_role.h"

#include "tarragonflow/common/log.h"

#define STEP_MS 100
/* Lets the last word reach the peers. */
#define FAREWELL_MS 500

static void agent_leave(struct role *role)
{
	int64_t deadline = clock_now(&role->node.clock) +
			   role->settings.drain_deadline_s * 1000;

	atomic_store(&role->duty.drain, true);
	node_set_state(&role->node, MEMBER_DRAINING);
	clock_sleep(FAREWELL_MS);
	while (atomic_load(&role->node.open_connections) &&
	       clock_now(&role->node.clock) < deadline) {
		if (node_reload_pending())
			role_reload_keys(role);
		clock_sleep(STEP_MS);
	}
	log_event(LOG_LEVEL_INFO, "drained", "connections_left=%u",
		  atomic_load(&role->node.open_connections));
	node_set_state(&role->node, MEMBER_LEFT);
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
