#include "tarragonflow/control/byte_budget.h"

#include <glib.h>

#define PER_BYTE 1000
/* Shares of the budget; together just below the whole. */
#define RATE_PERCENT 56
#define BURST_PERCENT 40

void byte_budget_init(struct byte_budget *budget, int64_t bytes_per_s,
		      int64_t now_ms)
{
	budget->rate = bytes_per_s * RATE_PERCENT / 100;
	budget->burst = bytes_per_s * BURST_PERCENT / 100;
	budget->level = budget->burst * PER_BYTE;
	budget->filled_ms = now_ms;
}

void byte_budget_fill(struct byte_budget *budget, int64_t now_ms)
{
	int64_t passed_ms = CLAMP(now_ms - budget->filled_ms, 0, 1000000);

	budget->filled_ms = now_ms;
	budget->level = MIN(budget->level + passed_ms * budget->rate,
			    budget->burst * PER_BYTE);
}

void byte_budget_take(struct byte_budget *budget, size_t bytes)
{
	budget->level -= (int64_t)bytes * PER_BYTE;
}

size_t byte_budget_room(const struct byte_budget *budget)
{
	return budget->level > 0 ? (size_t)(budget->level / PER_BYTE) : 0;
}
