#include "run_role.h"

/* The fabric needs a moment to send its packets elsewhere. */
#define LINGER_MS 1000

static void balancer_leave(struct role *role)
{
	node_set_state(&role->node, MEMBER_LEFT);
	clock_sleep(LINGER_MS);
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
