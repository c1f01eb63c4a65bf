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
 * Time from the acceptance of a release until it is in force at each of tens of
 * real processes on loopback.
 */
#define BALANCERS 4
#define PROCESSES_DEFAULT 32
#define PROCESSES_MAX 64
#define RELEASES 5
#define START_TIMEOUT_MS 20000
#define PROPAGATION_MAX_S 4
#define POLL_MS 10
#define STOP_GRACE_MS 3000

struct deployment {
	/** Temporary folder with the settings of all processes. */
	char *folder;
	/** Paths of tarragonflow and of the stand-in for the platform. */
	char *binary, *platform_binary;
	/** The platform has host number 1 there, process i has 10 + i. */
	uint32_t loopback_net;
	GPid pids[PROCESSES_MAX + 1];
	unsigned int n_pids, n_processes;
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

static void format_process_ip(const struct deployment *deployment,
			      unsigned int i, char *text)
{
	struct endpoint endpoint = {deployment->loopback_net + 10 + i, 1};

	endpoint_format(&endpoint, text);
	*strrchr(text, ':') = '\0';
}

static void write_settings(struct deployment *deployment, unsigned int i,
			   const char *path)
{
	bool is_agent = i >= BALANCERS;
	char ip[ENDPOINT_TEXT_MAX], seed_ip[ENDPOINT_TEXT_MAX];
	char platform[ENDPOINT_TEXT_MAX];
	struct endpoint store = {deployment->loopback_net + 1, 4700};
	struct strbuf text;

	strbuf_init(&text);
	format_process_ip(deployment, i, ip);
	format_process_ip(deployment, 0, seed_ip);
	strbuf_addf(&text,
		    "{\"name\":\"p-%u\",\"zone\":\"z\",\"deployment\":"
		    "\"bench\",\"data\":\"%s:4701\",\"control\":\"%s:4702\","
		    "\"admin\":\"%s:4703\",\"platform\":\"http://%s\","
		    "\"seeds\":[\"%s:4702\"]",
		    i, ip, ip, ip, endpoint_format(&store, platform), seed_ip);
	if (is_agent)
		strbuf_addf(&text,
			    ",\"service\":\"orders\",\"server\":\"%s:4705\","
			    "\"server_listen\":\"%s:4704\","
			    "\"fabric\":\"%s:4706\",\"drain_deadline_s\":0",
			    ip, ip, ip);
	strbuf_addf(&text, "}");
	g_file_set_contents(path, text.data, (gssize)text.len, NULL);
	strbuf_finish(&text);
}

static void start_tarragonflow(struct deployment *deployment, unsigned int i)
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

/* Returns the release in force at process @i; 0 if it cannot be fetched. */
static int64_t fetch_release(const struct deployment *deployment,
			     unsigned int i)
{
	char ip[ENDPOINT_TEXT_MAX], admin[ENDPOINT_TEXT_MAX + 8];
	struct status status;
	int64_t release = 0;
	json_t *root;

	status_init(&status);
	format_process_ip(deployment, i, ip);
	snprintf(admin, sizeof(admin), "%s:4703", ip);
	root = fetch_json(admin, "/v1/status", &status);
	if (root)
		release = json_integer_value(json_object_get(root, "release"));
	json_decref(root);
	return release;
}

/* Waits until every process has @release; false after @timeout_ms. */
static bool await_release(const struct deployment *deployment, int64_t release,
			  int64_t timeout_ms)
{
	struct clock clock;
	int64_t deadline_ms;
	unsigned int i = 0;

	clock_init_monotonic(&clock);
	deadline_ms = clock_now(&clock) + timeout_ms;
	while (i < deployment->n_processes) {
		if (fetch_release(deployment, i) >= release) {
			i++;
			continue;
		}
		if (clock_now(&clock) > deadline_ms) {
			fprintf(stderr, "p-%u has release %lld, not %lld\n", i,
				(long long)fetch_release(deployment, i),
				(long long)release);
			return false;
		}
		clock_sleep(POLL_MS);
	}
	return true;
}

static bool apply_next_release(struct deployment *deployment)
{
	struct endpoint store = {deployment->loopback_net + 1, 4700};
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
		fprintf(stderr, "cannot apply release: %s\n", status.message);
	return status.code == STATUS_OK;
}

static bool start_all(struct deployment *deployment)
{
	static const char text[] =
		"{\"deployment\":\"bench\",\"release\":1,"
		"\"zones\":[{\"name\":\"z\"}],\"services\":[{\"name\":"
		"\"orders\",\"address\":\"10.77.0.10\",\"port\":80}]}";
	struct endpoint store = {deployment->loopback_net + 1, 4700};
	char address[ENDPOINT_TEXT_MAX];
	const char *argv[] = {deployment->platform_binary, "platform",
			      endpoint_format(&store, address), NULL};
	struct status status;

	status_init(&status);
	manifest_parse(&deployment->manifest, str_from(text), "bench", &status);
	deployment->manifest.release = 0;
	start_process(deployment, argv);
	for (int attempt = 0; attempt < 50; attempt++) {
		clock_sleep(POLL_MS * 10);
		deployment->manifest.release = 0;
		if (apply_next_release(deployment))
			break;
	}
	for (unsigned int i = 0; i < deployment->n_processes; i++)
		start_tarragonflow(deployment, i);
	return await_release(deployment, 1, START_TIMEOUT_MS);
}

static void stop_all(struct deployment *deployment)
{
	for (unsigned int i = deployment->n_pids; i-- > 0;)
		kill(deployment->pids[i], SIGTERM);
	clock_sleep(STOP_GRACE_MS);
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

static void measure_propagation(struct bench *bench,
				struct deployment *deployment)
{
	double worst_s = 0;
	char name[64];

	for (int i = 0; i < RELEASES; i++) {
		int64_t start_ns;
		double elapsed_s = PROPAGATION_MAX_S * 2;

		if (!apply_next_release(deployment))
			bench->failed++;
		start_ns = bench_now_ns();
		if (await_release(deployment, deployment->manifest.release,
				  PROPAGATION_MAX_S * 2000))
			elapsed_s = (double)(bench_now_ns() - start_ns) / 1e9;
		worst_s = MAX(worst_s, elapsed_s);
	}
	snprintf(name, sizeof(name), "release_everywhere_s_%u",
		 deployment->n_processes);
	bench_figure(bench, BENCH_TIMING, name, worst_s, "s", BENCH_AT_MOST,
		     PROPAGATION_MAX_S);
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
		.platform_binary =
			g_build_filename(build, "tests", "standin", NULL),
		.loopback_net = bench_loopback_net(),
		.n_processes = (unsigned int)MIN(
			bench_env("PROCESSES", PROCESSES_DEFAULT),
			PROCESSES_MAX),
	};

	manifest_init(&deployment.manifest);
	if (start_all(&deployment))
		measure_propagation(bench, &deployment);
	else
		bench_figure(bench, BENCH_TIMING, "release_start", 0, "x",
			     BENCH_EQUAL, 1);
	stop_all(&deployment);
	remove_folder(deployment.folder);
	manifest_finish(&deployment.manifest);
	g_free(deployment.folder);
	g_free(deployment.binary);
	g_free(deployment.platform_binary);
	g_free(build);
	g_free(bench_dir);
	g_free(self);
}

const struct bench_group bench_release = {"release", run};
