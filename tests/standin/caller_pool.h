#ifndef TARRAGONFLOW_TESTS_CALLER_POOL_H
#define TARRAGONFLOW_TESTS_CALLER_POOL_H

#include <glib.h>

#include "tarragonflow/manifest/manifest.h"
#include "tarragonflow/net/inner.h"

/**
 * Callers' connections as a pure core: each opens, has its payloads echoed
 * and closes; lost packets are repeated as TCP would.
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
	uint32_t seq, ack;
	/** First sequence number of the server that accepted. */
	uint32_t server_seq;
	/** Payloads echoed so far, and in all. */
	int sent, todo;
	int64_t gap_ms;
	/** When the next packet is due, ms. */
	int64_t due_ms;
	int64_t first_try_ms;
	/** When it was accepted and when it ended, ms; 0 before. */
	int64_t opened_ms, done_ms;
	/** A packet is unanswered since first_try_ms. */
	bool waiting;
	/** Packets sent in all, repeats included. */
	int tries;
	bool wrong_service;
	/** Tells the world whom to count the loss to. */
	bool broken, refused;
};

struct caller_pool {
	/** Hands one packet to the fabric. */
	void (*send)(struct caller_pool *pool, const uint8_t *data, size_t len);
	GRand *rand;
	/** Of struct caller, by pointer. */
	GPtrArray *callers;
	/** Those of them that are not done. */
	GPtrArray *active;
	GHashTable *by_key;
	/** Reset or unanswered while opening: refused; later: broken. */
	size_t open, finished, broken, refused, wrong_service, retries;
	/** Connections that were accepted, and those at the first try. */
	size_t opened, opened_at_once;
	uint32_t next_id;
};

void caller_pool_init(struct caller_pool *pool, uint32_t seed);
void caller_pool_finish(struct caller_pool *pool);

/** One more connection to @service, which must outlive the pool. */
struct caller *caller_pool_add(struct caller_pool *pool,
			       const struct service *service, int64_t open_ms,
			       int lines, int64_t gap_ms);

/** Sends what is due at @now_ms. */
void caller_pool_step(struct caller_pool *pool, int64_t now_ms);

/** Takes a packet that the fabric brings back. */
void caller_pool_receive(struct caller_pool *pool, const uint8_t *data,
			 size_t len, int64_t now_ms);

#endif
