#ifndef TARRAGONFLOW_TESTS_WORLD_H
#define TARRAGONFLOW_TESTS_WORLD_H

#include <glib.h>

#include "tarragonflow/control/control.h"
#include "tarragonflow/flow/agent.h"
#include "tarragonflow/route/balancer.h"
#include "tests/standin/backend.h"
#include "tests/standin/caller_pool.h"
#include "tests/standin/memory_store.h"

/**
 * The real cores of one deployment under a virtual clock, with fakes at
 * their interfaces: a network that loses, doubles and delays, a platform,
 * callers and backend servers. The same seed gives the same run.
 */
struct world_faults {
	/** Shares of messages, 0 to 1. */
	double data_loss, data_double;
	double control_loss, control_double;
	/** Copies with a changed byte; cut short; sent again later. */
	double control_forge, control_truncate, control_replay;
	/** One way, ms. */
	int64_t delay_min_ms, delay_max_ms;
};

struct world_platform {
	struct memory_store store;
	bool down;
	/** Time an answer takes, ms. */
	int64_t latency_ms;
	/** Writes that take effect while their answer is lost. */
	int lose_answers;
	/** Writes that another writer gets in before, and so fail. */
	int races;
	/** Watches and reads show the store as it was when this was set. */
	bool stale;
	struct memory_store old;
	uint64_t calls[5];
};

/** Parts of the second that a meter slides over. */
#define WORLD_METER_SLOTS 10

/** Bytes in the worst second so far. */
struct world_meter {
	uint32_t slots[WORLD_METER_SLOTS];
	/** The tenth of a second that was written last. */
	int64_t at;
	uint32_t peak;
};

/** One balancer or agent with all its cores. */
struct world_node {
	struct control_sink control_sink;
	struct packet_sink packet_sink;
	struct backend backend;
	struct world *world;
	struct control_options options;
	struct counters counters;
	struct control control;
	struct balancer balancer;
	struct agent agent;
	struct view *view;
	bool up;
	bool view_dirty;
	/** A new view comes into force this much later, ms. */
	int64_t view_lag_ms, view_due_ms;
	/** The backend server is cold until then, ms. */
	int64_t cold_until_ms;
	/** When its zone was taken out, or it was drained; 0 when not. */
	int64_t zone_out_ms, drain_ms;
	/** The process does nothing before this time, ms. */
	int64_t paused_until_ms;
	/**
	 * Greatest release seen in force, through restarts; a smaller one
	 * later is a revert.
	 */
	int64_t top_release;
	int64_t last_release;
	/** Network partition that it is in; 0 reaches everybody. */
	int side;
	/** Cannot reach the platform. */
	bool platform_cut;
	/** When it was killed last, ms. */
	int64_t died_ms;
	/** Control bytes that it sent. */
	struct world_meter meter;
};

struct world {
	struct caller_pool callers;
	GRand *rand;
	int64_t now_ms;
	struct world_faults faults;
	struct world_platform platform;
	struct manifest manifest;
	/** Of struct world_node, by pointer. */
	GPtrArray *nodes;
	/** Future events, soonest first. */
	GSequence *events;
	uint64_t next_event;
	/** Watches that wait at the platform. */
	GPtrArray *watches;
	uint64_t control_bytes, control_messages;
	uint64_t reverts;
	/** Times a process had a manifest in force that nobody was told of. */
	uint64_t manifests_lost;
	/** Texts that were reported accepted, by release. */
	GHashTable *accepted;
	int64_t accepted_ms;
	/** From the last accepted apply until it was in force everywhere. */
	int64_t everywhere_ms;
	/** Only the control cores run: no views, no packets. */
	bool control_only;
	/** Processes added so far. */
	uint32_t n_balancers, n_agents;
	/** Time after its cause of the last such packet, ms. */
	int64_t zone_out_last_ms, drain_last_ms;
	/** Latest new work for a dead process, ms after its death. */
	int64_t dead_work_ms;
	/** Hash over all deliveries, to compare runs. */
	uint64_t trace;
};

/** Share of its connections that a cold backend server carries, 1/32. */
#define WORLD_COLD_SHARE 32

/** Time that a cold backend server takes to answer, ms. */
#define WORLD_COLD_ANSWER_MS 40

/** Time between two rounds of ticks, ms. */
#define WORLD_TICK_MS 10

void world_init(struct world *world, uint32_t seed);
void world_finish(struct world *world);

/** Adds a process; it starts at once. */
struct world_node *world_add_node(struct world *world,
				  const struct member *self);

/** Adds a balancer, or a backend server with its agent, with the next name. */
struct world_node *world_add_balancer(struct world *world);
struct world_node *world_add_server(struct world *world,
				    const struct service *service);

/** Ends @node; a new server of @service starts at its address. */
struct world_node *world_reuse_address(struct world_node *node,
				       const struct service *service);

/** The agent takes nothing new and says so. */
void world_drain(struct world_node *node);

struct world_node *world_find_node(struct world *world, const char *name);

/** Starts a stopped process as a new instance with nothing kept. */
void world_start_node(struct world_node *node);

/** Ends a process at once; its backend server goes on. */
void world_kill_node(struct world_node *node);

/** Replaces an agent by a new instance that takes over its connections. */
void world_replace_agent(struct world_node *node);

/** Restarts the backend server; it is cold for @cold_ms. */
void world_restart_server(struct world_node *node, int64_t cold_ms);

/** The process whose backend server has @caller's connection, or NULL. */
struct world_node *world_owner(struct world *world,
			       const struct caller *caller);

/** Puts world->manifest on the platform as its next release. */
enum status_code world_apply(struct world *world, struct status *status);

/**
 * Two operators apply different manifests as the next release at once.
 * Returns what the first was told, @rival what the second was.
 */
enum status_code world_apply_race(struct world *world, struct status *rival);

/** Lets @ms pass. */
void world_run(struct world *world, int64_t ms);

/** A counter of one process; false when there is none of that name. */
bool world_node_figure(const struct world_node *node, const char *name,
		       double *value);

/** Begins the worst second of every process anew. */
void world_reset_meters(struct world *world);

/** A figure of the whole run by name; false when there is none. */
bool world_figure(struct world *world, const char *name, double *value);

#endif
