#include <glib.h>
#include <string.h>

#include "tarragonflow/route/explanation.h"

/*
 * The explanation of where a SYN would be sent: that it names what rules a
 * candidate out, agrees with the decision on the SYN, and changes nothing.
 */
#define MEMBERS 4
#define NOW_MS 100000
/* Older than any maximum age of a load, and the time that packets to a member
 * that is unreachable have not been counted. */
#define LONG_AGO_MS 30000
#define NO_REPORT UINT32_MAX

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

/** State of a member, and what the balancer knows of its load. */
struct member_state_case {
	enum member_state state;
	const char *zone;
	/** NO_REPORT: never reported. */
	uint32_t load;
	int64_t age_ms;
	/** A packet sent to it was not counted in its reports. */
	bool packets_lost;
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

static uint32_t number_id(int number)
{
	struct name name;
	char text[32];

	g_snprintf(text, sizeof(text), "orders-%d", number);
	name_set(&name, str_from(text));
	return member_id(&name);
}

static void add_member(struct roster *roster, int number,
		       const struct member_state_case *state)
{
	struct member member = {.role = MEMBER_AGENT,
				.state = state->state,
				.instance = 1,
				.sequence = 1,
				.connections = 2000};
	char text[32];

	g_snprintf(text, sizeof(text), "orders-%d", number);
	name_set(&member.name, str_from(text));
	name_set(&member.zone, str_from(state->zone));
	name_set(&member.service, str_from("orders"));
	roster_merge(roster, &member, 0);
}

static void report_load(struct fixture *fixture, int number,
			const struct member_state_case *state)
{
	struct peer_loads *loads = &fixture->balancer.loads;

	if (state->load == NO_REPORT)
		return;
	peer_load_update(loads, number_id(number), (uint16_t)state->load,
			 NOW_MS - state->age_ms);
	if (state->packets_lost)
		peer_load_record_sent(loads, number_id(number),
				      NOW_MS - LONG_AGO_MS);
}

static void fixture_init(struct fixture *fixture,
			 const struct member_state_case *members)
{
	static const char text[] =
		"{\"deployment\":\"d\",\"release\":7,"
		"\"zones\":[{\"name\":\"a\"},{\"name\":\"b\"}],"
		"\"services\":[{\"name\":\"orders\",\"address\":\"10.0.0.1\","
		"\"port\":80},{\"name\":\"empty\",\"address\":\"10.0.0.2\","
		"\"port\":80}],\"routes\":[{\"name\":\"none\",\"address\":\"10.0.0.3\","
		"\"port\":80,\"backends\":[{\"service\":\"orders\","
		"\"weight\":0}]}]}";
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
		add_member(&fixture->roster, i, &members[i]);
	view_init(&fixture->view, &fixture->manifest, &fixture->roster);
	counters_init(&fixture->counters);
	balancer_init(&fixture->balancer, &fixture->counters);
	name_set(&zone, str_from("a"));
	balancer_enable_least_load(&fixture->balancer, &zone);
	balancer_set_view(&fixture->balancer, &fixture->view);
	for (int i = 0; i < MEMBERS; i++)
		report_load(fixture, i, &members[i]);
}

static void fixture_finish(struct fixture *fixture)
{
	view_finish(&fixture->view);
	roster_finish(&fixture->roster);
	manifest_finish(&fixture->manifest);
}

static struct flow_key make_key(const char *dst, uint16_t port,
				uint16_t src_port)
{
	struct flow_key key = {.src_port = src_port, .dst_port = port};

	ip_addr_parse(&key.src, "10.9.0.1");
	ip_addr_parse(&key.dst, dst);
	return key;
}

/* The number of the member with @id. */
static int number_of(uint32_t id)
{
	int number = 0;

	while (number_id(number) != id)
		number++;
	return number;
}

static const struct member_state_case idle = {MEMBER_ACTIVE, "a", 3000, 10};

static void test_verdicts(void)
{
	static const struct {
		const char *name;
		struct member_state_case members[MEMBERS];
		enum candidate_verdict verdicts[MEMBERS];
		enum explanation_result result;
		/** Number of the selected member; -1: any. */
		int selected;
	} cases[] = {
		{"lowest load",
		 {{MEMBER_ACTIVE, "a", 3000, 10},
		  {MEMBER_ACTIVE, "a", 2999, 10},
		  {MEMBER_DRAINING, "a", 0, 10},
		  {MEMBER_ACTIVE, "a", PACKET_LOAD_FULL, 10}},
		 {CANDIDATE_ELIGIBLE, CANDIDATE_ELIGIBLE, CANDIDATE_DRAINING,
		  CANDIDATE_FULL},
		 EXPLANATION_SELECTED,
		 1},
		{"another zone, and reports that are missing",
		 {{MEMBER_ACTIVE, "b", 2500, 10},
		  {MEMBER_SUSPECT, "a", 3000, 10},
		  {MEMBER_ACTIVE, "a", 0, LONG_AGO_MS},
		  {MEMBER_ACTIVE, "a", NO_REPORT}},
		 {CANDIDATE_ELIGIBLE, CANDIDATE_ELIGIBLE,
		  CANDIDATE_LOAD_TOO_OLD, CANDIDATE_LOAD_UNKNOWN},
		 EXPLANATION_SELECTED,
		 1},
		{"unreachable",
		 {{MEMBER_ACTIVE, "a", 0, 10, true},
		  {MEMBER_ACTIVE, "a", 9000, 10},
		  {MEMBER_ACTIVE, "a", 0, 10, true},
		  {MEMBER_ACTIVE, "a", 0, 10, true}},
		 {CANDIDATE_UNREACHABLE, CANDIDATE_ELIGIBLE,
		  CANDIDATE_UNREACHABLE, CANDIDATE_UNREACHABLE},
		 EXPLANATION_SELECTED,
		 1},
		{"no load known",
		 {{MEMBER_ACTIVE, "a", NO_REPORT},
		  {MEMBER_DRAINING, "a", 0, 10},
		  {MEMBER_DRAINING, "a", 0, 10},
		  {MEMBER_DRAINING, "a", 0, 10}},
		 {CANDIDATE_LOAD_UNKNOWN, CANDIDATE_DRAINING,
		  CANDIDATE_DRAINING, CANDIDATE_DRAINING},
		 EXPLANATION_NO_LOAD_KNOWN,
		 0},
		{"loads too old",
		 {{MEMBER_ACTIVE, "a", 0, LONG_AGO_MS},
		  {MEMBER_ACTIVE, "b", 0, LONG_AGO_MS},
		  {MEMBER_ACTIVE, "a", 0, LONG_AGO_MS},
		  {MEMBER_DRAINING, "a", 0, 10}},
		 {CANDIDATE_LOAD_TOO_OLD, CANDIDATE_LOAD_TOO_OLD,
		  CANDIDATE_LOAD_TOO_OLD, CANDIDATE_DRAINING},
		 EXPLANATION_LOADS_TOO_OLD,
		 -1},
		{"full or old",
		 {{MEMBER_ACTIVE, "a", PACKET_LOAD_FULL, 10},
		  {MEMBER_ACTIVE, "b", 0, LONG_AGO_MS},
		  {MEMBER_ACTIVE, "a", NO_REPORT},
		  {MEMBER_ACTIVE, "a", NO_REPORT}},
		 {CANDIDATE_FULL, CANDIDATE_LOAD_TOO_OLD,
		  CANDIDATE_LOAD_UNKNOWN, CANDIDATE_LOAD_UNKNOWN},
		 EXPLANATION_ALL_RULED_OUT,
		 -1},
		{"all draining",
		 {{MEMBER_DRAINING, "a", 0, 10},
		  {MEMBER_DRAINING, "a", 0, 10},
		  {MEMBER_DRAINING, "a", 0, 10},
		  {MEMBER_DRAINING, "a", 0, 10}},
		 {CANDIDATE_DRAINING, CANDIDATE_DRAINING, CANDIDATE_DRAINING,
		  CANDIDATE_DRAINING},
		 EXPLANATION_NONE_ACCEPTS,
		 -1},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct flow_key key = make_key("10.0.0.1", 80, 4000);
		struct explanation explanation;
		struct fixture fixture;

		g_test_message("%s", cases[i].name);
		fixture_init(&fixture, cases[i].members);
		explanation_init(&explanation, &fixture.balancer, &key, NOW_MS);
		g_assert_cmpint(explanation.result, ==, cases[i].result);
		g_assert_cmpuint(explanation.n_candidates, ==, MEMBERS);
		for (int j = 0; j < MEMBERS; j++) {
			const struct candidate_explanation *candidate =
				&explanation.candidates[j];
			int number = number_of(candidate->member_id);

			g_assert_cmpint(candidate->verdict, ==,
					cases[i].verdicts[number]);
			g_assert_cmpint(candidate->cross_zone_load > 0, ==,
					!candidate->verdict &&
						candidate->zone.data[0] == 'b');
			if (j == explanation.target.position &&
			    cases[i].selected >= 0)
				g_assert_cmpint(number, ==, cases[i].selected);
		}
		fixture_finish(&fixture);
	}
}

static void test_no_candidates(void)
{
	static const struct {
		const char *dst;
		uint16_t port;
		bool without_view;
		enum explanation_result result;
	} cases[] = {
		{"10.0.0.1", 80, true, EXPLANATION_NO_CONFIG},
		{"10.0.0.1", 80, false, EXPLANATION_SELECTED},
		{"10.0.0.1", 81, false, EXPLANATION_NO_ROUTE},
		{"10.0.0.9", 80, false, EXPLANATION_NO_ROUTE},
		{"10.0.0.2", 80, false, EXPLANATION_NO_SERVER},
		{"10.0.0.3", 80, false, EXPLANATION_NO_WEIGHT},
	};
	const struct member_state_case members[] = {idle, idle, idle, idle};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct flow_key key =
			make_key(cases[i].dst, cases[i].port, 4000);
		struct explanation explanation;
		struct fixture fixture;

		fixture_init(&fixture, members);
		if (cases[i].without_view)
			fixture.balancer.view = NULL;
		explanation_init(&explanation, &fixture.balancer, &key, NOW_MS);
		g_assert_cmpint(explanation.result, ==, cases[i].result);
		g_assert_cmpint(explanation.release, ==,
				cases[i].without_view ? 0 : 7);
		fixture_finish(&fixture);
	}
}

static void send_syn(struct fixture *fixture, const struct flow_key *key)
{
	const struct inner_spec spec = {.key = *key, .flags = TCP_SYN};
	uint8_t packet[128];
	size_t len = inner_build(&spec, packet, sizeof(packet));

	balancer_handle_packet(&fixture->balancer, packet, len, NOW_MS,
			       &fixture->sink);
}

/*
 * Guards against an explanation that differs from the decision, and against one
 * that counts as a connection: the state of the balancer stays the same to the
 * byte, and the SYN that follows goes where the explanation says. A few source
 * ports repeat, so that owner hints decide on some SYNs.
 */
static void test_agrees_with_syn(gconstpointer least_load)
{
	const struct member_state_case members[] = {
		{MEMBER_ACTIVE, "a", 9000, 10},
		{MEMBER_ACTIVE, "b", 8000, 10},
		{MEMBER_DRAINING, "a", 0, 10},
		{MEMBER_SUSPECT, "a", 9500, 10},
	};
	struct balancer *before = g_new(struct balancer, 1);
	unsigned int by_hint = 0, n_receivers = 0;
	uint32_t receivers = 0;
	struct fixture fixture;

	fixture_init(&fixture, members);
	fixture.balancer.least_load_enabled = least_load != NULL;
	for (int i = 0; i < 500; i++) {
		struct flow_key key =
			make_key("10.0.0.1", 80, (uint16_t)(4000 + i % 400));
		struct counters counters = fixture.counters;
		struct explanation explanation;

		if (i % 16 == 0)
			report_load(&fixture, i / 16 % MEMBERS,
				    &members[i / 16 % MEMBERS]);
		memcpy(before, &fixture.balancer, sizeof(*before));
		explanation_init(&explanation, &fixture.balancer, &key, NOW_MS);
		g_assert_cmpmem(before, sizeof(*before), &fixture.balancer,
				sizeof(fixture.balancer));
		g_assert_cmpmem(&counters, sizeof(counters), &fixture.counters,
				sizeof(fixture.counters));
		by_hint += explanation.target.reason == SYN_PREVIOUS_RECEIVER;
		send_syn(&fixture, &key);
		g_assert_cmpuint(
			fixture.receiver, ==,
			explanation.candidates[explanation.target.position]
				.member_id);
		receivers |= 1u << number_of(fixture.receiver);
	}
	for (int i = 0; i < MEMBERS; i++)
		n_receivers += receivers >> i & 1;
	g_assert_cmpuint(n_receivers, >=, 2);
	g_assert_false(receivers & 1u << 2);
	g_assert_cmpint(by_hint > 0, ==, least_load != NULL);
	fixture_finish(&fixture);
	g_free(before);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/where/verdicts", test_verdicts);
	g_test_add_func("/where/no-candidates", test_no_candidates);
	g_test_add_data_func("/where/agrees-with-syn/least-load", "least-load",
			     test_agrees_with_syn);
	g_test_add_data_func("/where/agrees-with-syn/no-load", NULL,
			     test_agrees_with_syn);
	return g_test_run();
}
