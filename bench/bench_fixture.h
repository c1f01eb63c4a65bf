#ifndef TARRAGONFLOW_BENCH_FIXTURE_H
#define TARRAGONFLOW_BENCH_FIXTURE_H

#include "tarragonflow/net/inner.h"
#include "tarragonflow/route/view.h"

/** Room for one packet with its header, in bytes. */
#define BENCH_PACKET_CAP 1024

/** Bytes of the packets that bench_make_packets() builds. */
#define BENCH_PACKET_BYTES 600

/** A view of one service, 10.77.0.10:80, whose @servers all are at @data. */
void bench_make_view(struct view *view, uint64_t servers,
		     const struct endpoint *data);

/** Builds @n packets of as many connections; returns their length. */
size_t bench_make_packets(uint8_t (*packets)[BENCH_PACKET_CAP], size_t n,
			  uint64_t seed);

/** A loopback network of this process's own: 127.X.Y.0 in host order. */
uint32_t bench_loopback_net(void);

/** Bytes on the heap that this process has allocated. */
size_t bench_heap_bytes(void);

#endif
