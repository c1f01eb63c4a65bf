#ifndef TARRAGONFLOW_TESTS_ORDER_CALLERS_H
#define TARRAGONFLOW_TESTS_ORDER_CALLERS_H

#include "order_world.h"

/* The callers' side of the order world, and the judgement of outcomes. */
struct order {
	uint64_t number;
	bool has_key, idempotent, upload, cancels;
	uint32_t runs, tries, left;
	/* Latest time it was told not run, ms; 0 for never. */
	int64_t not_run_ms;
	int64_t submit_ms;
	/* When the attempt that ran was submitted, ms; 0 if none ran. */
	int64_t ran_submit_ms;
	/* A fault met it that may leave its outcome unknown. */
	bool met_fault, told_done, told_not_run, told_unknown;
};

struct attempt {
	uint64_t id;
	struct order *order;
	uint32_t agent;
	uint64_t instance;
	/* The instance that it was handed on to, or 0. */
	uint64_t handed_to;
	int64_t submit_ms;
	uint32_t told;
	bool ran;
};

struct attempt *callers_attempt(struct order_world *world, uint64_t id);

/* The backend server started to run @attempt. */
void callers_ran(struct order_world *world, struct attempt *attempt);

/* The gate of @agent told an outcome. */
void callers_told(struct order_world *world, const struct order_told *told);

/* The agent died: its callers see their connections end. */
void callers_lost(struct order_world *world, uint32_t agent);

/* A request was handed on to the run @instance of an agent. */
void callers_handed(struct order_world *world, uint64_t id, uint64_t instance);

/* A message about a request was lost or late. */
void callers_fault(struct order_world *world,
		   const struct order_message *message);

void callers_tick(struct order_world *world);

/* Schedules @act on an attempt number after @in_ms. */
void order_world_later(struct order_world *world, int64_t in_ms,
		       void (*act)(struct order_world *world, uint64_t number),
		       uint64_t number);

/* Whether one of the faults with share @share happens. */
bool order_world_chance(struct order_world *world, double share);

/* A time from 1 ms to twice @mean_ms. */
int64_t order_world_around(struct order_world *world, int64_t mean_ms);

/* One of the first @spread agents that are up; NULL when none is. */
struct order_agent *order_world_pick(struct order_world *world,
				     uint32_t spread);

#endif
