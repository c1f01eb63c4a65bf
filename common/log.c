#include "tarragonflow/common/log.h"

#include <log4c.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "tarragonflow/common/clock.h"

#define LINE_MAX_BYTES 1024
/* Lines that may wait for the writer; further ones are counted and dropped. */
#define QUEUED_LINES_MAX 256

/* Period over which a rate limit counts lines. */
#define RATE_LIMIT_WINDOW_MS 1000

struct log_line {
	int priority;
	char text[LINE_MAX_BYTES];
};

/*
 * Lines go through a bounded ring buffer to a writer thread, so that a stalled
 * reader of standard output blocks only that thread, and callers need little
 * stack.
 */
static struct {
	log4c_category_t *category;
	pthread_mutex_t lock;
	pthread_cond_t writer_wakeup;
	pthread_t writer;
	struct log_line lines[QUEUED_LINES_MAX];
	/* Index of the oldest queued line, and number of queued lines. */
	size_t oldest_index, n_queued;
	/* Lines dropped since the last line was written. */
	unsigned long suppressed;
	int threshold;
	bool running;
} logger = {
	.lock = PTHREAD_MUTEX_INITIALIZER,
	.writer_wakeup = PTHREAD_COND_INITIALIZER,
};

bool log_rate_limit_allow(struct log_rate_limit *limit, uint32_t per_s,
			  int64_t now_ms, uint32_t *suppressed)
{
	*suppressed = 0;
	if (now_ms >= limit->window_end_ms) {
		if (limit->requested > per_s)
			*suppressed = limit->requested - per_s;
		limit->requested = 0;
		limit->window_end_ms = now_ms + RATE_LIMIT_WINDOW_MS;
	}
	return limit->requested++ < per_s;
}

static int log_priority(enum log_level level)
{
	switch (level) {
	case LOG_LEVEL_DEBUG:
		return LOG4C_PRIORITY_DEBUG;
	case LOG_LEVEL_INFO:
		return LOG4C_PRIORITY_INFO;
	case LOG_LEVEL_WARN:
		return LOG4C_PRIORITY_WARN;
	case LOG_LEVEL_ERROR:
		return LOG4C_PRIORITY_ERROR;
	}
	return LOG4C_PRIORITY_ERROR;
}

static void write_line(const struct log_line *line, unsigned long suppressed)
{
	if (suppressed)
		log4c_category_log(logger.category, LOG4C_PRIORITY_WARN,
				   "lines-suppressed count=%lu", suppressed);
	log4c_category_log(logger.category, line->priority, "%s", line->text);
}

static void *writer_thread(void *arg)
{
	unsigned long suppressed;
	struct log_line line;

	(void)arg;
	pthread_mutex_lock(&logger.lock);
	while (logger.running || logger.n_queued) {
		if (!logger.n_queued) {
			pthread_cond_wait(&logger.writer_wakeup, &logger.lock);
			continue;
		}
		line = logger.lines[logger.oldest_index];
		logger.oldest_index =
			(logger.oldest_index + 1) % QUEUED_LINES_MAX;
		logger.n_queued--;
		suppressed = logger.suppressed;
		logger.suppressed = 0;
		pthread_mutex_unlock(&logger.lock);
		write_line(&line, suppressed);
		pthread_mutex_lock(&logger.lock);
	}
	pthread_mutex_unlock(&logger.lock);
	return NULL;
}

void log_init(enum log_level threshold)
{
	log4c_appender_t *appender;

	setvbuf(stdout, NULL, _IOLBF, BUFSIZ);
	log4c_init();
	logger.category = log4c_category_get("tarragonflow");
	appender = log4c_appender_get("stdout");
	log4c_appender_set_type(appender, log4c_appender_type_get("stream"));
	log4c_appender_set_udata(appender, stdout);
	log4c_appender_set_layout(appender, log4c_layout_get("basic"));
	log4c_category_set_appender(logger.category, appender);
	log4c_category_set_priority(logger.category, log_priority(threshold));
	logger.threshold = log_priority(threshold);
	logger.running = true;
	if (pthread_create(&logger.writer, NULL, writer_thread, NULL)) {
		fputs("tarragonflow: cannot create the log thread, no logs\n",
		      stderr);
		logger.running = false;
	}
}

void log_set_threshold(enum log_level threshold)
{
	pthread_mutex_lock(&logger.lock);
	logger.threshold = log_priority(threshold);
	log4c_category_set_priority(logger.category, logger.threshold);
	pthread_mutex_unlock(&logger.lock);
}

void log_finish(void)
{
	if (!logger.running)
		return;
	pthread_mutex_lock(&logger.lock);
	logger.running = false;
	pthread_cond_signal(&logger.writer_wakeup);
	pthread_mutex_unlock(&logger.lock);
	pthread_join(logger.writer, NULL);
	log4c_fini();
}

void log_event(enum log_level level, const char *event, const char *fmt, ...)
{
	int priority = log_priority(level);
	struct log_line *line;
	va_list args;
	int len;

	pthread_mutex_lock(&logger.lock);
	if (!logger.running || priority > logger.threshold) {
		pthread_mutex_unlock(&logger.lock);
		return;
	}
	if (logger.n_queued == QUEUED_LINES_MAX) {
		logger.suppressed++;
		pthread_mutex_unlock(&logger.lock);
		return;
	}
	line = &logger.lines[(logger.oldest_index + logger.n_queued++) %
			     QUEUED_LINES_MAX];
	line->priority = priority;
	len = snprintf(line->text, LINE_MAX_BYTES, "event=%s at_ms=%lld ",
		       event, (long long)clock_wall_ms());
	va_start(args, fmt);
	vsnprintf(line->text + len, LINE_MAX_BYTES - (size_t)len, fmt, args);
	va_end(args);
	pthread_cond_signal(&logger.writer_wakeup);
	pthread_mutex_unlock(&logger.lock);
}
