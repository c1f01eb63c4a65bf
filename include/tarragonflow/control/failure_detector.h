#ifndef TARRAGONFLOW_CONTROL_FAILURE_DETECTOR_H
#define TARRAGONFLOW_CONTROL_FAILURE_DETECTOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/random.h"
#include "tarragonflow/roster/roster.h"

/**
 * SWIM-style failure detection of one process: probes the members of its
 * scope in turn, directly and through others; suspects who does not answer;
 * declares dead who does not refute the suspicion in time. Pure: time,
 * answers and what others say come in, messages and verdicts go out.
 *
 * Local health awareness: probes that fail and helpers that stay silent
 * raise a score that stretches our own timeouts, so that a process with a
 * bad network or no processor time accuses others more slowly.
 */
struct detector_out {
	void (*ping)(struct detector_out *out, const struct member *to,
		     uint32_t nonce);
	/** Asks @helper to probe @target. */
	void (*ping_request)(struct detector_out *out,
			     const struct member *helper,
			     const struct member *target, uint32_t nonce);
	/** Tells the asker of a PING_REQUEST how it went. */
	void (*relay_answer)(struct detector_out *out,
			     const struct endpoint *to, bool alive,
			     uint32_t nonce);
	void (*suspect)(struct detector_out *out, const struct member *member);
	void (*dead)(struct detector_out *out, const struct member *member);
	/** Whether @member is in the scope of our probes. */
	bool (*in_scope)(struct detector_out *out, const struct member *member);
};

/** The probe under way. */
struct probe {
	bool active;
	struct name name;
	uint64_t instance;
	uint32_t nonce;
	/** Rounds sent. */
	unsigned int round;
	int64_t next_ms;
	/** Helpers asked, and those that have answered. */
	unsigned int asked, answered;
};

/** A member that is suspected, by us or others, at its present word. */
struct suspicion {
	struct name name;
	uint64_t instance, sequence;
	int64_t deadline_ms;
};

/** A probe that we make for somebody else. */
struct relay {
	bool active;
	struct endpoint asker;
	uint32_t asker_nonce;
	uint32_t nonce;
	int64_t deadline_ms;
};

#define DETECTOR_RELAYS_MAX 16
#define DETECTOR_HEALTH_MAX 8

struct failure_detector {
	const struct roster *roster;
	struct name self;
	struct random random;
	uint32_t next_nonce;
	struct probe probe;
	struct suspicion *suspicions;
	size_t n_suspicions, cap_suspicions;
	struct relay relays[DETECTOR_RELAYS_MAX];
	/** 0 is healthy; DETECTOR_HEALTH_MAX is worst. */
	unsigned int health;
	/** Walk over the roster: start, stride and steps taken. */
	size_t walk_at, walk_stride, walk_left, walk_n;
	int64_t next_probe_ms;
	int64_t next_suspicion_ms;
	/** Nobody is accused before this time, ms. */
	int64_t hold_until_ms;
};

/** @roster must live as long as the detector. */
void failure_detector_init(struct failure_detector *detector,
			   const struct roster *roster, const struct name *self,
			   uint64_t seed, int64_t now_ms);
void failure_detector_finish(struct failure_detector *detector);

/** Does what is due at @now_ms. */
void failure_detector_tick(struct failure_detector *detector, int64_t now_ms,
			   struct detector_out *out);

/** An ACK (@alive) or NACK came back. */
void failure_detector_answer(struct failure_detector *detector, uint32_t nonce,
			     bool alive, int64_t now_ms,
			     struct detector_out *out);

/** @asker wants @target probed. */
void failure_detector_relay(struct failure_detector *detector,
			    const struct endpoint *asker,
			    const struct member *target, uint32_t nonce,
			    int64_t now_ms, struct detector_out *out);

/** The roster's entry @member changed: a suspicion begins or ends. */
void failure_detector_note(struct failure_detector *detector,
			   const struct member *member, int64_t now_ms);

/** A message came from @member itself. */
void failure_detector_heard(struct failure_detector *detector,
			    const struct member *member);

/**
 * The process did not run for a while: what it waited for says nothing.
 * Nobody is accused before @hold_until_ms.
 */
void failure_detector_hold(struct failure_detector *detector,
			   int64_t hold_until_ms, int64_t now_ms);

int64_t failure_detector_next_deadline(const struct failure_detector *detector);

/** Time from a suspicion to the verdict among @n_members, ms. */
int64_t failure_detector_suspicion_ms(size_t n_members);

#endif
