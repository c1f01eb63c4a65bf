#include <glib.h>
#include <string.h>

#include "tarragonflow/admin/admin.h"

static void test_parse_address(void)
{
	static const struct {
		const char *text, *address;
		uint16_t port;
	} cases[] = {
		{"10.0.0.1:80", "10.0.0.1", 80},
		{"[fd00::1]:65535", "fd00::1", 65535},
		{"10.0.0.1", NULL, 0},
		{"10.0.0.1:0", NULL, 0},
		{"10.0.0.1:65536", NULL, 0},
		{"10.0.0.1:80x", NULL, 0},
		{"[fd00::1:80", NULL, 0},
		{"[]:80", NULL, 0},
		{":80", NULL, 0},
		{"", NULL, 0},
		{"[", NULL, 0},
		{"name:80", NULL, 0},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char text[IP_ADDR_TEXT_MAX];
		struct ip_addr addr;
		uint16_t port;

		g_assert_cmpint(
			admin_parse_address(cases[i].text, &addr, &port), ==,
			cases[i].address != NULL);
		if (!cases[i].address)
			continue;
		g_assert_cmpstr(ip_addr_format(&addr, text), ==,
				cases[i].address);
		g_assert_cmpuint(port, ==, cases[i].port);
	}
}

static void test_token_matches(void)
{
	static const struct {
		const char *token, *header;
		bool matches;
	} cases[] = {
		{"0123456789abcdef", "Bearer 0123456789abcdef", true},
		{"0123456789abcdef", "Bearer 0123456789abcdeF", false},
		{"0123456789abcdef", "Bearer 0123456789abcde", false},
		{"0123456789abcdef", "Bearer 0123456789abcdef0", false},
		{"0123456789abcdef", "Basic 0123456789abcdef", false},
		{"0123456789abcdef", "0123456789abcdef", false},
		{"0123456789abcdef", "", false},
		{"0123456789abcdef", NULL, false},
		{"", "Bearer ", false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct json_text token = {.len = strlen(cases[i].token)};

		memcpy(token.data, cases[i].token, token.len);
		g_assert_cmpint(admin_token_matches(&token, cases[i].header),
				==, cases[i].matches);
	}
}

/*
 * Initialises @node with release 3 of a configuration and @n agents of one
 * service; the first agent is draining and has release 2.
 */
static void init_node_with_agents(struct node *node, struct settings *settings,
				  int n)
{
	static const char text[] =
		"{\"deployment\":\"d\",\"release\":3,"
		"\"zones\":[{\"name\":\"tas-a\"},"
		"{\"name\":\"tas-b\",\"state\":\"out\"}],"
		"\"services\":[{\"name\":\"orders\",\"address\":\"10.0.0.1\","
		"\"port\":80},{\"name\":\"empty\",\"address\":\"fd00::1\","
		"\"port\":80}]}";
	struct status status;

	memset(node, 0, sizeof(*node));
	memset(settings, 0, sizeof(*settings));
	status_init(&status);
	node->settings = settings;
	pthread_mutex_init(&node->lock, NULL);
	manifest_init(&node->control.config.manifest);
	g_assert_cmpint(manifest_parse(&node->control.config.manifest,
				       str_from(text), "m", &status),
			==, STATUS_OK);
	roster_init(&node->control.roster);
	for (int i = 0; i < n; i++) {
		struct member member = {.role = MEMBER_AGENT,
					.state = i ? MEMBER_ACTIVE
						   : MEMBER_DRAINING,
					.instance = 1,
					.sequence = 1,
					.connections = 2000,
					.config_revision = i ? 3 : 2};
		char name[32];

		g_snprintf(name, sizeof(name), "orders-%d", i);
		name_set(&member.name, str_from(name));
		name_set(&member.zone, str_from("tas-a"));
		name_set(&member.service, str_from("orders"));
		roster_merge(&node->control.roster, &member, 0);
	}
}

static void finish_node(struct node *node)
{
	manifest_finish(&node->control.config.manifest);
	roster_finish(&node->control.roster);
	pthread_mutex_destroy(&node->lock);
}

static void test_chain(void)
{
	static const struct {
		const char *dst, *service, *why;
		size_t candidates;
	} cases[] = {
		{"10.0.0.1:80", "orders", "picks bucket", 5},
		{"10.0.0.1:81", NULL, "no service has", 0},
		{"10.0.0.9:80", NULL, "no service has", 0},
		{"[fd00::1]:80", "empty", "no backend server", 0},
	};
	struct settings settings;
	struct node node;

	init_node_with_agents(&node, &settings, 5);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct flow_key key = {0};
		const json_t *chain, *candidate;
		json_t *root;
		size_t j;

		admin_parse_address("10.9.0.1:4000", &key.src, &key.src_port);
		g_assert_true(admin_parse_address(cases[i].dst, &key.dst,
						  &key.dst_port));
		root = admin_chain_json(&node, &key);
		chain = json_object_get(root, "chain");
		g_assert_cmpstr(
			json_string_value(json_object_get(root, "service")), ==,
			cases[i].service);
		g_assert_nonnull(
			strstr(json_string_value(json_object_get(root, "why")),
			       cases[i].why));
		g_assert_cmpuint(json_array_size(chain), ==,
				 cases[i].candidates);
		json_array_foreach(chain, j, candidate)
		{
			const char *name = json_string_value(
				json_object_get(candidate, "name"));
			bool draining = !strcmp(name, "orders-0");

			g_assert_cmpint(json_is_true(json_object_get(
						candidate, "takes_new")),
					==, !draining);
		}
		json_decref(root);
	}
	finish_node(&node);
}

static void test_overview(void)
{
	struct settings settings;
	const json_t *lagging;
	struct node node;
	json_t *root;

	init_node_with_agents(&node, &settings, 3);
	root = admin_overview_json(&node);
	lagging = json_object_get(root, "lagging");
	g_assert_cmpuint(json_array_size(lagging), ==, 1);
	g_assert_cmpstr(json_string_value(json_array_get(lagging, 0)), ==,
			"orders-0");
	g_assert_cmpuint(json_array_size(json_object_get(root, "zones")), ==,
			 2);
	g_assert_cmpuint(json_array_size(json_object_get(root, "members")), ==,
			 3);
	g_assert_cmpint(json_integer_value(json_object_get(root, "release")),
			==, 3);
	json_decref(root);
	finish_node(&node);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admin/parse-address", test_parse_address);
	g_test_add_func("/admin/token-matches", test_token_matches);
	g_test_add_func("/admin/chain", test_chain);
	g_test_add_func("/admin/overview", test_overview);
	return g_test_run();
}
