#include "tarragonflow/flow/server_queries.h"

#define SERVER_QUERIES_SEED 0x7175657279ULL

static uint64_t nonzero_flow_hash(const struct flow_key *key)
{
	uint64_t hash = flow_key_hash(key, SERVER_QUERIES_SEED);

	return hash ? hash : 1;
}

void server_queries_add(struct server_queries *queries,
			const struct flow_key *key,
			const struct packet_header *header)
{
	uint64_t hash = nonzero_flow_hash(key);
	struct server_query *entry =
		&queries->entries[hash & (SERVER_QUERIES - 1)];

	entry->flow_hash = hash;
	entry->header = *header;
}

bool server_queries_take(struct server_queries *queries,
			 const struct flow_key *key,
			 struct packet_header *header)
{
	uint64_t hash = nonzero_flow_hash(key);
	struct server_query *entry =
		&queries->entries[hash & (SERVER_QUERIES - 1)];

	if (entry->flow_hash != hash)
		return false;
	entry->flow_hash = 0;
	*header = entry->header;
	return true;
}
