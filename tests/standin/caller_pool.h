#ifndef TARRAGONFLOW_TESTS_CALLER_POOL_H
#define TARRAGONFLOW_TESTS_CALLER_POOL_H

#include <glib.h>

#include "tarragonflow/manifest/manifest.h"
#include "tarragonflow/net/inner.h"

/*
 * Simulates callers without I/O or clock: each opens a connection, sends
 * lines that the backend server echoes, and closes. Lost packets are
 * retransmitted.
 */

enum caller_phase {
	CALLER_OPENING,
	CALLER_DATA,
	CALLER_CLOSING,
	CALLER_DONE,
};

struct caller {
	struct flow_key key;
	const struct service *service;
	enum caller_phase phase;
	/** Next sequence number to send, and to receive. */
	uint32_t seq, ack;
	/** Initial sequence number of the server that accepted. */
	uint32_t server_seq;
	/** Lines echoed so far, and lines to send in all. */
	int lines_echoed, lines_total;
	/** Mean time between two lines, ms. */
	int64_t gap_ms;
	/** When the next packet is due, ms. */
	int64_t next_send_ms;
	/** When the current packet was first sent, ms. */
	int64_t first_send_ms;
	/** When the connection opened and when it ended, ms; 0: not yet. */
	int64_t opened_ms, ended_ms;
	/** The current packet was sent and has no response yet. */
	bool awaiting_response;
	/** Packets sent, retransmissions included, acknowledgements not. */
	int send_count;
	/** A response came from a server of another service. */
	bool wrong_service;
	/** How the connection failed: after or before it was accepted. */
	bool broken, refused;
};

struct caller_pool {
	/** Sends one packet to the fabric. */
	void (*send)(struct caller_pool *pool, const uint8_t *data, size_t len);
	GRand *rand;
	/** Of struct caller, by pointer. */
	GPtrArray *callers;
	/** Callers that were not done at the last caller_pool_step(). */
	GPtrArray *unfinished;
	/** Struct caller by struct flow_key. */
	GHashTable *by_key;
	/**
	 * Callers that are not done, and callers by outcome; packets
	 * retransmitted. A reset or timeout before the connection is accepted
	 * counts as refused, a later one as broken.
	 */
	size_t open, finished, broken, refused, wrong_service, retransmissions;
	/** Connections accepted, and those accepted on the first SYN. */
	size_t opened, opened_first_try;
	uint32_t next_id;
};

void caller_pool_init(struct caller_pool *pool, uint32_t seed);
void caller_pool_finish(struct caller_pool *pool);

/**
 * Adds a caller that connects to @service at @open_ms and sends @lines with a
 * mean gap of @gap_ms between them. @service must outlive the pool.
 */
struct caller *caller_pool_add(struct caller_pool *pool,
			       const struct service *service, int64_t open_ms,
			       int lines, int64_t gap_ms);

/**
 * Sends all packets due at @now_ms and ends callers that have waited too long
 * for a response.
 */
void caller_pool_step(struct caller_pool *pool, int64_t now_ms);

/** Handles a packet that the fabric delivers to a caller. */
void caller_pool_receive(struct caller_pool *pool, const uint8_t *data,
			 size_t len, int64_t now_ms);

#endif
