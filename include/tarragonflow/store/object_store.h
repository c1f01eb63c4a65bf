#ifndef TARRAGONFLOW_STORE_OBJECT_STORE_H
#define TARRAGONFLOW_STORE_OBJECT_STORE_H

#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/status.h"
#include "tarragonflow/common/str.h"

/**
 * The object store of the platform, the environment that hosts the processes:
 * values under keys, each with a version that grows with every write;
 * conditional updates; watches by key prefix.
 *
 * A store that was restored from an older copy starts a new epoch: a greater
 * number. Changes made after the copy are lost, and their versions are
 * assigned again, so versions of different epochs can't be compared.
 *
 * docs/PLATFORM-API.md describes its HTTP API.
 *
 * The cores, which do no I/O themselves, issue requests and receive results as
 * messages. Separate threads make the calls through struct object_store, which
 * tests replace by a fake.
 */

/** Operations of the object store. */
enum store_op {
	STORE_OP_GET,
	STORE_OP_LIST,
	STORE_OP_PUT,
	STORE_OP_DELETE,
	STORE_OP_WATCH,
};

/** Queues of calls: calls in one queue run one after another, in parallel to
 * the other queues. */
enum store_queue {
	/** All calls except those of the other queues. */
	STORE_QUEUE_CALLS,
	/** The watch of the manifest. */
	STORE_QUEUE_WATCH,
	/** Lists and watches of zone orders. */
	STORE_QUEUE_ZONES,
	/** Number of queues. */
	STORE_QUEUES,
};

/** Size of a key, in bytes with the terminator. */
#define STORE_KEY_MAX 160

/** Size of a write token's text, in bytes with the terminator. */
#define STORE_TOKEN_MAX 33

/** Largest value, in bytes. */
#define STORE_VALUE_MAX (1024 * 1024)

struct store_request {
	/** Chosen by the caller; copied to the result. */
	uint64_t id;
	enum store_op op;
	/** Key, or prefix for LIST and WATCH. */
	char key[STORE_KEY_MAX];
	/**
	 * PUT, DELETE: required current version, 0 for "must not exist".
	 * WATCH: report changes after this version.
	 */
	int64_t version;
	/** PUT: unique to the write, to recognize it if the response is lost.
	 */
	char token[STORE_TOKEN_MAX];
	/** LIST: one response of the store is enough, even if incomplete. */
	bool one_page;
	/** GET, LIST: the result may be seconds old; such a call is cheaper.
	 */
	bool may_be_stale;
	enum store_queue queue;
	/** Timeout of an HTTP call, and so of each page of a LIST, ms; for
	 * WATCH the time to wait for changes. */
	int64_t timeout_ms;
	/** PUT: the value. */
	struct strbuf value;
};

struct store_object {
	char key[STORE_KEY_MAX];
	int64_t version;
	/** Token of the write that created this version. */
	char token[STORE_TOKEN_MAX];
	/** The object was deleted (WATCH only). */
	bool deleted;
	struct strbuf value;
};

/** Epoch of a store that was never restored. */
#define STORE_FIRST_EPOCH 1

struct store_result {
	uint64_t id;
	enum store_op op;
	/**
	 * OK; NOT_FOUND; CONFLICT; GONE for a watch from a version that is no
	 * longer in the history; UNAVAILABLE if the call certainly had no
	 * effect; UNKNOWN if a write may have taken effect; INVALID if the
	 * request was rejected; FULL if a LIST has too many pages.
	 */
	struct status status;
	/** Version of the store (LIST, WATCH) or of the object (others). */
	int64_t version;
	/** Epoch of the store when it responded; 0 if it is not known. */
	uint64_t epoch;
	/** LIST with `one_page`: the store holds more objects. */
	bool has_more;
	struct store_object *objects;
	size_t n_objects;
};

/** Times since events at the platform, as known to this process, ms. */
struct store_contact_ages {
	/** Any process reached the platform. */
	uint32_t any_process_ms;
	/** A process that is selected to watch the platform reached it. */
	uint32_t watcher_ms;
	/** A process found the store restored from an older copy. */
	uint32_t restore_ms;
};

/** Age if no process is known to have met the event. */
#define STORE_AGE_NEVER UINT32_MAX

struct object_store {
	/** Makes one call and blocks until it ends. */
	void (*call)(struct object_store *platform,
		     const struct store_request *request,
		     struct store_result *result);
	/** Sleeps for @ms between two attempts; NULL in tests. */
	void (*sleep)(struct object_store *platform, int64_t ms);
};

void store_request_init(struct store_request *request, enum store_op op,
			const char *key);
void store_request_finish(struct store_request *request);

void store_result_init(struct store_result *result,
		       const struct store_request *request);
void store_result_finish(struct store_result *result);

/** Appends an object with copies of @key and @value and returns it; valid until
 * the next append. */
struct store_object *store_result_add(struct store_result *result,
				      const char *key, int64_t version,
				      struct str value);

/** Writes the key prefix of zone orders to @key; the zone's name follows it. */
void store_zones_prefix(char *key, const struct name *deployment);

/** Writes the key of the manifest of @deployment to @key. */
void store_manifest_key(char *key, const struct name *deployment);

const char *store_op_name(enum store_op op);

#endif
