#ifndef TARRAGONFLOW_NET_PACKET_INTERFACE_H
#define TARRAGONFLOW_NET_PACKET_INTERFACE_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "tarragonflow/common/status.h"
#include "tarragonflow/net/endpoint.h"

/**
 * An interface on which a process receives and sends callers' packets without
 * packet header: towards the fabric, or at an agent towards the backend server.
 */
struct packet_interface {
	/** Receives one packet; returns its length, -1 when there is none. */
	ssize_t (*receive)(struct packet_interface *interface, uint8_t *buf,
			   size_t cap);
	/** Sends one packet; false on an error or a full send buffer. */
	bool (*send)(struct packet_interface *interface, const uint8_t *data,
		     size_t len);
	void (*finish)(struct packet_interface *interface);
	/** Readable when a packet can be received. */
	int fd;
	/** Destination of sent packets; UDP only. */
	struct endpoint remote;
};

/** Receives packets at @local, sends to @remote; each in a UDP datagram. */
enum status_code packet_interface_init_udp(struct packet_interface *interface,
					   const struct endpoint *local,
					   const struct endpoint *remote,
					   struct status *status);

#endif
