#ifndef TARRAGONFLOW_TESTS_OBJECT_STORE_H
#define TARRAGONFLOW_TESTS_OBJECT_STORE_H

#include <glib.h>

#include "tarragonflow/platform/platform.h"

/**
 * The platform's store as the stand-ins and scenarios have it: objects with
 * versions, conditional updates, a bounded history for watches.
 */
struct object_store {
	/** Key to struct platform_object, sorted by key. */
	GTree *objects;
	int64_t version;
	/** Changes before this version are forgotten. */
	int64_t history_from;
};

void object_store_init(struct object_store *store);
void object_store_finish(struct object_store *store);

/** Applies @request to the store; WATCH answers at once, maybe empty. */
void object_store_apply(struct object_store *store,
			const struct platform_request *request,
			struct platform_result *result);

/** Makes @copy hold what @store holds now. */
void object_store_copy(const struct object_store *store,
		       struct object_store *copy);

/** Forgets the history, so that older watches are answered GONE. */
void object_store_forget(struct object_store *store);

#endif
