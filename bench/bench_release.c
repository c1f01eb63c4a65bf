#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "bench.h"
#include "bench_fixture.h"
#include "tarragonflow/commands/fetch.h"
#include "tarragonflow/common/clock.h"
#include "tarragonflow/manifest/apply.h"
#include "tarragonflow/store/http_store.h"

/*
 * Time until a release is in force at every one of tens of real processes,
 * on loopback, from the moment it was accepted.
 */
#define BALANCERS 4
#define PROCESSES_DEFAULT 32
#define PROCESSES_MAX 64
#define RELEASES 5
#define START_TIMEOUT_MS 20000
#define EVERYWHERE_MAX_S 4
#define POLL_MS 10
#define STOP_MS 3000

struct deployment {
	char *folder;
	char *binary, *standin;
	uint32_t net;
	GPid pids[PROCESSES_MAX + 1];
	unsigned int n_pids, processes;
	struct manifest manifest;
};

static void start_process(struct deployment *deployment, const char **argv)
{
	GPid *pid = &deployment->pids[deployment->n_pids];
	GError *error = NULL;

	if (g_spawn_async(NULL, (char **)argv, NULL,
			  G_SPAWN_DO_NOT_REAP_CHILD |
				  G_SPAWN_STDOUT_TO_DEV_NULL |
				  G_SPAWN_STDERR_TO_DEV_NULL,
			  NULL, NULL, pid, &error)) {
		deployment->n_pids++;
	} else {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
	}
}

static void process_ip(const struct deployment *deployment, unsigned int i,
		       char *text)
{
	struct endpoint endpoint = {deployment->net + 10 + i, 1};

	endpoint_format(&endpoint, text);
	*strrchr(text, ':') = '\0';
}

static void write_settings(struct deployment *deployment, unsigned int i,
			   const char *path)
{
	bool agent = i >= BALANCERS;
	char ip[ENDPOINT_TEXT_MAX], first[ENDPOINT_TEXT_MAX];
	char platform[ENDPOINT_TEXT_MAX];
	struct endpoint store = {deployment->net + 1, 4700};
	struct strbuf text;

	strbuf_init(&text);
	process_ip(deployment, i, ip);
	process_ip(deployment, 0, first);
	strbuf_addf(&text,
		    "{\"name\":\"p-%u\",\"zone\":\"z\",\"deployment\":"
		    "\"bench\",\"data\":\"%s:4701\",\"control\":\"%s:4702\","
		    "\"admin\":\"%s:4703\",\"platform\":\"http://%s\","
		    "\"seeds\":[\"%s:4702\"]",
		    i, ip, ip, ip, endpoint_format(&store, platform), first);
	if (agent)
		strbuf_addf(&text,
			    ",\"service\":\"orders\",\"server\":\"%s:4705\","
			    "\"server_listen\":\"%s:4704\","
			    "\"fabric\":\"%s:4706\",\"drain_deadline_s\":0",
			    ip, ip, ip);
	strbuf_addf(&text, "}");
	g_file_set_contents(path, text.data, (gssize)text.len, NULL);
	strbuf_finish(&text);
}

static void start_node(struct deployment *deployment, unsigned int i)
{
	char *name = g_strdup_printf("p-%u.json", i);
	char *path = g_build_filename(deployment->folder, name, NULL);
	const char *argv[] = {deployment->binary,
			      i < BALANCERS ? "balancer" : "agent",
			      "--settings", path, NULL};

	write_settings(deployment, i, path);
	start_process(deployment, argv);
	g_free(name);
	g_free(path);
}

static int64_t release_at(const struct deployment *deployment, unsigned int i)
{
	char ip[ENDPOINT_TEXT_MAX], admin[ENDPOINT_TEXT_MAX + 8];
	struct status status;
	int64_t release = 0;
	json_t *root;

	status_init(&status);
	process_ip(deployment, i, ip);
	snprintf(admin, sizeof(admin), "%s:4703", ip);
	root = fetch_json(admin, "/v1/status", &status);
	if (root)
		release = json_integer_value(json_object_get(root, "release"));
	json_decref(root);
	return release;
}

/* True once every process has @release; false after @timeout_ms. */
static bool await_release(const struct deployment *deployment, int64_t release,
			  int64_t timeout_ms)
{
	struct clock clock;
	int64_t deadline;
	unsigned int i = 0;

	clock_init_monotonic(&clock);
	deadline = clock_now(&clock) + timeout_ms;
	while (i < deployment->processes) {
		if (release_at(deployment, i) >= release) {
			i++;
			continue;
		}
		if (clock_now(&clock) > deadline) {
			fprintf(stderr, "p-%u has release %lld, not %lld\n", i,
				(long long)release_at(deployment, i),
				(long long)release);
			return false;
		}
		clock_sleep(POLL_MS);
	}
	return true;
}

static bool apply_next(struct deployment *deployment)
{
	struct endpoint store = {deployment->net + 1, 4700};
	char text[ENDPOINT_TEXT_MAX], url[64];
	struct http_store http;
	struct status status;

	status_init(&status);
	deployment->manifest.release++;
	snprintf(url, sizeof(url), "http://%s", endpoint_format(&store, text));
	http_store_init(&http, url, &http_dialect_native, NULL);
	manifest_apply(&http.store, &deployment->manifest, "bench", &status);
	http_store_finish(&http);
	if (status.code != STATUS_OK)
		fprintf(stderr, "apply: %s\n", status.message);
	return status.code == STATUS_OK;
}

static bool start_all(struct deployment *deployment)
{
	static const char text[] =
		"{\"deployment\":\"bench\",\"release\":1,"
		"\"zones\":[{\"name\":\"z\"}],\"services\":[{\"name\":"
		"\"orders\",\"address\":\"10.77.0.10\",\"port\":80}]}";
	struct endpoint store = {deployment->net + 1, 4700};
	char address[ENDPOINT_TEXT_MAX];
	const char *argv[] = {deployment->standin, "platform",
			      endpoint_format(&store, address), NULL};
	struct status status;

	status_init(&status);
	manifest_parse(&deployment->manifest, str_from(text), "bench", &status);
	deployment->manifest.release = 0;
	start_process(deployment, argv);
	for (int tries = 0; tries < 50; tries++) {
		clock_sleep(POLL_MS * 10);
		deployment->manifest.release = 0;
		if (apply_next(deployment))
			break;
	}
	for (unsigned int i = 0; i < deployment->processes; i++)
		start_node(deployment, i);
	return await_release(deployment, 1, START_TIMEOUT_MS);
}

static void stop_all(struct deployment *deployment)
{
	for (unsigned int i = deployment->n_pids; i-- > 0;)
		kill(deployment->pids[i], SIGTERM);
	clock_sleep(STOP_MS);
	for (unsigned int i = 0; i < deployment->n_pids; i++) {
		kill(deployment->pids[i], SIGKILL);
		waitpid(deployment->pids[i], NULL, 0);
	}
}

static void remove_folder(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *path = g_build_filename(folder, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(folder);
}

static void measure(struct bench *bench, struct deployment *deployment)
{
	double worst = 0;
	char name[64];

	for (int i = 0; i < RELEASES; i++) {
		int64_t start;
		double seconds = EVERYWHERE_MAX_S * 2;

		if (!apply_next(deployment))
			bench->failed++;
		start = bench_now_ns();
		if (await_release(deployment, deployment->manifest.release,
				  EVERYWHERE_MAX_S * 2000))
			seconds = (double)(bench_now_ns() - start) / 1e9;
		worst = MAX(worst, seconds);
	}
	snprintf(name, sizeof(name), "release_everywhere_s_%u",
		 deployment->processes);
	bench_figure(bench, BENCH_TIMING, name, worst, "s", BENCH_AT_MOST,
		     EVERYWHERE_MAX_S);
}

static void run(struct bench *bench)
{
	char *self = g_file_read_link("/proc/self/exe", NULL);
	char *bench_dir = g_path_get_dirname(self);
	char *build = g_path_get_dirname(bench_dir);
	struct deployment deployment = {
		.folder = g_dir_make_tmp("tarragonflow-XXXXXX", NULL),
		.binary = g_build_filename(build, "tarragonflow",
					   "tarragonflow", NULL),
		.standin = g_build_filename(build, "tests", "standin", NULL),
		.net = bench_loopback_net(),
		.processes = (unsigned int)MIN(
			bench_env("PROCESSES", PROCESSES_DEFAULT),
			PROCESSES_MAX),
	};

	manifest_init(&deployment.manifest);
	if (start_all(&deployment))
		measure(bench, &deployment);
	else
		bench_figure(bench, BENCH_TIMING, "release_start", 0, "x",
			     BENCH_EQUAL, 1);
	stop_all(&deployment);
	remove_folder(deployment.folder);
	manifest_finish(&deployment.manifest);
	g_free(deployment.folder);
	g_free(deployment.binary);
	g_free(deployment.standin);
	g_free(build);
	g_free(bench_dir);
	g_free(self);
}

const struct bench_group bench_release = {"release", run};
