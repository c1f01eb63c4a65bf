#include "tarragonflow/node/store_duty.h"

#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/node/node.h"

#define RING_SIZE 64

void store_duty_init(struct store_duty *duty, const char *url,
		     const struct http_dialect *dialect,
		     struct counters *counters, int results_wake_fd)
{
	memset(duty, 0, sizeof(*duty));
	ring_init(&duty->requests, RING_SIZE);
	ring_init(&duty->results, RING_SIZE);
	http_store_init(&duty->http, url, dialect, counters);
	duty->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	duty->results_wake_fd = results_wake_fd;
	atomic_init(&duty->stop, false);
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

static void push_result(struct store_duty *duty, struct store_result *result)
{
	while (!ring_push(&duty->results, result)) {
		if (atomic_load(&duty->stop)) {
			free_result(result);
			return;
		}
		clock_sleep(1);
	}
	node_wake(duty->results_wake_fd);
}

static void serve_requests(struct store_duty *duty)
{
	struct object_store *platform = &duty->http.store;
	struct store_request *request;
	struct store_result *result;

	while (!atomic_load(&duty->stop) &&
	       (request = ring_pop(&duty->requests))) {
		result = g_new(struct store_result, 1);
		platform->call(platform, request, result);
		free_request(request);
		push_result(duty, result);
	}
}

static void *duty_thread(void *arg)
{
	struct store_duty *duty = arg;
	struct pollfd fd = {.fd = duty->wake_fd, .events = POLLIN};

	while (!atomic_load(&duty->stop)) {
		poll(&fd, 1, -1);
		if (fd.revents)
			node_wake_clear(duty->wake_fd);
		serve_requests(duty);
	}
	return NULL;
}

enum status_code store_duty_start(struct store_duty *duty,
				  struct status *status)
{
	if (pthread_create(&duty->thread, NULL, duty_thread, duty))
		return status_set(status, STATUS_INTERNAL,
				  "cannot start a store thread");
	return STATUS_OK;
}

void store_duty_stop(struct store_duty *duty)
{
	atomic_store(&duty->stop, true);
	http_store_cancel(&duty->http);
	node_wake(duty->wake_fd);
	pthread_join(duty->thread, NULL);
}

void store_duty_finish(struct store_duty *duty)
{
	struct store_request *request;
	struct store_result *result;

	while ((request = ring_pop(&duty->requests)))
		free_request(request);
	while ((result = ring_pop(&duty->results)))
		free_result(result);
	ring_finish(&duty->requests);
	ring_finish(&duty->results);
	http_store_finish(&duty->http);
	close(duty->wake_fd);
}

bool store_duty_submit(struct store_duty *duty,
		       const struct store_request *request)
{
	struct store_request *copy = g_new(struct store_request, 1);

	*copy = *request;
	strbuf_init(&copy->value);
	strbuf_add(&copy->value, request->value.data, request->value.len);
	if (!ring_push(&duty->requests, copy)) {
		free_request(copy);
		return false;
	}
	node_wake(duty->wake_fd);
	return true;
}

struct store_result *store_duty_pop_result(struct store_duty *duty)
{
	return ring_pop(&duty->results);
}
