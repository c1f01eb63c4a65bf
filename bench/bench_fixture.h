#ifndef TARRAGONFLOW_BENCH_FIXTURE_H
#define TARRAGONFLOW_BENCH_FIXTURE_H

#include "tarragonflow/net/inner.h"
#include "tarragonflow/route/view.h"

/** Buffer size for one packet with its header, bytes. */
#define BENCH_PACKET_CAP 1024

/** Size of each packet that bench_make_packets() builds, bytes. */
#define BENCH_PACKET_BYTES 600

/**
 * Makes a view of one service, 10.77.0.10:80, with @n_servers backend servers
 * whose agents all have the address @data.
 */
void bench_make_view(struct view *view, uint64_t n_servers,
		     const struct endpoint *data);

/** Builds @n packets of different connections; returns their size, bytes. */
size_t bench_make_packets(uint8_t (*packets)[BENCH_PACKET_CAP], size_t n,
			  uint64_t seed);

/**
 * Returns a loopback network 127.X.Y.0 in host byte order. It depends on the
 * process id, so that processes that run at once rarely share it.
 */
uint32_t bench_loopback_net(void);

/** Returns the heap memory that this process has allocated, bytes. */
size_t bench_heap_bytes(void);

#endif
