#ifndef TARRAGONFLOW_COMMON_STATUS_H
#define TARRAGONFLOW_COMMON_STATUS_H

#include <stdbool.h>

/**
 * Result codes with their numbers and explanations. docs/STATUS-CODES.md
 * describes each; a test compares that page with this list.
 */
#define STATUS_LIST(X)                                                   \
	X(OK, 0, "success")                                              \
	X(USAGE, 1, "wrong command line")                                \
	X(INVALID, 2, "input refused by validation")                     \
	X(IO, 3, "file or socket error")                                 \
	X(PARSE, 4, "input is not well formed")                          \
	X(CONFLICT, 5, "another writer won the conditional update")      \
	X(STALE, 6, "the release is not newer than the one in force")    \
	X(NOT_FOUND, 7, "no such object")                                \
	X(UNAVAILABLE, 8, "the peer or platform did not answer")         \
	X(TIMEOUT, 9, "the deadline passed")                             \
	X(FULL, 10, "a bounded structure is full")                       \
	X(UNKNOWN, 11, "the outcome of the operation is not known")      \
	X(GONE, 12, "the watch history no longer reaches back that far") \
	X(AUTH, 13, "a keyed tag or token did not match")                \
	X(INTERNAL, 14, "a bug in tarragonflow")

enum status_code {
#define STATUS_ENUM(name, number, text) STATUS_##name = (number),
	STATUS_LIST(STATUS_ENUM)
#undef STATUS_ENUM
};

/** Size of a status message in bytes, with the terminator. */
#define STATUS_MESSAGE_MAX 512

/** Result of an operation: its code, and a message if it failed. */
struct status {
	enum status_code code;
	char message[STATUS_MESSAGE_MAX];
};

/** Sets @status to STATUS_OK without a message. */
void status_init(struct status *status);

/** Stores @code and a formatted message; returns @code. */
enum status_code status_set(struct status *status, enum status_code code,
			    const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** The symbolic name of @code, such as "STALE". */
const char *status_name(enum status_code code);

/** The one-line explanation of @code. */
const char *status_text(enum status_code code);

/** The process exit code for @code; see docs/STATUS-CODES.md. */
int status_exit_code(enum status_code code);

#endif
