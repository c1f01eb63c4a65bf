#include "tarragonflow/admit/admit.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "tarragonflow/admit/slowness.h"
#include "tarragonflow/admit/work_left.h"
#include "tarragonflow/common/clock.h"
#include "tarragonflow/net/packet.h"

/* A response is slow above this multiple of the usual response time, plus some
 * slack. */
#define SLOW_RESPONSE_FACTOR 4
#define SLOW_RESPONSE_SLACK_MS 5
/* This many slow responses between two updates of the limit reset it to that of
 * a cold server. */
#define SLOW_SIGNALS_UNTIL_COLD 3
/* Slow responses within this time of each other have one cause, such as a stall
 * of the server, and count once. */
#define SLOW_SIGNAL_INTERVAL_MS 20
/* This many reset connections between two updates of the limit reset it to that
 * of a cold server. */
#define RESET_SIGNALS_UNTIL_COLD 4
/* The usual response time grows by this factor at each update of the limit, so
 * that it follows a lasting slowdown. */
#define USUAL_RESPONSE_GROWTH 1.02
/* After this time without a response at the usual speed, the current response
 * time becomes the usual one, so that the server counts as warm again. */
#define SLOW_BECOMES_USUAL_MS 60000
#define DEFAULT_RESPONSE_MS 50
/* Time without new connections after the server has refused one; doubles with
 * each further refusal. */
#define REFUSED_PAUSE_MIN_MS 500
#define REFUSED_PAUSE_MAX_MS 8000
/* Time without new connections after the server has returned a SYN: about the
 * duration of a few requests, after which it has free capacity again. */
#define RETURNED_SYN_PAUSE_MS 100
#define RESPONSE_MIN_MS 1.0
#define MS_PER_S 1000
/* Time constant of `mean_running`, ms. */
#define RUNNING_MEAN_TIME_CONSTANT_MS 1000.0
/* A caller's first request arrives within this time after its SYN: one round
 * trip. */
#define FIRST_REQUEST_DELAY_MS 8
/* Requests admitted beyond the server's slots, so that no slot is idle until
 * the next SYN arrives. */
#define REQUESTS_BEYOND_SLOTS 1
/* The newest response has a weight of 1/16 in the mean response time. */
#define RESPONSE_WEIGHT_DIVISOR 16
/* To the load of a cold server this share of all slots is added; the sum is
 * multiplied by the factor. */
#define COLD_SERVER_EXTRA_SLOT_SHARE 0.1
#define COLD_SERVER_LOAD_FACTOR 1.6
/* To the load of a slow server this share of all slots is added for each unit
 * by which its slow_factor exceeds 1. */
#define SLOW_SERVER_EXTRA_SLOT_SHARE 0.15
/* In each second without a response, the mean response time of a slow server
 * shrinks by this share of its excess over the other servers: the server gets
 * its next connection after some 5 s. */
#define SLOW_MEAN_DECAY 0.15
/* The newest request has a weight of 1/4 in the failure rate. */
#define FAILURE_WEIGHT_DIVISOR 4
/* Above this failure rate the server counts as failing: after two or three
 * failures in a row, or when most of many requests fail. */
#define FAILURE_RATE_LIMIT 0.5
/* A failing server gets one connection per this time, to detect its recovery.
 */
#define FAILING_OPEN_INTERVAL_MS 500
/* The limit may rise only when at least 1/4 of it has been in use. */
#define LIMIT_USED_DIVISOR 4

uint32_t admit_cold_limit(const struct admit *admit)
{
	return MAX(admit->connections_max / ADMIT_COLD_DIVISOR, 1);
}

void admit_init(struct admit *admit, uint32_t connections_max,
		uint32_t slots_max, int64_t now_ms)
{
	memset(admit, 0, sizeof(*admit));
	admit->connections_max = connections_max;
	admit->slots_max = MAX(slots_max, 1);
	admit->limit = admit_cold_limit(admit);
	admit->warm_response_ms = DEFAULT_RESPONSE_MS;
	admit->next_increase_ms = now_ms + ADMIT_INCREASE_INTERVAL_MS;
	admit->last_good_ms = now_ms;
	admit->refused_pause_ms = REFUSED_PAUSE_MIN_MS;
	admit->slow_factor = 1;
}

void admit_limit_cold_opens(struct admit *admit, int64_t cold_per_s)
{
	admit->cold_open_interval_ms =
		cold_per_s ? (MS_PER_S + cold_per_s - 1) / cold_per_s : 0;
}

void admit_apply_report(struct admit *admit, uint32_t slots,
			int64_t warmup_left_ms, int64_t cold_per_s,
			int64_t now_ms)
{
	admit->has_server_report = true;
	admit->slots_max = MAX(slots, 1);
	admit->limit = admit->connections_max;
	admit->cold_until_ms = now_ms + warmup_left_ms;
	admit_limit_cold_opens(admit, cold_per_s);
}

void admit_suspect_cold(struct admit *admit)
{
	if (admit->has_server_report && admit->cold_open_interval_ms)
		admit->cold_until_ms = CLOCK_NEVER;
}

void admit_adjust_running(struct admit *admit, int change, int64_t now_ms)
{
	double decay = exp(-(double)(now_ms - admit->mean_updated_ms) /
			   RUNNING_MEAN_TIME_CONSTANT_MS);

	admit->mean_running =
		decay * admit->mean_running + (1 - decay) * admit->running;
	admit->mean_updated_ms = now_ms;
	if (change > 0)
		admit->running++;
	else if (change < 0 && admit->running)
		admit->running--;
}

void admit_start_request(struct admit *admit, uint8_t kind, int64_t now_ms)
{
	admit_adjust_running(admit, 1, now_ms);
	cost_start_request(&admit->cost, kind, admit->slots_max, now_ms);
}

void admit_end_request(struct admit *admit, uint8_t kind, uint32_t started_ms,
		       bool responded, int64_t now_ms)
{
	admit_adjust_running(admit, -1, now_ms);
	cost_end_request(&admit->cost, kind, started_ms, responded,
			 admit->slots_max, now_ms);
}

void admit_adjust_waiting(struct admit *admit, uint8_t kind, int change)
{
	admit->waiting += (uint32_t)change;
	cost_adjust_waiting(&admit->cost, kind, change);
}

void admit_forget_running(struct admit *admit)
{
	admit->running = 0;
	cost_forget_running(&admit->cost);
}

void admit_expect_request(struct admit *admit, int64_t now_ms)
{
	admit->latest_opens_ms[admit->n_opens++ % ADMIT_LATEST_OPENS] = now_ms;
}

bool admit_is_busy(const struct admit *admit, int64_t now_ms)
{
	uint32_t expected = admit->running;

	if (!admit->has_server_report)
		return false;
	for (int i = 0; i < ADMIT_LATEST_OPENS; i++)
		if (admit->latest_opens_ms[i] &&
		    now_ms - admit->latest_opens_ms[i] <=
			    FIRST_REQUEST_DELAY_MS)
			expected++;
	return expected >= admit->slots_max + REQUESTS_BEYOND_SLOTS;
}

/* Spreads new connections to a cold server evenly over time: returns true when
 * one may be opened now, and sets the time of the next one. */
static bool reserve_cold_open(struct admit *admit, int64_t now_ms)
{
	if (now_ms >= admit->cold_until_ms || !admit->cold_open_interval_ms)
		return true;
	if (now_ms < admit->next_cold_open_ms)
		return false;
	admit->next_cold_open_ms = now_ms + admit->cold_open_interval_ms;
	return true;
}

bool admit_is_failing(const struct admit *admit)
{
	return admit->failure_rate > FAILURE_RATE_LIMIT;
}

bool admit_record_abort(struct admit *admit, int64_t now_ms)
{
	bool was_failing = admit_is_failing(admit);

	admit->failure_rate +=
		(1 - admit->failure_rate) / FAILURE_WEIGHT_DIVISOR;
	if (admit_is_failing(admit))
		admit->down_until_ms = MAX(admit->down_until_ms,
					   now_ms + FAILING_OPEN_INTERVAL_MS);
	admit->down_by_failures |= admit_is_failing(admit);
	return !was_failing && admit_is_failing(admit);
}

enum admit_verdict admit_connection(struct admit *admit, int64_t now_ms)
{
	if (admit->draining)
		return ADMIT_DRAINING;
	if (now_ms < admit->down_until_ms)
		return ADMIT_DOWN;
	if (admit->open + admit->unconfirmed >= admit->connections_max)
		return ADMIT_FULL;
	if (admit->open >= admit->limit || !reserve_cold_open(admit, now_ms))
		return ADMIT_COLD;
	if (admit_is_failing(admit)) {
		admit->down_by_failures = true;
		admit->down_until_ms = now_ms + FAILING_OPEN_INTERVAL_MS;
	}
	admit_add_connection(admit);
	return ADMIT_ACCEPTED;
}

void admit_add_connection(struct admit *admit)
{
	admit->open++;
	admit->peak_open = MAX(admit->peak_open, admit->open);
}

void admit_remove_connection(struct admit *admit)
{
	if (admit->open)
		admit->open--;
}

void admit_handle_restart(struct admit *admit)
{
	admit->unconfirmed += admit->open;
	admit->open = 0;
	admit->peak_open = 0;
}

void admit_suspect_connection(struct admit *admit)
{
	admit_remove_connection(admit);
	admit->unconfirmed++;
}

void admit_remove_unconfirmed(struct admit *admit)
{
	if (admit->unconfirmed)
		admit->unconfirmed--;
}

void admit_confirm_connection(struct admit *admit)
{
	admit_remove_unconfirmed(admit);
	admit_add_connection(admit);
}

uint32_t admit_slot_limit(const struct admit *admit)
{
	uint64_t slots = (uint64_t)admit->slots_max * admit->limit /
			 admit->connections_max;

	return (uint32_t)MAX(slots, 1);
}

enum admit_verdict admit_acquire_slot(struct admit *admit, int64_t now_ms)
{
	if (now_ms < admit->down_until_ms)
		return ADMIT_DOWN;
	if (admit->slots_used >= admit->slots_max)
		return ADMIT_FULL;
	if (admit->slots_used >= admit_slot_limit(admit))
		return ADMIT_COLD;
	admit->slots_used++;
	return ADMIT_ACCEPTED;
}

void admit_release_slot(struct admit *admit)
{
	if (admit->slots_used)
		admit->slots_used--;
}

static void clear_signals(struct admit *admit)
{
	admit->good_signals = 0;
	admit->slow_signals = 0;
	admit->reset_signals = 0;
	admit->accept_signals = 0;
	admit->peak_open = admit->open;
}

void admit_enter_cold(struct admit *admit, int64_t now_ms)
{
	if (admit->has_server_report)
		return;
	admit->limit = admit_cold_limit(admit);
	admit->next_increase_ms = now_ms + ADMIT_INCREASE_INTERVAL_MS;
	admit->last_good_ms = now_ms;
	clear_signals(admit);
}

void admit_record_accept(struct admit *admit)
{
	admit->refused_pause_ms = REFUSED_PAUSE_MIN_MS;
	admit->accept_signals++;
}

void admit_record_unrequested_payload(struct admit *admit)
{
	/* Responses to requests are the better signal where there are any. */
	if (admit->usual_ms <= 0)
		admit->good_signals++;
}

static void count_slow_signal(struct admit *admit, int64_t now_ms)
{
	if (admit->slow_signals &&
	    now_ms - admit->last_slow_ms < SLOW_SIGNAL_INTERVAL_MS)
		return;
	admit->last_slow_ms = now_ms;
	admit->slow_signals++;
	if (admit->slow_signals >= SLOW_SIGNALS_UNTIL_COLD &&
	    admit->limit > admit_cold_limit(admit))
		admit_enter_cold(admit, now_ms);
}

static bool is_slow(const struct admit *admit, int64_t response_ms)
{
	if (admit->usual_ms <= 0)
		return response_ms > admit->warm_response_ms;
	return (double)response_ms >
	       admit->usual_ms * SLOW_RESPONSE_FACTOR + SLOW_RESPONSE_SLACK_MS;
}

void admit_record_response(struct admit *admit, int64_t response_ms,
			   int64_t now_ms)
{
	bool slow = is_slow(admit, response_ms);
	double ms = MAX((double)response_ms, RESPONSE_MIN_MS);

	admit->responded = true;
	admit->failure_rate -= admit->failure_rate / FAILURE_WEIGHT_DIVISOR;
	if (!admit_is_failing(admit) && admit->down_by_failures) {
		admit->down_by_failures = false;
		admit->down_until_ms = now_ms;
	}
	if (admit->mean_response_ms <= 0)
		admit->mean_response_ms = ms;
	admit->mean_response_ms +=
		(ms - admit->mean_response_ms) / RESPONSE_WEIGHT_DIVISOR;

	if (slow && now_ms - admit->last_good_ms > SLOW_BECOMES_USUAL_MS) {
		admit->usual_ms = ms;
		slow = false;
	}
	if (slow) {
		count_slow_signal(admit, now_ms);
		return;
	}
	admit->good_signals++;
	admit->last_good_ms = now_ms;
	if (admit->usual_ms <= 0 || ms < admit->usual_ms)
		admit->usual_ms = ms;
}

void admit_record_no_response(struct admit *admit, int64_t now_ms)
{
	count_slow_signal(admit, now_ms);
}

bool admit_record_reset(struct admit *admit, int64_t now_ms)
{
	if (++admit->reset_signals < RESET_SIGNALS_UNTIL_COLD)
		return false;
	admit_enter_cold(admit, now_ms);
	return true;
}

void admit_record_refusal(struct admit *admit, int64_t now_ms)
{
	admit_enter_cold(admit, now_ms);
	admit->down_until_ms = now_ms + admit->refused_pause_ms;
	admit->refused_pause_ms =
		MIN(admit->refused_pause_ms * 2, REFUSED_PAUSE_MAX_MS);
}

void admit_record_returned_syn(struct admit *admit, int64_t now_ms)
{
	admit->down_until_ms =
		MAX(admit->down_until_ms, now_ms + RETURNED_SYN_PAUSE_MS);
}

void admit_update_usual(struct admit *admit, uint16_t usual_ms)
{
	if (usual_ms && (admit->usual_ms <= 0 || usual_ms < admit->usual_ms))
		admit->usual_ms = usual_ms;
}

uint16_t admit_load_per_connection(const struct admit *admit)
{
	return (uint16_t)MAX(PACKET_LOAD_SCALE / admit->connections_max, 1);
}

/* Requests per slot. Their current number and their mean over the last second
 * count equally. */
static double requests_per_slot(const struct admit *admit, int64_t now_ms)
{
	double decay = exp(-(double)(now_ms - admit->mean_updated_ms) /
			   RUNNING_MEAN_TIME_CONSTANT_MS);
	double mean =
		decay * admit->mean_running + (1 - decay) * admit->running;

	return ((mean + admit->running) / 2 + admit->waiting) /
	       admit->slots_max;
}

/* @slot_usage, increased if the server is cold or slow. */
static double weighted_slot_usage(const struct admit *admit, double slot_usage,
				  int64_t now_ms)
{
	if (now_ms < admit->cold_until_ms)
		slot_usage = (slot_usage + COLD_SERVER_EXTRA_SLOT_SHARE) *
			     COLD_SERVER_LOAD_FACTOR;
	if (admit->slow_factor > 1)
		slot_usage = (slot_usage + (admit->slow_factor -
					    1) * SLOW_SERVER_EXTRA_SLOT_SHARE) *
			     admit->slow_factor;
	return slot_usage;
}

/* The load by work left. Connections count as they do beside running requests:
 * a server with all of them in use has a load of PACKET_LOAD_SCALE. */
static uint16_t work_load(const struct admit *admit, int64_t now_ms)
{
	double slot_usage = weighted_slot_usage(
		admit, work_left(&admit->cost, admit->slots_max, now_ms),
		now_ms);
	double connections = (double)admit->open / admit->connections_max *
			     PACKET_LOAD_SCALE / ADMIT_LOAD_SLOTS_FULL;

	return work_left_encode(slot_usage + connections);
}

void admit_compare_peers(struct admit *admit, uint16_t *peers_ms, size_t n)
{
	double factor = slowness_factor(admit->mean_response_ms, peers_ms, n);

	if (factor > 1 && !admit->responded)
		admit->mean_response_ms *=
			1 - SLOW_MEAN_DECAY * (1 - 1 / factor);
	admit->responded = false;
	admit->slow_factor = factor;
}

uint16_t admit_load(const struct admit *admit, int64_t now_ms)
{
	uint64_t load = (uint64_t)admit->open * PACKET_LOAD_SCALE;

	if (admit->draining || now_ms < admit->down_until_ms ||
	    admit->open >= admit->limit ||
	    admit->open + admit->unconfirmed >= admit->connections_max)
		return PACKET_LOAD_FULL;
	if (admit->by_work && admit->has_server_report)
		return work_load(admit, now_ms);
	load /= admit->connections_max;
	if (admit->has_server_report)
		load += (uint64_t)(weighted_slot_usage(
					   admit,
					   requests_per_slot(admit, now_ms),
					   now_ms) *
				   ADMIT_LOAD_SLOTS_FULL);
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

/* Whether, since the last update of the limit, responses came at the usual
 * speed, or the server accepted connections after a long time without responses
 * at that speed. */
static bool seems_warm(const struct admit *admit, int64_t now_ms)
{
	if (admit->slow_signals)
		return false;
	return admit->good_signals ||
	       (admit->accept_signals &&
		now_ms - admit->last_good_ms > SLOW_BECOMES_USUAL_MS);
}

static bool limit_may_rise(const struct admit *admit, int64_t now_ms)
{
	return seems_warm(admit, now_ms) &&
	       admit->peak_open >= admit->limit / LIMIT_USED_DIVISOR &&
	       admit->limit < admit->connections_max;
}

void admit_tick(struct admit *admit, int64_t now_ms)
{
	if (now_ms < admit->next_increase_ms)
		return;
	admit->next_increase_ms = now_ms + ADMIT_INCREASE_INTERVAL_MS;
	if (limit_may_rise(admit, now_ms))
		admit->limit = MIN(admit->limit * 2, admit->connections_max);
	admit->usual_ms *= USUAL_RESPONSE_GROWTH;
	clear_signals(admit);
}
