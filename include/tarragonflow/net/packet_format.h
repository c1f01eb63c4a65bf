#ifndef TARRAGONFLOW_NET_PACKET_FORMAT_H
#define TARRAGONFLOW_NET_PACKET_FORMAT_H

#include "tarragonflow/net/inner.h"

/**
 * How callers' packets look on the wire. The packet cores work on struct
 * inner_packet alone and go through this table to read and build packets.
 */
struct packet_format {
	/** As inner_parse(). */
	bool (*parse)(struct inner_packet *packet, const uint8_t *data,
		      size_t len);
	/** As inner_build(). */
	size_t (*build)(const struct inner_spec *spec, uint8_t *out,
			size_t cap);
	/**
	 * Writes @mark into a caller's packet on its way to the backend server,
	 * which gives it back in packets that it returns. NULL when backend
	 * servers return no packets.
	 */
	void (*set_mark)(uint8_t *data, uint32_t mark);
	/** Makes a returned packet what its caller sent. NULL as above. */
	void (*clear_returned)(uint8_t *data);
	/** Whether we may reset connections towards backend servers. */
	bool resets_servers;
};

/** IPv4 and IPv6 packets with TCP. */
extern const struct packet_format packet_format_ip;

#endif
