#include "tarragonflow/common/histogram.h"

int64_t histogram_bound_ms(int i)
{
	return (int64_t)1 << i;
}

void histogram_record(struct histogram *histogram, int64_t ms)
{
	int i = 0;

	if (ms < 0)
		ms = 0;
	while (i < HISTOGRAM_BUCKETS && ms > histogram_bound_ms(i))
		i++;
	atomic_fetch_add_explicit(&histogram->counts[i], 1,
				  memory_order_relaxed);
	atomic_fetch_add_explicit(&histogram->sum_ms, (uint64_t)ms,
				  memory_order_relaxed);
}

void histogram_write(const struct histogram *histogram, const char *name,
		     struct strbuf *out)
{
	uint64_t total = 0;

	strbuf_addf(out, "# TYPE %s histogram\n", name);
	for (int i = 0; i < HISTOGRAM_BUCKETS; i++) {
		total += atomic_load(&histogram->counts[i]);
		strbuf_addf(out, "%s_bucket{le=\"%lld\"} %llu\n", name,
			    (long long)histogram_bound_ms(i),
			    (unsigned long long)total);
	}
	total += atomic_load(&histogram->counts[HISTOGRAM_BUCKETS]);
	strbuf_addf(out, "%s_bucket{le=\"+Inf\"} %llu\n%s_sum %llu\n", name,
		    (unsigned long long)total, name,
		    (unsigned long long)atomic_load(&histogram->sum_ms));
	strbuf_addf(out, "%s_count %llu\n", name, (unsigned long long)total);
}
