#include "bench.h"

#include <glib.h>
#include <stdio.h>
#include <time.h>

#define NS_PER_S 1000000000LL

static bool bound_holds(double value, enum bench_bound bound, double limit)
{
	switch (bound) {
	case BENCH_AT_MOST:
		return value <= limit;
	case BENCH_AT_LEAST:
		return value >= limit;
	case BENCH_EQUAL:
		return value == limit;
	case BENCH_REPORT:
		break;
	}
	return true;
}

void bench_figure(struct bench *bench, enum bench_kind kind, const char *name,
		  double value, const char *unit, enum bench_bound bound,
		  double limit)
{
	static const char *const operators[] = {"-", "<=", ">=", "=="};
	bool holds = bound_holds(value, bound, limit);
	char bound_text[64] = "-";

	if (bound != BENCH_REPORT)
		g_snprintf(bound_text, sizeof(bound_text), "%s%g",
			   operators[bound], limit);
	printf("%s %.6g %s %s %s\n", name, value, unit, bound_text,
	       holds ? "ok" : "FAIL");
	fflush(stdout);
	if (!holds)
		bench->failed++;
	json_array_append_new(
		bench->figures,
		json_pack("{s:s,s:f,s:s,s:s,s:s,s:b}", "name", name, "value",
			  value, "unit", unit, "bound", bound_text, "kind",
			  kind == BENCH_DECISION ? "decision" : "timing", "ok",
			  holds));
}

uint64_t bench_env(const char *name, uint64_t fallback)
{
	const char *text = g_getenv(name);

	return text && *text ? g_ascii_strtoull(text, NULL, 10) : fallback;
}

int64_t bench_now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * NS_PER_S + ts.tv_nsec;
}
