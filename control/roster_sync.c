#include "tarragonflow/control/roster_sync.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define SCAN_INTERVAL_MS 400
/* Scans an unchanged roster this often, because tombstones expire. */
#define IDLE_SCAN_INTERVAL_MS 10000
/* Changes within this time are written together. */
#define WRITE_BATCH_MS 500
/* Shortest time over which the writes of changed shards are spread. */
#define WRITE_SPREAD_MIN_MS 500
/* Number of balancers that write a shard. */
#define WRITERS_PER_SHARD 2
/* Delay per rank as writer, so that the second writer finds the write of the
 * first one in the platform's copy. */
#define WRITER_RANK_DELAY_MS 3000
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

/* How many live balancers rank before this one as writers of @shard. */
static unsigned int writer_rank(const struct roster_sync *sync,
				const struct roster *roster, unsigned int shard)
{
	uint64_t own_score = writer_score(&sync->name, shard);
	unsigned int rank = 0;

	for (size_t i = 0; i < roster->n && rank < WRITERS_PER_SHARD; i++) {
		const struct member *member = &roster->members[i];

		if (member->role == MEMBER_BALANCER && is_live(member) &&
		    writer_score(&member->name, shard) > own_score)
			rank++;
	}
	return rank;
}

static bool tombstone_expired(const struct member *member, int64_t now_ms)
{
	return member->state == MEMBER_LEFT &&
	       now_ms - member->updated_ms >= ROSTER_TOMBSTONE_MS;
}

static void mark_dirty(struct roster_sync *sync, const struct roster *roster,
		       unsigned int shard, int64_t spread_ms, int64_t now_ms,
		       struct random *random)
{
	struct roster_sync_shard *state = &sync->shards[shard];
	unsigned int rank = writer_rank(sync, roster, shard);
	uint64_t jitter = random_below(random, (size_t)spread_ms);

	if (state->dirty || rank >= WRITERS_PER_SHARD)
		return;
	state->dirty = true;
	state->due_ms = now_ms + WRITE_BATCH_MS + (int64_t)jitter +
			(int64_t)rank * WRITER_RANK_DELAY_MS;
}

static void find_changed_shards(struct roster_sync *sync,
				const struct roster *roster,
				const uint64_t *digests, int64_t now_ms,
				struct random *random)
{
	int64_t changed = 0, spread_ms;

	for (unsigned int i = 0; i < ROSTER_SHARDS; i++)
		changed += digests[i] != sync->shards[i].digest;
	spread_ms =
		MAX(WRITE_SPREAD_MIN_MS, changed * 1000 / ROSTER_WRITES_PER_S);
	for (unsigned int i = 0; i < ROSTER_SHARDS; i++) {
		if (digests[i] == sync->shards[i].digest)
			continue;
		sync->shards[i].digest = digests[i];
		mark_dirty(sync, roster, i, spread_ms, now_ms, random);
	}
}

void roster_sync_forget_copy(struct roster_sync *sync)
{
	for (int i = 0; i < ROSTER_SHARDS; i++)
		sync->shards[i].digest = 0;
	sync->last_scan_version = 0;
}

void roster_sync_scan(struct roster_sync *sync, const struct roster *roster,
		      int64_t now_ms, struct random *random)
{
	uint64_t digests[ROSTER_SHARDS] = {0};

	if (now_ms < sync->next_scan_ms)
		return;
	sync->next_scan_ms = now_ms + SCAN_INTERVAL_MS;
	if (roster->version == sync->last_scan_version &&
	    now_ms - sync->last_scan_ms < IDLE_SCAN_INTERVAL_MS)
		return;
	sync->last_scan_ms = now_ms;
	sync->last_scan_version = roster->version;
	sync->n_balancers = 0;
	for (size_t i = 0; i < roster->n; i++) {
		const struct member *member = &roster->members[i];

		sync->n_balancers += member->role == MEMBER_BALANCER;
		if (!tombstone_expired(member, now_ms))
			digests[roster_shard_of(&member->name)] +=
				roster_shard_digest(member);
	}
	find_changed_shards(sync, roster, digests, now_ms, random);
}

static int next_shard(const struct roster_sync *sync, int64_t now_ms)
{
	int earliest = -1;

	if (sync->shard_in_progress || now_ms < sync->next_write_ms)
		return -1;
	for (int i = 0; i < ROSTER_SHARDS; i++)
		if (sync->shards[i].dirty && sync->shards[i].due_ms <= now_ms &&
		    (earliest < 0 ||
		     sync->shards[i].due_ms < sync->shards[earliest].due_ms))
			earliest = i;
	return earliest;
}

bool roster_sync_is_due(const struct roster_sync *sync, int64_t now_ms)
{
	return next_shard(sync, now_ms) >= 0;
}

int roster_sync_start_next(struct roster_sync *sync, int64_t now_ms)
{
	int shard = next_shard(sync, now_ms);

	if (shard < 0)
		return -1;
	sync->current_shard = (unsigned int)shard;
	sync->shard_in_progress = true;
	/* Later changes mark the shard dirty again. */
	sync->shards[shard].dirty = false;
	return shard;
}

/* Whether the platform's @entry is a tombstone that is not needed any more. */
static bool is_prunable(const struct roster_sync *sync,
			const struct member *entry, const struct roster *roster,
			int64_t now_ms)
{
	const struct member *existing = roster_find(roster, &entry->name);

	if (entry->state != MEMBER_LEFT)
		return false;
	if (existing)
		return tombstone_expired(existing, now_ms);
	return now_ms - sync->start_ms >= ROSTER_TOMBSTONE_MS;
}

static bool prune_tombstones(const struct roster_sync *sync,
			     const struct roster *stored,
			     const struct roster *roster, int64_t now_ms,
			     struct roster *out)
{
	bool pruned = false;

	for (size_t i = 0; i < stored->n; i++) {
		if (is_prunable(sync, &stored->members[i], roster, now_ms))
			pruned = true;
		else
			roster_merge(out, &stored->members[i], 0);
	}
	return pruned;
}

bool roster_sync_merge(struct roster_sync *sync,
		       const struct store_object *object,
		       const struct roster *roster, int64_t now_ms,
		       struct strbuf *value)
{
	struct roster stored, merged;
	bool write_needed;

	roster_init(&stored);
	roster_init(&merged);
	if (object && sync->write_unconfirmed &&
	    !strcmp(object->token, sync->write_token))
		counter_inc(sync->counters, COUNTER_PLATFORM_WRITE_CONFIRMED);
	sync->write_unconfirmed = false;
	if (object)
		roster_shard_parse(strbuf_str(&object->value), &stored);
	write_needed = prune_tombstones(sync, &stored, roster, now_ms, &merged);
	for (size_t i = 0; i < roster->n; i++) {
		struct member entry = roster_shard_entry(&roster->members[i]);

		if (roster_shard_of(&entry.name) != sync->current_shard ||
		    tombstone_expired(&roster->members[i], now_ms))
			continue;
		if (roster_merge(&merged, &entry, 0) == ROSTER_CHANGED)
			write_needed = true;
	}
	if (write_needed)
		roster_shard_format(&merged, value);
	roster_finish(&stored);
	roster_finish(&merged);
	return write_needed;
}

void roster_sync_start_write(struct roster_sync *sync, const char *token,
			     int64_t now_ms)
{
	int64_t writers = (int64_t)MIN(sync->n_balancers, ROSTER_SHARDS);

	g_strlcpy(sync->write_token, token, sizeof(sync->write_token));
	sync->next_write_ms =
		now_ms + MAX(WRITE_INTERVAL_MIN_MS,
			     writers * 1000 / ROSTER_WRITES_PER_S);
}

void roster_sync_finish_shard(struct roster_sync *sync)
{
	sync->shard_in_progress = false;
	backoff_reset(&sync->backoff);
}

void roster_sync_retry_shard(struct roster_sync *sync, enum status_code code,
			     int64_t now_ms, uint64_t random)
{
	struct roster_sync_shard *state = &sync->shards[sync->current_shard];

	sync->shard_in_progress = false;
	sync->write_unconfirmed = code == STATUS_UNKNOWN;
	state->dirty = true;
	state->due_ms = now_ms + backoff_next(&sync->backoff, random);
	/* The platform may be unreachable: all shards wait. */
	if (code != STATUS_CONFLICT)
		sync->next_write_ms = state->due_ms;
}

int64_t roster_sync_next_deadline(const struct roster_sync *sync)
{
	int64_t next = sync->next_scan_ms;

	if (sync->shard_in_progress)
		return next;
	for (int i = 0; i < ROSTER_SHARDS; i++)
		if (sync->shards[i].dirty)
			next = MIN(next, MAX(sync->shards[i].due_ms,
					     sync->next_write_ms));
	return next;
}
