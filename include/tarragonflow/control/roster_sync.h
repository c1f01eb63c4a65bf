#ifndef TARRAGONFLOW_CONTROL_ROSTER_SYNC_H
#define TARRAGONFLOW_CONTROL_ROSTER_SYNC_H

#include "tarragonflow/common/counter.h"
#include "tarragonflow/common/random.h"
#include "tarragonflow/control/roster_shard.h"
#include "tarragonflow/store/call_policy.h"

/**
 * Keeps the platform's copy of the roster: says which shard to read or write
 * next, merges and decides whether a write is needed. Writers of a shard are
 * the first few of the live balancers by rendezvous hash, one after another;
 * a second writer costs a read or a conflict, never a wrong copy. Pure.
 */
struct roster_sync_shard {
	/** Digest of our roster's entries when last looked at. */
	uint64_t digest;
	/** Our roster may hold news for the platform. */
	bool dirty;
	/** When to look at the platform's copy, ms. */
	int64_t due_ms;
};

struct roster_sync {
	struct counters *counters;
	struct name name;
	int64_t start_ms;
	int64_t next_scan_ms;
	/** When and at which version of the roster the last scan was. */
	int64_t scanned_ms;
	uint64_t scanned_version;
	size_t n_balancers;
	/** No write starts before this time, ms. */
	int64_t next_write_ms;
	struct backoff backoff;
	struct roster_sync_shard shards[ROSTER_SHARDS];
	/** Shard that is being read and written; valid while `busy`. */
	unsigned int current;
	bool busy;
	/** Token of the last write, to recognize it after a lost answer. */
	char token[STORE_TOKEN_MAX];
	bool ambiguous;
};

/** Time that a tombstone is kept at the platform, ms. */
#define ROSTER_TOMBSTONE_MS (15 * 60 * 1000)

/** Writes a second of all balancers together, aimed at. */
#define ROSTER_WRITES_PER_S 50

void roster_sync_init(struct roster_sync *sync, const struct name *name,
		      struct counters *counters, int64_t now_ms);

/** Finds what changed in @roster; cheap when nothing did. */
void roster_sync_scan(struct roster_sync *sync, const struct roster *roster,
		      int64_t now_ms, struct random *random);

/** True when roster_sync_next() would return a shard. */
bool roster_sync_due(const struct roster_sync *sync, int64_t now_ms);

/** The next shard to look at, -1 for none; it becomes the current one. */
int roster_sync_next(struct roster_sync *sync, int64_t now_ms);

/**
 * Takes the platform's @object of the current shard, NULL when there is none.
 * True when a write is needed: @value is what to write.
 */
bool roster_sync_merge(struct roster_sync *sync,
		       const struct store_object *object,
		       const struct roster *roster, int64_t now_ms,
		       struct strbuf *value);

/** Notes the token of the write that starts now. */
void roster_sync_writing(struct roster_sync *sync, const char *token,
			 int64_t now_ms);

/** The current shard was written, or needs no write. */
void roster_sync_done(struct roster_sync *sync);

/** The call for the current shard failed with @code; it is tried again. */
void roster_sync_failed(struct roster_sync *sync, enum status_code code,
			int64_t now_ms, uint64_t random);

/** When roster_sync_scan() or _next() may have something to do, ms. */
int64_t roster_sync_next_deadline(const struct roster_sync *sync);

#endif
