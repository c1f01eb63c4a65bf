#include <glib.h>
#include <string.h>

#include "tarragonflow/flow/checkpoint.h"
#include "tarragonflow/store/object_replacement.h"
#include "tests/standin/memory_store.h"

#define SAVED_MS 1000000

/* Any bytes of a hand-over must be the same after they were saved. */
static void test_format(void)
{
	static const char bytes[] = {0, '"', '\\', (char)0xff, '\n', 1};
	struct checkpoint saved, read;
	struct strbuf text;

	checkpoint_init(&saved);
	checkpoint_init(&read);
	strbuf_init(&text);
	saved.instance = 1800000000123;
	saved.saved_ms = SAVED_MS;
	saved.epoch = 3;
	saved.incomplete_ms = 42;
	strbuf_add(&saved.connections, bytes, sizeof(bytes));
	checkpoint_format(&saved, &text);
	g_assert_true(checkpoint_parse(&read, strbuf_str(&text)));
	g_assert_cmpuint(read.instance, ==, saved.instance);
	g_assert_cmpint(read.saved_ms, ==, saved.saved_ms);
	g_assert_cmpuint(read.epoch, ==, saved.epoch);
	g_assert_cmpint(read.incomplete_ms, ==, saved.incomplete_ms);
	g_assert_cmpmem(read.connections.data, read.connections.len, bytes,
			sizeof(bytes));
	strbuf_finish(&text);
	checkpoint_finish(&read);
	checkpoint_finish(&saved);
}

/* A checkpoint of another writer must not count as one without connections. */
static void test_malformed(void)
{
	static const char *const cases[] = {
		"",
		"7",
		"{}",
		"{\"instance\":-1,\"saved_ms\":1,\"epoch\":1,"
		"\"incomplete_ms\":0,\"connections\":\"\"}",
		"{\"instance\":1,\"saved_ms\":\"1\",\"epoch\":1,"
		"\"incomplete_ms\":0,\"connections\":\"\"}",
		"{\"instance\":1,\"saved_ms\":1,\"epoch\":1.5,"
		"\"incomplete_ms\":0,\"connections\":\"\"}",
		"{\"instance\":1,\"saved_ms\":1,\"epoch\":1,"
		"\"incomplete_ms\":-1,\"connections\":\"\"}",
		"{\"instance\":1,\"saved_ms\":1,\"epoch\":1,"
		"\"incomplete_ms\":0}",
		"{\"instance\":1,\"saved_ms\":1,\"epoch\":1,"
		"\"incomplete_ms\":0,\"connections\":\"?\"}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct checkpoint checkpoint;

		checkpoint_init(&checkpoint);
		if (checkpoint_parse(&checkpoint, str_from(cases[i])))
			g_error("accepted: %s", cases[i]);
		checkpoint_finish(&checkpoint);
	}
}

/* Connections of an old checkpoint, or of a copy of the store, must not count
 * as all that the server has. */
static void test_age(void)
{
	static const struct {
		int64_t saved_ms;
		uint64_t epoch;
		int64_t age_ms;
		bool fresh;
	} cases[] = {
		{SAVED_MS, 1, 0, true},
		{SAVED_MS, 1, CHECKPOINT_MAX_AGE_MS, true},
		{SAVED_MS, 1, CHECKPOINT_MAX_AGE_MS + 1, false},
		/* The clock was set back. */
		{SAVED_MS, 1, -1, false},
		/* A claim. */
		{0, 1, 0, false},
		/* The store was restored since the checkpoint was written. */
		{SAVED_MS, 0, 0, false},
		{SAVED_MS, 2, 0, false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct checkpoint checkpoint = {
			.saved_ms = cases[i].saved_ms,
			.epoch = cases[i].epoch,
		};

		g_assert_cmpint(checkpoint_is_fresh(&checkpoint, 1,
						    SAVED_MS + cases[i].age_ms),
				==, cases[i].fresh);
	}
}

/** What happens to a call. */
enum call_outcome {
	CALL_OK,
	/** Refused by the store without an effect. */
	CALL_REFUSED,
	/** It takes effect, its response is lost. */
	CALL_RESPONSE_LOST,
	/** Another process writes the object just before. */
	CALL_AFTER_WRITE,
	/** It has not taken effect when the caller gives up. */
	CALL_DELAYED,
};

static void write_as_other_process(struct memory_store *store, const char *key)
{
	struct store_request request;
	struct store_result result;

	store_request_init(&request, STORE_OP_GET, key);
	memory_store_apply(store, &request, &result);
	store_request_init(&request, STORE_OP_PUT, key);
	request.version = result.status.code == STATUS_OK ? result.version : 0;
	store_result_finish(&result);
	g_strlcpy(request.token, "other", sizeof(request.token));
	strbuf_add(&request.value, "theirs", strlen("theirs"));
	memory_store_apply(store, &request, &result);
	g_assert_cmpint(result.status.code, ==, STATUS_OK);
	store_result_finish(&result);
	store_request_finish(&request);
}

/* Makes one call with @outcome. */
static void make_call(struct object_replacement *object,
		      struct memory_store *store, enum call_outcome outcome)
{
	struct store_request request;
	struct store_result result;

	object_replacement_next_call(object, &request);
	if (outcome == CALL_AFTER_WRITE)
		write_as_other_process(store, request.key);
	if (outcome == CALL_REFUSED || outcome == CALL_DELAYED) {
		store_result_init(&result, &request);
		status_set(&result.status,
			   outcome == CALL_DELAYED && request.op == STORE_OP_PUT
				   ? STATUS_UNKNOWN
				   : STATUS_UNAVAILABLE,
			   "no response");
	} else {
		memory_store_apply(store, &request, &result);
	}
	if (outcome == CALL_RESPONSE_LOST) {
		store_result_finish(&result);
		store_result_init(&result, &request);
		status_set(&result.status,
			   request.op == STORE_OP_PUT ? STATUS_UNKNOWN
						      : STATUS_UNAVAILABLE,
			   "no response");
	}
	g_assert_cmpint(object_replacement_handle_result(object, &result, 0),
			<=, 1000);
	store_result_finish(&result);
	store_request_finish(&request);
}

static void check_value(struct memory_store *store, const char *key,
			const char *value)
{
	struct store_request request;
	struct store_result result;

	store_request_init(&request, STORE_OP_GET, key);
	memory_store_apply(store, &request, &result);
	g_assert_cmpint(result.status.code, ==, STATUS_OK);
	g_assert_cmpstr(result.objects[0].value.data, ==, value);
	store_result_finish(&result);
}

/* An object is replaced once, whatever happens to the calls. */
static void test_replacement(void)
{
	static const struct {
		const char *name;
		bool exists;
		enum call_outcome outcomes[8];
		size_t n_calls;
	} cases[] = {
		{"new", false, {CALL_OK, CALL_OK}, 2},
		{"existing", true, {CALL_OK, CALL_OK}, 2},
		{"read refused", true, {CALL_REFUSED, CALL_OK, CALL_OK}, 3},
		{"write refused", true, {CALL_OK, CALL_REFUSED, CALL_OK}, 3},
		{"write without response",
		 true,
		 {CALL_OK, CALL_RESPONSE_LOST, CALL_OK},
		 3},
		{"new, write without response",
		 false,
		 {CALL_OK, CALL_RESPONSE_LOST, CALL_OK},
		 3},
		{"written between read and write",
		 true,
		 {CALL_OK, CALL_AFTER_WRITE, CALL_OK, CALL_OK},
		 4},
		{"created between read and write",
		 false,
		 {CALL_OK, CALL_AFTER_WRITE, CALL_OK, CALL_OK},
		 4},
		{"write lost",
		 true,
		 {CALL_OK, CALL_DELAYED, CALL_OK, CALL_OK},
		 4},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct object_replacement object;
		struct memory_store store;

		memory_store_init(&store);
		object_replacement_init(&object, "key");
		if (cases[i].exists)
			write_as_other_process(&store, "key");
		object_replacement_set(&object, "token", str_from("ours"));
		for (size_t j = 0; j < cases[i].n_calls; j++) {
			g_assert_false(object.done);
			make_call(&object, &store, cases[i].outcomes[j]);
		}
		if (!object.done)
			g_error("%s: not done", cases[i].name);
		check_value(&store, "key", "ours");
		object_replacement_set(&object, "next", str_from("second"));
		make_call(&object, &store, CALL_OK);
		g_assert_true(object.done);
		check_value(&store, "key", "second");
		object_replacement_finish(&object);
		memory_store_finish(&store);
	}
}

/* The save of a process that the store executes after its successor's claim
 * must not replace the claim: the process after that would take the connections
 * for those of its direct predecessor. */
static void test_late_save(void)
{
	struct object_replacement first, second;
	struct store_request late;
	struct store_result result;
	struct memory_store store;

	memory_store_init(&store);
	object_replacement_init(&first, "key");
	object_replacement_set(&first, "1c", str_from("claim 1"));
	make_call(&first, &store, CALL_OK);
	make_call(&first, &store, CALL_OK);
	object_replacement_set(&first, "1s", str_from("save 1"));
	object_replacement_next_call(&first, &late);
	object_replacement_init(&second, "key");
	object_replacement_set(&second, "2c", str_from("claim 2"));
	make_call(&second, &store, CALL_OK);
	make_call(&second, &store, CALL_OK);
	g_assert_true(second.done);
	memory_store_apply(&store, &late, &result);
	g_assert_cmpint(result.status.code, ==, STATUS_CONFLICT);
	check_value(&store, "key", "claim 2");
	store_result_finish(&result);
	store_request_finish(&late);
	object_replacement_finish(&first);
	object_replacement_finish(&second);
	memory_store_finish(&store);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/checkpoint/format", test_format);
	g_test_add_func("/checkpoint/malformed", test_malformed);
	g_test_add_func("/checkpoint/age", test_age);
	g_test_add_func("/checkpoint/replacement", test_replacement);
	g_test_add_func("/checkpoint/late-save", test_late_save);
	return g_test_run();
}
