#include "tarragonflow/route/balancer.h"

#include "tarragonflow/net/inner.h"

void balancer_init(struct balancer *balancer, struct counters *counters)
{
	balancer->view = NULL;
	balancer->counters = counters;
}

void balancer_set_view(struct balancer *balancer, const struct view *view)
{
	balancer->view = view;
}

/* The first candidate that may serve this packet at all. */
static uint8_t first_position(const struct packet_header *header, bool opens)
{
	if (!opens)
		return 0;
	for (uint8_t i = 0; i < header->n_candidates; i++)
		if (header->candidates[i].flags & CANDIDATE_TAKES_NEW)
			return i;
	return 0;
}

void balancer_handle(struct balancer *balancer, const uint8_t *data, size_t len,
		     struct packet_sink *sink)
{
	const struct view *view = balancer->view;
	const struct service_view *service;
	struct packet_header header;
	struct inner_packet packet;

	counter_inc(balancer->counters, COUNTER_PACKET_IN);
	if (!view) {
		counter_inc(balancer->counters, COUNTER_DROP_NO_CONFIG);
		return;
	}
	if (!inner_parse(&packet, data, len)) {
		counter_inc(balancer->counters, inner_drop_reason(&packet));
		return;
	}
	service = view_lookup(view, &packet.key);
	if (!service) {
		counter_inc(balancer->counters, COUNTER_DROP_NO_SERVICE);
		return;
	}
	if (!service->n_members) {
		counter_inc(balancer->counters, COUNTER_DROP_NO_MEMBER);
		return;
	}
	header.service_id = service->service.id;
	header.config_revision = (uint64_t)view->config_revision;
	header.roster_version = view->roster_version;
	header.hops_left = PACKET_HOP_BUDGET;
	header.bucket = view_bucket(view, service, &packet.key);
	view_chain(service, header.bucket, &header);
	header.position = first_position(&header, inner_opens(&packet));
	counter_inc(balancer->counters, COUNTER_PACKET_FORWARDED);
	sink->to_peer(sink, &header.candidates[header.position].data, &header,
		      data, len);
}
