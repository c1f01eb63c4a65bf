#ifndef TARRAGONFLOW_COMMON_JSON_READER_H
#define TARRAGONFLOW_COMMON_JSON_READER_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/status.h"
#include "tarragonflow/common/str.h"

/**
 * Reads JSON objects into structures according to field tables and collects
 * all errors. Each error names the file, the path of the field, the value or
 * type found and the values allowed.
 *
 * The type of a field and how its value is stored:
 */
enum field_type {
	/** struct name */
	FIELD_NAME,
	/** int64_t from min to max */
	FIELD_INT,
	/** a number, stored as int64_t in thousandths, such as s in ms */
	FIELD_DECIMAL,
	/** struct endpoint, written as "a.b.c.d:port" */
	FIELD_ENDPOINT,
	/** struct ip_addr, IPv4 or IPv6 */
	FIELD_ADDRESS,
	/** struct json_text, min to max bytes */
	FIELD_TEXT,
	/** int, the index of the matching choice */
	FIELD_CHOICE,
	/** bool */
	FIELD_BOOL,
	/** an object or array that the caller reads itself */
	FIELD_NESTED,
};

/** Maximum length of a FIELD_TEXT, in bytes. */
#define JSON_TEXT_MAX 255

/** A text stored inline; `data` is also null-terminated. */
struct json_text {
	size_t len;
	char data[JSON_TEXT_MAX + 1];
};

struct field {
	const char *name;
	enum field_type type;
	/** Offset of the value in the structure, in bytes. */
	size_t offset;
	bool required;
	/** Allowed values of FIELD_INT and FIELD_DECIMAL (in thousandths), or
	 * lengths of FIELD_TEXT in bytes; both inclusive. */
	int64_t min, max;
	/** Value of an absent FIELD_INT, FIELD_DECIMAL, FIELD_BOOL or
	 * FIELD_CHOICE. */
	int64_t default_value;
	/** Allowed strings of FIELD_CHOICE, NULL-terminated. */
	const char *const *choices;
	/** Unit and meaning, for the documentation. */
	const char *unit, *help;
};

/**
 * Whether the value of @field is equal in the structures @a and @b. Always
 * true for FIELD_NESTED, which the caller must compare.
 */
bool field_equal(const struct field *field, const void *a, const void *b);

/** The errors of one document, one line each. */
struct json_errors {
	const char *file;
	struct strbuf text;
	unsigned int count;
};

void json_errors_init(struct json_errors *errors, const char *file);
void json_errors_finish(struct json_errors *errors);

/** Adds the line `file: path: message`. */
void json_errors_add(struct json_errors *errors, const char *path,
		     const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/**
 * Sets @status to STATUS_INVALID with all messages when there are errors;
 * otherwise leaves it unchanged and returns STATUS_OK.
 */
enum status_code json_errors_status(const struct json_errors *errors,
				    struct status *status);

/**
 * Parses @text. On a syntax error or a duplicate name, adds an error with
 * line and column and returns NULL. The caller owns the result.
 */
json_t *json_reader_parse(struct str text, struct json_errors *errors);

/** Like json_reader_parse() for the file at @path, at most 1 MiB. */
json_t *json_reader_load(const char *path, struct json_errors *errors);

/**
 * Reads @object into the structure @out as @fields describe. Unknown,
 * missing, mistyped and out-of-range fields add an error to @errors. @path is
 * the path of @object in the document, "" for the document itself.
 */
void json_reader_object(const json_t *object, const char *path,
			const struct field *fields, size_t n_fields, void *out,
			struct json_errors *errors);

/**
 * Returns the array @name of @object, or NULL with an error added when it is
 * no array, has more than @max elements or is @required but absent. An absent
 * array that is not @required gives NULL without an error.
 */
const json_t *json_reader_array(const json_t *object, const char *path,
				const char *name, size_t max, bool required,
				struct json_errors *errors);

#endif
