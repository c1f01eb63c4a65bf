#ifndef TARRAGONFLOW_TESTS_STANDIN_H
#define TARRAGONFLOW_TESTS_STANDIN_H

#include <stdint.h>
#include <sys/types.h>

/*
 * Stand-ins for systems outside the product: the platform, the callers with
 * their fabric, and the backend servers. Each runs until it is done or
 * stopped by a signal and returns the exit code.
 */
int standin_platform(int argc, char **argv);
int standin_callers(int argc, char **argv);
int standin_server(int argc, char **argv);

#endif
