#ifndef TARRAGONFLOW_COMMON_CLOCK_H
#define TARRAGONFLOW_COMMON_CLOCK_H

#include <stdint.h>

/**
 * The one source of time, in milliseconds. Decision cores never read a
 * clock: they are passed `now_ms`, taken from one of these by the I/O edge
 * or by a test that moves a manual clock.
 */
struct clock {
	/** Current time in ms; the zero point is arbitrary. */
	int64_t (*now)(const struct clock *clock);
	/** The time a manual clock shows, in ms. */
	int64_t manual_ms;
};

/** A deadline that never comes. */
#define CLOCK_NEVER INT64_MAX

/** Follows CLOCK_MONOTONIC. */
void clock_init_monotonic(struct clock *clock);

/** Shows @start_ms until clock_advance() moves it. */
void clock_init_manual(struct clock *clock, int64_t start_ms);

/** Moves a manual clock on by @ms. */
void clock_advance(struct clock *clock, int64_t ms);

/** The current time in ms. */
int64_t clock_now(const struct clock *clock);

/** Wall-clock time in ms since 1970; only for instance numbers. */
int64_t clock_wall_ms(void);

/** Blocks the calling thread for @ms. */
void clock_sleep(int64_t ms);

#endif
