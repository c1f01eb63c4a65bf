#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "tarragonflow/common/clock.h"
#include "tarragonflow/common/histogram.h"
#include "tarragonflow/common/log.h"

#define LINES 5000
/* Far longer than LINES calls take, far shorter than waiting for the pipe. */
#define LOG_CALLS_MAX_MS 2000

/*
 * Guards against a log that blocks its callers: while standard output is not
 * read, lines are dropped and counted.
 */
static void test_blocked_reader(void)
{
	struct clock clock;
	int saved_stdout = dup(STDOUT_FILENO);
	int pipe_fds[2];
	char chunk[4096];
	GString *output = g_string_new(NULL);
	int64_t start_ms;
	ssize_t n;

	g_assert_cmpint(pipe(pipe_fds), ==, 0);
	fflush(stdout);
	dup2(pipe_fds[1], STDOUT_FILENO);
	clock_init_monotonic(&clock);
	log_init(LOG_LEVEL_INFO);
	start_ms = clock_now(&clock);
	for (int i = 0; i < LINES; i++)
		log_event(LOG_LEVEL_INFO, "filler", "n=%d text=%0200d", i, 0);
	log_event(LOG_LEVEL_DEBUG, "below", "threshold=1");
	g_assert_cmpint(clock_now(&clock) - start_ms, <, LOG_CALLS_MAX_MS);
	/* Reading resumes: the writer logs how many lines were dropped. */
	fcntl(pipe_fds[0], F_SETFL, O_NONBLOCK);
	for (int i = 0;
	     i < 100 && !(strstr(output->str, "lines-suppressed") &&
			  strstr(output->str, "event=filler at_ms="));
	     i++) {
		while ((n = read(pipe_fds[0], chunk, sizeof(chunk))) > 0)
			g_string_append_len(output, chunk, n);
		log_event(LOG_LEVEL_INFO, "after", "n=%d", i);
		clock_sleep(10);
	}
	g_assert_nonnull(strstr(output->str, "event=filler at_ms="));
	g_assert_nonnull(strstr(output->str, "lines-suppressed count="));
	g_assert_null(strstr(output->str, "event=below"));
	/* Lines that are still queued are written to a closed pipe. */
	signal(SIGPIPE, SIG_IGN);
	close(pipe_fds[0]);
	log_finish();
	fflush(stdout);
	dup2(saved_stdout, STDOUT_FILENO);
	close(saved_stdout);
	close(pipe_fds[1]);
	g_string_free(output, TRUE);
}

static void test_histogram(void)
{
	static const struct {
		int64_t ms;
		int bucket;
	} cases[] = {
		{-5, 0}, {0, 0}, {1, 0},     {2, 1},
		{3, 2},	 {4, 2}, {8192, 13}, {8193, HISTOGRAM_BUCKETS},
	};
	struct histogram histogram;
	struct strbuf text;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		memset(&histogram, 0, sizeof(histogram));
		histogram_record(&histogram, cases[i].ms);
		g_assert_cmpuint(histogram.counts[cases[i].bucket], ==, 1);
	}
	strbuf_init(&text);
	histogram_write(&histogram, "x_ms", &text);
	g_assert_nonnull(strstr(text.data, "x_ms_bucket{le=\"8192\"} 0\n"));
	g_assert_nonnull(strstr(text.data, "x_ms_bucket{le=\"+Inf\"} 1\n"));
	g_assert_nonnull(strstr(text.data, "x_ms_sum 8193\nx_ms_count 1\n"));
	strbuf_finish(&text);
}

/* Lines beyond the limit of a second are suppressed and reported once. */
static void test_rate_limit(void)
{
	struct log_rate_limit limit = {0};
	uint32_t suppressed, allowed = 0;

	for (int i = 0; i < 30; i++) {
		allowed +=
			log_rate_limit_allow(&limit, 20, 5000 + i, &suppressed);
		g_assert_cmpuint(suppressed, ==, 0);
	}
	g_assert_cmpuint(allowed, ==, 20);
	g_assert_true(log_rate_limit_allow(&limit, 20, 6000, &suppressed));
	g_assert_cmpuint(suppressed, ==, 10);
	g_assert_true(log_rate_limit_allow(&limit, 20, 9000, &suppressed));
	g_assert_cmpuint(suppressed, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/log/blocked-reader", test_blocked_reader);
	g_test_add_func("/log/histogram", test_histogram);
	g_test_add_func("/log/rate-limit", test_rate_limit);
	return g_test_run();
}
