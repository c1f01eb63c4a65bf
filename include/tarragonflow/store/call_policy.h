#ifndef TARRAGONFLOW_STORE_CALL_POLICY_H
#define TARRAGONFLOW_STORE_CALL_POLICY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * How often one process may call the platform: a token bucket over all
 * calls, and an exponential back-off with jitter after failures. Pure; time
 * and random numbers are passed in.
 */
struct call_budget {
	/** Calls that may start now, in thousandths. */
	int64_t millitokens;
	int64_t filled_ms;
	int64_t rate_per_s;
	int64_t burst;
};

void call_budget_init(struct call_budget *budget, int64_t rate_per_s,
		      int64_t burst, int64_t now_ms);

/** Takes the right to one call; false when the budget is spent. */
bool call_budget_take(struct call_budget *budget, int64_t now_ms);

/** Longest time to wait for the answer to a call, ms: ten times what the
 * slowest platform of the users' pages takes. */
#define CALL_TIMEOUT_MS 3000

/**
 * Time to wait for the answer to a read, ms. A platform that takes calls and
 * does not answer them gives no answer after it has returned either, so most
 * reads are given up early and asked anew; some wait long, as an answer may
 * be slow. Spread by @random, since all processes may ask at the same moment.
 */
int64_t read_timeout_ms(uint64_t random);

struct backoff {
	int64_t base_ms;
	int64_t max_ms;
	/** Failures since the last success. */
	unsigned int failures;
};

void backoff_init(struct backoff *backoff, int64_t base_ms, int64_t max_ms);

/** A success: the next failure waits for the base time again. */
void backoff_reset(struct backoff *backoff);

/**
 * Time to wait after one more failure, ms: from half to all of the base
 * doubled with each failure, at most `max_ms`; @random spreads it.
 */
int64_t backoff_next(struct backoff *backoff, uint64_t random);

#endif
