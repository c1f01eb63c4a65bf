#ifndef TARRAGONFLOW_ROSTER_ZONE_ORDERS_H
#define TARRAGONFLOW_ROSTER_ZONE_ORDERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/str.h"

/**
 * Operators' orders that put availability zones out of service or back in
 * service. They are independent of the manifest and have versions of their own.
 * Orders for the same zone merge: the one of the newer epoch of the object
 * store wins, then the one with the greater version, and of two with the same
 * version the one that puts the zone back in service.
 */

/** Maximum number of zones with an order. */
#define ZONE_ORDERS_MAX 64

struct zone_order {
	struct name zone;
	/** Epoch of the object store that assigned the version. */
	uint64_t epoch;
	/** The order's version at the object store. For a return to service,
	 * the version of the order that is ended, or of the list of all orders
	 * in which the zone was missing. */
	uint64_t version;
	/** The order puts the zone out of service; false: back in service. */
	bool out;
	/** When the open connections of the out-of-service zone are dropped,
	 * ms of the local clock. */
	int64_t cut_ms;
};

/** Effect of an order on its zone. */
enum zone_order_state {
	/** The zone is in service. */
	ZONE_ORDER_NONE,
	/** Out of service: no new connections; open ones continue until
	 * `cut_ms`. */
	ZONE_ORDER_DRAINING,
	/** Out of service: open connections are dropped, too. */
	ZONE_ORDER_CUT,
};

struct zone_orders {
	struct zone_order entries[ZONE_ORDERS_MAX];
	size_t n;
};

/**
 * Merges @order; true if this puts its zone out of or back in service. An order
 * for one zone more than ZONE_ORDERS_MAX is ignored.
 */
bool zone_orders_merge(struct zone_orders *orders,
		       const struct zone_order *order);

/** Removes the order for @zone, if there is one. */
void zone_orders_remove(struct zone_orders *orders, const struct name *zone);

/** Whether an order has put @zone out of service. */
bool zone_orders_is_out_of_service(const struct zone_orders *orders,
				   const struct name *zone);

enum zone_order_state zone_orders_state(const struct zone_orders *orders,
					const struct name *zone,
					int64_t now_ms);

/** The oldest epoch of an order; UINT64_MAX if there is none. */
uint64_t zone_orders_oldest_epoch(const struct zone_orders *orders);

/** When the open connections of an out-of-service zone are dropped next, ms;
 * CLOCK_NEVER if there is no such zone. */
int64_t zone_orders_next_cut(const struct zone_orders *orders, int64_t now_ms);

#endif
