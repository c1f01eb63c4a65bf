#include "tarragonflow/node/handover_listener.h"

#include <poll.h>
#include <signal.h>
#include <unistd.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/net/tcp.h"

#define POLL_TIMEOUT_MAX_MS 200
#define TRANSFER_TIMEOUT_MS 10000
#define CONNECT_TIMEOUT_MS 1000

static void *listen_thread(void *arg)
{
	struct handover_listener *listener = arg;
	struct pollfd pfd = {.fd = listener->listen_fd, .events = POLLIN};

	while (!atomic_load(&listener->stop)) {
		if (poll(&pfd, 1, POLL_TIMEOUT_MAX_MS) <= 0)
			continue;
		listener->successor_fd = tcp_accept(listener->listen_fd);
		if (listener->successor_fd < 0)
			continue;
		atomic_store(&listener->requested, true);
		kill(getpid(), SIGTERM);
		break;
	}
	return NULL;
}

enum status_code handover_listener_start(struct handover_listener *listener,
					 const struct endpoint *local,
					 struct status *status)
{
	listener->successor_fd = -1;
	atomic_init(&listener->requested, false);
	atomic_init(&listener->stop, false);
	if (tcp_listen(local, &listener->listen_fd, status) != STATUS_OK)
		return status->code;
	if (!pthread_create(&listener->thread, NULL, listen_thread, listener))
		return STATUS_OK;
	close(listener->listen_fd);
	return status_set(status, STATUS_INTERNAL,
			  "cannot start the handover thread");
}

void handover_listener_finish(struct handover_listener *listener)
{
	atomic_store(&listener->stop, true);
	pthread_join(listener->thread, NULL);
	if (listener->successor_fd >= 0)
		close(listener->successor_fd);
	close(listener->listen_fd);
}

bool handover_listener_send(struct handover_listener *listener,
			    struct str flows)
{
	struct clock clock;

	clock_init_monotonic(&clock);
	return tcp_send_frame(listener->successor_fd, flows, &clock,
			      clock_now(&clock) + TRANSFER_TIMEOUT_MS);
}

/* Waits until the peer closes the connection; false at the deadline. */
static bool wait_for_close(int fd, const struct clock *clock,
			   int64_t deadline_ms)
{
	struct strbuf payload;
	bool closed;

	strbuf_init(&payload);
	closed = !tcp_receive_frame(fd, &payload, 1, clock, deadline_ms) &&
		 clock_now(clock) < deadline_ms;
	strbuf_finish(&payload);
	return closed;
}

bool handover_fetch(const struct endpoint *local, struct strbuf *flows)
{
	struct clock clock;
	int64_t deadline_ms;
	bool received;
	int fd;

	clock_init_monotonic(&clock);
	deadline_ms = clock_now(&clock) + TRANSFER_TIMEOUT_MS;
	strbuf_reset(flows);
	fd = tcp_connect(local, &clock, clock_now(&clock) + CONNECT_TIMEOUT_MS);
	if (fd < 0)
		return false;
	received = tcp_receive_frame(fd, flows, TCP_FRAME_MAX, &clock,
				     deadline_ms) &&
		   wait_for_close(fd, &clock, deadline_ms);
	close(fd);
	if (!received)
		strbuf_reset(flows);
	return received;
}
