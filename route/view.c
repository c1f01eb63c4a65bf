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
#define INDEX_EMPTY UINT32_MAX

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

static void service_view_build_chains(struct service_view *view)
{
	size_t len = MIN(view->n_members, CHAIN_MAX);

	view->chain_len = (uint8_t)len;
	view->n_buckets = bucket_count(&view->service);
	view->chains = g_new(uint16_t, view->n_buckets * len);
	for (uint32_t bucket = 0; bucket < view->n_buckets; bucket++) {
		struct rank top[CHAIN_MAX] = {0};
		size_t n = 0;

		for (size_t i = 0; i < view->n_members; i++) {
			struct rank rank = member_rank(view, i, bucket);

			rank_insert(top, &n, len, &rank);
		}
		for (size_t i = 0; i < len; i++)
			view->chains[bucket * len + i] = top[i].member;
	}
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

static bool member_serves(const struct member *member,
			  const struct manifest *manifest)
{
	const struct zone *zone;

	if (member->role != MEMBER_AGENT || member->state == MEMBER_LEFT)
		return false;
	zone = manifest_zone(manifest, &member->zone);
	return zone && zone->state == ZONE_IN;
}

static void servers_init(struct servers *servers,
			 const struct manifest *manifest,
			 const struct roster *roster)
{
	servers->n = 0;
	servers->members = g_new(const struct member *, roster->n);
	for (size_t i = 0; i < roster->n; i++)
		if (member_serves(&roster->members[i], manifest))
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
				  const struct member *member)
{
	candidate->data = member->data;
	candidate->member_id = member_id(&member->name);
	candidate->instance_check = packet_instance_check(member->instance);
	candidate->flags = 0;
	if (member->state == MEMBER_SUSPECT)
		candidate->flags |= CANDIDATE_SUSPECT;
	if (member->state != MEMBER_DRAINING)
		candidate->flags |= CANDIDATE_TAKES_NEW;
}

static void service_view_init(struct service_view *view,
			      const struct service *service,
			      const struct servers *servers)
{
	size_t first = servers_first(servers, &service->name);

	memset(view, 0, sizeof(*view));
	view->service = *service;
	view->n_members = servers_count(servers, first, &service->name);
	view->members = g_new0(struct candidate, view->n_members);
	view->weights = g_new0(uint32_t, view->n_members);
	for (size_t i = 0; i < view->n_members; i++) {
		const struct member *member = servers->members[first + i];

		view->weights[i] = MAX(member->connections, 1);
		candidate_from_member(&view->members[i], member);
	}
	service_view_build_chains(view);
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

	while (size < view->n_services * 2)
		size *= 2;
	view->index_mask = size - 1;
	view->index = g_new(uint32_t, size);
	for (uint32_t i = 0; i < size; i++)
		view->index[i] = INDEX_EMPTY;
	for (uint32_t i = 0; i < view->n_services; i++) {
		const struct service *service = &view->services[i].service;
		uint32_t slot = index_slot(view, &service->address,
					   (uint16_t)service->port);

		while (view->index[slot] != INDEX_EMPTY)
			slot = (slot + 1) & view->index_mask;
		view->index[slot] = i;
	}
}

static void view_copy_zones(struct view *view, const struct manifest *manifest)
{
	view->zones_in = g_new(struct name, manifest->n_zones);
	for (size_t i = 0; i < manifest->n_zones; i++)
		if (manifest->zones[i].state == ZONE_IN)
			view->zones_in[view->n_zones_in++] =
				manifest->zones[i].name;
}

void view_init(struct view *view, const struct manifest *manifest,
	       const struct roster *roster)
{
	struct servers servers;

	memset(view, 0, sizeof(*view));
	servers_init(&servers, manifest, roster);
	view->config_revision = manifest->release;
	view->roster_version = roster->version;
	view->seed = BUCKET_SEED;
	view->n_services = manifest->n_services;
	view->services = g_new(struct service_view, view->n_services);
	for (size_t i = 0; i < view->n_services; i++)
		service_view_init(&view->services[i], &manifest->services[i],
				  &servers);
	g_free(servers.members);
	view_build_index(view);
	view_copy_zones(view, manifest);
}

void view_finish(struct view *view)
{
	for (size_t i = 0; i < view->n_services; i++) {
		g_free(view->services[i].members);
		g_free(view->services[i].weights);
		g_free(view->services[i].chains);
	}
	g_free(view->services);
	g_free(view->index);
	g_free(view->zones_in);
	memset(view, 0, sizeof(*view));
}

const struct service_view *view_lookup(const struct view *view,
				       const struct flow_key *key)
{
	uint32_t slot = index_slot(view, &key->dst, key->dst_port);

	while (view->index[slot] != INDEX_EMPTY) {
		const struct service_view *service =
			&view->services[view->index[slot]];

		if (service->service.port == key->dst_port &&
		    ip_addr_equal(&service->service.address, &key->dst))
			return service;
		slot = (slot + 1) & view->index_mask;
	}
	return NULL;
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
	for (size_t i = 0; i < view->n_zones_in; i++)
		if (name_equal(&view->zones_in[i], zone))
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
	const uint16_t *row = &service->chains[bucket * service->chain_len];

	header->n_candidates = service->chain_len;
	for (int i = 0; i < service->chain_len; i++)
		header->candidates[i] = service->members[row[i]];
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
	for (size_t i = 0; i < service->n_members; i++)
		if (service->members[i].member_id == id)
			return &service->members[i];
	return NULL;
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
	*rank = member_rank(service, (size_t)(member - service->members),
			    header->bucket);
	return true;
}

bool view_resolve(const struct service_view *service,
		  struct packet_header *header)
{
	struct rank top[CHAIN_MAX], after;
	bool goes_on = last_rank(service, header, &after);
	size_t n = 0;

	for (size_t i = 0; i < service->n_members; i++) {
		struct rank rank = member_rank(service, i, header->bucket);

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
	header->from = PACKET_FROM_OUTSIDE;
	header->resolves++;
	return true;
}
