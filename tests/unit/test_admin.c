#include <glib.h>
#include <string.h>

#include "tarragonflow/admin/admin.h"

static void test_parse_side(void)
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

		g_assert_cmpint(admin_parse_side(cases[i].text, &addr, &port),
				==, cases[i].address != NULL);
		if (!cases[i].address)
			continue;
		g_assert_cmpstr(ip_addr_format(&addr, text), ==,
				cases[i].address);
		g_assert_cmpuint(port, ==, cases[i].port);
	}
}

static void test_token(void)
{
	static const struct {
		const char *token, *header;
		bool good;
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
				==, cases[i].good);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admin/parse-side", test_parse_side);
	g_test_add_func("/admin/token", test_token);
	return g_test_run();
}
