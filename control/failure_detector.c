#include "tarragonflow/control/failure_detector.h"

#include <glib.h>
#include <string.h>

#define PROBE_INTERVAL_MS 400
#define FEW_MEMBERS 8
#define FEW_INTERVAL_MS 3200
#define PROBE_ROUNDS 3
#define HELPERS_PER_ROUND 3
#define RELAY_TIMEOUT_MS 120
/* Suspicion lasts this long for each factor of ten of the members. */
#define SUSPICION_MS 4000
#define MIN_CAP 8
#define PICK_TRIES 12

/* Wait after each round of a probe; the last one ends it, ms. */
static const int64_t round_wait_ms[PROBE_ROUNDS] = {100, 150, 250};

int64_t failure_detector_suspicion_ms(size_t n_members)
{
	int64_t ms = SUSPICION_MS;

	for (size_t n = n_members; n >= 100; n /= 10)
		ms += SUSPICION_MS;
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

static int64_t stretch(const struct failure_detector *detector, int64_t ms)
{
	return ms * (int64_t)(1 + detector->health);
}

static void health_worse(struct failure_detector *detector, unsigned int by)
{
	detector->health = MIN(detector->health + by, DETECTOR_HEALTH_MAX);
}

static void health_better(struct failure_detector *detector)
{
	if (detector->health)
		detector->health--;
}

static bool wanted(struct failure_detector *detector,
		   const struct member *member, struct detector_out *out)
{
	return member->state != MEMBER_LEFT &&
	       !name_equal(&member->name, &detector->self) &&
	       out->in_scope(out, member);
}

static size_t common_divisor(size_t a, size_t b)
{
	while (b) {
		size_t rest = a % b;

		a = b;
		b = rest;
	}
	return a;
}

/* Begins a walk over all members in a new order. */
static void walk_begin(struct failure_detector *detector)
{
	size_t n = detector->roster->n;

	detector->walk_n = n;
	detector->walk_left = n;
	detector->walk_at = random_below(&detector->random, n);
	do
		detector->walk_stride = 1 + random_below(&detector->random, n);
	while (common_divisor(detector->walk_stride, n) != 1);
}

static const struct member *next_target(struct failure_detector *detector,
					struct detector_out *out)
{
	const struct roster *roster = detector->roster;

	for (size_t i = 0; i < roster->n; i++) {
		const struct member *member;

		if (!detector->walk_left || detector->walk_n != roster->n)
			walk_begin(detector);
		detector->walk_left--;
		detector->walk_at =
			(detector->walk_at + detector->walk_stride) % roster->n;
		member = &roster->members[detector->walk_at];
		if (wanted(detector, member, out))
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

static void ask_helpers(struct failure_detector *detector,
			const struct member *target, struct detector_out *out)
{
	const struct roster *roster = detector->roster;
	unsigned int asked = 0;

	for (int i = 0; i < PICK_TRIES && asked < HELPERS_PER_ROUND; i++) {
		const struct member *helper = &roster->members[random_below(
			&detector->random, roster->n)];

		if (helper == target || helper->state == MEMBER_SUSPECT ||
		    !wanted(detector, helper, out))
			continue;
		out->ping_request(out, helper, target, detector->probe.nonce);
		asked++;
	}
	detector->probe.asked += asked;
}

static void probe_round(struct failure_detector *detector,
			const struct member *target, int64_t now_ms,
			struct detector_out *out)
{
	struct probe *probe = &detector->probe;

	out->ping(out, target, probe->nonce);
	if (probe->round > 0)
		ask_helpers(detector, target, out);
	probe->next_ms =
		now_ms + stretch(detector, round_wait_ms[probe->round]);
	probe->round++;
}

static void probe_begin(struct failure_detector *detector, int64_t now_ms,
			struct detector_out *out)
{
	const struct member *target = next_target(detector, out);

	detector->next_probe_ms = now_ms + stretch(detector, PROBE_INTERVAL_MS);
	/* Who knows few members spares those that everybody knows. */
	if (detector->roster->n < FEW_MEMBERS)
		detector->next_probe_ms +=
			FEW_INTERVAL_MS / (int64_t)detector->roster->n;
	if (!target)
		return;
	detector->probe = (struct probe){
		.active = true,
		.name = target->name,
		.instance = target->instance,
		.nonce = ++detector->next_nonce,
	};
	probe_round(detector, target, now_ms, out);
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
			MAX(detector->cap_suspicions * 2, MIN_CAP);
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
		now_ms + stretch(detector, failure_detector_suspicion_ms(
						   detector->roster->n));
	detector->next_suspicion_ms =
		MIN(detector->next_suspicion_ms, suspicion->deadline_ms);
}

static void probe_failed(struct failure_detector *detector,
			 const struct member *target, int64_t now_ms,
			 struct detector_out *out)
{
	struct probe *probe = &detector->probe;
	unsigned int silent = probe->asked - MIN(probe->answered, probe->asked);

	probe->active = false;
	/* Silent helpers say that the fault may be ours. */
	health_worse(detector, probe->asked ? MIN(silent, 2) : 1);
	if (now_ms < detector->hold_until_ms || target->state == MEMBER_SUSPECT)
		return;
	/* A draining member's own word outranks a suspicion: keep it here. */
	if (target->state == MEMBER_DRAINING)
		suspicion_start(detector, target, now_ms);
	else
		out->suspect(out, target);
}

static void probe_step(struct failure_detector *detector, int64_t now_ms,
		       struct detector_out *out)
{
	struct probe *probe = &detector->probe;
	const struct member *target;

	if (!probe->active || now_ms < probe->next_ms)
		return;
	target = probe_target(detector);
	if (!target)
		probe->active = false;
	else if (probe->round < PROBE_ROUNDS)
		probe_round(detector, target, now_ms, out);
	else
		probe_failed(detector, target, now_ms, out);
}

static void relays_expire(struct failure_detector *detector, int64_t now_ms,
			  struct detector_out *out)
{
	for (size_t i = 0; i < DETECTOR_RELAYS_MAX; i++) {
		struct relay *relay = &detector->relays[i];

		if (!relay->active || now_ms < relay->deadline_ms)
			continue;
		relay->active = false;
		out->relay_answer(out, &relay->asker, false,
				  relay->asker_nonce);
	}
}

static void suspicions_due(struct failure_detector *detector)
{
	detector->next_suspicion_ms = INT64_MAX;
	for (size_t i = 0; i < detector->n_suspicions; i++)
		detector->next_suspicion_ms =
			MIN(detector->next_suspicion_ms,
			    detector->suspicions[i].deadline_ms);
}

/* Passes the verdict on suspicions whose time is over. */
static void suspicions_expire(struct failure_detector *detector, int64_t now_ms,
			      struct detector_out *out)
{
	if (now_ms < detector->next_suspicion_ms ||
	    now_ms < detector->hold_until_ms)
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
			out->dead(out, member);
	}
	suspicions_due(detector);
}

void failure_detector_tick(struct failure_detector *detector, int64_t now_ms,
			   struct detector_out *out)
{
	relays_expire(detector, now_ms, out);
	probe_step(detector, now_ms, out);
	if (!detector->probe.active && now_ms >= detector->next_probe_ms)
		probe_begin(detector, now_ms, out);
	suspicions_expire(detector, now_ms, out);
}

static void relays_answer(struct failure_detector *detector, uint32_t nonce,
			  struct detector_out *out)
{
	for (size_t i = 0; i < DETECTOR_RELAYS_MAX; i++) {
		struct relay *relay = &detector->relays[i];

		if (!relay->active || relay->nonce != nonce)
			continue;
		relay->active = false;
		out->relay_answer(out, &relay->asker, true, relay->asker_nonce);
	}
}

void failure_detector_answer(struct failure_detector *detector, uint32_t nonce,
			     bool alive, int64_t now_ms,
			     struct detector_out *out)
{
	struct probe *probe = &detector->probe;

	(void)now_ms;
	if (alive)
		relays_answer(detector, nonce, out);
	if (!probe->active || probe->nonce != nonce)
		return;
	if (!alive) {
		probe->answered++;
		return;
	}
	probe->active = false;
	health_better(detector);
}

void failure_detector_relay(struct failure_detector *detector,
			    const struct endpoint *asker,
			    const struct member *target, uint32_t nonce,
			    int64_t now_ms, struct detector_out *out)
{
	struct relay *relay = &detector->relays[0];

	for (size_t i = 0; i < DETECTOR_RELAYS_MAX; i++) {
		if (!detector->relays[i].active) {
			relay = &detector->relays[i];
			break;
		}
		if (detector->relays[i].deadline_ms < relay->deadline_ms)
			relay = &detector->relays[i];
	}
	*relay = (struct relay){
		.active = true,
		.asker = *asker,
		.asker_nonce = nonce,
		.nonce = ++detector->next_nonce,
		.deadline_ms = now_ms + RELAY_TIMEOUT_MS,
	};
	out->ping(out, target, relay->nonce);
}

void failure_detector_note(struct failure_detector *detector,
			   const struct member *member, int64_t now_ms)
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

void failure_detector_heard(struct failure_detector *detector,
			    const struct member *member)
{
	struct suspicion *suspicion;

	if (!detector->n_suspicions || member->state != MEMBER_DRAINING)
		return;
	suspicion = find_suspicion(detector, &member->name);
	if (suspicion)
		suspicion_remove(detector, suspicion);
}

void failure_detector_hold(struct failure_detector *detector,
			   int64_t hold_until_ms, int64_t now_ms)
{
	int64_t wait_ms = failure_detector_suspicion_ms(detector->roster->n);

	detector->hold_until_ms = hold_until_ms;
	detector->probe.active = false;
	detector->next_probe_ms = now_ms;
	memset(detector->relays, 0, sizeof(detector->relays));
	for (size_t i = 0; i < detector->n_suspicions; i++)
		detector->suspicions[i].deadline_ms = hold_until_ms + wait_ms;
	suspicions_due(detector);
}

int64_t failure_detector_next_deadline(const struct failure_detector *detector)
{
	int64_t next =
		MIN(detector->next_probe_ms, detector->next_suspicion_ms);

	if (detector->probe.active)
		next = MIN(detector->probe.next_ms,
			   detector->next_suspicion_ms);
	for (size_t i = 0; i < DETECTOR_RELAYS_MAX; i++)
		if (detector->relays[i].active)
			next = MIN(next, detector->relays[i].deadline_ms);
	return next;
}
