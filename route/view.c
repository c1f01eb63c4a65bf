#include "tarragonflow/route/view.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define BUCKETS_MIN 64
/* Seeds of the hashes of connections and of members' names. All processes must
 * use the same ones, so they are part of the protocol. */
#define BUCKET_SEED 0x7461727261676f6eULL
#define MEMBER_SEED 0
/* Seed of the hash that selects a service of a route, independently of the
 * bucket. */
#define ROUTE_SERVICE_SEED 0x73706c6974ULL
#define ROUTE_INDEX_EMPTY UINT32_MAX
#define MS_PER_S 1000
/* Value of a chain's first index when the chain has not been computed yet. */
#define CHAIN_UNBUILT UINT16_MAX
/* Shortest heartbeat interval. Agents whose load reports are missing for three
 * intervals are skipped. */
#define HEARTBEAT_MIN_MS 150
/* Slots of a server whose member announces none: the default of the setting. */
#define SLOTS_DEFAULT 5

/** Sort key of a member in the chain of one bucket. */
struct rank {
	double score;
	uint16_t member;
	bool suspect;
};

uint32_t member_id(const struct name *name)
{
	return XXH32(name->data, name->len, MEMBER_SEED);
}

static uint64_t hash_pair(uint64_t a, uint64_t b)
{
	uint64_t words[2] = {a, b};

	return XXH3_64bits(words, sizeof(words));
}

/* Weighted rendezvous score: -weight / ln(u), u uniform in (0, 1). */
static double rank_score(uint64_t member_hash, uint32_t bucket, double weight)
{
	/* 53 bits, the precision of a double; the divisor is 2^53. */
	uint64_t hash_53 = hash_pair(member_hash, bucket) >> 11;
	double u = ((double)hash_53 + 0.5) / 9007199254740992.0;

	return -weight / log(u);
}

static bool rank_before(const struct rank *a, const struct rank *b)
{
	if (a->suspect != b->suspect)
		return b->suspect;
	if (a->score != b->score)
		return a->score > b->score;
	return a->member < b->member;
}

/* Inserts @rank into @top, the sorted list of the best @max ranks so far; @n is
 * the length of the list. */
static void rank_insert(struct rank *top, size_t *n, size_t max,
			const struct rank *rank)
{
	size_t pos = *n;

	if (pos == max) {
		if (!rank_before(rank, &top[max - 1]))
			return;
		pos = max - 1;
	} else {
		(*n)++;
	}
	while (pos > 0 && rank_before(rank, &top[pos - 1])) {
		top[pos] = top[pos - 1];
		pos--;
	}
	top[pos] = *rank;
}

static uint32_t bucket_count(const struct service *service)
{
	uint32_t n = BUCKETS_MIN;

	while (n < service->buckets)
		n *= 2;
	return n;
}

static struct rank member_rank(const struct service_view *view, size_t i,
			       uint32_t bucket)
{
	const struct candidate *candidate = &view->members[i];
	struct rank rank = {
		.score = rank_score(candidate->member_id, bucket,
				    view->weights[i]),
		.member = (uint16_t)i,
		.suspect = candidate->flags & CANDIDATE_SUSPECT,
	};

	return rank;
}

static void service_view_init_chains(struct service_view *view)
{
	size_t len = MIN(view->n_members, CHAIN_MAX);

	view->chain_len = (uint8_t)len;
	view->n_buckets = bucket_count(&view->service);
	view->chains = g_new(uint16_t, view->n_buckets * len);
	for (size_t bucket = 0; len && bucket < view->n_buckets; bucket++)
		view->chains[bucket * len] = CHAIN_UNBUILT;
}

static void build_chain(const struct service_view *view, uint32_t bucket,
			uint16_t *row)
{
	struct rank top[CHAIN_MAX] = {0};
	size_t n = 0;

	for (size_t i = 0; i < view->n_members; i++) {
		struct rank rank = member_rank(view, i, bucket);

		rank_insert(top, &n, view->chain_len, &rank);
	}
	for (size_t i = 0; i < n; i++)
		row[i] = top[i].member;
}

/* The chain of @bucket, computed on first use: while members join and leave, a
 * view is soon replaced and only a few of its buckets are used. */
static const uint16_t *chain_row(const struct service_view *view,
				 uint32_t bucket)
{
	uint16_t *row = &view->chains[bucket * view->chain_len];

	if (view->chain_len && row[0] == CHAIN_UNBUILT)
		build_chain(view, bucket, row);
	return row;
}

/** Agents that have not left, sorted by service, then by name. */
struct agent_list {
	const struct member **members;
	size_t n;
};

static int compare_agents(const void *a, const void *b)
{
	const struct member *x = *(const struct member *const *)a;
	const struct member *y = *(const struct member *const *)b;
	int order = name_compare(&x->service, &y->service);

	return order ? order : name_compare(&x->name, &y->name);
}

static bool is_live_agent(const struct member *member)
{
	return member->role == MEMBER_AGENT && member->state != MEMBER_LEFT;
}

static void agent_list_init(struct agent_list *agents,
			    const struct roster *roster)
{
	agents->n = 0;
	agents->members = g_new(const struct member *, roster->n);
	for (size_t i = 0; i < roster->n; i++)
		if (is_live_agent(&roster->members[i]))
			agents->members[agents->n++] = &roster->members[i];
	if (agents->n)
		qsort(agents->members, agents->n, sizeof(const struct member *),
		      compare_agents);
}

/* Does not depend on the order, nor on states that views may lag in. */
static uint64_t agent_list_digest(const struct agent_list *agents)
{
	uint64_t digest = 0;

	for (size_t i = 0; i < agents->n; i++)
		digest ^= XXH3_64bits(agents->members[i]->name.data,
				      agents->members[i]->name.len);
	return digest;
}

/* Index of the first agent whose service is not sorted before @service. */
static size_t agent_list_lower_bound(const struct agent_list *agents,
				     const struct name *service)
{
	size_t low = 0, high = agents->n;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (name_compare(&agents->members[mid]->service, service) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/* Number of agents of @service; @first is the index of the first one. */
static size_t agent_list_count(const struct agent_list *agents, size_t first,
			       const struct name *service)
{
	size_t end = first;

	while (end < agents->n &&
	       name_equal(&agents->members[end]->service, service))
		end++;
	return end - first;
}

static void candidate_from_member(struct candidate *candidate,
				  const struct member *member, bool accepts_new)
{
	candidate->data = member->data;
	candidate->member_id = member_id(&member->name);
	candidate->instance_check = packet_instance_check(member->instance);
	candidate->flags = 0;
	if (member->state == MEMBER_SUSPECT)
		candidate->flags |= CANDIDATE_SUSPECT;
	if (member->state != MEMBER_DRAINING && accepts_new)
		candidate->flags |= CANDIDATE_TAKES_NEW;
}

static void service_view_set_member(struct service_view *view, size_t i,
				    const struct member *member,
				    bool accepts_new)
{
	view->weights[i] = MAX(member->connections, 1);
	view->slots[i] = member->slots ? member->slots : SLOTS_DEFAULT;
	view->zones[i] = member->zone;
	candidate_from_member(&view->members[i], member, accepts_new);
}

/*
 * Initializes the view of @service with its @n agents in @agents from index
 * @first on.
 *
 * Members in a zone that is out of service by the manifest are excluded.
 * Members in a zone that is out of service by an operator's order in the state
 * ZONE_ORDER_CUT are kept for searches, because their connections stay open.
 */
static void
service_view_init(struct service_view *view, const struct service *service,
		  const struct view *parent, const struct manifest *manifest,
		  const struct agent_list *agents, size_t first, size_t n)
{
	size_t first_search_only = n;

	memset(view, 0, sizeof(*view));
	view->service = *service;
	view->members = g_new0(struct candidate, n);
	view->weights = g_new0(uint32_t, n);
	view->slots = g_new0(uint32_t, n);
	view->zones = g_new0(struct name, n);
	for (size_t i = 0; i < n; i++) {
		const struct member *member = agents->members[first + i];
		enum zone_order_state order =
			view_zone_order_state(parent, &member->zone);

		if (!manifest_zone_in_service(manifest, &member->zone))
			view->n_excluded++;
		else if (order == ZONE_ORDER_CUT)
			service_view_set_member(view, --first_search_only,
						member, false);
		else
			service_view_set_member(view, view->n_members++, member,
						order == ZONE_ORDER_NONE);
	}
	view->n_search_only = n - first_search_only;
	memmove(view->members + view->n_members,
		view->members + first_search_only,
		view->n_search_only * sizeof(*view->members));
	memmove(view->weights + view->n_members,
		view->weights + first_search_only,
		view->n_search_only * sizeof(*view->weights));
	memmove(view->slots + view->n_members, view->slots + first_search_only,
		view->n_search_only * sizeof(*view->slots));
	memmove(view->zones + view->n_members, view->zones + first_search_only,
		view->n_search_only * sizeof(*view->zones));
	service_view_init_chains(view);
}

/* Adds the services of the manifest. Sets @configured[i] if the service of the
 * agent @i is among them. */
static void view_add_configured_services(struct view *view,
					 const struct manifest *manifest,
					 const struct agent_list *agents,
					 bool *configured)
{
	for (size_t i = 0; i < manifest->n_services; i++) {
		const struct service *service = &manifest->services[i];
		size_t first = agent_list_lower_bound(agents, &service->name);
		size_t n = agent_list_count(agents, first, &service->name);

		service_view_init(&view->services[i], service, view, manifest,
				  agents, first, n);
		for (size_t j = first; j < first + n; j++)
			configured[j] = true;
	}
	view->n_configured = manifest->n_services;
	view->n_services = manifest->n_services;
}

static int compare_service_ids(const void *a, const void *b)
{
	uint32_t x = ((const struct service_view *)a)->service.id;
	uint32_t y = ((const struct service_view *)b)->service.id;

	return (x > y) - (x < y);
}

/* Adds the services of agents that the manifest does not contain. */
static void view_add_retired_services(struct view *view,
				      const struct manifest *manifest,
				      const struct agent_list *agents,
				      const bool *configured)
{
	for (size_t first = 0; first < agents->n;) {
		const struct name *name = &agents->members[first]->service;
		size_t n = agent_list_count(agents, first, name);
		struct service service = {
			.name = *name,
			.id = service_id(name),
		};

		if (!configured[first]) {
			struct service_view *added =
				&view->services[view->n_services++];

			service_view_init(added, &service, view, manifest,
					  agents, first, n);
			added->retired = true;
		}
		first += n;
	}
	qsort(view->services + view->n_configured,
	      view->n_services - view->n_configured, sizeof(*view->services),
	      compare_service_ids);
}

static void view_build_services(struct view *view,
				const struct manifest *manifest,
				const struct roster *roster)
{
	struct agent_list agents;
	bool *configured;

	agent_list_init(&agents, roster);
	view->agents_digest = agent_list_digest(&agents);
	configured = g_new0(bool, agents.n);
	view->services =
		g_new(struct service_view, manifest->n_services + agents.n);
	view_add_configured_services(view, manifest, &agents, configured);
	view_add_retired_services(view, manifest, &agents, configured);
	g_free(configured);
	g_free(agents.members);
}

static uint32_t route_index_slot(const struct view *view,
				 const struct ip_addr *ip, uint16_t port)
{
	return (uint32_t)XXH3_64bits_withSeed(ip, sizeof(*ip), port) &
	       view->route_index_mask;
}

static void view_build_route_index(struct view *view)
{
	uint32_t size = 2;

	while (size < view->n_routes * 2)
		size *= 2;
	view->route_index_mask = size - 1;
	view->route_index = g_new(uint32_t, size);
	for (uint32_t i = 0; i < size; i++)
		view->route_index[i] = ROUTE_INDEX_EMPTY;
	for (uint32_t i = 0; i < view->n_routes; i++) {
		const struct route_view *route = &view->routes[i];
		uint32_t slot =
			route_index_slot(view, &route->address, route->port);

		while (view->route_index[slot] != ROUTE_INDEX_EMPTY)
			slot = (slot + 1) & view->route_index_mask;
		view->route_index[slot] = i;
	}
}

static void view_copy_zones(struct view *view, const struct manifest *manifest)
{
	view->all_zones_in_service = !manifest->n_zones;
	view->zones_in_service = g_new(struct name, manifest->n_zones);
	for (size_t i = 0; i < manifest->n_zones; i++)
		if (manifest->zones[i].state == ZONE_IN_SERVICE)
			view->zones_in_service[view->n_zones_in_service++] =
				manifest->zones[i].name;
}

static void view_copy_balancers(struct view *view, const struct roster *roster)
{
	view->balancers = g_new(struct endpoint, roster->n);
	for (size_t i = 0; i < roster->n; i++)
		if (roster->members[i].role == MEMBER_BALANCER &&
		    roster->members[i].state != MEMBER_LEFT)
			view->balancers[view->n_balancers++] =
				roster->members[i].data;
}

/*
 * Keeps the load reports of one agent within VIEW_LOAD_REPORTS_PER_S, whatever
 * the number of receivers. At most half of them are heartbeats to all other
 * agents; the rest go to the processes that choose servers by load: balancers
 * and VIEW_LOAD_REPORT_PEERS agents.
 */
static void view_set_report_intervals(struct view *view)
{
	int64_t agents = 0, receivers, remaining_per_s;

	for (size_t i = 0; i < view->n_services; i++)
		agents += (int64_t)view_searchable_count(&view->services[i]);
	view->peer_heartbeat_interval_ms =
		MAX(HEARTBEAT_MIN_MS,
		    2 * agents * MS_PER_S / VIEW_LOAD_REPORTS_PER_S);
	remaining_per_s = VIEW_LOAD_REPORTS_PER_S -
			  agents * MS_PER_S / view->peer_heartbeat_interval_ms;
	receivers = (int64_t)view->n_balancers +
		    MIN(agents, VIEW_LOAD_REPORT_PEERS);
	view->load_report_interval_ms =
		MAX(VIEW_LOAD_REPORT_MIN_MS,
		    receivers * MS_PER_S / remaining_per_s + 1);
	view->heartbeat_interval_ms =
		MAX(HEARTBEAT_MIN_MS, view->load_report_interval_ms);
	view->peer_heartbeat_interval_ms = MAX(view->peer_heartbeat_interval_ms,
					       view->heartbeat_interval_ms);
}

static void route_view_add_backend(struct route_view *route,
				   const struct view *view,
				   const struct route_backend *backend)
{
	for (uint32_t i = 0; i < view->n_configured; i++) {
		if (!name_equal(&view->services[i].service.name,
				&backend->service))
			continue;
		route->backends[route->n_backends].service = i;
		route->backends[route->n_backends++].weight =
			(uint32_t)backend->weight;
		route->total_weight += (uint32_t)backend->weight;
		return;
	}
}

static void route_view_init(struct route_view *out, const struct view *view,
			    const struct route *route)
{
	out->address = route->address;
	out->port = (uint16_t)route->port;
	out->kind = (uint8_t)route->kind;
	out->priority = (uint16_t)route->priority;
	out->objective_ms = (uint32_t)route->objective_ms;
	out->timeout_ms = (uint32_t)route->timeout_ms;
	for (size_t i = 0; i < route->n_backends; i++)
		route_view_add_backend(out, view, &route->backends[i]);
}

static void view_build_routes(struct view *view,
			      const struct manifest *manifest)
{
	view->routes = g_new0(struct route_view,
			      manifest->n_routes + manifest->n_services);
	for (size_t i = 0; i < manifest->n_routes; i++)
		route_view_init(&view->routes[view->n_routes++], view,
				&manifest->routes[i]);
	for (size_t i = 0; i < manifest->n_services; i++) {
		const struct service *service = &manifest->services[i];
		struct route_view *route;

		if (!service->port)
			continue;
		route = &view->routes[view->n_routes++];
		route->address = service->address;
		route->port = (uint16_t)service->port;
		route->kind = ROUTE_NON_IDEMPOTENT;
		route->backends[0].service = (uint32_t)i;
		route->backends[0].weight = 1;
		route->n_backends = 1;
		route->total_weight = 1;
	}
}

void view_init(struct view *view, const struct manifest *manifest,
	       const struct roster *roster)
{
	const struct zone_orders no_orders = {0};

	view_init_with_orders(view, manifest, roster, &no_orders, 0);
}

void view_init_with_orders(struct view *view, const struct manifest *manifest,
			   const struct roster *roster,
			   const struct zone_orders *orders, int64_t now_ms)
{
	memset(view, 0, sizeof(*view));
	view->orders = *orders;
	view->computed_ms = now_ms;
	view->config_revision = manifest->release;
	view->seed = BUCKET_SEED;
	view_build_services(view, manifest, roster);
	view_build_routes(view, manifest);
	view_build_route_index(view);
	view_copy_zones(view, manifest);
	view_copy_balancers(view, roster);
	view_set_report_intervals(view);
}

void view_finish(struct view *view)
{
	for (size_t i = 0; i < view->n_services; i++) {
		g_free(view->services[i].members);
		g_free(view->services[i].weights);
		g_free(view->services[i].slots);
		g_free(view->services[i].zones);
		g_free(view->services[i].chains);
	}
	g_free(view->services);
	g_free(view->routes);
	g_free(view->route_index);
	g_free(view->zones_in_service);
	g_free(view->balancers);
	memset(view, 0, sizeof(*view));
}

const struct route_view *view_find_route(const struct view *view,
					 const struct flow_key *key)
{
	uint32_t slot = route_index_slot(view, &key->dst, key->dst_port);

	while (view->route_index[slot] != ROUTE_INDEX_EMPTY) {
		const struct route_view *route =
			&view->routes[view->route_index[slot]];

		if (route->port == key->dst_port &&
		    ip_addr_equal(&route->address, &key->dst))
			return route;
		slot = (slot + 1) & view->route_index_mask;
	}
	return NULL;
}

const struct service_view *view_select_service(const struct view *view,
					       const struct route_view *route,
					       const struct flow_key *key)
{
	uint32_t weight_offset;

	if (!route->total_weight)
		return NULL;
	if (route->n_backends == 1)
		return &view->services[route->backends[0].service];
	weight_offset = (uint32_t)(flow_key_hash(key, ROUTE_SERVICE_SEED) %
				   route->total_weight);
	for (int i = 0; i < route->n_backends; i++) {
		const struct backend_view *backend = &route->backends[i];

		if (weight_offset < backend->weight)
			return &view->services[backend->service];
		weight_offset -= backend->weight;
	}
	return NULL;
}

bool view_route_has_service(const struct view *view,
			    const struct route_view *route, uint32_t id)
{
	for (int i = 0; i < route->n_backends; i++)
		if (view->services[route->backends[i].service].service.id == id)
			return true;
	return false;
}

bool view_route_has_weighted_service(const struct view *view,
				     const struct route_view *route,
				     uint32_t id)
{
	for (int i = 0; i < route->n_backends; i++)
		if (route->backends[i].weight &&
		    view->services[route->backends[i].service].service.id == id)
			return true;
	return false;
}

const struct service_view *view_lookup_service(const struct view *view,
					       const struct flow_key *key)
{
	const struct route_view *route = view_find_route(view, key);

	return route ? view_select_service(view, route, key) : NULL;
}

const struct service_view *view_find_service(const struct view *view,
					     uint32_t id)
{
	for (size_t i = 0; i < view->n_services; i++)
		if (view->services[i].service.id == id)
			return &view->services[i];
	return NULL;
}

bool view_zone_in_service(const struct view *view, const struct name *zone)
{
	if (zone_orders_is_out_of_service(&view->orders, zone))
		return false;
	for (size_t i = 0; i < view->n_zones_in_service; i++)
		if (name_equal(&view->zones_in_service[i], zone))
			return true;
	return view->all_zones_in_service;
}

enum zone_order_state view_zone_order_state(const struct view *view,
					    const struct name *zone)
{
	return zone_orders_state(&view->orders, zone, view->computed_ms);
}

size_t view_searchable_count(const struct service_view *service)
{
	return service->n_members + service->n_search_only;
}

bool view_excludes_members(const struct view *view)
{
	for (size_t i = 0; i < view->n_services; i++)
		if (view->services[i].n_excluded)
			return true;
	return false;
}

uint32_t view_bucket_of(const struct view *view,
			const struct service_view *service,
			const struct flow_key *key)
{
	return (uint32_t)flow_key_hash(key, view->seed) &
	       (service->n_buckets - 1);
}

void view_fill_chain(const struct service_view *service, uint32_t bucket,
		     struct packet_header *header)
{
	const uint16_t *row = chain_row(service, bucket);

	header->n_candidates = service->chain_len;
	for (int i = 0; i < service->chain_len; i++)
		header->candidates[i] = service->members[row[i]];
}

bool view_chain_matches(const struct service_view *service, uint32_t bucket,
			const struct packet_header *header)
{
	const uint16_t *row = chain_row(service, bucket);

	if (header->n_candidates != service->chain_len)
		return false;
	for (int i = 0; i < service->chain_len; i++)
		if (header->candidates[i].member_id !=
		    service->members[row[i]].member_id)
			return false;
	return true;
}

static bool is_in_chain(const struct packet_header *header, uint32_t id)
{
	for (int i = 0; i < header->n_candidates; i++)
		if (header->candidates[i].member_id == id)
			return true;
	return false;
}

const struct candidate *view_find_member(const struct service_view *service,
					 uint32_t id)
{
	for (size_t i = 0; i < view_searchable_count(service); i++)
		if (service->members[i].member_id == id)
			return &service->members[i];
	return NULL;
}

uint32_t view_member_slots(const struct service_view *service, uint32_t id)
{
	const struct candidate *member = view_find_member(service, id);

	return member ? service->slots[member - service->members]
		      : SLOTS_DEFAULT;
}

/*
 * Sort key for chains that are resolved during a search. Unlike in the initial
 * chain, suspect members are not sorted last: other processes, which may
 * suspect other members, continue the search from this chain.
 */
static struct rank search_rank(const struct service_view *service, size_t i,
			       uint32_t bucket)
{
	struct rank rank = member_rank(service, i, bucket);

	rank.suspect = false;
	return rank;
}

/* Gets the rank of the chain's last candidate, after which the next chain
 * starts. Returns false for a chain that was not recomputed yet, and when that
 * candidate is not a member of this view. */
static bool get_last_rank(const struct service_view *service,
			  const struct packet_header *header, struct rank *rank)
{
	const struct candidate *last =
		&header->candidates[header->n_candidates - 1];
	const struct candidate *member =
		view_find_member(service, last->member_id);

	if (!header->resolves || !member)
		return false;
	*rank = search_rank(service, (size_t)(member - service->members),
			    header->bucket);
	return true;
}

bool view_resolve_chain(const struct service_view *service,
			struct packet_header *header)
{
	struct rank top[CHAIN_MAX], last;
	bool continues = get_last_rank(service, header, &last);
	size_t n = 0;

	for (size_t i = 0; i < view_searchable_count(service); i++) {
		struct rank rank = search_rank(service, i, header->bucket);

		if (is_in_chain(header, service->members[i].member_id) ||
		    (continues && !rank_before(&last, &rank)))
			continue;
		rank_insert(top, &n, CHAIN_MAX, &rank);
	}
	if (!n)
		return false;
	for (size_t i = 0; i < n; i++)
		header->candidates[i] = service->members[top[i].member];
	header->n_candidates = (uint8_t)n;
	header->visited = 0;
	header->unsure = 0;
	header->asking = false;
	header->from = PACKET_FROM_OUTSIDE;
	header->resolves =
		(uint8_t)MIN(header->resolves + 1, PACKET_RESOLVES_MAX);
	return true;
}
