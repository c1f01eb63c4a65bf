#ifndef TARRAGONFLOW_TESTS_FABRIC_H
#define TARRAGONFLOW_TESTS_FABRIC_H

#include <glib.h>

#include "tarragonflow/net/endpoint.h"

/**
 * The fabric's list of balancers, read from a file again and again: data
 * addresses, one a line.
 */
struct fabric_list {
	const char *path;
	struct endpoint balancers[16];
	int n;
};

/** Reads the file; keeps the old list when it can't be read. */
void fabric_list_read(struct fabric_list *list);

/** Any balancer, or NULL when there is none. */
const struct endpoint *fabric_list_pick(const struct fabric_list *list,
					GRand *rand);

#endif
