#ifndef TARRAGONFLOW_ORDER_HOMES_H
#define TARRAGONFLOW_ORDER_HOMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/str.h"

/**
 * Which agents of a service keep the claims on a key. The home list is one
 * object at the platform, replaced by conditional updates that add or remove
 * one name; its epoch grows by one each time. A key's homes are the two
 * highest of the rendezvous order of the names, so the pairs of neighbouring
 * epochs always share a home.
 */
#define HOMES_MAX 64
#define HOME_PAIR 2

/** The hash of a service and an idempotency key. */
struct order_key {
	uint64_t hi, lo;
};

struct home_list {
	/** 0 when no list is known. */
	uint64_t epoch;
	size_t n;
	struct name names[HOMES_MAX];
};

struct home_pair {
	/** HOME_PAIR, or 1 when there is one home alone. */
	size_t n;
	/** Indices into names, the highest first. */
	size_t at[HOME_PAIR];
};

/** The key of @text within @service. */
void order_key_init(struct order_key *key, const struct name *service,
		    struct str text);

bool order_key_equal(const struct order_key *a, const struct order_key *b);

/** Index of @name, or -1. */
int home_list_find(const struct home_list *list, const struct name *name);

/** Makes the next epoch with @name added; false when full or present. */
bool home_list_add(struct home_list *list, const struct name *name);

/** Makes the next epoch without @name; false when absent. */
bool home_list_remove(struct home_list *list, const struct name *name);

/**
 * True when @next follows @list by exactly one change; @changed is the name
 * added or removed then.
 */
bool home_list_follows(const struct home_list *list,
		       const struct home_list *next, struct name *changed,
		       bool *added);

void home_list_pair(const struct home_list *list, const struct order_key *key,
		    struct home_pair *pair);

#endif
