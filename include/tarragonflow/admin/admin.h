#ifndef TARRAGONFLOW_ADMIN_ADMIN_H
#define TARRAGONFLOW_ADMIN_ADMIN_H

#include "tarragonflow/node/node.h"

/**
 * The admin API of a balancer or agent, on CivetWeb:
 * GET /healthz, /readyz, /metrics and /v1/status.
 */
struct admin {
	struct node *node;
	struct mg_context *context;
};

enum status_code admin_start(struct admin *admin, struct node *node,
			     struct status *status);
void admin_finish(struct admin *admin);

/** The status document of @node; the caller releases it. */
json_t *admin_status_json(struct node *node);

#endif
