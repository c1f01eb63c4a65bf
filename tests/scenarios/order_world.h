#ifndef TARRAGONFLOW_TESTS_ORDER_WORLD_H
#define TARRAGONFLOW_TESTS_ORDER_WORLD_H

#include <glib.h>

#include "tarragonflow/order/gate.h"

/*
 * The gates of one service under a virtual clock, with fake callers, backend
 * servers, network and platform. Judges every outcome that is told against
 * what the backend servers ran.
 */
#define ORDER_WORLD_AGENTS 16

/* Faults, as shares of the events that they may meet. */
struct order_faults {
	/* Per dispatch: the server fails before, during, after running. */
	double die_before, die_during, die_after, no_connect;
	/* Per answer: comes late, twice, cut short. */
	double late, doubled, cut_short;
	/* Per message between gates. */
	double loss, message_doubled, slow;
	int64_t slow_ms;
	/* Mean time between kills of an agent, and its time away; 0: none. */
	int64_t kill_every_ms, away_ms;
	/* Kills that take a second agent along. */
	double kill_two;
	/* Mean time between windows in which one agent hears all late. */
	int64_t lag_every_ms, lag_ms;
	/* Mean time between windows in which two groups are cut. */
	int64_t cut_every_ms, cut_ms;
	/* The platform answers nothing. */
	bool platform_down;
};

/* What callers do, as shares of their orders. */
struct order_load {
	uint64_t orders;
	double per_s;
	double idempotent, keyless, upload;
	/* Repeats at once through another agent; cancels; retries refusals. */
	double repeat, cancel, retry;
	/* Repeats some time later, whatever was told; mean time. */
	double repeat_late;
	int64_t repeat_late_ms;
	int64_t service_ms, deadline_ms;
	/* Where orders arrive: all agents, or the first few. */
	uint32_t spread;
};

struct order_figures {
	uint64_t orders, told_done, told_not_run, told_unknown;
	uint64_t run_twice, not_run_but_run, wrong_answers, told_twice;
	/* Orders whose last word was unknown; without a fault that meets it. */
	uint64_t unknown, unexplained;
	uint64_t never_told, slots_exceeded, runs, dispatches;
	uint64_t completed, uploads_done, shutdown_cut;
	uint64_t wait_max_ms, list_changes, kills;
};

struct order_world;

struct order_agent {
	/* Their addresses lead back here. */
	struct claims_sink claims_sink;
	struct gate_sink gate_sink;
	struct order_world *world;
	uint32_t index;
	struct name name;
	bool up, leaving;
	uint64_t instance;
	struct claims claims;
	struct gate gate;
	/* Numbers of the requests that its backend server runs. */
	GHashTable *running;
	int64_t lag_until_ms;
};

struct order_world {
	GRand *rand;
	int64_t now_ms;
	/* Events by time, then by number. */
	GSequence *events;
	uint64_t next_event, next_instance, next_attempt;
	struct order_agent agents[ORDER_WORLD_AGENTS];
	uint32_t n_agents, slots, cut_side;
	int64_t cut_until_ms, last_loss_ms, retention_ms;
	struct order_faults faults;
	struct order_load load;
	uint64_t submitted;
	int64_t load_since_ms;
	GHashTable *attempts;
	GPtrArray *orders;
	struct home_list platform;
	struct counters counters;
	struct order_figures figures;
	uint64_t trace;
};

void order_world_init(struct order_world *world, uint64_t seed, uint32_t agents,
		      uint32_t slots, int64_t retention_ms);
void order_world_finish(struct order_world *world);

/* Lets callers bring load.orders orders from now on. */
void order_world_load(struct order_world *world, const struct order_load *load);
void order_world_run(struct order_world *world, int64_t ms);
void order_world_kill(struct order_world *world, uint32_t agent);
void order_world_start(struct order_world *world, uint32_t agent);
void order_world_drain(struct order_world *world, uint32_t agent);

/* Counts the orders by their last word; call once, at the end. */
void order_world_judge(struct order_world *world);

#endif
