#ifndef TARRAGONFLOW_STORE_OBJECT_REPLACEMENT_H
#define TARRAGONFLOW_STORE_OBJECT_REPLACEMENT_H

#include "tarragonflow/store/call_policy.h"
#include "tarragonflow/store/object_store.h"

/**
 * Replaces an object by a value, whatever other processes have written to it:
 * reads its version, writes conditionally, and reads again after a conflict or
 * an unknown outcome. Pure; the caller makes the calls.
 */
struct object_replacement {
	char key[STORE_KEY_MAX];
	/** Unique to the value. */
	char token[STORE_TOKEN_MAX];
	struct strbuf value;
	/** Version of the object, 0 if there is none, negative if not known. */
	int64_t version;
	/** Epoch of the store in its last response, 0 if not known. */
	uint64_t epoch;
	/** The object has the value. */
	bool done;
	struct backoff backoff;
};

void object_replacement_init(struct object_replacement *replacement,
			     const char *key);
void object_replacement_finish(struct object_replacement *replacement);

/** Sets the next value to write; @token is unique to it. */
void object_replacement_set(struct object_replacement *replacement,
			    const char *token, struct str value);

/** Makes the next call a read. */
void object_replacement_read_again(struct object_replacement *replacement);

/** Initializes the next call as @request; to be finished by the caller. */
void object_replacement_next_call(const struct object_replacement *replacement,
				  struct store_request *request);

/**
 * Processes the result of the call. Returns the time to wait before the next
 * one, ms.
 */
int64_t object_replacement_handle_result(struct object_replacement *replacement,
					 const struct store_result *result,
					 uint64_t random);

#endif
