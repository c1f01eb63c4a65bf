#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "bench_fixture.h"
#include "tarragonflow/route/view.h"

/*
 * Time and memory to compute a view, whose main part are the chains: for each
 * hash bucket of a service, the preferred backend servers in order. Measured at
 * four sizes each for one large service and for many services, up to the
 * addresses and servers of the target size.
 */
#define SERVERS_LARGEST 1024
#define TARGET_ADDRESSES 56000
#define TARGET_SERVERS 130000
#define BUCKETS_PER_SERVER 64
#define BUCKETS_MIN 64
#define N_SIZES 4
#define NS_PER_MS 1e6
#define BYTES_PER_MIB 1048576.0

static void make_service(struct service *service, uint32_t number,
			 uint32_t buckets)
{
	uint32_t ip = GUINT32_TO_BE(0x0a000000u + number);
	char text[32];

	memset(service, 0, sizeof(*service));
	snprintf(text, sizeof(text), "s%07u", number);
	name_set(&service->name, str_from(text));
	service->id = service_id(&service->name);
	ip_addr_from_v4(&service->address, (const uint8_t *)&ip);
	service->port = 80;
	service->buckets = buckets;
}

static void make_manifest(struct manifest *manifest, uint32_t n_services,
			  uint32_t buckets)
{
	manifest_init(manifest);
	manifest->release = 1;
	manifest->n_zones = 1;
	manifest->zones = g_new0(struct zone, 1);
	name_set(&manifest->zones[0].name, str_from("z"));
	manifest->n_services = n_services;
	manifest->services = g_new0(struct service, n_services);
	for (uint32_t i = 0; i < n_services; i++)
		make_service(&manifest->services[i], i, buckets);
}

/* Names are in ascending order, so that each member is appended. */
static void make_roster(struct roster *roster, const struct manifest *manifest,
			uint32_t n_servers)
{
	struct member member;
	char text[32];

	roster_init(roster);
	memset(&member, 0, sizeof(member));
	member.role = MEMBER_AGENT;
	member.state = MEMBER_ACTIVE;
	member.connections = 2000;
	member.zone = manifest->zones[0].name;
	for (uint32_t i = 0; i < n_servers; i++) {
		snprintf(text, sizeof(text), "m%07u", i);
		name_set(&member.name, str_from(text));
		member.service =
			manifest->services[i % manifest->n_services].name;
		member.data.ip = i + 1;
		roster_merge(roster, &member, 0);
	}
}

/* @dimension is the part of the figures' names for what grows. */
static void measure_size(struct bench *bench, const char *dimension,
			 uint32_t n_services, uint32_t n_servers,
			 uint32_t buckets)
{
	struct manifest manifest;
	struct roster roster;
	struct view view;
	char name[64];
	int64_t start_ns;
	size_t heap_before;
	double ms, mib;

	make_manifest(&manifest, n_services, buckets);
	make_roster(&roster, &manifest, n_servers);
	heap_before = bench_heap_bytes();
	start_ns = bench_now_ns();
	view_init(&view, &manifest, &roster);
	ms = (double)(bench_now_ns() - start_ns) / NS_PER_MS;
	mib = (double)(bench_heap_bytes() - heap_before) / BYTES_PER_MIB;
	snprintf(name, sizeof(name), "chains_%s_ms_%u", dimension,
		 n_services > 1 ? n_services : n_servers);
	bench_figure(bench, BENCH_TIMING, name, ms, "ms", BENCH_REPORT, 0);
	snprintf(name, sizeof(name), "chains_%s_mib_%u", dimension,
		 n_services > 1 ? n_services : n_servers);
	bench_figure(bench, BENCH_DECISION, name, mib, "MiB", BENCH_REPORT, 0);
	view_finish(&view);
	roster_finish(&roster);
	manifest_finish(&manifest);
}

static void run(struct bench *bench)
{
	for (uint32_t i = N_SIZES; i-- > 0;) {
		uint32_t servers = SERVERS_LARGEST >> i;

		measure_size(bench, "service", 1, servers,
			     MAX(servers * BUCKETS_PER_SERVER, BUCKETS_MIN));
	}
	for (uint32_t i = N_SIZES; i-- > 0;)
		measure_size(bench, "addresses", TARGET_ADDRESSES >> i,
			     TARGET_SERVERS >> i, BUCKETS_MIN * 2);
}

const struct bench_group bench_chains = {"chains", run};
