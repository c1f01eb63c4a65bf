#include "tarragonflow/roster/zone_orders.h"

#include <glib.h>

#include "tarragonflow/common/clock.h"

static struct zone_order *find_order(const struct zone_orders *orders,
				     const struct name *zone)
{
	for (size_t i = 0; i < orders->n; i++)
		if (name_equal(&orders->entries[i].zone, zone))
			return (struct zone_order *)&orders->entries[i];
	return NULL;
}

/* Of two orders with the same version, the return to service is newer: it has
 * the version of the order that it ends. */
static bool is_newer(const struct zone_order *order,
		     const struct zone_order *existing)
{
	if (order->epoch != existing->epoch)
		return order->epoch > existing->epoch;
	if (order->version != existing->version)
		return order->version > existing->version;
	return existing->out && !order->out;
}

bool zone_orders_merge(struct zone_orders *orders,
		       const struct zone_order *order)
{
	struct zone_order *existing = find_order(orders, &order->zone);
	bool was_out = existing && existing->out;

	if (existing && !is_newer(order, existing))
		return false;
	if (!existing) {
		if (orders->n == ZONE_ORDERS_MAX)
			return false;
		existing = &orders->entries[orders->n++];
	}
	/* A renewed order does not postpone the drop of connections. */
	if (was_out && order->out) {
		existing->epoch = order->epoch;
		existing->version = order->version;
		return false;
	}
	*existing = *order;
	return was_out != order->out;
}

void zone_orders_remove(struct zone_orders *orders, const struct name *zone)
{
	struct zone_order *order = find_order(orders, zone);

	if (order)
		*order = orders->entries[--orders->n];
}

bool zone_orders_is_out_of_service(const struct zone_orders *orders,
				   const struct name *zone)
{
	const struct zone_order *existing = find_order(orders, zone);

	return existing && existing->out;
}

static enum zone_order_state order_state(const struct zone_order *order,
					 int64_t now_ms)
{
	if (!order->out)
		return ZONE_ORDER_NONE;
	return now_ms < order->cut_ms ? ZONE_ORDER_DRAINING : ZONE_ORDER_CUT;
}

enum zone_order_state zone_orders_state(const struct zone_orders *orders,
					const struct name *zone, int64_t now_ms)
{
	const struct zone_order *existing = find_order(orders, zone);

	return existing ? order_state(existing, now_ms) : ZONE_ORDER_NONE;
}

uint64_t zone_orders_oldest_epoch(const struct zone_orders *orders)
{
	uint64_t oldest = UINT64_MAX;

	for (size_t i = 0; i < orders->n; i++)
		oldest = MIN(oldest, orders->entries[i].epoch);
	return oldest;
}

int64_t zone_orders_next_cut(const struct zone_orders *orders, int64_t now_ms)
{
	int64_t next = CLOCK_NEVER;

	for (size_t i = 0; i < orders->n; i++)
		if (order_state(&orders->entries[i], now_ms) ==
		    ZONE_ORDER_DRAINING)
			next = MIN(next, orders->entries[i].cut_ms);
	return next;
}
