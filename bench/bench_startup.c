#include <glib.h>
#include <stdio.h>

#include "bench.h"
#include "bench_fixture.h"

/*
 * Time and memory to build a view from a manifest and a roster, at four sizes.
 * The number of members grows with the number of services, in about the ratio
 * of the target size: 130,000 backend servers at 56,000 addresses.
 */
#define MEMBERS_PER_SERVICE 2

static void make_manifest_text(struct strbuf *manifest_text,
			       unsigned int n_services)
{
	strbuf_addf(manifest_text,
		    "{\"deployment\":\"bench\",\"release\":1,"
		    "\"zones\":[{\"name\":\"z\"}],\"services\":[");
	for (unsigned int i = 0; i < n_services; i++)
		strbuf_addf(manifest_text,
			    "%s{\"name\":\"s%u\",\"address\":\"10.%u.%u.%u\","
			    "\"port\":80}",
			    i ? "," : "", i, i >> 16, (i >> 8) & 0xff,
			    i & 0xff);
	strbuf_addf(manifest_text, "]}");
}

static void fill_roster(struct roster *roster, unsigned int n_services)
{
	struct member member = {.role = MEMBER_AGENT,
				.state = MEMBER_ACTIVE,
				.connections = 2000};
	char name[32];

	name_set(&member.zone, str_from("z"));
	for (unsigned int i = 0; i < n_services * MEMBERS_PER_SERVICE; i++) {
		/* In ascending order of names, so that each is appended. */
		snprintf(name, sizeof(name), "m%07u", i);
		name_set(&member.name, str_from(name));
		snprintf(name, sizeof(name), "s%u", i / MEMBERS_PER_SERVICE);
		name_set(&member.service, str_from(name));
		roster_merge(roster, &member, 0);
	}
}

static void measure_size(struct bench *bench, unsigned int n_services)
{
	size_t heap_before = bench_heap_bytes();
	struct manifest manifest;
	struct status status;
	struct roster roster;
	struct strbuf manifest_text;
	struct view view;
	int64_t start_ns;
	char name[64];

	status_init(&status);
	strbuf_init(&manifest_text);
	manifest_init(&manifest);
	roster_init(&roster);
	make_manifest_text(&manifest_text, n_services);
	snprintf(name, sizeof(name), "manifest_bytes_%u", n_services);
	bench_figure(bench, BENCH_DECISION, name, (double)manifest_text.len,
		     "B", BENCH_REPORT, 0);
	start_ns = bench_now_ns();
	if (manifest_parse(&manifest, strbuf_str(&manifest_text), "bench",
			   &status) != STATUS_OK)
		bench->failed++;
	snprintf(name, sizeof(name), "manifest_parse_ms_%u", n_services);
	bench_figure(bench, BENCH_TIMING, name,
		     (double)(bench_now_ns() - start_ns) / 1e6, "ms",
		     BENCH_REPORT, 0);
	fill_roster(&roster, n_services);
	start_ns = bench_now_ns();
	view_init(&view, &manifest, &roster);
	snprintf(name, sizeof(name), "view_build_ms_%u", n_services);
	bench_figure(bench, BENCH_TIMING, name,
		     (double)(bench_now_ns() - start_ns) / 1e6, "ms",
		     BENCH_REPORT, 0);
	snprintf(name, sizeof(name), "control_state_mib_%u", n_services);
	bench_figure(
		bench, BENCH_DECISION, name,
		(double)(bench_heap_bytes() - heap_before - manifest_text.cap) /
			1048576,
		"MiB", BENCH_REPORT, 0);
	view_finish(&view);
	roster_finish(&roster);
	manifest_finish(&manifest);
	strbuf_finish(&manifest_text);
}

static void run(struct bench *bench)
{
	static const unsigned int service_counts[] = {500, 1000, 2000, 4000};

	for (size_t i = 0; i < G_N_ELEMENTS(service_counts); i++)
		measure_size(bench, service_counts[i]);
}

const struct bench_group bench_startup = {"startup", run};
