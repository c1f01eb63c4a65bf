#ifndef TARRAGONFLOW_BENCH_H
#define TARRAGONFLOW_BENCH_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * A figure is one measured value with a name, a unit and an optional bound.
 * Each is printed as `name value unit bound ok|FAIL` and collected for the
 * JSON output.
 */
enum bench_kind {
	/** Deterministic: the same for the same seed. */
	BENCH_DECISION,
	/** Depends on the machine. */
	BENCH_TIMING,
};

enum bench_bound {
	/** No bound; the value is only reported. */
	BENCH_REPORT,
	BENCH_AT_MOST,
	BENCH_AT_LEAST,
	BENCH_EQUAL,
};

struct bench {
	/** From the environment variable SEED, default 1. */
	uint64_t seed;
	/** JSON array of all figures so far. */
	json_t *figures;
	/** Number of bounds that did not hold and of failed set-up steps. */
	unsigned int failed;
};

/** A group of figures that run together; bench/main.c lists all groups. */
struct bench_group {
	const char *name;
	void (*run)(struct bench *bench);
};

/**
 * Prints and collects one figure. A @value that is not within @bound of @limit
 * counts as a failure.
 */
void bench_figure(struct bench *bench, enum bench_kind kind, const char *name,
		  double value, const char *unit, enum bench_bound bound,
		  double limit);

/** Returns the number in environment variable @name, or @fallback. */
uint64_t bench_env(const char *name, uint64_t fallback);

/** Returns the monotonic time, ns. */
int64_t bench_now_ns(void);

extern const struct bench_group bench_admit;
extern const struct bench_group bench_balance;
extern const struct bench_group bench_chains;
extern const struct bench_group bench_churn;
extern const struct bench_group bench_route;
extern const struct bench_group bench_order;
extern const struct bench_group bench_overload;
extern const struct bench_group bench_overload_kinds;
extern const struct bench_group bench_packets;
extern const struct bench_group bench_pipeline;
extern const struct bench_group bench_flows;
extern const struct bench_group bench_ring;
extern const struct bench_group bench_startup;
extern const struct bench_group bench_release;
extern const struct bench_group bench_membership;
extern const struct bench_group bench_platform;

#endif
