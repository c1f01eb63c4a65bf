#include "tarragonflow/net/decision.h"

const char *decision_name(enum decision_kind kind)
{
	static const char *const names[] = {
#define DECISION_NAME(id, name) name,
		DECISION_LIST(DECISION_NAME)
#undef DECISION_NAME
	};

	return kind < DECISION_COUNT ? names[kind] : "unknown";
}
