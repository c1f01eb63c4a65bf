#include "tarragonflow/node/node.h"

#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "tarragonflow/common/log.h"
#include "tarragonflow/net/udp.h"

#define RING_SIZE 64
#define POLL_TIMEOUT_MAX_MS 200
/* Minimum time between views, so that a burst of changes gives one view. */
#define VIEW_INTERVAL_MS 50
/* Longest delay of an agent's join until the state of its server is known: two
 * checks of the server and some time. */
#define JOIN_DELAY_MAX_MS 600

/** Output functions of the control core, with the process they act for. */
struct node_sink {
	struct control_sink sink;
	struct node *node;
};

void node_wake(int fd)
{
	uint64_t one = 1;

	while (write(fd, &one, sizeof(one)) < 0 && errno == EINTR)
		;
}

void node_wake_clear(int fd)
{
	uint64_t count;

	while (read(fd, &count, sizeof(count)) < 0 && errno == EINTR)
		;
}

static void sink_send(struct control_sink *sink, const struct endpoint *to,
		      const uint8_t *data, size_t len)
{
	struct node *node = ((struct node_sink *)sink)->node;

	if (!udp_send(node->control_fd, to, data, len))
		counter_inc(&node->counters, COUNTER_DROP_SEND_FAILED);
}

static void sink_call_store(struct control_sink *sink,
			    const struct store_request *request)
{
	struct node *node = ((struct node_sink *)sink)->node;

	if (!store_worker_submit(&node->store_workers[request->queue], request))
		counter_inc(&node->counters, COUNTER_DROP_RING_FULL);
}

static void sink_cancel_store_call(struct control_sink *sink,
				   enum store_queue queue, uint64_t id)
{
	struct node *node = ((struct node_sink *)sink)->node;

	http_store_cancel_call(&node->store_workers[queue].http, id);
}

static void sink_pull_config(struct control_sink *sink,
			     const struct endpoint *peer, struct str request)
{
	struct node *node = ((struct node_sink *)sink)->node;

	if (!pull_server_submit(&node->pull_server, peer, request))
		counter_inc(&node->counters, COUNTER_DROP_RING_FULL);
}

static void sink_routing_changed(struct control_sink *sink)
{
	((struct node_sink *)sink)->node->view_dirty = true;
}

static void view_free(struct view *view)
{
	view_finish(view);
	g_free(view);
}

static void publish_view(struct node *node, int64_t now_ms)
{
	struct view *view;

	while ((view = ring_pop(&node->retired_views)))
		view_free(view);
	if (!node->view_dirty || !node->control.config.manifest.release ||
	    now_ms < node->next_publish_ms)
		return;
	view = g_new(struct view, 1);
	view_init_with_orders(view, &node->control.config.manifest,
			      &node->control.roster, &node->control.zone_orders,
			      now_ms);
	view->roster_complete =
		control_roster_is_complete(&node->control, now_ms);
	if (!ring_push(&node->views, view)) {
		view_free(view);
		return;
	}
	node->view_dirty = false;
	node->next_publish_ms = now_ms + VIEW_INTERVAL_MS;
	node_wake(node->packet_wake_fd);
}

static void receive_messages(struct node *node, struct node_sink *sink)
{
	static _Thread_local uint8_t buf[UDP_DATAGRAM_MAX];
	struct endpoint from;
	ssize_t len;

	while ((len = udp_receive(node->control_fd, buf, sizeof(buf), &from)) >=
	       0)
		control_handle_message(&node->control, &from, buf, (size_t)len,
				       clock_now(&node->clock), &sink->sink);
}

static void receive_store_results(struct node *node,
				  struct store_worker *worker,
				  struct node_sink *sink)
{
	struct store_result *result;

	while ((result = store_worker_pop_result(worker))) {
		control_handle_result(&node->control, result,
				      clock_now(&node->clock), &sink->sink);
		store_result_finish(result);
		g_free(result);
	}
}

static void receive_pull_results(struct node *node, struct node_sink *sink)
{
	struct pull_job *job;

	while ((job = pull_server_pop_finished(&node->pull_server))) {
		if (job->succeeded)
			control_handle_message(
				&node->control, &job->peer,
				(const uint8_t *)job->response.data,
				job->response.len, clock_now(&node->clock),
				&sink->sink);
		else
			control_pull_failed(&node->control);
		pull_job_free(job);
	}
}

static void apply_target_state(struct node *node, struct node_sink *sink)
{
	int target = atomic_load(&node->target_state);

	if (target != (int)node->control.options.self.state)
		control_set_state(&node->control, (enum member_state)target,
				  clock_now(&node->clock), &sink->sink);
}

static int control_poll_timeout_ms(struct node *node)
{
	int64_t wait_ms =
		control_next_deadline(&node->control) - clock_now(&node->clock);

	if (node->view_dirty)
		wait_ms = MIN(wait_ms, VIEW_INTERVAL_MS);
	return (int)CLAMP(wait_ms, 0, POLL_TIMEOUT_MAX_MS);
}

/* Whether it is still open if the server runs: no check has ended yet, or the
 * server refused it, but hasn't certainly ended. Call with the lock held. */
static bool server_state_open(struct node *node)
{
	return node->server_watch.reports_expected &&
	       !node->server_watch.has_report &&
	       (!atomic_load(&node->server_checked) ||
		atomic_load(&node->server_refused_ms) != CLOCK_NEVER ||
		atomic_load(&node->server_refuses));
}

static void *control_thread(void *arg)
{
	struct node *node = arg;
	struct node_sink sink = {
		.sink = {sink_send, sink_call_store, sink_cancel_store_call,
			 sink_pull_config, sink_routing_changed},
		.node = node,
	};
	struct pollfd fds[2] = {
		{.fd = node->control_fd, .events = POLLIN},
		{.fd = node->control_wake_fd, .events = POLLIN},
	};
	int64_t now_ms;

	while (!atomic_load(&node->stop)) {
		poll(fds, 2, control_poll_timeout_ms(node));
		if (fds[1].revents)
			node_wake_clear(node->control_wake_fd);
		pthread_mutex_lock(&node->lock);
		receive_messages(node, &sink);
		for (int i = 0; i < STORE_QUEUES; i++)
			receive_store_results(node, &node->store_workers[i],
					      &sink);
		receive_pull_results(node, &sink);
		apply_target_state(node, &sink);
		now_ms = clock_now(&node->clock);
		if (!server_state_open(node))
			control_join(&node->control, now_ms);
		control_tick(&node->control, now_ms, &sink.sink);
		publish_view(node, now_ms);
		if (!control_is_resyncing(&node->control) && !node->view_dirty)
			atomic_store(&node->view_up_to_date_ms, now_ms);
		pthread_mutex_unlock(&node->lock);
	}
	return NULL;
}

static bool handle_pull_request(struct pull_server *server, struct str request,
				struct strbuf *out)
{
	struct node *node = (struct node *)((char *)server -
					    offsetof(struct node, pull_server));
	bool handled;

	pthread_mutex_lock(&node->lock);
	handled = control_handle_pull(&node->control,
				      (const uint8_t *)request.data,
				      request.len, out);
	pthread_mutex_unlock(&node->lock);
	return handled;
}

static void control_options_from_settings(struct control_options *options,
					  const struct settings *settings,
					  uint64_t instance, bool awaits_report,
					  bool strong_reads)
{
	struct member *self = &options->self;

	memset(options, 0, sizeof(*options));
	self->name = settings->name;
	self->zone = settings->zone;
	self->service = settings->service;
	self->role = settings->role;
	/* The agent accepts no connections until the first server report. */
	self->state = awaits_report ? MEMBER_DRAINING : MEMBER_ACTIVE;
	self->instance = instance;
	self->data = settings->data;
	self->control = settings->control;
	self->admin = settings->admin;
	self->connections = (uint32_t)settings->connections;
	self->slots = (uint32_t)settings->slots;
	options->deployment = settings->deployment;
	options->n_seeds = settings->n_seeds;
	options->strong_reads = strong_reads;
	options->zone_grace_ms = settings->zone_grace_ms;
	options->keys = settings->control_keys;
	options->bytes_per_s = settings->control_bytes_per_s;
	memcpy(options->seeds, settings->seeds, sizeof(options->seeds));
	if (awaits_report)
		options->join_delay_ms = JOIN_DELAY_MAX_MS;
	options->random_seed = instance ^ member_id(&settings->name);
}

enum status_code node_init(struct node *node, const struct settings *settings,
			   const struct adapter *adapter, struct status *status)
{
	struct control_options options;
	bool awaits_report = adapter->servers_report &&
			     settings->role == MEMBER_AGENT;

	memset(node, 0, sizeof(*node));
	if (udp_open(&settings->control, &node->control_fd, status) !=
	    STATUS_OK)
		return status->code;
	node->control_wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (pull_server_init(&node->pull_server, &settings->control,
			     node->control_wake_fd, status) != STATUS_OK) {
		close(node->control_wake_fd);
		close(node->control_fd);
		return status->code;
	}
	node->settings = settings;
	node->adapter = adapter;
	ring_init(&node->server_reports, RING_SIZE);
	ring_init(&node->inherited_flows, RING_SIZE);
	server_watch_init(&node->server_watch, awaits_report,
			  settings->report_lease_ms);
	report_gate_init(&node->report_gate, &settings->service,
			 settings->report_interval_ms);
	node->instance = (uint64_t)clock_wall_ms();
	clock_init_monotonic(&node->clock);
	counters_init(&node->counters);
	pthread_mutex_init(&node->lock, NULL);
	ring_init(&node->views, RING_SIZE);
	ring_init(&node->retired_views, RING_SIZE);
	node->packet_wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	explanation_slot_init(&node->explanation_slot, node->packet_wake_fd);
	atomic_init(&node->server_refused_ms, CLOCK_NEVER);
	atomic_init(&node->server_refuses, false);
	atomic_init(&node->server_checked, false);
	control_options_from_settings(&options, settings, node->instance,
				      awaits_report, adapter->strong_reads);
	atomic_init(&node->target_state, (int)options.self.state);
	control_init(&node->control, &options, &node->counters,
		     clock_now(&node->clock));
	for (int i = 0; i < STORE_QUEUES; i++)
		store_worker_init(&node->store_workers[i],
				  settings->platform.data, adapter->dialect,
				  &node->counters, node->control_wake_fd);
	node->pull_server.handle_request = handle_pull_request;
	return STATUS_OK;
}

static void handle_server_check(void *user, int64_t began_ms, bool refused)
{
	struct node *node = user;

	if (refused)
		atomic_store(&node->server_refused_ms, began_ms);
	if (!atomic_exchange(&node->server_checked, true))
		node_wake(node->control_wake_fd);
	node_wake(node->packet_wake_fd);
}

int64_t node_server_refusal(struct node *node)
{
	return atomic_load(&node->server_refused_ms);
}

void node_clear_server_refusal(struct node *node, int64_t began_ms)
{
	atomic_compare_exchange_strong(&node->server_refused_ms, &began_ms,
				       CLOCK_NEVER);
}

bool node_server_ended(struct node *node)
{
	bool ended;

	pthread_mutex_lock(&node->lock);
	ended = node->server_watch.has_report &&
		node->server_watch.report.state == SERVER_GONE;
	pthread_mutex_unlock(&node->lock);
	return ended;
}

enum status_code node_start(struct node *node, struct status *status)
{
	if (node->server_watch.reports_expected &&
	    server_check_start(&node->server_check, &node->settings->server,
			       handle_server_check, node, status) != STATUS_OK)
		return status->code;
	if (pthread_create(&node->control_thread, NULL, control_thread, node))
		return status_set(status, STATUS_INTERNAL,
				  "cannot start the control thread");
	for (int i = 0; i < STORE_QUEUES; i++)
		if (store_worker_start(&node->store_workers[i], status) !=
		    STATUS_OK)
			return status->code;
	return pull_server_start(&node->pull_server, status);
}

void inherited_flows_free(struct inherited_flows *inherited)
{
	strbuf_finish(&inherited->flows);
	g_free(inherited);
}

static void free_ring_items(struct node *node)
{
	struct inherited_flows *inherited;
	struct server_report *report;
	struct view *view;

	while ((view = ring_pop(&node->views)))
		view_free(view);
	while ((view = ring_pop(&node->retired_views)))
		view_free(view);
	while ((report = ring_pop(&node->server_reports)))
		g_free(report);
	while ((inherited = ring_pop(&node->inherited_flows)))
		inherited_flows_free(inherited);
}

void node_finish(struct node *node)
{
	atomic_store(&node->stop, true);
	if (node->server_watch.reports_expected)
		server_check_finish(&node->server_check);
	node_wake(node->control_wake_fd);
	pthread_join(node->control_thread, NULL);
	for (int i = 0; i < STORE_QUEUES; i++)
		store_worker_stop(&node->store_workers[i]);
	pull_server_stop(&node->pull_server);
	for (int i = 0; i < STORE_QUEUES; i++)
		store_worker_finish(&node->store_workers[i]);
	pull_server_finish(&node->pull_server);
	free_ring_items(node);
	ring_finish(&node->views);
	ring_finish(&node->retired_views);
	ring_finish(&node->server_reports);
	ring_finish(&node->inherited_flows);
	control_finish(&node->control);
	close(node->control_fd);
	close(node->control_wake_fd);
	explanation_slot_finish(&node->explanation_slot);
	close(node->packet_wake_fd);
	pthread_mutex_destroy(&node->lock);
}

void node_set_state(struct node *node, enum member_state state)
{
	if (atomic_exchange(&node->target_state, (int)state) != (int)state)
		node_wake(node->control_wake_fd);
}

void node_leave(struct node *node, enum member_state state)
{
	atomic_store(&node->leaving, true);
	node_set_state(node, state);
}

static enum member_state
member_state_for_report(const struct server_report *report)
{
	switch (report->state) {
	case SERVER_READY:
		return MEMBER_ACTIVE;
	case SERVER_DRAINING:
	case SERVER_ENDING:
		return MEMBER_DRAINING;
	case SERVER_GONE:
		break;
	}
	return MEMBER_LEFT;
}

static void log_server_report(const struct server_report *report)
{
	static const char *const states[] = {"", "ready", "draining", "ending",
					     "gone"};

	log_event(LOG_LEVEL_INFO, "server",
		  "id=%s service=%s state=%s slots=%u "
		  "warm_in_ms=%lld started_ms=%llu sequence=%llu",
		  report->id, report->service.data, states[report->state],
		  report->slots, (long long)report->warmup_left_ms,
		  (unsigned long long)report->started_ms,
		  (unsigned long long)report->sequence);
}

/* The service in the settings counts before the configuration has arrived. */
static bool knows_service(const struct node *node, const struct name *service)
{
	return name_equal(service, &node->settings->service) ||
	       control_knows_service(&node->control, service);
}

static enum status_code refuse_contradiction(struct node *node,
					     const struct server_report *report,
					     struct status *status)
{
	const struct server_watch *known = &node->server_watch;

	counter_inc(&node->counters, COUNTER_SERVER_REPORT_HELD);
	return status_set(status, STATUS_UNAVAILABLE,
			  "%s: contradicts server %s of service %s; accepted "
			  "if repeated before that one reports again",
			  report_gate_contradiction(&node->report_gate, known,
						    report,
						    clock_now(&node->clock)),
			  known->has_report ? known->report.id : "-",
			  node->report_gate.service.data);
}

/* Call with the lock held. */
static enum status_code submit_report_locked(struct node *node,
					     const struct server_report *report,
					     struct status *status)
{
	const struct server_watch *watch = &node->server_watch;
	struct server_report accepted = *report, *copy;
	bool changed;

	if (!server_report_is_last(report) &&
	    !knows_service(node, &report->service))
		return status_set(status, STATUS_INVALID,
				  "service: %s is not of this deployment",
				  report->service.data);
	if (report->address.port &&
	    !endpoint_equal(&report->address, &node->settings->server))
		return status_set(status, STATUS_INVALID,
				  "address: not that of this agent's server");
	if (!report_gate_accepts(&node->report_gate, watch, &accepted,
				 clock_now(&node->clock)))
		return refuse_contradiction(node, report, status);
	changed = !watch->has_report || watch->report.state != report->state ||
		  !name_equal(&watch->report.service, &report->service) ||
		  server_report_shows_restart(report, &watch->report);
	if (server_watch_update(&node->server_watch, &accepted,
				clock_now(&node->clock)) ==
	    SERVER_REPORT_OUTDATED)
		return STATUS_OK;
	copy = g_memdup2(&accepted, sizeof(accepted));
	if (!ring_push(&node->server_reports, copy)) {
		g_free(copy);
		counter_inc(&node->counters, COUNTER_DROP_RING_FULL);
		return status_set(status, STATUS_FULL,
				  "too many reports at once");
	}
	if (!server_report_is_last(report))
		control_set_server(&node->control, &report->service,
				   report->slots);
	if (changed)
		log_server_report(report);
	if (!atomic_load(&node->leaving))
		node_set_state(node, member_state_for_report(report));
	return STATUS_OK;
}

enum status_code node_submit_server_report(struct node *node,
					   const struct server_report *report,
					   struct status *status)
{
	enum status_code code;

	if (!node->server_watch.reports_expected)
		return status_set(status, STATUS_UNAVAILABLE,
				  "no server reports are expected here");
	pthread_mutex_lock(&node->lock);
	code = submit_report_locked(node, report, status);
	pthread_mutex_unlock(&node->lock);
	node_wake(node->packet_wake_fd);
	return code;
}

void node_record_server_end(struct node *node,
			    const struct server_report *last_report)
{
	const struct server_report *latest = &node->server_watch.report;

	pthread_mutex_lock(&node->lock);
	if (latest->sequence <= last_report->sequence &&
	    server_watch_update(&node->server_watch, last_report,
				clock_now(&node->clock)) !=
		    SERVER_REPORT_OUTDATED) {
		log_server_report(last_report);
		node_set_state(node, MEMBER_LEFT);
	}
	pthread_mutex_unlock(&node->lock);
}

struct server_report *node_pop_server_report(struct node *node)
{
	return ring_pop(&node->server_reports);
}

const char *node_not_ready_reason(struct node *node)
{
	const char *reason = NULL;

	pthread_mutex_lock(&node->lock);
	if (!node->control.config.manifest.release)
		reason = "no configuration";
	else if (control_is_resyncing(&node->control))
		reason = "was paused; waiting for state from a peer";
	else if (atomic_load(&node->target_state) != MEMBER_ACTIVE)
		reason = "leaving";
	else if (atomic_load(&node->isolated))
		reason = "most agents are unreachable";
	pthread_mutex_unlock(&node->lock);
	return reason;
}

struct view *node_pop_view(struct node *node)
{
	return ring_pop(&node->views);
}

void node_retire_view(struct node *node, struct view *view)
{
	if (!view)
		return;
	if (!ring_push(&node->retired_views, view))
		view_free(view);
}

static void fill_signal_set(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
}

void node_block_signals(void)
{
	sigset_t set;

	fill_signal_set(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

enum node_signal node_wait_signal(int64_t timeout_ms)
{
	const struct timespec timeout = {
		.tv_sec = timeout_ms / 1000,
		.tv_nsec = timeout_ms % 1000 * 1000000,
	};
	sigset_t set;
	int signal_number;

	fill_signal_set(&set);
	signal_number = sigtimedwait(&set, NULL, &timeout);
	if (signal_number < 0)
		return NODE_SIGNAL_NONE;
	return signal_number == SIGHUP ? NODE_SIGNAL_RELOAD : NODE_SIGNAL_STOP;
}

bool node_reload_pending(void)
{
	const struct timespec no_wait = {0};
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGHUP);
	return sigtimedwait(&set, NULL, &no_wait) == SIGHUP;
}
