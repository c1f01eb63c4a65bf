#ifndef TARRAGONFLOW_TESTS_FABRIC_H
#define TARRAGONFLOW_TESTS_FABRIC_H

#include <glib.h>

#include "tarragonflow/net/endpoint.h"

/**
 * The fabric's list of balancers, read from a file that may change and has one
 * data address per line.
 */
struct fabric_list {
	const char *path;
	struct endpoint balancers[16];
	int n_balancers;
};

/** Reads the file; keeps the previous list when that fails. */
void fabric_list_read(struct fabric_list *list);

/** Returns a random balancer, or NULL when the list is empty. */
const struct endpoint *fabric_list_pick(const struct fabric_list *list,
					GRand *rand);

#endif
