#ifndef TARRAGONFLOW_COMMON_CLOCK_H
#define TARRAGONFLOW_COMMON_CLOCK_H

#include <stdint.h>

/**
 * The only source of time, in milliseconds. Decision code never reads a
 * clock itself: its callers, the I/O layer or a test with a manual clock,
 * pass the time as `now_ms`.
 */
struct clock {
	/** Current time in ms; the zero point is arbitrary. */
	int64_t (*now)(const struct clock *clock);
	/** Current time of a manual clock, in ms. */
	int64_t manual_ms;
};

/** Deadline that is never reached. */
#define CLOCK_NEVER INT64_MAX

/** Makes @clock return the time of CLOCK_MONOTONIC. */
void clock_init_monotonic(struct clock *clock);

/** Makes @clock return @start_ms until clock_advance() is called. */
void clock_init_manual(struct clock *clock, int64_t start_ms);

/** Advances a manual clock by @ms. */
void clock_advance(struct clock *clock, int64_t ms);

/** Returns the current time in ms. */
int64_t clock_now(const struct clock *clock);

/**
 * Wall-clock time in ms since 1970; only for instance numbers and log lines,
 * as this clock may jump.
 */
int64_t clock_wall_ms(void);

/** Blocks the calling thread for @ms. */
void clock_sleep(int64_t ms);

#endif
