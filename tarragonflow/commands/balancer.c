#include "run_role.h"

/* Lets the last word reach the peers. */
#define FAREWELL_MS 200

static void balancer_leave(struct role *role)
{
	/* Packets come until the fabric has asked whether we are ready. */
	node_leave(&role->node, MEMBER_DRAINING);
	clock_sleep(role->settings.linger_ms);
	node_leave(&role->node, MEMBER_LEFT);
	clock_sleep(FAREWELL_MS);
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
