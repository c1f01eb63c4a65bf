#include "tarragonflow/admit/slowness.h"

#include <glib.h>
#include <stdlib.h>

/* Fewer peers do not tell what is usual. */
#define PEERS_MIN 2
/* Answers of equal servers differ by this much over some tens of them. */
#define SLOW_FACTOR_MIN 1.8
/* A server this much slower gets next to nothing; more changes nothing. */
#define SLOW_FACTOR_MAX 8.0
/* Below this the way and the size of requests differ more than servers do. */
#define USUAL_MIN_MS 20

static int compare_ms(const void *a, const void *b)
{
	return *(const uint16_t *)a - *(const uint16_t *)b;
}

double slowness_factor(double own_ms, uint16_t *peers_ms, size_t n)
{
	double usual_ms, factor;

	if (n < PEERS_MIN || own_ms <= 0)
		return 1;
	qsort(peers_ms, n, sizeof(*peers_ms), compare_ms);
	usual_ms = MAX(peers_ms[(n - 1) / 2], USUAL_MIN_MS);
	factor = own_ms / usual_ms;
	return factor < SLOW_FACTOR_MIN ? 1 : MIN(factor, SLOW_FACTOR_MAX);
}
