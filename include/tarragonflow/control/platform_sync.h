#ifndef TARRAGONFLOW_CONTROL_PLATFORM_SYNC_H
#define TARRAGONFLOW_CONTROL_PLATFORM_SYNC_H

#include "tarragonflow/common/counter.h"
#include "tarragonflow/common/random.h"
#include "tarragonflow/control/roster_sync.h"
#include "tarragonflow/store/call_policy.h"
#include "tarragonflow/store/object_store.h"
#include "tarragonflow/roster/roster.h"
#include "tarragonflow/roster/zone_orders.h"

/**
 * Decides when this process calls the platform's object store and processes
 * the results. Pure: time and results are passed in; calls, and the objects
 * that were read, are passed out through struct platform_sync_out.
 *
 * A few processes per zone, selected by rendezvous hash over the live
 * members, watch the manifest and read it again every few seconds. All other
 * processes rely on gossip. Every control message carries the times since any
 * process, and since a selected watcher, last reached the platform. When they
 * grow too long, a process probes the platform itself, at a rate that all
 * such processes share, and watches as a substitute while the selected
 * watchers cannot reach the platform.
 */
struct platform_sync_out {
	/** Starts a call; its result is passed to
	 * platform_sync_handle_result(). */
	void (*call)(struct platform_sync_out *out,
		     const struct store_request *request);
	/** Delivers a manifest that the platform holds or held. */
	void (*config)(struct platform_sync_out *out, struct str text);
	/**
	 * Delivers the zone orders that the platform holds at @version: all
	 * of them when @complete, otherwise only those that changed.
	 */
	void (*zones)(struct platform_sync_out *out,
		      const struct zone_orders *orders, bool complete,
		      uint64_t version);
	/** Delivers a roster entry that the platform holds. */
	void (*member)(struct platform_sync_out *out,
		       const struct member *entry);
};

struct platform_sync_options {
	struct name deployment;
	/** Member name of this process. */
	struct name name;
	struct name zone;
	enum member_role role;
	/** Seed of the core's random numbers. */
	uint64_t random_seed;
	/**
	 * The platform's answers are current, never stale copies: a starting
	 * process reads from it at once, after a short random delay, instead
	 * of waiting for its peers' messages first.
	 */
	bool platform_is_current;
};

/** Purpose of a call. */
enum platform_task {
	TASK_NONE,
	/** Watch the manifest. */
	TASK_WATCH,
	/** Read the manifest and the store's version to watch from. */
	TASK_LIST_CONFIG,
	/** Read the manifest only. */
	TASK_READ_CONFIG,
	/** Read all zone orders and the version to watch from. */
	TASK_LIST_ZONES,
	TASK_WATCH_ZONES,
	/** Read the roster, or one page of its shards, to find peers. */
	TASK_LIST_ROSTER,
	TASK_READ_SHARD,
	TASK_WRITE_SHARD,
};

/** State of one kind of call, of which one at a time is in progress. */
struct platform_call {
	/** TASK_NONE while no call is in progress. */
	enum platform_task task;
	/** Request id of the call in progress. */
	uint64_t id;
	/** When the call in progress fails for lack of a result, ms. */
	int64_t deadline_ms;
	/** The next call does not start before this time, ms. */
	int64_t not_before_ms;
	struct backoff backoff;
};

/** State of the control core that the decisions depend on. */
struct platform_view {
	const struct roster *roster;
	/** Release in force, 0 for none. */
	int64_t release;
	/** Greatest release that any member is known to have. */
	int64_t newest_release;
	/** The roster is expected to hold all members. */
	bool roster_known;
};

struct platform_sync {
	struct platform_sync_options options;
	struct counters *counters;
	struct random random;
	/** Rate limit over all calls. */
	struct call_budget budget;
	/** Watches the manifest. */
	struct platform_call watch_call;
	/** Reads the manifest. */
	struct platform_call config_call;
	/** Lists the zone orders, then watches them. */
	struct platform_call zones_call;
	/** Lists the roster. */
	struct platform_call list_call;
	/** Reads and writes single shards of the roster. */
	struct platform_call shard_call;
	/** Id of the last request. */
	uint64_t last_request_id;
	int64_t start_ms;
	/** Last known contact of any process with the platform, ms. */
	int64_t contact_ms;
	/** Last known contact of a selected watcher, ms. */
	int64_t watcher_contact_ms;
	/** Calls that failed since the platform was last reached. */
	uint32_t failed_calls;
	/** When the first of them failed, ms. */
	int64_t first_failure_ms;
	/** Last message of a peer, ms. */
	int64_t last_message_ms;
	/** This process is a selected watcher of its zone. */
	bool selected;
	int64_t next_selection_ms;
	/** While not all members are known, this process does not count as
	 * selected before this time, ms. */
	int64_t selection_hold_until_ms;
	/** Until then this process watches although not selected, ms. */
	int64_t substitute_until_ms;
	/** No watch starts before this time, ms. */
	int64_t watch_not_before_ms;
	/** When this process probes the platform, ms; CLOCK_NEVER for never. */
	int64_t next_probe_ms;
	/** Since when a newer release than the one in force is known, ms;
	 * CLOCK_NEVER while there is none. */
	int64_t outdated_since_ms;
	/** Store version that the manifest watch has reached, 0 for none. */
	int64_t watch_version;
	/** Version of the last manifest object that was delivered. */
	int64_t config_version;
	/** Store version that the zone watch has reached; 0: list first. */
	int64_t zones_version;
	/** The list of the whole roster at the start was sent. */
	bool initial_list_sent;
	bool initial_selection_done;
	/** The platform has returned the whole roster, from a current copy. */
	bool full_roster_received;
	/** The last list was of the whole roster, not of a page of shards. */
	bool list_covers_all;
	/** The last list may be seconds old, so members may be missing. */
	bool list_may_be_stale;
	/** The whole roster does not fit into one answer of the store. */
	bool roster_exceeds_answer;
	/** The last shard write failed because its read was stale. */
	bool shard_write_conflicted;
	/** Pages of the roster that were requested, one bit each. */
	uint32_t pages_requested;
	struct roster_sync roster_sync;
	/** Value to write to the shard that was just read. */
	struct strbuf shard_value;
	/** Version of that shard, 0 when it does not exist yet. */
	int64_t shard_version;
};

void platform_sync_init(struct platform_sync *sync,
			const struct platform_sync_options *options,
			struct counters *counters, int64_t now_ms);
void platform_sync_finish(struct platform_sync *sync);

/** Starts the calls that are due at @now_ms and fails overdue ones. */
void platform_sync_tick(struct platform_sync *sync,
			const struct platform_view *view, int64_t now_ms,
			struct platform_sync_out *out);

/**
 * Processes the result of a call. Results of no call in progress are counted
 * and ignored.
 */
void platform_sync_handle_result(struct platform_sync *sync,
				 const struct store_result *result,
				 const struct platform_view *view,
				 int64_t now_ms, struct platform_sync_out *out);

/** Merges the contact ages that a peer's message carried. */
void platform_sync_merge_ages(struct platform_sync *sync,
			      const struct store_contact_ages *ages,
			      int64_t now_ms);

/** The contact ages to send to peers. */
struct store_contact_ages
platform_sync_contact_ages(const struct platform_sync *sync, int64_t now_ms);

/** When platform_sync_tick() has to run next, ms. */
int64_t platform_sync_next_deadline(const struct platform_sync *sync);

/** True while this process watches the platform, selected or not. */
bool platform_sync_watches(const struct platform_sync *sync, int64_t now_ms);

#endif
