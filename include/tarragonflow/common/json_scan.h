#ifndef TARRAGONFLOW_COMMON_JSON_SCAN_H
#define TARRAGONFLOW_COMMON_JSON_SCAN_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "tarragonflow/common/status.h"
#include "tarragonflow/common/str.h"

/**
 * Finds the texts of values in a JSON text without parsing them, and parses
 * them one by one. So an element that can't be parsed, because it is nested too
 * deep, has a number too large or invalid bytes, does not make its neighbours
 * unreadable. Only quotes and brackets must match. The scan is not recursive.
 */

/** Deepest nesting of arrays and objects that json_scan_parse() accepts. */
#define JSON_NESTING_MAX 32

/** A member of a JSON object. */
struct json_part {
	const char *name;
	/** Text of the value; empty when the object has no such member. */
	struct str value;
};

/**
 * Finds the members of the object @text that @parts names. Of members with the
 * same name, the last one counts. Returns false when @text is not an object.
 */
bool json_scan_object(struct str text, struct json_part *parts, size_t n);

/** A position in a JSON array. */
struct json_array {
	const char *pos, *end;
};

/** Starts at the first element of @text. Returns false when @text is not an
 * array. */
bool json_array_scan(struct json_array *array, struct str text);

/** Gets the text of the next element; false after the last one. */
bool json_array_next(struct json_array *array, struct str *element);

/**
 * Parses the value @text. Returns NULL with the reason in @status when it can't
 * be parsed or is nested too deep. The caller owns the result.
 */
json_t *json_scan_parse(struct str text, struct status *status);

#endif
