#include "tarragonflow/common/status.h"

#include <stdarg.h>
#include <stdio.h>

void status_init(struct status *status)
{
	status->code = STATUS_OK;
	status->message[0] = '\0';
}

enum status_code status_set(struct status *status, enum status_code code,
			    const char *fmt, ...)
{
	va_list args;

	status->code = code;
	va_start(args, fmt);
	vsnprintf(status->message, sizeof(status->message), fmt, args);
	va_end(args);
	return code;
}

const char *status_name(enum status_code code)
{
	switch (code) {
#define STATUS_CASE(name, number, text) \
	case STATUS_##name:             \
		return #name;
		STATUS_LIST(STATUS_CASE)
#undef STATUS_CASE
	}
	return "INVALID-CODE";
}

const char *status_text(enum status_code code)
{
	switch (code) {
#define STATUS_CASE(name, number, text) \
	case STATUS_##name:             \
		return text;
		STATUS_LIST(STATUS_CASE)
#undef STATUS_CASE
	}
	return "not a status code";
}

int status_exit_code(enum status_code code)
{
	switch (code) {
	case STATUS_OK:
		return 0;
	case STATUS_USAGE:
		return 2;
	case STATUS_INVALID:
	case STATUS_PARSE:
		return 3;
	case STATUS_CONFLICT:
	case STATUS_STALE:
		return 4;
	case STATUS_UNAVAILABLE:
	case STATUS_UNKNOWN:
		return 5;
	case STATUS_TIMEOUT:
		return 6;
	default:
		return 1;
	}
}
