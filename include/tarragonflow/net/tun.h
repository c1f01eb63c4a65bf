#ifndef TARRAGONFLOW_NET_TUN_H
#define TARRAGONFLOW_NET_TUN_H

#include "tarragonflow/net/packet_interface.h"

/** Device file that creates TUN interfaces on Linux. */
#define TUN_DEVICE "/dev/net/tun"

/** Longest interface name, bytes. */
#define TUN_NAME_MAX 15

/**
 * Opens the TUN interface @name with @device, and creates it if needed.
 * @interface only reads and writes packets: the operator sets addresses, routes
 * and link state as described in docs/OPERATIONS.md. STATUS_IO with advice when
 * the interface can't be opened.
 */
enum status_code packet_interface_init_tun(struct packet_interface *interface,
					   const char *device, const char *name,
					   struct status *status);

#endif
