#ifndef TARRAGONFLOW_ORDER_HOMES_H
#define TARRAGONFLOW_ORDER_HOMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/str.h"

/**
 * Homes: the agents of a service that store the claims on a key. The home list
 * is one object at the platform, replaced by conditional updates that add or
 * remove one name; each update increments its epoch. A key's homes are the two
 * names with the highest rendezvous hash, so its homes at consecutive epochs
 * always have one in common.
 */
#define HOMES_MAX 64
/** Homes of a key, if the list has that many. */
#define HOMES_PER_KEY 2

/** The hash of a service and an idempotency key. */
struct order_key {
	uint64_t hi, lo;
};

struct home_list {
	/** Version of the list, from 1; 0 when no list is known. */
	uint64_t epoch;
	size_t n;
	struct name names[HOMES_MAX];
};

struct home_pair {
	/** HOMES_PER_KEY, or less when the list is shorter. */
	size_t n;
	/** Indices into home_list.names, the highest hash first. */
	size_t index[HOMES_PER_KEY];
};

/** Sets @key to the hash of the idempotency key @text within @service. */
void order_key_init(struct order_key *key, const struct name *service,
		    struct str text);

bool order_key_equal(const struct order_key *a, const struct order_key *b);

/** Index of @name, or -1. */
int home_list_find(const struct home_list *list, const struct name *name);

/** Adds @name and increments the epoch; false when full or present. */
bool home_list_add(struct home_list *list, const struct name *name);

/** Removes @name and increments the epoch; false when absent. */
bool home_list_remove(struct home_list *list, const struct name *name);

/**
 * True when @next is the next epoch of @list and differs by exactly one name:
 * @changed, which was added or removed.
 */
bool home_list_follows(const struct home_list *list,
		       const struct home_list *next, struct name *changed,
		       bool *added);

/** Selects the homes of @key. */
void home_list_select_pair(const struct home_list *list,
			   const struct order_key *key, struct home_pair *pair);

#endif
