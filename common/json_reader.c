#include "tarragonflow/common/json_reader.h"

#include <errno.h>
#include <stdarg.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "tarragonflow/net/endpoint.h"

#define FILE_MAX_BYTES (1024 * 1024)
#define THOUSANDTHS_PER_UNIT 1000
/* Integers up to this bound are exact as double. */
#define EXACT_INTEGER_MAX 9e15
#define FIELD_PATH_MAX_BYTES 256

void json_errors_init(struct json_errors *errors, const char *file)
{
	errors->file = file;
	errors->count = 0;
	strbuf_init(&errors->text);
}

void json_errors_finish(struct json_errors *errors)
{
	strbuf_finish(&errors->text);
}

void json_errors_add(struct json_errors *errors, const char *path,
		     const char *fmt, ...)
{
	va_list args;

	strbuf_addf(&errors->text, "%s%s: %s: ", errors->count ? "\n" : "",
		    errors->file, *path ? path : "(document)");
	va_start(args, fmt);
	strbuf_vaddf(&errors->text, fmt, args);
	va_end(args);
	errors->count++;
}

enum status_code json_errors_status(const struct json_errors *errors,
				    struct status *status)
{
	if (!errors->count)
		return STATUS_OK;
	return status_set(status, STATUS_INVALID, "%s", errors->text.data);
}

json_t *json_reader_parse(struct str text, struct json_errors *errors)
{
	json_error_t error;
	json_t *root =
		json_loadb(text.data, text.len, JSON_REJECT_DUPLICATES, &error);

	if (!root)
		json_errors_add(errors, "", "line %d, column %d: %s",
				error.line, error.column, error.text);
	return root;
}

json_t *json_reader_load(const char *path, struct json_errors *errors)
{
	struct strbuf text;
	char chunk[4096];
	json_t *root = NULL;
	size_t n_read;
	FILE *file = fopen(path, "rb");

	if (!file) {
		json_errors_add(errors, "", "cannot open: %s", strerror(errno));
		return NULL;
	}
	strbuf_init(&text);
	while ((n_read = fread(chunk, 1, sizeof(chunk), file)) > 0 &&
	       text.len <= FILE_MAX_BYTES)
		strbuf_add(&text, chunk, n_read);
	if (ferror(file))
		json_errors_add(errors, "", "cannot read: %s", strerror(errno));
	else if (text.len > FILE_MAX_BYTES)
		json_errors_add(errors, "", "larger than the %d bytes allowed",
				FILE_MAX_BYTES);
	else
		root = json_reader_parse(strbuf_str(&text), errors);
	fclose(file);
	strbuf_finish(&text);
	return root;
}

static const char *json_type_name(const json_t *value)
{
	switch (json_typeof(value)) {
	case JSON_OBJECT:
		return "an object";
	case JSON_ARRAY:
		return "an array";
	case JSON_STRING:
		return "a string";
	case JSON_INTEGER:
		return "an integer";
	case JSON_REAL:
		return "a fractional number";
	case JSON_TRUE:
	case JSON_FALSE:
		return "a boolean";
	case JSON_NULL:
		return "null";
	}
	return "an unknown type";
}

static void read_int(const json_t *value, const char *path,
		     const struct field *field, int64_t *out,
		     struct json_errors *errors)
{
	double number = json_number_value(value);
	bool integral = json_is_real(value) && number == floor(number) &&
			fabs(number) < EXACT_INTEGER_MAX;

	if (!json_is_integer(value) && !integral) {
		json_errors_add(errors, path,
				"found %s, allowed is an integer from %lld "
				"to %lld",
				json_type_name(value), (long long)field->min,
				(long long)field->max);
		return;
	}
	*out = integral ? (int64_t)number : json_integer_value(value);
	if (*out < field->min || *out > field->max)
		json_errors_add(errors, path,
				"found %lld, allowed is %lld to %lld",
				(long long)*out, (long long)field->min,
				(long long)field->max);
}

static void read_decimal(const json_t *value, const char *path,
			 const struct field *field, int64_t *out,
			 struct json_errors *errors)
{
	double thousandths = json_number_value(value) * THOUSANDTHS_PER_UNIT;

	if (!json_is_number(value) || thousandths < (double)field->min ||
	    thousandths > (double)field->max) {
		json_errors_add(
			errors, path, "found %s, allowed is %g to %g %s",
			json_is_number(value) ? "a number out of range"
					      : json_type_name(value),
			(double)field->min / THOUSANDTHS_PER_UNIT,
			(double)field->max / THOUSANDTHS_PER_UNIT, field->unit);
		return;
	}
	*out = (int64_t)thousandths;
}

static void read_choice(const json_t *value, const char *path,
			const struct field *field, int *out,
			struct json_errors *errors)
{
	struct strbuf allowed;

	strbuf_init(&allowed);
	for (int i = 0; field->choices[i]; i++) {
		if (json_is_string(value) &&
		    !strcmp(json_string_value(value), field->choices[i])) {
			*out = i;
			strbuf_finish(&allowed);
			return;
		}
		strbuf_addf(&allowed, "%s\"%s\"", i ? ", " : "",
			    field->choices[i]);
	}
	json_errors_add(errors, path, "found %s%s%s, allowed is %s",
			json_is_string(value) ? "\"" : "",
			json_is_string(value) ? json_string_value(value)
					      : json_type_name(value),
			json_is_string(value) ? "\"" : "", allowed.data);
	strbuf_finish(&allowed);
}

static bool read_text(const json_t *value, const struct field *field,
		      struct json_text *out)
{
	size_t len = json_string_length(value);

	if ((int64_t)len < field->min || (int64_t)len > field->max ||
	    len > JSON_TEXT_MAX)
		return false;
	memcpy(out->data, json_string_value(value), len);
	out->data[len] = '\0';
	out->len = len;
	return true;
}

/* Reads all field types that are JSON strings, except FIELD_CHOICE. */
static void read_string(const json_t *value, const char *path,
			const struct field *field, void *out,
			struct json_errors *errors)
{
	const char *text = json_string_value(value);
	const char *allowed;
	bool valid = false;

	if (field->type == FIELD_NAME) {
		allowed = "a name of 1 to 62 bytes of a-z, 0-9, '-' and '.'";
		valid = text && name_set(out, str_from(text));
	} else if (field->type == FIELD_ENDPOINT) {
		allowed = "an IPv4 address and port, a.b.c.d:port";
		valid = text && endpoint_parse(out, text);
	} else if (field->type == FIELD_ADDRESS) {
		allowed = "an IPv4 or IPv6 address";
		valid = text && ip_addr_parse(out, text);
	} else {
		allowed = "a text of the documented length";
		valid = text && read_text(value, field, out);
	}
	if (valid)
		return;
	if (text)
		json_errors_add(errors, path, "found \"%s\", allowed is %s",
				text, allowed);
	else
		json_errors_add(errors, path, "found %s, allowed is %s",
				json_type_name(value), allowed);
}

static void read_field(const json_t *value, const char *path,
		       const struct field *field, void *out,
		       struct json_errors *errors)
{
	switch (field->type) {
	case FIELD_INT:
		read_int(value, path, field, out, errors);
		break;
	case FIELD_DECIMAL:
		read_decimal(value, path, field, out, errors);
		break;
	case FIELD_CHOICE:
		read_choice(value, path, field, out, errors);
		break;
	case FIELD_BOOL:
		if (json_is_boolean(value))
			*(bool *)out = json_is_true(value);
		else
			json_errors_add(errors, path,
					"found %s, allowed is true or false",
					json_type_name(value));
		break;
	case FIELD_NESTED:
		break;
	default:
		read_string(value, path, field, out, errors);
		break;
	}
}

static void set_default(const struct field *field, void *out)
{
	if (field->type == FIELD_INT || field->type == FIELD_DECIMAL)
		*(int64_t *)out = field->default_value;
	else if (field->type == FIELD_CHOICE)
		*(int *)out = (int)field->default_value;
	else if (field->type == FIELD_BOOL)
		*(bool *)out = field->default_value != 0;
}

static void format_path(char *buf, const char *parent, const char *name)
{
	snprintf(buf, FIELD_PATH_MAX_BYTES, "%s%s%s", parent,
		 *parent ? "." : "", name);
}

static bool is_known_field(const char *name, const struct field *fields,
			   size_t n_fields)
{
	for (size_t i = 0; i < n_fields; i++)
		if (!strcmp(fields[i].name, name))
			return true;
	return false;
}

void json_reader_object(const json_t *object, const char *path,
			const struct field *fields, size_t n_fields, void *out,
			struct json_errors *errors)
{
	char field_path[FIELD_PATH_MAX_BYTES];
	const char *key;
	json_t *value;

	if (!json_is_object(object)) {
		json_errors_add(errors, path, "found %s, allowed is an object",
				json_type_name(object));
		return;
	}
	json_object_foreach((json_t *)object, key, value)
	{
		if (is_known_field(key, fields, n_fields))
			continue;
		format_path(field_path, path, key);
		json_errors_add(errors, field_path, "unknown field");
	}
	for (size_t i = 0; i < n_fields; i++) {
		void *target = (char *)out + fields[i].offset;

		format_path(field_path, path, fields[i].name);
		value = json_object_get(object, fields[i].name);
		if (value)
			read_field(value, field_path, &fields[i], target,
				   errors);
		else if (fields[i].required)
			json_errors_add(errors, field_path, "missing");
		else
			set_default(&fields[i], target);
	}
}

const json_t *json_reader_array(const json_t *object, const char *path,
				const char *name, size_t max, bool required,
				struct json_errors *errors)
{
	char field_path[FIELD_PATH_MAX_BYTES];
	const json_t *array = json_object_get(object, name);

	format_path(field_path, path, name);
	if (!array) {
		if (required)
			json_errors_add(errors, field_path, "missing");
		return NULL;
	}
	if (!json_is_array(array)) {
		json_errors_add(errors, field_path,
				"found %s, allowed is an array",
				json_type_name(array));
		return NULL;
	}
	if (json_array_size(array) > max) {
		json_errors_add(errors, field_path,
				"found %zu elements, allowed are at most %zu",
				json_array_size(array), max);
		return NULL;
	}
	return array;
}

bool field_equal(const struct field *field, const void *a, const void *b)
{
	const char *value_a = (const char *)a + field->offset;
	const char *value_b = (const char *)b + field->offset;

	switch (field->type) {
	case FIELD_NAME:
		return name_equal((const struct name *)value_a,
				  (const struct name *)value_b);
	case FIELD_INT:
	case FIELD_DECIMAL:
		return *(const int64_t *)value_a == *(const int64_t *)value_b;
	case FIELD_ENDPOINT:
		return endpoint_equal((const struct endpoint *)value_a,
				      (const struct endpoint *)value_b);
	case FIELD_ADDRESS:
		return ip_addr_equal((const struct ip_addr *)value_a,
				     (const struct ip_addr *)value_b);
	case FIELD_TEXT:
		return !strcmp(((const struct json_text *)value_a)->data,
			       ((const struct json_text *)value_b)->data);
	case FIELD_CHOICE:
		return *(const int *)value_a == *(const int *)value_b;
	case FIELD_BOOL:
		return *(const bool *)value_a == *(const bool *)value_b;
	case FIELD_NESTED:
		return true;
	}
	return true;
}
