#ifndef TARRAGONFLOW_ROUTE_BALANCER_H
#define TARRAGONFLOW_ROUTE_BALANCER_H

#include "tarragonflow/common/counter.h"
#include "tarragonflow/net/packet_sink.h"
#include "tarragonflow/route/view.h"

/**
 * The balancer's packet core: takes any packet of any connection and sends
 * it to the first candidate of its chain. Keeps nothing per connection that
 * correctness needs.
 */
struct balancer {
	/** NULL until there is a configuration. */
	const struct view *view;
	struct counters *counters;
};

void balancer_init(struct balancer *balancer, struct counters *counters);

/** Puts @view in force; the caller keeps it alive. */
void balancer_set_view(struct balancer *balancer, const struct view *view);

/** Handles one packet from the fabric. */
void balancer_handle(struct balancer *balancer, const uint8_t *data, size_t len,
		     struct packet_sink *sink);

#endif
