#include "tarragonflow/control/byte_budget.h"

#include <glib.h>

#define MILLIBYTES_PER_BYTE 1000
/* Shares of the limit per second; together just below 100, so that a burst and
 * the refill stay within the limit in any one second. */
#define RATE_PERCENT 56
#define BURST_PERCENT 40

void byte_budget_init(struct byte_budget *budget, int64_t bytes_per_s,
		      int64_t now_ms)
{
	budget->bytes_per_s = bytes_per_s * RATE_PERCENT / 100;
	budget->burst = bytes_per_s * BURST_PERCENT / 100;
	budget->millibytes = budget->burst * MILLIBYTES_PER_BYTE;
	budget->refilled_ms = now_ms;
}

void byte_budget_refill(struct byte_budget *budget, int64_t now_ms)
{
	int64_t elapsed_ms = CLAMP(now_ms - budget->refilled_ms, 0, 1000000);

	budget->refilled_ms = now_ms;
	budget->millibytes =
		MIN(budget->millibytes + elapsed_ms * budget->bytes_per_s,
		    budget->burst * MILLIBYTES_PER_BYTE);
}

void byte_budget_charge(struct byte_budget *budget, size_t bytes)
{
	budget->millibytes -= (int64_t)bytes * MILLIBYTES_PER_BYTE;
}

size_t byte_budget_available(const struct byte_budget *budget)
{
	return budget->millibytes > 0
		       ? (size_t)(budget->millibytes / MILLIBYTES_PER_BYTE)
		       : 0;
}

bool byte_budget_borrow(struct byte_budget *budget, size_t bytes)
{
	int64_t left =
		budget->millibytes - (int64_t)bytes * MILLIBYTES_PER_BYTE;

	if (!byte_budget_available(budget) &&
	    left < -budget->burst * MILLIBYTES_PER_BYTE / 2)
		return false;
	budget->millibytes = left;
	return true;
}
