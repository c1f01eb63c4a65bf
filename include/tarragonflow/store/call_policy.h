#ifndef TARRAGONFLOW_STORE_CALL_POLICY_H
#define TARRAGONFLOW_STORE_CALL_POLICY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Token bucket that limits how often one process calls the platform. Pure; time
 * is passed in.
 */
struct call_budget {
	/** Calls that may start now, in thousandths of a call. */
	int64_t millitokens;
	/** When the bucket was last refilled, ms. */
	int64_t refilled_ms;
	int64_t rate_per_s;
	/** Largest number of calls that may start at once. */
	int64_t burst;
};

void call_budget_init(struct call_budget *budget, int64_t rate_per_s,
		      int64_t burst, int64_t now_ms);

/** Consumes the token for one call; false if the bucket is empty. */
bool call_budget_acquire(struct call_budget *budget, int64_t now_ms);

/** Longest timeout of a call, ms: ten times the response time of the slowest
 * platform that users have documented. */
#define CALL_TIMEOUT_MS 3000

/**
 * Timeout of a read, ms. Calls that a platform accepted without responding get
 * no response after its recovery either, so most reads time out early and are
 * repeated. Some have a long timeout, because a response may be slow. @random
 * spreads the timeouts, as all processes may read at the same moment.
 */
int64_t read_timeout_ms(uint64_t random);

/** Exponential back-off: a longer wait after each failure in a row. */
struct backoff {
	int64_t base_ms;
	int64_t max_ms;
	/** Failures since the last success. */
	unsigned int failures;
};

void backoff_init(struct backoff *backoff, int64_t base_ms, int64_t max_ms);

/** Records a success: the wait after the next failure is the base time. */
void backoff_reset(struct backoff *backoff);

/**
 * Records a failure and returns the time to wait, ms: the base time, doubled
 * with each failure up to `max_ms`, and reduced at @random by up to half.
 */
int64_t backoff_next(struct backoff *backoff, uint64_t random);

#endif
