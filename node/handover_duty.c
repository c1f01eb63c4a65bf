#include "tarragonflow/node/handover_duty.h"

#include <poll.h>
#include <signal.h>
#include <unistd.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/net/tcp.h"

#define POLL_MAX_MS 200
#define TRANSFER_TIMEOUT_MS 10000
#define CONNECT_TIMEOUT_MS 1000

static void *listen_thread(void *arg)
{
	struct handover_duty *duty = arg;
	struct pollfd pfd = {.fd = duty->listen_fd, .events = POLLIN};

	while (!atomic_load(&duty->stop)) {
		if (poll(&pfd, 1, POLL_MAX_MS) <= 0)
			continue;
		duty->successor_fd = tcp_accept(duty->listen_fd);
		if (duty->successor_fd < 0)
			continue;
		atomic_store(&duty->requested, true);
		kill(getpid(), SIGTERM);
		break;
	}
	return NULL;
}

enum status_code handover_duty_start(struct handover_duty *duty,
				     const struct endpoint *local,
				     struct status *status)
{
	duty->successor_fd = -1;
	atomic_init(&duty->requested, false);
	atomic_init(&duty->stop, false);
	if (tcp_listen(local, &duty->listen_fd, status) != STATUS_OK)
		return status->code;
	if (!pthread_create(&duty->thread, NULL, listen_thread, duty))
		return STATUS_OK;
	close(duty->listen_fd);
	return status_set(status, STATUS_INTERNAL,
			  "cannot start the handover thread");
}

void handover_duty_finish(struct handover_duty *duty)
{
	atomic_store(&duty->stop, true);
	pthread_join(duty->thread, NULL);
	if (duty->successor_fd >= 0)
		close(duty->successor_fd);
	close(duty->listen_fd);
}

bool handover_duty_send(struct handover_duty *duty, struct str flows)
{
	struct clock clock;

	clock_init_monotonic(&clock);
	return tcp_send_frame(duty->successor_fd, flows, &clock,
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
