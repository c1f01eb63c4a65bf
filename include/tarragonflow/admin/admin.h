#ifndef TARRAGONFLOW_ADMIN_ADMIN_H
#define TARRAGONFLOW_ADMIN_ADMIN_H

#include "tarragonflow/node/node.h"

/**
 * The admin API of a balancer or agent, on CivetWeb. GET /healthz, /readyz,
 * /metrics, /v1/status, /v1/overview, /v1/chain and the page at / need
 * nothing; POST /v1/leave needs the admin token.
 */
struct admin {
	struct node *node;
	struct mg_context *context;
};

enum status_code admin_start(struct admin *admin, struct node *node,
			     struct status *status);
void admin_finish(struct admin *admin);

/** Longest address and port in a query, with the terminator. */
#define ADMIN_ADDRESS_MAX 64

/** Documents of @node; the caller releases them. */
json_t *admin_status_json(struct node *node);
json_t *admin_overview_json(struct node *node);

/** Where the connection @key would go, and why. */
json_t *admin_chain_json(struct node *node, const struct flow_key *key);

/** Parses "a.b.c.d:port" or "[address]:port". */
bool admin_parse_side(const char *text, struct ip_addr *addr, uint16_t *port);

/** Whether the Authorization @header, which may be NULL, holds @token. */
bool admin_token_matches(const struct json_text *token, const char *header);

#endif
