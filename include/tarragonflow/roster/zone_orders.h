#ifndef TARRAGONFLOW_ROSTER_ZONE_ORDERS_H
#define TARRAGONFLOW_ROSTER_ZONE_ORDERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/str.h"

/**
 * Operators' orders to take availability zones out of service, beside the
 * manifest and with versions of their own. Entries merge by zone: the one
 * with the greater version wins, wherever two meet.
 */

/** Zones with an order, at most. */
#define ZONE_ORDERS_MAX 64

struct zone_order {
	struct name zone;
	/** Version of the object store at which the order was seen. */
	uint64_t version;
	bool out;
};

struct zone_orders {
	struct zone_order entries[ZONE_ORDERS_MAX];
	size_t n;
};

/**
 * Merges @order; true when it changes whether its zone is out. An order that
 * finds no room is ignored.
 */
bool zone_orders_take(struct zone_orders *orders,
		      const struct zone_order *order);

/** Whether @zone is out by an order. */
bool zone_orders_out(const struct zone_orders *orders, const struct name *zone);

#endif
