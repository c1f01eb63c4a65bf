#ifndef TARRAGONFLOW_TESTS_TCP_HOST_H
#define TARRAGONFLOW_TESTS_TCP_HOST_H

/*
 * Stand-in hosts with a full TCP stack: a host of callers, a backend server,
 * and the HTTP server to which the latter forwards. Each returns the exit
 * code.
 */
int standin_tcp_caller(int argc, char **argv);
int standin_tcp_server(int argc, char **argv);
int standin_http_server(int argc, char **argv);

#endif
