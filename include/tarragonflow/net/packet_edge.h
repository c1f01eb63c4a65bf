#ifndef TARRAGONFLOW_NET_PACKET_EDGE_H
#define TARRAGONFLOW_NET_PACKET_EDGE_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "tarragonflow/common/status.h"
#include "tarragonflow/net/endpoint.h"

/**
 * Where raw IP packets enter and leave a process: the fabric's side of a
 * balancer, the VM's own stack beside an agent.
 */
struct packet_edge {
	/** Receives one packet; returns its length, -1 when there is none. */
	ssize_t (*receive)(struct packet_edge *edge, uint8_t *buf, size_t cap);
	/** Sends one packet; false when it was not taken. */
	bool (*send)(struct packet_edge *edge, const uint8_t *data, size_t len);
	void (*finish)(struct packet_edge *edge);
	/** Readable when a packet waits. */
	int fd;
	/** Where the udp form sends to. */
	struct endpoint remote;
};

/** Packets as datagrams between @local and @remote. */
enum status_code packet_edge_init_udp(struct packet_edge *edge,
				      const struct endpoint *local,
				      const struct endpoint *remote,
				      struct status *status);

#endif
