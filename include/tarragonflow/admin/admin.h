#ifndef TARRAGONFLOW_ADMIN_ADMIN_H
#define TARRAGONFLOW_ADMIN_ADMIN_H

#include "tarragonflow/node/node.h"

/**
 * The HTTP admin API of a balancer or agent, based on CivetWeb. GET /healthz,
 * /readyz, /metrics, /v1/status, /v1/overview, /v1/chain, /v1/where and the
 * page at / need no authentication; POST /v1/leave needs the admin token.
 */
struct admin {
	struct node *node;
	struct mg_context *context;
};

/**
 * Starts to serve the API of @node and the paths of its adapter. STATUS_IO
 * when an address cannot be bound.
 */
enum status_code admin_start(struct admin *admin, struct node *node,
			     struct status *status);
void admin_finish(struct admin *admin);

/** Size of an address with port in a query, with the terminator. */
#define ADMIN_ADDRESS_MAX 64

/** JSON documents of @node; the caller owns the result. */
json_t *admin_status_json(struct node *node);
json_t *admin_overview_json(struct node *node);

/** The candidate servers of the connection @key, and why they were chosen. */
json_t *admin_chain_json(struct node *node, const struct flow_key *key);

/**
 * Where a new connection to the address @to would go now, and why; @from may be
 * empty. Both are texts for admin_parse_address(). Waits for the packet thread.
 * Failures are in the document, as "status" (a name of enum status_code) and
 * "error"; @http_code is set to the HTTP status.
 */
json_t *admin_where_json(struct node *node, const char *to, const char *from,
			 int *http_code);

/** Parses "a.b.c.d:port" or "[address]:port"; false when malformed. */
bool admin_parse_address(const char *text, struct ip_addr *addr,
			 uint16_t *port);

/**
 * Whether the Authorization @header, which may be NULL, is "Bearer @token".
 * Always false when @token is empty.
 */
bool admin_token_matches(const struct json_text *token, const char *header);

#endif
