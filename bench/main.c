#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"

/*
 * Usage: bench [GROUP...]. Runs the named groups, or all groups without
 * arguments. Also writes the figures as JSON to the file named by the
 * environment variable BENCH_JSON. Exits with 1 when a bound does not hold.
 */
static const struct bench_group *const groups[] = {
	&bench_order,	       &bench_churn,	&bench_chains,
	&bench_balance,	       &bench_admit,	&bench_route,
	&bench_packets,	       &bench_pipeline, &bench_flows,
	&bench_ring,	       &bench_startup,	&bench_release,
	&bench_membership,     &bench_platform, &bench_overload,
	&bench_overload_kinds,
};

static bool group_selected(int argc, char **argv, const char *name)
{
	for (int i = 1; i < argc; i++)
		if (!strcmp(argv[i], name))
			return true;
	return argc < 2;
}

int main(int argc, char **argv)
{
	struct bench bench = {
		.seed = bench_env("SEED", 1),
		.figures = json_array(),
	};
	const char *json_path = g_getenv("BENCH_JSON");

	for (size_t i = 0; i < G_N_ELEMENTS(groups); i++)
		if (group_selected(argc, argv, groups[i]->name))
			groups[i]->run(&bench);
	if (json_path &&
	    json_dump_file(bench.figures, json_path, JSON_INDENT(1)))
		fprintf(stderr, "cannot write %s\n", json_path);
	json_decref(bench.figures);
	return bench.failed ? 1 : 0;
}
