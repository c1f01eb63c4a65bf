#include "tarragonflow/node/store_worker.h"

#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/node/node.h"

#define RING_SIZE 64

void store_worker_init(struct store_worker *worker, const char *url,
		       const struct http_dialect *dialect,
		       struct counters *counters, int results_wake_fd)
{
	memset(worker, 0, sizeof(*worker));
	ring_init(&worker->requests, RING_SIZE);
	ring_init(&worker->results, RING_SIZE);
	http_store_init(&worker->http, url, dialect, counters);
	worker->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	worker->results_wake_fd = results_wake_fd;
	atomic_init(&worker->stop, false);
}

static void free_request(struct store_request *request)
{
	store_request_finish(request);
	g_free(request);
}

static void free_result(struct store_result *result)
{
	store_result_finish(result);
	g_free(result);
}

static void push_result(struct store_worker *worker,
			struct store_result *result)
{
	while (!ring_push(&worker->results, result)) {
		if (atomic_load(&worker->stop)) {
			free_result(result);
			return;
		}
		clock_sleep(1);
	}
	node_wake(worker->results_wake_fd);
}

static void serve_requests(struct store_worker *worker)
{
	struct object_store *store = &worker->http.store;
	struct store_request *request;
	struct store_result *result;

	while (!atomic_load(&worker->stop) &&
	       (request = ring_pop(&worker->requests))) {
		result = g_new(struct store_result, 1);
		store->call(store, request, result);
		free_request(request);
		push_result(worker, result);
	}
}

static void *store_thread(void *arg)
{
	struct store_worker *worker = arg;
	struct pollfd fd = {.fd = worker->wake_fd, .events = POLLIN};

	while (!atomic_load(&worker->stop)) {
		poll(&fd, 1, -1);
		if (fd.revents)
			node_wake_clear(worker->wake_fd);
		serve_requests(worker);
	}
	return NULL;
}

enum status_code store_worker_start(struct store_worker *worker,
				    struct status *status)
{
	if (pthread_create(&worker->thread, NULL, store_thread, worker))
		return status_set(status, STATUS_INTERNAL,
				  "cannot start a store thread");
	return STATUS_OK;
}

void store_worker_stop(struct store_worker *worker)
{
	atomic_store(&worker->stop, true);
	http_store_cancel(&worker->http);
	node_wake(worker->wake_fd);
	pthread_join(worker->thread, NULL);
}

void store_worker_finish(struct store_worker *worker)
{
	struct store_request *request;
	struct store_result *result;

	while ((request = ring_pop(&worker->requests)))
		free_request(request);
	while ((result = ring_pop(&worker->results)))
		free_result(result);
	ring_finish(&worker->requests);
	ring_finish(&worker->results);
	http_store_finish(&worker->http);
	close(worker->wake_fd);
}

bool store_worker_submit(struct store_worker *worker,
			 const struct store_request *request)
{
	struct store_request *copy = g_new(struct store_request, 1);

	*copy = *request;
	strbuf_init(&copy->value);
	strbuf_add(&copy->value, request->value.data, request->value.len);
	if (!ring_push(&worker->requests, copy)) {
		free_request(copy);
		return false;
	}
	node_wake(worker->wake_fd);
	return true;
}

struct store_result *store_worker_pop_result(struct store_worker *worker)
{
	return ring_pop(&worker->results);
}
