#include "tarragonflow/control/roster_sync.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define SCAN_INTERVAL_MS 400
/* Tombstones run out without any change of the roster. */
#define IDLE_SCAN_INTERVAL_MS 10000
/* Announcements that come together are written together. */
#define BATCH_MS 500
#define SPREAD_MIN_MS 500
/* Balancers that look after a shard, and the time between their turns. */
#define WRITERS 2
#define TURN_MS 3000
#define WRITE_INTERVAL_MIN_MS 250
#define BACKOFF_BASE_MS 500
#define BACKOFF_MAX_MS 15000

void roster_sync_init(struct roster_sync *sync, const struct name *name,
		      struct counters *counters, int64_t now_ms)
{
	memset(sync, 0, sizeof(*sync));
	sync->counters = counters;
	sync->name = *name;
	sync->start_ms = now_ms;
	sync->next_scan_ms = now_ms + SCAN_INTERVAL_MS;
	sync->next_write_ms = now_ms;
	backoff_init(&sync->backoff, BACKOFF_BASE_MS, BACKOFF_MAX_MS);
}

static bool is_live(const struct member *member)
{
	return member->state == MEMBER_ACTIVE ||
	       member->state == MEMBER_DRAINING;
}

static uint64_t writer_score(const struct name *name, unsigned int shard)
{
	return XXH3_64bits_withSeed(name->data, name->len, shard + 1);
}

/* How many live balancers come before us as writers of @shard. */
static unsigned int writer_rank(const struct roster_sync *sync,
				const struct roster *roster, unsigned int shard)
{
	uint64_t own = writer_score(&sync->name, shard);
	unsigned int rank = 0;

	for (size_t i = 0; i < roster->n && rank < WRITERS; i++) {
		const struct member *member = &roster->members[i];

		if (member->role == MEMBER_BALANCER && is_live(member) &&
		    writer_score(&member->name, shard) > own)
			rank++;
	}
	return rank;
}

/* A tombstone that has been here long enough is forgotten. */
static bool is_forgotten(const struct member *member, int64_t now_ms)
{
	return member->state == MEMBER_LEFT &&
	       now_ms - member->heard_ms >= ROSTER_TOMBSTONE_MS;
}

static void mark_dirty(struct roster_sync *sync, const struct roster *roster,
		       unsigned int shard, int64_t spread_ms, int64_t now_ms,
		       struct random *random)
{
	struct roster_sync_shard *state = &sync->shards[shard];
	unsigned int rank = writer_rank(sync, roster, shard);
	uint64_t jitter = random_below(random, (size_t)spread_ms);

	if (state->dirty || rank >= WRITERS)
		return;
	state->dirty = true;
	state->due_ms =
		now_ms + BATCH_MS + (int64_t)jitter + (int64_t)rank * TURN_MS;
}

static void compare_digests(struct roster_sync *sync,
			    const struct roster *roster,
			    const uint64_t *digests, int64_t now_ms,
			    struct random *random)
{
	int64_t changed = 0, spread_ms;

	for (unsigned int i = 0; i < ROSTER_SHARDS; i++)
		changed += digests[i] != sync->shards[i].digest;
	spread_ms = MAX(SPREAD_MIN_MS, changed * 1000 / ROSTER_WRITES_PER_S);
	for (unsigned int i = 0; i < ROSTER_SHARDS; i++) {
		if (digests[i] == sync->shards[i].digest)
			continue;
		sync->shards[i].digest = digests[i];
		mark_dirty(sync, roster, i, spread_ms, now_ms, random);
	}
}

void roster_sync_scan(struct roster_sync *sync, const struct roster *roster,
		      int64_t now_ms, struct random *random)
{
	uint64_t digests[ROSTER_SHARDS] = {0};

	if (now_ms < sync->next_scan_ms)
		return;
	sync->next_scan_ms = now_ms + SCAN_INTERVAL_MS;
	if (roster->version == sync->scanned_version &&
	    now_ms - sync->scanned_ms < IDLE_SCAN_INTERVAL_MS)
		return;
	sync->scanned_ms = now_ms;
	sync->scanned_version = roster->version;
	sync->n_balancers = 0;
	for (size_t i = 0; i < roster->n; i++) {
		const struct member *member = &roster->members[i];

		sync->n_balancers += member->role == MEMBER_BALANCER;
		if (!is_forgotten(member, now_ms))
			digests[roster_shard_of(&member->name)] +=
				roster_shard_digest(member);
	}
	compare_digests(sync, roster, digests, now_ms, random);
}

static int next_shard(const struct roster_sync *sync, int64_t now_ms)
{
	int best = -1;

	if (sync->busy || now_ms < sync->next_write_ms)
		return -1;
	for (int i = 0; i < ROSTER_SHARDS; i++)
		if (sync->shards[i].dirty && sync->shards[i].due_ms <= now_ms &&
		    (best < 0 ||
		     sync->shards[i].due_ms < sync->shards[best].due_ms))
			best = i;
	return best;
}

bool roster_sync_due(const struct roster_sync *sync, int64_t now_ms)
{
	return next_shard(sync, now_ms) >= 0;
}

int roster_sync_next(struct roster_sync *sync, int64_t now_ms)
{
	int shard = next_shard(sync, now_ms);

	if (shard < 0)
		return -1;
	sync->current = (unsigned int)shard;
	sync->busy = true;
	/* A change from now on makes the shard dirty again. */
	sync->shards[shard].dirty = false;
	return shard;
}

/* A tombstone at the platform that no process needs any more. */
static bool is_prunable(const struct roster_sync *sync,
			const struct member *entry, const struct roster *roster,
			int64_t now_ms)
{
	const struct member *known = roster_find(roster, &entry->name);

	if (entry->state != MEMBER_LEFT)
		return false;
	if (known)
		return is_forgotten(known, now_ms);
	return now_ms - sync->start_ms >= ROSTER_TOMBSTONE_MS;
}

static bool prune(const struct roster_sync *sync, const struct roster *held,
		  const struct roster *roster, int64_t now_ms,
		  struct roster *out)
{
	bool pruned = false;

	for (size_t i = 0; i < held->n; i++) {
		if (is_prunable(sync, &held->members[i], roster, now_ms))
			pruned = true;
		else
			roster_merge(out, &held->members[i], 0);
	}
	return pruned;
}

bool roster_sync_merge(struct roster_sync *sync,
		       const struct store_object *object,
		       const struct roster *roster, int64_t now_ms,
		       struct strbuf *value)
{
	struct roster held, merged;
	bool needed;

	roster_init(&held);
	roster_init(&merged);
	if (object && sync->ambiguous && !strcmp(object->token, sync->token))
		counter_inc(sync->counters, COUNTER_PLATFORM_WRITE_FOUND);
	sync->ambiguous = false;
	if (object)
		roster_shard_read(strbuf_str(&object->value), &held);
	needed = prune(sync, &held, roster, now_ms, &merged);
	for (size_t i = 0; i < roster->n; i++) {
		struct member entry = roster_shard_entry(&roster->members[i]);

		if (roster_shard_of(&entry.name) != sync->current ||
		    is_forgotten(&roster->members[i], now_ms))
			continue;
		if (roster_merge(&merged, &entry, 0) == ROSTER_CHANGED)
			needed = true;
	}
	if (needed)
		roster_shard_write(&merged, value);
	roster_finish(&held);
	roster_finish(&merged);
	return needed;
}

void roster_sync_writing(struct roster_sync *sync, const char *token,
			 int64_t now_ms)
{
	int64_t writers = (int64_t)MIN(sync->n_balancers, ROSTER_SHARDS);

	g_strlcpy(sync->token, token, sizeof(sync->token));
	sync->next_write_ms =
		now_ms + MAX(WRITE_INTERVAL_MIN_MS,
			     writers * 1000 / ROSTER_WRITES_PER_S);
}

void roster_sync_done(struct roster_sync *sync)
{
	sync->busy = false;
	backoff_reset(&sync->backoff);
}

void roster_sync_failed(struct roster_sync *sync, enum status_code code,
			int64_t now_ms, uint64_t random)
{
	struct roster_sync_shard *state = &sync->shards[sync->current];

	sync->busy = false;
	sync->ambiguous = code == STATUS_UNKNOWN;
	state->dirty = true;
	state->due_ms = now_ms + backoff_next(&sync->backoff, random);
	/* While the platform is away, all shards wait together. */
	if (code != STATUS_CONFLICT)
		sync->next_write_ms = state->due_ms;
}

int64_t roster_sync_next_deadline(const struct roster_sync *sync)
{
	int64_t next = sync->next_scan_ms;

	if (sync->busy)
		return next;
	for (int i = 0; i < ROSTER_SHARDS; i++)
		if (sync->shards[i].dirty)
			next = MIN(next, MAX(sync->shards[i].due_ms,
					     sync->next_write_ms));
	return next;
}
