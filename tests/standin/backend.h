#ifndef TARRAGONFLOW_TESTS_BACKEND_H
#define TARRAGONFLOW_TESTS_BACKEND_H

#include <glib.h>

#include "tarragonflow/net/inner.h"

/**
 * Simulates a backend server without I/O or clock: accepts connections,
 * echoes payloads prefixed by its service's name and resets unknown
 * connections.
 */
struct backend {
	/** Sends one packet to the agent. */
	void (*send)(struct backend *backend, const uint8_t *data, size_t len);
	const char *service;
	struct ip_addr address;
	/** Initial sequence numbers of the server, by struct flow_key. */
	GHashTable *connections;
	/** Initial sequence numbers of connections that callers closed. */
	GHashTable *closed;
	/** Makes servers choose different initial sequence numbers. */
	uint64_t seq_seed;
	/** Connections accepted, packets for another service, resets sent. */
	unsigned long opened, wrong_service, resets;
	/** Recently restarted; to carry at most cold_capacity connections. */
	bool cold;
	/** Resets every new connection. */
	bool refuse_new;
	unsigned int cold_capacity;
	/** Connections accepted beyond cold_capacity while cold. */
	unsigned long opens_over_capacity;
	/** Most connections open at once since the last backend_restart(). */
	unsigned int max_connections;
};

/** @service must outlive the backend. */
void backend_init(struct backend *backend, const char *service,
		  const struct ip_addr *address);
void backend_finish(struct backend *backend);

/** Drops all open connections, as a restart does. */
void backend_restart(struct backend *backend);

/** Handles a packet that the agent delivers. */
void backend_handle(struct backend *backend, const uint8_t *data, size_t len);

#endif
