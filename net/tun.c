#include "tarragonflow/net/tun.h"

#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/if_tun.h>
#include <net/if.h>
#include <stdio.h>
#include <string.h>
#include <sys/ioctl.h>
#include <unistd.h>

static_assert(TUN_NAME_MAX == IFNAMSIZ - 1, "length of an interface name");

static ssize_t tun_receive(struct packet_interface *interface, uint8_t *buf,
			   size_t cap)
{
	return read(interface->fd, buf, cap);
}

static bool tun_send(struct packet_interface *interface, const uint8_t *data,
		     size_t len)
{
	return write(interface->fd, data, len) == (ssize_t)len;
}

static void tun_finish(struct packet_interface *interface)
{
	close(interface->fd);
	interface->fd = -1;
}

static enum status_code attach_tun(int fd, const char *name,
				   struct status *status)
{
	struct ifreq request = {.ifr_flags = IFF_TUN | IFF_NO_PI};

	snprintf(request.ifr_name, sizeof(request.ifr_name), "%s", name);
	if (ioctl(fd, TUNSETIFF, &request) == 0)
		return STATUS_OK;
	return status_set(status, STATUS_IO,
			  "cannot attach to TUN interface %s: %s; requires "
			  "CAP_NET_ADMIN or an interface owned by this user",
			  name, strerror(errno));
}

enum status_code packet_interface_init_tun(struct packet_interface *interface,
					   const char *device, const char *name,
					   struct status *status)
{
	if (!*name || strlen(name) > TUN_NAME_MAX)
		return status_set(status, STATUS_INVALID,
				  "TUN interface \"%s\": allowed are 1 to %d "
				  "bytes",
				  name, TUN_NAME_MAX);
	interface->receive = tun_receive;
	interface->send = tun_send;
	interface->finish = tun_finish;
	interface->fd = open(device, O_RDWR | O_NONBLOCK | O_CLOEXEC);
	if (interface->fd < 0)
		return status_set(
			status, STATUS_IO,
			"cannot open %s for TUN interface %s: %s; use "
			"UDP addresses where the VM has no TUN",
			device, name, strerror(errno));
	if (attach_tun(interface->fd, name, status) != STATUS_OK)
		tun_finish(interface);
	return status->code;
}
