#include "tarragonflow/store/call_policy.h"

#include <glib.h>

/* Shortest wait for an answer: a hundred times what one usually takes. */
#define SHORT_READ_MS 500
/* One read in so many waits for a slow platform. */
#define LONG_READ_TURNS 4
#define MILLI 1000
#define DOUBLINGS_MAX 16

void call_budget_init(struct call_budget *budget, int64_t rate_per_s,
		      int64_t burst, int64_t now_ms)
{
	budget->rate_per_s = rate_per_s;
	budget->burst = burst;
	budget->millitokens = burst * MILLI;
	budget->filled_ms = now_ms;
}

/* A rate per second is as many thousandths per millisecond. */
static void budget_fill(struct call_budget *budget, int64_t now_ms)
{
	int64_t full = budget->burst * MILLI;
	int64_t passed_ms = MAX(now_ms - budget->filled_ms, 0);

	budget->filled_ms = now_ms;
	if (passed_ms >= full / budget->rate_per_s)
		budget->millitokens = full;
	else
		budget->millitokens =
			MIN(full, budget->millitokens +
					  passed_ms * budget->rate_per_s);
}

bool call_budget_take(struct call_budget *budget, int64_t now_ms)
{
	budget_fill(budget, now_ms);
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
	if (random % LONG_READ_TURNS == 0)
		return CALL_TIMEOUT_MS;
	return SHORT_READ_MS +
	       (int64_t)(random / LONG_READ_TURNS % SHORT_READ_MS);
}
