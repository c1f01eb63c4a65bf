#include "tarragonflow/order/homes.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>
#include <xxhash.h>

void order_key_init(struct order_key *key, const struct name *service,
		    struct str text)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, sizeof(*key));
	crypto_generichash_update(&state, (const uint8_t *)service,
				  sizeof(*service));
	crypto_generichash_update(&state, (const uint8_t *)text.data, text.len);
	crypto_generichash_final(&state, (uint8_t *)key, sizeof(*key));
}

bool order_key_equal(const struct order_key *a, const struct order_key *b)
{
	return a->hi == b->hi && a->lo == b->lo;
}

int home_list_find(const struct home_list *list, const struct name *name)
{
	for (size_t i = 0; i < list->n; i++)
		if (name_equal(&list->names[i], name))
			return (int)i;
	return -1;
}

bool home_list_add(struct home_list *list, const struct name *name)
{
	if (list->n == HOMES_MAX || home_list_find(list, name) >= 0)
		return false;
	list->names[list->n++] = *name;
	list->epoch++;
	return true;
}

bool home_list_remove(struct home_list *list, const struct name *name)
{
	int index = home_list_find(list, name);

	if (index < 0)
		return false;
	list->names[index] = list->names[--list->n];
	list->epoch++;
	return true;
}

/* The name of @longer that @shorter lacks; NULL unless exactly one. */
static const struct name *extra_name(const struct home_list *longer,
				     const struct home_list *shorter)
{
	const struct name *extra = NULL;

	for (size_t i = 0; i < longer->n; i++) {
		if (home_list_find(shorter, &longer->names[i]) >= 0)
			continue;
		if (extra)
			return NULL;
		extra = &longer->names[i];
	}
	return extra;
}

bool home_list_follows(const struct home_list *list,
		       const struct home_list *next, struct name *changed,
		       bool *added)
{
	const struct name *extra;

	if (next->epoch != list->epoch + 1)
		return false;
	*added = next->n == list->n + 1;
	if (!*added && next->n + 1 != list->n)
		return false;
	extra = *added ? extra_name(next, list) : extra_name(list, next);
	if (extra)
		*changed = *extra;
	return extra;
}

void home_list_select_pair(const struct home_list *list,
			   const struct order_key *key, struct home_pair *pair)
{
	uint64_t best_scores[HOMES_PER_KEY] = {0, 0};

	pair->n = MIN(list->n, (size_t)HOMES_PER_KEY);
	memset(pair->index, 0, sizeof(pair->index));
	for (size_t i = 0; i < list->n; i++) {
		const struct name *name = &list->names[i];
		uint64_t score = XXH3_64bits_withSeed(name->data, name->len,
						      key->hi ^ key->lo);

		/* 0 in best_scores marks an unused entry. */
		score = MAX(score, (uint64_t)1);
		if (score > best_scores[0]) {
			best_scores[1] = best_scores[0];
			pair->index[1] = pair->index[0];
			best_scores[0] = score;
			pair->index[0] = i;
		} else if (score > best_scores[1]) {
			best_scores[1] = score;
			pair->index[1] = i;
		}
	}
}
