#include <glib.h>
#include <pthread.h>
#include <sched.h>
#include <stdio.h>

#include "bench.h"
#include "tarragonflow/common/ring.h"

/* Items per second through 1 to 4 rings; a thread pair uses each. */
#define ITEMS 2000000
#define PAIRS_MAX 4
#define RING_ITEMS 1024

/** A ring with its producer thread and its consumer thread. */
struct thread_pair {
	struct ring ring;
	uint64_t n_received;
};

static void *produce(void *arg)
{
	struct thread_pair *thread_pair = arg;

	for (uintptr_t i = 1; i <= ITEMS; i++)
		while (!ring_push(&thread_pair->ring, (void *)i))
			sched_yield();
	return NULL;
}

static void *consume(void *arg)
{
	struct thread_pair *thread_pair = arg;

	while (thread_pair->n_received < ITEMS) {
		if (ring_pop(&thread_pair->ring))
			thread_pair->n_received++;
		else
			sched_yield();
	}
	return NULL;
}

static double measure_items_per_s(int n_rings)
{
	struct thread_pair pairs[PAIRS_MAX] = {0};
	pthread_t threads[PAIRS_MAX * 2];
	int64_t start_ns = bench_now_ns();

	for (int i = 0; i < n_rings; i++) {
		ring_init(&pairs[i].ring, RING_ITEMS);
		pthread_create(&threads[i * 2], NULL, produce, &pairs[i]);
		pthread_create(&threads[i * 2 + 1], NULL, consume, &pairs[i]);
	}
	for (int i = 0; i < n_rings * 2; i++)
		pthread_join(threads[i], NULL);
	for (int i = 0; i < n_rings; i++)
		ring_finish(&pairs[i].ring);
	return (double)n_rings * ITEMS * 1e9 /
	       (double)(bench_now_ns() - start_ns);
}

static void run(struct bench *bench)
{
	char name[64];

	for (int n = 1; n <= PAIRS_MAX; n *= 2) {
		snprintf(name, sizeof(name), "ring_items_per_s_%d", n);
		bench_figure(bench, BENCH_TIMING, name, measure_items_per_s(n),
			     "1/s", BENCH_REPORT, 0);
	}
}

const struct bench_group bench_ring = {"ring", run};
