#ifndef TARRAGONFLOW_TESTS_TCP_BRIDGE_H
#define TARRAGONFLOW_TESTS_TCP_BRIDGE_H

#include <stdbool.h>

/*
 * Carries bytes both ways between a connection of the stack in tcp_stack.h
 * and a TCP connection of the system. The end of either direction is
 * passed on; a broken side resets the other, so that programs at both ends
 * see what happened on the real path.
 */

/** Bridges two connections on threads of its own, and closes both. */
void tcp_bridge_start(int stack_fd, int system_fd);

/** Bridges that ended by a reset since the start. */
unsigned long tcp_bridge_broken(void);

#endif
