#ifndef TARRAGONFLOW_NET_UDP_H
#define TARRAGONFLOW_NET_UDP_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "tarragonflow/common/status.h"
#include "tarragonflow/net/endpoint.h"

/** Largest datagram to send or receive, bytes. */
#define UDP_DATAGRAM_MAX 65507

/**
 * Opens a non-blocking socket bound to @local and stores it in @fd. Retries for
 * a second while another process has the address.
 */
enum status_code udp_open(const struct endpoint *local, int *fd,
			  struct status *status);

/** Receives one datagram; returns its length, -1 when there is none. */
ssize_t udp_receive(int fd, uint8_t *buf, size_t cap, struct endpoint *from);

/** Sends one datagram; false when the kernel did not accept it. */
bool udp_send(int fd, const struct endpoint *to, const void *data, size_t len);

/** Sends @head and @body as one datagram. */
bool udp_send_parts(int fd, const struct endpoint *to, const void *head,
		    size_t head_len, const void *body, size_t body_len);

#endif
