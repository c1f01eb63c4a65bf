#include "tcp_bridge.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tcp_stack.h"

#define BUFFER_BYTES 65536

struct tcp_bridge {
	int stack_fd, system_fd;
	_Atomic bool broken;
};

static _Atomic unsigned long broken_bridges;

unsigned long tcp_bridge_broken(void)
{
	return atomic_load(&broken_bridges);
}

/* Ends both sides at once, which wakes the other direction's thread. */
static void break_off(struct tcp_bridge *bridge)
{
	if (atomic_exchange(&bridge->broken, true))
		return;
	atomic_fetch_add(&broken_bridges, 1);
	shutdown(bridge->system_fd, SHUT_RDWR);
	tcp_stack_shutdown(bridge->stack_fd);
}

static bool write_stack(int fd, const uint8_t *data, size_t len)
{
	while (len) {
		ssize_t done = tcp_stack_write(fd, data, len);

		if (done <= 0)
			return false;
		data += done;
		len -= (size_t)done;
	}
	return true;
}

static bool write_system(int fd, const uint8_t *data, size_t len)
{
	while (len) {
		ssize_t done = send(fd, data, len, MSG_NOSIGNAL);

		if (done <= 0)
			return false;
		data += done;
		len -= (size_t)done;
	}
	return true;
}

static void *to_stack(void *arg)
{
	struct tcp_bridge *bridge = arg;
	uint8_t *buf = g_malloc(BUFFER_BYTES);
	ssize_t len;

	while ((len = read(bridge->system_fd, buf, BUFFER_BYTES)) > 0)
		if (!write_stack(bridge->stack_fd, buf, (size_t)len))
			break;
	if (len == 0)
		tcp_stack_end_writing(bridge->stack_fd);
	else
		break_off(bridge);
	g_free(buf);
	return NULL;
}

static void to_system(struct tcp_bridge *bridge)
{
	uint8_t *buf = g_malloc(BUFFER_BYTES);
	ssize_t len;

	while ((len = tcp_stack_read(bridge->stack_fd, buf, BUFFER_BYTES)) > 0)
		if (!write_system(bridge->system_fd, buf, (size_t)len))
			break;
	if (len == 0)
		shutdown(bridge->system_fd, SHUT_WR);
	else
		break_off(bridge);
	g_free(buf);
}

static void *run_bridge(void *arg)
{
	struct tcp_bridge *bridge = arg;
	struct linger linger = {.l_onoff = 1, .l_linger = 0};
	pthread_t upward;

	if (pthread_create(&upward, NULL, to_stack, bridge) == 0) {
		to_system(bridge);
		pthread_join(upward, NULL);
	} else {
		break_off(bridge);
	}
	if (bridge->broken)
		setsockopt(bridge->system_fd, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	close(bridge->system_fd);
	tcp_stack_close(bridge->stack_fd, bridge->broken);
	g_free(bridge);
	return NULL;
}

void tcp_bridge_start(int stack_fd, int system_fd)
{
	struct tcp_bridge *bridge = g_new0(struct tcp_bridge, 1);
	pthread_t thread;

	bridge->stack_fd = stack_fd;
	bridge->system_fd = system_fd;
	if (pthread_create(&thread, NULL, run_bridge, bridge) != 0)
		g_error("cannot start a bridge");
	pthread_detach(thread);
}
