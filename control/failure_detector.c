#include "tarragonflow/control/failure_detector.h"

#include <glib.h>
#include <string.h>

#define PROBE_INTERVAL_MS 400
/* With fewer members, the interval between probes is longer by
 * SMALL_ROSTER_EXTRA_MS / members. */
#define SMALL_ROSTER_MEMBERS 8
#define SMALL_ROSTER_EXTRA_MS 3200
#define PROBE_ROUNDS 3
#define HELPERS_PER_ROUND 3
#define INDIRECT_PROBE_TIMEOUT_MS 120
/* Suspicion timeout below 100 members; the timeout grows by as much at 100
 * members and at each tenfold number. */
#define SUSPICION_STEP_MS 4000
#define SUSPICIONS_MIN_CAP 8
#define HELPER_PICK_ATTEMPTS 12

/* Wait after each round of a probe, ms; the last wait ends the probe. */
static const int64_t round_wait_ms[PROBE_ROUNDS] = {100, 150, 250};

int64_t failure_detector_suspicion_timeout_ms(size_t n_members)
{
	int64_t ms = SUSPICION_STEP_MS;

	for (size_t n = n_members; n >= 100; n /= 10)
		ms += SUSPICION_STEP_MS;
	return ms;
}

void failure_detector_init(struct failure_detector *detector,
			   const struct roster *roster, const struct name *self,
			   uint64_t seed, int64_t now_ms)
{
	memset(detector, 0, sizeof(*detector));
	detector->roster = roster;
	detector->self = *self;
	random_init(&detector->random, seed);
	detector->next_nonce = (uint32_t)(random_next(&detector->random) >> 32);
	detector->next_probe_ms =
		now_ms +
		(int64_t)random_below(&detector->random, PROBE_INTERVAL_MS);
	detector->next_suspicion_ms = INT64_MAX;
}

void failure_detector_finish(struct failure_detector *detector)
{
	g_free(detector->suspicions);
	detector->suspicions = NULL;
}

/* Lengthens a timeout while the local health is poor. */
static int64_t scale_timeout(const struct failure_detector *detector,
			     int64_t ms)
{
	return ms * (int64_t)(1 + detector->health_score);
}

static void degrade_health(struct failure_detector *detector,
			   unsigned int points)
{
	detector->health_score =
		MIN(detector->health_score + points, DETECTOR_HEALTH_SCORE_MAX);
}

static void improve_health(struct failure_detector *detector)
{
	if (detector->health_score)
		detector->health_score--;
}

static bool is_probe_candidate(struct failure_detector *detector,
			       const struct member *member,
			       struct detector_callbacks *callbacks)
{
	return member->state != MEMBER_LEFT &&
	       !name_equal(&member->name, &detector->self) &&
	       callbacks->is_in_scope(callbacks, member);
}

static size_t greatest_common_divisor(size_t a, size_t b)
{
	while (b) {
		size_t remainder = a % b;

		a = b;
		b = remainder;
	}
	return a;
}

/* Starts a probe cycle over all members in a new pseudo-random order. */
static void probe_cycle_start(struct failure_detector *detector)
{
	size_t n = detector->roster->n;

	detector->cycle_roster_size = n;
	detector->cycle_steps_left = n;
	detector->cycle_index = random_below(&detector->random, n);
	do
		detector->cycle_stride = 1 + random_below(&detector->random, n);
	while (greatest_common_divisor(detector->cycle_stride, n) != 1);
}

static const struct member *next_target(struct failure_detector *detector,
					struct detector_callbacks *callbacks)
{
	const struct roster *roster = detector->roster;

	for (size_t i = 0; i < roster->n; i++) {
		const struct member *member;

		if (!detector->cycle_steps_left ||
		    detector->cycle_roster_size != roster->n)
			probe_cycle_start(detector);
		detector->cycle_steps_left--;
		detector->cycle_index =
			(detector->cycle_index + detector->cycle_stride) %
			roster->n;
		member = &roster->members[detector->cycle_index];
		if (is_probe_candidate(detector, member, callbacks))
			return member;
	}
	return NULL;
}

static const struct member *probe_target(struct failure_detector *detector)
{
	const struct member *member =
		roster_find(detector->roster, &detector->probe.name);

	if (!member || member->instance != detector->probe.instance ||
	    member->state == MEMBER_LEFT)
		return NULL;
	return member;
}

static void send_ping_requests(struct failure_detector *detector,
			       const struct member *target,
			       struct detector_callbacks *callbacks)
{
	const struct roster *roster = detector->roster;
	unsigned int n_sent = 0;

	for (int i = 0; i < HELPER_PICK_ATTEMPTS && n_sent < HELPERS_PER_ROUND;
	     i++) {
		const struct member *helper = &roster->members[random_below(
			&detector->random, roster->n)];

		if (helper == target || helper->state == MEMBER_SUSPECT ||
		    !is_probe_candidate(detector, helper, callbacks))
			continue;
		callbacks->send_ping_request(callbacks, helper, target,
					     detector->probe.nonce);
		n_sent++;
	}
	detector->probe.ping_requests_sent += n_sent;
}

static void probe_round(struct failure_detector *detector,
			const struct member *target, int64_t now_ms,
			struct detector_callbacks *callbacks)
{
	struct probe *probe = &detector->probe;

	callbacks->send_ping(callbacks, target, probe->nonce);
	if (probe->rounds_sent > 0)
		send_ping_requests(detector, target, callbacks);
	probe->round_end_ms =
		now_ms +
		scale_timeout(detector, round_wait_ms[probe->rounds_sent]);
	probe->rounds_sent++;
}

static void probe_start(struct failure_detector *detector, int64_t now_ms,
			struct detector_callbacks *callbacks)
{
	const struct member *target = next_target(detector, callbacks);

	detector->next_probe_ms =
		now_ms + scale_timeout(detector, PROBE_INTERVAL_MS);
	/* Joining processes all probe the same few members: probe less often.
	 */
	if (detector->roster->n < SMALL_ROSTER_MEMBERS)
		detector->next_probe_ms +=
			SMALL_ROSTER_EXTRA_MS / (int64_t)detector->roster->n;
	if (!target)
		return;
	detector->probe = (struct probe){
		.active = true,
		.name = target->name,
		.instance = target->instance,
		.nonce = ++detector->next_nonce,
	};
	probe_round(detector, target, now_ms, callbacks);
}

static struct suspicion *find_suspicion(struct failure_detector *detector,
					const struct name *name)
{
	for (size_t i = 0; i < detector->n_suspicions; i++)
		if (name_equal(&detector->suspicions[i].name, name))
			return &detector->suspicions[i];
	return NULL;
}

static struct suspicion *add_suspicion(struct failure_detector *detector)
{
	if (detector->n_suspicions == detector->cap_suspicions) {
		detector->cap_suspicions =
			MAX(detector->cap_suspicions * 2, SUSPICIONS_MIN_CAP);
		detector->suspicions = g_renew(struct suspicion,
					       detector->suspicions,
					       detector->cap_suspicions);
	}
	return &detector->suspicions[detector->n_suspicions++];
}

static void suspicion_remove(struct failure_detector *detector,
			     struct suspicion *suspicion)
{
	*suspicion = detector->suspicions[--detector->n_suspicions];
}

static void suspicion_start(struct failure_detector *detector,
			    const struct member *member, int64_t now_ms)
{
	struct suspicion *suspicion = find_suspicion(detector, &member->name);

	if (suspicion && suspicion->instance == member->instance &&
	    suspicion->sequence == member->sequence)
		return;
	if (!suspicion)
		suspicion = add_suspicion(detector);
	suspicion->name = member->name;
	suspicion->instance = member->instance;
	suspicion->sequence = member->sequence;
	suspicion->deadline_ms =
		now_ms +
		scale_timeout(detector, failure_detector_suspicion_timeout_ms(
						detector->roster->n));
	detector->next_suspicion_ms =
		MIN(detector->next_suspicion_ms, suspicion->deadline_ms);
}

static void probe_failed(struct failure_detector *detector,
			 const struct member *target, int64_t now_ms,
			 struct detector_callbacks *callbacks)
{
	struct probe *probe = &detector->probe;
	unsigned int missing_nacks =
		probe->ping_requests_sent -
		MIN(probe->nacks_received, probe->ping_requests_sent);

	probe->active = false;
	/* Helpers that sent no NACK suggest that the fault is local. */
	degrade_health(detector,
		       probe->ping_requests_sent ? MIN(missing_nacks, 2) : 1);
	if (now_ms < detector->no_suspicion_until_ms ||
	    target->state == MEMBER_SUSPECT)
		return;
	/* DRAINING overrides SUSPECT in a merge, so the suspicion stays in
	 * this detector. */
	if (target->state == MEMBER_DRAINING)
		suspicion_start(detector, target, now_ms);
	else
		callbacks->report_suspect(callbacks, target);
}

static void probe_step(struct failure_detector *detector, int64_t now_ms,
		       struct detector_callbacks *callbacks)
{
	struct probe *probe = &detector->probe;
	const struct member *target;

	if (!probe->active || now_ms < probe->round_end_ms)
		return;
	target = probe_target(detector);
	if (!target)
		probe->active = false;
	else if (probe->rounds_sent < PROBE_ROUNDS)
		probe_round(detector, target, now_ms, callbacks);
	else
		probe_failed(detector, target, now_ms, callbacks);
}

static void indirect_probes_expire(struct failure_detector *detector,
				   int64_t now_ms,
				   struct detector_callbacks *callbacks)
{
	for (size_t i = 0; i < DETECTOR_INDIRECT_PROBES_MAX; i++) {
		struct indirect_probe *indirect = &detector->indirect_probes[i];

		if (!indirect->active || now_ms < indirect->deadline_ms)
			continue;
		indirect->active = false;
		callbacks->send_indirect_result(callbacks, &indirect->requester,
						false,
						indirect->requester_nonce);
	}
}

static void suspicions_update_deadline(struct failure_detector *detector)
{
	detector->next_suspicion_ms = INT64_MAX;
	for (size_t i = 0; i < detector->n_suspicions; i++)
		detector->next_suspicion_ms =
			MIN(detector->next_suspicion_ms,
			    detector->suspicions[i].deadline_ms);
}

/* Declares members dead that did not refute the suspicion in time. */
static void suspicions_expire(struct failure_detector *detector, int64_t now_ms,
			      struct detector_callbacks *callbacks)
{
	if (now_ms < detector->next_suspicion_ms ||
	    now_ms < detector->no_suspicion_until_ms)
		return;
	for (size_t i = detector->n_suspicions; i-- > 0;) {
		struct suspicion suspicion = detector->suspicions[i];
		const struct member *member;

		if (now_ms < suspicion.deadline_ms)
			continue;
		suspicion_remove(detector, &detector->suspicions[i]);
		member = roster_find(detector->roster, &suspicion.name);
		if (member && member->state != MEMBER_LEFT &&
		    member->instance == suspicion.instance &&
		    member->sequence == suspicion.sequence)
			callbacks->report_dead(callbacks, member);
	}
	suspicions_update_deadline(detector);
}

void failure_detector_tick(struct failure_detector *detector, int64_t now_ms,
			   struct detector_callbacks *callbacks)
{
	indirect_probes_expire(detector, now_ms, callbacks);
	probe_step(detector, now_ms, callbacks);
	if (!detector->probe.active && now_ms >= detector->next_probe_ms)
		probe_start(detector, now_ms, callbacks);
	suspicions_expire(detector, now_ms, callbacks);
}

static void indirect_probes_succeed(struct failure_detector *detector,
				    uint32_t nonce,
				    struct detector_callbacks *callbacks)
{
	for (size_t i = 0; i < DETECTOR_INDIRECT_PROBES_MAX; i++) {
		struct indirect_probe *indirect = &detector->indirect_probes[i];

		if (!indirect->active || indirect->nonce != nonce)
			continue;
		indirect->active = false;
		callbacks->send_indirect_result(callbacks, &indirect->requester,
						true,
						indirect->requester_nonce);
	}
}

void failure_detector_handle_response(struct failure_detector *detector,
				      uint32_t nonce, bool alive,
				      int64_t now_ms,
				      struct detector_callbacks *callbacks)
{
	struct probe *probe = &detector->probe;

	(void)now_ms;
	if (alive)
		indirect_probes_succeed(detector, nonce, callbacks);
	if (!probe->active || probe->nonce != nonce)
		return;
	if (!alive) {
		probe->nacks_received++;
		return;
	}
	probe->active = false;
	improve_health(detector);
}

void failure_detector_start_indirect_probe(struct failure_detector *detector,
					   const struct endpoint *requester,
					   const struct member *target,
					   uint32_t nonce, int64_t now_ms,
					   struct detector_callbacks *callbacks)
{
	struct indirect_probe *indirect = &detector->indirect_probes[0];

	for (size_t i = 0; i < DETECTOR_INDIRECT_PROBES_MAX; i++) {
		if (!detector->indirect_probes[i].active) {
			indirect = &detector->indirect_probes[i];
			break;
		}
		if (detector->indirect_probes[i].deadline_ms <
		    indirect->deadline_ms)
			indirect = &detector->indirect_probes[i];
	}
	*indirect = (struct indirect_probe){
		.active = true,
		.requester = *requester,
		.requester_nonce = nonce,
		.nonce = ++detector->next_nonce,
		.deadline_ms = now_ms + INDIRECT_PROBE_TIMEOUT_MS,
	};
	callbacks->send_ping(callbacks, target, indirect->nonce);
}

void failure_detector_member_changed(struct failure_detector *detector,
				     const struct member *member,
				     int64_t now_ms)
{
	struct suspicion *suspicion;

	if (member->state == MEMBER_SUSPECT) {
		suspicion_start(detector, member, now_ms);
		return;
	}
	suspicion = find_suspicion(detector, &member->name);
	if (suspicion)
		suspicion_remove(detector, suspicion);
}

void failure_detector_message_received(struct failure_detector *detector,
				       const struct member *member)
{
	struct suspicion *suspicion;

	if (!detector->n_suspicions || member->state != MEMBER_DRAINING)
		return;
	suspicion = find_suspicion(detector, &member->name);
	if (suspicion)
		suspicion_remove(detector, suspicion);
}

void failure_detector_reset_after_pause(struct failure_detector *detector,
					int64_t no_suspicion_until_ms,
					int64_t now_ms)
{
	int64_t timeout_ms =
		failure_detector_suspicion_timeout_ms(detector->roster->n);

	detector->no_suspicion_until_ms = no_suspicion_until_ms;
	detector->probe.active = false;
	detector->next_probe_ms = now_ms;
	memset(detector->indirect_probes, 0, sizeof(detector->indirect_probes));
	for (size_t i = 0; i < detector->n_suspicions; i++)
		detector->suspicions[i].deadline_ms =
			no_suspicion_until_ms + timeout_ms;
	suspicions_update_deadline(detector);
}

int64_t failure_detector_next_deadline(const struct failure_detector *detector)
{
	int64_t next =
		MIN(detector->next_probe_ms, detector->next_suspicion_ms);

	if (detector->probe.active)
		next = MIN(detector->probe.round_end_ms,
			   detector->next_suspicion_ms);
	for (size_t i = 0; i < DETECTOR_INDIRECT_PROBES_MAX; i++)
		if (detector->indirect_probes[i].active)
			next = MIN(next,
				   detector->indirect_probes[i].deadline_ms);
	return next;
}
