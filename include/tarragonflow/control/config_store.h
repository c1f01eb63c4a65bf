#ifndef TARRAGONFLOW_CONTROL_CONFIG_STORE_H
#define TARRAGONFLOW_CONTROL_CONFIG_STORE_H

#include "tarragonflow/common/counter.h"
#include "tarragonflow/manifest/manifest.h"

/**
 * The configuration of one process: the manifest in force and its canonical
 * text. Everything that brings a configuration, from the platform or a peer,
 * goes through config_store_offer(), so a release never reverts.
 *
 * Nothing lasts through a restart, so a starting process first listens for a
 * moment and then takes nothing older than what it had in force before, which
 * its peers remember and tell it. Pure.
 */
struct config_store {
	struct name deployment;
	struct counters *counters;
	/** Release 0 until there is a configuration. */
	struct manifest manifest;
	/** The canonical text of the manifest in force. */
	struct strbuf text;
	/** Greatest release that any member is known to have, or had. */
	int64_t newest;
	/** Release that we had in force before we were started again. */
	int64_t former;
	/** Nothing is put in force before this time, ms. */
	int64_t settled_ms;
	/** What the platform says is current: it need not settle. */
	bool platform_is_current;
	/** Best offer of a starting process that is not in force yet. */
	struct strbuf held;
	int64_t held_release;
	/** No further pull before this time, ms; 0 while none is under way. */
	int64_t next_pull_ms;
};

/** Manifests up to this size ride in a datagram; larger ones are pulled. */
#define CONFIG_DATAGRAM_MAX 400

/** Time a starting process listens before it takes a release, ms. */
#define CONFIG_SETTLE_MS 300

/** Time a pull may take, ms. */
#define CONFIG_PULL_TIMEOUT_MS 1000

/** A pull that takes longer than this does not hold up the next one, ms. */
#define CONFIG_PULL_HEDGE_MS 300

/** Pulls under way at once, at most. */
#define CONFIG_PULLS_MAX 4

void config_store_init(struct config_store *store,
		       const struct name *deployment, struct counters *counters,
		       int64_t now_ms);
void config_store_finish(struct config_store *store);

/** The release in force, 0 when there is none. */
int64_t config_store_release(const struct config_store *store);

/** Some member has, or had, @release in force. */
void config_store_note_release(struct config_store *store, uint64_t release);

/** A former run of this process had @release in force. */
void config_store_note_former(struct config_store *store, uint64_t release);

enum config_source {
	CONFIG_FROM_PLATFORM,
	CONFIG_FROM_PEER,
	/** Held until the process had settled. */
	CONFIG_HELD,
};

/**
 * Puts @text in force when it is a valid manifest of the deployment with a
 * greater release; true when it was.
 */
bool config_store_offer(struct config_store *store, struct str text,
			enum config_source source, int64_t now_ms);

/** Puts in force what was held, when its time has come; true when it was. */
bool config_store_tick(struct config_store *store, int64_t now_ms);

/** When config_store_tick() may have something to do, ms. */
int64_t config_store_next_deadline(const struct config_store *store);

/**
 * True, and a pull is noted as under way, when @release is newer than what
 * is in force and none is under way.
 */
bool config_store_start_pull(struct config_store *store, int64_t release,
			     int64_t now_ms);

/** The pull ended. */
void config_store_end_pull(struct config_store *store);

/** The text as a datagram may carry it: empty when it is too large. */
struct str config_store_datagram(const struct config_store *store);

#endif
