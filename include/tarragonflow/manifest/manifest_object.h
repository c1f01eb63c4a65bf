#ifndef TARRAGONFLOW_MANIFEST_MANIFEST_OBJECT_H
#define TARRAGONFLOW_MANIFEST_MANIFEST_OBJECT_H

#include <stdbool.h>

#include "tarragonflow/common/str.h"
#include "tarragonflow/store/object_store.h"

/**
 * The manifest as the platform stores it: the canonical manifest, and records
 * of the releases applied last, each with its operator and the token of its
 * write. By the token an operator finds a write whose response was lost, even
 * when another release has replaced it since.
 */
#define APPLY_RECORDS_MAX 32

/** Longest name of an operator, in bytes with the terminator. */
#define OPERATOR_NAME_MAX 64

/** A release that an operator applied. */
struct apply_record {
	int64_t release;
	/** Token of the write. */
	char token[STORE_TOKEN_MAX];
	char operator_name[OPERATOR_NAME_MAX];
};

struct manifest_object {
	/** Canonical JSON. */
	struct strbuf manifest;
	/** Release of `manifest`. */
	int64_t release;
	/** Newest first. */
	struct apply_record records[APPLY_RECORDS_MAX];
	size_t n_records;
};

void manifest_object_init(struct manifest_object *object);
void manifest_object_finish(struct manifest_object *object);

/**
 * Parses @value, which may also be a bare manifest without records. False
 * when it is not a JSON object.
 */
bool manifest_object_read(struct manifest_object *object, struct str value);

/** Appends @object as JSON to @out. */
void manifest_object_write(const struct manifest_object *object,
			   struct strbuf *out);

/** Inserts @record as the newest and drops the oldest one when full. */
void manifest_object_add_record(struct manifest_object *object,
				const struct apply_record *record);

/** The record of the write with @token, or NULL. */
const struct apply_record *
manifest_object_find_token(const struct manifest_object *object,
			   const char *token);

#endif
