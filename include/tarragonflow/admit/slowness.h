#ifndef TARRAGONFLOW_ADMIT_SLOWNESS_H
#define TARRAGONFLOW_ADMIT_SLOWNESS_H

#include <stddef.h>
#include <stdint.h>

/**
 * Detects a slow backend server by its response times.
 *
 * Load pattern: a third of a service's servers take five times as long for a
 * request and do not report that. By the number of running requests alone, a
 * slow server with few requests has as little load as the others, so it keeps
 * getting requests, and each response is late. Therefore the server's agent
 * compares the mean response time with those that the agents of the other
 * servers report. When all servers are slow, as under a burst, none counts as
 * slow. Pure functions.
 */

/** Maximum number of other servers (peers) that a server is compared with. */
#define SLOWNESS_PEERS_MAX 64

/**
 * Ratio of the mean response time @own_ms of a server to the median of the mean
 * response times @peers_ms of @n other servers. 1 when the difference may be
 * chance or @n is too small. Sorts @peers_ms.
 */
double slowness_factor(double own_ms, uint16_t *peers_ms, size_t n);

#endif
