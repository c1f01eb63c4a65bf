#include "tarragonflow/net/packet_edge.h"

#include <unistd.h>

#include "tarragonflow/net/udp.h"

static ssize_t udp_edge_receive(struct packet_edge *edge, uint8_t *buf,
				size_t cap)
{
	return udp_receive(edge->fd, buf, cap, NULL);
}

static bool udp_edge_send(struct packet_edge *edge, const uint8_t *data,
			  size_t len)
{
	return udp_send(edge->fd, &edge->remote, data, len);
}

static void udp_edge_finish(struct packet_edge *edge)
{
	close(edge->fd);
	edge->fd = -1;
}

enum status_code packet_edge_init_udp(struct packet_edge *edge,
				      const struct endpoint *local,
				      const struct endpoint *remote,
				      struct status *status)
{
	edge->receive = udp_edge_receive;
	edge->send = udp_edge_send;
	edge->finish = udp_edge_finish;
	edge->remote = *remote;
	return udp_open(local, &edge->fd, status);
}
