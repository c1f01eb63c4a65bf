#include "platform_sync_internal.h"

#include <glib.h>
#include <string.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/control/watcher_selection.h"

/* Limit on the call rate of one process; the total rate of the fleet is limited
 * by the number of processes that call. */
#define CALLS_PER_S 4
#define CALLS_BURST 8
/* For this long after a call's timeout its result is still accepted. */
#define RESULT_GRACE_MS 4000
#define WATCH_WAIT_MS 10000
/* With strong_reads, nothing is read besides the watch, so a dead connection is
 * detected only when the watch ends. */
#define STRONG_READS_WATCH_WAIT_MS 3000
#define BACKOFF_BASE_MS 250
#define BACKOFF_MAX_MS 2000
/* Platforms with strong_reads allow thousands of reads per second. Two watchers
 * per zone make a few, and after a start of the whole fleet no process can
 * serve until the watchers have read the manifest. */
#define STRONG_READS_BACKOFF_MAX_MS 500
#define ROSTER_BACKOFF_MAX_MS 15000
/* A starting process first waits for its peers' messages. */
#define START_GRACE_MS 500
/* Spreads the calls of processes that start together. */
#define START_SPREAD_MS 40
/* With strong_reads, every starting process is a watcher for this time. */
#define START_WATCH_MS 500
#define SELECTION_INTERVAL_MS 1000
/* A substitute stops watching this long after the selected watchers reach the
 * platform again. */
#define SUBSTITUTE_END_MS 3000
/* A process that received no message for this long counts as isolated. */
#define ISOLATED_MS 10000
/* A contact with the platform is stale after CONTACT_STALE_MS, plus
 * CONTACT_STALE_PER_DOUBLING_MS for each doubling of the number of members. */
#define CONTACT_STALE_MS 2000
#define CONTACT_STALE_PER_DOUBLING_MS 250
/* Upper bound of a control message's delivery time. */
#define MESSAGE_DELAY_MS 100
/* Time for peers to deliver a newer release before the platform is probed. */
#define OUTDATED_PROBE_MS 2000
/* In a fleet of hundreds, a process whose roster has fewer members than this
 * lists the platform's copy again, until PEER_SEARCH_MS after its start. */
#define FEW_MEMBERS 6
#define PEER_SEARCH_MS 30000
/* With an incomplete roster a process cannot determine which members are
 * selected. It watches only if no watcher has reported a contact, this long
 * after its start plus a random time of up to as much. */
#define SELECTION_HOLD_MS 2000
/* Reads that may be stale may return what the store held this long before. */
#define STALE_READ_MAX_MS 10000
/* Probes per second of all processes together whose contact is stale. */
#define PROBES_PER_S 20
#define PROBE_SPREAD_MIN_MS 1000

uint64_t platform_random_below(struct platform_sync *sync, int64_t n)
{
	return random_below(&sync->random, (size_t)n);
}

static void call_init(struct platform_call *call, int64_t max_ms,
		      int64_t now_ms)
{
	memset(call, 0, sizeof(*call));
	call->not_before_ms = now_ms;
	backoff_init(&call->backoff, BACKOFF_BASE_MS, max_ms);
}

void platform_sync_init(struct platform_sync *sync,
			const struct platform_sync_options *options,
			struct counters *counters, int64_t now_ms)
{
	int64_t backoff_ms = options->strong_reads ? STRONG_READS_BACKOFF_MAX_MS
						   : BACKOFF_MAX_MS;

	memset(sync, 0, sizeof(*sync));
	sync->options = *options;
	sync->counters = counters;
	random_init(&sync->random, options->random_seed);
	call_budget_init(&sync->budget, CALLS_PER_S, CALLS_BURST, now_ms);
	call_init(&sync->watch_call, backoff_ms, now_ms);
	call_init(&sync->config_call, backoff_ms, now_ms);
	call_init(&sync->zones_call, backoff_ms, now_ms);
	call_init(&sync->list_call, ROSTER_BACKOFF_MAX_MS, now_ms);
	call_init(&sync->shard_call, ROSTER_BACKOFF_MAX_MS, now_ms);
	sync->start_ms = now_ms;
	sync->last_contact_ms = INT64_MIN;
	sync->last_watcher_contact_ms = INT64_MIN;
	sync->last_restore_ms = INT64_MIN;
	sync->last_message_ms = INT64_MIN;
	sync->next_selection_ms = now_ms + START_GRACE_MS;
	if (options->strong_reads)
		sync->next_selection_ms =
			now_ms +
			(int64_t)platform_random_below(sync, START_SPREAD_MS);
	sync->selection_hold_until_ms =
		now_ms + SELECTION_HOLD_MS +
		(int64_t)platform_random_below(sync, SELECTION_HOLD_MS);
	sync->substitute_until_ms = now_ms;
	sync->watch_not_before_ms = now_ms;
	sync->next_probe_ms = CLOCK_NEVER;
	sync->outdated_since_ms = CLOCK_NEVER;
	strbuf_init(&sync->shard_value);
	roster_sync_init(&sync->roster_sync, &options->name, counters, now_ms);
}

void platform_sync_finish(struct platform_sync *sync)
{
	strbuf_finish(&sync->shard_value);
}

bool platform_contact_is_stale(int64_t last_contact_ms, size_t n_members,
			       int64_t now_ms)
{
	int64_t limit_ms = CONTACT_STALE_MS;

	for (size_t n = n_members; n > 1; n /= 2)
		limit_ms += CONTACT_STALE_PER_DOUBLING_MS;
	return last_contact_ms == INT64_MIN ||
	       now_ms - last_contact_ms > limit_ms;
}

/*
 * Allows twice the age at which other contacts are stale, so that lost gossip
 * messages alone do not make every process a watcher.
 */
bool platform_watchers_lack_contact(const struct platform_sync *sync,
				    const struct roster *roster, int64_t now_ms)
{
	return sync->last_watcher_contact_ms == INT64_MIN ||
	       platform_contact_is_stale(
		       sync->last_watcher_contact_ms +
			       (now_ms - sync->last_watcher_contact_ms) / 2,
		       roster->n, now_ms);
}

bool platform_sync_watches(const struct platform_sync *sync, int64_t now_ms)
{
	return sync->selected || now_ms < sync->substitute_until_ms;
}

/* Calls other than watches and zone calls run one at a time. */
static bool calls_idle(const struct platform_sync *sync)
{
	return sync->config_call.task == TASK_NONE &&
	       sync->list_call.task == TASK_NONE &&
	       sync->shard_call.task == TASK_NONE;
}

static bool acquire_call(struct platform_sync *sync, struct platform_call *call,
			 int64_t now_ms)
{
	if (call_budget_acquire(&sync->budget, now_ms))
		return true;
	counter_inc(sync->counters, COUNTER_PLATFORM_RETRY_BUDGET);
	call->not_before_ms = now_ms + 1000 / CALLS_PER_S;
	return false;
}

static int64_t request_timeout_ms(struct platform_sync *sync, enum store_op op)
{
	switch (op) {
	case STORE_OP_WATCH:
		return sync->options.strong_reads ? STRONG_READS_WATCH_WAIT_MS
						  : WATCH_WAIT_MS;
	case STORE_OP_GET:
	case STORE_OP_LIST:
		return read_timeout_ms(random_next(&sync->random));
	default:
		return CALL_TIMEOUT_MS;
	}
}

void platform_start_call(struct platform_sync *sync, struct platform_call *call,
			 enum platform_task task, struct store_request *request,
			 int64_t now_ms,
			 struct platform_sync_callbacks *callbacks)
{
	request->id = ++sync->last_request_id;
	request->timeout_ms = request_timeout_ms(sync, request->op);
	if (call == &sync->zones_call)
		request->queue = STORE_QUEUE_ZONES;
	else if (call == &sync->watch_call)
		request->queue = STORE_QUEUE_WATCH;
	call->task = task;
	call->id = request->id;
	call->queue = request->queue;
	call->epoch = sync->epoch;
	call->started_ms = now_ms;
	call->deadline_ms = now_ms + request->timeout_ms + RESULT_GRACE_MS;
	callbacks->start_call(callbacks, request);
	store_request_finish(request);
}

static void start_config_call(struct platform_sync *sync,
			      struct platform_call *call,
			      enum platform_task task, enum store_op op,
			      int64_t now_ms,
			      struct platform_sync_callbacks *callbacks)
{
	struct store_request request;
	char key[STORE_KEY_MAX];

	if (!acquire_call(sync, call, now_ms))
		return;
	store_manifest_key(key, &sync->options.deployment);
	store_request_init(&request, op, key);
	if (op == STORE_OP_WATCH)
		request.version = sync->watch_version;
	platform_start_call(sync, call, task, &request, now_ms, callbacks);
}

static bool has_live_member(const struct roster *roster, enum member_role role)
{
	for (size_t i = 0; i < roster->n; i++)
		if (roster->members[i].role == role &&
		    roster->members[i].state != MEMBER_LEFT)
			return true;
	return false;
}

/*
 * In a roster with few members nearly every process ranks first, so the rank
 * alone does not count until the roster is complete.
 */
static bool counts_as_selected(const struct platform_sync *sync,
			       const struct platform_view *view, int64_t now_ms)
{
	if (!watcher_is_selected(view->roster, &sync->options.name,
				 &sync->options.zone))
		return false;
	/* Until the platform has responded, every process that was selected
	 * at its start keeps trying. */
	if (view->roster_complete || !sync->watch_version ||
	    !sync->options.strong_reads)
		return true;
	return now_ms >= sync->selection_hold_until_ms &&
	       (sync->selected ||
		platform_watchers_lack_contact(sync, view->roster, now_ms));
}

/* Decides whether this process watches, as selected or as substitute. */
static void update_selection(struct platform_sync *sync,
			     const struct platform_view *view, int64_t now_ms)
{
	const struct roster *roster = view->roster;
	bool was_watching = platform_sync_watches(sync, now_ms);

	if (now_ms < sync->next_selection_ms)
		return;
	sync->next_selection_ms = now_ms + SELECTION_INTERVAL_MS;
	sync->selected = counts_as_selected(sync, view, now_ms);
	if (sync->substitute_until_ms > now_ms &&
	    sync->substitute_until_ms - now_ms <= SELECTION_INTERVAL_MS &&
	    platform_watchers_lack_contact(sync, roster, now_ms))
		sync->substitute_until_ms = now_ms + SUBSTITUTE_WATCH_MS;
	/* The selected watchers reach the platform again: stop soon. */
	if (sync->options.strong_reads &&
	    !platform_watchers_lack_contact(sync, roster, now_ms))
		sync->substitute_until_ms = MIN(sync->substitute_until_ms,
						now_ms + SUBSTITUTE_END_MS);
	/* At the start every process reads as a watcher would; a watch starts
	 * only after the next selection. */
	if (sync->options.strong_reads && !sync->initial_selection_done) {
		sync->substitute_until_ms = now_ms + START_WATCH_MS;
		sync->watch_not_before_ms = sync->next_selection_ms;
	}
	sync->initial_selection_done = true;
	if (!was_watching && platform_sync_watches(sync, now_ms))
		sync->config_call.not_before_ms = now_ms;
}

static int64_t probe_spread_ms(const struct roster *roster)
{
	return MAX(PROBE_SPREAD_MIN_MS,
		   (int64_t)roster->n * 1000 / PROBES_PER_S);
}

/* True if gossip does not seem to deliver the platform's data: contacts are
 * stale, or a newer release is known and does not arrive. */
static bool needs_probe(struct platform_sync *sync,
			const struct platform_view *view, int64_t now_ms)
{
	if (view->newest_release <= view->release && view->release)
		sync->outdated_since_ms = CLOCK_NEVER;
	else if (sync->outdated_since_ms == CLOCK_NEVER)
		sync->outdated_since_ms = now_ms;
	if (now_ms - sync->start_ms < START_GRACE_MS)
		return false;
	return platform_contact_is_stale(sync->last_contact_ms, view->roster->n,
					 now_ms) ||
	       (sync->outdated_since_ms != CLOCK_NEVER &&
		now_ms - sync->outdated_since_ms >= OUTDATED_PROBE_MS);
}

static void probe_step(struct platform_sync *sync,
		       const struct platform_view *view, int64_t now_ms,
		       struct platform_sync_callbacks *callbacks)
{
	if (!needs_probe(sync, view, now_ms)) {
		sync->next_probe_ms = CLOCK_NEVER;
		return;
	}
	if (sync->next_probe_ms == CLOCK_NEVER)
		sync->next_probe_ms =
			now_ms + (int64_t)platform_random_below(
					 sync, probe_spread_ms(view->roster));
	if (now_ms < sync->next_probe_ms || !calls_idle(sync))
		return;
	counter_inc(sync->counters, COUNTER_PLATFORM_RETRY_NO_PEER_CONTACT);
	sync->next_probe_ms = now_ms + probe_spread_ms(view->roster) / 2 +
			      (int64_t)platform_random_below(
				      sync, probe_spread_ms(view->roster));
	start_config_call(sync, &sync->config_call, TASK_READ_CONFIG,
			  STORE_OP_GET, now_ms, callbacks);
}

static void watch_step(struct platform_sync *sync, int64_t now_ms,
		       struct platform_sync_callbacks *callbacks)
{
	bool has_version = sync->watch_version > 0;

	if (sync->config_call.task == TASK_NONE && calls_idle(sync) &&
	    now_ms >= sync->config_call.not_before_ms)
		start_config_call(sync, &sync->config_call,
				  has_version ? TASK_READ_CONFIG
					      : TASK_LIST_CONFIG,
				  has_version ? STORE_OP_GET : STORE_OP_LIST,
				  now_ms, callbacks);
	if (has_version && sync->watch_call.task == TASK_NONE &&
	    now_ms >= sync->watch_call.not_before_ms)
		start_config_call(sync, &sync->watch_call, TASK_WATCH,
				  STORE_OP_WATCH, now_ms, callbacks);
}

static void zones_step(struct platform_sync *sync, int64_t now_ms,
		       struct platform_sync_callbacks *callbacks)
{
	bool has_version = sync->zones_version > 0;
	struct store_request request;
	char prefix[STORE_KEY_MAX];

	if (sync->zones_call.task != TASK_NONE ||
	    now_ms < sync->zones_call.not_before_ms ||
	    !acquire_call(sync, &sync->zones_call, now_ms))
		return;
	store_zones_prefix(prefix, &sync->options.deployment);
	store_request_init(
		&request, has_version ? STORE_OP_WATCH : STORE_OP_LIST, prefix);
	request.version = sync->zones_version;
	platform_start_call(sync, &sync->zones_call,
			    has_version ? TASK_WATCH_ZONES : TASK_LIST_ZONES,
			    &request, now_ms, callbacks);
}

static unsigned int pick_page(struct platform_sync *sync)
{
	unsigned int page =
		(unsigned int)platform_random_below(sync, ROSTER_SHARD_PAGES);

	if (sync->pages_requested == ALL_PAGES)
		sync->pages_requested = 0;
	while (sync->pages_requested & (1u << page))
		page = (page + 1) % ROSTER_SHARD_PAGES;
	sync->pages_requested |= 1u << page;
	return page;
}

static bool is_isolated(const struct platform_sync *sync, int64_t now_ms)
{
	return sync->last_message_ms == INT64_MIN ||
	       now_ms - sync->last_message_ms >= ISOLATED_MS;
}

/*
 * When many processes start at once, the seeds cannot respond to all of them,
 * so a process whose roster has few members also lists the platform's copy.
 */
static bool has_few_members(const struct platform_sync *sync,
			    const struct roster *roster, int64_t now_ms)
{
	return sync->options.strong_reads && roster->n < FEW_MEMBERS &&
	       now_ms - sync->start_ms < PEER_SEARCH_MS;
}

/*
 * A process without messages from peers, or whose roster has only its own role,
 * for example when all balancers were replaced at once, reads its peers from
 * the platform. It reads all pages, because the first peer that responds may
 * have started just as recently and have no other members in its roster.
 */
static bool needs_roster_list(const struct platform_sync *sync,
			      const struct roster *roster, int64_t now_ms)
{
	enum member_role other_role = sync->options.role == MEMBER_BALANCER
					      ? MEMBER_AGENT
					      : MEMBER_BALANCER;
	bool list_in_progress = sync->pages_requested &&
				sync->pages_requested != ALL_PAGES;

	return now_ms - sync->start_ms >= START_GRACE_MS &&
	       (is_isolated(sync, now_ms) || list_in_progress ||
		!has_live_member(roster, other_role) ||
		has_few_members(sync, roster, now_ms));
}

/*
 * With strong_reads, the roster is listed once at the start, before any
 * peer has sent a message. If the platform does not respond at that time, the
 * list follows once this process or a peer has reached the platform.
 */
static bool needs_initial_list(const struct platform_sync *sync)
{
	return sync->options.strong_reads && !sync->initial_list_sent &&
	       (sync->watch_version > 0 ||
		sync->last_contact_ms > sync->start_ms);
}

/*
 * Lists the roster with one call, which returns all members of a small fleet,
 * and of a large fleet enough members to start gossip with.
 */
static void start_full_list(struct platform_sync *sync, int64_t now_ms,
			    struct platform_sync_callbacks *callbacks)
{
	struct store_request request;
	char prefix[STORE_KEY_MAX];

	/* The initial list must be complete; later ones only find peers. */
	sync->list_may_be_stale = !needs_initial_list(sync);
	sync->initial_list_sent = true;
	sync->list_covers_all = true;
	roster_shard_prefix(prefix, &sync->options.deployment);
	store_request_init(&request, STORE_OP_LIST, prefix);
	request.one_page = true;
	request.may_be_stale = sync->list_may_be_stale;
	platform_start_call(sync, &sync->list_call, TASK_LIST_ROSTER, &request,
			    now_ms, callbacks);
}

static void list_step(struct platform_sync *sync, const struct roster *roster,
		      int64_t now_ms, struct platform_sync_callbacks *callbacks)
{
	struct store_request request;
	char prefix[STORE_KEY_MAX];

	if (now_ms < sync->list_call.not_before_ms || !calls_idle(sync) ||
	    (!needs_initial_list(sync) &&
	     !needs_roster_list(sync, roster, now_ms)) ||
	    !acquire_call(sync, &sync->list_call, now_ms))
		return;
	if (sync->options.strong_reads && !sync->roster_exceeds_one_response) {
		start_full_list(sync, now_ms, callbacks);
		return;
	}
	sync->list_covers_all = false;
	roster_shard_page_prefix(prefix, &sync->options.deployment,
				 pick_page(sync));
	store_request_init(&request, STORE_OP_LIST, prefix);
	platform_start_call(sync, &sync->list_call, TASK_LIST_ROSTER, &request,
			    now_ms, callbacks);
}

static void read_shard(struct platform_sync *sync, int64_t now_ms,
		       struct platform_sync_callbacks *callbacks)
{
	struct store_request request;
	char key[STORE_KEY_MAX];

	if (!calls_idle(sync) || now_ms < sync->shard_call.not_before_ms ||
	    !acquire_call(sync, &sync->shard_call, now_ms))
		return;
	if (roster_sync_start_next(&sync->roster_sync, now_ms) < 0)
		return;
	roster_shard_key(key, &sync->options.deployment,
			 sync->roster_sync.current_shard);
	store_request_init(&request, STORE_OP_GET, key);
	/* A write based on a stale copy fails with a conflict; the next read
	 * is then strongly consistent. */
	request.may_be_stale =
		sync->options.strong_reads && !sync->shard_write_conflicted &&
		!platform_sync_restored_within(sync, STALE_READ_MAX_MS, now_ms);
	platform_start_call(sync, &sync->shard_call, TASK_READ_SHARD, &request,
			    now_ms, callbacks);
}

/* Balancers keep the platform's copy of the roster up to date. */
static void shard_step(struct platform_sync *sync,
		       const struct platform_view *view, int64_t now_ms,
		       struct platform_sync_callbacks *callbacks)
{
	if (sync->options.role != MEMBER_BALANCER ||
	    now_ms - sync->start_ms < START_GRACE_MS)
		return;
	roster_sync_scan(&sync->roster_sync, view->roster, now_ms,
			 &sync->random);
	if (roster_sync_is_due(&sync->roster_sync, now_ms))
		read_shard(sync, now_ms, callbacks);
}

static struct platform_call *find_call(struct platform_sync *sync, uint64_t id)
{
	struct platform_call *calls[] = {&sync->watch_call, &sync->config_call,
					 &sync->zones_call, &sync->list_call,
					 &sync->shard_call};

	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++)
		if (calls[i]->task != TASK_NONE && calls[i]->id == id)
			return calls[i];
	return NULL;
}

void platform_sync_handle_result(struct platform_sync *sync,
				 const struct store_result *result,
				 const struct platform_view *view,
				 int64_t now_ms,
				 struct platform_sync_callbacks *callbacks)
{
	struct platform_call *call = find_call(sync, result->id);

	if (!call) {
		counter_inc(sync->counters, COUNTER_PLATFORM_LATE_RESULT);
		return;
	}
	platform_finish_call(sync, call, result, view, now_ms, callbacks);
}

/* Fails a call without a result, for example after a pause of the process. */
static void expire_call(struct platform_sync *sync, struct platform_call *call,
			const struct platform_view *view, int64_t now_ms,
			struct platform_sync_callbacks *callbacks)
{
	struct store_result result = {
		.id = call->id,
		.status.code = call->task == TASK_WRITE_SHARD ? STATUS_UNKNOWN
							      : STATUS_TIMEOUT,
	};

	if (call->task != TASK_NONE && now_ms >= call->deadline_ms)
		platform_finish_call(sync, call, &result, view, now_ms,
				     callbacks);
}

void platform_sync_tick(struct platform_sync *sync,
			const struct platform_view *view, int64_t now_ms,
			struct platform_sync_callbacks *callbacks)
{
	expire_call(sync, &sync->watch_call, view, now_ms, callbacks);
	expire_call(sync, &sync->config_call, view, now_ms, callbacks);
	expire_call(sync, &sync->zones_call, view, now_ms, callbacks);
	expire_call(sync, &sync->list_call, view, now_ms, callbacks);
	expire_call(sync, &sync->shard_call, view, now_ms, callbacks);
	update_selection(sync, view, now_ms);
	platform_epoch_step(sync, view, now_ms, callbacks);
	if (platform_sync_watches(sync, now_ms)) {
		watch_step(sync, now_ms, callbacks);
		zones_step(sync, now_ms, callbacks);
	} else {
		probe_step(sync, view, now_ms, callbacks);
	}
	list_step(sync, view->roster, now_ms, callbacks);
	shard_step(sync, view, now_ms, callbacks);
}

/*
 * Adds the delivery time of the message, as an age that processes forward to
 * one another would otherwise never grow.
 */
static int64_t contact_time(uint32_t age_ms, int64_t now_ms)
{
	return age_ms == STORE_AGE_NEVER
		       ? INT64_MIN
		       : now_ms - (int64_t)age_ms - MESSAGE_DELAY_MS;
}

void platform_sync_merge_ages(struct platform_sync *sync,
			      const struct store_contact_ages *ages,
			      int64_t now_ms)
{
	if (is_isolated(sync, now_ms))
		backoff_reset(&sync->list_call.backoff);
	sync->last_message_ms = now_ms;
	sync->last_contact_ms = MAX(sync->last_contact_ms,
				    contact_time(ages->any_process_ms, now_ms));
	sync->last_watcher_contact_ms =
		MAX(sync->last_watcher_contact_ms,
		    contact_time(ages->watcher_ms, now_ms));
	sync->last_restore_ms = MAX(sync->last_restore_ms,
				    contact_time(ages->restore_ms, now_ms));
}

static uint32_t contact_age(int64_t time_ms, int64_t now_ms)
{
	if (time_ms == INT64_MIN)
		return STORE_AGE_NEVER;
	return (uint32_t)CLAMP(now_ms - time_ms, 0, STORE_AGE_NEVER - 1);
}

struct store_contact_ages
platform_sync_contact_ages(const struct platform_sync *sync, int64_t now_ms)
{
	const struct store_contact_ages ages = {
		.any_process_ms = contact_age(sync->last_contact_ms, now_ms),
		.watcher_ms =
			contact_age(sync->last_watcher_contact_ms, now_ms),
		.restore_ms = contact_age(sync->last_restore_ms, now_ms),
	};

	return ages;
}

static const struct platform_call *active_call(const struct platform_sync *sync)
{
	const struct platform_call *calls[] = {
		&sync->config_call, &sync->list_call, &sync->shard_call};

	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++)
		if (calls[i]->task != TASK_NONE)
			return calls[i];
	return NULL;
}

static int64_t calls_deadline(const struct platform_sync *sync, bool watching)
{
	const struct platform_call *active = active_call(sync);
	int64_t next = watching ? sync->config_call.not_before_ms
				: sync->next_probe_ms;

	if (active)
		return active->deadline_ms;
	if (sync->options.role == MEMBER_BALANCER)
		next = MIN(next,
			   MAX(sync->shard_call.not_before_ms,
			       roster_sync_next_deadline(&sync->roster_sync)));
	return next;
}

int64_t platform_sync_next_deadline(const struct platform_sync *sync)
{
	bool watching = sync->selected ||
			sync->substitute_until_ms > sync->next_selection_ms;
	int64_t next =
		MIN(sync->next_selection_ms, calls_deadline(sync, watching));

	if (sync->zones_call.task != TASK_NONE)
		next = MIN(next, sync->zones_call.deadline_ms);
	else if (watching)
		next = MIN(next, sync->zones_call.not_before_ms);
	if (sync->watch_call.task != TASK_NONE)
		return MIN(next, sync->watch_call.deadline_ms);
	if (watching && sync->watch_version)
		next = MIN(next, sync->watch_call.not_before_ms);
	return next;
}
