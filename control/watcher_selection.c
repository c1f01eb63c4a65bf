#include "tarragonflow/control/watcher_selection.h"

#include <xxhash.h>

static uint64_t watcher_score(const struct name *name)
{
	return XXH3_64bits(name->data, name->len);
}

static bool is_eligible(const struct member *member, const struct name *zone)
{
	return (member->state == MEMBER_ACTIVE ||
		member->state == MEMBER_DRAINING) &&
	       name_equal(&member->zone, zone);
}

bool watcher_is_selected(const struct roster *roster, const struct name *name,
			 const struct name *zone)
{
	uint64_t own_score = watcher_score(name);
	unsigned int n_higher_ranked = 0;

	for (size_t i = 0; i < roster->n; i++) {
		const struct member *member = &roster->members[i];

		if (is_eligible(member, zone) &&
		    watcher_score(&member->name) > own_score &&
		    ++n_higher_ranked == WATCHERS_PER_ZONE)
			return false;
	}
	return true;
}
