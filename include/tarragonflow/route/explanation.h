#ifndef TARRAGONFLOW_ROUTE_EXPLANATION_H
#define TARRAGONFLOW_ROUTE_EXPLANATION_H

#include "tarragonflow/route/balancer.h"

/** Whether a SYN can be sent to a candidate, or what rules it out. */
enum candidate_verdict {
	CANDIDATE_ELIGIBLE,
	/** Draining, or its server accepts no new connections. */
	CANDIDATE_DRAINING,
	CANDIDATE_ZONE_OUT_OF_SERVICE,
	/** Packets sent to it do not arrive. */
	CANDIDATE_UNREACHABLE,
	CANDIDATE_LOAD_UNKNOWN,
	CANDIDATE_LOAD_TOO_OLD,
	/** Full, cold, or not serving, by its own load report. */
	CANDIDATE_FULL,
};

struct candidate_explanation {
	uint32_t member_id;
	struct name zone;
	enum candidate_verdict verdict;
	/** Did not respond to probes: sorted last in the chain. */
	bool suspect;
	/** Load as last reported; PACKET_LOAD_FULL: unknown or full. */
	uint16_t reported_load;
	/** Age of that report, ms; -1: none. */
	int64_t load_age_ms;
	/** Load of the connections sent by this balancer since. */
	uint32_t sent_load;
	/** Load added as the server is in another zone. */
	uint32_t cross_zone_load;
	/** The sum, by which candidates are compared; PACKET_LOAD_FULL: ruled
	 * out. */
	uint32_t total_load;
};

/** How far the explanation of a decision got. */
enum explanation_result {
	/** A candidate was selected. */
	EXPLANATION_SELECTED,
	EXPLANATION_NO_CONFIG,
	EXPLANATION_NO_ROUTE,
	/** All services of the route have the weight 0. */
	EXPLANATION_NO_WEIGHT,
	EXPLANATION_NO_SERVER,
	/** The rest also have candidates. No candidate accepts connections. */
	EXPLANATION_NONE_ACCEPTS,
	/** The load of each candidate that accepts connections is unknown. */
	EXPLANATION_NO_LOAD_KNOWN,
	/** As above, as all of these loads are too old. */
	EXPLANATION_LOADS_TOO_OLD,
	/** Each candidate that accepts connections is full or unreachable, or
	 * its load is unknown. */
	EXPLANATION_ALL_RULED_OUT,
};

/**
 * The decision on a SYN as it would be made now, without sending it: a copy,
 * valid independently of the view it was made from.
 */
struct explanation {
	enum explanation_result result;
	/** The view; 0 without configuration. */
	int64_t release;
	/** Age of the view, ms. */
	int64_t view_age_ms;
	bool roster_complete;
	/** Members of all services in the view. */
	size_t n_members;
	/** Servers report their load, and SYNs are sent by it. */
	bool least_load_enabled;
	/** Most agents are unreachable; only with `least_load_enabled`. */
	bool isolated;
	/** Zone of the balancer. */
	struct name zone;
	/** The route: its priority and objective, ms; 0: not set. */
	uint16_t priority;
	uint32_t objective_ms;
	/** The service selected from the route's services by weight. */
	struct name service;
	uint32_t service_weight, total_weight;
	uint32_t bucket, n_buckets;
	struct candidate_explanation candidates[CHAIN_MAX];
	uint8_t n_candidates;
	/** Where the SYN would be sent, also when all candidates are ruled out.
	 */
	struct syn_target target;
};

/**
 * Explains the decision on a SYN with @key, by the functions that decide on
 * real ones. No load, hint, counter or log line changes.
 */
void explanation_init(struct explanation *explanation,
		      const struct balancer *balancer,
		      const struct flow_key *key, int64_t now_ms);

/** Texts for documents; static. */
const char *candidate_verdict_text(enum candidate_verdict verdict);
const char *syn_reason_text(enum syn_reason reason);

/** What went wrong; NULL for EXPLANATION_SELECTED. */
const char *explanation_error_text(enum explanation_result result);

#endif
