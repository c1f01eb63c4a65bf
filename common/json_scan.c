#include "tarragonflow/common/json_scan.h"

#include <string.h>

static const char *skip_space(const char *pos, const char *end)
{
	while (pos < end &&
	       (*pos == ' ' || *pos == '\t' || *pos == '\n' || *pos == '\r'))
		pos++;
	return pos;
}

/* The end of the string that begins at @pos; NULL without a closing quote. */
static const char *string_end(const char *pos, const char *end)
{
	for (pos++; pos < end; pos++) {
		if (*pos == '\\')
			pos++;
		else if (*pos == '"')
			return pos + 1;
	}
	return NULL;
}

static bool is_opening(char c)
{
	return c == '[' || c == '{';
}

static bool is_closing(char c)
{
	return c == ']' || c == '}';
}

/* The end of the number or literal that begins at @pos; NULL when empty. */
static const char *word_end(const char *pos, const char *end)
{
	const char *start = pos;

	while (pos < end && *pos != ',' && *pos != ':' && !is_closing(*pos) &&
	       skip_space(pos, end) == pos)
		pos++;
	return pos > start ? pos : NULL;
}

/* The end of the value that begins at @pos; NULL when it is cut off. Sets
 * @depth to the deepest nesting in it. */
static const char *value_end(const char *pos, const char *end, size_t *depth)
{
	size_t open = 0;

	*depth = 0;
	if (pos >= end)
		return NULL;
	if (*pos == '"')
		return string_end(pos, end);
	if (!is_opening(*pos))
		return word_end(pos, end);
	while (pos < end) {
		if (*pos == '"') {
			pos = string_end(pos, end);
			if (!pos)
				return NULL;
			continue;
		}
		if (is_opening(*pos) && ++open > *depth)
			*depth = open;
		if (is_closing(*pos) && --open == 0)
			return pos + 1;
		pos++;
	}
	return NULL;
}

static bool ends_with(struct str text, char c)
{
	return text.len > 1 && text.data[text.len - 1] == c;
}

/* @text without surrounding space, if it is one value that begins with @first;
 * otherwise empty. */
static struct str single_value(struct str text, char first)
{
	static const struct str none = {"", 0};
	const char *end = text.data ? text.data + text.len : NULL;
	const char *pos = skip_space(text.data, end);
	const char *after;
	size_t depth;

	if (pos == end || *pos != first)
		return none;
	after = value_end(pos, end, &depth);
	if (!after || skip_space(after, end) != end)
		return none;
	return (struct str){pos, (size_t)(after - pos)};
}

static void set_part(struct json_part *parts, size_t n, struct str name,
		     struct str value)
{
	for (size_t i = 0; i < n; i++)
		if (str_equal(str_from(parts[i].name), name))
			parts[i].value = value;
}

/* Scans `"name": value` at @pos. Returns its end; NULL when it is malformed. */
static const char *scan_member(const char *pos, const char *end,
			       struct str *name, struct str *value)
{
	const char *after;
	size_t depth;

	if (pos == end || *pos != '"')
		return NULL;
	after = string_end(pos, end);
	if (!after)
		return NULL;
	*name = (struct str){pos + 1, (size_t)(after - pos) - 2};
	pos = skip_space(after, end);
	if (pos == end || *pos != ':')
		return NULL;
	pos = skip_space(pos + 1, end);
	after = value_end(pos, end, &depth);
	if (!after)
		return NULL;
	*value = (struct str){pos, (size_t)(after - pos)};
	return after;
}

bool json_scan_object(struct str text, struct json_part *parts, size_t n)
{
	struct str object = single_value(text, '{');
	const char *pos, *end;
	struct str name, value;

	for (size_t i = 0; i < n; i++)
		parts[i].value = (struct str){"", 0};
	if (!ends_with(object, '}'))
		return false;
	end = object.data + object.len - 1;
	pos = skip_space(object.data + 1, end);
	while (pos < end) {
		pos = scan_member(pos, end, &name, &value);
		if (!pos)
			return false;
		set_part(parts, n, name, value);
		pos = skip_space(pos, end);
		if (pos == end)
			return true;
		if (*pos != ',')
			return false;
		pos = skip_space(pos + 1, end);
		if (pos == end)
			return false;
	}
	return true;
}

static bool is_well_formed(struct json_array array)
{
	struct str element;

	while (json_array_next(&array, &element))
		;
	return array.pos == array.end;
}

bool json_array_scan(struct json_array *array, struct str text)
{
	struct str value = single_value(text, '[');

	if (!ends_with(value, ']'))
		return false;
	array->end = value.data + value.len - 1;
	array->pos = skip_space(value.data + 1, array->end);
	return is_well_formed(*array);
}

bool json_array_next(struct json_array *array, struct str *element)
{
	const char *after, *next;
	size_t depth;

	after = value_end(array->pos, array->end, &depth);
	if (!after)
		return false;
	next = skip_space(after, array->end);
	if (next < array->end && *next != ',')
		return false;
	*element = (struct str){array->pos, (size_t)(after - array->pos)};
	/* A comma at the end remains, so that the array is not well-formed. */
	if (next < array->end && skip_space(next + 1, array->end) < array->end)
		next = skip_space(next + 1, array->end);
	array->pos = next;
	return true;
}

json_t *json_scan_parse(struct str text, struct status *status)
{
	const char *end = text.data ? text.data + text.len : NULL;
	json_error_t error;
	json_t *value;
	size_t depth;

	if (!text.len) {
		status_set(status, STATUS_INVALID, "missing");
		return NULL;
	}
	value_end(skip_space(text.data, end), end, &depth);
	if (depth > JSON_NESTING_MAX) {
		status_set(status, STATUS_INVALID, "nested %zu deep", depth);
		return NULL;
	}
	value = json_loadb(text.data, text.len, JSON_DECODE_ANY, &error);
	if (!value)
		status_set(status, STATUS_INVALID, "%s", error.text);
	return value;
}
