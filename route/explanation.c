#include "tarragonflow/route/explanation.h"

#include <string.h>

static enum candidate_verdict
ruled_out_by(const struct balancer *balancer, const struct candidate *candidate,
	     const struct candidate_explanation *out, int64_t max_age_ms,
	     int64_t now_ms)
{
	if (!(candidate->flags & CANDIDATE_TAKES_NEW))
		return view_zone_order_state(balancer->view, &out->zone) ==
				       ZONE_ORDER_NONE
			       ? CANDIDATE_DRAINING
			       : CANDIDATE_ZONE_OUT_OF_SERVICE;
	if (out->load_age_ms < 0)
		return CANDIDATE_LOAD_UNKNOWN;
	if (out->load_age_ms > max_age_ms)
		return CANDIDATE_LOAD_TOO_OLD;
	if (peer_load_is_unreachable(&balancer->loads, out->member_id, now_ms))
		return CANDIDATE_UNREACHABLE;
	return CANDIDATE_FULL;
}

static void explain_candidate(struct candidate_explanation *out,
			      const struct balancer *balancer,
			      const struct service_view *service,
			      const struct candidate *candidate, int64_t now_ms)
{
	const struct candidate *member =
		view_find_member(service, candidate->member_id);
	const struct peer_load *peer =
		peer_load_find(&balancer->loads, candidate->member_id);
	struct candidate_load load =
		balancer_candidate_load(balancer, service, candidate, now_ms);

	out->member_id = candidate->member_id;
	out->zone = service->zones[member - service->members];
	out->suspect = candidate->flags & CANDIDATE_SUSPECT;
	out->reported_load = peer ? peer->reported_load : PACKET_LOAD_FULL;
	out->load_age_ms = peer ? now_ms - peer->last_seen_ms : -1;
	if (peer && load.total < PACKET_LOAD_FULL)
		out->sent_load = peer->load - peer->reported_load;
	out->cross_zone_load = load.cross_zone;
	out->total_load = load.total;
	if (load.total >= PACKET_LOAD_FULL &&
	    (balancer->least_load_enabled ||
	     !(candidate->flags & CANDIDATE_TAKES_NEW)))
		out->verdict = ruled_out_by(balancer, candidate, out,
					    load.max_age_ms, now_ms);
}

/* Why no candidate is eligible, or EXPLANATION_SELECTED. */
static enum explanation_result
result_of_candidates(const struct explanation *explanation)
{
	unsigned int accepting = 0, unknown = 0, too_old = 0;

	for (int i = 0; i < explanation->n_candidates; i++) {
		enum candidate_verdict verdict =
			explanation->candidates[i].verdict;

		if (verdict == CANDIDATE_ELIGIBLE)
			return EXPLANATION_SELECTED;
		accepting += verdict != CANDIDATE_DRAINING &&
			     verdict != CANDIDATE_ZONE_OUT_OF_SERVICE;
		unknown += verdict == CANDIDATE_LOAD_UNKNOWN;
		too_old += verdict == CANDIDATE_LOAD_TOO_OLD;
	}
	if (!accepting)
		return EXPLANATION_NONE_ACCEPTS;
	if (too_old == accepting)
		return EXPLANATION_LOADS_TOO_OLD;
	if (too_old + unknown == accepting)
		return EXPLANATION_NO_LOAD_KNOWN;
	return EXPLANATION_ALL_RULED_OUT;
}

static void explain_view(struct explanation *explanation,
			 const struct balancer *balancer, int64_t now_ms)
{
	const struct view *view = balancer->view;

	explanation->release = view->config_revision;
	explanation->view_age_ms = now_ms - view->computed_ms;
	explanation->roster_complete = view->roster_complete;
	explanation->isolated = explanation->least_load_enabled &&
				balancer_is_isolated(balancer, now_ms);
	for (size_t i = 0; i < view->n_services; i++)
		explanation->n_members +=
			view_searchable_count(&view->services[i]);
}

static void explain_service(struct explanation *explanation,
			    const struct view *view,
			    const struct route_view *route,
			    const struct service_view *service)
{
	explanation->service = service->service.name;
	for (int i = 0; i < route->n_backends; i++)
		if (&view->services[route->backends[i].service] == service)
			explanation->service_weight = route->backends[i].weight;
}

static void explain_chain(struct explanation *explanation,
			  const struct balancer *balancer,
			  const struct service_view *service,
			  const struct flow_key *key, int64_t now_ms)
{
	struct packet_header header;

	explanation->n_buckets = service->n_buckets;
	explanation->bucket = view_bucket_of(balancer->view, service, key);
	view_fill_chain(service, explanation->bucket, &header);
	explanation->target = balancer_select_for_syn(
		balancer, service, &header,
		flow_key_hash(key, balancer->view->seed), 0, now_ms);
	explanation->n_candidates = header.n_candidates;
	for (int i = 0; i < header.n_candidates; i++)
		explain_candidate(&explanation->candidates[i], balancer,
				  service, &header.candidates[i], now_ms);
}

void explanation_init(struct explanation *explanation,
		      const struct balancer *balancer,
		      const struct flow_key *key, int64_t now_ms)
{
	const struct service_view *service;
	const struct route_view *route;

	memset(explanation, 0, sizeof(*explanation));
	explanation->zone = balancer->zone;
	explanation->least_load_enabled = balancer->least_load_enabled;
	explanation->result = EXPLANATION_NO_CONFIG;
	if (!balancer->view)
		return;
	explain_view(explanation, balancer, now_ms);
	explanation->result = EXPLANATION_NO_ROUTE;
	route = view_find_route(balancer->view, key);
	if (!route)
		return;
	explanation->priority = route->priority;
	explanation->objective_ms = route->objective_ms;
	explanation->total_weight = route->total_weight;
	explanation->result = EXPLANATION_NO_WEIGHT;
	service = view_select_service(balancer->view, route, key);
	if (!service)
		return;
	explain_service(explanation, balancer->view, route, service);
	explanation->result = EXPLANATION_NO_SERVER;
	if (!service->n_members)
		return;
	explain_chain(explanation, balancer, service, key, now_ms);
	explanation->result = result_of_candidates(explanation);
	/* A copy of the SYN was already sent to this candidate. */
	if (explanation->target.reason == SYN_PREVIOUS_RECEIVER)
		explanation->result = EXPLANATION_SELECTED;
}

const char *candidate_verdict_text(enum candidate_verdict verdict)
{
	switch (verdict) {
	case CANDIDATE_ELIGIBLE:
		return "eligible";
	case CANDIDATE_DRAINING:
		return "draining";
	case CANDIDATE_ZONE_OUT_OF_SERVICE:
		return "zone out of service";
	case CANDIDATE_UNREACHABLE:
		return "unreachable";
	case CANDIDATE_LOAD_UNKNOWN:
		return "load unknown";
	case CANDIDATE_LOAD_TOO_OLD:
		return "load too old";
	case CANDIDATE_FULL:
		return "full or cold";
	}
	return "";
}

const char *syn_reason_text(enum syn_reason reason)
{
	switch (reason) {
	case SYN_LEAST_LOADED:
		return "lowest load of the eligible candidates";
	case SYN_NO_LOAD_KNOWN:
		return "no candidate is eligible; first of the chain that "
		       "accepts new connections";
	case SYN_FIRST_ACCEPTING:
		return "servers report no load; first of the chain that "
		       "accepts new connections";
	case SYN_PREVIOUS_RECEIVER:
		return "an owner hint: it has received a packet of this "
		       "connection";
	}
	return "";
}

const char *explanation_error_text(enum explanation_result result)
{
	switch (result) {
	case EXPLANATION_SELECTED:
		return NULL;
	case EXPLANATION_NO_CONFIG:
		return "this balancer has no configuration yet";
	case EXPLANATION_NO_ROUTE:
		return "to: no route has this address and port";
	case EXPLANATION_NO_WEIGHT:
		return "all services of the route have the weight 0";
	case EXPLANATION_NO_SERVER:
		return "the service has no backend server";
	case EXPLANATION_NONE_ACCEPTS:
		return "no candidate accepts new connections";
	case EXPLANATION_NO_LOAD_KNOWN:
		return "no candidate has a known load";
	case EXPLANATION_LOADS_TOO_OLD:
		return "the loads of all candidates are too old";
	case EXPLANATION_ALL_RULED_OUT:
		return "every candidate is full, unreachable or of unknown "
		       "load";
	}
	return "";
}
