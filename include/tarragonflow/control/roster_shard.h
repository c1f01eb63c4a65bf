#ifndef TARRAGONFLOW_CONTROL_ROSTER_SHARD_H
#define TARRAGONFLOW_CONTROL_ROSTER_SHARD_H

#include "tarragonflow/store/object_store.h"
#include "tarragonflow/roster/roster.h"

/**
 * The roster as the platform holds it: cut into a fixed number of objects by
 * a hash of the members' names, so that a change rewrites little. The objects
 * `tarragonflow/DEPLOYMENT/roster/NN` (two hexadecimal digits) hold JSON.
 */
#define ROSTER_SHARDS 256

/** Pages of shards, each one list call: all that share the first digit. */
#define ROSTER_SHARD_PAGES 16

/** The shard of the member called @name. */
unsigned int roster_shard_of(const struct name *name);

/** The key of @shard. */
void roster_shard_key(char *key, const struct name *deployment,
		      unsigned int shard);

/** The common prefix of the keys of @page. */
void roster_shard_prefix(char *key, const struct name *deployment);

/** The prefix of the keys of one page of shards. */
void roster_shard_page_prefix(char *key, const struct name *deployment,
			      unsigned int page);

/** Reads a shard's value into @out; false when it is malformed. */
bool roster_shard_read(struct str text, struct roster *out);

/** Writes all of @roster as the value of one shard. */
void roster_shard_write(const struct roster *roster, struct strbuf *out);

/**
 * The entry as the platform is to hold it: a suspicion is this process's own
 * view of the moment and is left out.
 */
struct member roster_shard_entry(const struct member *member);

/** Hash of what the platform is to hold of @member. */
uint64_t roster_shard_digest(const struct member *member);

#endif
