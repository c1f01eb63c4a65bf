#ifndef TARRAGONFLOW_CONTROL_ROSTER_SHARD_H
#define TARRAGONFLOW_CONTROL_ROSTER_SHARD_H

#include "tarragonflow/store/object_store.h"
#include "tarragonflow/roster/roster.h"

/**
 * The platform's copy of the roster is split into a fixed number of shards by
 * a hash of the members' names, so that a change rewrites only a small object.
 * Shard NN (two hexadecimal digits) is the object
 * `tarragonflow/DEPLOYMENT/roster/NN`, which holds JSON.
 */

/** Number of shards. */
#define ROSTER_SHARDS 256

/** Number of pages of shards. A page holds all shards with the same first digit
 * and is read by one list call. */
#define ROSTER_SHARD_PAGES 16

/** The shard that holds the member @name. */
unsigned int roster_shard_of(const struct name *name);

/** Writes the key of @shard to @key, which holds STORE_KEY_MAX bytes. */
void roster_shard_key(char *key, const struct name *deployment,
		      unsigned int shard);

/** Writes the common prefix of all shards' keys to @key. */
void roster_shard_prefix(char *key, const struct name *deployment);

/** Writes the common prefix of the keys of @page to @key. */
void roster_shard_page_prefix(char *key, const struct name *deployment,
			      unsigned int page);

/**
 * Parses a shard's value and merges its members into @out. Entries that are not
 * valid are skipped with a log line; then, and when @text is no shard at all,
 * returns false.
 */
bool roster_shard_parse(struct str text, struct roster *out);

/** Appends all members of @roster to @out as the value of one shard. */
void roster_shard_format(const struct roster *roster, struct strbuf *out);

/**
 * The entry to store at the platform. A suspected member is stored as active,
 * because the suspicion is only this process's current view.
 */
struct member roster_shard_entry(const struct member *member);

/** Hash of the fields of @member whose change must reach the platform. */
uint64_t roster_shard_digest(const struct member *member);

#endif
