#ifndef TARRAGONFLOW_CONTROL_ANTI_ENTROPY_H
#define TARRAGONFLOW_CONTROL_ANTI_ENTROPY_H

#include "tarragonflow/control/message.h"
#include "tarragonflow/roster/roster.h"

/**
 * Anti-entropy between two rosters: sums over hashed names, a tree with 16
 * children a node, lead to the parts that differ, and only these are
 * exchanged. Equal rosters cost one message.
 */

/** Entries of a part that fits into one EXCHANGE. */
#define EXCHANGE_MEMBERS_MAX 10

/** Messages that one DIGEST or EXCHANGE brings about, at most. */
#define EXCHANGE_MESSAGES_MAX 4

/** Sets the sums of @digest from its depth and prefix. */
void digest_compute(struct roster_digest *digest, const struct roster *roster);

/** Whether the part that @digest's prefix and mask pick has @name. */
bool digest_covers(const struct roster_digest *digest, const struct name *name);

/** Takes a part of an answer and sends it. */
struct anti_entropy_out {
	/** The sums of a smaller part. */
	void (*digest)(struct anti_entropy_out *out,
		       const struct roster_digest *digest);
	/** The entries that @digest covers; asks for the peer's. */
	void (*exchange)(struct anti_entropy_out *out,
			 const struct roster_digest *digest);
};

/** Answers a peer's DIGEST: finds where @roster differs from it. */
void anti_entropy_compare(const struct roster *roster,
			  const struct roster_digest *theirs,
			  struct anti_entropy_out *out);

/**
 * The entries that the sender of an EXCHANGE lacks or has in an older form,
 * from entry @start on, into @members, at most @max; returns how many. A
 * random start lets peers that join together learn different parts.
 */
size_t anti_entropy_missing(const struct roster *roster,
			    const struct message *exchange, size_t start,
			    const struct member **members, size_t max);

/** The entries that @digest covers, at most @max; returns how many. */
size_t anti_entropy_part(const struct roster *roster,
			 const struct roster_digest *digest,
			 const struct member **members, size_t max);

#endif
