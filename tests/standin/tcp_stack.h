#ifndef TARRAGONFLOW_TESTS_TCP_STACK_H
#define TARRAGONFLOW_TESTS_TCP_STACK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * A whole TCP/IP stack in this process (lwIP), for the stand-in hosts of
 * callers and backend servers. One per process. Its headers and the
 * system's socket headers don't mix, so only tcp_stack.c sees them.
 */

/** Takes one IP packet that the stack sends; called on any thread. */
typedef void tcp_stack_output(const uint8_t *data, size_t len);

/**
 * Starts the stack with one interface of @mtu bytes that has the IPv4 or
 * IPv6 address @address. False when the address can't be read.
 */
bool tcp_stack_start(const char *address, uint16_t mtu,
		     tcp_stack_output *output);

/** Gives the stack one IP packet that arrived. */
void tcp_stack_input(const uint8_t *data, size_t len);

/** Opens a connection; -1 when it failed. Blocks. */
int tcp_stack_connect(const char *address, uint16_t port);

/** Listens on @port of the stack's address; -1 when it failed. */
int tcp_stack_listen(uint16_t port);

/** Waits for a connection. */
int tcp_stack_accept(int listener);

/** As read(2) and write(2), for the stack's connections. */
ssize_t tcp_stack_read(int fd, void *buf, size_t len);
ssize_t tcp_stack_write(int fd, const void *buf, size_t len);

/** Ends the sending side, so that the peer reads to the end. */
void tcp_stack_end_writing(int fd);

/** Ends both sides without closing, which wakes a blocked reader. */
void tcp_stack_shutdown(int fd);

/** Closes; with @reset by a RST instead of a FIN. */
void tcp_stack_close(int fd, bool reset);

#endif
