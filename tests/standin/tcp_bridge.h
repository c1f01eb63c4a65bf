#ifndef TARRAGONFLOW_TESTS_TCP_BRIDGE_H
#define TARRAGONFLOW_TESTS_TCP_BRIDGE_H

#include <stdbool.h>

/*
 * Copies bytes both ways between a connection of the stack in tcp_stack.h
 * and a TCP connection of the operating system. The end of either direction
 * is forwarded; an error on one side resets the other, so that the programs
 * at both ends see the failure.
 */

/** Bridges two connections on new threads, which close both in the end. */
void tcp_bridge_start(int stack_fd, int system_fd);

/** Number of bridges ended by a reset since the process started. */
unsigned long tcp_bridge_reset_count(void);

#endif
