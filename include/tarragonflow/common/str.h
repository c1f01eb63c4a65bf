#ifndef TARRAGONFLOW_COMMON_STR_H
#define TARRAGONFLOW_COMMON_STR_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Non-owning view of a byte string. */
struct str {
	const char *data;
	size_t len;
};

/** Maximum length of a service, zone, member or deployment name, bytes. */
#define NAME_MAX_LEN 62

/**
 * A name stored inline, so that structures that contain names need no
 * allocation. `data` is also null-terminated.
 */
struct name {
	uint8_t len;
	char data[NAME_MAX_LEN + 1];
};

/** Growable byte buffer; `data` is NULL or null-terminated. */
struct strbuf {
	char *data;
	size_t len;
	size_t cap;
};

/** A view of the C string @text. */
struct str str_from(const char *text);

bool str_equal(struct str a, struct str b);

/**
 * Copies @text into @name. Returns false when @text is empty, longer than
 * NAME_MAX_LEN or has bytes other than lower-case letters, digits, '.' and
 * '-'.
 */
bool name_set(struct name *name, struct str text);

bool name_equal(const struct name *a, const struct name *b);

/** Compares names bytewise, as strcmp() does. */
int name_compare(const struct name *a, const struct name *b);

struct str name_str(const struct name *name);

void strbuf_init(struct strbuf *buf);
void strbuf_finish(struct strbuf *buf);

/** Empties @buf without freeing its memory. */
void strbuf_reset(struct strbuf *buf);

void strbuf_add(struct strbuf *buf, const void *data, size_t len);

void strbuf_addf(struct strbuf *buf, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

void strbuf_vaddf(struct strbuf *buf, const char *fmt, va_list args)
	__attribute__((format(printf, 2, 0)));

struct str strbuf_str(const struct strbuf *buf);

#endif
