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
	/* One side failed, so both connections end with a reset. */
	_Atomic bool reset;
};

static _Atomic unsigned long reset_bridges;

unsigned long tcp_bridge_reset_count(void)
{
	return atomic_load(&reset_bridges);
}

/* Shuts both sides down at once, which unblocks the other thread. */
static void reset_both_sides(struct tcp_bridge *bridge)
{
	if (atomic_exchange(&bridge->reset, true))
		return;
	atomic_fetch_add(&reset_bridges, 1);
	shutdown(bridge->system_fd, SHUT_RDWR);
	tcp_stack_shutdown(bridge->stack_fd);
}

static bool write_stack(int fd, const uint8_t *data, size_t len)
{
	while (len) {
		ssize_t written = tcp_stack_write(fd, data, len);

		if (written <= 0)
			return false;
		data += written;
		len -= (size_t)written;
	}
	return true;
}

static bool write_system(int fd, const uint8_t *data, size_t len)
{
	while (len) {
		ssize_t written = send(fd, data, len, MSG_NOSIGNAL);

		if (written <= 0)
			return false;
		data += written;
		len -= (size_t)written;
	}
	return true;
}

static void *copy_to_stack(void *arg)
{
	struct tcp_bridge *bridge = arg;
	uint8_t *buf = g_malloc(BUFFER_BYTES);
	ssize_t len;

	while ((len = read(bridge->system_fd, buf, BUFFER_BYTES)) > 0)
		if (!write_stack(bridge->stack_fd, buf, (size_t)len))
			break;
	if (len == 0)
		tcp_stack_shutdown_write(bridge->stack_fd);
	else
		reset_both_sides(bridge);
	g_free(buf);
	return NULL;
}

static void copy_to_system(struct tcp_bridge *bridge)
{
	uint8_t *buf = g_malloc(BUFFER_BYTES);
	ssize_t len;

	while ((len = tcp_stack_read(bridge->stack_fd, buf, BUFFER_BYTES)) > 0)
		if (!write_system(bridge->system_fd, buf, (size_t)len))
			break;
	if (len == 0)
		shutdown(bridge->system_fd, SHUT_WR);
	else
		reset_both_sides(bridge);
	g_free(buf);
}

static void *run_bridge(void *arg)
{
	struct tcp_bridge *bridge = arg;
	struct linger linger = {.l_onoff = 1, .l_linger = 0};
	pthread_t to_stack_thread;

	if (pthread_create(&to_stack_thread, NULL, copy_to_stack, bridge) ==
	    0) {
		copy_to_system(bridge);
		pthread_join(to_stack_thread, NULL);
	} else {
		reset_both_sides(bridge);
	}
	if (bridge->reset)
		setsockopt(bridge->system_fd, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	close(bridge->system_fd);
	tcp_stack_close(bridge->stack_fd, bridge->reset);
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
		g_error("cannot start a bridge thread");
	pthread_detach(thread);
}
