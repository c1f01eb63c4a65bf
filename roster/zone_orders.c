#include "tarragonflow/roster/zone_orders.h"

static struct zone_order *find(const struct zone_orders *orders,
			       const struct name *zone)
{
	for (size_t i = 0; i < orders->n; i++)
		if (name_equal(&orders->entries[i].zone, zone))
			return (struct zone_order *)&orders->entries[i];
	return NULL;
}

bool zone_orders_take(struct zone_orders *orders,
		      const struct zone_order *order)
{
	struct zone_order *known = find(orders, &order->zone);
	bool was_out = known && known->out;

	if (known && known->version >= order->version)
		return false;
	if (!known) {
		if (orders->n == ZONE_ORDERS_MAX)
			return false;
		known = &orders->entries[orders->n++];
	}
	*known = *order;
	return was_out != order->out;
}

bool zone_orders_out(const struct zone_orders *orders, const struct name *zone)
{
	const struct zone_order *known = find(orders, zone);

	return known && known->out;
}
