#ifndef TARRAGONFLOW_CONTROL_BYTE_BUDGET_H
#define TARRAGONFLOW_CONTROL_BYTE_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * A token bucket that limits the control bytes that a process sends. Rate and
 * burst together stay within the limit in any one second, as long as the
 * messages that are sent without checking the budget (probes and responses)
 * are small. Those may make the budget negative; other messages then wait.
 */
struct byte_budget {
	/** Rate at which the budget refills. */
	int64_t bytes_per_s;
	/** Largest number of bytes that may be sent at once. */
	int64_t burst;
	/** Bytes that may be sent now, in thousandths of a byte. */
	int64_t millibytes;
	/** When the budget was last refilled, ms. */
	int64_t refilled_ms;
};

void byte_budget_init(struct byte_budget *budget, int64_t bytes_per_s,
		      int64_t now_ms);

/** Adds the bytes of the time from the last refill until @now_ms. */
void byte_budget_refill(struct byte_budget *budget, int64_t now_ms);

/** Subtracts @bytes even if the budget becomes negative. */
void byte_budget_charge(struct byte_budget *budget, size_t bytes);

/** Subtracts @bytes if any are available, or if the debt is then at most half a
 * burst; false otherwise. */
bool byte_budget_borrow(struct byte_budget *budget, size_t bytes);

/** Bytes that may be sent now; 0 while the budget is negative. */
size_t byte_budget_available(const struct byte_budget *budget);

#endif
