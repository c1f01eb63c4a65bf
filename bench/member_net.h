#ifndef TARRAGONFLOW_BENCH_MEMBER_NET_H
#define TARRAGONFLOW_BENCH_MEMBER_NET_H

#include <glib.h>

#include "tarragonflow/control/control.h"

/**
 * Simulated network of many control cores in one process. Messages are
 * delivered in memory after 1 to 3 ms. Every core starts with a complete
 * roster, as in a deployment that has long been idle. There is no platform.
 */
struct member_net;

/**
 * Slots of the delivery ring, one per ms: a power of two above the longest
 * delay of a message.
 */
#define MEMBER_NET_DELAY_SLOTS 8

struct net_node {
	struct control_sink sink;
	struct member_net *net;
	struct counters counters;
	struct control control;
	/** False when the process is stopped. */
	bool up;
	/** Bytes sent in the current second and in the busiest second. */
	uint64_t second_bytes, peak_second_bytes;
};

struct member_net {
	struct net_node *nodes;
	size_t n_nodes, n_zones;
	GRand *rand;
	/** Simulated time, ms. */
	int64_t now_ms;
	/** Probability that a message is lost. */
	double loss;
	/** Messages in transit, by arrival time modulo the ring size. */
	GPtrArray *in_transit[MEMBER_NET_DELAY_SLOTS];
	/** Totals since member_net_reset_totals(), and the largest message. */
	uint64_t sent_bytes, sent_messages, largest_bytes;
};

/**
 * Starts @n_nodes members spread over @n_zones zones; each may send
 * @bytes_per_s.
 */
void member_net_init(struct member_net *net, size_t n_nodes, size_t n_zones,
		     int64_t bytes_per_s, uint64_t seed);
void member_net_finish(struct member_net *net);

/** Advances the simulated time by @ms. */
void member_net_run(struct member_net *net, int64_t ms);

/** Resets all totals and peaks to 0. */
void member_net_reset_totals(struct member_net *net);

/** Counts pairs of a running member and a stopped one it lists as active. */
size_t member_net_undetected(const struct member_net *net);

/** Counts pairs of a running member and another it doesn't list as active. */
size_t member_net_false_positives(const struct member_net *net);

/** Returns the memory that the control core of @node uses, bytes. */
size_t member_net_memory(const struct net_node *node);

#endif
