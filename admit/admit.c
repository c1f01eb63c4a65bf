#include "tarragonflow/admit/admit.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "tarragonflow/admit/slowness.h"
#include "tarragonflow/net/packet.h"

/* An answer is slow at this many times the usual time, and some slack. */
#define SLOW_FACTOR 4
#define SLOW_SLACK_MS 5
#define SLOW_SIGNS 3
/* Slow answers that come together tell of one stall, not of the server. */
#define SLOW_BURST_MS 20
#define RESET_SIGNS 4
/* Growth of the usual time at each step: a lasting change is learned. */
#define USUAL_GROWTH 1.02
/* A server that never was quick is taken as it is after this time. */
#define ACCEPT_SLOW_MS 60000
#define DEFAULT_ANSWER_MS 50
#define BACK_OFF_MIN_MS 500
#define BACK_OFF_MAX_MS 8000
/* About the time of a few requests: a full server has room again. */
#define RETURNED_PAUSE_MS 100
#define USUAL_MIN_MS 1.0
#define MS_PER_S 1000
/* Time over which running requests are averaged. */
#define MEAN_MS 1000.0
/* A caller's first request follows its opening packet by two ways. */
#define REQUEST_FOLLOWS_MS 8
/* Requests that the server may have beside those in its slots, so that none
 * of these stands idle for the way of the next opening packet. */
#define SLOTS_AHEAD 1
/* Share of the newest answer in the mean, 1/16. */
#define ANSWER_SHARE 16
/* A cold server counts as this much slower, and as this busy beforehand. */
#define COLD_FACTOR 1.6
#define COLD_EXTRA 0.1
/* So much busier a server counts beforehand for each time that it takes
 * longer than its peers. */
#define SLOW_EXTRA 0.15
/* Share of its distance to its peers that the mean time of a slow server
 * loses each second in which it answered nothing: some 5 s to the next try. */
#define SLOW_FORGET 0.15
/* Share of the newest outcome in the share of requests that break off, 1/4. */
#define BROKEN_SHARE 4
/* Two or three in a row, or most of many: the server fails. */
#define BROKEN_LIMIT 0.5
/* A failing server gets one connection in this time, to show its recovery. */
#define BROKEN_GAP_MS 500
/* A limit counts as used from this share of it on, 1/4. */
#define USED_SHARE 4

uint32_t admit_cold_limit(const struct admit *admit)
{
	return MAX(admit->connections_max / ADMIT_COLD_SHARE, 1);
}

void admit_init(struct admit *admit, uint32_t connections_max,
		uint32_t slots_max, int64_t now_ms)
{
	memset(admit, 0, sizeof(*admit));
	admit->connections_max = connections_max;
	admit->slots_max = MAX(slots_max, 1);
	admit->limit = admit_cold_limit(admit);
	admit->answer_ms = DEFAULT_ANSWER_MS;
	admit->next_step_ms = now_ms + ADMIT_STEP_MS;
	admit->last_good_ms = now_ms;
	admit->back_off_ms = BACK_OFF_MIN_MS;
	admit->slow_factor = 1;
}

void admit_report(struct admit *admit, uint32_t slots, int64_t warm_in_ms,
		  int64_t cold_per_s, int64_t now_ms)
{
	admit->reported = true;
	admit->slots_max = MAX(slots, 1);
	admit->limit = admit->connections_max;
	admit->cold_until_ms = now_ms + warm_in_ms;
	admit->cold_gap_ms =
		cold_per_s ? (MS_PER_S + cold_per_s - 1) / cold_per_s : 0;
}

void admit_running(struct admit *admit, int change, int64_t now_ms)
{
	double keep = exp(-(double)(now_ms - admit->mean_ms) / MEAN_MS);

	admit->mean_running =
		keep * admit->mean_running + (1 - keep) * admit->running;
	admit->mean_ms = now_ms;
	if (change > 0)
		admit->running++;
	else if (change < 0 && admit->running)
		admit->running--;
}

void admit_opened(struct admit *admit, int64_t now_ms)
{
	admit->opened_ms[admit->next_opened++ % ADMIT_OPENED] = now_ms;
}

bool admit_busy(const struct admit *admit, int64_t now_ms)
{
	uint32_t expected = admit->running;

	if (!admit->reported)
		return false;
	for (int i = 0; i < ADMIT_OPENED; i++)
		if (admit->opened_ms[i] &&
		    now_ms - admit->opened_ms[i] <= REQUEST_FOLLOWS_MS)
			expected++;
	return expected >= admit->slots_max + SLOTS_AHEAD;
}

/* Spreads the connections of a cold server evenly over each second. */
static bool cold_gate(struct admit *admit, int64_t now_ms)
{
	if (now_ms >= admit->cold_until_ms || !admit->cold_gap_ms)
		return true;
	if (now_ms < admit->next_cold_ms)
		return false;
	admit->next_cold_ms = now_ms + admit->cold_gap_ms;
	return true;
}

bool admit_fails(const struct admit *admit)
{
	return admit->broken_share > BROKEN_LIMIT;
}

bool admit_broke_off(struct admit *admit, int64_t now_ms)
{
	bool before = admit_fails(admit);

	admit->broken_share += (1 - admit->broken_share) / BROKEN_SHARE;
	if (admit_fails(admit))
		admit->down_until_ms =
			MAX(admit->down_until_ms, now_ms + BROKEN_GAP_MS);
	admit->trial |= admit_fails(admit);
	return !before && admit_fails(admit);
}

enum admit_verdict admit_open(struct admit *admit, int64_t now_ms)
{
	if (admit->draining)
		return ADMIT_DRAINING;
	if (now_ms < admit->down_until_ms)
		return ADMIT_DOWN;
	if (admit->open + admit->unproven >= admit->connections_max)
		return ADMIT_FULL;
	if (admit->open >= admit->limit || !cold_gate(admit, now_ms))
		return ADMIT_COLD;
	if (admit_fails(admit)) {
		admit->trial = true;
		admit->down_until_ms = now_ms + BROKEN_GAP_MS;
	}
	admit_take_over(admit);
	return ADMIT_YES;
}

void admit_take_over(struct admit *admit)
{
	admit->open++;
	admit->peak = MAX(admit->peak, admit->open);
}

void admit_close(struct admit *admit)
{
	if (admit->open)
		admit->open--;
}

void admit_restarted(struct admit *admit)
{
	admit->unproven += admit->open;
	admit->open = 0;
	admit->peak = 0;
}

void admit_close_unproven(struct admit *admit)
{
	if (admit->unproven)
		admit->unproven--;
}

void admit_proven(struct admit *admit)
{
	admit_close_unproven(admit);
	admit_take_over(admit);
}

uint32_t admit_slots(const struct admit *admit)
{
	uint64_t slots = (uint64_t)admit->slots_max * admit->limit /
			 admit->connections_max;

	return (uint32_t)MAX(slots, 1);
}

enum admit_verdict admit_slot_take(struct admit *admit, int64_t now_ms)
{
	if (now_ms < admit->down_until_ms)
		return ADMIT_DOWN;
	if (admit->slots_used >= admit->slots_max)
		return ADMIT_FULL;
	if (admit->slots_used >= admit_slots(admit))
		return ADMIT_COLD;
	admit->slots_used++;
	return ADMIT_YES;
}

void admit_slot_release(struct admit *admit)
{
	if (admit->slots_used)
		admit->slots_used--;
}

static void clear_signs(struct admit *admit)
{
	admit->good = 0;
	admit->slow = 0;
	admit->resets = 0;
	admit->accepted = 0;
	admit->peak = admit->open;
}

void admit_turn_cold(struct admit *admit, int64_t now_ms)
{
	if (admit->reported)
		return;
	admit->limit = admit_cold_limit(admit);
	admit->next_step_ms = now_ms + ADMIT_STEP_MS;
	admit->last_good_ms = now_ms;
	clear_signs(admit);
}

void admit_accepted(struct admit *admit)
{
	admit->back_off_ms = BACK_OFF_MIN_MS;
	admit->accepted++;
}

void admit_pushed(struct admit *admit)
{
	/* Where callers ask, the answers tell more. */
	if (admit->usual_ms <= 0)
		admit->good++;
}

static void slow_sign(struct admit *admit, int64_t now_ms)
{
	if (admit->slow && now_ms - admit->last_slow_ms < SLOW_BURST_MS)
		return;
	admit->last_slow_ms = now_ms;
	admit->slow++;
	if (admit->slow >= SLOW_SIGNS && admit->limit > admit_cold_limit(admit))
		admit_turn_cold(admit, now_ms);
}

static bool is_slow(const struct admit *admit, int64_t took_ms)
{
	if (admit->usual_ms <= 0)
		return took_ms > admit->answer_ms;
	return (double)took_ms > admit->usual_ms * SLOW_FACTOR + SLOW_SLACK_MS;
}

void admit_answered(struct admit *admit, int64_t took_ms, int64_t now_ms)
{
	bool slow = is_slow(admit, took_ms);
	double ms = MAX((double)took_ms, USUAL_MIN_MS);

	admit->answered = true;
	admit->broken_share -= admit->broken_share / BROKEN_SHARE;
	if (!admit_fails(admit) && admit->trial) {
		admit->trial = false;
		admit->down_until_ms = now_ms;
	}
	if (admit->mean_answer_ms <= 0)
		admit->mean_answer_ms = ms;
	admit->mean_answer_ms += (ms - admit->mean_answer_ms) / ANSWER_SHARE;

	if (slow && now_ms - admit->last_good_ms > ACCEPT_SLOW_MS) {
		admit->usual_ms = ms;
		slow = false;
	}
	if (slow) {
		slow_sign(admit, now_ms);
		return;
	}
	admit->good++;
	admit->last_good_ms = now_ms;
	if (admit->usual_ms <= 0 || ms < admit->usual_ms)
		admit->usual_ms = ms;
}

void admit_unanswered(struct admit *admit, int64_t now_ms)
{
	slow_sign(admit, now_ms);
}

bool admit_reset(struct admit *admit, int64_t now_ms)
{
	if (++admit->resets < RESET_SIGNS)
		return false;
	admit_turn_cold(admit, now_ms);
	return true;
}

void admit_refused(struct admit *admit, int64_t now_ms)
{
	admit_turn_cold(admit, now_ms);
	admit->down_until_ms = now_ms + admit->back_off_ms;
	admit->back_off_ms = MIN(admit->back_off_ms * 2, BACK_OFF_MAX_MS);
}

void admit_returned(struct admit *admit, int64_t now_ms)
{
	admit->down_until_ms =
		MAX(admit->down_until_ms, now_ms + RETURNED_PAUSE_MS);
}

void admit_hear_usual(struct admit *admit, uint16_t usual_ms)
{
	if (usual_ms && (admit->usual_ms <= 0 || usual_ms < admit->usual_ms))
		admit->usual_ms = usual_ms;
}

uint16_t admit_load_unit(const struct admit *admit)
{
	return (uint16_t)MAX(PACKET_LOAD_SCALE / admit->connections_max, 1);
}

/* The load of the requests: now and of late in equal parts. */
static uint64_t busy_load(const struct admit *admit, int64_t now_ms)
{
	double keep = exp(-(double)(now_ms - admit->mean_ms) / MEAN_MS);
	double mean = keep * admit->mean_running + (1 - keep) * admit->running;
	double busy = ((mean + admit->running) / 2 + admit->waiting) /
		      admit->slots_max;

	if (now_ms < admit->cold_until_ms)
		busy = (busy + COLD_EXTRA) * COLD_FACTOR;
	if (admit->slow_factor > 1)
		busy = (busy + (admit->slow_factor - 1) * SLOW_EXTRA) *
		       admit->slow_factor;
	return (uint64_t)(busy * ADMIT_LOAD_BUSY);
}

void admit_compare(struct admit *admit, uint16_t *peers_ms, size_t n)
{
	double factor = slowness_factor(admit->mean_answer_ms, peers_ms, n);

	if (factor > 1 && !admit->answered)
		admit->mean_answer_ms *= 1 - SLOW_FORGET * (1 - 1 / factor);
	admit->answered = false;
	admit->slow_factor = factor;
}

uint16_t admit_load(const struct admit *admit, int64_t now_ms)
{
	uint64_t load = (uint64_t)admit->open * PACKET_LOAD_SCALE;

	if (admit->draining || now_ms < admit->down_until_ms ||
	    admit->open >= admit->limit ||
	    admit->open + admit->unproven >= admit->connections_max)
		return PACKET_LOAD_FULL;
	load /= admit->connections_max;
	if (admit->reported)
		load += busy_load(admit, now_ms);
	return (uint16_t)MIN(load, PACKET_LOAD_SCALE);
}

void admit_drain(struct admit *admit)
{
	admit->draining = true;
}

void admit_undrain(struct admit *admit)
{
	admit->draining = false;
}

/* Answers came as usual, or there are none to be had for a long time. */
static bool proven(const struct admit *admit, int64_t now_ms)
{
	if (admit->slow)
		return false;
	return admit->good || (admit->accepted &&
			       now_ms - admit->last_good_ms > ACCEPT_SLOW_MS);
}

static bool may_rise(const struct admit *admit, int64_t now_ms)
{
	return proven(admit, now_ms) &&
	       admit->peak >= admit->limit / USED_SHARE &&
	       admit->limit < admit->connections_max;
}

void admit_tick(struct admit *admit, int64_t now_ms)
{
	if (now_ms < admit->next_step_ms)
		return;
	admit->next_step_ms = now_ms + ADMIT_STEP_MS;
	if (may_rise(admit, now_ms))
		admit->limit = MIN(admit->limit * 2, admit->connections_max);
	admit->usual_ms *= USUAL_GROWTH;
	clear_signs(admit);
}
