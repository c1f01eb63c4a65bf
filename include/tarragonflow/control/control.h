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

/**
 * The control core of one process: keeps its configuration and roster up to
 * date by gossip with its peers and by the platform. Pure: time, randomness,
 * messages and platform results come in; messages and platform requests go
 * out through the sink.
 */
struct control_sink {
	/** Sends a control message, fire and forget. */
	void (*send)(struct control_sink *sink, const struct endpoint *to,
		     const uint8_t *data, size_t len);
	/** Starts a platform call; its result comes back as an input. */
	void (*call)(struct control_sink *sink,
		     const struct store_request *request);
	/**
	 * Sends the frame @request over TCP to the control address @peer; the
	 * answer comes back through control_handle_message(), a failure
	 * through control_pull_failed().
	 */
	void (*pull)(struct control_sink *sink, const struct endpoint *peer,
		     struct str request);
	/** Configuration or roster changed: routing must be computed anew. */
	void (*changed)(struct control_sink *sink);
};

/** Peers that are known from the settings, at most. */
#define CONTROL_SEEDS_MAX 16

/** Peers that wait for our configuration, at most. */
#define CONTROL_PULLS_MAX 16

/** A process that did not run for so long, ms, has been paused. */
#define CONTROL_PAUSE_MS 2000

/** Control bytes that a process sends in a second, when not set. */
#define CONTROL_BYTES_PER_S 3072

struct control_options {
	/** Our entry; sequence and revision are kept by the core. */
	struct member self;
	struct name deployment;
	struct endpoint seeds[CONTROL_SEEDS_MAX];
	size_t n_seeds;
	/** Seed of the core's random numbers. */
	uint64_t random_seed;
	struct keyring keys;
	/** The platform's answers are current, never stale copies. */
	bool platform_is_current;
	/** Time that connections go on in a zone ordered out, ms. */
	int64_t zone_grace_ms;
	/** Control bytes sent in a second; 0: CONTROL_BYTES_PER_S. */
	int64_t bytes_per_s;
};

/** The way back to fresh views after the process did not run. */
struct control_wake {
	/** Set until a peer has told us where the others stand. */
	bool stale;
	/** Matches the answer with our question. */
	uint32_t nonce;
	int64_t next_ask_ms;
	/** Nobody answers: go on alone after this, ms. */
	int64_t give_up_ms;
	/** Release that a peer has in force. */
	int64_t release;
};

struct control {
	struct control_options options;
	struct counters *counters;
	struct roster roster;
	struct zone_orders orders;
	/** When peers told of a member that was not known, ms. */
	int64_t learned_ms;
	/** Lines on members. */
	struct log_budget member_lines;
	struct config_store config;
	struct platform_sync platform;
	struct random random;
	struct failure_detector detector;
	struct gossip_queue queue;
	struct byte_budget budget;
	struct zone_monitor zones;
	struct replay_guard replays;
	struct control_wake wake;
	/** Number of our last message. */
	uint64_t number;
	int64_t started_ms;
	/** Time of the last input, ms; a long gap is a pause. */
	int64_t now_ms;
	int64_t next_gossip_ms;
	int64_t next_exchange_ms;
	int64_t next_pull_ms;
	/** Peers that wait for our configuration. */
	struct endpoint pulls[CONTROL_PULLS_MAX];
	size_t n_pulls;
	/** Peers that a new configuration is still to be pushed to. */
	unsigned int pushes_left;
	int64_t next_push_ms;
	/** Until then peers that lag are told that there is a release, ms. */
	int64_t push_until_ms;
	/** When the next zone ordered out is cut, ms. */
	int64_t next_cut_ms;
	/** What control_roster_known() said last. */
	bool roster_known;
	/** A member became suspected since zones were last looked at. */
	bool suspicions_changed;
};

void control_init(struct control *control,
		  const struct control_options *options,
		  struct counters *counters, int64_t now_ms);
void control_finish(struct control *control);

/** Takes a control message that arrived from @from. */
void control_handle_message(struct control *control,
			    const struct endpoint *from, const uint8_t *data,
			    size_t len, int64_t now_ms,
			    struct control_sink *sink);

/** Takes the result of a platform call. */
void control_handle_result(struct control *control,
			   const struct store_result *result, int64_t now_ms,
			   struct control_sink *sink);

/**
 * Answers a pull that a peer sent over TCP: appends the frame with our
 * configuration to @out; false when @data is not a valid pull or the byte
 * budget is spent.
 */
bool control_answer_pull(struct control *control, const uint8_t *data,
			 size_t len, struct strbuf *out);

/** The pull that was under way brought no answer. */
void control_pull_failed(struct control *control);

/** Does what is due at @now_ms. */
void control_tick(struct control *control, int64_t now_ms,
		  struct control_sink *sink);

/** When control_tick() wants to run next, ms. */
int64_t control_next_deadline(const struct control *control);

/**
 * True after a pause until a peer has told where the others stand; views
 * may be old then.
 */
bool control_stale(const struct control *control);

/**
 * Whether our roster holds all members but the newest: the platform has told
 * it, or we have been here long enough to hear of them.
 */
bool control_roster_known(const struct control *control, int64_t now_ms);

/** Replaces the keys; messages under keys left out are dropped from now. */
void control_set_keys(struct control *control, const struct keyring *keys);

/**
 * Our backend server is of @service and runs @slots requests at once. When
 * that changes, it counts as a new run of ours, so that all take it whole.
 */
void control_set_server(struct control *control, const struct name *service,
			uint32_t slots);

/** Changes our own state and announces it at once. */
void control_set_state(struct control *control, enum member_state state,
		       int64_t now_ms, struct control_sink *sink);

#endif
