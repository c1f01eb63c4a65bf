#ifndef TARRAGONFLOW_CONTROL_CONFIG_STORE_H
#define TARRAGONFLOW_CONTROL_CONFIG_STORE_H

#include "tarragonflow/common/counter.h"
#include "tarragonflow/manifest/manifest.h"

/**
 * The configuration of one process: the manifest in force and its canonical
 * text. Every configuration, from the platform or a peer, passes through
 * config_store_offer(), so a release never reverts.
 *
 * Nothing is stored on disk. A starting process therefore holds releases back
 * for a short settling time, and then applies none that is older than the one
 * its previous run had in force; its peers remember that release and send it.
 * Pure.
 */
struct config_store {
	struct name deployment;
	struct counters *counters;
	/** Release 0 until there is a configuration. */
	struct manifest manifest;
	/** The canonical text of the manifest in force. */
	struct strbuf text;
	/** Greatest release known to be or have been in force at any member. */
	int64_t newest_release;
	/** Release that the previous run of this process had in force. */
	int64_t previous_release;
	/** End of the settling time; no release is applied before it, ms. */
	int64_t settle_end_ms;
	/** The platform's store returns the newest release, so one read from it
	 * is applied without the settling time. */
	bool platform_is_current;
	/** Text of the newest release that is held back; else empty. */
	struct strbuf held_text;
	/** Release of held_text, 0 for none. */
	int64_t held_release;
	/** No further pull starts before this time, ms; 0 after a pull ended.
	 */
	int64_t next_pull_ms;
};

/** Largest manifest text sent in a datagram, in bytes; larger ones are pulled
 * over TCP. */
#define CONFIG_DATAGRAM_MAX 400

/** Settling time of a starting process, ms. */
#define CONFIG_SETTLE_MS 300

/** Timeout of a pull, ms. */
#define CONFIG_PULL_TIMEOUT_MS 1000

/** While a pull is in progress, another one may start after this time, ms. */
#define CONFIG_PULL_HEDGE_MS 300

/** Maximum number of concurrent pulls. */
#define CONFIG_PULLS_MAX 4

void config_store_init(struct config_store *store,
		       const struct name *deployment, struct counters *counters,
		       int64_t now_ms);
void config_store_finish(struct config_store *store);

/** The release in force, 0 when there is none. */
int64_t config_store_release(const struct config_store *store);

/** Records that some member has or had @release in force. */
void config_store_record_release(struct config_store *store, uint64_t release);

/** Records that a previous run of this process had @release in force. */
void config_store_record_previous_release(struct config_store *store,
					  uint64_t release);

enum config_source {
	CONFIG_FROM_PLATFORM,
	CONFIG_FROM_PEER,
	/** Held back until the end of the settling time. */
	CONFIG_HELD,
};

/**
 * Applies @text if it is a valid manifest of the deployment with a greater
 * release than the one in force; true if it was applied. A starting process
 * may hold the release back; config_store_tick() applies it later.
 */
bool config_store_offer(struct config_store *store, struct str text,
			enum config_source source, int64_t now_ms);

/** Applies the release held back when it is due; true if applied. */
bool config_store_tick(struct config_store *store, int64_t now_ms);

/** When config_store_tick() has to run next, ms. */
int64_t config_store_next_deadline(const struct config_store *store);

/**
 * True if the caller should pull @release now: @release is newer than the one
 * in force, and no pull has started within CONFIG_PULL_HEDGE_MS.
 */
bool config_store_start_pull(struct config_store *store, int64_t release,
			     int64_t now_ms);

/** Records the end of a pull, so that the next one may start at once. */
void config_store_end_pull(struct config_store *store);

/** The manifest text in force; empty when too large for a datagram. */
struct str config_store_datagram_text(const struct config_store *store);

#endif
