#include <glib.h>
#include <pthread.h>
#include <sched.h>
#include <stdio.h>

#include "bench.h"
#include "tarragonflow/common/ring.h"

/* Items a second through rings, one pair of threads to a ring. */
#define ITEMS 2000000
#define PAIRS_MAX 4
#define RING_ITEMS 1024

struct pair {
	struct ring ring;
	uint64_t received;
};

static void *produce(void *arg)
{
	struct pair *pair = arg;

	for (uintptr_t i = 1; i <= ITEMS; i++)
		while (!ring_push(&pair->ring, (void *)i))
			sched_yield();
	return NULL;
}

static void *consume(void *arg)
{
	struct pair *pair = arg;

	while (pair->received < ITEMS) {
		if (ring_pop(&pair->ring))
			pair->received++;
		else
			sched_yield();
	}
	return NULL;
}

static double run_pairs(int n)
{
	struct pair pairs[PAIRS_MAX] = {0};
	pthread_t threads[PAIRS_MAX * 2];
	int64_t start = bench_now_ns();

	for (int i = 0; i < n; i++) {
		ring_init(&pairs[i].ring, RING_ITEMS);
		pthread_create(&threads[i * 2], NULL, produce, &pairs[i]);
		pthread_create(&threads[i * 2 + 1], NULL, consume, &pairs[i]);
	}
	for (int i = 0; i < n * 2; i++)
		pthread_join(threads[i], NULL);
	for (int i = 0; i < n; i++)
		ring_finish(&pairs[i].ring);
	return (double)n * ITEMS * 1e9 / (double)(bench_now_ns() - start);
}

static void run(struct bench *bench)
{
	char name[64];

	for (int n = 1; n <= PAIRS_MAX; n *= 2) {
		snprintf(name, sizeof(name), "ring_items_per_s_%d", n);
		bench_figure(bench, BENCH_TIMING, name, run_pairs(n), "1/s",
			     BENCH_REPORT, 0);
	}
}

const struct bench_group bench_ring = {"ring", run};
