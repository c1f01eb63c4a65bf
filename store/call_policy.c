#include "tarragonflow/store/call_policy.h"

#include <glib.h>

/* Shortest timeout of a read, ms: 100 times the usual response time. Short
 * timeouts are spread between once and twice this value. */
#define SHORT_READ_MS 500
/* One read in this many has the timeout CALL_TIMEOUT_MS, for a slow platform.
 */
#define LONG_READ_SHARE 4
#define MILLI 1000
#define DOUBLINGS_MAX 16

void call_budget_init(struct call_budget *budget, int64_t rate_per_s,
		      int64_t burst, int64_t now_ms)
{
	budget->rate_per_s = rate_per_s;
	budget->burst = burst;
	budget->millitokens = burst * MILLI;
	budget->refilled_ms = now_ms;
}

/* A rate of one call per second adds one millitoken per millisecond. */
static void budget_refill(struct call_budget *budget, int64_t now_ms)
{
	int64_t capacity = budget->burst * MILLI;
	int64_t elapsed_ms = MAX(now_ms - budget->refilled_ms, 0);

	budget->refilled_ms = now_ms;
	if (elapsed_ms >= capacity / budget->rate_per_s)
		budget->millitokens = capacity;
	else
		budget->millitokens =
			MIN(capacity, budget->millitokens +
					      elapsed_ms * budget->rate_per_s);
}

bool call_budget_acquire(struct call_budget *budget, int64_t now_ms)
{
	budget_refill(budget, now_ms);
	if (budget->millitokens < MILLI)
		return false;
	budget->millitokens -= MILLI;
	return true;
}

void backoff_init(struct backoff *backoff, int64_t base_ms, int64_t max_ms)
{
	backoff->base_ms = base_ms;
	backoff->max_ms = max_ms;
	backoff->failures = 0;
}

void backoff_reset(struct backoff *backoff)
{
	backoff->failures = 0;
}

int64_t backoff_next(struct backoff *backoff, uint64_t random)
{
	unsigned int doublings = MIN(backoff->failures, DOUBLINGS_MAX);
	int64_t wait_ms = MIN(backoff->base_ms << doublings, backoff->max_ms);

	backoff->failures++;
	return wait_ms / 2 + (int64_t)(random % (uint64_t)(wait_ms / 2 + 1));
}

int64_t read_timeout_ms(uint64_t random)
{
	if (random % LONG_READ_SHARE == 0)
		return CALL_TIMEOUT_MS;
	return SHORT_READ_MS +
	       (int64_t)(random / LONG_READ_SHARE % SHORT_READ_MS);
}
