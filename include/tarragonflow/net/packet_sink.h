#ifndef TARRAGONFLOW_NET_PACKET_SINK_H
#define TARRAGONFLOW_NET_PACKET_SINK_H

#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/net/decision.h"
#include "tarragonflow/net/endpoint.h"
#include "tarragonflow/net/packet.h"

/**
 * Where the packet cores put their output. The I/O edges send; tests and
 * scenarios record or carry the packets over a fake network. All data is
 * valid during the call only.
 */
struct packet_sink {
	/** Sends @header and @inner to another of our processes. */
	void (*to_peer)(struct packet_sink *sink, const struct endpoint *to,
			const struct packet_header *header,
			const uint8_t *inner, size_t len);
	/** Delivers a caller's packet to the local backend server. */
	void (*to_server)(struct packet_sink *sink, const uint8_t *inner,
			  size_t len);
	/** Returns a backend server's packet to the fabric. */
	void (*to_fabric)(struct packet_sink *sink, const uint8_t *inner,
			  size_t len);
	/** Tells what was decided about a connection; NULL when not wanted. */
	void (*decided)(struct packet_sink *sink,
			const struct decision *decision);
};

#endif
