#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/file_watch.h"

/*
 * A real balancer process whose settings change while it runs, with a signal
 * and without.
 */
#define LINE_WAIT_MS 15000

static const char template[] =
	"{\"deployment\":\"d\",\"name\":\"edge-1\",\"zone\":\"z\","
	"\"data\":\"127.77.6.1:4701\",\"control\":\"127.77.6.1:4702\","
	"\"admin\":\"127.77.6.1:4703\",\"platform\":\"http://127.77.6.1:1\","
	"\"seeds\":[],%s}";

/** The process and what it has written so far. */
struct process {
	GPid pid;
	int out;
	GString *text;
	char *path;
};

static void write_settings(const struct process *process, const char *more)
{
	char *text = g_strdup_printf(template, more);

	g_assert_true(g_file_set_contents(process->path, text, -1, NULL));
	g_free(text);
}

static void process_start(struct process *process, const char *more)
{
	char *argv[] = {(char *)g_getenv("TARRAGONFLOW"), (char *)"balancer",
			(char *)"--settings", NULL, NULL};
	GError *error = NULL;
	int fd = g_file_open_tmp("settings-XXXXXX", &process->path, &error);

	g_assert_no_error(error);
	close(fd);
	write_settings(process, more);
	argv[3] = process->path;
	process->text = g_string_new(NULL);
	g_spawn_async_with_pipes(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
				 NULL, NULL, &process->pid, NULL, &process->out,
				 NULL, &error);
	g_assert_no_error(error);
	fcntl(process->out, F_SETFL, O_NONBLOCK);
}

static void read_more(struct process *process)
{
	struct pollfd fd = {.fd = process->out, .events = POLLIN};
	char chunk[4096];
	ssize_t n;

	poll(&fd, 1, 100);
	while ((n = read(process->out, chunk, sizeof(chunk))) > 0)
		g_string_append_len(process->text, chunk, n);
}

/* Waits for @wanted, then forgets all that was written so far. */
static void expect(struct process *process, const char *wanted)
{
	struct clock clock;
	int64_t end_ms;

	clock_init_monotonic(&clock);
	end_ms = clock_now(&clock) + LINE_WAIT_MS;
	while (!strstr(process->text->str, wanted) &&
	       clock_now(&clock) < end_ms)
		read_more(process);
	if (!strstr(process->text->str, wanted))
		g_error("no \"%s\" in:\n%s", wanted, process->text->str);
	g_string_truncate(process->text, 0);
}

static void process_finish(struct process *process)
{
	int state;

	kill(process->pid, SIGTERM);
	expect(process, "event=stopped");
	g_assert_cmpint(waitpid(process->pid, &state, 0), ==, process->pid);
	g_assert_cmpint(state, ==, 0);
	g_string_free(process->text, TRUE);
	g_unlink(process->path);
	g_free(process->path);
	close(process->out);
}

static void test_reload(void)
{
	struct process process;

	process_start(&process, "\"zone_bound_ms\":5000");
	expect(&process, "event=started");
	/* Without a signal. */
	write_settings(&process, "\"zone_bound_ms\":4000,\"mtu\":1400");
	expect(&process, "changed=zone_bound_ms needs_restart=mtu");
	/* An error keeps what is in force and names the field. */
	write_settings(&process, "\"zone_bound_ms\":-4");
	expect(&process, "zone_bound_ms");
	write_settings(&process,
		       "\"zone_bound_ms\":4000,\"log_connections\":true,"
		       "\"mtu\":1400");
	expect(&process, "changed=log_connections needs_restart=mtu");
	/* With a signal, also when the file is the same. */
	kill(process.pid, SIGHUP);
	expect(&process, "changed=- needs_restart=mtu");
	write_settings(&process, "\"log_level\":\"warn\"");
	kill(process.pid, SIGHUP);
	clock_sleep(500);
	write_settings(&process, "\"log_level\":\"info\"");
	expect(&process, "changed=log_level");
	process_finish(&process);
}

static void test_file_watch(void)
{
	struct file_watch watch;
	GError *error = NULL;
	char *path;
	int fd = g_file_open_tmp("watch-XXXXXX", &path, &error);

	g_assert_no_error(error);
	close(fd);
	file_watch_init(&watch, path);
	g_assert_false(file_watch_changed(&watch));
	g_assert_true(g_file_set_contents(path, "a", -1, NULL));
	g_assert_true(file_watch_changed(&watch));
	g_assert_false(file_watch_changed(&watch));
	/* Gone for a moment, then another file of the same size. */
	g_unlink(path);
	g_assert_false(file_watch_changed(&watch));
	g_assert_true(g_file_set_contents(path, "b", -1, NULL));
	g_assert_true(file_watch_changed(&watch));
	g_unlink(path);
	g_free(path);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/reload/file-watch", test_file_watch);
	g_test_add_func("/reload/process", test_reload);
	return g_test_run();
}
