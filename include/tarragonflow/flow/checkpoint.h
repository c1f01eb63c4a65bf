#ifndef TARRAGONFLOW_FLOW_CHECKPOINT_H
#define TARRAGONFLOW_FLOW_CHECKPOINT_H

#include "tarragonflow/common/str.h"
#include "tarragonflow/store/object_store.h"

/**
 * The checkpoint of an agent: an object in the platform's store to which its
 * process saves the connections of its server when it stops, for the next
 * process. Without it a search for the owner of a connection would have to
 * query servers after a planned restart.
 *
 * Each process first replaces the checkpoint by an empty one of its own (the
 * claim). It opens no connection before, or not within CHECKPOINT_MAX_AGE_MS of
 * its start, and uses only connections that were saved at most that long before
 * its start. So a process that opened connections without a claim has no
 * successor that takes an older checkpoint for complete.
 */

/** Longest time from the save of connections to the start of a process that
 * uses them, ms: that of a planned restart. */
#define CHECKPOINT_MAX_AGE_MS 1500

/** Contents of the checkpoint. */
struct checkpoint {
	/** Start of the process that wrote it, ms since 1970. */
	uint64_t instance;
	/** When the connections were saved, wall-clock ms since 1970; 0: it
	 * has none. */
	int64_t saved_ms;
	/** Epoch of the store when it was written, 0 if not known. */
	uint64_t epoch;
	/** Time for which the server may have connections that are not in the
	 * checkpoint, ms. */
	int64_t incomplete_ms;
	/** Written by handover_export(). */
	struct strbuf connections;
};

void checkpoint_init(struct checkpoint *checkpoint);
void checkpoint_finish(struct checkpoint *checkpoint);

/** Writes the key of the checkpoint of the agent @name to @key. */
void checkpoint_key(char *key, const struct name *deployment,
		    const struct name *name);

/** Appends @checkpoint as JSON to @out. */
void checkpoint_format(const struct checkpoint *checkpoint, struct strbuf *out);

/** Parses @text into the initialized @checkpoint; logs what is wrong when it
 * returns false. */
bool checkpoint_parse(struct checkpoint *checkpoint, struct str text);

/**
 * Whether the connections may be used by a process that started at @started_ms
 * (wall clock) and has read the checkpoint in @epoch of the store: a store that
 * was restored may return an older checkpoint.
 */
bool checkpoint_is_fresh(const struct checkpoint *checkpoint, uint64_t epoch,
			 int64_t started_ms);

#endif
