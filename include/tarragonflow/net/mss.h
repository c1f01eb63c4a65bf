#ifndef TARRAGONFLOW_NET_MSS_H
#define TARRAGONFLOW_NET_MSS_H

#include "tarragonflow/net/inner.h"

/**
 * Clamps the maximum segment size that both ends announce (RFC 9293, 3.7.1),
 * so that a full segment with our headers still fits the path between our
 * processes and never needs fragments.
 */

/** Outer IPv4 and UDP headers, in bytes. */
#define MSS_OUTER_BYTES 28

/**
 * The longest segment payload for a path of @mtu bytes, with the longest
 * chain and a keyed tag, for IPv4 or IPv6 inside.
 */
uint16_t mss_for_mtu(uint16_t mtu, bool v4);

/**
 * Lowers the option in the SYN or SYN-ACK @packet, held at @data, to @max
 * and updates the checksum. Returns whether anything changed.
 */
bool mss_clamp(uint8_t *data, const struct inner_packet *packet, uint16_t max);

#endif
