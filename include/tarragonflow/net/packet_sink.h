#ifndef TARRAGONFLOW_NET_PACKET_SINK_H
#define TARRAGONFLOW_NET_PACKET_SINK_H

#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/net/decision.h"
#include "tarragonflow/net/endpoint.h"
#include "tarragonflow/net/packet.h"

/**
 * Output functions of the packet cores. Processes implement them with sockets;
 * tests and scenarios record packets or deliver them over a simulated network.
 * All data is valid during the call only.
 */
struct packet_sink {
	/** Sends @header and @inner to the balancer or agent at @to. */
	void (*to_peer)(struct packet_sink *sink, const struct endpoint *to,
			const struct packet_header *header,
			const uint8_t *inner, size_t len);
	/** Sends a caller's packet to the local backend server. */
	void (*to_server)(struct packet_sink *sink, const uint8_t *inner,
			  size_t len);
	/** Sends a packet for a caller to the fabric. */
	void (*to_fabric)(struct packet_sink *sink, const uint8_t *inner,
			  size_t len);
	/** Logs or records a decision about a connection; may be NULL. */
	void (*record_decision)(struct packet_sink *sink,
				const struct decision *decision);
};

#endif
