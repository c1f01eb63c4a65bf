#ifndef TARRAGONFLOW_ROUTE_VIEW_H
#define TARRAGONFLOW_ROUTE_VIEW_H

#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/manifest/manifest.h"
#include "tarragonflow/net/inner.h"
#include "tarragonflow/net/packet.h"
#include "tarragonflow/roster/roster.h"
#include "tarragonflow/roster/zone_orders.h"

/**
 * A picture of configuration and roster for the packet path. It is computed
 * by the control duty when either changes and handed over whole; one thread
 * uses it from then on, and only its chains are filled in meanwhile.
 *
 * A bucket's chain is the weighted rendezvous order (highest random weight)
 * of the members' names, cut at CHAIN_MAX. Two processes with different
 * rosters never disagree on the order of the members that both know.
 */
struct service_view {
	struct service service;
	/**
	 * Members of the service that are not out of service; behind them the
	 * n_ordered_out whose zone an order has taken out: they are in no
	 * chain, but their agents are asked in a search.
	 */
	struct candidate *members;
	/** Zone of each member. */
	struct name *zones;
	/** Weight of each member in the rendezvous order. */
	uint32_t *weights;
	size_t n_members, n_ordered_out;
	/** Living members that are left out, as their zone is out by the
	 * manifest. */
	size_t n_hidden;
	/**
	 * A power of two. It comes from the manifest and not from the number
	 * of members: another number of buckets reorders every chain.
	 */
	uint32_t n_buckets;
	/** Length of every chain: min(n_members, CHAIN_MAX). */
	uint8_t chain_len;
	/** n_buckets rows of chain_len indices into members, each computed
	 * when it is first used. */
	uint16_t *chains;
};

/** A service of a route, by its index in the view. */
struct backend_view {
	uint32_t service;
	/** Share of the new connections; 0 takes none. */
	uint32_t weight;
};

/** An address and port that callers connect to. */
struct route_view {
	struct ip_addr address;
	uint16_t port;
	/** One of enum route_kind. */
	uint8_t kind;
	uint16_t priority;
	/** Times of the route in the manifest, ms; 0 is not known. */
	uint32_t objective_ms, timeout_ms;
	struct backend_view backends[ROUTE_BACKENDS_MAX];
	uint8_t n_backends;
	/** Sum of the weights. */
	uint32_t weights;
};

/** What an agent may send in a second: some 1% of a small VM's core. */
#define VIEW_NOTICES_PER_S 500

/** Agents of its service that an agent tells each change of its load. */
#define VIEW_NOTICE_PEERS 8

/** About the time of one request, ms: newer loads would not be placed by. */
#define VIEW_NOTICE_MIN_MS 40

struct view {
	int64_t config_revision;
	uint64_t roster_version;
	/** Seed of the bucket hash. */
	uint64_t seed;
	struct service_view *services;
	size_t n_services;
	/** Those of the manifest, and one for each service with an address. */
	struct route_view *routes;
	size_t n_routes;
	/** Open-addressed index of routes by address and port. */
	uint32_t *index;
	uint32_t index_mask;
	/** Zones of the manifest that are in; none named: all of them. */
	struct name *zones_in;
	size_t n_zones_in;
	bool all_zones;
	/** Orders on zones, which hold whatever the manifest says. */
	struct zone_orders orders;
	/** When the view was computed, ms. */
	int64_t made_ms;
	/** The roster holds all members but the newest. */
	bool roster_known;
	/** Time between two notices of an agent whose load changes, to the
	 * balancers and a few peers, ms. */
	int64_t notice_ms;
	/** The same for an agent whose load does not: it tells that it runs. */
	int64_t alive_ms;
	/** Time between two notices of an agent to each other agent, ms. */
	int64_t peers_alive_ms;
	/** Data addresses of the balancers that take part. */
	struct endpoint *balancers;
	size_t n_balancers;
};

/** Computes a view of @manifest and @roster. */
void view_init(struct view *view, const struct manifest *manifest,
	       const struct roster *roster);

/** The same at @now_ms, with zones in the state that @orders say. */
void view_init_ordered(struct view *view, const struct manifest *manifest,
		       const struct roster *roster,
		       const struct zone_orders *orders, int64_t now_ms);
void view_finish(struct view *view);

/** The route that @key is addressed to, or NULL. */
const struct route_view *view_route(const struct view *view,
				    const struct flow_key *key);

/**
 * The service that a connection of @route with @key opens at, by the weights
 * of the route; NULL when all of them are zero.
 */
const struct service_view *view_route_service(const struct view *view,
					      const struct route_view *route,
					      const struct flow_key *key);

/** Whether the service @id stands in @route, with any weight. */
bool view_route_leads(const struct view *view, const struct route_view *route,
		      uint32_t id);

/** Whether @route may open connections at the service @id. */
bool view_route_allows(const struct view *view, const struct route_view *route,
		       uint32_t id);

/** The service that @key is addressed to, or NULL. */
const struct service_view *view_lookup(const struct view *view,
				       const struct flow_key *key);

const struct service_view *view_service(const struct view *view, uint32_t id);

/** The bucket of @key in @service. */
uint32_t view_bucket(const struct view *view,
		     const struct service_view *service,
		     const struct flow_key *key);

/** Fills the candidates of @header from @bucket's chain. */
void view_chain(const struct service_view *service, uint32_t bucket,
		struct packet_header *header);

/** Whether @header's candidates are, in order, those of @bucket's chain. */
bool view_chain_is(const struct service_view *service, uint32_t bucket,
		   const struct packet_header *header);

/**
 * Replaces the chain of @header by members of this view that the packet has
 * not met: first all that are not in the chain, later those that come behind
 * the chain's last one. Returns false when there is none. Takes time in
 * proportion to the members.
 */
bool view_resolve(const struct service_view *service,
		  struct packet_header *header);

/** The member with identifier @id, or NULL. */
const struct candidate *view_member(const struct service_view *service,
				    uint32_t id);

/** Whether the manifest of this view knows @zone and has it in service. */
bool view_zone_in(const struct view *view, const struct name *zone);

/** What the orders on zones of this view mean for @zone. */
enum zone_order_state view_zone_order(const struct view *view,
				      const struct name *zone);

/** All members that a search may ask, those ordered out included. */
size_t view_searched(const struct service_view *service);

/** Whether members of any service are left out because of their zone. */
bool view_hides_members(const struct view *view);

/** The identifier of the member called @name in packet headers. */
uint32_t member_id(const struct name *name);

#endif
