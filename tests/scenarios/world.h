#ifndef TARRAGONFLOW_TESTS_WORLD_H
#define TARRAGONFLOW_TESTS_WORLD_H

#include <glib.h>

#include "tarragonflow/control/control.h"
#include "tarragonflow/flow/agent.h"
#include "tarragonflow/route/balancer.h"
#include "tests/standin/backend.h"
#include "tests/standin/caller_pool.h"
#include "tests/standin/memory_store.h"

/*
 * A simulation of one deployment under a virtual clock: the product's own
 * cores run on a simulated network, platform, callers and backend servers.
 * The same seed gives the same run.
 */

/** Faults of the simulated network. */
struct world_faults {
	/** Shares of the messages that are lost or duplicated, 0 to 1. */
	double data_loss, data_duplication;
	double control_loss, control_duplication;
	/**
	 * Shares of the control messages of which a corrupted duplicate
	 * arrives, too, that are truncated, or that arrive again later; 0 to 1.
	 */
	double control_forgery, control_truncation, control_replay;
	/** Bounds of the one-way delay, ms. */
	int64_t delay_min_ms, delay_max_ms;
};

/** The simulated platform and its faults. */
struct world_platform {
	struct memory_store store;
	/** Every request fails. */
	bool down;
	/** Time until a response arrives, ms. */
	int64_t latency_ms;
	/** Number of next PUTs that take effect but whose response is lost. */
	int responses_to_lose;
	/** Number of next writes that conflict with those of another writer. */
	int conflicts_to_inject;
	/** Reads and watches use the older snapshot instead of the store. */
	bool serve_snapshot;
	struct memory_store snapshot;
	/** Copy to which the store can be restored. */
	struct memory_store backup;
	/** Zones that operators have put out of service by an order. */
	struct zone_orders orders;
	/** Requests so far, by enum store_op. */
	uint64_t calls[5];
};

/** Parts into which the sliding second of a meter is divided. */
#define WORLD_METER_SLOTS 10

/** Bytes sent in a sliding second. */
struct world_meter {
	/** Bytes in each tenth of the last second. */
	uint32_t slots[WORLD_METER_SLOTS];
	/** Number of the tenth of a second last written. */
	int64_t last_slot;
	/** Most bytes in any second so far. */
	uint32_t max_bytes;
};

/** One balancer or agent process with all its cores. */
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
	/** The view in use; NULL until the first configuration arrives. */
	struct view *view;
	/** Started and not killed; it may be paused. */
	bool up;
	/** The view must be rebuilt at the next tick. */
	bool view_dirty;
	/** Delay of a new view and its end, ms; not used by the simulation. */
	int64_t view_delay_ms, view_due_ms;
	/** The backend server is cold before this time, ms. */
	int64_t cold_until_ms;
	/** When its zone went out of service, ms; 0: in service. */
	int64_t zone_out_at_ms;
	/** When it was drained, ms; 0: it was not. */
	int64_t drained_at_ms;
	/** The process does nothing before this time, ms. */
	int64_t paused_until_ms;
	/**
	 * Greatest release that the process has had in force, also before
	 * restarts; a smaller one later counts as a revert.
	 */
	int64_t max_release;
	/** Release in force at the last world_check_manifest(). */
	int64_t checked_release;
	/** Nodes with different numbers are separated; 0 reaches all nodes. */
	int network_partition;
	/** Its requests to the platform fail. */
	bool platform_unreachable;
	/** When it was last killed, ms. */
	int64_t killed_at_ms;
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
	/** Future events, earliest first. */
	GSequence *events;
	/** Number of the next event in order of insertion. */
	uint64_t next_event;
	/** Watch requests that the platform has not yet responded to. */
	GPtrArray *watches;
	/** Control messages sent, pulls excluded. */
	uint64_t control_bytes, control_messages;
	/** How often a process replaced a release by an older one. */
	uint64_t release_reverts;
	/** Manifests in force that were not reported accepted to operators. */
	uint64_t unreported_manifests;
	/** Texts of manifests that may be in force, by release. */
	GHashTable *accepted_texts;
	/** When the last release was accepted, ms. */
	int64_t accepted_at_ms;
	/**
	 * Time from accepted_at_ms until all processes had the release in
	 * force, ms; 0: they don't have it yet.
	 */
	int64_t convergence_ms;
	/** Only the control cores run: no views, no packets. */
	bool control_only;
	/** Reads from the platform are strongly consistent. */
	bool strong_reads;
	/** Processes added so far. */
	uint32_t n_balancers, n_agents;
	/**
	 * Latest packet to a backend server whose zone is out of service, ms
	 * after the zone went out of service.
	 */
	int64_t zone_out_last_packet_ms;
	/** Latest new connection at a drained server, ms after the drain. */
	int64_t drained_last_open_ms;
	/** Latest SYN to a killed process, ms after the kill. */
	int64_t dead_node_last_open_ms;
	/** Hash over all delivered events, to compare runs. */
	uint64_t delivery_hash;
};

/** A cold backend server carries 1/32 of its connections. */
#define WORLD_COLD_DIVISOR 32

/** Response time of a cold backend server, ms. */
#define WORLD_COLD_RESPONSE_MS 40

/** Time between two rounds of ticks, ms. */
#define WORLD_TICK_MS 10

void world_init(struct world *world, uint32_t seed);
void world_finish(struct world *world);

/** Adds a process and starts it. */
struct world_node *world_add_node(struct world *world,
				  const struct member *self);

/** Adds a balancer, or a backend server with its agent; numbers its name. */
struct world_node *world_add_balancer(struct world *world);
struct world_node *world_add_server(struct world *world,
				    const struct service *service);

/** Kills @node and starts a new server of @service at its address. */
struct world_node *world_reuse_address(struct world_node *node,
				       const struct service *service);

/** Puts @node in the draining state: it admits no new connections. */
void world_drain(struct world_node *node);

struct world_node *world_find_node(struct world *world, const char *name);

/** Starts a process as a new instance without state, ending a running one. */
void world_start_node(struct world_node *node);

/** Ends a process at once; its backend server keeps running. */
void world_kill_node(struct world_node *node);

/** Replaces an agent by a new instance that takes over its connections. */
void world_replace_agent(struct world_node *node);

/** Restarts the backend server; it is cold for @cold_ms. */
void world_restart_server(struct world_node *node, int64_t cold_ms);

/** The process whose backend server has @caller's connection, or NULL. */
struct world_node *world_find_owner(struct world *world,
				    const struct caller *caller);

/** Applies world->manifest on the platform under its release number. */
enum status_code world_apply(struct world *world, struct status *status);

/**
 * Two operators apply different manifests as the next release at once: the
 * second one's write precedes that of the first. Returns the first operator's
 * status and sets @second_status to that of the second.
 */
enum status_code world_apply_concurrently(struct world *world,
					  struct status *second_status);

/** Puts @zone out of service, or back in service, by an order on the platform
 * beside the manifest. */
void world_order_zone(struct world *world, const struct name *zone, bool out);

/** Restores the platform's store from its backup; its watches fail. */
void world_restore_store(struct world *world);

/** Changes an object of another user of the platform's store @n times. */
void world_write_other_objects(struct world *world, int n);

/** Advances the virtual clock by @ms. */
void world_run(struct world *world, int64_t ms);

/** Reads a counter of one process; false when none has that name. */
bool world_node_read_figure(const struct world_node *node, const char *name,
			    double *value);

/** Resets the meters of control bytes of all processes. */
void world_reset_meters(struct world *world);

/** Reads a figure of the whole run; false when none has that name. */
bool world_read_figure(struct world *world, const char *name, double *value);

#endif
