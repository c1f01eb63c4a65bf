#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "tarragonflow/node/handover_listener.h"
#include "tarragonflow/node/node.h"

#define LOOPBACK 0x7f000001u
#define PORT 4706

/* A loopback address derived from the pid, as test runs may be parallel. */
static struct endpoint unique_address(void)
{
	uint32_t pid = (uint32_t)getpid();
	struct endpoint endpoint = {
		LOOPBACK | (64 + pid % 60) << 16 | (pid / 60 % 256) << 8, PORT};

	return endpoint;
}

struct successor {
	struct endpoint local;
	struct strbuf flows;
	bool received;
};

static void *fetch_flows(void *arg)
{
	struct successor *successor = arg;

	successor->received =
		handover_fetch(&successor->local, &successor->flows);
	return NULL;
}

static void test_no_predecessor(void)
{
	struct endpoint local = unique_address();
	struct strbuf flows;

	strbuf_init(&flows);
	strbuf_add(&flows, "old", 3);
	g_assert_false(handover_fetch(&local, &flows));
	g_assert_cmpuint(flows.len, ==, 0);
	strbuf_finish(&flows);
}

/** Behaviour of the predecessor after a successor has connected. */
struct handover_case {
	const char *name;
	/** Size of the serialized connections. */
	size_t flows_bytes;
	/** Whether the predecessor sends them. */
	bool sent;
	/** Whether the successor is to receive them. */
	bool received;
};

static void run_case(const struct handover_case *test_case)
{
	struct successor successor = {.local = unique_address()};
	struct handover_listener listener;
	char *flows = g_malloc0(test_case->flows_bytes + 1);
	struct status status;
	pthread_t thread;

	g_test_message("%s", test_case->name);
	status_init(&status);
	strbuf_init(&successor.flows);
	memset(flows, 'f', test_case->flows_bytes);
	g_assert_cmpint(
		handover_listener_start(&listener, &successor.local, &status),
		==, STATUS_OK);
	pthread_create(&thread, NULL, fetch_flows, &successor);
	g_assert_cmpint(node_wait_signal(10000), ==, NODE_SIGNAL_STOP);
	g_assert_true(atomic_load(&listener.requested));
	if (test_case->sent)
		g_assert_true(handover_listener_send(
			&listener,
			(struct str){flows, test_case->flows_bytes}));
	handover_listener_finish(&listener);
	pthread_join(thread, NULL);
	g_assert_cmpint(successor.received, ==, test_case->received);
	g_assert_cmpuint(successor.flows.len, ==,
			 test_case->received ? test_case->flows_bytes : 0);
	if (test_case->received)
		g_assert_cmpmem(successor.flows.data, successor.flows.len,
				flows, test_case->flows_bytes);
	strbuf_finish(&successor.flows);
	g_free(flows);
}

static void test_hand_over(void)
{
	static const struct handover_case cases[] = {
		{"few connections", 100, true, true},
		{"many connections", 1500000, true, true},
		{"predecessor dies first", 0, false, false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		run_case(&cases[i]);
}

int main(int argc, char **argv)
{
	node_block_signals();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/handover/no-predecessor", test_no_predecessor);
	g_test_add_func("/handover/hand-over", test_hand_over);
	return g_test_run();
}
