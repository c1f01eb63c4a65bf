#ifndef TARRAGONFLOW_NET_INNER_H
#define TARRAGONFLOW_NET_INNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/counter.h"
#include "tarragonflow/net/endpoint.h"

/**
 * Inner packets: those of callers and backend servers, which are the payload of
 * packets between balancers and agents. Parses IPv4, IPv6 (RFC 791, 8200), ICMP
 * errors and TCP (RFC 9293) only as far as needed to identify a connection and
 * track its state.
 */

/** Identifies a connection; usable as a hash key byte by byte. */
struct flow_key {
	/** Caller's address. */
	struct ip_addr src;
	/** Service's address. */
	struct ip_addr dst;
	uint16_t src_port;
	uint16_t dst_port;
	/** Zero; replaces padding, whose content would change the hash. */
	uint32_t zero;
};

enum tcp_flag {
	TCP_FIN = 0x01,
	TCP_SYN = 0x02,
	TCP_RST = 0x04,
	TCP_ACK = 0x10,
};

/** Reasons to reject a packet. */
enum inner_fault {
	INNER_OK,
	INNER_MALFORMED,
	/** An IP fragment, which may lack the ports. */
	INNER_FRAGMENT,
	/** Wrong checksum of the IPv4 header or the ICMP message. */
	INNER_CHECKSUM,
	/** Neither TCP nor an ICMP error about TCP. */
	INNER_PROTOCOL,
};

/** A parsed packet. */
struct inner_packet {
	const uint8_t *data;
	size_t len;
	struct flow_key key;
	uint32_t seq;
	uint32_t ack;
	/** Bits of enum tcp_flag. */
	uint8_t flags;
	/** Offset of the TCP header in `data`. */
	uint16_t tcp_offset;
	/** Bytes after the TCP header. */
	uint16_t payload_len;
	enum inner_fault fault;
	/**
	 * An ICMP error about the connection `key`. It has no flags and no TCP
	 * header; `seq` is that of the quoted packet.
	 */
	bool icmp_error;
	/** A caller's packet that the backend server did not accept. */
	bool returned;
	/**
	 * SYNs: estimated time since the first transmission, ms; 0 for the
	 * first transmission, or if unknown.
	 */
	uint16_t sent_ago_ms;
	/** Returned packets: value written by packet_format.set_mark(). */
	uint32_t mark;
};

/** Largest packet of callers and servers, bytes. */
#define INNER_MAX 9000

/**
 * Returns false when @data is neither one whole TCP segment nor an ICMP error
 * (RFC 792, 4443) about one, with the reason in `fault`. The key of an ICMP
 * error is the reversed key of the quoted packet, so that the error is routed
 * to the quoted packet's sender like other packets of the connection.
 */
bool inner_parse(struct inner_packet *packet, const uint8_t *data, size_t len);

/** The drop counter for the fault of @packet. */
enum counter_id inner_drop_reason(const struct inner_packet *packet);

/** The key of packets in the opposite direction. */
void flow_key_reverse(struct flow_key *out, const struct flow_key *key);

/** Whether @packet is a SYN from the caller, the first of a connection. */
bool inner_opens_connection(const struct inner_packet *packet);

/** Hash of @key, seeded with @seed. */
uint64_t flow_key_hash(const struct flow_key *key, uint64_t seed);

/** Fields of a TCP segment to build. */
struct inner_spec {
	struct flow_key key;
	uint32_t seq, ack;
	uint8_t flags;
	const void *payload;
	size_t payload_len;
};

/**
 * Builds an IPv4 or IPv6 TCP segment with checksums into @out of @cap bytes;
 * returns its length, 0 when it does not fit.
 */
size_t inner_build(const struct inner_spec *spec, uint8_t *out, size_t cap);

#endif
