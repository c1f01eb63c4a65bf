#include "tarragonflow/node/pull_server.h"

#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "tarragonflow/control/config_store.h"
#include "tarragonflow/net/tcp.h"
#include "tarragonflow/node/node.h"

#define RING_SIZE 4
/* A stalled peer blocks the server thread for at most this time. */
#define SERVE_TIMEOUT_MS 1000
#define REQUEST_MAX_BYTES 4096

static void worker_init(struct pull_worker *worker, struct pull_server *server)
{
	worker->server = server;
	ring_init(&worker->queued, RING_SIZE);
	ring_init(&worker->finished, RING_SIZE);
	worker->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	atomic_init(&worker->n_pending, 0);
}

static void worker_finish(struct pull_worker *worker)
{
	struct pull_job *job;

	while ((job = ring_pop(&worker->queued)))
		pull_job_free(job);
	while ((job = ring_pop(&worker->finished)))
		pull_job_free(job);
	ring_finish(&worker->queued);
	ring_finish(&worker->finished);
	close(worker->wake_fd);
}

enum status_code pull_server_init(struct pull_server *server,
				  const struct endpoint *control,
				  int finished_jobs_wake_fd,
				  struct status *status)
{
	memset(server, 0, sizeof(*server));
	if (tcp_listen(control, &server->listen_fd, status) != STATUS_OK)
		return status->code;
	clock_init_monotonic(&server->clock);
	for (int i = 0; i < CONFIG_PULLS_MAX; i++)
		worker_init(&server->workers[i], server);
	server->finished_jobs_wake_fd = finished_jobs_wake_fd;
	server->stop_wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	atomic_init(&server->stop, false);
	return STATUS_OK;
}

static void serve_peer(struct pull_server *server, int fd)
{
	int64_t deadline_ms = clock_now(&server->clock) + SERVE_TIMEOUT_MS;
	struct strbuf request, response;

	strbuf_init(&request);
	strbuf_init(&response);
	if (tcp_receive_frame(fd, &request, REQUEST_MAX_BYTES, &server->clock,
			      deadline_ms) &&
	    server->handle_request(server, strbuf_str(&request), &response))
		tcp_send_frame(fd, strbuf_str(&response), &server->clock,
			       deadline_ms);
	strbuf_finish(&request);
	strbuf_finish(&response);
}

static void *server_thread(void *arg)
{
	struct pull_server *server = arg;
	struct pollfd fds[2] = {
		{.fd = server->listen_fd, .events = POLLIN},
		{.fd = server->stop_wake_fd, .events = POLLIN},
	};

	while (!atomic_load(&server->stop)) {
		int peer;

		if (poll(fds, 2, -1) <= 0 || !fds[0].revents)
			continue;
		peer = tcp_accept(server->listen_fd);
		if (peer < 0)
			continue;
		serve_peer(server, peer);
		close(peer);
	}
	return NULL;
}

static void run_job(struct pull_server *server, struct pull_job *job)
{
	int64_t deadline_ms =
		clock_now(&server->clock) + CONFIG_PULL_TIMEOUT_MS;
	int fd = tcp_connect(&job->peer, &server->clock, deadline_ms);

	if (fd < 0)
		return;
	job->succeeded = tcp_send_frame(fd, strbuf_str(&job->request),
					&server->clock, deadline_ms) &&
			 tcp_receive_frame(fd, &job->response, TCP_FRAME_MAX,
					   &server->clock, deadline_ms);
	close(fd);
}

static void run_jobs(struct pull_worker *worker)
{
	struct pull_server *server = worker->server;
	struct pull_job *job;

	while (!atomic_load(&server->stop) &&
	       (job = ring_pop(&worker->queued))) {
		run_job(server, job);
		atomic_fetch_sub(&worker->n_pending, 1);
		if (!ring_push(&worker->finished, job))
			pull_job_free(job);
		node_wake(server->finished_jobs_wake_fd);
	}
}

static void *worker_thread(void *arg)
{
	struct pull_worker *worker = arg;
	struct pollfd fd = {.fd = worker->wake_fd, .events = POLLIN};

	while (!atomic_load(&worker->server->stop)) {
		poll(&fd, 1, -1);
		if (fd.revents)
			node_wake_clear(worker->wake_fd);
		run_jobs(worker);
	}
	return NULL;
}

enum status_code pull_server_start(struct pull_server *server,
				   struct status *status)
{
	int failed = pthread_create(&server->server_thread, NULL, server_thread,
				    server);

	for (int i = 0; i < CONFIG_PULLS_MAX; i++)
		failed |= pthread_create(&server->workers[i].thread, NULL,
					 worker_thread, &server->workers[i]);
	if (failed)
		return status_set(status, STATUS_INTERNAL,
				  "cannot start the pull threads");
	return STATUS_OK;
}

void pull_server_stop(struct pull_server *server)
{
	atomic_store(&server->stop, true);
	node_wake(server->stop_wake_fd);
	pthread_join(server->server_thread, NULL);
	for (int i = 0; i < CONFIG_PULLS_MAX; i++) {
		node_wake(server->workers[i].wake_fd);
		pthread_join(server->workers[i].thread, NULL);
	}
}

void pull_server_finish(struct pull_server *server)
{
	for (int i = 0; i < CONFIG_PULLS_MAX; i++)
		worker_finish(&server->workers[i]);
	close(server->stop_wake_fd);
	close(server->listen_fd);
}

static struct pull_worker *least_busy_worker(struct pull_server *server)
{
	struct pull_worker *best = &server->workers[0];

	for (int i = 1; i < CONFIG_PULLS_MAX; i++)
		if (atomic_load(&server->workers[i].n_pending) <
		    atomic_load(&best->n_pending))
			best = &server->workers[i];
	return best;
}

bool pull_server_submit(struct pull_server *server, const struct endpoint *peer,
			struct str request)
{
	struct pull_worker *worker = least_busy_worker(server);
	struct pull_job *job = g_new0(struct pull_job, 1);

	job->peer = *peer;
	strbuf_add(&job->request, request.data, request.len);
	atomic_fetch_add(&worker->n_pending, 1);
	if (!ring_push(&worker->queued, job)) {
		atomic_fetch_sub(&worker->n_pending, 1);
		pull_job_free(job);
		return false;
	}
	node_wake(worker->wake_fd);
	return true;
}

struct pull_job *pull_server_pop_finished(struct pull_server *server)
{
	struct pull_job *job = NULL;

	for (int i = 0; i < CONFIG_PULLS_MAX && !job; i++)
		job = ring_pop(&server->workers[i].finished);
	return job;
}

void pull_job_free(struct pull_job *job)
{
	strbuf_finish(&job->request);
	strbuf_finish(&job->response);
	g_free(job);
}
