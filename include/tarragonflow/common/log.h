#ifndef TARRAGONFLOW_COMMON_LOG_H
#define TARRAGONFLOW_COMMON_LOG_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Structured lines for changes of state, `event=NAME at_ms=MS key=value ...`,
 * over log4c, on standard output. Never blocks the caller.
 * Anything that happens per packet or per request is a counter instead.
 */
enum log_level {
	LOG_LEVEL_DEBUG,
	LOG_LEVEL_INFO,
	LOG_LEVEL_WARN,
	LOG_LEVEL_ERROR,
};

/** How many lines of one kind were wanted in this second; begins as zero. */
struct log_budget {
	uint32_t wanted;
	int64_t until_ms;
};

/**
 * Whether one more line of a kind may be written, at most @per_s a second.
 * With the first one of a new second @left_out is the number that the last one
 * left out, else 0.
 */
bool log_budget_take(struct log_budget *budget, uint32_t per_s, int64_t now_ms,
		     uint32_t *left_out);

/** Starts logging from @threshold up. */
void log_init(enum log_level threshold);

/** Writes lines from @threshold up from now on. */
void log_set_threshold(enum log_level threshold);
void log_finish(void);

/** Writes one line: @event, then the formatted `key=value` pairs. */
void log_event(enum log_level level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#endif
