#include "fabric.h"

void fabric_list_read(struct fabric_list *list)
{
	char *text = NULL;
	char **lines;

	if (!g_file_get_contents(list->path, &text, NULL, NULL))
		return;
	lines = g_strsplit(g_strchomp(text), "\n",
			   G_N_ELEMENTS(list->balancers));
	list->n = 0;
	for (int i = 0; lines[i]; i++)
		if (endpoint_parse(&list->balancers[list->n], lines[i]))
			list->n++;
	g_strfreev(lines);
	g_free(text);
}

const struct endpoint *fabric_list_pick(const struct fabric_list *list,
					GRand *rand)
{
	if (!list->n)
		return NULL;
	return &list->balancers[g_rand_int_range(rand, 0, list->n)];
}
