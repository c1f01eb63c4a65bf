#include "tarragonflow/route/view.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define BUCKETS_MIN 64
/* Every process must agree, so these are part of the protocol. */
#define BUCKET_SEED 0x7461727261676f6eULL
#define MEMBER_SEED 0
/* Picks a service of a route; independent of the bucket. */
#define SPLIT_SEED 0x73706c6974ULL
#define INDEX_EMPTY UINT32_MAX
#define MS_PER_S 1000
/* No index of a member: the chain is not computed yet. */
#define CHAIN_UNBUILT UINT16_MAX
/* Who is silent for three of these is passed over. */
#define ALIVE_MIN_MS 150

/** One member's claim on a bucket while its chain is sorted. */
struct rank {
	double score;
	uint16_t member;
	bool suspect;
};

uint32_t member_id(const struct name *name)
{
	return XXH32(name->data, name->len, MEMBER_SEED);
}

static uint64_t mix(uint64_t a, uint64_t b)
{
	uint64_t words[2] = {a, b};

	return XXH3_64bits(words, sizeof(words));
}

/* Weighted rendezvous score: -weight / ln(u), u uniform in (0, 1). */
static double rank_score(uint64_t member_hash, uint32_t bucket, double weight)
{
	uint64_t bits = mix(member_hash, bucket) >> 11;
	double u = ((double)bits + 0.5) / 9007199254740992.0;

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

/* Keeps the best @max ranks of a bucket in order. */
static void rank_insert(struct rank *top, size_t *n, size_t max,
			const struct rank *rank)
{
	size_t at = *n;

	if (at == max) {
		if (!rank_before(rank, &top[max - 1]))
			return;
		at = max - 1;
	} else {
		(*n)++;
	}
	while (at > 0 && rank_before(rank, &top[at - 1])) {
		top[at] = top[at - 1];
		at--;
	}
	top[at] = *rank;
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

/* The chain of @bucket. A view lives shortly where members come and go, and
 * few of its buckets are used: each is computed when it is asked for. */
static const uint16_t *chain_row(const struct service_view *view,
				 uint32_t bucket)
{
	uint16_t *row = &view->chains[bucket * view->chain_len];

	if (view->chain_len && row[0] == CHAIN_UNBUILT)
		build_chain(view, bucket, row);
	return row;
}

/** The members that may serve something, in order of service. */
struct servers {
	const struct member **members;
	size_t n;
};

static int servers_order(const void *a, const void *b)
{
	const struct member *x = *(const struct member *const *)a;
	const struct member *y = *(const struct member *const *)b;
	int order = name_compare(&x->service, &y->service);

	return order ? order : name_compare(&x->name, &y->name);
}

static bool member_lives(const struct member *member)
{
	return member->role == MEMBER_AGENT && member->state != MEMBER_LEFT;
}

static void servers_init(struct servers *servers, const struct roster *roster)
{
	servers->n = 0;
	servers->members = g_new(const struct member *, roster->n);
	for (size_t i = 0; i < roster->n; i++)
		if (member_lives(&roster->members[i]))
			servers->members[servers->n++] = &roster->members[i];
	if (servers->n)
		qsort(servers->members, servers->n,
		      sizeof(const struct member *), servers_order);
}

/* Index of the first member of @service or a later one. */
static size_t servers_first(const struct servers *servers,
			    const struct name *service)
{
	size_t low = 0, high = servers->n;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (name_compare(&servers->members[mid]->service, service) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static size_t servers_count(const struct servers *servers, size_t first,
			    const struct name *service)
{
	size_t end = first;

	while (end < servers->n &&
	       name_equal(&servers->members[end]->service, service))
		end++;
	return end - first;
}

static void candidate_from_member(struct candidate *candidate,
				  const struct member *member, bool takes_new)
{
	candidate->data = member->data;
	candidate->member_id = member_id(&member->name);
	candidate->instance_check = packet_instance_check(member->instance);
	candidate->flags = 0;
	if (member->state == MEMBER_SUSPECT)
		candidate->flags |= CANDIDATE_SUSPECT;
	if (member->state != MEMBER_DRAINING && takes_new)
		candidate->flags |= CANDIDATE_TAKES_NEW;
}

static void service_view_add(struct service_view *view, size_t i,
			     const struct member *member, bool takes_new)
{
	view->weights[i] = MAX(member->connections, 1);
	view->zones[i] = member->zone;
	candidate_from_member(&view->members[i], member, takes_new);
}

/*
 * A zone that is out by the manifest hides its members. One that an order has
 * taken out keeps its agents in reach of searches, for its connections live.
 */
static void service_view_init(struct service_view *view,
			      const struct service *service,
			      const struct view *whole,
			      const struct manifest *manifest,
			      const struct servers *servers)
{
	size_t first = servers_first(servers, &service->name);
	size_t n = servers_count(servers, first, &service->name);
	size_t out_at = n;

	memset(view, 0, sizeof(*view));
	view->service = *service;
	view->members = g_new0(struct candidate, n);
	view->weights = g_new0(uint32_t, n);
	view->zones = g_new0(struct name, n);
	for (size_t i = 0; i < n; i++) {
		const struct member *member = servers->members[first + i];
		enum zone_order_state order =
			view_zone_order(whole, &member->zone);

		if (!manifest_zone_in(manifest, &member->zone))
			view->n_hidden++;
		else if (order == ZONE_ORDER_CUT)
			service_view_add(view, --out_at, member, false);
		else
			service_view_add(view, view->n_members++, member,
					 order == ZONE_ORDER_NONE);
	}
	view->n_ordered_out = n - out_at;
	memmove(view->members + view->n_members, view->members + out_at,
		view->n_ordered_out * sizeof(*view->members));
	memmove(view->weights + view->n_members, view->weights + out_at,
		view->n_ordered_out * sizeof(*view->weights));
	memmove(view->zones + view->n_members, view->zones + out_at,
		view->n_ordered_out * sizeof(*view->zones));
	service_view_init_chains(view);
}

static uint32_t index_slot(const struct view *view, const struct ip_addr *ip,
			   uint16_t port)
{
	return (uint32_t)XXH3_64bits_withSeed(ip, sizeof(*ip), port) &
	       view->index_mask;
}

static void view_build_index(struct view *view)
{
	uint32_t size = 2;

	while (size < view->n_routes * 2)
		size *= 2;
	view->index_mask = size - 1;
	view->index = g_new(uint32_t, size);
	for (uint32_t i = 0; i < size; i++)
		view->index[i] = INDEX_EMPTY;
	for (uint32_t i = 0; i < view->n_routes; i++) {
		const struct route_view *route = &view->routes[i];
		uint32_t slot = index_slot(view, &route->address, route->port);

		while (view->index[slot] != INDEX_EMPTY)
			slot = (slot + 1) & view->index_mask;
		view->index[slot] = i;
	}
}

static void view_copy_zones(struct view *view, const struct manifest *manifest)
{
	view->all_zones = !manifest->n_zones;
	view->zones_in = g_new(struct name, manifest->n_zones);
	for (size_t i = 0; i < manifest->n_zones; i++)
		if (manifest->zones[i].state == ZONE_IN)
			view->zones_in[view->n_zones_in++] =
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
 * Notices of one agent stay within a rate, however many processes listen. Half
 * of it at most goes to all other agents, which need to know that it runs; the
 * rest tells its load to who places by it.
 */
static void view_pace_notices(struct view *view)
{
	int64_t agents = 0, told, rate;

	for (size_t i = 0; i < view->n_services; i++)
		agents += (int64_t)view_searched(&view->services[i]);
	view->peers_alive_ms =
		MAX(ALIVE_MIN_MS, 2 * agents * MS_PER_S / VIEW_NOTICES_PER_S);
	rate = VIEW_NOTICES_PER_S - agents * MS_PER_S / view->peers_alive_ms;
	told = (int64_t)view->n_balancers + MIN(agents, VIEW_NOTICE_PEERS);
	view->notice_ms = MAX(VIEW_NOTICE_MIN_MS, told * MS_PER_S / rate + 1);
	view->alive_ms = MAX(ALIVE_MIN_MS, view->notice_ms);
	view->peers_alive_ms = MAX(view->peers_alive_ms, view->alive_ms);
}

static void route_view_add(struct route_view *route, const struct view *view,
			   const struct route_backend *backend)
{
	for (uint32_t i = 0; i < view->n_services; i++) {
		if (!name_equal(&view->services[i].service.name,
				&backend->service))
			continue;
		route->backends[route->n_backends].service = i;
		route->backends[route->n_backends++].weight =
			(uint32_t)backend->weight;
		route->weights += (uint32_t)backend->weight;
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
		route_view_add(out, view, &route->backends[i]);
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
		route->kind = ROUTE_UNSAFE;
		route->backends[0].service = (uint32_t)i;
		route->backends[0].weight = 1;
		route->n_backends = 1;
		route->weights = 1;
	}
}

void view_init(struct view *view, const struct manifest *manifest,
	       const struct roster *roster)
{
	const struct zone_orders none = {0};

	view_init_ordered(view, manifest, roster, &none, 0);
}

void view_init_ordered(struct view *view, const struct manifest *manifest,
		       const struct roster *roster,
		       const struct zone_orders *orders, int64_t now_ms)
{
	struct servers servers;

	memset(view, 0, sizeof(*view));
	view->orders = *orders;
	view->made_ms = now_ms;
	servers_init(&servers, roster);
	view->config_revision = manifest->release;
	view->roster_version = roster->version;
	view->seed = BUCKET_SEED;
	view->n_services = manifest->n_services;
	view->services = g_new(struct service_view, view->n_services);
	for (size_t i = 0; i < view->n_services; i++)
		service_view_init(&view->services[i], &manifest->services[i],
				  view, manifest, &servers);
	g_free(servers.members);
	view_build_routes(view, manifest);
	view_build_index(view);
	view_copy_zones(view, manifest);
	view_copy_balancers(view, roster);
	view_pace_notices(view);
}

void view_finish(struct view *view)
{
	for (size_t i = 0; i < view->n_services; i++) {
		g_free(view->services[i].members);
		g_free(view->services[i].weights);
		g_free(view->services[i].zones);
		g_free(view->services[i].chains);
	}
	g_free(view->services);
	g_free(view->routes);
	g_free(view->index);
	g_free(view->zones_in);
	g_free(view->balancers);
	memset(view, 0, sizeof(*view));
}

const struct route_view *view_route(const struct view *view,
				    const struct flow_key *key)
{
	uint32_t slot = index_slot(view, &key->dst, key->dst_port);

	while (view->index[slot] != INDEX_EMPTY) {
		const struct route_view *route =
			&view->routes[view->index[slot]];

		if (route->port == key->dst_port &&
		    ip_addr_equal(&route->address, &key->dst))
			return route;
		slot = (slot + 1) & view->index_mask;
	}
	return NULL;
}

const struct service_view *view_route_service(const struct view *view,
					      const struct route_view *route,
					      const struct flow_key *key)
{
	uint32_t point;

	if (!route->weights)
		return NULL;
	if (route->n_backends == 1)
		return &view->services[route->backends[0].service];
	point = (uint32_t)(flow_key_hash(key, SPLIT_SEED) % route->weights);
	for (int i = 0; i < route->n_backends; i++) {
		const struct backend_view *backend = &route->backends[i];

		if (point < backend->weight)
			return &view->services[backend->service];
		point -= backend->weight;
	}
	return NULL;
}

bool view_route_leads(const struct view *view, const struct route_view *route,
		      uint32_t id)
{
	for (int i = 0; i < route->n_backends; i++)
		if (view->services[route->backends[i].service].service.id == id)
			return true;
	return false;
}

bool view_route_allows(const struct view *view, const struct route_view *route,
		       uint32_t id)
{
	for (int i = 0; i < route->n_backends; i++)
		if (route->backends[i].weight &&
		    view->services[route->backends[i].service].service.id == id)
			return true;
	return false;
}

const struct service_view *view_lookup(const struct view *view,
				       const struct flow_key *key)
{
	const struct route_view *route = view_route(view, key);

	return route ? view_route_service(view, route, key) : NULL;
}

const struct service_view *view_service(const struct view *view, uint32_t id)
{
	for (size_t i = 0; i < view->n_services; i++)
		if (view->services[i].service.id == id)
			return &view->services[i];
	return NULL;
}

bool view_zone_in(const struct view *view, const struct name *zone)
{
	if (zone_orders_out(&view->orders, zone))
		return false;
	for (size_t i = 0; i < view->n_zones_in; i++)
		if (name_equal(&view->zones_in[i], zone))
			return true;
	return view->all_zones;
}

enum zone_order_state view_zone_order(const struct view *view,
				      const struct name *zone)
{
	return zone_orders_state(&view->orders, zone, view->made_ms);
}

size_t view_searched(const struct service_view *service)
{
	return service->n_members + service->n_ordered_out;
}

bool view_hides_members(const struct view *view)
{
	for (size_t i = 0; i < view->n_services; i++)
		if (view->services[i].n_hidden)
			return true;
	return false;
}

uint32_t view_bucket(const struct view *view,
		     const struct service_view *service,
		     const struct flow_key *key)
{
	return (uint32_t)flow_key_hash(key, view->seed) &
	       (service->n_buckets - 1);
}

void view_chain(const struct service_view *service, uint32_t bucket,
		struct packet_header *header)
{
	const uint16_t *row = chain_row(service, bucket);

	header->n_candidates = service->chain_len;
	for (int i = 0; i < service->chain_len; i++)
		header->candidates[i] = service->members[row[i]];
}

bool view_chain_is(const struct service_view *service, uint32_t bucket,
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

static bool in_chain(const struct packet_header *header, uint32_t id)
{
	for (int i = 0; i < header->n_candidates; i++)
		if (header->candidates[i].member_id == id)
			return true;
	return false;
}

const struct candidate *view_member(const struct service_view *service,
				    uint32_t id)
{
	for (size_t i = 0; i < view_searched(service); i++)
		if (service->members[i].member_id == id)
			return &service->members[i];
	return NULL;
}

/*
 * The order of chains that are resolved during a search. Unlike a first chain
 * it does not depend on whom this process suspects: others go on with it.
 */
static struct rank search_rank(const struct service_view *service, size_t i,
			       uint32_t bucket)
{
	struct rank rank = member_rank(service, i, bucket);

	rank.suspect = false;
	return rank;
}

/* The rank behind which a chain that was resolved before goes on. */
static bool last_rank(const struct service_view *service,
		      const struct packet_header *header, struct rank *rank)
{
	const struct candidate *last =
		&header->candidates[header->n_candidates - 1];
	const struct candidate *member = view_member(service, last->member_id);

	if (!header->resolves || !member)
		return false;
	*rank = search_rank(service, (size_t)(member - service->members),
			    header->bucket);
	return true;
}

bool view_resolve(const struct service_view *service,
		  struct packet_header *header)
{
	struct rank top[CHAIN_MAX], after;
	bool goes_on = last_rank(service, header, &after);
	size_t n = 0;

	for (size_t i = 0; i < view_searched(service); i++) {
		struct rank rank = search_rank(service, i, header->bucket);

		if (in_chain(header, service->members[i].member_id) ||
		    (goes_on && !rank_before(&after, &rank)))
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
	header->resolves++;
	return true;
}
