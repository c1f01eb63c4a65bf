#include "tarragonflow/admit/cost.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Expected work and busy share while nothing has been observed. */
#define DEFAULT_WORK_MS 50.0
#define DEFAULT_BUSY_SHARE 0.01
/*
 * A response's weight decays by this share with each further response of its
 * kind. At 30 requests/s a load change is tracked within seconds, and some of
 * the 3% that take longest are still remembered.
 */
#define RESPONSE_DECAY (1.0 / 200)
/* Time constant of the decay of open time and requests, ms. */
#define OPEN_TIME_CONSTANT_MS 10000.0
/* Weight of the expectation in the estimate from observations: that of one
 * response, and of an open time of a few requests, ms. */
#define PRIOR_RESPONSES 1.0
#define PRIOR_OPEN_TIME_MS 200.0
/* Time after which a request without response no longer counts when its route
 * has no timeout, ms. */
#define DEFAULT_TIMEOUT_MS 10000
/* Exponent of the buckets: four to a power of two. */
#define BUCKETS_PER_DOUBLING 4

void cost_init(struct cost *cost)
{
	memset(cost, 0, sizeof(*cost));
}

uint8_t cost_find_kind(struct cost *cost, uint64_t key, uint32_t timeout_ms)
{
	for (uint8_t i = 1; key && i < COST_KINDS; i++) {
		struct cost_kind *kind = &cost->kinds[i];

		if (kind->key && kind->key != key)
			continue;
		kind->key = key;
		kind->timeout_ms = timeout_ms;
		return i;
	}
	return 0;
}

static void update_open_time(struct cost_kind *kind, int64_t now_ms)
{
	double elapsed_ms = (double)(now_ms - kind->updated_ms), decay;

	if (elapsed_ms <= 0)
		return;
	decay = exp(-elapsed_ms / OPEN_TIME_CONSTANT_MS);
	kind->open_time_ms =
		kind->open_time_ms * decay + kind->open * elapsed_ms;
	kind->requests *= decay;
	kind->updated_ms = now_ms;
}

/* Adds @change to @count, which doesn't fall below zero. */
static void adjust(uint32_t *count, int change)
{
	if (change > 0)
		(*count)++;
	else if (change < 0 && *count)
		(*count)--;
}

void cost_adjust_open(struct cost *cost, uint8_t kind, int change,
		      int64_t now_ms)
{
	update_open_time(&cost->kinds[kind], now_ms);
	adjust(&cost->kinds[kind].open, change);
}

void cost_adjust_waiting(struct cost *cost, uint8_t kind, int change)
{
	adjust(&cost->kinds[kind].waiting, change);
}

/* Index of the bucket of @ms. */
static int bucket_of(double ms)
{
	int i = (int)(log2(MAX(ms, 1)) * BUCKETS_PER_DOUBLING);

	return MIN(i, COST_BUCKETS - 1);
}

/* Upper bound of bucket @i, ms. */
static double bucket_bound_ms(int i)
{
	return exp2((double)(i + 1) / BUCKETS_PER_DOUBLING);
}

static void record_response(struct cost_kind *kind, double ms)
{
	int bucket = bucket_of(ms);

	for (int i = 0; i < COST_BUCKETS; i++) {
		kind->counts[i] *= 1 - RESPONSE_DECAY;
		kind->sums_ms[i] *= 1 - RESPONSE_DECAY;
	}
	kind->counts[bucket]++;
	kind->sums_ms[bucket] += MAX(ms, 1);
	kind->n = kind->n * (1 - RESPONSE_DECAY) + 1;
	kind->sum_ms = kind->sum_ms * (1 - RESPONSE_DECAY) + MAX(ms, 1);
}

/* Gives free slots to the requests that arrived first, as a server's queue
 * does. */
static void assign_slots(struct cost *cost, uint32_t slots, int64_t now_ms)
{
	uint32_t in_use = 0;

	for (size_t i = 0; i < cost->n_running; i++)
		in_use += cost->running[i].has_slot;
	for (size_t i = 0; i < cost->n_running && in_use < slots; i++) {
		struct cost_request *request = &cost->running[i];

		if (request->has_slot)
			continue;
		request->has_slot = true;
		request->started_ms = (uint32_t)now_ms;
		request->started_at_once = request->arrived_ms ==
					   request->started_ms;
		in_use++;
	}
}

void cost_start_request(struct cost *cost, uint8_t kind, uint32_t slots,
			int64_t now_ms)
{
	update_open_time(&cost->kinds[kind], now_ms);
	cost->kinds[kind].requests++;
	if (cost->n_running == COST_RUNNING_MAX) {
		cost->n_uncounted++;
		return;
	}
	cost->running[cost->n_running++] = (struct cost_request){
		.arrived_ms = (uint32_t)now_ms,
		.kind = kind,
	};
	assign_slots(cost, slots, now_ms);
}

void cost_end_request(struct cost *cost, uint8_t kind, uint32_t arrived_ms,
		      bool responded, uint32_t slots, int64_t now_ms)
{
	struct cost_request *request = NULL;

	/* Requests of a kind that arrived in the same millisecond are alike. */
	for (size_t i = 0; i < cost->n_running && !request; i++)
		if (cost->running[i].kind == kind &&
		    cost->running[i].arrived_ms == arrived_ms)
			request = &cost->running[i];
	if (!request) {
		adjust(&cost->n_uncounted, -1);
		return;
	}
	if (responded && request->started_at_once)
		record_response(&cost->kinds[kind],
				(uint32_t)now_ms - request->arrived_ms);
	cost->n_running--;
	memmove(request, request + 1,
		(size_t)(&cost->running[cost->n_running] - request) *
			sizeof(*request));
	assign_slots(cost, slots, now_ms);
}

void cost_forget_running(struct cost *cost)
{
	cost->n_running = 0;
	cost->n_uncounted = 0;
}

void cost_forget_open(struct cost *cost)
{
	for (int i = 0; i < COST_KINDS; i++)
		cost->kinds[i].open = 0;
}

double cost_mean_ms(const struct cost *cost)
{
	double n = PRIOR_RESPONSES, sum_ms = PRIOR_RESPONSES * DEFAULT_WORK_MS;

	for (int i = 0; i < COST_KINDS; i++) {
		n += cost->kinds[i].n;
		sum_ms += cost->kinds[i].sum_ms;
	}
	return sum_ms / n;
}

double cost_expected_ms(const struct cost *cost, uint8_t kind)
{
	const struct cost_kind *observed = &cost->kinds[kind];

	return (observed->sum_ms + PRIOR_RESPONSES * cost_mean_ms(cost)) /
	       (observed->n + PRIOR_RESPONSES);
}

/*
 * The mean excess over @age_ms of the response times above it. Few or none were
 * observed at a great age. There the expectation counts: a request that has run
 * for long runs as long again, as with heavy-tailed work.
 */
double cost_remaining_ms(const struct cost *cost, uint8_t kind, double age_ms)
{
	const struct cost_kind *observed = &cost->kinds[kind];
	double n = PRIOR_RESPONSES, excess_ms;
	int first = bucket_of(age_ms);
	double bound_ms = bucket_bound_ms(first);
	double width_ms = bound_ms - bucket_bound_ms(first - 1);

	excess_ms = PRIOR_RESPONSES * MAX(cost_expected_ms(cost, kind), age_ms);
	for (int i = first + 1; i < COST_BUCKETS; i++) {
		n += observed->counts[i];
		excess_ms +=
			observed->sums_ms[i] - observed->counts[i] * age_ms;
	}
	/* The part of the bucket that is above the age. */
	if (age_ms < bound_ms) {
		double above = observed->counts[first] *
			       MIN((bound_ms - age_ms) / width_ms, 1);

		n += above;
		excess_ms += above * (bound_ms - age_ms) / 2;
	}
	return excess_ms / n;
}

double cost_request_remaining_ms(const struct cost *cost,
				 const struct cost_request *request,
				 int64_t now_ms)
{
	uint32_t timeout_ms = cost->kinds[request->kind].timeout_ms;
	uint32_t waited_ms = (uint32_t)now_ms - request->arrived_ms;
	double remaining_ms;

	if (!timeout_ms)
		timeout_ms = DEFAULT_TIMEOUT_MS;
	if (waited_ms >= timeout_ms)
		return 0;
	remaining_ms = request->has_slot
			       ? cost_remaining_ms(cost, request->kind,
						   (uint32_t)now_ms -
							   request->started_ms)
			       : cost_expected_ms(cost, request->kind);
	return MIN(remaining_ms, timeout_ms - waited_ms);
}

/* The slots become free as if remaining times were distributed exponentially:
 * the first one after the inverse of the sum of their rates. */
double cost_slot_wait_ms(const struct cost *cost, uint32_t slots,
			 int64_t now_ms)
{
	double mean_ms = cost_mean_ms(cost), rate = 0, queued_ms = 0;
	uint32_t in_use = 0, uncounted_in_use;

	for (size_t i = 0; i < cost->n_running; i++) {
		const struct cost_request *request = &cost->running[i];
		double remaining_ms =
			cost_request_remaining_ms(cost, request, now_ms);

		if (request->has_slot) {
			in_use++;
			rate += 1 / MAX(remaining_ms, 1);
		} else {
			queued_ms += remaining_ms;
		}
	}
	uncounted_in_use =
		MIN(cost->n_uncounted, slots > in_use ? slots - in_use : 0);
	if (!slots || in_use + uncounted_in_use < slots)
		return 0;
	rate += uncounted_in_use / mean_ms;
	queued_ms += (cost->n_uncounted - uncounted_in_use) * mean_ms;
	return 1 / rate + queued_ms / slots;
}

double cost_busy_share(const struct cost *cost, uint8_t kind)
{
	const struct cost_kind *observed = &cost->kinds[kind];
	double open_time_ms = PRIOR_OPEN_TIME_MS, requests, share;

	requests = PRIOR_OPEN_TIME_MS * DEFAULT_BUSY_SHARE / cost_mean_ms(cost);
	for (int i = 0; i < COST_KINDS; i++) {
		open_time_ms += cost->kinds[i].open_time_ms;
		requests += cost->kinds[i].requests;
	}
	requests *= PRIOR_OPEN_TIME_MS / open_time_ms;
	share = (requests + observed->requests) /
		(PRIOR_OPEN_TIME_MS + observed->open_time_ms) *
		cost_expected_ms(cost, kind);
	return MIN(share, 1);
}
