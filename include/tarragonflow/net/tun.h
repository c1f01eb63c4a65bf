#ifndef TARRAGONFLOW_NET_TUN_H
#define TARRAGONFLOW_NET_TUN_H

#include "tarragonflow/net/packet_edge.h"

/** Where Linux has the device that makes TUN interfaces. */
#define TUN_DEVICE "/dev/net/tun"

/** Longest name of an interface, in bytes. */
#define TUN_NAME_MAX 15

/**
 * Packets at the TUN interface @name, which @device makes or opens: open,
 * read, write and nothing more. Addresses, routes and the state of the
 * interface are the operator's; docs/OPERATIONS.md says how to set them.
 * STATUS_IO with what to do when it can't be opened.
 */
enum status_code packet_edge_init_tun(struct packet_edge *edge,
				      const char *device, const char *name,
				      struct status *status);

#endif
