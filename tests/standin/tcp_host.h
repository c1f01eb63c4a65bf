#ifndef TARRAGONFLOW_TESTS_TCP_HOST_H
#define TARRAGONFLOW_TESTS_TCP_HOST_H

/*
 * Stand-in hosts with a real TCP stack, and the ordinary HTTP server that
 * runs beside the backend server's host.
 */
int standin_tcp_caller(int argc, char **argv);
int standin_tcp_server(int argc, char **argv);
int standin_http_server(int argc, char **argv);

#endif
