#ifndef TARRAGONFLOW_ADMIT_COST_H
#define TARRAGONFLOW_ADMIT_COST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Cost model of the requests at one backend server.
 *
 * Load pattern: requests differ widely in cost, and a few take many times as
 * long as the others. The number of running requests then says little about
 * when a slot becomes free, and the number of open connections little about the
 * requests that they will send. The model learns both per kind of request: the
 * distribution of response times, and the requests per second of open time of a
 * connection. A kind is a route, identified by a hash of its address and port.
 * Pure functions: the current time is a parameter.
 */

/** Kinds of the model. The first one stands for all kinds that found no entry
 * of their own. */
#define COST_KINDS 16

/** Buckets of response times: each bound is 2^(1/4) times the one before it,
 * from 1 ms to about 16 s. */
#define COST_BUCKETS 56

/** Running requests whose age is known; further ones are only counted. */
#define COST_RUNNING_MAX 64

/** What is known of a kind of request. Counts and sums are weighted: old
 * observations decay. */
struct cost_kind {
	/** Hash of the route's address and port; 0: the entry is free. */
	uint64_t key;
	/** Number and sum of the response times in each bucket, ms, and of all
	 * buckets. */
	double counts[COST_BUCKETS], sums_ms[COST_BUCKETS];
	double n, sum_ms;
	/** Time for which connections were open, ms, requests sent on them, and
	 * when both were updated, ms. */
	double open_time_ms, requests;
	int64_t updated_ms;
	/** Time after which callers abandon a request, ms; 0: unknown. */
	uint32_t timeout_ms;
	/** Connections that are open, and SYNs that wait for a slot. */
	uint32_t open, waiting;
};

/** A request at the server without a response yet. Times are ms modulo 2^32. */
struct cost_request {
	uint32_t arrived_ms;
	/** When the server got a free slot for it, if it has one. */
	uint32_t started_ms;
	uint8_t kind;
	bool has_slot;
	/** A slot was free on arrival, so the response time is the work. */
	bool started_at_once;
};

struct cost {
	struct cost_kind kinds[COST_KINDS];
	/** The first n_running are in use, in order of arrival. */
	struct cost_request running[COST_RUNNING_MAX];
	size_t n_running;
	/** Running requests beyond COST_RUNNING_MAX. */
	uint32_t n_uncounted;
	/** Waiting SYNs that can no longer meet their objective, when last
	 * counted. */
	uint32_t late;
};

void cost_init(struct cost *cost);

/**
 * Index of the kind with the hash @key, which gets an entry unless the table is
 * full. @timeout_ms is the request timeout of its route, 0 if unknown.
 */
uint8_t cost_find_kind(struct cost *cost, uint64_t key, uint32_t timeout_ms);

/** Records that a connection of @kind was opened (@change 1) or closed (-1). */
void cost_adjust_open(struct cost *cost, uint8_t kind, int change,
		      int64_t now_ms);

/** Records that a SYN of @kind waits (@change 1) or no longer does (-1). */
void cost_adjust_waiting(struct cost *cost, uint8_t kind, int change);

/** Records that a request arrived at a server with @slots slots. */
void cost_start_request(struct cost *cost, uint8_t kind, uint32_t slots,
			int64_t now_ms);

/**
 * Records the end of a request that arrived at @arrived_ms: with a response, or
 * without (@responded false), such as when its connection was closed.
 */
void cost_end_request(struct cost *cost, uint8_t kind, uint32_t arrived_ms,
		      bool responded, uint32_t slots, int64_t now_ms);

/** Forgets all running requests: the server has ended. */
void cost_forget_running(struct cost *cost);

/** Forgets all open connections. */
void cost_forget_open(struct cost *cost);

/** Mean work of a request over all kinds, ms. */
double cost_mean_ms(const struct cost *cost);

/** Expected work of a new request of @kind, ms. */
double cost_expected_ms(const struct cost *cost, uint8_t kind);

/** Expected remaining work of a request of @kind that has run for @age_ms. */
double cost_remaining_ms(const struct cost *cost, uint8_t kind, double age_ms);

/** Expected remaining work of the running request @request, ms. */
double cost_request_remaining_ms(const struct cost *cost,
				 const struct cost_request *request,
				 int64_t now_ms);

/**
 * Expected time until a server with @slots slots has a free one for a request
 * that arrives now, ms; 0: one is free. Running requests without a slot get one
 * before it.
 */
double cost_slot_wait_ms(const struct cost *cost, uint32_t slots,
			 int64_t now_ms);

/** Expected share of the open time of a connection of @kind in which a request
 * runs, 0 to 1. */
double cost_busy_share(const struct cost *cost, uint8_t kind);

#endif
