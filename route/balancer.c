#include "tarragonflow/route/balancer.h"

#include <string.h>

#include "tarragonflow/net/inner.h"

#define HASH_HIGH_SHIFT 32

void balancer_init(struct balancer *balancer, struct counters *counters)
{
	memset(balancer, 0, sizeof(*balancer));
	balancer->counters = counters;
}

void balancer_set_origin(struct balancer *balancer,
			 const struct endpoint *origin)
{
	balancer->origin = *origin;
}

void balancer_set_view(struct balancer *balancer, const struct view *view)
{
	balancer->view = view;
}

static struct owner_hint *hint_slot(struct balancer *balancer,
				    uint32_t flow_hash)
{
	return &balancer->hints[flow_hash & (BALANCER_HINTS - 1)];
}

/* Anything but a caller's packet: only hints are for us. */
static void handle_hint(struct balancer *balancer, const uint8_t *data,
			size_t len)
{
	struct packet_header header;
	struct owner_hint *hint;

	if (!packet_header_decode(&header, data, len) ||
	    header.kind != PACKET_OWNER) {
		counter_inc(balancer->counters, COUNTER_DROP_MALFORMED);
		return;
	}
	hint = hint_slot(balancer, header.flow_hash);
	hint->flow_hash = header.flow_hash;
	hint->member_id = header.candidates[0].member_id;
	counter_inc(balancer->counters, COUNTER_HINT_RECEIVED);
}

/* The first candidate that may take a new connection. */
static uint8_t opening_position(const struct packet_header *header)
{
	for (uint8_t i = 0; i < header->n_candidates; i++)
		if (header->candidates[i].flags & CANDIDATE_TAKES_NEW)
			return i;
	return 0;
}

/* Puts the hinted owner into the chain when it is not there; its index. */
static uint8_t hinted_position(const struct service_view *service,
			       struct packet_header *header, uint32_t member_id)
{
	const struct candidate *owner;

	for (uint8_t i = 0; i < header->n_candidates; i++)
		if (header->candidates[i].member_id == member_id)
			return i;
	owner = view_member(service, member_id);
	if (!owner)
		return 0;
	header->candidates[header->n_candidates - 1] = *owner;
	return header->n_candidates - 1;
}

static uint8_t first_position(struct balancer *balancer,
			      const struct service_view *service,
			      struct packet_header *header,
			      const struct inner_packet *packet, uint64_t hash)
{
	uint32_t flow_hash = (uint32_t)(hash >> HASH_HIGH_SHIFT);
	const struct owner_hint *hint;

	if (inner_opens(packet))
		return opening_position(header);
	hint = hint_slot(balancer, flow_hash);
	if (!hint->member_id || hint->flow_hash != flow_hash)
		return 0;
	counter_inc(balancer->counters, COUNTER_HINT_USED);
	return hinted_position(service, header, hint->member_id);
}

static void forward(struct balancer *balancer,
		    const struct service_view *service,
		    const struct inner_packet *packet, struct packet_sink *sink)
{
	const struct view *view = balancer->view;
	uint64_t hash = flow_key_hash(&packet->key, view->seed);
	struct packet_header header;

	header.service_id = service->service.id;
	header.config_revision = (uint64_t)view->config_revision;
	header.roster_version = view->roster_version;
	header.hops_left = PACKET_HOP_BUDGET;
	header.kind = PACKET_DATA;
	header.visited = 0;
	header.from = PACKET_FROM_OUTSIDE;
	header.resolves = 0;
	header.load = 0;
	header.usual_ms = 0;
	header.placed = false;
	header.warming = false;
	header.origin = balancer->origin;
	header.bucket = (uint32_t)hash & (service->n_buckets - 1);
	view_chain(service, header.bucket, &header);
	header.position =
		first_position(balancer, service, &header, packet, hash);
	counter_inc(balancer->counters, COUNTER_PACKET_FORWARDED);
	sink->to_peer(sink, &header.candidates[header.position].data, &header,
		      packet->data, packet->len);
}

void balancer_handle(struct balancer *balancer, const uint8_t *data, size_t len,
		     struct packet_sink *sink)
{
	const struct view *view = balancer->view;
	const struct service_view *service;
	struct inner_packet packet;

	counter_inc(balancer->counters, COUNTER_PACKET_IN);
	if (!view) {
		counter_inc(balancer->counters, COUNTER_DROP_NO_CONFIG);
		return;
	}
	if (!inner_parse(&packet, data, len)) {
		if (packet.fault == INNER_MALFORMED)
			handle_hint(balancer, data, len);
		else
			counter_inc(balancer->counters,
				    inner_drop_reason(&packet));
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
	forward(balancer, service, &packet, sink);
}
