#ifndef TARRAGONFLOW_ROSTER_ROSTER_H
#define TARRAGONFLOW_ROSTER_ROSTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/str.h"
#include "tarragonflow/net/endpoint.h"

/**
 * The roster is the membership list: every balancer and agent that is known.
 * Entries for the same member merge, in gossip and in the platform's copy
 * alike: the entry with the greatest (instance, sequence) wins, whatever the
 * order of arrival.
 */

enum member_role {
	MEMBER_BALANCER = 1,
	MEMBER_AGENT = 2,
};

enum member_state {
	/** Serves and may receive new connections. */
	MEMBER_ACTIVE = 1,
	/** Did not respond to probes; at the end of the candidate chains. */
	MEMBER_SUSPECT = 2,
	/** Keeps its open connections and accepts no new ones. */
	MEMBER_DRAINING = 3,
	/** Shut down or failed; kept as a tombstone. */
	MEMBER_LEFT = 4,
};

/** Roster entry of one process: as announced by that process, with the state
 * that it announced or that failure detectors last reported. */
struct member {
	struct name name;
	struct name zone;
	/** The service of an agent's backend server; empty for balancers. */
	struct name service;
	enum member_role role;
	enum member_state state;
	/** Start time of this run of the process, wall-clock ms since 1970. */
	uint64_t instance;
	/** Number of the member's last announcement in this instance. */
	uint64_t sequence;
	/** Address for data packets. */
	struct endpoint data;
	/** Address for control messages. */
	struct endpoint control;
	/** Address of its admin API. */
	struct endpoint admin;
	/** Connections that its backend server can carry after its slow
	 * start; used as its weight. */
	uint32_t connections;
	/** Requests that its backend server can run concurrently. */
	uint32_t slots;
	/** Release of the configuration in force at the member. */
	uint64_t config_revision;
	/** When this entry was last merged in, ms of the local clock. */
	int64_t updated_ms;
};

/**
 * Largest numbers of a member. Entries that exceed them are of a writer that
 * does not number as the processes do: no process could outnumber them.
 */
#define MEMBER_INSTANCE_MAX 253402300799999ULL /* 9999-12-31, ms since 1970 */
#define MEMBER_SEQUENCE_MAX (1ULL << 53)
#define MEMBER_CONNECTIONS_MAX 1000000
#define MEMBER_SLOTS_MAX 10000

/** All known members, sorted by name. */
struct roster {
	struct member *members;
	size_t n, cap;
	/** Incremented with every ROSTER_CHANGED merge. */
	uint64_t version;
};

/** Result of a merge. */
enum roster_change {
	ROSTER_UNCHANGED,
	/** Only the sequence or the configuration revision changed. */
	ROSTER_REFRESHED,
	/** Something that routing depends on changed. */
	ROSTER_CHANGED,
};

void roster_init(struct roster *roster);
void roster_finish(struct roster *roster);

/** Merges @entry; if it wins, its updated_ms is set to @now_ms. */
enum roster_change roster_merge(struct roster *roster,
				const struct member *entry, int64_t now_ms);

/** The member called @name, or NULL. Valid until the next merge. */
struct member *roster_find(const struct roster *roster,
			   const struct name *name);

/** True if @a supersedes @b, both entries for the same member. */
bool member_is_newer(const struct member *a, const struct member *b);

/** Name of the first number of @member that is too large, or NULL. */
const char *member_excessive_field(const struct member *member);

const char *member_state_name(enum member_state state);
const char *member_role_name(enum member_role role);

#endif
