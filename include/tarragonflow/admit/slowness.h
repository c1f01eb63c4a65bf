#ifndef TARRAGONFLOW_ADMIT_SLOWNESS_H
#define TARRAGONFLOW_ADMIT_SLOWNESS_H

#include <stddef.h>
#include <stdint.h>

/**
 * Finds a backend server that has become slow from its own answers.
 *
 * Load pattern: a third of a service's servers take five times as long and say
 * nothing of it. By running requests alone such a server looks as good as the
 * others while it has few, so it keeps getting some, and each of these is late.
 * Its agent compares the mean time of its answers with what the agents of the
 * other servers tell of theirs. When all are slow, as under a burst, none is
 * slower than usual. Pure.
 */

/** Times of its peers that a server is compared with, at most. */
#define SLOWNESS_PEERS_MAX 64

/**
 * How many times longer answers take at a server with a mean of @own_ms than
 * at the median of its @n peers; 1 when the difference may be chance or too
 * few peers are known. Sorts @peers_ms.
 */
double slowness_factor(double own_ms, uint16_t *peers_ms, size_t n);

#endif
