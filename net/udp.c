#include "tarragonflow/net/udp.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "tarragonflow/common/clock.h"

#define SOCKET_BUFFER_BYTES (4 * 1024 * 1024)

/* A predecessor frees its addresses shortly after it sent its connections. */
#define BIND_RETRY_MAX_MS 1000
#define BIND_RETRY_INTERVAL_MS 10

/* Binds; retries while the address is in use, for a process that is exiting. */
static bool bind_with_retry(int fd, const struct sockaddr_in *addr)
{
	for (int waited_ms = 0;; waited_ms += BIND_RETRY_INTERVAL_MS) {
		if (bind(fd, (const struct sockaddr *)addr, sizeof(*addr)) == 0)
			return true;
		if (errno != EADDRINUSE || waited_ms >= BIND_RETRY_MAX_MS)
			return false;
		clock_sleep(BIND_RETRY_INTERVAL_MS);
	}
}

enum status_code udp_open(const struct endpoint *local, int *fd,
			  struct status *status)
{
	char text[ENDPOINT_TEXT_MAX];
	int buffer_bytes = SOCKET_BUFFER_BYTES;
	struct sockaddr_in addr;

	*fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (*fd < 0)
		return status_set(status, STATUS_IO, "socket: %s",
				  strerror(errno));
	setsockopt(*fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		   sizeof(buffer_bytes));
	setsockopt(*fd, SOL_SOCKET, SO_SNDBUF, &buffer_bytes,
		   sizeof(buffer_bytes));
	endpoint_to_sockaddr(local, &addr);
	if (bind_with_retry(*fd, &addr))
		return STATUS_OK;
	status_set(status, STATUS_IO, "cannot bind UDP %s: %s",
		   endpoint_format(local, text), strerror(errno));
	close(*fd);
	*fd = -1;
	return STATUS_IO;
}

ssize_t udp_receive(int fd, uint8_t *buf, size_t cap, struct endpoint *from)
{
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);
	ssize_t received =
		recvfrom(fd, buf, cap, 0, (struct sockaddr *)&addr, &len);

	if (received >= 0 && from)
		endpoint_from_sockaddr(from, &addr);
	return received;
}

bool udp_send_parts(int fd, const struct endpoint *to, const void *head,
		    size_t head_len, const void *body, size_t body_len)
{
	struct sockaddr_in addr;
	struct iovec parts[2] = {
		{(void *)head, head_len},
		{(void *)body, body_len},
	};
	struct msghdr msg = {
		.msg_name = &addr,
		.msg_namelen = sizeof(addr),
		.msg_iov = parts,
		.msg_iovlen = 2,
	};

	endpoint_to_sockaddr(to, &addr);
	return sendmsg(fd, &msg, 0) >= 0;
}

bool udp_send(int fd, const struct endpoint *to, const void *data, size_t len)
{
	return udp_send_parts(fd, to, NULL, 0, data, len);
}
