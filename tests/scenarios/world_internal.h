#ifndef TARRAGONFLOW_TESTS_WORLD_INTERNAL_H
#define TARRAGONFLOW_TESTS_WORLD_INTERNAL_H

#include "world.h"

/** Kinds of simulated events. */
enum event_kind {
	/** A data packet arrives at a balancer or agent. */
	EVENT_DATA_PACKET,
	/** A control message arrives. */
	EVENT_CONTROL_MESSAGE,
	/** A delayed response of a backend server reaches its agent. */
	EVENT_SERVER_RESPONSE,
	/** A packet arrives at its caller. */
	EVENT_CALLER_PACKET,
	/** The result of a platform request arrives. */
	EVENT_STORE_RESULT,
	/** A request for a peer's configuration arrives at the peer. */
	EVENT_PULL_REQUEST,
	/** The peer's response arrives, empty when the pull failed. */
	EVENT_PULL_RESPONSE,
};

/** A message that arrives at a later time. */
struct event {
	int64_t arrival_ms;
	/** Orders events of the same time. */
	uint64_t insertion_order;
	enum event_kind kind;
	struct endpoint to;
	struct strbuf data;
	/** Of results, pulls and server responses: the requesting node. */
	struct world_node *node;
	/** Instance of `node`; a later instance ignores results and pulls. */
	uint64_t instance;
	struct store_result result;
};

/** Adds an event that arrives in @delay_ms; the caller fills the rest. */
struct event *world_event_add(struct world *world, enum event_kind kind,
			      int64_t delay_ms);

/** Sends a request of @node; its result arrives as EVENT_STORE_RESULT. */
void world_platform_call(struct world_node *node,
			 const struct store_request *request);

/** Ends the watch of @node whose request has @id without a result. */
void world_platform_cancel(struct world_node *node, uint64_t id);

/** Responds to watches that have a change to report or timed out. */
void world_platform_serve_watches(struct world *world);

/** Members that run but that the platform's copy of the roster lacks. */
unsigned int world_count_unstored_members(struct world *world);

/** Pairs of a running process and a zone whose order it has wrong. */
unsigned int world_count_wrong_zones(struct world *world);

/** Compares the manifest in force at @node with the accepted ones. */
void world_check_manifest(struct world *world, struct world_node *node);

/** Adds @bytes of control traffic sent by @node to its meter. */
void world_count_control_bytes(struct world_node *node, size_t bytes);

/** Forges, truncates or replays a control message at random. */
void world_inject_control_faults(struct world *world, struct event *event);

/** Records the time of a SYN to the killed process @peer. */
void world_record_dead_packet(const struct world_node *peer,
			      const uint8_t *inner, size_t len);

/** Reads a figure of the control cores; false when none has that name. */
bool world_read_control_figure(struct world *world, const char *name,
			       double *value);

void world_platform_init(struct world *world);
void world_platform_finish(struct world *world);

/** Virtual time at the start of a run, ms. */
#define WORLD_EPOCH_MS 1000000

/** Passes a delayed response of a backend server to its agent. */
void world_deliver_server_response(const struct event *event);

/** A random one-way delay, ms. */
int64_t world_random_delay(struct world *world);

/** Returns true with probability @share. */
bool world_random_chance(struct world *world, double share);

/** Sends a message; faults may lose, duplicate or delay it. */
void world_transmit(struct world *world, enum event_kind kind,
		    const struct endpoint *to, const void *head,
		    size_t head_len, const void *body, size_t body_len);

/** Finds a node by its control or data address; prefers one that is up. */
struct world_node *world_find_node_at(struct world *world,
				      const struct endpoint *to, bool control);

/** Whether no network partition separates @a and @b. */
bool world_nodes_connected(const struct world_node *a,
			   const struct world_node *b);

/** Whether @node is up and not paused. */
bool world_node_is_running(const struct world_node *node);

/** Connects the packet sink of @node to the simulated network. */
void world_network_attach(struct world_node *node);

/** Sends a caller's packet to a random balancer. */
void world_send_from_callers(struct caller_pool *pool, const uint8_t *data,
			     size_t len);

/** Passes a backend server's packet to its agent, late when it is cold. */
void world_send_from_backend(struct backend *backend, const uint8_t *data,
			     size_t len);

/** Passes a packet to the core of the balancer or agent addressed. */
void world_deliver_data(struct world *world, const struct event *event);

#endif
