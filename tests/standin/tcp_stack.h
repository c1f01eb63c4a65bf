#ifndef TARRAGONFLOW_TESTS_TCP_STACK_H
#define TARRAGONFLOW_TESTS_TCP_STACK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * A TCP/IP stack in user space (lwIP), for the stand-in hosts of callers and
 * backend servers; one per process. Its headers conflict with the system's
 * socket headers, so only tcp_stack.c includes them.
 */

/** Sends one IP packet of the stack; called on any thread. */
typedef void tcp_stack_output(const uint8_t *data, size_t len);

/**
 * Starts the stack with one interface that has the IPv4 or IPv6 address
 * @address and an MTU of @mtu bytes. False when @address is invalid.
 */
bool tcp_stack_start(const char *address, uint16_t mtu,
		     tcp_stack_output *output);

/** Passes a received IP packet to the stack. */
void tcp_stack_input(const uint8_t *data, size_t len);

/** Opens a connection and blocks until then; -1 on failure. */
int tcp_stack_connect(const char *address, uint16_t port);

/** Listens on @port of the stack's address; -1 on failure. */
int tcp_stack_listen(uint16_t port);

/** Accepts a connection and blocks until then; negative on failure. */
int tcp_stack_accept(int listener);

/** Like read(2) and write(2), for connections of the stack. */
ssize_t tcp_stack_read(int fd, void *buf, size_t len);
ssize_t tcp_stack_write(int fd, const void *buf, size_t len);

/** Closes the sending direction, so that the peer reads end of file. */
void tcp_stack_shutdown_write(int fd);

/** Shuts both directions down, which unblocks a reader. */
void tcp_stack_shutdown(int fd);

/** Closes a connection: with a RST if @reset, else with a FIN. */
void tcp_stack_close(int fd, bool reset);

#endif
