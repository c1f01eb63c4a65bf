#ifndef TARRAGONFLOW_TESTS_STANDIN_H
#define TARRAGONFLOW_TESTS_STANDIN_H

#include <stdint.h>
#include <sys/types.h>

/*
 * Stand-ins for what is outside the product: the platform, the callers with
 * their fabric, and the backend servers.
 */
int standin_platform(int argc, char **argv);
int standin_callers(int argc, char **argv);
int standin_server(int argc, char **argv);

#endif
