#ifndef TARRAGONFLOW_NET_MSS_H
#define TARRAGONFLOW_NET_MSS_H

#include "tarragonflow/net/inner.h"

/**
 * Clamps the maximum segment size (MSS) that both ends of a connection announce
 * (RFC 9293, 3.7.1), so that a full segment with the envelope and packet header
 * fits the path between balancers and agents without fragmentation.
 */

/** Outer IPv4 and UDP headers, bytes. */
#define MSS_OUTER_BYTES 28

/**
 * The largest segment payload, in bytes, that fits a path of @mtu bytes with
 * the longest packet header and an envelope; @v4: the inner packet is IPv4.
 */
uint16_t mss_for_mtu(uint16_t mtu, bool v4);

/**
 * Lowers the MSS option of the SYN or SYN-ACK at @data, parsed as @packet, to
 * @max and updates the checksum. Returns whether the packet changed.
 */
bool mss_clamp(uint8_t *data, const struct inner_packet *packet, uint16_t max);

#endif
