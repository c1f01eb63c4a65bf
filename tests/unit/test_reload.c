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
 * Changes the settings file of a running balancer process: it must reload the
 * file on SIGHUP, and without a signal when it detects the change.
 */
#define OUTPUT_TIMEOUT_MS 15000

static const char settings_template[] =
	"{\"deployment\":\"d\",\"name\":\"edge-1\",\"zone\":\"z\","
	"\"data\":\"%1$s:4701\",\"control\":\"%1$s:4702\","
	"\"admin\":\"%1$s:4703\",\"platform\":\"http://%1$s:1\","
	"\"seeds\":[],%2$s}";

/** A balancer process and its output so far. */
struct process {
	GPid pid;
	int output_fd;
	GString *output;
	char *settings_path;
};

/* A loopback address of this test process alone: several may run at once. */
static char *own_address(void)
{
	unsigned int pid = (unsigned int)getpid();

	return g_strdup_printf("127.%u.%u.%u", 64 + (pid >> 16) % 128,
			       pid >> 8 & 0xff, pid & 0xff);
}

static void write_settings(const struct process *process, const char *fields)
{
	char *address = own_address();
	char *text = g_strdup_printf(settings_template, address, fields);

	g_assert_true(
		g_file_set_contents(process->settings_path, text, -1, NULL));
	g_free(text);
	g_free(address);
}

static void process_start(struct process *process, const char *fields)
{
	char *argv[] = {(char *)g_getenv("TARRAGONFLOW"), (char *)"balancer",
			(char *)"--settings", NULL, NULL};
	GError *error = NULL;
	int fd = g_file_open_tmp("settings-XXXXXX", &process->settings_path,
				 &error);

	g_assert_no_error(error);
	close(fd);
	write_settings(process, fields);
	argv[3] = process->settings_path;
	process->output = g_string_new(NULL);
	g_spawn_async_with_pipes(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
				 NULL, NULL, &process->pid, NULL,
				 &process->output_fd, NULL, &error);
	g_assert_no_error(error);
	fcntl(process->output_fd, F_SETFL, O_NONBLOCK);
}

static void read_output(struct process *process)
{
	struct pollfd fd = {.fd = process->output_fd, .events = POLLIN};
	char chunk[4096];
	ssize_t n;

	poll(&fd, 1, 100);
	while ((n = read(process->output_fd, chunk, sizeof(chunk))) > 0)
		g_string_append_len(process->output, chunk, n);
}

/* Waits until the output contains @text, then discards the output. */
static void expect_output(struct process *process, const char *text)
{
	struct clock clock;
	int64_t end_ms;

	clock_init_monotonic(&clock);
	end_ms = clock_now(&clock) + OUTPUT_TIMEOUT_MS;
	while (!strstr(process->output->str, text) &&
	       clock_now(&clock) < end_ms)
		read_output(process);
	if (!strstr(process->output->str, text))
		g_error("no \"%s\" in:\n%s", text, process->output->str);
	g_string_truncate(process->output, 0);
}

static void process_finish(struct process *process)
{
	int status;

	kill(process->pid, SIGTERM);
	expect_output(process, "event=stopped");
	g_assert_cmpint(waitpid(process->pid, &status, 0), ==, process->pid);
	g_assert_cmpint(status, ==, 0);
	g_string_free(process->output, TRUE);
	g_unlink(process->settings_path);
	g_free(process->settings_path);
	close(process->output_fd);
}

static void test_reload(void)
{
	struct process process;

	process_start(&process, "\"zone_bound_ms\":5000");
	expect_output(&process, "event=started");
	/* A change of the file, without a signal. */
	write_settings(&process, "\"zone_bound_ms\":4000,\"mtu\":1400");
	expect_output(&process, "changed=zone_bound_ms needs_restart=mtu");
	/* An error names the field, and the settings in use stay. */
	write_settings(&process, "\"zone_bound_ms\":-4");
	expect_output(&process, "zone_bound_ms");
	write_settings(&process,
		       "\"zone_bound_ms\":4000,\"log_connections\":true,"
		       "\"mtu\":1400");
	expect_output(&process, "changed=log_connections needs_restart=mtu");
	/* A signal reloads even an unchanged file. */
	kill(process.pid, SIGHUP);
	expect_output(&process, "changed=- needs_restart=mtu");
	write_settings(&process, "\"log_level\":\"warn\"");
	kill(process.pid, SIGHUP);
	clock_sleep(500);
	write_settings(&process, "\"log_level\":\"info\"");
	expect_output(&process, "changed=log_level");
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
	/* The file is deleted, then replaced by one of the same size. */
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
