#ifndef TARRAGONFLOW_COMMON_HISTOGRAM_H
#define TARRAGONFLOW_COMMON_HISTOGRAM_H

#include <stdatomic.h>
#include <stdint.h>

#include "tarragonflow/common/str.h"

/**
 * Histogram of durations with buckets of powers of two, in ms. HdrHistogram
 * is not packaged for C, and operators need only the order of magnitude. One
 * thread records, any thread may read.
 */
#define HISTOGRAM_BUCKETS 14

struct histogram {
	/** The last element counts durations above all bucket bounds. */
	_Atomic uint64_t counts[HISTOGRAM_BUCKETS + 1];
	_Atomic uint64_t sum_ms;
};

void histogram_record(struct histogram *histogram, int64_t ms);

/** Upper bound of bucket @i, in ms, inclusive. */
int64_t histogram_bound_ms(int i);

/** Appends @histogram to @out in Prometheus text format, as metric @name. */
void histogram_write(const struct histogram *histogram, const char *name,
		     struct strbuf *out);

#endif
