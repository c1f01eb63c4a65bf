#ifndef TARRAGONFLOW_TESTS_WORLD_INTERNAL_H
#define TARRAGONFLOW_TESTS_WORLD_INTERNAL_H

#include "world.h"

/** What the parts of the world share. */
enum event_kind {
	EVENT_DATA,
	EVENT_CONTROL,
	EVENT_FROM_SERVER,
	EVENT_TO_CALLER,
	EVENT_RESULT,
	EVENT_PULL,
	EVENT_PULLED,
};

/** Something that arrives at a later time. */
struct event {
	int64_t at_ms;
	uint64_t order;
	enum event_kind kind;
	struct endpoint to;
	struct strbuf data;
	/** EVENT_RESULT and of pulls: for whom, and which of its runs. */
	struct world_node *node;
	uint64_t instance;
	struct store_result result;
};

/** Adds an event that is due in @delay_ms; the caller fills the rest. */
struct event *world_event_add(struct world *world, enum event_kind kind,
			      int64_t delay_ms);

/** Starts a call of @node; its result arrives as EVENT_RESULT. */
void world_platform_call(struct world_node *node,
			 const struct store_request *request);

/** Answers the watches that have something to tell or waited long enough. */
void world_platform_serve(struct world *world);

/** Compares what @node has in force with what operators were told. */
void world_check_manifest(struct world *world, struct world_node *node);

/** Counts @bytes that @node sent for control. */
void world_control_meter(struct world_node *node, size_t bytes);

/** Spoils a control message on its way: forged, truncated, replayed. */
void world_control_spoil(struct world *world, struct event *event);

/** Notes a packet that goes to a dead process. */
void world_control_dead_packet(const struct world_node *peer,
			       const uint8_t *inner, size_t len);

/** What the running processes hold of each other; false: no such figure. */
bool world_control_figure(struct world *world, const char *name, double *value);

void world_platform_init(struct world *world);
void world_platform_finish(struct world *world);

/** Virtual time at which every run starts, ms. */
#define WORLD_EPOCH_MS 1000000

/** Hands a late answer of a backend server to its agent. */
void world_deliver_answer(const struct event *event);

/** A random one-way delay, ms. */
int64_t world_delay(struct world *world);

/** True in @share of the cases. */
bool world_chance(struct world *world, double share);

/** Puts a message on its way; it may get lost, doubled or late. */
void world_transmit(struct world *world, enum event_kind kind,
		    const struct endpoint *to, const void *head,
		    size_t head_len, const void *body, size_t body_len);

struct world_node *world_node_at(struct world *world, const struct endpoint *to,
				 bool control);
bool world_sides_meet(const struct world_node *a, const struct world_node *b);
bool world_node_runs(const struct world_node *node);

/** Joins the packet sinks of @node to the network. */
void world_network_attach(struct world_node *node);

void world_from_callers(struct caller_pool *pool, const uint8_t *data,
			size_t len);
void world_from_backend(struct backend *backend, const uint8_t *data,
			size_t len);
void world_deliver_data(struct world *world, const struct event *event);

#endif
