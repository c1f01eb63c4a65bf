#include "bench_fixture.h"

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LOOPBACK 0x7f000000u
#define SECOND_OCTET_FIRST 64
#define SECOND_OCTETS 60

void bench_make_view(struct view *view, uint64_t n_servers,
		     const struct endpoint *data)
{
	static const char manifest_text[] =
		"{\"deployment\":\"bench\",\"release\":1,"
		"\"zones\":[{\"name\":\"z\"}],\"services\":[{\"name\":"
		"\"orders\",\"address\":\"10.77.0.10\",\"port\":80}]}";
	struct manifest manifest;
	struct roster roster;
	struct member member;
	struct status status;
	char name[32];

	memset(&member, 0, sizeof(member));
	status_init(&status);
	manifest_init(&manifest);
	roster_init(&roster);
	manifest_parse(&manifest, str_from(manifest_text), "bench", &status);
	name_set(&member.zone, str_from("z"));
	name_set(&member.service, str_from("orders"));
	member.role = MEMBER_AGENT;
	member.state = MEMBER_ACTIVE;
	member.connections = 2000;
	member.data = *data;
	for (uint64_t i = 1; i <= n_servers; i++) {
		snprintf(name, sizeof(name), "orders-%llu",
			 (unsigned long long)i);
		name_set(&member.name, str_from(name));
		roster_merge(&roster, &member, 0);
	}
	view_init(view, &manifest, &roster);
	roster_finish(&roster);
	manifest_finish(&manifest);
}

size_t bench_make_packets(uint8_t (*packets)[BENCH_PACKET_CAP], size_t n,
			  uint64_t seed)
{
	static const uint8_t payload[BENCH_PACKET_BYTES - 40];
	GRand *rand = g_rand_new_with_seed((guint32)seed);
	struct inner_spec spec = {.flags = TCP_ACK,
				  .payload = payload,
				  .payload_len = sizeof(payload)};
	size_t len = 0;

	ip_addr_parse(&spec.key.dst, "10.77.0.10");
	spec.key.dst_port = 80;
	for (size_t i = 0; i < n; i++) {
		uint32_t ip = g_rand_int(rand);

		ip_addr_from_v4(&spec.key.src, (const uint8_t *)&ip);
		spec.key.src_port = (uint16_t)g_rand_int(rand);
		len = inner_build(&spec, packets[i], BENCH_PACKET_CAP);
	}
	g_rand_free(rand);
	return len;
}

uint32_t bench_loopback_net(void)
{
	uint32_t pid = (uint32_t)getpid();

	return LOOPBACK | (SECOND_OCTET_FIRST + pid % SECOND_OCTETS) << 16 |
	       (pid / SECOND_OCTETS % 256) << 8;
}

size_t bench_heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}
