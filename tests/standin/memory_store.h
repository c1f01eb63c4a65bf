#ifndef TARRAGONFLOW_TESTS_OBJECT_STORE_H
#define TARRAGONFLOW_TESTS_OBJECT_STORE_H

#include <glib.h>

#include "tarragonflow/store/object_store.h"

/**
 * The platform's store as the stand-ins and scenarios have it: objects with
 * versions, conditional updates, a bounded history for watches.
 */
struct memory_store {
	/** Key to struct store_object, sorted by key. */
	GTree *objects;
	int64_t version;
	/** Changes before this version are forgotten. */
	int64_t history_from;
};

void memory_store_init(struct memory_store *store);
void memory_store_finish(struct memory_store *store);

/** Applies @request to the store; WATCH answers at once, maybe empty. */
void memory_store_apply(struct memory_store *store,
			const struct store_request *request,
			struct store_result *result);

/** Makes @copy hold what @store holds now. */
void memory_store_copy(const struct memory_store *store,
		       struct memory_store *copy);

/** Forgets the history, so that older watches are answered GONE. */
void memory_store_forget(struct memory_store *store);

#endif
