#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tarragonflow/node/checkpoint_worker.h"
#include "tarragonflow/node/adapter.h"

#define RESPONSES_MAX 4
#define EPOCH 3
#define REQUEST_MAX 65536
/* Start times of the processes, ms since 1970. */
#define INSTANCE_OF_FIRST 1000
#define INSTANCE_OF_SECOND 2000
#define INSTANCE_OF_THIRD 3000

/** A store that gives one response after the other, each on a connection of its
 * own. */
struct scripted_store {
	int listen_fd;
	char url[64];
	pthread_t thread;
	int n_responses;
	int codes[RESPONSES_MAX];
	char *bodies[RESPONSES_MAX];
};

/* Reads a request with its body, whose length Content-Length gives. */
static void read_request(int fd)
{
	char request[REQUEST_MAX];
	size_t len = 0, expected_len = 0;

	while (!expected_len || len < expected_len) {
		ssize_t n =
			recv(fd, request + len, sizeof(request) - 1 - len, 0);
		const char *body, *length;

		if (n <= 0)
			return;
		len += (size_t)n;
		request[len] = '\0';
		body = strstr(request, "\r\n\r\n");
		if (!body)
			continue;
		length = strstr(request, "Content-Length: ");
		expected_len = (size_t)(body - request) + strlen("\r\n\r\n");
		if (length)
			expected_len += g_ascii_strtoull(
				length + strlen("Content-Length: "), NULL, 10);
	}
}

static void *serve(void *user)
{
	struct scripted_store *store = user;

	for (int i = 0; i < store->n_responses; i++) {
		int fd = accept(store->listen_fd, NULL, NULL);
		char *text;

		g_assert_cmpint(fd, >=, 0);
		read_request(fd);
		text = g_strdup_printf("HTTP/1.1 %d x\r\nStore-Epoch: %d\r\n"
				       "Content-Length: %zu\r\n"
				       "Connection: close\r\n\r\n%s",
				       store->codes[i], EPOCH,
				       strlen(store->bodies[i]),
				       store->bodies[i]);
		send(fd, text, strlen(text), MSG_NOSIGNAL);
		g_free(text);
		close(fd);
	}
	return NULL;
}

static void store_init(struct scripted_store *store)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t len = sizeof(address);

	memset(store, 0, sizeof(*store));
	store->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(
		bind(store->listen_fd, (struct sockaddr *)&address, len), ==,
		0);
	g_assert_cmpint(listen(store->listen_fd, 4), ==, 0);
	getsockname(store->listen_fd, (struct sockaddr *)&address, &len);
	g_snprintf(store->url, sizeof(store->url), "http://127.0.0.1:%d",
		   ntohs(address.sin_port));
}

/* Adds a response; @body is freed by store_finish(). */
static void add_response(struct scripted_store *store, int code, char *body)
{
	store->codes[store->n_responses] = code;
	store->bodies[store->n_responses++] = body;
}

/* Adds a response with the checkpoint of the process @instance. */
static void add_checkpoint(struct scripted_store *store, int version,
			   uint64_t instance, int64_t saved_ms,
			   const char *connections)
{
	add_response(
		store, 200,
		g_strdup_printf("{\"key\":\"k\",\"version\":%d,\"token\":\"t\","
				"\"value\":\"{\\\"instance\\\":%llu,"
				"\\\"saved_ms\\\":%lld,\\\"epoch\\\":%d,"
				"\\\"incomplete_ms\\\":0,"
				"\\\"connections\\\":\\\"%s\\\"}\"}",
				version, (unsigned long long)instance,
				(long long)saved_ms, saved_ms ? EPOCH : 0,
				connections));
}

static void store_finish(struct scripted_store *store)
{
	pthread_join(store->thread, NULL);
	close(store->listen_fd);
	for (int i = 0; i < store->n_responses; i++)
		g_free(store->bodies[i]);
}

/* Runs the thread of a starting agent against @store. Returns whether it
 * reported the predecessor's connections as complete. */
static bool restore_and_claim(struct scripted_store *store)
{
	const struct adapter adapter = {.dialect = &http_dialect_native};
	struct settings settings;
	struct checkpoint_worker worker;
	struct inherited_flows *inherited;
	struct status status;
	bool complete = false;
	struct node *node = g_new0(struct node, 1);

	memset(&settings, 0, sizeof(settings));
	memset(&worker, 0, sizeof(worker));
	g_strlcpy(settings.platform.data, store->url,
		  sizeof(settings.platform.data));
	name_set(&settings.name, str_from("agent-1"));
	name_set(&settings.deployment, str_from("test"));
	status_init(&status);
	node->settings = &settings;
	node->adapter = &adapter;
	node->instance = INSTANCE_OF_THIRD;
	node->packet_wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	clock_init_monotonic(&node->clock);
	counters_init(&node->counters);
	ring_init(&node->inherited_flows, 8);
	pthread_create(&store->thread, NULL, serve, store);
	g_assert_cmpint(checkpoint_worker_start(&worker, node, &status), ==,
			STATUS_OK);
	/* The thread ends once the checkpoint is claimed. */
	pthread_join(worker.thread, NULL);
	worker.started = false;
	checkpoint_worker_finish(&worker);
	while ((inherited = ring_pop(&node->inherited_flows))) {
		complete |= inherited->complete;
		inherited_flows_free(inherited);
	}
	ring_finish(&node->inherited_flows);
	close(node->packet_wake_fd);
	g_free(node);
	return complete;
}

/* The connections of the direct predecessor are complete once they are
 * claimed. */
static void test_claimed(void)
{
	struct scripted_store store;

	store_init(&store);
	add_checkpoint(&store, 5, INSTANCE_OF_SECOND, INSTANCE_OF_THIRD - 1000,
		       "AAAA");
	add_response(&store, 200, g_strdup("{\"version\":6}"));
	g_assert_true(restore_and_claim(&store));
	store_finish(&store);
}

/*
 * The second process read the connections of the first one, opened others and
 * was killed; its claim takes effect between the read and the claim of the
 * third. Guards against a table that counts as complete without the
 * connections of the second process: their callers would get a RST.
 */
static void test_late_claim_of_predecessor(void)
{
	struct scripted_store store;

	store_init(&store);
	add_checkpoint(&store, 5, INSTANCE_OF_FIRST, INSTANCE_OF_THIRD - 1000,
		       "AAAA");
	add_response(&store, 409, g_strdup("{}"));
	add_checkpoint(&store, 6, INSTANCE_OF_SECOND, 0, "");
	add_response(&store, 200, g_strdup("{\"version\":7}"));
	g_assert_false(restore_and_claim(&store));
	store_finish(&store);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/checkpoint-worker/claimed", test_claimed);
	g_test_add_func("/checkpoint-worker/late-claim-of-predecessor",
			test_late_claim_of_predecessor);
	return g_test_run();
}
