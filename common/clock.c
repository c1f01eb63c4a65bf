#include "tarragonflow/common/clock.h"

#include <time.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000

static int64_t timespec_ms(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
}

static int64_t monotonic_now(const struct clock *clock)
{
	(void)clock;
	return timespec_ms(CLOCK_MONOTONIC);
}

static int64_t manual_now(const struct clock *clock)
{
	return clock->manual_ms;
}

void clock_init_monotonic(struct clock *clock)
{
	clock->now = monotonic_now;
	clock->manual_ms = 0;
}

void clock_init_manual(struct clock *clock, int64_t start_ms)
{
	clock->now = manual_now;
	clock->manual_ms = start_ms;
}

void clock_advance(struct clock *clock, int64_t ms)
{
	clock->manual_ms += ms;
}

int64_t clock_now(const struct clock *clock)
{
	return clock->now(clock);
}

int64_t clock_wall_ms(void)
{
	return timespec_ms(CLOCK_REALTIME);
}

void clock_sleep(int64_t ms)
{
	struct timespec ts = {
		.tv_sec = ms / MS_PER_S,
		.tv_nsec = (ms % MS_PER_S) * NS_PER_MS,
	};

	nanosleep(&ts, NULL);
}
