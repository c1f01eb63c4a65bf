#ifndef TARRAGONFLOW_CONTROL_FAILURE_DETECTOR_H
#define TARRAGONFLOW_CONTROL_FAILURE_DETECTOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/random.h"
#include "tarragonflow/roster/roster.h"

/** Callbacks by which the failure detector sends messages and reports. */
struct detector_callbacks {
	void (*send_ping)(struct detector_callbacks *callbacks,
			  const struct member *to, uint32_t nonce);
	/** Requests @helper to probe @target. */
	void (*send_ping_request)(struct detector_callbacks *callbacks,
				  const struct member *helper,
				  const struct member *target, uint32_t nonce);
	/** Sends the result of an indirect probe to its requester @to. */
	void (*send_indirect_result)(struct detector_callbacks *callbacks,
				     const struct endpoint *to, bool alive,
				     uint32_t nonce);
	void (*report_suspect)(struct detector_callbacks *callbacks,
			       const struct member *member);
	void (*report_dead)(struct detector_callbacks *callbacks,
			    const struct member *member);
	/** Whether this process probes @member. */
	bool (*is_in_scope)(struct detector_callbacks *callbacks,
			    const struct member *member);
};

/** The probe in progress. */
struct probe {
	bool active;
	struct name name;
	uint64_t instance;
	/** Matches responses with this probe. */
	uint32_t nonce;
	unsigned int rounds_sent;
	/** End of the wait for responses to the current round, ms. */
	int64_t round_end_ms;
	unsigned int ping_requests_sent, nacks_received;
};

/**
 * A suspicion, raised here or received, of the member entry with this instance
 * and sequence. A newer entry of the member ends the suspicion.
 */
struct suspicion {
	struct name name;
	uint64_t instance, sequence;
	int64_t deadline_ms;
};

/** A probe on behalf of another member, the requester. */
struct indirect_probe {
	bool active;
	struct endpoint requester;
	/** Nonce of the requester, returned to it with the result. */
	uint32_t requester_nonce;
	/** Nonce of the ping sent to the target. */
	uint32_t nonce;
	int64_t deadline_ms;
};

#define DETECTOR_INDIRECT_PROBES_MAX 16
#define DETECTOR_HEALTH_SCORE_MAX 8

/**
 * SWIM-style failure detector of one process. It probes the members in its
 * scope in turn, directly and through other members (helpers), suspects those
 * that do not respond, and declares dead those that do not refute the suspicion
 * in time. It does no I/O: the caller passes in time, responses and roster
 * changes, and the callbacks send messages and report suspect and dead members.
 *
 * Local health awareness: failed probes and helpers that do not respond
 * raise a health score, which lengthens the timeouts. A process with a bad
 * network or too little processor time thus suspects others more slowly.
 */
struct failure_detector {
	const struct roster *roster;
	struct name self;
	struct random random;
	uint32_t next_nonce;
	struct probe probe;
	struct suspicion *suspicions;
	size_t n_suspicions, cap_suspicions;
	struct indirect_probe indirect_probes[DETECTOR_INDIRECT_PROBES_MAX];
	/** 0 is healthy; DETECTOR_HEALTH_SCORE_MAX is worst. */
	unsigned int health_score;
	/** A probe cycle visits each roster entry once, in a pseudo-random
	 * order: index of the last entry, distance to the next, steps left. */
	size_t cycle_index, cycle_stride, cycle_steps_left;
	/** Roster size at the start of the cycle; a change starts a new one. */
	size_t cycle_roster_size;
	int64_t next_probe_ms;
	/** Earliest deadline of the suspicions, ms. */
	int64_t next_suspicion_ms;
	/** No member is suspected or declared dead before this time, ms. */
	int64_t no_suspicion_until_ms;
};

/** @roster must live as long as the detector. */
void failure_detector_init(struct failure_detector *detector,
			   const struct roster *roster, const struct name *self,
			   uint64_t seed, int64_t now_ms);
void failure_detector_finish(struct failure_detector *detector);

/** Runs the work that is due at @now_ms. */
void failure_detector_tick(struct failure_detector *detector, int64_t now_ms,
			   struct detector_callbacks *callbacks);

/** Handles an ACK (@alive) or NACK. */
void failure_detector_handle_response(struct failure_detector *detector,
				      uint32_t nonce, bool alive,
				      int64_t now_ms,
				      struct detector_callbacks *callbacks);

/** Probes @target on behalf of @requester. */
void failure_detector_start_indirect_probe(
	struct failure_detector *detector, const struct endpoint *requester,
	const struct member *target, uint32_t nonce, int64_t now_ms,
	struct detector_callbacks *callbacks);

/** Starts or ends a suspicion after the roster's entry @member changed. */
void failure_detector_member_changed(struct failure_detector *detector,
				     const struct member *member,
				     int64_t now_ms);

/**
 * Ends the suspicion of a draining @member because it sent a message. Members
 * in other states end a suspicion only by a newer entry.
 */
void failure_detector_message_received(struct failure_detector *detector,
				       const struct member *member);

/**
 * Discards the probes in progress after this process was paused: missing
 * responses may be due to the pause. No member is suspected or declared dead
 * before @no_suspicion_until_ms.
 */
void failure_detector_reset_after_pause(struct failure_detector *detector,
					int64_t no_suspicion_until_ms,
					int64_t now_ms);

int64_t failure_detector_next_deadline(const struct failure_detector *detector);

/** Time until a suspect among @n_members is declared dead, ms. */
int64_t failure_detector_suspicion_timeout_ms(size_t n_members);

#endif
