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
 * TCP between our own processes: frames of a 4-byte big-endian length and
 * that many bytes. Every function ends by its deadline, in ms of @clock.
 */
#define TCP_FRAME_HEADER 4

/** Largest frame that we send or take, in bytes. */
#define TCP_FRAME_MAX (2 * 1024 * 1024)

/** Listens at @local; the non-blocking socket goes to @fd. */
enum status_code tcp_listen(const struct endpoint *local, int *fd,
			    struct status *status);

/** Connects to @peer; returns the non-blocking socket or -1. */
int tcp_connect(const struct endpoint *peer, const struct clock *clock,
		int64_t deadline_ms);

/**
 * Whether @peer's VM answers that nobody listens there; false as well when it
 * does not answer by the deadline.
 */
bool tcp_refused(const struct endpoint *peer, const struct clock *clock,
		 int64_t deadline_ms);

/** Takes one waiting connection of @listen_fd, or returns -1. */
int tcp_accept(int listen_fd);

/** Sends @payload as one frame; false when cut or late. */
bool tcp_send_frame(int fd, struct str payload, const struct clock *clock,
		    int64_t deadline_ms);

/**
 * Receives one frame of at most @max bytes into @out; false when cut, late
 * or larger.
 */
bool tcp_receive_frame(int fd, struct strbuf *out, size_t max,
		       const struct clock *clock, int64_t deadline_ms);

#endif
