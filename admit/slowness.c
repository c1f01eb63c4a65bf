#include "tarragonflow/admit/slowness.h"

#include <glib.h>
#include <stdlib.h>

/* The median of fewer peers is not meaningful. */
#define PEERS_MIN 2
/* Mean response times of equal servers differ by up to this factor over some
 * tens of responses. */
#define SLOW_FACTOR_MIN 1.8
/* A server that is slower by this factor gets almost no connections; a greater
 * factor would make no difference. */
#define SLOW_FACTOR_MAX 8.0
/* Lower bound for the median: shorter response times depend more on the network
 * and the size of requests than on the server. */
#define MEDIAN_MIN_MS 20

static int compare_ms(const void *a, const void *b)
{
	return *(const uint16_t *)a - *(const uint16_t *)b;
}

double slowness_factor(double own_ms, uint16_t *peers_ms, size_t n)
{
	double median_ms, factor;

	if (n < PEERS_MIN || own_ms <= 0)
		return 1;
	qsort(peers_ms, n, sizeof(*peers_ms), compare_ms);
	median_ms = MAX(peers_ms[(n - 1) / 2], MEDIAN_MIN_MS);
	factor = own_ms / median_ms;
	return factor < SLOW_FACTOR_MIN ? 1 : MIN(factor, SLOW_FACTOR_MAX);
}
