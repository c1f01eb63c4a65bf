#ifndef TARRAGONFLOW_CONTROL_CONTROL_H
#define TARRAGONFLOW_CONTROL_CONTROL_H

#include "tarragonflow/common/counter.h"
#include "tarragonflow/common/log.h"
#include "tarragonflow/common/random.h"
#include "tarragonflow/control/auth.h"
#include "tarragonflow/control/byte_budget.h"
#include "tarragonflow/control/config_store.h"
#include "tarragonflow/control/failure_detector.h"
#include "tarragonflow/control/gossip_queue.h"
#include "tarragonflow/control/message.h"
#include "tarragonflow/control/platform_sync.h"
#include "tarragonflow/control/zone_monitor.h"
#include "tarragonflow/store/object_store.h"
#include "tarragonflow/roster/roster.h"

/** Callbacks through which the control core sends messages and makes calls. */
struct control_sink {
	/** Sends a control message; its delivery is not acknowledged. */
	void (*send)(struct control_sink *sink, const struct endpoint *to,
		     const uint8_t *data, size_t len);
	/** Starts a platform call; control_handle_result() takes its result. */
	void (*call_platform)(struct control_sink *sink,
			      const struct store_request *request);
	/** Cancels the platform call with @id in @queue, if in progress. */
	void (*cancel_platform_call)(struct control_sink *sink,
				     enum store_queue queue, uint64_t id);
	/**
	 * Sends the frame @request over TCP to the control address @peer. The
	 * response is passed to control_handle_message(), a failure to
	 * control_pull_failed().
	 */
	void (*pull_config)(struct control_sink *sink,
			    const struct endpoint *peer, struct str request);
	/** Inputs of the routing changed: routes must be recomputed. */
	void (*routing_changed)(struct control_sink *sink);
};

/** Maximum number of seed peers in the settings. */
#define CONTROL_SEEDS_MAX 16

/** Maximum number of peers in the queue for the local configuration. */
#define CONTROL_CONFIG_RECIPIENTS_MAX 16

/** A gap of at least this between two inputs counts as a pause of the process,
 * ms. */
#define CONTROL_PAUSE_MIN_MS 2000

/** Default limit on the control bytes that a process sends per second. */
#define CONTROL_BYTES_PER_S 3072

struct control_options {
	/** Roster entry of this process, the local entry; the core maintains
	 * its sequence and config_revision. */
	struct member self;
	struct name deployment;
	struct endpoint seeds[CONTROL_SEEDS_MAX];
	size_t n_seeds;
	/** Seed of the core's random numbers. */
	uint64_t random_seed;
	struct keyring keys;
	/** Reads from the store are strongly consistent, never stale. */
	bool strong_reads;
	/** How long open connections continue in a zone after an order has put
	 * it out of service, ms. */
	int64_t zone_grace_ms;
	/** Control bytes sent per second; 0 means CONTROL_BYTES_PER_S. */
	int64_t bytes_per_s;
	/** How long the join is delayed, unless control_join() or
	 * control_set_state() comes before, ms. */
	int64_t join_delay_ms;
};

/**
 * Resynchronization after a pause of this process: its configuration and
 * roster may be outdated, so peers are queried for theirs.
 */
struct control_resync {
	/** Set until a peer's release is in force here or the deadline passes.
	 */
	bool active;
	/** Matches responses with the requests. */
	uint32_t nonce;
	int64_t next_request_ms;
	/** The resync ends at this time at the latest, ms. */
	int64_t deadline_ms;
	/** Release in force at a peer that responded; -1 for none. */
	int64_t peer_release;
};

/**
 * The control core of one process: keeps its configuration and roster up to
 * date by gossip with its peers and by reads from the platform. It does no I/O:
 * the caller passes in time, messages and platform results; messages and
 * platform requests go out through the sink. Random numbers come from a seed.
 */
struct control {
	struct control_options options;
	struct counters *counters;
	struct roster roster;
	struct zone_orders zone_orders;
	/** When a peer last reported a member that the roster lacked, ms. */
	int64_t last_discovery_ms;
	/** Rate limits of the log lines about members, and about entries of
	 * messages that were skipped. */
	struct log_rate_limit member_log_budget, skipped_log_budget;
	struct config_store config;
	struct platform_sync platform;
	struct random random;
	struct failure_detector detector;
	struct gossip_queue gossip_queue;
	struct byte_budget byte_budget;
	struct zone_monitor zone_monitor;
	struct replay_guard replay_guard;
	struct control_resync resync;
	/** Sequence number of the last message sent. */
	uint64_t last_message_number;
	int64_t started_ms;
	/** Time of the last input, ms. */
	int64_t now_ms;
	int64_t next_gossip_ms;
	int64_t next_anti_entropy_ms;
	/** Earliest time of the next request for an entry or a newer release,
	 * ms. */
	int64_t next_pull_ms;
	/** Queue of peers that the local configuration is sent to. */
	struct endpoint config_recipients[CONTROL_CONFIG_RECIPIENTS_MAX];
	size_t n_config_recipients;
	/** How many more peers a new configuration is pushed to. */
	unsigned int pushes_left;
	int64_t next_push_ms;
	/** End of pushing and announcing a new release to peers, ms. */
	int64_t push_until_ms;
	/** When the open connections of an out-of-service zone are dropped
	 * next, ms. */
	int64_t next_cut_ms;
	/** When this process joins the others: it sends no messages of its own
	 * before, and only responds, ms. */
	int64_t join_ms;
	/** Last result of control_roster_is_complete(). */
	bool roster_complete;
	/** Members became suspect since the last check for lost zones. */
	bool has_new_suspects;
};

void control_init(struct control *control,
		  const struct control_options *options,
		  struct counters *counters, int64_t now_ms);
void control_finish(struct control *control);

/** Handles a control message received from @from. */
void control_handle_message(struct control *control,
			    const struct endpoint *from, const uint8_t *data,
			    size_t len, int64_t now_ms,
			    struct control_sink *sink);

/** Handles the result of a platform call. */
void control_handle_result(struct control *control,
			   const struct store_result *result, int64_t now_ms,
			   struct control_sink *sink);

/**
 * Handles a configuration pull that a peer sent over TCP: appends the
 * response frame to @out. False when @data is not a valid pull or the byte
 * budget is exhausted.
 */
bool control_handle_pull(struct control *control, const uint8_t *data,
			 size_t len, struct strbuf *out);

/** Ends the pull in progress, which failed or got no response. */
void control_pull_failed(struct control *control);

/** Runs the work that is due at @now_ms. */
void control_tick(struct control *control, int64_t now_ms,
		  struct control_sink *sink);

/** When control_tick() has work to do next, ms. */
int64_t control_next_deadline(const struct control *control);

/**
 * True after a pause, until a peer's release is in force here or the resync
 * times out; the configuration and the roster may be outdated meanwhile.
 */
bool control_is_resyncing(const struct control *control);

/**
 * True if the roster should contain all members except the newest ones: it was
 * read from the platform, or this process has run long enough to receive it
 * from peers.
 */
bool control_roster_is_complete(const struct control *control, int64_t now_ms);

/** Replaces the keys; messages signed with any other key are dropped. */
void control_set_keys(struct control *control, const struct keyring *keys);

/**
 * Sets the service of the local backend server and the number of requests
 * that it runs at once. A change starts a new instance of the local entry, so
 * that peers replace the whole entry.
 */
void control_set_server(struct control *control, const struct name *service,
			uint32_t slots);

/**
 * Whether @service is in the configuration in force, or agents have backend
 * servers of it: a release may drop a service whose servers go on.
 */
bool control_knows_service(const struct control *control,
			   const struct name *service);

/** Ends the delay of the join. */
void control_join(struct control *control, int64_t now_ms);

/** Changes the state of the local entry and announces it at once. */
void control_set_state(struct control *control, enum member_state state,
		       int64_t now_ms, struct control_sink *sink);

#endif
