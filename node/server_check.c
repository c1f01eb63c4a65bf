#include "tarragonflow/node/server_check.h"

#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "tarragonflow/net/tcp.h"
#include "tarragonflow/node/node.h"

/* Connecting within the VM takes well under this time. */
#define CONNECT_TIMEOUT_MS 100

static void run_check(const struct server_check *check)
{
	int64_t began_ms = clock_now(&check->clock);

	check->on_result(check->user, began_ms,
			 tcp_connection_refused(&check->server, &check->clock,
						began_ms + CONNECT_TIMEOUT_MS));
}

static void *check_thread(void *arg)
{
	struct server_check *check = arg;
	struct pollfd fd = {.fd = check->wake_fd, .events = POLLIN};

	for (;;) {
		poll(&fd, 1, -1);
		if (atomic_load(&check->stop))
			return NULL;
		if (!fd.revents)
			continue;
		node_wake_clear(check->wake_fd);
		run_check(check);
	}
}

enum status_code server_check_start(
	struct server_check *check, const struct endpoint *server,
	void (*on_result)(void *user, int64_t began_ms, bool refused),
	void *user, struct status *status)
{
	memset(check, 0, sizeof(*check));
	check->server = *server;
	check->on_result = on_result;
	check->user = user;
	clock_init_monotonic(&check->clock);
	check->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	atomic_init(&check->stop, false);
	if (pthread_create(&check->thread, NULL, check_thread, check))
		return status_set(status, STATUS_INTERNAL,
				  "cannot start the server check thread");
	return STATUS_OK;
}

void server_check_finish(struct server_check *check)
{
	atomic_store(&check->stop, true);
	node_wake(check->wake_fd);
	pthread_join(check->thread, NULL);
	close(check->wake_fd);
}

void server_check_request(struct server_check *check)
{
	node_wake(check->wake_fd);
}
