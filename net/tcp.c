#include "tarragonflow/net/tcp.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 64
#define READ_CHUNK_BYTES 65536

enum status_code tcp_listen(const struct endpoint *local, int *fd,
			    struct status *status)
{
	char text[ENDPOINT_TEXT_MAX];
	struct sockaddr_in addr;
	int one = 1;

	*fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (*fd < 0)
		return status_set(status, STATUS_IO, "socket: %s",
				  strerror(errno));
	setsockopt(*fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	endpoint_to_sockaddr(local, &addr);
	if (bind(*fd, (struct sockaddr *)&addr, sizeof(addr)) == 0 &&
	    listen(*fd, LISTEN_BACKLOG) == 0)
		return STATUS_OK;
	status_set(status, STATUS_IO, "cannot listen on TCP %s: %s",
		   endpoint_format(local, text), strerror(errno));
	close(*fd);
	*fd = -1;
	return STATUS_IO;
}

/* Waits until @fd is ready for @events; false when the deadline passed. */
static bool wait_ready(int fd, short events, const struct clock *clock,
		       int64_t deadline_ms)
{
	struct pollfd poll_fd = {.fd = fd, .events = events};

	for (;;) {
		int64_t remaining_ms = deadline_ms - clock_now(clock);
		int ready;

		if (remaining_ms <= 0)
			return false;
		ready = poll(&poll_fd, 1, (int)MIN(remaining_ms, INT32_MAX));
		if (ready > 0)
			return true;
		if (ready < 0 && errno != EINTR)
			return false;
	}
}

static int socket_error(int fd)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len))
		return errno;
	return error;
}

/* Connects to @peer; returns the socket, or -1 with the reason in @error. */
static int try_connect(const struct endpoint *peer, const struct clock *clock,
		       int64_t deadline_ms, int *error)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct sockaddr_in addr;

	*error = errno;
	if (fd < 0)
		return -1;
	endpoint_to_sockaddr(peer, &addr);
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0)
		return fd;
	*error = errno;
	if (*error == EINPROGRESS) {
		*error = ETIMEDOUT;
		if (wait_ready(fd, POLLOUT, clock, deadline_ms))
			*error = socket_error(fd);
	}
	if (!*error)
		return fd;
	close(fd);
	return -1;
}

int tcp_connect(const struct endpoint *peer, const struct clock *clock,
		int64_t deadline_ms)
{
	int error;

	return try_connect(peer, clock, deadline_ms, &error);
}

bool tcp_connection_refused(const struct endpoint *peer,
			    const struct clock *clock, int64_t deadline_ms)
{
	int error;
	int fd = try_connect(peer, clock, deadline_ms, &error);

	if (fd < 0)
		return error == ECONNREFUSED;
	close(fd);
	return false;
}

int tcp_accept(int listen_fd)
{
	int fd = accept(listen_fd, NULL, NULL);

	if (fd < 0)
		return -1;
	fcntl(fd, F_SETFD, FD_CLOEXEC);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static bool send_all(int fd, const char *data, size_t len,
		     const struct clock *clock, int64_t deadline_ms)
{
	while (len) {
		ssize_t sent = send(fd, data, len, MSG_NOSIGNAL);

		if (sent > 0) {
			data += sent;
			len -= (size_t)sent;
			continue;
		}
		if (errno == EINTR)
			continue;
		if (errno != EAGAIN ||
		    !wait_ready(fd, POLLOUT, clock, deadline_ms))
			return false;
	}
	return true;
}

static bool receive_all(int fd, char *data, size_t len,
			const struct clock *clock, int64_t deadline_ms)
{
	while (len) {
		ssize_t received = recv(fd, data, len, 0);

		if (!received)
			return false;
		if (received > 0) {
			data += received;
			len -= (size_t)received;
			continue;
		}
		if (errno == EINTR)
			continue;
		if (errno != EAGAIN ||
		    !wait_ready(fd, POLLIN, clock, deadline_ms))
			return false;
	}
	return true;
}

bool tcp_send_frame(int fd, struct str payload, const struct clock *clock,
		    int64_t deadline_ms)
{
	uint32_t header = GUINT32_TO_BE((uint32_t)payload.len);

	if (payload.len > TCP_FRAME_MAX)
		return false;
	return send_all(fd, (const char *)&header, sizeof(header), clock,
			deadline_ms) &&
	       send_all(fd, payload.data, payload.len, clock, deadline_ms);
}

bool tcp_receive_frame(int fd, struct strbuf *out, size_t max,
		       const struct clock *clock, int64_t deadline_ms)
{
	char chunk[READ_CHUNK_BYTES];
	uint32_t header;
	size_t len;

	strbuf_reset(out);
	if (!receive_all(fd, (char *)&header, sizeof(header), clock,
			 deadline_ms))
		return false;
	len = GUINT32_FROM_BE(header);
	if (len > max || len > TCP_FRAME_MAX)
		return false;
	/* Allocates for received bytes only, not the announced length. */
	while (len) {
		size_t chunk_len = MIN(len, sizeof(chunk));

		if (!receive_all(fd, chunk, chunk_len, clock, deadline_ms))
			return false;
		strbuf_add(out, chunk, chunk_len);
		len -= chunk_len;
	}
	return true;
}
