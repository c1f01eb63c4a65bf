#ifndef TARRAGONFLOW_NET_PACER_H
#define TARRAGONFLOW_NET_PACER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/net/endpoint.h"

/**
 * Limits the send rate to the bandwidth of the VM's link, with a token bucket.
 * A burst overflows the queue of a link of a few Mbit/s, and TCP retransmits
 * lost packets only hundreds of milliseconds later. Large packets are queued
 * here in order of arrival; small ones, such as SYNs and acknowledgements, are
 * sent at once. Does no I/O and reads no clock.
 */

/** A queued packet. */
struct pacer_packet {
	struct endpoint to;
	/** When the packet was queued, ms. */
	int64_t queued_ms;
	uint32_t len;
	uint8_t *data;
};

/** Capacity of the queue, packets; a power of two. */
#define PACER_QUEUE_PACKETS 256

/** Packets up to this size are never queued, bytes. */
#define PACER_SMALL_BYTES 400

/**
 * Packets queued for longer than this are dropped, ms: their sender has
 * retransmitted them by then.
 */
#define PACER_QUEUE_MAX_MS 200

struct pacer {
	/** Send rate, bytes/s; 0: no limit. */
	int64_t bytes_per_s;
	/** Largest packet that can be queued, bytes. */
	uint32_t packet_max;
	/**
	 * Bytes that may be sent now, in thousandths of a byte; negative after
	 * more was sent than the rate allows, such as small packets.
	 */
	int64_t tokens;
	/** When tokens were added last, ms. */
	int64_t refilled_ms;
	/** Ring buffer of queued packets; `head_index` is the oldest one. */
	struct pacer_packet queue[PACER_QUEUE_PACKETS];
	uint32_t head_index, n_queued;
	/** Ignore the rate; set by pacer_flush(). */
	bool flushing;
	/** Contents of the queued packets; NULL without a limit. */
	uint8_t *queue_storage;
};

/** Result of pacer_offer(). */
enum pacer_result {
	/** The caller sends the packet now. */
	PACER_SEND,
	/** The packet was copied into the queue. */
	PACER_QUEUED,
	/** The queue is full; the packet is dropped. */
	PACER_QUEUE_FULL,
};

/** @packet_max: largest packet that can be queued, bytes. */
void pacer_init(struct pacer *pacer, int64_t kbit_per_s, uint32_t packet_max,
		int64_t now_ms);
void pacer_finish(struct pacer *pacer);

/**
 * Decides whether the packet of @head and @body to @to is sent now, queued as a
 * copy or dropped. Packets that are small or larger than packet_max are always
 * sent now.
 */
enum pacer_result pacer_offer(struct pacer *pacer, const struct endpoint *to,
			      const uint8_t *head, size_t head_len,
			      const uint8_t *body, size_t body_len,
			      int64_t now_ms);

/**
 * Removes and returns the next queued packet that may be sent now, or NULL;
 * valid until the next call. Drops packets older than PACER_QUEUE_MAX_MS and
 * adds their number to @dropped.
 */
const struct pacer_packet *pacer_next(struct pacer *pacer, int64_t now_ms,
				      uint32_t *dropped);

/** Makes pacer_next() ignore the rate, to empty the queue at shutdown. */
void pacer_flush(struct pacer *pacer);

/** Time until pacer_next() can return a packet, ms; -1: empty queue. */
int pacer_wait_ms(const struct pacer *pacer, int64_t now_ms);

#endif
