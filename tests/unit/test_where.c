#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "tarragonflow/admin/admin.h"
#include "tarragonflow/route/explanation.h"

/*
 * The explanation of where a SYN would be sent: that it names what rules a
 * candidate out, agrees with the decision on the SYN, and changes nothing. The
 * command `where` of the program in TARRAGONFLOW, against an admin API in this
 * process.
 */
#define MEMBERS 4
#define NOW_MS 100000
/* Older than any maximum age of a load, and than packets may be uncounted. */
#define LONG_AGO_MS 30000
#define ROUTE "10.0.0.1:80"

/*
 * Members are set up by a letter each: the verdict that is expected of them, or
 * one of 'b' and 's', eligible in another zone than the balancer and as a
 * suspect. The load applies to eligible ones.
 */
static const uint8_t verdict_letters[] = {
	[CANDIDATE_ELIGIBLE] = 'e',
	[CANDIDATE_DRAINING] = 'd',
	[CANDIDATE_UNREACHABLE] = 'r',
	[CANDIDATE_LOAD_UNKNOWN] = 'u',
	[CANDIDATE_LOAD_TOO_OLD] = 'o',
	[CANDIDATE_FULL] = 'f',
	[CANDIDATE_ZONE_OUT_OF_SERVICE] = 'z',
};

/** A balancer with a view of members 0 to 3 of the service "orders". */
struct fixture {
	struct packet_sink sink;
	struct manifest manifest;
	struct roster roster;
	struct view view;
	struct counters counters;
	struct balancer balancer;
	/** Receiver of the last packet sent. */
	uint32_t receiver;
};

static void record_receiver(struct packet_sink *sink, const struct endpoint *to,
			    const struct packet_header *header,
			    const uint8_t *inner, size_t len)
{
	(void)to;
	(void)inner;
	(void)len;
	((struct fixture *)sink)->receiver =
		header->candidates[header->position].member_id;
}

static struct name numbered_name(int number)
{
	struct name name;
	char text[32];

	g_snprintf(text, sizeof(text), "orders-%d", number);
	name_set(&name, str_from(text));
	return name;
}

static uint32_t number_id(int number)
{
	struct name name = numbered_name(number);

	return member_id(&name);
}

static int number_of(uint32_t id)
{
	int number = 0;

	while (number_id(number) != id)
		number++;
	return number;
}

static void add_member(struct roster *roster, int number, char letter)
{
	struct member member = {.name = numbered_name(number),
				.role = MEMBER_AGENT,
				.state = letter == 'd'	 ? MEMBER_DRAINING
					 : letter == 's' ? MEMBER_SUSPECT
							 : MEMBER_ACTIVE,
				.instance = 1,
				.sequence = 1,
				.connections = 2000};

	name_set(&member.zone, str_from(letter == 'b'	? "b"
					: letter == 'z' ? "z"
							: "a"));
	name_set(&member.service, str_from("orders"));
	roster_merge(roster, &member, 0);
}

static void report_load(struct balancer *balancer, int number, char letter,
			uint16_t load)
{
	uint32_t id = number_id(number);

	if (letter == 'u')
		return;
	peer_load_update(&balancer->loads, id,
			 letter == 'f' ? PACKET_LOAD_FULL : load,
			 letter == 'o' ? NOW_MS - LONG_AGO_MS : NOW_MS - 10);
	if (letter == 'r')
		peer_load_record_sent(&balancer->loads, id,
				      NOW_MS - LONG_AGO_MS);
}

static void fixture_init(struct fixture *fixture, const char *letters,
			 const uint16_t *loads)
{
	static const char text[] =
		"{\"deployment\":\"d\",\"release\":7,"
		"\"zones\":[{\"name\":\"a\"},{\"name\":\"b\"},{\"name\":"
		"\"z\"}],"
		"\"services\":[{\"name\":\"orders\",\"address\":\"10.0.0.1\","
		"\"port\":80},{\"name\":\"empty\",\"address\":\"10.0.0.2\","
		"\"port\":80}],\"routes\":[{\"name\":\"none\",\"address\":"
		"\"10.0.0.3\",\"port\":80,\"backends\":[{\"service\":"
		"\"orders\",\"weight\":0}]}]}";
	struct zone_order order = {
		.version = 1, .out = true, .cut_ms = NOW_MS + LONG_AGO_MS};
	struct zone_orders orders = {0};
	struct status status;
	struct name zone;

	memset(fixture, 0, sizeof(*fixture));
	fixture->sink.to_peer = record_receiver;
	status_init(&status);
	manifest_init(&fixture->manifest);
	g_assert_cmpint(manifest_parse(&fixture->manifest, str_from(text), "m",
				       &status),
			==, STATUS_OK);
	roster_init(&fixture->roster);
	for (int i = 0; i < MEMBERS; i++)
		add_member(&fixture->roster, i, letters[i]);
	name_set(&order.zone, str_from("z"));
	zone_orders_merge(&orders, &order);
	view_init_with_orders(&fixture->view, &fixture->manifest,
			      &fixture->roster, &orders, NOW_MS);
	counters_init(&fixture->counters);
	balancer_init(&fixture->balancer, &fixture->counters);
	name_set(&zone, str_from("a"));
	balancer_enable_least_load(&fixture->balancer, &zone);
	balancer_set_view(&fixture->balancer, &fixture->view);
	for (int i = 0; i < MEMBERS; i++)
		report_load(&fixture->balancer, i, letters[i], loads[i]);
}

static void fixture_finish(struct fixture *fixture)
{
	view_finish(&fixture->view);
	roster_finish(&fixture->roster);
	manifest_finish(&fixture->manifest);
}

static struct flow_key make_key(const char *dst, uint16_t src_port)
{
	struct flow_key key = {.src_port = src_port};

	ip_addr_parse(&key.src, "10.9.0.1");
	g_assert_true(admin_parse_address(dst, &key.dst, &key.dst_port));
	return key;
}

/* Guards against an explanation that counts as a connection: it must leave the
 * balancer and the counters the same to the byte. */
static void explain(struct fixture *fixture, const struct flow_key *key,
		    struct explanation *explanation)
{
	struct balancer *before =
		g_memdup2(&fixture->balancer, sizeof(fixture->balancer));
	struct counters counters = fixture->counters;

	explanation_init(explanation, &fixture->balancer, key, NOW_MS);
	g_assert_cmpmem(before, sizeof(*before), &fixture->balancer,
			sizeof(fixture->balancer));
	g_assert_cmpmem(&counters, sizeof(counters), &fixture->counters,
			sizeof(fixture->counters));
	g_free(before);
}

/* Guards against an explanation that differs from the decision. */
static void send_explained_syn(struct fixture *fixture,
			       const struct flow_key *key,
			       const struct explanation *explanation)
{
	const struct inner_spec spec = {.key = *key, .flags = TCP_SYN};
	uint8_t packet[128];
	size_t len = inner_build(&spec, packet, sizeof(packet));

	balancer_handle_packet(&fixture->balancer, packet, len, NOW_MS,
			       &fixture->sink);
	g_assert_cmpuint(fixture->receiver, ==,
			 explanation->candidates[explanation->target.position]
				 .member_id);
}

static void test_verdicts(void)
{
	static const struct {
		const char *letters;
		uint16_t loads[MEMBERS];
		enum explanation_result result;
		/** Number of the selected member; -1: any. */
		int selected;
	} cases[] = {
		{"eedf", {3000, 2999, 0}, EXPLANATION_SELECTED, 1},
		{"bsou", {2500, 3000}, EXPLANATION_SELECTED, 1},
		{"rzer", {0, 0, 9000}, EXPLANATION_SELECTED, 2},
		{"uddz", {0}, EXPLANATION_NO_LOAD_KNOWN, 0},
		{"oood", {0}, EXPLANATION_LOADS_TOO_OLD, -1},
		{"four", {0}, EXPLANATION_ALL_RULED_OUT, -1},
		{"ddzd", {0}, EXPLANATION_NONE_ACCEPTS, -1},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct flow_key key = make_key(ROUTE, 4000);
		struct explanation explanation;
		struct fixture fixture;

		fixture_init(&fixture, cases[i].letters, cases[i].loads);
		explain(&fixture, &key, &explanation);
		g_assert_cmpint(explanation.result, ==, cases[i].result);
		g_assert_cmpuint(explanation.n_candidates, ==, MEMBERS);
		for (int j = 0; j < MEMBERS; j++) {
			const struct candidate_explanation *candidate =
				&explanation.candidates[j];
			int number = number_of(candidate->member_id);
			uint8_t letter = (uint8_t)cases[i].letters[number];

			g_assert_cmpint(verdict_letters[candidate->verdict], ==,
					strchr("bs", letter) ? 'e' : letter);
			if (candidate->verdict == CANDIDATE_ELIGIBLE)
				g_assert_cmpuint(
					candidate->total_load, ==,
					cases[i].loads[number] +
						candidate->sent_load +
						candidate->cross_zone_load);
			g_assert_cmpint(candidate->cross_zone_load > 0, ==,
					letter == 'b');
			g_assert_cmpint(candidate->suspect, ==, letter == 's');
			if (j == explanation.target.position &&
			    cases[i].selected >= 0)
				g_assert_cmpint(number, ==, cases[i].selected);
		}
		send_explained_syn(&fixture, &key, &explanation);
		fixture_finish(&fixture);
	}
}

static const uint16_t some_loads[] = {3000, 2000, 0, 2000};

/* Some source ports repeat, so that owner hints decide on their SYNs. */
static void test_agrees_with_syn(gconstpointer least_load)
{
	static const uint16_t loads[] = {9000, 8000, 0, 9500};
	uint32_t receivers = 0;
	unsigned int by_hint = 0;
	struct fixture fixture;

	fixture_init(&fixture, "ebds", loads);
	fixture.balancer.least_load_enabled = least_load != NULL;
	for (int i = 0; i < 500; i++) {
		struct flow_key key =
			make_key(ROUTE, (uint16_t)(4000 + i % 400));
		struct explanation explanation;
		int reporter = i / 16 % MEMBERS;

		if (i % 16 == 0)
			report_load(&fixture.balancer, reporter,
				    "ebds"[reporter], loads[reporter]);
		explain(&fixture, &key, &explanation);
		by_hint += explanation.target.reason == SYN_PREVIOUS_RECEIVER;
		send_explained_syn(&fixture, &key, &explanation);
		receivers |= 1u << number_of(fixture.receiver);
	}
	/* All that accept connections; suspect ones only by load, as they are
	 * last in the chain. */
	g_assert_cmpuint(receivers, ==, least_load ? 0xb : 0x3);
	g_assert_cmpint(by_hint > 0, ==, least_load != NULL);
	fixture_finish(&fixture);
}

/** A process with the admin API, and a thread in place of its packet thread. */
struct process {
	struct settings settings;
	struct node node;
	struct admin admin;
	struct fixture fixture;
	pthread_t thread;
	/** Guards `serves` and the balancer. */
	pthread_mutex_t lock;
	bool serves;
	char address[ENDPOINT_TEXT_MAX];
};

static void *serve_slot(void *arg)
{
	struct process *process = arg;
	struct node *node = &process->node;
	struct pollfd fd = {.fd = node->packet_wake_fd, .events = POLLIN};

	while (!atomic_load(&node->stop)) {
		poll(&fd, 1, -1);
		node_wake_clear(node->packet_wake_fd);
		pthread_mutex_lock(&process->lock);
		if (process->serves)
			explanation_slot_serve(&node->explanation_slot,
					       &process->fixture.balancer,
					       NOW_MS);
		pthread_mutex_unlock(&process->lock);
	}
	return NULL;
}

static void process_start(struct process *process)
{
	struct settings *settings = &process->settings;
	struct node *node = &process->node;
	unsigned int pid = (unsigned int)getpid();
	struct status status;

	memset(process, 0, sizeof(*process));
	status_init(&status);
	fixture_init(&process->fixture, "eedb", some_loads);
	settings->role = MEMBER_BALANCER;
	name_set(&settings->name, str_from("edge-1"));
	/* A loopback address of this process alone: tests run at once. */
	settings->admin.ip =
		0x7f400000u + (pid >> 16 & 0x3f) * 0x10000 + (pid & 0xffff);
	settings->admin.port = 4703;
	endpoint_format(&settings->admin, process->address);
	node->settings = settings;
	node->adapter = &adapter_native;
	node->control.roster = process->fixture.roster;
	node->packet_wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	clock_init_monotonic(&node->clock);
	pthread_mutex_init(&node->lock, NULL);
	pthread_mutex_init(&process->lock, NULL);
	explanation_slot_init(&node->explanation_slot, node->packet_wake_fd);
	g_assert_cmpint(admin_start(&process->admin, node, &status), ==,
			STATUS_OK);
	pthread_create(&process->thread, NULL, serve_slot, process);
}

/* Replaces what the balancer knows. */
static void set_state(struct process *process, bool serves, bool has_view,
		      bool has_loads)
{
	struct balancer *balancer = &process->fixture.balancer;

	pthread_mutex_lock(&process->lock);
	process->serves = serves;
	balancer->view = has_view ? &process->fixture.view : NULL;
	memset(balancer->loads.entries, 0, sizeof(balancer->loads.entries));
	for (int i = 0; i < MEMBERS && has_loads; i++)
		report_load(balancer, i, 'e', some_loads[i]);
	pthread_mutex_unlock(&process->lock);
}

static void process_finish(struct process *process)
{
	struct node *node = &process->node;

	admin_finish(&process->admin);
	atomic_store(&node->stop, true);
	node_wake(node->packet_wake_fd);
	pthread_join(process->thread, NULL);
	explanation_slot_finish(&node->explanation_slot);
	pthread_mutex_destroy(&node->lock);
	pthread_mutex_destroy(&process->lock);
	close(node->packet_wake_fd);
	fixture_finish(&process->fixture);
}

static int run_where(const char *admin, const char *to, const char *option,
		     const char *value, char **out, char **err)
{
	const char *program = g_getenv("TARRAGONFLOW");
	const char *argv[] = {program, "where", "--admin", admin,
			      to,      option,	value,	   NULL};
	GError *error = NULL;
	int code;

	g_spawn_sync(NULL, (char **)argv, NULL, G_SPAWN_DEFAULT, NULL, NULL,
		     out, err, &code, &error);
	g_assert_no_error(error);
	return WEXITSTATUS(code);
}

/* Guards against a failure that an operator's script takes for success, or that
 * doesn't say what was wrong. */
static void test_command(void)
{
	enum situation {
		NORMAL,
		NO_PACKET_THREAD,
		NO_VIEW,
		NO_LOAD,
		NO_PROCESS,
	};
	static const struct {
		enum situation situation;
		const char *to, *option, *value;
		int exit_code;
		/** Parts of the output and of the error message. */
		const char *out, *err;
	} cases[] = {
		{0, ROUTE, NULL, NULL, 0, "> orders-1 ", ""},
		{0, ROUTE, NULL, NULL, 0, "from 0.0.0.0:0, a sample", ""},
		{0, ROUTE, "--source", "10.9.0.1:40", 0, "10.9.0.1:40: b", ""},
		{0, ROUTE, "--json", NULL, 0, "\"selected\": true", ""},
		{0, "10.0.0.1:81", NULL, NULL, 1, "release 7", "to: no route"},
		{0, "10.0.0.2:80", NULL, NULL, 1, "empty", "no backend server"},
		{0, "10.0.0.3:80", NULL, NULL, 1, "release 7", "weight 0"},
		{NO_LOAD, ROUTE, NULL, NULL, 1, "> orders", "no candidate has"},
		{0, "10.0.0.1", NULL, NULL, 2, "", "ADDRESS:PORT: found"},
		{0, ROUTE, "--source", "x:1", 2, "", "--source: found"},
		{0, ROUTE, "--source", "[fd00::1]:80", 3, "", "from: not of"},
		{NO_VIEW, ROUTE, NULL, NULL, 5, "", "no configuration yet"},
		{NO_PROCESS, ROUTE, NULL, NULL, 5, "", "connect"},
		{NO_PACKET_THREAD, ROUTE, NULL, NULL, 6, "", "within 500 ms"},
	};
	struct process *process = g_new(struct process, 1);

	process_start(process);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		enum situation situation = cases[i].situation;
		char *out, *err;
		int code;

		set_state(process, situation != NO_PACKET_THREAD,
			  situation != NO_VIEW, situation != NO_LOAD);
		code = run_where(situation == NO_PROCESS ? "127.0.0.1:1"
							 : process->address,
				 cases[i].to, cases[i].option, cases[i].value,
				 &out, &err);
		g_test_message("case %zu: %s%s", i, out, err);
		g_assert_cmpint(code, ==, cases[i].exit_code);
		g_assert_nonnull(strstr(out, cases[i].out));
		g_assert_nonnull(strstr(err, cases[i].err));
		g_free(out);
		g_free(err);
	}
	process_finish(process);
	g_free(process);
}

static void test_agent(void)
{
	struct settings settings = {.role = MEMBER_AGENT};
	struct node node = {.settings = &settings};
	int http_code;
	json_t *root = admin_where_json(&node, ROUTE, "", &http_code);
	const char *error = json_string_value(json_object_get(root, "error"));

	g_assert_cmpint(http_code, ==, 404);
	g_assert_nonnull(strstr(error, "only balancers place connections"));
	json_decref(root);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/where/verdicts", test_verdicts);
	g_test_add_data_func("/where/agrees-with-syn/least-load", "least-load",
			     test_agrees_with_syn);
	g_test_add_data_func("/where/agrees-with-syn/no-load", NULL,
			     test_agrees_with_syn);
	g_test_add_func("/where/command", test_command);
	g_test_add_func("/where/agent", test_agent);
	return g_test_run();
}
