#include "tarragonflow/roster/roster.h"

#include <glib.h>
#include <string.h>

#define ROSTER_MIN_CAP 16

void roster_init(struct roster *roster)
{
	memset(roster, 0, sizeof(*roster));
}

void roster_finish(struct roster *roster)
{
	g_free(roster->members);
	roster_init(roster);
}

/* Index of the member @name, or the index at which to insert it. */
static size_t roster_search(const struct roster *roster,
			    const struct name *name, bool *found)
{
	size_t low = 0, high = roster->n;

	*found = false;
	while (low < high) {
		size_t mid = low + (high - low) / 2;
		int order = name_compare(&roster->members[mid].name, name);

		if (!order) {
			*found = true;
			return mid;
		}
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

struct member *roster_find(const struct roster *roster, const struct name *name)
{
	bool found;
	size_t index = roster_search(roster, name, &found);

	return found ? &roster->members[index] : NULL;
}

bool member_is_newer(const struct member *a, const struct member *b)
{
	if (a->instance != b->instance)
		return a->instance > b->instance;
	if (a->sequence != b->sequence)
		return a->sequence > b->sequence;
	/* The same announcement, with states set by failure detectors: the
	 * more severe state wins. */
	return a->state > b->state;
}

static bool equal_routing_fields(const struct member *a, const struct member *b)
{
	return a->instance == b->instance && a->state == b->state &&
	       a->role == b->role && a->connections == b->connections &&
	       a->slots == b->slots && name_equal(&a->zone, &b->zone) &&
	       name_equal(&a->service, &b->service) &&
	       endpoint_equal(&a->data, &b->data) &&
	       endpoint_equal(&a->control, &b->control);
}

static void roster_insert(struct roster *roster, size_t index,
			  const struct member *entry)
{
	if (roster->n == roster->cap) {
		roster->cap = MAX(roster->cap * 2, ROSTER_MIN_CAP);
		roster->members =
			g_renew(struct member, roster->members, roster->cap);
	}
	memmove(&roster->members[index + 1], &roster->members[index],
		(roster->n - index) * sizeof(*roster->members));
	roster->members[index] = *entry;
	roster->n++;
}

/* Within one instance the revision never decreases, whatever the sequence. */
static uint64_t merged_revision(const struct member *entry,
				const struct member *existing)
{
	if (entry->instance > existing->instance)
		return entry->config_revision;
	if (entry->instance < existing->instance)
		return existing->config_revision;
	return MAX(entry->config_revision, existing->config_revision);
}

static enum roster_change merge_revision(struct member *existing,
					 uint64_t revision)
{
	if (revision <= existing->config_revision)
		return ROSTER_UNCHANGED;
	existing->config_revision = revision;
	return ROSTER_REFRESHED;
}

enum roster_change roster_merge(struct roster *roster,
				const struct member *entry, int64_t now_ms)
{
	enum roster_change change = ROSTER_CHANGED;
	bool found;
	size_t index = roster_search(roster, &entry->name, &found);

	if (!found) {
		roster_insert(roster, index, entry);
	} else {
		uint64_t revision =
			merged_revision(entry, &roster->members[index]);

		if (!member_is_newer(entry, &roster->members[index]))
			return merge_revision(&roster->members[index],
					      revision);
		if (equal_routing_fields(entry, &roster->members[index]))
			change = ROSTER_REFRESHED;
		roster->members[index] = *entry;
		roster->members[index].config_revision = revision;
	}
	roster->members[index].updated_ms = now_ms;
	if (change == ROSTER_CHANGED)
		roster->version++;
	return change;
}

const char *member_excessive_field(const struct member *member)
{
	if (member->instance > MEMBER_INSTANCE_MAX)
		return "instance";
	if (member->sequence > MEMBER_SEQUENCE_MAX)
		return "sequence";
	if (member->connections > MEMBER_CONNECTIONS_MAX)
		return "connections";
	if (member->slots > MEMBER_SLOTS_MAX)
		return "slots";
	return NULL;
}

const char *member_state_name(enum member_state state)
{
	static const char *const names[] = {"none", "active", "suspect",
					    "draining", "left"};

	return state <= MEMBER_LEFT ? names[state] : "unknown";
}

const char *member_role_name(enum member_role role)
{
	return role == MEMBER_BALANCER ? "balancer" : "agent";
}
