#include "tarragonflow/admit/work_left.h"

#include <glib.h>
#include <math.h>

#include "tarragonflow/admit/admit.h"
#include "tarragonflow/admit/waiting_syns.h"
#include "tarragonflow/net/packet.h"

/* Load above ADMIT_LOAD_SLOTS_FULL. */
#define LOAD_ABOVE (PACKET_LOAD_SCALE - ADMIT_LOAD_SLOTS_FULL)
/* Requests per slot, less one, that take half of LOAD_ABOVE: 20 and 40 requests
 * per slot then differ by more than 5,000. */
#define HALF_RANGE 12.0
/* A SYN that can no longer meet its objective is served after the others,
 * except for the turns of the oldest. */
#define LATE_SYN_WEIGHT (1.0 / WAITING_OLDEST_INTERVAL)

double work_left(const struct cost *cost, uint32_t slots, int64_t now_ms)
{
	double mean_ms = cost_mean_ms(cost);
	double now = cost->n_uncounted, expected = 0, waiting = 0,
	       n_waiting = 0, late;

	for (size_t i = 0; i < cost->n_running; i++)
		now += cost_request_remaining_ms(cost, &cost->running[i],
						 now_ms) /
		       mean_ms;
	for (uint8_t i = 0; i < COST_KINDS; i++) {
		const struct cost_kind *kind = &cost->kinds[i];

		if (kind->waiting)
			waiting += kind->waiting * cost_expected_ms(cost, i) /
				   mean_ms;
		n_waiting += kind->waiting;
		if (kind->open)
			expected += kind->open * cost_busy_share(cost, i);
	}
	late = MIN(cost->late, n_waiting) * (1 - LATE_SYN_WEIGHT);
	if (n_waiting)
		waiting *= (n_waiting - late) / n_waiting;
	return (now + waiting + expected + n_waiting - late) / 2 /
	       MAX(slots, 1);
}

uint16_t work_left_encode(double per_slot)
{
	double above = per_slot - 1;

	if (above <= 0)
		return (uint16_t)lround(MAX(per_slot, 0) *
					ADMIT_LOAD_SLOTS_FULL);
	return (uint16_t)lround(ADMIT_LOAD_SLOTS_FULL +
				LOAD_ABOVE * above / (above + HALF_RANGE));
}

double work_left_decode(uint16_t load)
{
	double above = ((double)MIN(load, PACKET_LOAD_SCALE - 1) -
			ADMIT_LOAD_SLOTS_FULL) /
		       LOAD_ABOVE;

	if (above <= 0)
		return (double)load / ADMIT_LOAD_SLOTS_FULL;
	return 1 + HALF_RANGE * above / (1 - above);
}

uint16_t work_left_add(uint16_t load, double requests, uint32_t slots)
{
	uint16_t sum;

	if (load >= PACKET_LOAD_SCALE)
		return load;
	sum = work_left_encode(work_left_decode(load) +
			       requests / MAX(slots, 1));
	/* Also a request that is less than a unit counts. */
	return MAX(sum, (uint16_t)(load + 1));
}
