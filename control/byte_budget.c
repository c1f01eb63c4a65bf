#include "tarragonflow/control/byte_budget.h"

#include <glib.h>

/* Units of the level per byte. */
#define LEVEL_PER_BYTE 1000
/* Shares of the limit; their sum stays just below 100. */
#define RATE_PERCENT 56
#define BURST_PERCENT 40

void byte_budget_init(struct byte_budget *budget, int64_t bytes_per_s,
		      int64_t now_ms)
{
	budget->rate = bytes_per_s * RATE_PERCENT / 100;
	budget->burst = bytes_per_s * BURST_PERCENT / 100;
	budget->level = budget->burst * LEVEL_PER_BYTE;
	budget->refilled_ms = now_ms;
}

void byte_budget_refill(struct byte_budget *budget, int64_t now_ms)
{
	int64_t passed_ms = CLAMP(now_ms - budget->refilled_ms, 0, 1000000);

	budget->refilled_ms = now_ms;
	budget->level = MIN(budget->level + passed_ms * budget->rate,
			    budget->burst * LEVEL_PER_BYTE);
}

void byte_budget_charge(struct byte_budget *budget, size_t bytes)
{
	budget->level -= (int64_t)bytes * LEVEL_PER_BYTE;
}

size_t byte_budget_available(const struct byte_budget *budget)
{
	return budget->level > 0 ? (size_t)(budget->level / LEVEL_PER_BYTE) : 0;
}
