#include "tarragonflow/net/packet.h"

#include <string.h>

#define MAGIC 0x5446
#define VERSION 1
#define FIXED_BYTES 32
#define CANDIDATE_BYTES 12
#define FLAG_BITS 2
#define FLAG_MASK 0x3
#define CHECK_MASK 0x3fff

static uint8_t *put(uint8_t *p, uint64_t v, int bytes)
{
	for (int i = bytes - 1; i >= 0; i--)
		*p++ = (uint8_t)(v >> (8 * i));
	return p;
}

static uint64_t get(const uint8_t **p, int bytes)
{
	uint64_t v = 0;

	for (int i = 0; i < bytes; i++)
		v = v << 8 | *(*p)++;
	return v;
}

size_t packet_header_encode(const struct packet_header *header, uint8_t *out)
{
	uint8_t *p = out;

	p = put(p, MAGIC, 2);
	p = put(p, VERSION, 1);
	p = put(p, header->hops_left, 1);
	p = put(p, header->service_id, 4);
	p = put(p, header->config_revision, 8);
	p = put(p, header->roster_version, 8);
	p = put(p, header->position, 1);
	p = put(p, header->n_candidates, 1);
	p = put(p, 0, 2);
	p = put(p, header->bucket, 4);
	for (int i = 0; i < header->n_candidates; i++) {
		const struct candidate *candidate = &header->candidates[i];

		p = put(p, candidate->data.ip, 4);
		p = put(p, candidate->data.port, 2);
		p = put(p,
			(uint64_t)candidate->instance_check << FLAG_BITS |
				(candidate->flags & FLAG_MASK),
			2);
		p = put(p, candidate->member_id, 4);
	}
	return (size_t)(p - out);
}

static void decode_candidate(struct candidate *candidate, const uint8_t **p)
{
	uint16_t bits;

	candidate->data.ip = (uint32_t)get(p, 4);
	candidate->data.port = (uint16_t)get(p, 2);
	bits = (uint16_t)get(p, 2);
	candidate->instance_check = bits >> FLAG_BITS;
	candidate->flags = bits & FLAG_MASK;
	candidate->member_id = (uint32_t)get(p, 4);
}

size_t packet_header_decode(struct packet_header *header, const uint8_t *data,
			    size_t len)
{
	const uint8_t *p = data;

	if (len < FIXED_BYTES || get(&p, 2) != MAGIC || get(&p, 1) != VERSION)
		return 0;
	header->hops_left = (uint8_t)get(&p, 1);
	header->service_id = (uint32_t)get(&p, 4);
	header->config_revision = get(&p, 8);
	header->roster_version = get(&p, 8);
	header->position = (uint8_t)get(&p, 1);
	header->n_candidates = (uint8_t)get(&p, 1);
	if (get(&p, 2))
		return 0;
	header->bucket = (uint32_t)get(&p, 4);
	if (!header->n_candidates || header->n_candidates > CHAIN_MAX ||
	    header->position >= header->n_candidates ||
	    len < FIXED_BYTES + (size_t)header->n_candidates * CANDIDATE_BYTES)
		return 0;
	for (int i = 0; i < header->n_candidates; i++)
		decode_candidate(&header->candidates[i], &p);
	return (size_t)(p - data);
}

uint16_t packet_instance_check(uint64_t instance)
{
	uint64_t folded = instance * 0x9e3779b97f4a7c15ULL;

	return (uint16_t)(folded >> 50) & CHECK_MASK;
}
