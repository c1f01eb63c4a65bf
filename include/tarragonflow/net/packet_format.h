#ifndef TARRAGONFLOW_NET_PACKET_FORMAT_H
#define TARRAGONFLOW_NET_PACKET_FORMAT_H

#include "tarragonflow/net/inner.h"

/**
 * Functions to parse and build callers' packets of one wire format. The packet
 * cores work only on struct inner_packet.
 */
struct packet_format {
	/** See inner_parse(). */
	bool (*parse)(struct inner_packet *packet, const uint8_t *data,
		      size_t len);
	/** See inner_build(). */
	size_t (*build)(const struct inner_spec *spec, uint8_t *out,
			size_t cap);
	/**
	 * Writes @mark into a caller's packet to the backend server. A server
	 * that returns the packet as not accepted includes the mark. NULL when
	 * backend servers return no packets.
	 */
	void (*set_mark)(uint8_t *data, uint32_t mark);
	/**
	 * Turns a returned packet back into the caller's packet. NULL when
	 * backend servers return no packets.
	 */
	void (*clear_returned)(uint8_t *data);
	/**
	 * Packets whose sequence numbers differ by less may be of the same
	 * connection, bytes: what it can carry while a packet is delayed.
	 */
	int32_t seq_window;
	/** Whether agents may send resets to backend servers. */
	bool can_reset_servers;
};

/** IPv4 and IPv6 packets with TCP. */
extern const struct packet_format packet_format_ip;

#endif
