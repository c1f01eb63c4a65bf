#ifndef TARRAGONFLOW_CONTROL_ANTI_ENTROPY_H
#define TARRAGONFLOW_CONTROL_ANTI_ENTROPY_H

#include "tarragonflow/control/message.h"
#include "tarragonflow/roster/roster.h"

/**
 * Anti-entropy between two rosters. Checksums over the entries form a tree by
 * the hashed names of the members, with 16 children per node. Comparing them
 * finds the parts that differ, and only these are exchanged. Equal rosters
 * cost one message.
 */

/** Maximum number of entries in one EXCHANGE. */
#define EXCHANGE_MEMBERS_MAX 10

/** Maximum number of messages in response to one DIGEST. */
#define EXCHANGE_MESSAGES_MAX 4

/** Computes the checksums of @digest for its depth and prefix. */
void digest_compute(struct roster_digest *digest, const struct roster *roster);

/** Whether the prefix and mask of @digest select @name. */
bool digest_covers(const struct roster_digest *digest, const struct name *name);

/** Callbacks that send the messages in response to a DIGEST. */
struct anti_entropy_callbacks {
	/** Sends the checksums of a smaller part. */
	void (*send_digest)(struct anti_entropy_callbacks *callbacks,
			    const struct roster_digest *digest);
	/** Sends the entries that @digest covers; requests the peer's newer
	 * ones. */
	void (*send_exchange)(struct anti_entropy_callbacks *callbacks,
			      const struct roster_digest *digest);
};

/** Responds to a peer's DIGEST with the parts where @roster differs. */
void anti_entropy_compare(const struct roster *roster,
			  const struct roster_digest *remote,
			  struct anti_entropy_callbacks *callbacks);

/**
 * Stores into @members up to @max entries that the sender of @exchange lacks
 * or has in an older version, from roster index @start on; returns their
 * number. A random @start gives peers that join together different parts.
 */
size_t anti_entropy_newer_entries(const struct roster *roster,
				  const struct message *exchange, size_t start,
				  const struct member **members, size_t max);

/** Stores up to @max entries that @digest covers; returns their number. */
size_t anti_entropy_entries(const struct roster *roster,
			    const struct roster_digest *digest,
			    const struct member **members, size_t max);

#endif
