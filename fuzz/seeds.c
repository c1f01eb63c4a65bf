#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#include "tarragonflow/control/auth.h"
#include "tarragonflow/control/message.h"
#include "tarragonflow/net/inner.h"
#include "tarragonflow/net/packet.h"

/*
 * Writes valid inputs for the targets with binary formats, each into a folder
 * of its own below the folder argv[1].
 */

#define PATH_BYTES 512

static const char *corpus_folder;

static void write_seed(const char *target, const char *name, const void *data,
		       size_t len)
{
	char path[PATH_BYTES];
	FILE *file;

	snprintf(path, sizeof(path), "%s/%s", corpus_folder, target);
	mkdir(path, 0777);
	snprintf(path, sizeof(path), "%s/%s/%s", corpus_folder, target, name);
	file = fopen(path, "w");
	if (!file)
		return;
	fwrite(data, 1, len, file);
	fclose(file);
}

static void write_packet_header(void)
{
	struct packet_header header = {.service_id = 7,
				       .config_revision = 1,
				       .hops_left = PACKET_HOP_BUDGET,
				       .from = PACKET_FROM_OUTSIDE,
				       .n_candidates = CHAIN_MAX};
	uint8_t wire[PACKET_HEADER_MAX];

	write_seed("packet_header", "whole", wire,
		   packet_header_encode(&header, wire));
}

static void write_inner_packet(const char *name, const char *src,
			       const char *dst)
{
	struct inner_spec spec = {
		.flags = TCP_SYN, .payload = "hello", .payload_len = 5};
	uint8_t segment[128];

	ip_addr_parse(&spec.key.src, src);
	ip_addr_parse(&spec.key.dst, dst);
	spec.key.src_port = 1;
	spec.key.dst_port = 80;
	write_seed("inner_packet", name, segment,
		   inner_build(&spec, segment, sizeof(segment)));
}

/* Records of a packet from a peer to an agent and of one from a caller. */
static void write_agent_records(void)
{
	struct packet_header header = {.service_id = 7,
				       .config_revision = 1,
				       .hops_left = PACKET_HOP_BUDGET,
				       .from = PACKET_FROM_OUTSIDE,
				       .n_candidates = 2};
	uint8_t record[2 + UINT8_MAX] = {0};
	/* A SYN from 100.64.0.7:40001 to 198.18.0.1:443, platform format. */
	static const uint8_t inner[] = {
		0x07, 0x00, 0x40, 0x64, 0xbb, 0x01, 0x41, 0x9c,
		0x01, 0x00, 0x12, 0xc6, 0xd5, 0xc3, 0xb2, 0xa1,
		0x80, 0x00, 0x00, 0x44, 0x33, 0x22, 0x11, 0x00,
		0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
	};
	size_t len;

	len = packet_header_encode(&header, record + 2);
	memcpy(record + 2 + len, inner, sizeof(inner));
	record[1] = (uint8_t)(len + sizeof(inner));
	write_seed("agent", "peer", record, 2 + record[1]);
	record[0] = 2;
	record[1] = sizeof(inner);
	memcpy(record + 2, inner, sizeof(inner));
	write_seed("agent", "caller", record, 2 + record[1]);
}

static void write_control_message(enum message_kind kind, const char *name)
{
	static struct message message;
	const struct endpoint to = {0x7f000001, 4702};
	struct keyring keyring;
	struct strbuf body, out;

	memset(&message, 0, sizeof(message));
	message.kind = kind;
	name_set(&message.from.member.name, str_from("orders-1"));
	name_set(&message.from.member.zone, str_from("tas-a"));
	message.from.member.role = MEMBER_AGENT;
	message.from.member.state = MEMBER_ACTIVE;
	message.members[0] = message.from;
	message.n_members = 1;
	keyring_init(&keyring);
	strbuf_init(&body);
	strbuf_init(&out);
	message_encode(&message, &body);
	auth_seal(&keyring, &to, strbuf_str(&body), &out);
	write_seed("control_message", name, out.data, out.len);
	strbuf_finish(&body);
	strbuf_finish(&out);
}

int main(int argc, char **argv)
{
	if (argc != 2) {
		fprintf(stderr, "usage: seeds FOLDER\n");
		return 2;
	}
	corpus_folder = argv[1];
	mkdir(corpus_folder, 0777);
	write_packet_header();
	write_inner_packet("ipv4", "10.0.0.1", "10.0.0.2");
	write_inner_packet("ipv6", "fd00::1", "fd00::2");
	write_agent_records();
	write_control_message(MESSAGE_GOSSIP, "gossip");
	write_control_message(MESSAGE_PING, "ping");
	write_control_message(MESSAGE_DIGEST, "digest");
	return 0;
}
