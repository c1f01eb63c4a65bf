#ifndef TARRAGONFLOW_BENCH_H
#define TARRAGONFLOW_BENCH_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * Collects figures: prints `name value unit bound ok|FAIL` for each and
 * writes the same as JSON. A figure is a decision (equal for equal seeds) or
 * a timing (depends on the machine).
 */
enum bench_kind {
	BENCH_DECISION,
	BENCH_TIMING,
};

enum bench_bound {
	/** No bound; the figure is only told. */
	BENCH_REPORT,
	BENCH_AT_MOST,
	BENCH_AT_LEAST,
	BENCH_EQUAL,
};

struct bench {
	/** From SEED, default 1. */
	uint64_t seed;
	json_t *figures;
	unsigned int failed;
};

/** A group of figures; bench/main.c has the table of all. */
struct bench_group {
	const char *name;
	void (*run)(struct bench *bench);
};

void bench_figure(struct bench *bench, enum bench_kind kind, const char *name,
		  double value, const char *unit, enum bench_bound bound,
		  double limit);

/** A number from the environment, such as SERVERS, or @fallback. */
uint64_t bench_env(const char *name, uint64_t fallback);

/** Monotonic time in ns, for timings. */
int64_t bench_now_ns(void);

extern const struct bench_group bench_admit;
extern const struct bench_group bench_balance;
extern const struct bench_group bench_chains;
extern const struct bench_group bench_churn;
extern const struct bench_group bench_route;
extern const struct bench_group bench_order;
extern const struct bench_group bench_overload;
extern const struct bench_group bench_packets;
extern const struct bench_group bench_pipeline;
extern const struct bench_group bench_flows;
extern const struct bench_group bench_ring;
extern const struct bench_group bench_startup;
extern const struct bench_group bench_release;
extern const struct bench_group bench_membership;
extern const struct bench_group bench_platform;

#endif
