#include "tarragonflow/node/checkpoint_worker.h"

#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "tarragonflow/common/log.h"
#include "tarragonflow/store/call_policy.h"

#define CALL_TIMEOUT_SHORT_MS 600

/* Names of the writes of one process, part of their tokens. */
#define WRITE_CLAIM 'c'
#define WRITE_SAVE 's'

static void set_value(struct checkpoint_worker *worker, char write,
		      const struct checkpoint *checkpoint)
{
	char token[STORE_TOKEN_MAX];
	struct strbuf value;

	snprintf(token, sizeof(token), "%016llx%c",
		 (unsigned long long)worker->node->instance, write);
	strbuf_init(&value);
	checkpoint_format(checkpoint, &value);
	object_replacement_set(&worker->object, token, strbuf_str(&value));
	strbuf_finish(&value);
}

static void set_claim(struct checkpoint_worker *worker)
{
	struct checkpoint claim;

	checkpoint_init(&claim);
	claim.instance = worker->node->instance;
	set_value(worker, WRITE_CLAIM, &claim);
	checkpoint_finish(&claim);
}

/* Queues a copy of @flows, if not NULL, for the packet thread. */
static void push_inherited(struct checkpoint_worker *worker,
			   const struct strbuf *flows, bool claimed)
{
	struct inherited_flows *inherited = g_new0(struct inherited_flows, 1);
	struct node *node = worker->node;

	strbuf_init(&inherited->flows);
	if (flows)
		strbuf_add(&inherited->flows, flows->data, flows->len);
	inherited->claimed = claimed;
	inherited->complete = claimed && worker->predecessor_found;
	inherited->incomplete_ms = worker->incomplete_ms;
	if (ring_push(&node->inherited_flows, inherited)) {
		node_wake(node->packet_wake_fd);
		return;
	}
	inherited_flows_free(inherited);
	counter_inc(&node->counters, COUNTER_DROP_RING_FULL);
}

/* Passes the connections that were read to the packet thread, if they are
 * usable. Another process may have written the checkpoint since an earlier
 * read: connections that were found then lack those that it has opened. */
static void take_over(struct checkpoint_worker *worker,
		      const struct store_result *result)
{
	int64_t started_ms = (int64_t)worker->node->instance;
	struct checkpoint checkpoint;
	bool readable;

	checkpoint_init(&checkpoint);
	readable = checkpoint_parse(&checkpoint,
				    strbuf_str(&result->objects[0].value));
	if (!readable || checkpoint.instance != worker->node->instance)
		worker->predecessor_found = readable &&
					    checkpoint_is_fresh(&checkpoint,
								result->epoch,
								started_ms);
	if (readable && worker->predecessor_found &&
	    checkpoint.instance != worker->node->instance) {
		worker->incomplete_ms = checkpoint.incomplete_ms;
		push_inherited(worker, &checkpoint.connections, false);
	}
	checkpoint_finish(&checkpoint);
}

/* Makes the next call. Returns the time to wait before the one after it, ms. */
static int64_t make_call(struct checkpoint_worker *worker, int64_t timeout_ms,
			 struct store_result *result)
{
	struct object_store *store = &worker->http.store;
	struct store_request request;

	object_replacement_next_call(&worker->object, &request);
	request.timeout_ms = timeout_ms;
	store->call(store, &request, result);
	store_request_finish(&request);
	return object_replacement_handle_result(&worker->object, result,
						random_next(&worker->random));
}

/* Waits for @ms, or until the thread is to stop. */
static void wait_or_stop(struct checkpoint_worker *worker, int64_t ms)
{
	struct pollfd fd = {.fd = worker->stop_fd, .events = POLLIN};

	if (ms)
		poll(&fd, 1, (int)ms);
}

static void *claim_thread(void *arg)
{
	struct checkpoint_worker *worker = arg;
	struct store_result result;
	int64_t wait_ms;

	set_claim(worker);
	while (!atomic_load(&worker->stop) && !worker->object.done) {
		wait_ms = make_call(
			worker, read_timeout_ms(random_next(&worker->random)),
			&result);
		if (result.op == STORE_OP_GET && result.n_objects)
			take_over(worker, &result);
		else if (result.status.code == STATUS_NOT_FOUND)
			worker->predecessor_found = false;
		store_result_finish(&result);
		if (!worker->object.done)
			wait_or_stop(worker, wait_ms);
	}
	if (worker->object.done)
		push_inherited(worker, NULL, true);
	return NULL;
}

static void init_http(struct checkpoint_worker *worker)
{
	http_store_init(&worker->http, worker->node->settings->platform.data,
			worker->node->adapter->dialect,
			&worker->node->counters);
}

enum status_code checkpoint_worker_start(struct checkpoint_worker *worker,
					 struct node *node,
					 struct status *status)
{
	const struct settings *settings = node->settings;
	char key[STORE_KEY_MAX];

	worker->node = node;
	worker->predecessor_found = false;
	worker->incomplete_ms = 0;
	atomic_init(&worker->stop, false);
	worker->stop_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	random_init(&worker->random,
		    node->instance ^ member_id(&settings->name));
	checkpoint_key(key, &settings->deployment, &settings->name);
	object_replacement_init(&worker->object, key);
	init_http(worker);
	worker->started =
		!pthread_create(&worker->thread, NULL, claim_thread, worker);
	if (!worker->started)
		return status_set(status, STATUS_INTERNAL,
				  "cannot start the checkpoint thread");
	return STATUS_OK;
}

/* Ends the thread. Calls can be made again after it. */
static void end_thread(struct checkpoint_worker *worker)
{
	if (!worker->started)
		return;
	atomic_store(&worker->stop, true);
	http_store_cancel(&worker->http);
	node_wake(worker->stop_fd);
	pthread_join(worker->thread, NULL);
	worker->started = false;
	http_store_finish(&worker->http);
	init_http(worker);
}

/* Makes one call and waits until the next one may be made. Returns false when
 * the deadline has passed. */
static bool make_call_in_time(struct checkpoint_worker *worker,
			      int64_t deadline_ms)
{
	const struct clock *clock = &worker->node->clock;
	int64_t left_ms = deadline_ms - clock_now(clock);
	struct store_result result;
	int64_t wait_ms;

	if (left_ms <= 0)
		return false;
	wait_ms =
		make_call(worker, MIN(left_ms, CALL_TIMEOUT_SHORT_MS), &result);
	store_result_finish(&result);
	left_ms = MAX(deadline_ms - clock_now(clock), 0);
	clock_sleep(MIN(wait_ms, left_ms));
	return true;
}

void checkpoint_worker_prepare_save(struct checkpoint_worker *worker,
				    int64_t timeout_ms)
{
	int64_t deadline_ms = clock_now(&worker->node->clock) + timeout_ms;

	end_thread(worker);
	object_replacement_read_again(&worker->object);
	while (worker->object.version < 0 &&
	       make_call_in_time(worker, deadline_ms))
		;
}

void checkpoint_worker_save(struct checkpoint_worker *worker,
			    const struct strbuf *connections,
			    int64_t incomplete_ms, int64_t timeout_ms)
{
	int64_t deadline_ms = clock_now(&worker->node->clock) + timeout_ms;
	struct checkpoint checkpoint;

	if (worker->object.version < 0) {
		log_event(LOG_LEVEL_WARN, "checkpoint",
			  "saved=0 reason=\"the store does not respond\"");
		return;
	}
	checkpoint_init(&checkpoint);
	checkpoint.instance = worker->node->instance;
	checkpoint.saved_ms = clock_wall_ms();
	checkpoint.epoch = worker->object.epoch;
	checkpoint.incomplete_ms = incomplete_ms;
	strbuf_add(&checkpoint.connections, connections->data,
		   connections->len);
	set_value(worker, WRITE_SAVE, &checkpoint);
	checkpoint_finish(&checkpoint);
	if (worker->object.value.len > STORE_VALUE_MAX) {
		log_event(LOG_LEVEL_WARN, "checkpoint",
			  "saved=0 reason=\"too many connections\" bytes=%zu",
			  worker->object.value.len);
		return;
	}
	while (!worker->object.done && make_call_in_time(worker, deadline_ms))
		;
	log_event(worker->object.done ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
		  "checkpoint", "saved=%d bytes=%zu", worker->object.done,
		  worker->object.value.len);
}

void checkpoint_worker_delete(struct checkpoint_worker *worker)
{
	struct object_store *store = &worker->http.store;
	struct store_request request;
	struct store_result result;

	if (worker->object.version <= 0)
		return;
	store_request_init(&request, STORE_OP_DELETE, worker->object.key);
	request.version = worker->object.version;
	request.timeout_ms = CALL_TIMEOUT_SHORT_MS;
	store->call(store, &request, &result);
	if (result.status.code != STATUS_OK)
		log_event(LOG_LEVEL_WARN, "checkpoint",
			  "deleted=0 reason=\"%s\"", result.status.message);
	store_request_finish(&request);
	store_result_finish(&result);
}

void checkpoint_worker_finish(struct checkpoint_worker *worker)
{
	end_thread(worker);
	http_store_finish(&worker->http);
	object_replacement_finish(&worker->object);
	close(worker->stop_fd);
}
