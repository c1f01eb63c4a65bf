#ifndef TARRAGONFLOW_CONTROL_PLATFORM_SYNC_H
#define TARRAGONFLOW_CONTROL_PLATFORM_SYNC_H

#include "tarragonflow/common/counter.h"
#include "tarragonflow/common/random.h"
#include "tarragonflow/control/roster_sync.h"
#include "tarragonflow/store/call_policy.h"
#include "tarragonflow/store/object_store.h"
#include "tarragonflow/roster/roster.h"
#include "tarragonflow/roster/zone_orders.h"

/** Zone orders that the platform holds. */
struct zone_orders_update {
	struct zone_orders orders;
	/** Epoch and version of the platform's store. */
	uint64_t epoch, version;
	/** All zones without an order are in service. */
	bool is_full_list;
	/** The list also decides about zones with orders of earlier epochs.
	 */
	bool decides_earlier_epochs;
};

/** Callbacks that start calls to the platform and deliver what was read. */
struct platform_sync_callbacks {
	/** Starts a call to the platform's object store; its result is passed
	 * to platform_sync_handle_result(). */
	void (*start_call)(struct platform_sync_callbacks *callbacks,
			   const struct store_request *request);
	/** Cancels the call with @id in @queue; its result is ignored. */
	void (*cancel_call)(struct platform_sync_callbacks *callbacks,
			    enum store_queue queue, uint64_t id);
	/** Delivers a manifest that the platform holds or held. */
	void (*deliver_config)(struct platform_sync_callbacks *callbacks,
			       struct str text);
	/** Delivers zone orders that the platform holds. */
	void (*deliver_zone_orders)(struct platform_sync_callbacks *callbacks,
				    const struct zone_orders_update *update);
	/** Delivers a roster entry that the platform holds. */
	void (*deliver_member)(struct platform_sync_callbacks *callbacks,
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
	 * Reads from the store are strongly consistent, never stale: a starting
	 * process reads from the store after a short random delay, instead of
	 * waiting for its peers' messages first.
	 */
	bool strong_reads;
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
	/** Read the platform's copy of the roster, or one page of its shards.
	 */
	TASK_LIST_ROSTER,
	TASK_READ_SHARD,
	TASK_WRITE_SHARD,
};

/** State of one kind of call; one call of each kind runs at a time. */
struct platform_call {
	/** TASK_NONE while no call is in progress. */
	enum platform_task task;
	/** Request id of the call in progress. */
	uint64_t id;
	enum store_queue queue;
	/** Newest epoch of the store that was known when the call started. */
	uint64_t epoch;
	int64_t started_ms;
	/** When the call in progress fails if it has no result by then, ms. */
	int64_t deadline_ms;
	/** The next call does not start before this time, ms. */
	int64_t not_before_ms;
	struct backoff backoff;
};

/** State of the control core that struct platform_sync depends on. */
struct platform_view {
	const struct roster *roster;
	/** Release in force, 0 for none. */
	int64_t release;
	/** Greatest release that any member is known to have. */
	int64_t newest_release;
	/** The roster should contain all members. */
	bool roster_complete;
	/** Oldest epoch of a zone order; UINT64_MAX if there is none. */
	uint64_t oldest_order_epoch;
};

/**
 * Decides when this process calls the platform's object store and processes
 * the results. Pure: time and results are passed in; calls, and the objects
 * that were read, are passed out through struct platform_sync_callbacks.
 *
 * A few processes per zone, selected by rendezvous hash over the live
 * members, watch the manifest and read it again every few seconds. All other
 * processes rely on gossip. Every control message carries the times since any
 * process, and since a selected watcher, last reached the platform. When these
 * times grow too long, a process probes the platform itself, at a rate that all
 * such processes share, and watches as a substitute while the selected
 * watchers cannot reach the platform.
 */
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
	/** When any process last reached the platform, as known here, ms. */
	int64_t last_contact_ms;
	/** When a selected watcher last reached the platform, as known here,
	 * ms. */
	int64_t last_watcher_contact_ms;
	/** Calls that failed since the platform was last reached. */
	uint32_t failed_calls;
	/** When the first of the failed calls failed, ms. */
	int64_t first_failure_ms;
	/** When a peer's message was last received, ms. */
	int64_t last_message_ms;
	/** This process is a selected watcher of its zone. */
	bool selected;
	int64_t next_selection_ms;
	/** While the roster is incomplete, this process does not count as
	 * selected before this time, ms. */
	int64_t selection_hold_until_ms;
	/** Until this time the process watches although not selected, ms. */
	int64_t substitute_until_ms;
	/** No watch starts before this time, ms. */
	int64_t watch_not_before_ms;
	/** When this process probes the platform, ms; CLOCK_NEVER for never. */
	int64_t next_probe_ms;
	/** Since when a newer release than the one in force is known, ms;
	 * CLOCK_NEVER while there is none. */
	int64_t outdated_since_ms;
	/** Newest epoch of the store that a response had; 0 until the first.
	 * All versions below are of this epoch. */
	uint64_t epoch;
	/** When the first response of that epoch arrived, ms. */
	int64_t epoch_start_ms;
	/** Newest epoch that peers have reported, and the last one of them for
	 * which the versions were forgotten. */
	uint64_t reported_epoch, checked_epoch;
	/** When any process last found the store restored from an older copy,
	 * as known here, ms. */
	int64_t last_restore_ms;
	/** Store version that the manifest watch has reached, 0 for none. */
	int64_t watch_version;
	/** Version of the last manifest object that was delivered. */
	int64_t config_version;
	/** Store version that the zone watch has reached; 0: list first. */
	int64_t zones_version;
	/** The request to list the whole roster at the start was sent. */
	bool initial_list_sent;
	/** The selection after the start has been made. */
	bool initial_selection_done;
	/** The platform has returned the whole roster by a read that was not
	 * stale. */
	bool full_roster_received;
	/** The last list call was for the whole roster, not for a page. */
	bool list_covers_all;
	/** The result of the last list call may be seconds old, so members may
	 * be missing. */
	bool list_may_be_stale;
	/** The whole roster does not fit into one response of the store. */
	bool roster_exceeds_one_response;
	/** The last shard write failed: the copy read before it was stale. */
	bool shard_write_conflicted;
	/** Pages of the roster that were requested, one bit each. */
	uint32_t pages_requested;
	struct roster_sync roster_sync;
	/** Value to write to the roster shard that was just read. */
	struct strbuf shard_value;
	/** Version of the shard that was just read, 0 if it does not exist. */
	int64_t shard_version;
};

void platform_sync_init(struct platform_sync *sync,
			const struct platform_sync_options *options,
			struct counters *counters, int64_t now_ms);
void platform_sync_finish(struct platform_sync *sync);

/** Starts the calls that are due at @now_ms and fails overdue ones. */
void platform_sync_tick(struct platform_sync *sync,
			const struct platform_view *view, int64_t now_ms,
			struct platform_sync_callbacks *callbacks);

/**
 * Processes the result of a call. Results of no call in progress are counted
 * and ignored.
 */
void platform_sync_handle_result(struct platform_sync *sync,
				 const struct store_result *result,
				 const struct platform_view *view,
				 int64_t now_ms,
				 struct platform_sync_callbacks *callbacks);

/** Merges the ages that a peer's message carried. */
void platform_sync_merge_ages(struct platform_sync *sync,
			      const struct store_contact_ages *ages,
			      int64_t now_ms);

/** Records the newest epoch of the store that a peer knows. */
void platform_sync_merge_epoch(struct platform_sync *sync, uint64_t epoch);

/** Whether a process found the store restored in the @ms before @now_ms. */
bool platform_sync_restored_within(const struct platform_sync *sync, int64_t ms,
				   int64_t now_ms);

/** The newest epoch of the store that is known, to send to peers. */
uint64_t platform_sync_newest_epoch(const struct platform_sync *sync);

/** The ages to send to peers. */
struct store_contact_ages
platform_sync_contact_ages(const struct platform_sync *sync, int64_t now_ms);

/** When platform_sync_tick() has to run next, ms. */
int64_t platform_sync_next_deadline(const struct platform_sync *sync);

/** True while this process watches the platform, selected or substitute. */
bool platform_sync_watches(const struct platform_sync *sync, int64_t now_ms);

#endif
