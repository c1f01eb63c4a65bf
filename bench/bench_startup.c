#include <glib.h>
#include <stdio.h>

#include "bench.h"
#include "bench_fixture.h"

/*
 * Time and memory to take a manifest and a roster into a view, at four
 * sizes. Services grow together with their members, 130,000 targets to
 * 56,000 addresses as at the target size.
 */
#define TARGETS_PER_SERVICE 2

static void make_text(struct strbuf *text, unsigned int services)
{
	strbuf_addf(text, "{\"deployment\":\"bench\",\"release\":1,"
			  "\"zones\":[{\"name\":\"z\"}],\"services\":[");
	for (unsigned int i = 0; i < services; i++)
		strbuf_addf(text,
			    "%s{\"name\":\"s%u\",\"address\":\"10.%u.%u.%u\","
			    "\"port\":80}",
			    i ? "," : "", i, i >> 16, (i >> 8) & 0xff,
			    i & 0xff);
	strbuf_addf(text, "]}");
}

static void fill_roster(struct roster *roster, unsigned int services)
{
	struct member member = {.role = MEMBER_AGENT,
				.state = MEMBER_ACTIVE,
				.connections = 2000};
	char name[32];

	name_set(&member.zone, str_from("z"));
	for (unsigned int i = 0; i < services * TARGETS_PER_SERVICE; i++) {
		/* In order of name, so that filling costs no moves. */
		snprintf(name, sizeof(name), "m%07u", i);
		name_set(&member.name, str_from(name));
		snprintf(name, sizeof(name), "s%u", i / TARGETS_PER_SERVICE);
		name_set(&member.service, str_from(name));
		roster_merge(roster, &member, 0);
	}
}

static void bench_size(struct bench *bench, unsigned int services)
{
	size_t before = bench_heap_bytes();
	struct manifest manifest;
	struct status status;
	struct roster roster;
	struct strbuf text;
	struct view view;
	int64_t start;
	char name[64];

	status_init(&status);
	strbuf_init(&text);
	manifest_init(&manifest);
	roster_init(&roster);
	make_text(&text, services);
	snprintf(name, sizeof(name), "manifest_bytes_%u", services);
	bench_figure(bench, BENCH_DECISION, name, (double)text.len, "B",
		     BENCH_REPORT, 0);
	start = bench_now_ns();
	if (manifest_parse(&manifest, strbuf_str(&text), "bench", &status) !=
	    STATUS_OK)
		bench->failed++;
	snprintf(name, sizeof(name), "manifest_parse_ms_%u", services);
	bench_figure(bench, BENCH_TIMING, name,
		     (double)(bench_now_ns() - start) / 1e6, "ms", BENCH_REPORT,
		     0);
	fill_roster(&roster, services);
	start = bench_now_ns();
	view_init(&view, &manifest, &roster);
	snprintf(name, sizeof(name), "view_build_ms_%u", services);
	bench_figure(bench, BENCH_TIMING, name,
		     (double)(bench_now_ns() - start) / 1e6, "ms", BENCH_REPORT,
		     0);
	snprintf(name, sizeof(name), "control_state_mib_%u", services);
	bench_figure(bench, BENCH_DECISION, name,
		     (double)(bench_heap_bytes() - before - text.cap) / 1048576,
		     "MiB", BENCH_REPORT, 0);
	view_finish(&view);
	roster_finish(&roster);
	manifest_finish(&manifest);
	strbuf_finish(&text);
}

static void run(struct bench *bench)
{
	static const unsigned int sizes[] = {500, 1000, 2000, 4000};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		bench_size(bench, sizes[i]);
}

const struct bench_group bench_startup = {"startup", run};
