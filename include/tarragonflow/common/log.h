#ifndef TARRAGONFLOW_COMMON_LOG_H
#define TARRAGONFLOW_COMMON_LOG_H

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

/** Starts logging from @threshold up. */
void log_init(enum log_level threshold);

/** Writes lines from @threshold up from now on. */
void log_set_threshold(enum log_level threshold);
void log_finish(void);

/** Writes one line: @event, then the formatted `key=value` pairs. */
void log_event(enum log_level level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#endif
