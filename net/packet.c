#include "tarragonflow/net/packet.h"

#include <string.h>

#define HEADER_MAGIC 0x5446
#define HEADER_VERSION 3
#define HEADER_FIXED_BYTES 44
#define CANDIDATE_BYTES 12
/* Flags in the byte of the kind. */
#define PLACED_BIT 0x80
#define WARMING_BIT 0x40
#define ASKING_BIT 0x20
#define DOUBT_BIT 0x10
#define KIND_FLAGS_MASK (PLACED_BIT | WARMING_BIT | ASKING_BIT | DOUBT_BIT)
/* Shared bytes: position and n_candidates; resolves and services_tried. */
#define NIBBLE_BITS 4
#define NIBBLE_MASK 0xf
/* A candidate's flags share 16 bits with its instance check. */
#define CANDIDATE_FLAG_BITS 2
#define CANDIDATE_FLAG_MASK 0x3
#define INSTANCE_CHECK_MASK 0x3fff

static uint8_t *put_u16(uint8_t *p, uint16_t v)
{
	v = __builtin_bswap16(v);
	memcpy(p, &v, sizeof(v));
	return p + sizeof(v);
}

static uint8_t *put_u32(uint8_t *p, uint32_t v)
{
	v = __builtin_bswap32(v);
	memcpy(p, &v, sizeof(v));
	return p + sizeof(v);
}

static uint8_t *put_u64(uint8_t *p, uint64_t v)
{
	v = __builtin_bswap64(v);
	memcpy(p, &v, sizeof(v));
	return p + sizeof(v);
}

static uint16_t get_u16(const uint8_t **p)
{
	uint16_t v;

	memcpy(&v, *p, sizeof(v));
	*p += sizeof(v);
	return __builtin_bswap16(v);
}

static uint32_t get_u32(const uint8_t **p)
{
	uint32_t v;

	memcpy(&v, *p, sizeof(v));
	*p += sizeof(v);
	return __builtin_bswap32(v);
}

static uint64_t get_u64(const uint8_t **p)
{
	uint64_t v;

	memcpy(&v, *p, sizeof(v));
	*p += sizeof(v);
	return __builtin_bswap64(v);
}

size_t packet_header_encode(const struct packet_header *header, uint8_t *out)
{
	uint8_t *p = out;

	p = put_u16(p, HEADER_MAGIC);
	*p++ = HEADER_VERSION;
	*p++ = header->hops_left;
	p = put_u32(p, header->service_id);
	p = put_u64(p, header->config_revision);
	p = put_u64(p, header->agents_digest);
	*p++ = (uint8_t)(header->position << NIBBLE_BITS |
			 header->n_candidates);
	*p++ = header->unsure;
	*p++ = (uint8_t)(header->kind | (header->placed ? PLACED_BIT : 0) |
			 (header->warming ? WARMING_BIT : 0) |
			 (header->asking ? ASKING_BIT : 0) |
			 (header->doubt ? DOUBT_BIT : 0));
	*p++ = header->visited;
	p = put_u32(p, header->bucket);
	*p++ = header->from;
	*p++ = (uint8_t)(header->resolves << NIBBLE_BITS |
			 (header->services_tried & NIBBLE_MASK));
	p = put_u16(p, header->load);
	p = put_u16(p, header->usual_ms);
	p = put_u32(p, header->origin.ip);
	p = put_u16(p, header->origin.port);
	for (int i = 0; i < header->n_candidates; i++) {
		const struct candidate *candidate = &header->candidates[i];
		uint16_t check_and_flags =
			(uint16_t)(candidate->instance_check
					   << CANDIDATE_FLAG_BITS |
				   (candidate->flags & CANDIDATE_FLAG_MASK));

		p = put_u32(p, candidate->data.ip);
		p = put_u16(p, candidate->data.port);
		p = put_u16(p, check_and_flags);
		p = put_u32(p, candidate->member_id);
	}
	return (size_t)(p - out);
}

static void decode_candidate(struct candidate *candidate, const uint8_t **p)
{
	uint16_t check_and_flags;

	candidate->data.ip = get_u32(p);
	candidate->data.port = get_u16(p);
	check_and_flags = get_u16(p);
	candidate->instance_check = check_and_flags >> CANDIDATE_FLAG_BITS;
	candidate->flags = check_and_flags & CANDIDATE_FLAG_MASK;
	candidate->member_id = get_u32(p);
}

size_t packet_header_decode(struct packet_header *header, const uint8_t *data,
			    size_t len)
{
	const uint8_t *p = data;
	uint8_t kind;

	if (len < HEADER_FIXED_BYTES || get_u16(&p) != HEADER_MAGIC ||
	    *p++ != HEADER_VERSION)
		return 0;
	header->hops_left = *p++;
	header->service_id = get_u32(&p);
	header->config_revision = get_u64(&p);
	header->agents_digest = get_u64(&p);
	header->position = *p >> NIBBLE_BITS;
	header->n_candidates = *p++ & NIBBLE_MASK;
	header->unsure = *p++;
	kind = *p++;
	header->placed = kind & PLACED_BIT;
	header->warming = kind & WARMING_BIT;
	header->asking = kind & ASKING_BIT;
	header->doubt = kind & DOUBT_BIT;
	header->kind = kind & (uint8_t)~KIND_FLAGS_MASK;
	header->visited = *p++;
	header->bucket = get_u32(&p);
	header->from = *p++;
	header->resolves = *p >> NIBBLE_BITS;
	header->services_tried = *p++ & NIBBLE_MASK;
	header->load = get_u16(&p);
	header->usual_ms = get_u16(&p);
	header->origin.ip = get_u32(&p);
	header->origin.port = get_u16(&p);
	if (header->kind > PACKET_PROBE || !header->n_candidates ||
	    header->n_candidates > CHAIN_MAX ||
	    header->position >= header->n_candidates ||
	    len < HEADER_FIXED_BYTES +
			    (size_t)header->n_candidates * CANDIDATE_BYTES)
		return 0;
	for (int i = 0; i < header->n_candidates; i++)
		decode_candidate(&header->candidates[i], &p);
	return (size_t)(p - data);
}

uint16_t packet_instance_check(uint64_t instance)
{
	uint64_t hash = instance * 0x9e3779b97f4a7c15ULL;

	return (uint16_t)(hash >> 50) & INSTANCE_CHECK_MASK;
}
