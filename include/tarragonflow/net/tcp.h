#ifndef TARRAGONFLOW_NET_TCP_H
#define TARRAGONFLOW_NET_TCP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/status.h"
#include "tarragonflow/common/str.h"
#include "tarragonflow/net/endpoint.h"

/**
 * TCP between balancers, agents and their successors. A frame is a 4-byte
 * big-endian length, followed by that many bytes. Functions with a deadline, in
 * ms of @clock, return by then.
 */
#define TCP_FRAME_HEADER 4

/** Largest frame to send or receive, bytes. */
#define TCP_FRAME_MAX (2 * 1024 * 1024)

/** Listens at @local; stores the non-blocking socket in @fd. */
enum status_code tcp_listen(const struct endpoint *local, int *fd,
			    struct status *status);

/** Connects to @peer; returns the non-blocking socket or -1. */
int tcp_connect(const struct endpoint *peer, const struct clock *clock,
		int64_t deadline_ms);

/**
 * Whether a connection to @peer is refused because no process listens there;
 * false when it succeeds, fails otherwise or times out.
 */
bool tcp_connection_refused(const struct endpoint *peer,
			    const struct clock *clock, int64_t deadline_ms);

/** Accepts a connection; returns its non-blocking socket or -1. */
int tcp_accept(int listen_fd);

/** Sends @payload as one frame; false on an error or at the deadline. */
bool tcp_send_frame(int fd, struct str payload, const struct clock *clock,
		    int64_t deadline_ms);

/**
 * Receives one frame into @out; false on an error, a closed connection, at the
 * deadline or when the frame has more than @max bytes.
 */
bool tcp_receive_frame(int fd, struct strbuf *out, size_t max,
		       const struct clock *clock, int64_t deadline_ms);

#endif
