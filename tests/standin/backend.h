#ifndef TARRAGONFLOW_TESTS_BACKEND_H
#define TARRAGONFLOW_TESTS_BACKEND_H

#include <glib.h>

#include "tarragonflow/net/inner.h"

/**
 * A backend server as a pure core: answers opening packets, echoes payloads
 * behind its service's name, resets what it does not know.
 */
struct backend {
	/** Hands one packet back to the agent. */
	void (*send)(struct backend *backend, const uint8_t *data, size_t len);
	const char *service;
	struct ip_addr address;
	/** First sequence numbers of ours, by struct flow_key. */
	GHashTable *connections;
	/** The same of those that callers closed. */
	GHashTable *closed;
	/** Makes the sequence numbers of each server differ. */
	uint64_t seed;
	unsigned long opened, wrong_service, resets;
	/** Carries only cold_capacity connections. */
	bool cold;
	/** Refuses every new connection. */
	bool down;
	unsigned int cold_capacity;
	/** Times that it had more open while it was cold. */
	unsigned long over_capacity;
	/** Most connections at once since the last backend_restart(). */
	unsigned int peak;
};

/** @service must outlive the backend. */
void backend_init(struct backend *backend, const char *service,
		  const struct ip_addr *address);
void backend_finish(struct backend *backend);

/** Forgets all connections, as a restarted server does. */
void backend_restart(struct backend *backend);

/** Takes a packet that the agent delivers. */
void backend_handle(struct backend *backend, const uint8_t *data, size_t len);

#endif
