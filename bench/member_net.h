#ifndef TARRAGONFLOW_BENCH_MEMBER_NET_H
#define TARRAGONFLOW_BENCH_MEMBER_NET_H

#include <glib.h>

#include "tarragonflow/control/control.h"

/**
 * Many control cores in one process, joined by messages in memory that
 * arrive after 1 to 3 ms. They begin knowing one another, as after a long
 * time of quiet; the platform is not there.
 */
struct member_net;

/** Longest way of a message, ms; a power of two above it is the ring. */
#define MEMBER_NET_RING 8

struct net_node {
	struct control_sink sink;
	struct member_net *net;
	struct counters counters;
	struct control control;
	bool up;
	/** Bytes sent in the present second, and in the worst. */
	uint64_t second, worst;
};

struct member_net {
	struct net_node *nodes;
	size_t n, n_zones;
	GRand *rand;
	int64_t now_ms;
	double loss;
	/** Messages by the millisecond of their arrival. */
	GPtrArray *ring[MEMBER_NET_RING];
	uint64_t bytes, messages, largest;
};

/** @n members in @n_zones zones, @bytes_per_s for each. */
void member_net_init(struct member_net *net, size_t n, size_t n_zones,
		     int64_t bytes_per_s, uint64_t seed);
void member_net_finish(struct member_net *net);

/** Lets @ms pass. */
void member_net_run(struct member_net *net, int64_t ms);

/** Begins all sums and worst seconds anew. */
void member_net_reset(struct member_net *net);

/** Pairs of a running member and a dead one that it holds for active. */
size_t member_net_unaware(const struct member_net *net);

/** Pairs of running members of which one holds the other for not active. */
size_t member_net_mistaken(const struct member_net *net);

/** Bytes that the state of one member takes. */
size_t member_net_memory(const struct net_node *node);

#endif
