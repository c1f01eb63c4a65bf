#ifndef TARRAGONFLOW_NET_INNER_H
#define TARRAGONFLOW_NET_INNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/counter.h"
#include "tarragonflow/net/endpoint.h"

/**
 * The callers' own packets: just enough of IPv4, IPv6 (RFC 791, 8200), ICMP
 * errors and TCP (RFC 9293) to name a connection and see it open and close.
 */
struct flow_key {
	/** Caller's address. */
	struct ip_addr src;
	/** Service's address. */
	struct ip_addr dst;
	uint16_t src_port;
	uint16_t dst_port;
	/** Zero; keeps the key free of padding, so it can be hashed whole. */
	uint32_t zero;
};

enum tcp_flag {
	TCP_FIN = 0x01,
	TCP_SYN = 0x02,
	TCP_RST = 0x04,
	TCP_ACK = 0x10,
};

/** Why a packet can't be used. */
enum inner_fault {
	INNER_GOOD,
	INNER_MALFORMED,
	/** A part of a packet, which may lack the ports. */
	INNER_FRAGMENT,
	/** The checksum of the IPv4 header or of ICMP is wrong. */
	INNER_CHECKSUM,
	/** Neither TCP nor an ICMP error about TCP. */
	INNER_PROTOCOL,
};

/** What the filters need to know about one packet. */
struct inner_packet {
	const uint8_t *data;
	size_t len;
	struct flow_key key;
	uint32_t seq;
	uint32_t ack;
	uint8_t flags;
	/** Where the TCP header starts. */
	uint16_t tcp_offset;
	/** Bytes after the TCP header. */
	uint16_t payload_len;
	enum inner_fault fault;
	/**
	 * An ICMP error. It belongs to the connection that `key` names, has
	 * no flags and no TCP header; `seq` is that of the quoted packet.
	 */
	bool icmp;
	/** The backend server did not take this caller's packet. */
	bool returned;
	/** Opening packets: time since the first copy, as far as told, ms. */
	uint16_t sent_ago_ms;
	/** What packet_format.set_mark() wrote into a returned packet. */
	uint32_t mark;
};

/** Largest packet of callers and servers, in bytes. */
#define INNER_MAX 9000

/**
 * Returns false when @data is neither one whole TCP segment nor an ICMP
 * error (RFC 792, 4443) about one; `fault` then says why. The key of an ICMP
 * error is that of the opposite direction of the packet that it quotes, so
 * that the error travels like any other packet towards that one's sender.
 */
bool inner_parse(struct inner_packet *packet, const uint8_t *data, size_t len);

/** The counter of drops for the fault of @packet. */
enum counter_id inner_drop_reason(const struct inner_packet *packet);

/** The key as the opposite direction would have it. */
void flow_key_reverse(struct flow_key *out, const struct flow_key *key);

/** True for the first packet of a connection. */
bool inner_opens(const struct inner_packet *packet);

/** Keyed hash of @key. */
uint64_t flow_key_hash(const struct flow_key *key, uint64_t seed);

/** Fields of an IPv4 TCP segment to be built. */
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
