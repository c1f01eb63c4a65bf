#include "tarragonflow/admit/admit.h"

#include <glib.h>
#include <string.h>

static uint32_t cold_limit(const struct admit *admit)
{
	return MAX(admit->connections_max / ADMIT_COLD_SHARE, 1);
}

void admit_init(struct admit *admit, uint32_t connections_max, int64_t now_ms)
{
	memset(admit, 0, sizeof(*admit));
	admit->connections_max = connections_max;
	admit->limit = cold_limit(admit);
	admit->next_step_ms = now_ms + ADMIT_STEP_MS;
}

enum admit_verdict admit_open(struct admit *admit)
{
	if (admit->draining)
		return ADMIT_DRAINING;
	if (admit->open >= admit->connections_max)
		return ADMIT_FULL;
	if (admit->open >= admit->limit)
		return ADMIT_COLD;
	admit->open++;
	return ADMIT_YES;
}

void admit_close(struct admit *admit)
{
	if (admit->open)
		admit->open--;
}

void admit_answered(struct admit *admit)
{
	admit->answered++;
}

void admit_turn_cold(struct admit *admit, int64_t now_ms)
{
	admit->limit = cold_limit(admit);
	admit->answered = 0;
	admit->next_step_ms = now_ms + ADMIT_STEP_MS;
}

void admit_drain(struct admit *admit)
{
	admit->draining = true;
}

void admit_tick(struct admit *admit, int64_t now_ms)
{
	if (now_ms < admit->next_step_ms)
		return;
	admit->next_step_ms = now_ms + ADMIT_STEP_MS;
	/* Doubles after a step in which the server proved itself. */
	if (admit->answered && admit->limit < admit->connections_max)
		admit->limit = MIN(admit->limit * 2, admit->connections_max);
	admit->answered = 0;
}
