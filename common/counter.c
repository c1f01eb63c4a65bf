#include "tarragonflow/common/counter.h"

void counters_init(struct counters *counters)
{
	for (int i = 0; i < COUNTER_COUNT; i++)
		atomic_init(&counters->value[i], 0);
}

void counter_add(struct counters *counters, enum counter_id id, uint64_t n)
{
	atomic_fetch_add_explicit(&counters->value[id], n,
				  memory_order_relaxed);
}

void counter_inc(struct counters *counters, enum counter_id id)
{
	counter_add(counters, id, 1);
}

uint64_t counter_get(const struct counters *counters, enum counter_id id)
{
	return atomic_load_explicit(&counters->value[id], memory_order_relaxed);
}

const char *counter_name(enum counter_id id)
{
	static const char *const names[COUNTER_COUNT] = {
#define COUNTER_NAME(id, name) name,
		COUNTER_LIST(COUNTER_NAME)
#undef COUNTER_NAME
	};

	return names[id];
}
