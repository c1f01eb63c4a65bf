#include "tarragonflow/net/packet_interface.h"

#include <unistd.h>

#include "tarragonflow/net/udp.h"

static ssize_t udp_interface_receive(struct packet_interface *interface,
				     uint8_t *buf, size_t cap)
{
	return udp_receive(interface->fd, buf, cap, NULL);
}

static bool udp_interface_send(struct packet_interface *interface,
			       const uint8_t *data, size_t len)
{
	return udp_send(interface->fd, &interface->remote, data, len);
}

static void udp_interface_finish(struct packet_interface *interface)
{
	close(interface->fd);
	interface->fd = -1;
}

enum status_code packet_interface_init_udp(struct packet_interface *interface,
					   const struct endpoint *local,
					   const struct endpoint *remote,
					   struct status *status)
{
	interface->receive = udp_interface_receive;
	interface->send = udp_interface_send;
	interface->finish = udp_interface_finish;
	interface->remote = *remote;
	return udp_open(local, &interface->fd, status);
}
