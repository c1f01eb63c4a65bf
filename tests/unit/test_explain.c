#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

/* Runs the program in TARRAGONFLOW over logs that the test writes. */

#define CONN(at, id, did)                                             \
	"[stdout] INFO tarragonflow - event=conn at_ms=" at " id=" id \
	" did=" did " reason=- member=000000aa load=1\n"

static const char balancer_log[] =
	"INFO tarragonflow - event=started at_ms=1 name=b\n" CONN(
		"30", "10.0.0.1:7>10.0.0.2:443/5", "open-placed")
		CONN("31", "10.0.0.9:7>10.0.0.2:443/6", "open-placed")
			CONN("90", "10.0.0.1:7>10.0.0.2:443/0",
			     "search-begun") "no event here\nevent=conn\n";

static const char agent_log[] =
	"event=member at_ms=2 name=agent-a id=000000aa role=agent\n" CONN(
		"32", "10.0.0.1:7>10.0.0.2:443/5", "open-delivered")
		CONN("95", "10.0.0.1:7>10.0.0.2:443/0", "reset-no-owner");

static char *run(int *code, const char *id, const char *file_a,
		 const char *file_b)
{
	const char *argv[] = {
		g_getenv("TARRAGONFLOW"), "explain", id, file_a, file_b, NULL};
	GError *error = NULL;
	char *out = NULL;

	g_spawn_sync(NULL, (char **)argv, NULL, G_SPAWN_STDERR_TO_DEV_NULL,
		     NULL, NULL, &out, NULL, code, &error);
	g_assert_no_error(error);
	return out;
}

static char *write_log(const char *dir, const char *name, const char *text)
{
	char *path = g_build_filename(dir, name, NULL);

	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	return path;
}

static void test_trail(void)
{
	static const char *const order[] = {"open-placed", "open-delivered",
					    "search-begun", "reset-no-owner"};
	char *dir = g_dir_make_tmp("explain-XXXXXX", NULL);
	char *balancer = write_log(dir, "balancer.log", balancer_log);
	char *agent = write_log(dir, "agent.log", agent_log);
	const char *at;
	char *out;
	int code;

	out = run(&code, "10.0.0.1:7>", balancer, agent);
	g_assert_cmpint(code, ==, 0);
	at = out;
	for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
		at = strstr(at, order[i]);
		g_assert_nonnull(at);
	}
	g_assert_null(strstr(out, "10.0.0.9"));
	g_assert_nonnull(strstr(out, "agent.log: event=conn"));
	g_assert_nonnull(strstr(out, "member_name=agent-a"));
	g_free(out);
	out = run(&code, "10.9.9.9", balancer, agent);
	g_assert_cmpint(code, !=, 0);
	g_free(out);
	out = run(&code, "10.0.0.1", balancer, "/does/not/exist");
	g_assert_cmpint(code, !=, 0);
	g_free(out);
	g_remove(balancer);
	g_remove(agent);
	g_rmdir(dir);
	g_free(balancer);
	g_free(agent);
	g_free(dir);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/explain/trail", test_trail);
	return g_test_run();
}
