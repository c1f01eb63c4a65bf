#ifndef TARRAGONFLOW_MANIFEST_MANIFEST_OBJECT_H
#define TARRAGONFLOW_MANIFEST_MANIFEST_OBJECT_H

#include <stdbool.h>

#include "tarragonflow/common/str.h"
#include "tarragonflow/store/object_store.h"

/**
 * The manifest as the platform holds it: the canonical manifest, and which
 * releases were applied last, by whom and under which write token. The tokens
 * let an operator whose answer was lost find his write even when another
 * release has replaced it since.
 */
#define APPLY_RECORDS_MAX 32

/** Longest name of an operator, in bytes with the terminator. */
#define OPERATOR_MAX 64

struct apply_record {
	int64_t release;
	char token[STORE_TOKEN_MAX];
	char by[OPERATOR_MAX];
};

struct manifest_object {
	/** Canonical JSON. */
	struct strbuf manifest;
	int64_t release;
	/** Newest first. */
	struct apply_record records[APPLY_RECORDS_MAX];
	size_t n_records;
};

void manifest_object_init(struct manifest_object *object);
void manifest_object_finish(struct manifest_object *object);

/** Reads a value; a manifest without records is taken, too. */
bool manifest_object_read(struct manifest_object *object, struct str value);

/** Appends the value to @out. */
void manifest_object_write(const struct manifest_object *object,
			   struct strbuf *out);

/** Puts @record first and drops the oldest when there are too many. */
void manifest_object_add_record(struct manifest_object *object,
				const struct apply_record *record);

/** The record of the write with @token, or NULL. */
const struct apply_record *
manifest_object_find_token(const struct manifest_object *object,
			   const char *token);

#endif
