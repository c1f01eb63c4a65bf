#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tarragonflow/flow/flow_table.h"
#include "tarragonflow/roster/roster.h"
#include "tarragonflow/route/view.h"

static void make_member(struct member *member, int number)
{
	char text[32];

	memset(member, 0, sizeof(*member));
	snprintf(text, sizeof(text), "orders-%d", number);
	name_set(&member->name, str_from(text));
	name_set(&member->zone, str_from("tas-a"));
	name_set(&member->service, str_from("orders"));
	member->role = MEMBER_AGENT;
	member->state = MEMBER_ACTIVE;
	member->instance = 1;
	member->sequence = 1;
	member->connections = 2000;
	member->data.ip = (uint32_t)number;
	member->data.port = 1;
}

/* Which of two entries for one member the roster keeps. */
static void test_roster_merge(void)
{
	static const struct {
		/** The member to merge. */
		uint64_t instance, sequence;
		enum member_state state;
		/** Expected result, and state of the roster's entry. */
		enum roster_change change;
		enum member_state merged_state;
	} steps[] = {
		{2, 5, MEMBER_ACTIVE, ROSTER_CHANGED, MEMBER_ACTIVE},
		{2, 5, MEMBER_ACTIVE, ROSTER_UNCHANGED, MEMBER_ACTIVE},
		{2, 6, MEMBER_ACTIVE, ROSTER_REFRESHED, MEMBER_ACTIVE},
		{2, 6, MEMBER_SUSPECT, ROSTER_CHANGED, MEMBER_SUSPECT},
		{2, 6, MEMBER_ACTIVE, ROSTER_UNCHANGED, MEMBER_SUSPECT},
		{2, 7, MEMBER_ACTIVE, ROSTER_CHANGED, MEMBER_ACTIVE},
		{1, 99, MEMBER_LEFT, ROSTER_UNCHANGED, MEMBER_ACTIVE},
		{2, 8, MEMBER_LEFT, ROSTER_CHANGED, MEMBER_LEFT},
		{3, 1, MEMBER_ACTIVE, ROSTER_CHANGED, MEMBER_ACTIVE},
	};
	struct member member;
	struct roster roster;

	roster_init(&roster);
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		make_member(&member, 1);
		member.instance = steps[i].instance;
		member.sequence = steps[i].sequence;
		member.state = steps[i].state;
		g_assert_cmpint(roster_merge(&roster, &member, 0), ==,
				steps[i].change);
		g_assert_cmpint(roster.members[0].state, ==,
				steps[i].merged_state);
	}
	g_assert_cmpuint(roster.n, ==, 1);
	roster_finish(&roster);
}

static void make_manifest(struct manifest *manifest)
{
	static const char text[] =
		"{\"deployment\":\"d\",\"release\":1,"
		"\"zones\":[{\"name\":\"tas-a\"},{\"name\":\"tas-b\"}],"
		"\"services\":[{\"name\":\"orders\",\"address\":\"10.0.0.1\","
		"\"port\":80}]}";
	struct status status;

	status_init(&status);
	manifest_init(manifest);
	g_assert_cmpint(manifest_parse(manifest, str_from(text), "m", &status),
			==, STATUS_OK);
}

/* When a member joins, the relative order of the others in each chain does not
 * change. */
static void test_chain_order_stable(void)
{
	struct manifest manifest;
	struct roster roster;
	struct view before, after;
	struct member member;

	make_manifest(&manifest);
	roster_init(&roster);
	for (int i = 1; i <= 7; i++) {
		make_member(&member, i);
		roster_merge(&roster, &member, 0);
	}
	view_init(&before, &manifest, &roster);
	make_member(&member, 8);
	roster_merge(&roster, &member, 0);
	view_init(&after, &manifest, &roster);
	for (uint32_t b = 0; b < before.services[0].n_buckets; b++) {
		struct packet_header old_chain, new_chain;
		/* Index in old_chain. */
		int next_old_candidate = 0;

		view_fill_chain(&before.services[0], b, &old_chain);
		view_fill_chain(&after.services[0], b, &new_chain);
		g_assert_cmpint(new_chain.n_candidates, ==, 8);
		for (int i = 0; i < new_chain.n_candidates; i++) {
			if (new_chain.candidates[i].member_id ==
			    member_id(&member.name))
				continue;
			g_assert_cmpuint(
				new_chain.candidates[i].member_id, ==,
				old_chain.candidates[next_old_candidate++]
					.member_id);
		}
	}
	view_finish(&before);
	view_finish(&after);
	roster_finish(&roster);
	manifest_finish(&manifest);
}

/*
 * Members that have left or whose zone is out of service are in no chain.
 * Suspect members come last, draining ones accept no new connections.
 */
static void test_states_in_chain(void)
{
	struct manifest manifest;
	struct roster roster;
	struct view view;
	struct member member;

	make_manifest(&manifest);
	manifest.zones[1].state = ZONE_OUT_OF_SERVICE;
	roster_init(&roster);
	for (int i = 1; i <= 5; i++) {
		make_member(&member, i);
		if (i == 1)
			member.state = MEMBER_SUSPECT;
		if (i == 2)
			member.state = MEMBER_DRAINING;
		if (i == 3)
			member.state = MEMBER_LEFT;
		if (i == 4)
			name_set(&member.zone, str_from("tas-b"));
		roster_merge(&roster, &member, 0);
	}
	view_init(&view, &manifest, &roster);
	for (uint32_t b = 0; b < view.services[0].n_buckets; b++) {
		struct packet_header header;

		view_fill_chain(&view.services[0], b, &header);
		g_assert_cmpint(header.n_candidates, ==, 3);
		g_assert_cmpuint(header.candidates[2].data.ip, ==, 1);
		for (int i = 0; i < 2; i++)
			g_assert_cmpint(header.candidates[i].flags ==
						CANDIDATE_TAKES_NEW,
					==, header.candidates[i].data.ip == 5);
	}
	view_finish(&view);
	roster_finish(&roster);
	manifest_finish(&manifest);
}

/* The table accepts its maximum number of flows, and all others can be found
 * after removals. */
static void test_flow_table(void)
{
	struct flow_table table;
	struct flow_key key = {.src_port = 0};

	flow_table_init(&table, 1000, 7);
	for (int i = 1; i <= 1000; i++) {
		key.src_port = (uint16_t)i;
		g_assert_nonnull(flow_table_insert(&table, &key));
	}
	key.src_port = 1001;
	g_assert_null(flow_table_insert(&table, &key));
	for (int i = 1; i <= 1000; i += 2) {
		key.src_port = (uint16_t)i;
		flow_table_remove(&table, flow_table_find(&table, &key));
	}
	g_assert_cmpuint(table.used, ==, 500);
	for (int i = 1; i <= 1000; i++) {
		key.src_port = (uint16_t)i;
		g_assert_cmpint(flow_table_find(&table, &key) != NULL, ==,
				i % 2 == 0);
	}
	flow_table_finish(&table);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/roster/merge", test_roster_merge);
	g_test_add_func("/route/chain-order-stable", test_chain_order_stable);
	g_test_add_func("/route/states-in-chain", test_states_in_chain);
	g_test_add_func("/flow/table", test_flow_table);
	return g_test_run();
}
