#include "run_role.h"

/* Time for the announced state to reach the peers. */
#define ANNOUNCE_WAIT_MS 200

static void balancer_leave(struct role *role)
{
	/* The fabric sends packets until its next readiness probes. */
	node_leave(&role->node, MEMBER_DRAINING);
	clock_sleep(role->settings.linger_ms);
	node_leave(&role->node, MEMBER_LEFT);
	clock_sleep(ANNOUNCE_WAIT_MS);
}

static enum status_code run_balancer(const struct command *command, int argc,
				     char **argv, struct status *status)
{
	return run_role(command, MEMBER_BALANCER, balancer_leave, argc, argv,
			status);
}

const struct command command_balancer = {
	.name = "balancer",
	.arguments = "",
	.summary = "Run a balancer on an entry VM",
	.run = run_balancer,
};
