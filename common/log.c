#include "tarragonflow/common/log.h"

#include <log4c.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "tarragonflow/common/clock.h"

#define LOG_LINE_MAX 1024
/* Lines that may wait for the writer; more are counted and left out. */
#define LOG_LINES 256

/* Lines are counted for so long. */
#define BUDGET_MS 1000

struct line {
	int priority;
	char text[LOG_LINE_MAX];
};

/*
 * Lines go through a bounded ring to a thread of their own: a reader that
 * stalls holds nothing else up, and callers need little stack.
 */
static struct {
	log4c_category_t *category;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	pthread_t writer;
	struct line lines[LOG_LINES];
	size_t first, n;
	/** Left out since the last line that was written. */
	unsigned long suppressed;
	int threshold;
	bool running;
} logger = {
	.lock = PTHREAD_MUTEX_INITIALIZER,
	.wake = PTHREAD_COND_INITIALIZER,
};

bool log_budget_take(struct log_budget *budget, uint32_t per_s, int64_t now_ms,
		     uint32_t *left_out)
{
	*left_out = 0;
	if (now_ms >= budget->until_ms) {
		if (budget->wanted > per_s)
			*left_out = budget->wanted - per_s;
		budget->wanted = 0;
		budget->until_ms = now_ms + BUDGET_MS;
	}
	return budget->wanted++ < per_s;
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

static void write_line(const struct line *line, unsigned long suppressed)
{
	if (suppressed)
		log4c_category_log(logger.category, LOG4C_PRIORITY_WARN,
				   "lines-suppressed count=%lu", suppressed);
	log4c_category_log(logger.category, line->priority, "%s", line->text);
}

static void *writer_thread(void *arg)
{
	unsigned long suppressed;
	struct line line;

	(void)arg;
	pthread_mutex_lock(&logger.lock);
	while (logger.running || logger.n) {
		if (!logger.n) {
			pthread_cond_wait(&logger.wake, &logger.lock);
			continue;
		}
		line = logger.lines[logger.first];
		logger.first = (logger.first + 1) % LOG_LINES;
		logger.n--;
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
		fputs("tarragonflow: no thread for logs, so there are none\n",
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
	pthread_cond_signal(&logger.wake);
	pthread_mutex_unlock(&logger.lock);
	pthread_join(logger.writer, NULL);
	log4c_fini();
}

void log_event(enum log_level level, const char *event, const char *fmt, ...)
{
	int priority = log_priority(level);
	struct line *line;
	va_list args;
	int len;

	pthread_mutex_lock(&logger.lock);
	if (!logger.running || priority > logger.threshold) {
		pthread_mutex_unlock(&logger.lock);
		return;
	}
	if (logger.n == LOG_LINES) {
		logger.suppressed++;
		pthread_mutex_unlock(&logger.lock);
		return;
	}
	line = &logger.lines[(logger.first + logger.n++) % LOG_LINES];
	line->priority = priority;
	len = snprintf(line->text, LOG_LINE_MAX, "event=%s at_ms=%lld ", event,
		       (long long)clock_wall_ms());
	va_start(args, fmt);
	vsnprintf(line->text + len, LOG_LINE_MAX - (size_t)len, fmt, args);
	va_end(args);
	pthread_cond_signal(&logger.wake);
	pthread_mutex_unlock(&logger.lock);
}
