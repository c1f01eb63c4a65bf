#include "tarragonflow/flow/server_queries.h"

#define SERVER_QUERIES_SEED 0x7175657279ULL

static uint64_t nonzero_packet_hash(const struct inner_packet *packet)
{
	uint64_t hash =
		flow_key_hash(&packet->key, SERVER_QUERIES_SEED ^ packet->seq);

	return hash ? hash : 1;
}

void server_queries_add(struct server_queries *queries,
			const struct inner_packet *packet,
			const struct packet_header *header)
{
	uint64_t hash = nonzero_packet_hash(packet);
	struct server_query *entry =
		&queries->entries[hash & (SERVER_QUERIES - 1)];

	entry->packet_hash = hash;
	entry->header = *header;
}

bool server_queries_take(struct server_queries *queries,
			 const struct inner_packet *packet,
			 struct packet_header *header)
{
	uint64_t hash = nonzero_packet_hash(packet);
	struct server_query *entry =
		&queries->entries[hash & (SERVER_QUERIES - 1)];

	if (entry->packet_hash != hash)
		return false;
	entry->packet_hash = 0;
	*header = entry->header;
	return true;
}
