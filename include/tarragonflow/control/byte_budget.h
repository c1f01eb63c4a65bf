#ifndef TARRAGONFLOW_CONTROL_BYTE_BUDGET_H
#define TARRAGONFLOW_CONTROL_BYTE_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * A token bucket over the control bytes that a process sends. In any one
 * second rate and burst together stay within the budget, as long as what is
 * sent without asking (probes, answers) is small. The level may fall below
 * zero; what asks then waits.
 */
struct byte_budget {
	/** Bytes per second. */
	int64_t rate;
	/** Largest level, bytes. */
	int64_t burst;
	/** Level, thousandths of a byte. */
	int64_t level;
	int64_t filled_ms;
};

void byte_budget_init(struct byte_budget *budget, int64_t bytes_per_s,
		      int64_t now_ms);

/** Adds what came in until @now_ms. */
void byte_budget_fill(struct byte_budget *budget, int64_t now_ms);

/** Takes @bytes, whatever the level is. */
void byte_budget_take(struct byte_budget *budget, size_t bytes);

/** Bytes that may be sent now; never negative. */
size_t byte_budget_room(const struct byte_budget *budget);

#endif
