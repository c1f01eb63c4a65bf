#ifndef TARRAGONFLOW_COMMON_HISTOGRAM_H
#define TARRAGONFLOW_COMMON_HISTOGRAM_H

#include <stdatomic.h>
#include <stdint.h>

#include "tarragonflow/common/str.h"

/**
 * How long something took, in buckets of powers of two ms: the packaged
 * HdrHistogram is not to be had for C, and operators ask for the magnitude.
 * One thread records, any may read.
 */
#define HISTOGRAM_BUCKETS 14

struct histogram {
	/** The last one counts what takes longer than all others. */
	_Atomic uint64_t counts[HISTOGRAM_BUCKETS + 1];
	_Atomic uint64_t sum_ms;
};

void histogram_record(struct histogram *histogram, int64_t ms);

/** Upper bound of bucket @i, ms. */
int64_t histogram_bound_ms(int i);

/** Appends the Prometheus text of @histogram as the metric @name. */
void histogram_write(const struct histogram *histogram, const char *name,
		     struct strbuf *out);

#endif
