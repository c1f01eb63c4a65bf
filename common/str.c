#include "tarragonflow/common/str.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define STRBUF_MIN_CAP 64

struct str str_from(const char *text)
{
	struct str str = {text, strlen(text)};

	return str;
}

bool str_equal(struct str a, struct str b)
{
	return a.len == b.len && (!a.len || !memcmp(a.data, b.data, a.len));
}

static bool name_byte_valid(char c)
{
	return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
	       c == '.';
}

bool name_set(struct name *name, struct str text)
{
	if (!text.len || text.len > NAME_MAX_LEN)
		return false;
	for (size_t i = 0; i < text.len; i++)
		if (!name_byte_valid(text.data[i]))
			return false;
	memset(name, 0, sizeof(*name));
	memcpy(name->data, text.data, text.len);
	name->len = (uint8_t)text.len;
	return true;
}

bool name_equal(const struct name *a, const struct name *b)
{
	return a->len == b->len && !memcmp(a->data, b->data, a->len);
}

int name_compare(const struct name *a, const struct name *b)
{
	return strcmp(a->data, b->data);
}

struct str name_str(const struct name *name)
{
	struct str str = {name->data, name->len};

	return str;
}

void strbuf_init(struct strbuf *buf)
{
	memset(buf, 0, sizeof(*buf));
}

void strbuf_finish(struct strbuf *buf)
{
	g_free(buf->data);
	strbuf_init(buf);
}

void strbuf_reset(struct strbuf *buf)
{
	buf->len = 0;
	if (buf->data)
		buf->data[0] = '\0';
}

static void strbuf_grow(struct strbuf *buf, size_t extra)
{
	size_t required_cap = buf->len + extra + 1;

	if (required_cap <= buf->cap)
		return;
	buf->cap = MAX(MAX(required_cap, buf->cap * 2), STRBUF_MIN_CAP);
	buf->data = g_realloc(buf->data, buf->cap);
}

void strbuf_add(struct strbuf *buf, const void *data, size_t len)
{
	strbuf_grow(buf, len);
	if (len)
		memcpy(buf->data + buf->len, data, len);
	buf->len += len;
	buf->data[buf->len] = '\0';
}

void strbuf_vaddf(struct strbuf *buf, const char *fmt, va_list args)
{
	va_list copy;
	int len;

	va_copy(copy, args);
	len = vsnprintf(NULL, 0, fmt, copy);
	va_end(copy);
	if (len < 0)
		return;
	strbuf_grow(buf, (size_t)len);
	vsnprintf(buf->data + buf->len, (size_t)len + 1, fmt, args);
	buf->len += (size_t)len;
}

void strbuf_addf(struct strbuf *buf, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	strbuf_vaddf(buf, fmt, args);
	va_end(args);
}

struct str strbuf_str(const struct strbuf *buf)
{
	struct str str = {buf->data ? buf->data : "", buf->len};

	return str;
}
