#include <glib.h>
#include <string.h>

#include "tarragonflow/manifest/apply.h"
#include "tarragonflow/manifest/manifest_object.h"
#include "tarragonflow/manifest/manifest.h"
#include "tarragonflow/node/settings.h"
#include "tests/standin/memory_store.h"

#define ZONES "\"zones\":[{\"name\":\"tas-a\"}]"
#define SERVICE(name, address, port) \
	"{\"name\":\"" name "\",\"address\":\"" address "\",\"port\":" port "}"
#define MANIFEST_PREFIX "{\"deployment\":\"huon\",\"release\":1," ZONES ","

/** A JSON document and texts that the error message for it must contain. */
struct invalid_document {
	const char *text;
	const char *errors[4];
};

static const struct invalid_document invalid_manifests[] = {
	{MANIFEST_PREFIX
	 "\"services\":[{\"name\":\"a\",\"address\":\"10.0.0.1\","
	 "\"port\":80,\"guard\":\"orders\"}]}",
	 {"services[0].guard: found \"orders\", allowed is \"none\""}},
	{"{", {"m.json: (document): line 1"}},
	{"[]", {"m.json: (document): found an array, allowed is an object"}},
	{"{\"release\":1,\"release\":2}", {"duplicate"}},
	{"{}",
	 {"deployment: missing", "release: missing", "zones: missing",
	  "services: missing"}},
	{MANIFEST_PREFIX "\"services\":[],\"colour\":1}",
	 {"colour: unknown field"}},
	{"{\"deployment\":\"Huon\",\"release\":0,\"zones\":{},\"services\":[]}",
	 {"deployment: found \"Huon\"", "release: found 0, allowed is 1 to",
	  "zones: found an object, allowed is an array"}},
	{MANIFEST_PREFIX "\"services\":[" SERVICE("a", "10.0.0.1", "0") "]}",
	 {"services[0].port: found 0, allowed is 1 to 65535"}},
	{MANIFEST_PREFIX "\"services\":[" SERVICE("a", "10.0.0", "1") "]}",
	 {"services[0].address: found \"10.0.0\", allowed is an IPv4 or IPv6"}},
	{MANIFEST_PREFIX "\"services\":[" SERVICE(
		 "a", "10.0.0.1", "1") "," SERVICE("a", "10.0.0.1", "1") "]}",
	 {"services[1].name: found \"a\"",
	  "services[1].address: overlaps the address and port of services[0]"}},
	{"{\"deployment\":\"huon\",\"release\":1,\"zones\":[{\"name\":\"z\"},"
	 "{\"name\":\"z\",\"state\":\"up\"}],\"services\":[]}",
	 {"zones[1].state: found \"up\", allowed is \"in\", \"out\"",
	  "zones[1].name: found \"z\" again"}},
	{"{\"deployment\":\"huon\",\"release\":\"1\",\"zones\":[],"
	 "\"services\":[]}",
	 {"release: found a string, allowed is an integer"}},
	{"{\"deployment\":\"huon\",\"release\":1.5,\"zones\":[],"
	 "\"services\":[]}",
	 {"release: found a fractional number"}},
};

static void test_invalid_manifests(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_manifests); i++) {
		const struct invalid_document *document = &invalid_manifests[i];
		struct manifest manifest;
		struct status status;

		status_init(&status);
		manifest_init(&manifest);
		g_assert_cmpint(manifest_parse(&manifest,
					       str_from(document->text),
					       "m.json", &status),
				==, STATUS_INVALID);
		for (int j = 0; j < 4 && document->errors[j]; j++)
			if (!strstr(status.message, document->errors[j]))
				g_error("'%s' not in '%s'", document->errors[j],
					status.message);
		manifest_finish(&manifest);
	}
}

static void test_round_trip(void)
{
	static const char text[] = MANIFEST_PREFIX "\"services\":[" SERVICE(
		"orders", "10.0.0.1", "80") "," SERVICE("photos", "fd00::1",
							"80") "]}";
	struct manifest a, b;
	struct strbuf first, second;
	struct status status;

	status_init(&status);
	manifest_init(&a);
	manifest_init(&b);
	strbuf_init(&first);
	strbuf_init(&second);
	g_assert_cmpint(manifest_parse(&a, str_from(text), "m", &status), ==,
			STATUS_OK);
	manifest_write(&a, &first);
	g_assert_cmpint(manifest_parse(&b, strbuf_str(&first), "m", &status),
			==, STATUS_OK);
	manifest_write(&b, &second);
	g_assert_cmpstr(first.data, ==, second.data);
	g_assert_cmpuint(b.n_services, ==, 2);
	strbuf_finish(&first);
	strbuf_finish(&second);
	manifest_finish(&a);
	manifest_finish(&b);
}

/** An object store whose next PUTs fail as chosen. */
struct fake_platform {
	struct object_store platform;
	struct memory_store store;
	/** Number of PUTs that take effect but whose responses are lost. */
	int lose_responses;
	/** Number of PUTs that are lost before they reach the store. */
	int lose_requests;
	/** Another operator's manifest that is written before the next PUT. */
	const char *competing_value;
	/** The store is restored from `backup` before the next PUT. */
	bool restore_pending;
	struct memory_store backup;
};

static void write_competing_value(struct fake_platform *fake, const char *key)
{
	struct store_request request;
	struct store_result result;

	store_request_init(&request, STORE_OP_GET, key);
	memory_store_apply(&fake->store, &request, &result);
	request.op = STORE_OP_PUT;
	request.version = result.version;
	store_result_finish(&result);
	strbuf_add(&request.value, fake->competing_value,
		   strlen(fake->competing_value));
	fake->competing_value = NULL;
	memory_store_apply(&fake->store, &request, &result);
	store_result_finish(&result);
	store_request_finish(&request);
}

static void fake_call(struct object_store *platform,
		      const struct store_request *request,
		      struct store_result *result)
{
	struct fake_platform *fake = (struct fake_platform *)platform;
	bool put = request->op == STORE_OP_PUT;

	if (put && fake->restore_pending) {
		fake->restore_pending = false;
		memory_store_restore(&fake->store, &fake->backup);
	}
	if (put && fake->competing_value)
		write_competing_value(fake, request->key);
	if (put && fake->lose_requests) {
		fake->lose_requests--;
		store_result_init(result, request);
		status_set(&result->status, STATUS_UNKNOWN, "lost");
		return;
	}
	memory_store_apply(&fake->store, request, result);
	if (put && fake->lose_responses) {
		fake->lose_responses--;
		status_set(&result->status, STATUS_UNKNOWN, "lost");
	}
}

static const struct {
	const char *name;
	int64_t current_release, release;
	int lose_responses, lose_requests;
	const char *competing_value;
	enum status_code code;
	int64_t final_release;
	/** The store loses the current release before the write. */
	bool restored;
} apply_cases[] = {
	{"first", 0, 1, 0, 0, NULL, STATUS_OK, 1},
	{"newer", 1, 2, 0, 0, NULL, STATUS_OK, 2},
	{"same", 2, 2, 0, 0, NULL, STATUS_STALE, 2},
	{"older", 3, 2, 0, 0, NULL, STATUS_STALE, 3},
	{"response lost", 1, 2, 1, 0, NULL, STATUS_OK, 2},
	/* A write repeated with its token and version takes effect once. */
	{"request lost", 1, 2, 0, 1, NULL, STATUS_OK, 2},
	{"four responses lost", 1, 2, 4, 0, NULL, STATUS_OK, 2},
	{"all requests lost", 1, 2, 0, 100, NULL, STATUS_UNKNOWN, 1},
	{"request lost, then competing release", 1, 2, 0, 1,
	 "{\"deployment\":\"huon\",\"release\":7,\"zones\":[],\"services\":[]}",
	 STATUS_CONFLICT, 7},
	{"competing release", 1, 2, 0, 0,
	 "{\"deployment\":\"huon\",\"release\":7,\"zones\":[],\"services\":[]}",
	 STATUS_CONFLICT, 7},
	{"restored", 1, 2, 0, 0, NULL, STATUS_OK, 2, true},
	{"restored, request lost", 1, 2, 0, 1, NULL, STATUS_OK, 2, true},
	{"restored, response lost", 1, 2, 1, 0, NULL, STATUS_OK, 2, true},
	/* The competing release has the version that the write replaces. */
	{"restored, version assigned again", 1, 2, 0, 0,
	 "{\"deployment\":\"huon\",\"release\":7,\"zones\":[],\"services\":[]}",
	 STATUS_UNKNOWN, 2, true},
	{"restored, request lost, version assigned again", 1, 2, 0, 1,
	 "{\"deployment\":\"huon\",\"release\":7,\"zones\":[],\"services\":[]}",
	 STATUS_CONFLICT, 7, true},
};

static void init_manifest(struct manifest *manifest, int64_t release)
{
	manifest_init(manifest);
	name_set(&manifest->deployment, str_from("huon"));
	manifest->release = release;
}

static int64_t stored_release(struct fake_platform *fake)
{
	struct store_request request;
	struct store_result result;
	struct manifest_object object;
	int64_t release;

	manifest_object_init(&object);
	store_request_init(&request, STORE_OP_GET,
			   "tarragonflow/huon/manifest");
	memory_store_apply(&fake->store, &request, &result);
	manifest_object_read(&object, strbuf_str(&result.objects[0].value));
	release = object.release;
	manifest_object_finish(&object);
	store_result_finish(&result);
	return release;
}

static void test_apply(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(apply_cases); i++) {
		struct fake_platform fake = {.platform = {fake_call, NULL}};
		struct manifest manifest;
		struct status status;

		status_init(&status);
		memory_store_init(&fake.store);
		memory_store_init(&fake.backup);
		if (apply_cases[i].current_release) {
			init_manifest(&manifest,
				      apply_cases[i].current_release);
			g_assert_cmpint(manifest_apply(&fake.platform,
						       &manifest, "a", &status),
					==, STATUS_OK);
		}
		fake.lose_responses = apply_cases[i].lose_responses;
		fake.lose_requests = apply_cases[i].lose_requests;
		fake.competing_value = apply_cases[i].competing_value;
		fake.restore_pending = apply_cases[i].restored;
		init_manifest(&manifest, apply_cases[i].release);
		g_test_message("%s", apply_cases[i].name);
		g_assert_cmpint(
			manifest_apply(&fake.platform, &manifest, "b", &status),
			==, apply_cases[i].code);
		g_assert_cmpint(stored_release(&fake), ==,
				apply_cases[i].final_release);
		memory_store_finish(&fake.store);
		memory_store_finish(&fake.backup);
	}
}

#define REQUIRED_SETTINGS                                       \
	"\"name\":\"b\",\"zone\":\"z\",\"deployment\":\"d\","   \
	"\"data\":\"127.0.0.1:1\",\"control\":\"127.0.0.1:2\"," \
	"\"admin\":\"127.0.0.1:3\",\"platform\":\"http://127.0.0.1:4\""

static const struct invalid_document invalid_settings[] = {
	{"{}",
	 {"name: missing", "zone: missing", "data: missing",
	  "platform: missing"}},
	{"{" REQUIRED_SETTINGS ",\"service\":\"orders\"}",
	 {"service: unknown field"}},
	{"{" REQUIRED_SETTINGS ",\"seeds\":[\"127.0.0.1:1\",\"nobody\",3]}",
	 {"seeds[1]: found nobody", "seeds[2]: found no string"}},
	{"{" REQUIRED_SETTINGS ",\"placement\":\"hash\"}",
	 {"placement: found \"hash\", allowed is \"requests\", \"work\""}},
	{"{" REQUIRED_SETTINGS ",\"log_level\":\"loud\"}",
	 {"log_level: found \"loud\", allowed is \"debug\""}},
};

static void test_invalid_settings(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_settings); i++) {
		const struct invalid_document *document = &invalid_settings[i];
		struct json_errors errors;
		struct settings settings;
		json_t *root;

		json_errors_init(&errors, "s.json");
		root = json_reader_parse(str_from(document->text), &errors);
		g_assert_nonnull(root);
		settings_read(&settings, MEMBER_BALANCER, root, &errors);
		for (int j = 0; j < 4 && document->errors[j]; j++)
			if (!errors.count ||
			    !strstr(errors.text.data, document->errors[j]))
				g_error("'%s' not in '%s'", document->errors[j],
					errors.text.data);
		json_decref(root);
		json_errors_finish(&errors);
	}
}

#define AGENT_SETTINGS_PREFIX                                           \
	"{\"name\":\"n\",\"zone\":\"z\",\"deployment\":\"d\","          \
	"\"data\":\"10.0.0.1:1\",\"control\":\"10.0.0.1:2\","           \
	"\"platform\":\"http://10.0.0.9:3\",\"server\":\"10.0.0.1:4\"," \
	"\"server_listen\":\"10.0.0.1:5\",\"fabric\":\"10.0.0.1:6\","   \
	"\"service\":\"s\","

/*
 * The settings address_reuse_s, stop_grace_s and zone_bound_ms, which state
 * bounds of the hosting platform, and the times that are derived from them.
 */
static void test_settings_bounds(void)
{
	static const struct {
		const char *text;
		/** Expected error; NULL for valid settings. */
		const char *error;
		int64_t lease_ms, linger_ms, grace_ms, lifetime_ms;
	} cases[] = {
		{AGENT_SETTINGS_PREFIX
		 "\"address_reuse_s\":2,\"stop_grace_s\":6,"
		 "\"zone_bound_ms\":5000,"
		 "\"flow_lifetime_s\":60}",
		 NULL, 1900, 2500, 3000, 60000},
		{AGENT_SETTINGS_PREFIX "\"address_reuse_s\":0.75,"
				       "\"stop_grace_s\":2.5,"
				       "\"zone_bound_ms\":1500.0}",
		 NULL, 650, 1500, 0, 0},
		{AGENT_SETTINGS_PREFIX "\"stop_grace_s\":0.5}", NULL, 1900, 0,
		 3000, 0},
		{AGENT_SETTINGS_PREFIX "\"address_reuse_s\":0.1}",
		 "address_reuse_s: found a number out of range"},
		{AGENT_SETTINGS_PREFIX "\"flow_lifetime_s\":\"60\"}",
		 "flow_lifetime_s: found a string, allowed is 0 to 86400"},
		{AGENT_SETTINGS_PREFIX "\"zone_bound_ms\":1.5}",
		 "zone_bound_ms: found a fractional number"},
		{AGENT_SETTINGS_PREFIX "\"adapter\":\"other\"}",
		 "adapter: found \"other\", allowed is \"native\", "
		 "\"platform\""},
		{AGENT_SETTINGS_PREFIX "\"seeds\":[\"10.0.0.2:9\",\"x\"]}",
		 "seeds[1]: found x"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct json_errors errors;
		struct settings settings;
		json_t *root;

		json_errors_init(&errors, "s.json");
		root = json_reader_parse(str_from(cases[i].text), &errors);
		g_assert_nonnull(root);
		settings_read(&settings, MEMBER_AGENT, root, &errors);
		if (cases[i].error) {
			g_assert_nonnull(errors.text.data);
			if (!strstr(errors.text.data, cases[i].error))
				g_error("'%s' not in '%s'", cases[i].error,
					errors.text.data);
		} else {
			g_assert_cmpuint(errors.count, ==, 0);
			g_assert_cmpint(settings.report_lease_ms, ==,
					cases[i].lease_ms);
			g_assert_cmpint(settings.linger_ms, ==,
					cases[i].linger_ms);
			g_assert_cmpint(settings.zone_grace_ms, ==,
					cases[i].grace_ms);
			g_assert_cmpint(settings.flow_lifetime_ms, ==,
					cases[i].lifetime_ms);
		}
		json_decref(root);
		json_errors_finish(&errors);
	}
}

#define ROUTES_PREFIX                                             \
	"{\"deployment\":\"d\",\"release\":1,\"zones\":[],"       \
	"\"services\":[{\"name\":\"a\",\"address\":\"10.0.0.1\"," \
	"\"port\":80},{\"name\":\"b\"}],\"routes\":["

/* The error message for an invalid route names the invalid field. */
static void test_invalid_routes(void)
{
	static const struct {
		const char *text, *error;
	} cases[] = {
		{ROUTES_PREFIX "{}]}", "routes[0].name: missing"},
		{ROUTES_PREFIX "7]}", "routes[0]: found an integer"},
		{ROUTES_PREFIX "{\"name\":\"r\",\"address\":\"10.0.0.2\","
			       "\"port\":80,\"backends\":[]}]}",
		 "routes[0].backends: found none"},
		{ROUTES_PREFIX "{\"name\":\"r\",\"address\":\"10.0.0.2\","
			       "\"port\":80,\"backends\":[{\"service\":"
			       "\"c\"}]}]}",
		 "routes[0].backends[0].service: found \"c\""},
		{ROUTES_PREFIX "{\"name\":\"r\",\"address\":\"10.0.0.2\","
			       "\"port\":80,\"kind\":\"x\",\"backends\":"
			       "[{\"service\":\"b\",\"weight\":-1}]}]}",
		 "routes[0].backends[0].weight: found -1"},
		{ROUTES_PREFIX "{\"name\":\"r\",\"address\":\"10.0.0.1\","
			       "\"port\":80,\"backends\":[{\"service\":"
			       "\"b\"}]}]}",
		 "routes[0].address: overlaps the address and port of "
		 "services[0]"},
		{"{\"deployment\":\"d\",\"release\":1,\"zones\":[],"
		 "\"services\":[{\"name\":\"a\",\"port\":80}]}",
		 "services[0].address: missing, needed with port"},
	};
	struct manifest manifest;
	struct status status;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		status_init(&status);
		manifest_init(&manifest);
		g_assert_cmpint(manifest_parse(&manifest,
					       str_from(cases[i].text), "m",
					       &status),
				==, STATUS_INVALID);
		if (!strstr(status.message, cases[i].error))
			g_error("'%s' not in '%s'", cases[i].error,
				status.message);
		manifest_finish(&manifest);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/manifest/invalid", test_invalid_manifests);
	g_test_add_func("/manifest/round-trip", test_round_trip);
	g_test_add_func("/manifest/apply", test_apply);
	g_test_add_func("/manifest/invalid-routes", test_invalid_routes);
	g_test_add_func("/settings/invalid", test_invalid_settings);
	g_test_add_func("/settings/bounds", test_settings_bounds);
	return g_test_run();
}
