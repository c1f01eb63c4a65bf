#ifndef TARRAGONFLOW_ROUTE_VIEW_H
#define TARRAGONFLOW_ROUTE_VIEW_H

#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/manifest/manifest.h"
#include "tarragonflow/net/inner.h"
#include "tarragonflow/net/packet.h"
#include "tarragonflow/roster/roster.h"

/**
 * An immutable picture of configuration and roster for the packet path. It
 * is computed by the control duty when either changes and handed over whole.
 *
 * A bucket's chain is the weighted rendezvous order (highest random weight)
 * of the members' names, cut at CHAIN_MAX. Two processes with different
 * rosters never disagree on the order of the members that both know.
 */
struct service_view {
	struct service service;
	/** Members of the service that are not out of service. */
	struct candidate *members;
	/** Weight of each member in the rendezvous order. */
	uint32_t *weights;
	size_t n_members;
	/**
	 * A power of two. It comes from the manifest and not from the number
	 * of members: another number of buckets reorders every chain.
	 */
	uint32_t n_buckets;
	/** Length of every chain: min(n_members, CHAIN_MAX). */
	uint8_t chain_len;
	/** n_buckets rows of chain_len indices into members. */
	uint16_t *chains;
};

struct view {
	int64_t config_revision;
	uint64_t roster_version;
	/** Seed of the bucket hash. */
	uint64_t seed;
	struct service_view *services;
	size_t n_services;
	/** Open-addressed index of services by address and port. */
	uint32_t *index;
	uint32_t index_mask;
	/** Names of the zones that are in, for the agents' own check. */
	struct name *zones_in;
	size_t n_zones_in;
};

/** Computes a view of @manifest and @roster. */
void view_init(struct view *view, const struct manifest *manifest,
	       const struct roster *roster);
void view_finish(struct view *view);

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

/** The identifier of the member called @name in packet headers. */
uint32_t member_id(const struct name *name);

#endif
