#ifndef TARRAGONFLOW_CONTROL_PLATFORM_SYNC_H
#define TARRAGONFLOW_CONTROL_PLATFORM_SYNC_H

#include "tarragonflow/common/counter.h"
#include "tarragonflow/platform/platform.h"
#include "tarragonflow/roster/roster.h"

/**
 * Decides when one process calls the platform and takes the results. Pure:
 * time and results come in, calls and what was learnt go out.
 */
struct platform_sync_out {
	/** Starts a call; its result comes back as an input. */
	void (*call)(struct platform_sync_out *out,
		     const struct platform_request *request);
	/** A manifest that the platform holds or held. */
	void (*config)(struct platform_sync_out *out, struct str text);
	/** A roster entry that the platform holds. */
	void (*member)(struct platform_sync_out *out,
		       const struct member *entry);
};

struct platform_sync_options {
	struct name deployment;
	struct name name;
	struct name zone;
	enum member_role role;
	/** Seed of the core's random numbers. */
	uint64_t random_seed;
};

struct platform_sync {
	struct platform_sync_options options;
	struct counters *counters;
	int64_t next_call_ms;
	/** Version of the platform's store that the watch has reached. */
	int64_t watch_version;
	bool call_pending;
	uint64_t next_call_id;
};

void platform_sync_init(struct platform_sync *sync,
			const struct platform_sync_options *options,
			struct counters *counters, int64_t now_ms);
void platform_sync_finish(struct platform_sync *sync);

/** Does what is due at @now_ms; @roster is what the process knows. */
void platform_sync_tick(struct platform_sync *sync, const struct roster *roster,
			int64_t now_ms, struct platform_sync_out *out);

/** Takes the result of a call. */
void platform_sync_handle_result(struct platform_sync *sync,
				 const struct platform_result *result,
				 const struct roster *roster, int64_t now_ms,
				 struct platform_sync_out *out);

/** A peer's message arrived with what it knows about the platform. */
void platform_sync_heard(struct platform_sync *sync,
			 const struct platform_ages *ages, int64_t now_ms);

/** What to tell peers about contacts with the platform. */
struct platform_ages platform_sync_ages(const struct platform_sync *sync,
					int64_t now_ms);

/** When platform_sync_tick() wants to run next, ms. */
int64_t platform_sync_next_deadline(const struct platform_sync *sync);

#endif
