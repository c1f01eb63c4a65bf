#include "tarragonflow/control/anti_entropy.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define HASH_BITS 64
#define HALF_BYTE_BITS 4

static uint64_t name_hash(const struct name *name)
{
	return XXH3_64bits(name->data, name->len);
}

static bool prefix_matches(const struct roster_digest *digest, uint64_t hash)
{
	uint32_t prefix_bits = digest->depth * HALF_BYTE_BITS;

	return !prefix_bits ||
	       !((hash ^ digest->prefix) >> (HASH_BITS - prefix_bits));
}

/* Bit position of the half-byte that follows the prefix. */
static uint32_t child_shift(const struct roster_digest *digest)
{
	return (DIGEST_DEPTH_MAX - 1 - digest->depth) % DIGEST_DEPTH_MAX *
	       HALF_BYTE_BITS;
}

/* The half-byte of @hash that follows the prefix. */
static uint32_t child_index(const struct roster_digest *digest, uint64_t hash)
{
	return hash >> child_shift(digest) & (DIGEST_FANOUT - 1);
}

static uint32_t entry_checksum(const struct member *member, uint64_t hash)
{
	uint64_t hashed_fields[4] = {hash, member->instance, member->sequence,
				     member->state};

	return (uint32_t)XXH3_64bits(hashed_fields, sizeof(hashed_fields));
}

/* Computes the checksum and the number of entries of each child. */
static void compute_children(struct roster_digest *digest,
			     const struct roster *roster, size_t *entry_counts)
{
	memset(digest->checksums, 0, sizeof(digest->checksums));
	for (size_t i = 0; i < roster->n; i++) {
		const struct member *member = &roster->members[i];
		uint64_t hash = name_hash(&member->name);
		uint32_t child;

		if (!prefix_matches(digest, hash))
			continue;
		child = child_index(digest, hash);
		digest->checksums[child] ^= entry_checksum(member, hash);
		entry_counts[child]++;
	}
}

void digest_compute(struct roster_digest *digest, const struct roster *roster)
{
	size_t entry_counts[DIGEST_FANOUT] = {0};

	compute_children(digest, roster, entry_counts);
}

bool digest_covers(const struct roster_digest *digest, const struct name *name)
{
	uint64_t hash = name_hash(name);

	return prefix_matches(digest, hash) &&
	       digest->mask >> child_index(digest, hash) & 1;
}

static void send_child_digest(const struct roster *roster,
			      const struct roster_digest *digest,
			      uint32_t child,
			      struct anti_entropy_callbacks *callbacks)
{
	struct roster_digest part = {.depth = digest->depth + 1};

	part.prefix = digest->prefix | (uint64_t)child << child_shift(digest);
	digest_compute(&part, roster);
	callbacks->send_digest(callbacks, &part);
}

void anti_entropy_compare(const struct roster *roster,
			  const struct roster_digest *remote,
			  struct anti_entropy_callbacks *callbacks)
{
	struct roster_digest local = *remote;
	size_t entry_counts[DIGEST_FANOUT] = {0};
	size_t n_grouped = 0;
	int n_messages = 0;

	compute_children(&local, roster, entry_counts);
	local.mask = 0;
	for (uint32_t i = 0;
	     i < DIGEST_FANOUT && n_messages < EXCHANGE_MESSAGES_MAX; i++) {
		if (local.checksums[i] == remote->checksums[i])
			continue;
		if (entry_counts[i] > EXCHANGE_MEMBERS_MAX &&
		    local.depth + 1 < DIGEST_DEPTH_MAX) {
			send_child_digest(roster, &local, i, callbacks);
			n_messages++;
			continue;
		}
		if (local.mask &&
		    n_grouped + entry_counts[i] > EXCHANGE_MEMBERS_MAX) {
			callbacks->send_exchange(callbacks, &local);
			n_messages++;
			local.mask = 0;
			n_grouped = 0;
		}
		local.mask |= 1U << i;
		n_grouped += entry_counts[i];
	}
	if (local.mask && n_messages < EXCHANGE_MESSAGES_MAX)
		callbacks->send_exchange(callbacks, &local);
}

static const struct message_entry *find_entry(const struct message *exchange,
					      const struct name *name)
{
	for (size_t i = 0; i < exchange->n_members; i++)
		if (name_equal(&exchange->members[i].member.name, name))
			return &exchange->members[i];
	return NULL;
}

size_t anti_entropy_newer_entries(const struct roster *roster,
				  const struct message *exchange, size_t start,
				  const struct member **members, size_t max)
{
	size_t n = 0;

	for (size_t i = 0; i < roster->n && n < max; i++) {
		const struct member *member =
			&roster->members[(start + i) % roster->n];
		const struct message_entry *entry;

		if (!digest_covers(&exchange->digest, &member->name))
			continue;
		entry = find_entry(exchange, &member->name);
		if (!entry || member_is_newer(member, &entry->member))
			members[n++] = member;
	}
	return n;
}

size_t anti_entropy_entries(const struct roster *roster,
			    const struct roster_digest *digest,
			    const struct member **members, size_t max)
{
	size_t n = 0;

	for (size_t i = 0; i < roster->n && n < max; i++)
		if (digest_covers(digest, &roster->members[i].name))
			members[n++] = &roster->members[i];
	return n;
}
