#ifndef TARRAGONFLOW_COMMON_LOG_H
#define TARRAGONFLOW_COMMON_LOG_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Structured log of state changes on standard output, through log4c: lines
 * `event=NAME at_ms=MS key=value ...`. Logging never blocks the caller.
 * Events that occur per packet or per request are counters instead.
 */
enum log_level {
	LOG_LEVEL_DEBUG,
	LOG_LEVEL_INFO,
	LOG_LEVEL_WARN,
	LOG_LEVEL_ERROR,
};

/** Limits the log lines of one kind per second; initialised to zero. */
struct log_rate_limit {
	/** Lines allowed or suppressed in the current second. */
	uint32_t requested;
	/** End of the current second, ms. */
	int64_t window_end_ms;
};

/**
 * Whether one more line may be written when @per_s lines a second are allowed.
 * The first call of a second stores in @suppressed how many lines were
 * suppressed in the last second with calls; other calls store 0.
 */
bool log_rate_limit_allow(struct log_rate_limit *limit, uint32_t per_s,
			  int64_t now_ms, uint32_t *suppressed);

/** Starts the log; lines below @threshold are not written. */
void log_init(enum log_level threshold);

/** Changes the threshold. */
void log_set_threshold(enum log_level threshold);

/** Writes the queued lines and ends the log. */
void log_finish(void);

/** Writes a line of @event with formatted `key=value` pairs. */
void log_event(enum log_level level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#endif
