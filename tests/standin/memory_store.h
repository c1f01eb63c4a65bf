#ifndef TARRAGONFLOW_TESTS_MEMORY_STORE_H
#define TARRAGONFLOW_TESTS_MEMORY_STORE_H

#include <glib.h>

#include "tarragonflow/store/object_store.h"

/**
 * An in-memory object store in place of the platform's: versioned objects,
 * conditional updates, and a history for watches that can be dropped.
 */
struct memory_store {
	/** Key to struct store_object, sorted by key. */
	GTree *objects;
	/** Version of the last change. */
	int64_t version;
	/** Watches of changes since an older version get STATUS_GONE. */
	int64_t history_from;
	/** Greater by one after each restore. */
	uint64_t epoch;
};

void memory_store_init(struct memory_store *store);
void memory_store_finish(struct memory_store *store);

/** Executes @request; a watch returns at once, also without changes. */
void memory_store_apply(struct memory_store *store,
			const struct store_request *request,
			struct store_result *result);

/** Replaces the contents of @copy by those of @store. */
void memory_store_copy(const struct memory_store *store,
		       struct memory_store *copy);

/** Goes back to the contents and the version of @backup, in a new epoch. */
void memory_store_restore(struct memory_store *store,
			  const struct memory_store *backup);

/** Drops the history: watches from an older version get STATUS_GONE. */
void memory_store_drop_history(struct memory_store *store);

#endif
