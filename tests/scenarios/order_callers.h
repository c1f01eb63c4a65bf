#ifndef TARRAGONFLOW_TESTS_ORDER_CALLERS_H
#define TARRAGONFLOW_TESTS_ORDER_CALLERS_H

#include "order_world.h"

/* Simulated callers of order_world.h; they check each reported outcome. */

/* A caller's request and its repetitions, which have the same key. */
struct order {
	/* Index in world->orders. */
	uint64_t number;
	/* `cancels`: its caller cancels each submission. */
	bool has_key, idempotent, upload, cancels;
	/* How often it was run and submitted. */
	uint32_t runs, n_submissions, unused;
	/* When it was last reported not run, ms; 0 for never. */
	int64_t reported_not_run_ms;
	/* When it was last submitted, ms. */
	int64_t submitted_ms;
	/* When the submission that ran was made, ms; 0 if none ran. */
	int64_t run_submitted_ms;
	/* A fault affected the order that may make its outcome unknown. */
	bool fault_seen;
	/* Outcomes that were reported for any of its submissions. */
	bool reported_done, reported_not_run, reported_unknown;
};

/* One submission of an order to a gate. */
struct submission {
	uint64_t id;
	struct order *order;
	/* Index and instance of the agent that received it. */
	uint32_t agent;
	uint64_t instance;
	/* The agent instance it was forwarded to, or 0. */
	uint64_t forwarded_to;
	int64_t submitted_ms;
	/* How often an outcome was reported; more than once is a fault. */
	uint32_t n_reports;
	/* A server started to run it. */
	bool ran;
};

struct submission *callers_find_submission(struct order_world *world,
					   uint64_t id);

/* The backend server started to run @submission. */
void callers_record_run(struct order_world *world,
			struct submission *submission);

/* A gate reported an outcome. */
void callers_record_result(struct order_world *world,
			   const struct order_result *result);

/* The agent was killed: the connections of its callers ended. */
void callers_agent_lost(struct order_world *world, uint32_t agent);

/* Request @id was forwarded to the agent instance @instance. */
void callers_record_forward(struct order_world *world, uint64_t id,
			    uint64_t instance);

/* A message about a request was lost or delayed. */
void callers_record_fault(struct order_world *world,
			  const struct order_message *message);

void callers_tick(struct order_world *world);

/* Calls @callback with @number after @in_ms. */
void order_world_schedule(struct order_world *world, int64_t in_ms,
			  void (*callback)(struct order_world *world,
					   uint64_t number),
			  uint64_t number);

/* Draws true with the probability @share. */
bool order_world_draw_bool(struct order_world *world, double share);

/* Draws a time from 1 ms to twice @mean_ms. */
int64_t order_world_draw_ms(struct order_world *world, int64_t mean_ms);

/*
 * Draws a running agent among the first @target_agents, or all if 0; NULL if
 * none is running.
 */
struct order_agent *order_world_pick_agent(struct order_world *world,
					   uint32_t target_agents);

#endif
