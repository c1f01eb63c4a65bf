#ifndef TARRAGONFLOW_ROSTER_ZONE_ORDERS_H
#define TARRAGONFLOW_ROSTER_ZONE_ORDERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/common/str.h"

/**
 * Operators' orders to take availability zones out of service. They are
 * independent of the manifest and have versions of their own. Orders for the
 * same zone merge: the one with the greater version wins, and of two with the
 * same version the one that returns the zone to service.
 */

/** Maximum number of zones with an order. */
#define ZONE_ORDERS_MAX 64

struct zone_order {
	struct name zone;
	/** The order's version at the object store. For a return to service:
	 * the version of the order that it ends, or of the list of all orders
	 * that lacks the zone. */
	uint64_t version;
	/** The zone is out of service; false for a return to service. */
	bool out;
	/** When the zone's open connections are dropped, ms of the local
	 * clock. */
	int64_t cut_ms;
};

/** Effect of an order on its zone. */
enum zone_order_state {
	/** No order, or a return to service. */
	ZONE_ORDER_NONE,
	/** No new connections; open ones continue until `cut_ms`. */
	ZONE_ORDER_DRAINING,
	/** No connections at all. */
	ZONE_ORDER_CUT,
};

struct zone_orders {
	struct zone_order entries[ZONE_ORDERS_MAX];
	size_t n;
};

/**
 * Merges @order; true if it changes whether its zone is out of service. An
 * order beyond ZONE_ORDERS_MAX is ignored.
 */
bool zone_orders_merge(struct zone_orders *orders,
		       const struct zone_order *order);

/** Whether an order has taken @zone out of service. */
bool zone_orders_is_out(const struct zone_orders *orders,
			const struct name *zone);

enum zone_order_state zone_orders_state(const struct zone_orders *orders,
					const struct name *zone,
					int64_t now_ms);

/** The earliest `cut_ms` after @now_ms; CLOCK_NEVER if there is none. */
int64_t zone_orders_next_cut(const struct zone_orders *orders, int64_t now_ms);

#endif
