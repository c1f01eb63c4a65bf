#ifndef TARRAGONFLOW_ROSTER_ROSTER_H
#define TARRAGONFLOW_ROSTER_ROSTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/str.h"
#include "tarragonflow/net/endpoint.h"

/**
 * The roster: every balancer and agent that is known, as a merge of entries.
 * The entry with the greatest (instance, sequence) wins wherever two meet,
 * on gossip and on the platform alike, so the order of arrival never
 * matters.
 */
enum member_role {
	MEMBER_BALANCER = 1,
	MEMBER_AGENT = 2,
};

enum member_state {
	/** Serves and may take new work. */
	MEMBER_ACTIVE = 1,
	/** Did not answer probes; sinks to the end of the chains. */
	MEMBER_SUSPECT = 2,
	/** Keeps its live connections and takes nothing new. */
	MEMBER_DRAINING = 3,
	/** Gone; kept as a tombstone. */
	MEMBER_LEFT = 4,
};

/** One process, as it announced itself or as others saw it last. */
struct member {
	struct name name;
	struct name zone;
	/** The service of an agent's backend server; empty for balancers. */
	struct name service;
	enum member_role role;
	enum member_state state;
	/** Start of this run of the process, wall-clock ms since 1970. */
	uint64_t instance;
	/** Counts the announcements of this instance. */
	uint64_t sequence;
	/** Where packets for it go. */
	struct endpoint data;
	/** Where control messages for it go. */
	struct endpoint control;
	/** Where its admin API listens. */
	struct endpoint admin;
	/** Connections its backend server carries when warm; its weight. */
	uint32_t connections;
	/** Requests its backend server runs at once. */
	uint32_t slots;
	/** Configuration revision that is in force there. */
	uint64_t config_revision;
	/** When this entry last changed here, ms of the local clock. */
	int64_t heard_ms;
};

/** All known members, sorted by name. */
struct roster {
	struct member *members;
	size_t n, cap;
	/** Grows with every change of content here. */
	uint64_t version;
};

/** What a merge did. */
enum roster_change {
	ROSTER_UNCHANGED,
	/** Only the sequence or the configuration revision moved. */
	ROSTER_REFRESHED,
	/** Something that routing depends on changed. */
	ROSTER_CHANGED,
};

void roster_init(struct roster *roster);
void roster_finish(struct roster *roster);

/** Merges @entry; @now_ms becomes its heard_ms when it wins. */
enum roster_change roster_merge(struct roster *roster,
				const struct member *entry, int64_t now_ms);

/** The member called @name, or NULL. Valid until the next merge. */
struct member *roster_find(const struct roster *roster,
			   const struct name *name);

/** True when @a is a later word on the same member than @b. */
bool member_newer(const struct member *a, const struct member *b);

const char *member_state_name(enum member_state state);
const char *member_role_name(enum member_role role);

#endif
