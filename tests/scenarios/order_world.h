#ifndef TARRAGONFLOW_TESTS_ORDER_WORLD_H
#define TARRAGONFLOW_TESTS_ORDER_WORLD_H

#include <glib.h>

#include "tarragonflow/order/gate.h"

/*
 * Simulation of the gates of one service under a virtual clock, with fake
 * callers, backend servers, network and platform. Checks every reported outcome
 * against what the backend servers ran.
 */
#define ORDER_WORLD_AGENTS 16

/* Faults; shares are probabilities per event. */
struct order_faults {
	/* Per dispatch: the server fails before, during or after the run. */
	double server_fails_before, server_fails_during, server_fails_after,
		connect_fails;
	/* Per response: late, duplicated, truncated. */
	double response_late, response_duplicated, response_truncated;
	/* Per message between gates. */
	double message_lost, message_duplicated, message_delayed;
	int64_t message_delay_ms;
	/* Mean time between kills of an agent, 0 for none; mean downtime. */
	int64_t kill_interval_ms, downtime_ms;
	/* Share of kills that also kill a second agent. */
	double double_kill_share;
	/*
	 * Mean time between periods in which messages to one agent arrive only
	 * at the end of the period; mean length of a period.
	 */
	int64_t lag_interval_ms, lag_duration_ms;
	/* Mean time between, and length of, partitions into two groups. */
	int64_t partition_interval_ms, partition_duration_ms;
	/* The platform does not respond. */
	bool platform_down;
};

/* Load by callers. An order is a request of a caller with its repetitions. */
struct order_load {
	/* Number of orders, and orders per second. */
	uint64_t orders;
	double per_s;
	/* Shares of orders that are idempotent, have no key, are uploads. */
	double idempotent_share, keyless_share, upload_share;
	/* Share submitted twice, the second time at any agent within 120 ms. */
	double early_repeat_share;
	/* Share cancelled; share of those not done that callers retry. */
	double cancel_share, retry_share;
	/*
	 * Share submitted again much later, even when it was reported done, and
	 * the mean time until then.
	 */
	double late_repeat_share;
	int64_t late_repeat_mean_ms;
	/* Mean time of a run at the server; time until the deadline. */
	int64_t service_ms, deadline_ms;
	/* Orders arrive at the first so many agents; 0 for all. */
	uint32_t target_agents;
};

struct order_figures {
	/* Orders, and outcomes reported for their submissions. */
	uint64_t orders, reported_done, reported_not_run, reported_unknown;
	/* Violations of what the gates promise. */
	uint64_t run_twice, ran_despite_not_run, wrong_responses,
		reported_twice;
	/* Orders with unknown final outcome; those that no fault affected. */
	uint64_t unknown, unknown_without_fault;
	/* Submissions without outcome; dispatches without a free slot. */
	uint64_t never_reported, slots_exceeded;
	/* Runs that servers started; dispatches by gates, failed ones too. */
	uint64_t runs, dispatches;
	/* Responses to submissions, and those to uploads. */
	uint64_t completed, uploads_done;
	/* Submissions without outcome when a drained agent ended. */
	uint64_t shutdown_cut;
	/* Longest time from a submission to its response, ms. */
	uint64_t wait_max_ms;
	uint64_t list_changes, kills;
};

struct order_world;

struct order_agent {
	/* Callbacks find the agent by the addresses of these sinks. */
	struct claims_sink claims_sink;
	struct gate_sink gate_sink;
	struct order_world *world;
	uint32_t index;
	struct name name;
	bool up, leaving;
	uint64_t instance;
	struct claims claims;
	struct gate gate;
	/* Ids of the requests that its backend server runs. */
	GHashTable *running;
	int64_t lag_until_ms;
};

struct order_world {
	GRand *rand;
	int64_t now_ms;
	/* Events by time, then by number. */
	GSequence *events;
	uint64_t next_event, next_instance, next_submission;
	struct order_agent agents[ORDER_WORLD_AGENTS];
	uint32_t n_agents, slots;
	/* Agents below this index are on one side of a partition. */
	uint32_t partition_split;
	int64_t partitioned_until_ms;
	/* When an agent was last killed without a drain, ms. */
	int64_t last_kill_ms;
	int64_t retention_ms;
	struct order_faults faults;
	struct order_load load;
	/* Orders of the load that were submitted so far. */
	uint64_t submitted;
	int64_t load_start_ms;
	/* struct submission by id, and struct order by number. */
	GHashTable *submissions;
	GPtrArray *orders;
	/* The home list that the platform holds. */
	struct home_list platform;
	struct counters counters;
	struct order_figures figures;
	/* Hash of all reported outcomes and their times. */
	uint64_t trace_hash;
};

void order_world_init(struct order_world *world, uint64_t seed, uint32_t agents,
		      uint32_t slots, int64_t retention_ms);
void order_world_finish(struct order_world *world);

/* Starts the load: load->orders orders from now on. */
void order_world_load(struct order_world *world, const struct order_load *load);
/* Advances the virtual clock by @ms. */
void order_world_run(struct order_world *world, int64_t ms);

/* Ends the agent at once; its callers lose their connections. */
void order_world_kill(struct order_world *world, uint32_t agent);
void order_world_start(struct order_world *world, uint32_t agent);

/* Lets the agent finish its requests, leave the home list, and end. */
void order_world_drain(struct order_world *world, uint32_t agent);

/* Counts orders by final outcome; call once, at the end. */
void order_world_count_outcomes(struct order_world *world);

#endif
