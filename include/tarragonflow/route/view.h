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
 * The members of a service and the chains of its buckets.
 *
 * Connections hash to buckets. A bucket's chain is its list of candidate
 * members in weighted rendezvous order (highest random weight) of their names,
 * at most CHAIN_MAX. Processes with different rosters always agree on the
 * relative order of the members that both rosters contain.
 */
struct service_view {
	struct service service;
	/**
	 * The manifest doesn't contain the service any more, but agents still
	 * belong to it. It gets no new connections; its members are searched
	 * for open ones. Of `service`, only name and id are set.
	 */
	bool retired;
	/**
	 * First the n_members that chains are made of, then the n_search_only
	 * whose zone is out of service by an operator's order that has passed
	 * its grace period (ZONE_ORDER_CUT). The latter are in no chain, but a
	 * search for a connection's owner includes them.
	 */
	struct candidate *members;
	/** Zone of each member. */
	struct name *zones;
	/** Weight of each member in the rendezvous order. */
	uint32_t *weights;
	/** Requests that each member's server runs concurrently, at least 1.
	 */
	uint32_t *slots;
	size_t n_members, n_search_only;
	/** Members that have not left but are not in the view, because their
	 * zone is out of service by the manifest. */
	size_t n_excluded;
	/**
	 * A power of two, determined by the manifest and not by the number of
	 * members, because a change of the number of buckets reorders every
	 * chain.
	 */
	uint32_t n_buckets;
	/** Length of every chain: min(n_members, CHAIN_MAX). */
	uint8_t chain_len;
	/** The chains: n_buckets rows of chain_len indices into members. A row
	 * is computed on first use. */
	uint16_t *chains;
};

/** A service that gets connections of a route. */
struct backend_view {
	/** Index into the services of the view. */
	uint32_t service;
	/** Weight of the service for new connections; 0: gets none. */
	uint32_t weight;
};

/** An address and port that callers connect to. */
struct route_view {
	struct ip_addr address;
	uint16_t port;
	/** One of enum route_kind. */
	uint8_t kind;
	/** 0 is the most urgent. */
	uint16_t priority;
	/** Response time objective and request timeout of the manifest, ms; 0:
	 * not set. */
	uint32_t objective_ms, timeout_ms;
	struct backend_view backends[ROUTE_BACKENDS_MAX];
	uint8_t n_backends;
	/** Sum of the weights of the backends. */
	uint32_t total_weight;
};

/** Maximum number of load reports that an agent sends per second: sending them
 * takes some 1% of a small VM's core. */
#define VIEW_LOAD_REPORTS_PER_S 500

/** Number of agents of the same service to which an agent reports a change of
 * its load. */
#define VIEW_LOAD_REPORT_PEERS 8

/** Shortest interval between load reports, ms: about the duration of one
 * request; more frequent reports would not improve load balancing. */
#define VIEW_LOAD_REPORT_MIN_MS 40

/**
 * A snapshot of configuration and roster for the packet path. The control
 * thread computes it when either changes and passes it as a whole to the packet
 * thread, which alone uses it; only chains are filled in later.
 */
struct view {
	int64_t config_revision;
	/**
	 * Equal in two views whose rosters have the same agents that have not
	 * left. Views that differ may each lack the owner of a connection.
	 */
	uint64_t agents_digest;
	/** Seed of the bucket hash. */
	uint64_t seed;
	/** First the n_configured services of the manifest, in its order, then
	 * the retired ones by ascending id. */
	struct service_view *services;
	size_t n_configured, n_services;
	/** Routes of the manifest, plus one per service with its own address.
	 */
	struct route_view *routes;
	size_t n_routes;
	/** Open-addressing hash table: address and port to index of the route.
	 */
	uint32_t *route_index;
	uint32_t route_index_mask;
	/** Zones that are in service by the manifest. */
	struct name *zones_in_service;
	size_t n_zones_in_service;
	/** The manifest lists no zones, so all are in service by it. */
	bool all_zones_in_service;
	/** Operators' orders on zones. They can take zones out of service, but
	 * not return zones to service that are out of service by the manifest.
	 */
	struct zone_orders orders;
	/** When the view was computed, ms. */
	int64_t computed_ms;
	/** The roster contains all members except those that just joined. */
	bool roster_complete;
	/** Shortest interval between load reports of an agent to the balancers
	 * and VIEW_LOAD_REPORT_PEERS agents, used while its load changes, ms.
	 */
	int64_t load_report_interval_ms;
	/** Interval between load reports to the same processes while the load
	 * does not change, ms: they show that the agent is up. */
	int64_t heartbeat_interval_ms;
	/** Interval between load reports to each of the other agents, ms. */
	int64_t peer_heartbeat_interval_ms;
	/** Data addresses of the balancers that have not left. */
	struct endpoint *balancers;
	size_t n_balancers;
};

/** Computes a view from @manifest and @roster, without orders on zones. */
void view_init(struct view *view, const struct manifest *manifest,
	       const struct roster *roster);

/** Computes a view with the state of the operators' orders at @now_ms. */
void view_init_with_orders(struct view *view, const struct manifest *manifest,
			   const struct roster *roster,
			   const struct zone_orders *orders, int64_t now_ms);
void view_finish(struct view *view);

/** The route for the destination address and port of @key, or NULL. */
const struct route_view *view_find_route(const struct view *view,
					 const struct flow_key *key);

/**
 * The service that gets a new connection with @key, selected from the backends
 * of @route by weight and hash; NULL when all weights are zero.
 */
const struct service_view *view_select_service(const struct view *view,
					       const struct route_view *route,
					       const struct flow_key *key);

/** Whether the service @id is a backend of @route, with any weight. */
bool view_route_has_service(const struct view *view,
			    const struct route_view *route, uint32_t id);

/** Whether the service @id is a backend of @route with non-zero weight. */
bool view_route_has_weighted_service(const struct view *view,
				     const struct route_view *route,
				     uint32_t id);

/** Finds the route of @key and selects the service, or NULL. */
const struct service_view *view_lookup_service(const struct view *view,
					       const struct flow_key *key);

/** The service with identifier @id, or NULL. */
const struct service_view *view_find_service(const struct view *view,
					     uint32_t id);

/** The bucket of @key in @service. */
uint32_t view_bucket_of(const struct view *view,
			const struct service_view *service,
			const struct flow_key *key);

/** Fills the candidates of @header from @bucket's chain. */
void view_fill_chain(const struct service_view *service, uint32_t bucket,
		     struct packet_header *header);

/** Whether the candidates of @header equal @bucket's chain, in order. */
bool view_chain_matches(const struct service_view *service, uint32_t bucket,
			const struct packet_header *header);

/**
 * Replaces the chain of @header by the next CHAIN_MAX members of this view
 * that the packet has not visited. The first call considers all members that
 * are not in the chain; later calls continue in rendezvous order after the
 * last member of the chain. Returns false when no member is left. Takes O(n)
 * time in the number of members.
 */
bool view_resolve_chain(const struct service_view *service,
			struct packet_header *header);

/** The member with identifier @id, or NULL. */
const struct candidate *view_find_member(const struct service_view *service,
					 uint32_t id);

/** Requests that the server of the member @id runs concurrently; a default for
 * an unknown member. */
uint32_t view_member_slots(const struct service_view *service, uint32_t id);

/** Whether @zone is in service by the manifest and by the operators' orders. */
bool view_zone_in_service(const struct view *view, const struct name *zone);

/** State of @zone under the operators' orders when the view was computed. */
enum zone_order_state view_zone_order_state(const struct view *view,
					    const struct name *zone);

/** Number of members in a search: n_members + n_search_only. */
size_t view_searchable_count(const struct service_view *service);

/** Whether any service has members whose zone is out of service by the manifest
 * (n_excluded). */
bool view_excludes_members(const struct view *view);

/** The identifier in packet headers of the member with name @name. */
uint32_t member_id(const struct name *name);

#endif
