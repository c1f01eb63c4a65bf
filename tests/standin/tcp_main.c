#include <stdio.h>
#include <string.h>

#include "tcp_host.h"

int main(int argc, char **argv)
{
	if (argc > 1 && !strcmp(argv[1], "caller"))
		return standin_tcp_caller(argc - 1, argv + 1);
	if (argc > 1 && !strcmp(argv[1], "server"))
		return standin_tcp_server(argc - 1, argv + 1);
	if (argc > 1 && !strcmp(argv[1], "http"))
		return standin_http_server(argc - 1, argv + 1);
	fprintf(stderr, "usage: standin-tcp caller|server|http ARGUMENT...\n");
	return 2;
}
