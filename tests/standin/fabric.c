#include "fabric.h"

void fabric_list_read(struct fabric_list *list)
{
	char *text = NULL;
	char **lines;

	if (!g_file_get_contents(list->path, &text, NULL, NULL))
		return;
	lines = g_strsplit(g_strchomp(text), "\n",
			   G_N_ELEMENTS(list->balancers));
	list->n_balancers = 0;
	for (int i = 0; lines[i]; i++)
		if (endpoint_parse(&list->balancers[list->n_balancers],
				   lines[i]))
			list->n_balancers++;
	g_strfreev(lines);
	g_free(text);
}

const struct endpoint *fabric_list_pick(const struct fabric_list *list,
					GRand *rand)
{
	if (!list->n_balancers)
		return NULL;
	return &list->balancers[g_rand_int_range(rand, 0, list->n_balancers)];
}
