#include <stdio.h>
#include <string.h>

#include "standin.h"

int main(int argc, char **argv)
{
	if (argc > 1 && !strcmp(argv[1], "platform"))
		return standin_platform(argc - 1, argv + 1);
	if (argc > 1 && !strcmp(argv[1], "callers"))
		return standin_callers(argc - 1, argv + 1);
	if (argc > 1 && !strcmp(argv[1], "server"))
		return standin_server(argc - 1, argv + 1);
	fprintf(stderr, "usage: standin platform|callers|server [OPTION...]\n");
	return 2;
}
