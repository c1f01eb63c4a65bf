#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

/* Runs `explain` of the program in TARRAGONFLOW on logs written by the test. */

#define CONN_LINE(at, id, decision)                                   \
	"[stdout] INFO tarragonflow - event=conn at_ms=" at " id=" id \
	" did=" decision " reason=- member=000000aa load=1\n"

static const char balancer_log[] =
	"INFO tarragonflow - event=started at_ms=1 name=b\n" CONN_LINE(
		"30", "10.0.0.1:7>10.0.0.2:443/5", "open-placed")
		CONN_LINE("31", "10.0.0.9:7>10.0.0.2:443/6", "open-placed")
			CONN_LINE("90", "10.0.0.1:7>10.0.0.2:443/0",
				  "search-begun") "no event here\nevent=conn\n";

static const char agent_log[] =
	"event=member at_ms=2 name=agent-a id=000000aa role=agent\n" CONN_LINE(
		"32", "10.0.0.1:7>10.0.0.2:443/5", "open-delivered")
		CONN_LINE("95", "10.0.0.1:7>10.0.0.2:443/0", "reset-no-owner");

static char *run_explain(int *code, const char *id, const char *file_a,
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

static void test_trace_of_connection(void)
{
	static const char *const decisions[] = {"open-placed", "open-delivered",
						"search-begun",
						"reset-no-owner"};
	char *dir = g_dir_make_tmp("explain-XXXXXX", NULL);
	char *balancer = write_log(dir, "balancer.log", balancer_log);
	char *agent = write_log(dir, "agent.log", agent_log);
	const char *pos;
	char *out;
	int code;

	out = run_explain(&code, "10.0.0.1:7>", balancer, agent);
	g_assert_cmpint(code, ==, 0);
	pos = out;
	for (size_t i = 0; i < G_N_ELEMENTS(decisions); i++) {
		pos = strstr(pos, decisions[i]);
		g_assert_nonnull(pos);
	}
	g_assert_null(strstr(out, "10.0.0.9"));
	g_assert_nonnull(strstr(out, "agent.log: event=conn"));
	g_assert_nonnull(strstr(out, "member_name=agent-a"));
	g_free(out);
	out = run_explain(&code, "10.9.9.9", balancer, agent);
	g_assert_cmpint(code, !=, 0);
	g_free(out);
	out = run_explain(&code, "10.0.0.1", balancer, "/does/not/exist");
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
	g_test_add_func("/explain/trace-of-connection",
			test_trace_of_connection);
	return g_test_run();
}
