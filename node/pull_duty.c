#include "tarragonflow/node/pull_duty.h"

#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "tarragonflow/control/config_store.h"
#include "tarragonflow/net/tcp.h"
#include "tarragonflow/node/node.h"

#define RING_SIZE 4
/* A peer that stalls holds the server up for this long at most. */
#define SERVE_TIMEOUT_MS 1000
#define REQUEST_MAX 4096

static void lane_init(struct pull_lane *lane, struct pull_duty *duty)
{
	lane->duty = duty;
	ring_init(&lane->wanted, RING_SIZE);
	ring_init(&lane->done, RING_SIZE);
	lane->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	atomic_init(&lane->jobs, 0);
}

static void lane_finish(struct pull_lane *lane)
{
	struct pull_job *job;

	while ((job = ring_pop(&lane->wanted)))
		pull_job_free(job);
	while ((job = ring_pop(&lane->done)))
		pull_job_free(job);
	ring_finish(&lane->wanted);
	ring_finish(&lane->done);
	close(lane->wake);
}

enum status_code pull_duty_init(struct pull_duty *duty,
				const struct endpoint *control, int wake_done,
				struct status *status)
{
	memset(duty, 0, sizeof(*duty));
	if (tcp_listen(control, &duty->listen_fd, status) != STATUS_OK)
		return status->code;
	clock_init_monotonic(&duty->clock);
	for (int i = 0; i < CONFIG_PULLS_MAX; i++)
		lane_init(&duty->lanes[i], duty);
	duty->wake_done = wake_done;
	duty->wake_stop = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	atomic_init(&duty->stop, false);
	return STATUS_OK;
}

static void serve(struct pull_duty *duty, int fd)
{
	int64_t deadline_ms = clock_now(&duty->clock) + SERVE_TIMEOUT_MS;
	struct strbuf request, answer;

	strbuf_init(&request);
	strbuf_init(&answer);
	if (tcp_receive_frame(fd, &request, REQUEST_MAX, &duty->clock,
			      deadline_ms) &&
	    duty->answer(duty, strbuf_str(&request), &answer))
		tcp_send_frame(fd, strbuf_str(&answer), &duty->clock,
			       deadline_ms);
	strbuf_finish(&request);
	strbuf_finish(&answer);
}

static void *server_thread(void *arg)
{
	struct pull_duty *duty = arg;
	struct pollfd fds[2] = {
		{.fd = duty->listen_fd, .events = POLLIN},
		{.fd = duty->wake_stop, .events = POLLIN},
	};

	while (!atomic_load(&duty->stop)) {
		int peer;

		if (poll(fds, 2, -1) <= 0 || !fds[0].revents)
			continue;
		peer = tcp_accept(duty->listen_fd);
		if (peer < 0)
			continue;
		serve(duty, peer);
		close(peer);
	}
	return NULL;
}

static void run_job(struct pull_duty *duty, struct pull_job *job)
{
	int64_t deadline_ms = clock_now(&duty->clock) + CONFIG_PULL_TIMEOUT_MS;
	int fd = tcp_connect(&job->peer, &duty->clock, deadline_ms);

	if (fd < 0)
		return;
	job->good = tcp_send_frame(fd, strbuf_str(&job->request), &duty->clock,
				   deadline_ms) &&
		    tcp_receive_frame(fd, &job->answer, TCP_FRAME_MAX,
				      &duty->clock, deadline_ms);
	close(fd);
}

static void serve_jobs(struct pull_lane *lane)
{
	struct pull_duty *duty = lane->duty;
	struct pull_job *job;

	while (!atomic_load(&duty->stop) && (job = ring_pop(&lane->wanted))) {
		run_job(duty, job);
		atomic_fetch_sub(&lane->jobs, 1);
		if (!ring_push(&lane->done, job))
			pull_job_free(job);
		node_wake(duty->wake_done);
	}
}

static void *lane_thread(void *arg)
{
	struct pull_lane *lane = arg;
	struct pollfd fd = {.fd = lane->wake, .events = POLLIN};

	while (!atomic_load(&lane->duty->stop)) {
		poll(&fd, 1, -1);
		if (fd.revents)
			node_wake_clear(lane->wake);
		serve_jobs(lane);
	}
	return NULL;
}

enum status_code pull_duty_start(struct pull_duty *duty, struct status *status)
{
	int failed =
		pthread_create(&duty->server_thread, NULL, server_thread, duty);

	for (int i = 0; i < CONFIG_PULLS_MAX; i++)
		failed |= pthread_create(&duty->lanes[i].thread, NULL,
					 lane_thread, &duty->lanes[i]);
	if (failed)
		return status_set(status, STATUS_INTERNAL,
				  "cannot start the pull duty");
	return STATUS_OK;
}

void pull_duty_stop(struct pull_duty *duty)
{
	atomic_store(&duty->stop, true);
	node_wake(duty->wake_stop);
	pthread_join(duty->server_thread, NULL);
	for (int i = 0; i < CONFIG_PULLS_MAX; i++) {
		node_wake(duty->lanes[i].wake);
		pthread_join(duty->lanes[i].thread, NULL);
	}
}

void pull_duty_finish(struct pull_duty *duty)
{
	for (int i = 0; i < CONFIG_PULLS_MAX; i++)
		lane_finish(&duty->lanes[i]);
	close(duty->wake_stop);
	close(duty->listen_fd);
}

static struct pull_lane *least_busy(struct pull_duty *duty)
{
	struct pull_lane *best = &duty->lanes[0];

	for (int i = 1; i < CONFIG_PULLS_MAX; i++)
		if (atomic_load(&duty->lanes[i].jobs) <
		    atomic_load(&best->jobs))
			best = &duty->lanes[i];
	return best;
}

bool pull_duty_submit(struct pull_duty *duty, const struct endpoint *peer,
		      struct str request)
{
	struct pull_lane *lane = least_busy(duty);
	struct pull_job *job = g_new0(struct pull_job, 1);

	job->peer = *peer;
	strbuf_add(&job->request, request.data, request.len);
	atomic_fetch_add(&lane->jobs, 1);
	if (!ring_push(&lane->wanted, job)) {
		atomic_fetch_sub(&lane->jobs, 1);
		pull_job_free(job);
		return false;
	}
	node_wake(lane->wake);
	return true;
}

struct pull_job *pull_duty_take(struct pull_duty *duty)
{
	struct pull_job *job = NULL;

	for (int i = 0; i < CONFIG_PULLS_MAX && !job; i++)
		job = ring_pop(&duty->lanes[i].done);
	return job;
}

void pull_job_free(struct pull_job *job)
{
	strbuf_finish(&job->request);
	strbuf_finish(&job->answer);
	g_free(job);
}
