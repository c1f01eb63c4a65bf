#ifndef TARRAGONFLOW_CONTROL_ROSTER_SYNC_H
#define TARRAGONFLOW_CONTROL_ROSTER_SYNC_H

#include "tarragonflow/common/counter.h"
#include "tarragonflow/common/random.h"
#include "tarragonflow/control/roster_shard.h"
#include "tarragonflow/store/call_policy.h"

/** State of one shard of the platform's copy of the roster. */
struct roster_sync_shard {
	/** Digest of this shard's entries in the local roster at the last
	 * scan. */
	uint64_t digest;
	/** The local roster may hold changes that the platform lacks. */
	bool dirty;
	/** When to read the platform's copy, ms. */
	int64_t due_ms;
};

/**
 * Keeps the platform's copy of the roster up to date: chooses the shard to
 * read next, merges the local roster into the shard and decides whether to
 * write it back. The writers of a shard are the few live balancers that rank
 * first by rendezvous hash, with increasing delays. Two concurrent writers cost
 * an extra read or a version conflict, never a wrong copy. Pure.
 */
struct roster_sync {
	struct counters *counters;
	/** Member name of this process. */
	struct name name;
	int64_t start_ms;
	int64_t next_scan_ms;
	/** Time of the last full scan, ms. */
	int64_t last_scan_ms;
	/** Version of the local roster at the last full scan. */
	uint64_t last_scan_version;
	/** Number of balancers in the roster at the last full scan. */
	size_t n_balancers;
	/** No shard is read or written before this time, ms. */
	int64_t next_write_ms;
	struct backoff backoff;
	struct roster_sync_shard shards[ROSTER_SHARDS];
	/** Shard that is being read and written; valid only while
	 * `shard_in_progress`. */
	unsigned int current_shard;
	bool shard_in_progress;
	/** Token of the last write, to recognize it if its response is lost. */
	char write_token[STORE_TOKEN_MAX];
	/** The last write may have taken effect; its response was lost. */
	bool write_unconfirmed;
};

/** Time that a tombstone is kept in the platform's copy, ms. */
#define ROSTER_TOMBSTONE_MS (15 * 60 * 1000)

/** Target rate of writes by all balancers together. */
#define ROSTER_WRITES_PER_S 50

void roster_sync_init(struct roster_sync *sync, const struct name *name,
		      struct counters *counters, int64_t now_ms);

/** Forgets what the platform's copy holds: the next scan marks all shards with
 * members as dirty. */
void roster_sync_forget_copy(struct roster_sync *sync);

/** Marks shards as dirty whose members in @roster changed; cheap if none did.
 */
void roster_sync_scan(struct roster_sync *sync, const struct roster *roster,
		      int64_t now_ms, struct random *random);

/** True if roster_sync_start_next() would return a shard. */
bool roster_sync_is_due(const struct roster_sync *sync, int64_t now_ms);

/** Makes the next due shard the current one; returns it, or -1 for none. */
int roster_sync_start_next(struct roster_sync *sync, int64_t now_ms);

/**
 * Merges @roster into @object, the platform's copy of the current shard (NULL
 * if there is none). If the result has to be written, appends it to @value and
 * returns true.
 */
bool roster_sync_merge(struct roster_sync *sync,
		       const struct store_object *object,
		       const struct roster *roster, int64_t now_ms,
		       struct strbuf *value);

/** Records the token of the write that starts now. */
void roster_sync_start_write(struct roster_sync *sync, const char *token,
			     int64_t now_ms);

/** Ends the current shard, which was written or needs no write. */
void roster_sync_finish_shard(struct roster_sync *sync);

/** Schedules a retry of the current shard, whose call failed with @code. */
void roster_sync_retry_shard(struct roster_sync *sync, enum status_code code,
			     int64_t now_ms, uint64_t random);

/** When roster_sync_scan() or roster_sync_start_next() is due next, ms. */
int64_t roster_sync_next_deadline(const struct roster_sync *sync);

#endif
