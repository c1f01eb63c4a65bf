#ifndef TARRAGONFLOW_CONTROL_CONTROL_H
#define TARRAGONFLOW_CONTROL_CONTROL_H

#include "tarragonflow/common/counter.h"
#include "tarragonflow/control/config_store.h"
#include "tarragonflow/control/message.h"
#include "tarragonflow/control/platform_sync.h"
#include "tarragonflow/platform/platform.h"
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
		     const struct platform_request *request);
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

struct control_options {
	/** Our entry; sequence and revision are kept by the core. */
	struct member self;
	struct name deployment;
	struct endpoint seeds[CONTROL_SEEDS_MAX];
	size_t n_seeds;
	/** Seed of the core's random numbers. */
	uint64_t random_seed;
};

struct control {
	struct control_options options;
	struct counters *counters;
	struct roster roster;
	struct config_store config;
	struct platform_sync platform;
	uint64_t random_state;
	/** Time of the input that is being handled, ms. */
	int64_t now_ms;
	int64_t next_gossip_ms;
	int64_t next_announce_ms;
	/** Where the rotating window of gossiped entries stands. */
	size_t gossip_cursor;
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
			   const struct platform_result *result, int64_t now_ms,
			   struct control_sink *sink);

/**
 * Answers a pull that a peer sent over TCP: appends the frame with our
 * configuration to @out; false when @data is not a valid pull.
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

/** Changes our own state and announces it at once. */
void control_set_state(struct control *control, enum member_state state,
		       int64_t now_ms, struct control_sink *sink);

#endif
