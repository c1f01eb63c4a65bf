#include "tarragonflow/common/log.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>

#define LOG_LINE_MAX 1024

static log4c_category_t *category;

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

void log_init(enum log_level threshold)
{
	log4c_appender_t *appender;

	log4c_init();
	category = log4c_category_get("tarragonflow");
	appender = log4c_appender_get("stderr");
	log4c_appender_set_layout(appender, log4c_layout_get("dated"));
	log4c_category_set_appender(category, appender);
	log4c_category_set_priority(category, log_priority(threshold));
}

void log_finish(void)
{
	category = NULL;
	log4c_fini();
}

void log_event(enum log_level level, const char *event, const char *fmt, ...)
{
	char line[LOG_LINE_MAX];
	va_list args;

	if (!category)
		return;
	va_start(args, fmt);
	vsnprintf(line, sizeof(line), fmt, args);
	va_end(args);
	log4c_category_log(category, log_priority(level), "%s %s", event, line);
}
