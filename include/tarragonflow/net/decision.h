#ifndef TARRAGONFLOW_NET_DECISION_H
#define TARRAGONFLOW_NET_DECISION_H

#include "tarragonflow/net/inner.h"

/**
 * Decisions of the packet cores about one connection, with their inputs, for
 * the log. docs/OPERATIONS.md explains each kind; a test compares the page with
 * this list. The texts are written to the log.
 */
#define DECISION_LIST(X)                    \
	X(OPEN_PLACED, "open-placed")       \
	X(OPEN_DELIVERED, "open-delivered") \
	X(OPEN_WAITS, "open-waits")         \
	X(OPEN_OFFLOADED, "open-relieved")  \
	X(OPEN_FORWARDED, "open-passed")    \
	X(OPEN_REFUSED, "open-refused")     \
	X(SEARCH_BEGUN, "search-begun")     \
	X(SEARCH_DOUBTED, "search-doubted") \
	X(SEARCH_ENDED, "search-ended")     \
	X(RESET_LOST, "reset-lost")         \
	X(RESET_NO_OWNER, "reset-no-owner") \
	X(FLOW_ADOPTED, "flow-adopted")     \
	X(SERVER_RETURNED, "server-returned")

enum decision_kind {
#define DECISION_ENUM(id, name) DECISION_##id,
	DECISION_LIST(DECISION_ENUM)
#undef DECISION_ENUM
		DECISION_COUNT
};

struct decision {
	enum decision_kind kind;
	/** In the direction from the caller to the service. */
	const struct flow_key *key;
	/** TCP sequence number of the SYN; 0: unknown. */
	uint32_t open_seq;
	/** Another agent that is involved, such as the next hop; 0: none. */
	uint32_t member_id;
	/** A reason listed in docs/OPERATIONS.md, or NULL. */
	const char *reason;
	/** Balancers: load of `member_id`, and age of its load report, ms. */
	uint16_t load;
	int64_t load_age_ms;
	/** Agents: requests running at the server, and SYNs that wait. */
	uint32_t running, waiting;
	uint64_t config_revision;
};

const char *decision_name(enum decision_kind kind);

#endif
