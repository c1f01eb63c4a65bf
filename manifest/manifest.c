#include "tarragonflow/manifest/manifest.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define PATH_MAX_BYTES 64
#define PORT_MAX 65535
#define CONNECTIONS_MAX 1000000
#define SLOTS_MAX 10000
#define DRAIN_DEADLINE_MAX_S (7 * 24 * 3600)
#define IDLE_TIMEOUT_MAX_S (24 * 3600)
#define ANSWER_MAX_MS 600000
#define BUCKETS_MIN 64
#define BUCKETS_MAX 65536

static const char *const zone_states[] = {"in", "out", NULL};
static const char *const guards[] = {"none", "orders", NULL};

const struct field manifest_fields[] = {
	{.name = "deployment",
	 .type = FIELD_NAME,
	 .offset = offsetof(struct manifest, deployment),
	 .required = true,
	 .help = "name of the deployment"},
	{.name = "release",
	 .type = FIELD_INT,
	 .offset = offsetof(struct manifest, release),
	 .required = true,
	 .min = 1,
	 .max = INT64_MAX,
	 .help = "number of the release, greater than any before"},
	{.name = "zones",
	 .type = FIELD_NESTED,
	 .required = true,
	 .help = "availability zones"},
	{.name = "services",
	 .type = FIELD_NESTED,
	 .required = true,
	 .help = "services"},
};
const size_t manifest_n_fields = G_N_ELEMENTS(manifest_fields);

const struct field manifest_zone_fields[] = {
	{.name = "name",
	 .type = FIELD_NAME,
	 .offset = offsetof(struct zone, name),
	 .required = true,
	 .help = "name of the availability zone"},
	{.name = "region",
	 .type = FIELD_NAME,
	 .offset = offsetof(struct zone, region),
	 .help = "region of the zone; processes probe within their region"},
	{.name = "state",
	 .type = FIELD_CHOICE,
	 .offset = offsetof(struct zone, state),
	 .choices = zone_states,
	 .fallback = ZONE_IN,
	 .help = "whether the zone takes part"},
};
const size_t manifest_n_zone_fields = G_N_ELEMENTS(manifest_zone_fields);

const struct field manifest_service_fields[] = {
	{.name = "name",
	 .type = FIELD_NAME,
	 .offset = offsetof(struct service, name),
	 .required = true,
	 .help = "name of the service"},
	{.name = "address",
	 .type = FIELD_ADDRESS,
	 .offset = offsetof(struct service, address),
	 .required = true,
	 .help = "address that callers connect to"},
	{.name = "port",
	 .type = FIELD_INT,
	 .offset = offsetof(struct service, port),
	 .required = true,
	 .min = 1,
	 .max = PORT_MAX,
	 .help = "TCP port that callers connect to"},
	{.name = "guard",
	 .type = FIELD_CHOICE,
	 .offset = offsetof(struct service, guard),
	 .choices = guards,
	 .fallback = GUARD_NONE,
	 .help = "whether requests pass through the agent's gate"},
	{.name = "connections",
	 .type = FIELD_INT,
	 .offset = offsetof(struct service, connections),
	 .min = 1,
	 .max = CONNECTIONS_MAX,
	 .fallback = 2000,
	 .unit = "connections",
	 .help = "connections that a warm backend server carries"},
	{.name = "slots",
	 .type = FIELD_INT,
	 .offset = offsetof(struct service, slots),
	 .min = 1,
	 .max = SLOTS_MAX,
	 .fallback = 5,
	 .unit = "requests",
	 .help = "requests that a backend server runs at once"},
	{.name = "drain_deadline_s",
	 .type = FIELD_INT,
	 .offset = offsetof(struct service, drain_deadline_s),
	 .min = 0,
	 .max = DRAIN_DEADLINE_MAX_S,
	 .fallback = 3600,
	 .unit = "s",
	 .help = "time a leaving server keeps its connections"},
	{.name = "idle_timeout_s",
	 .type = FIELD_INT,
	 .offset = offsetof(struct service, idle_timeout_s),
	 .min = 10,
	 .max = IDLE_TIMEOUT_MAX_S,
	 .fallback = 3600,
	 .unit = "s",
	 .help = "time until a silent connection is forgotten"},
	{.name = "answer_ms",
	 .type = FIELD_INT,
	 .offset = offsetof(struct service, answer_ms),
	 .min = 1,
	 .max = ANSWER_MAX_MS,
	 .fallback = 20,
	 .unit = "ms",
	 .help = "time within which a warm server answers"},
	{.name = "buckets",
	 .type = FIELD_INT,
	 .offset = offsetof(struct service, buckets),
	 .min = BUCKETS_MIN,
	 .max = BUCKETS_MAX,
	 .fallback = 1024,
	 .help = "size of the table of chains, 64 for each backend server "
		 "that is planned; rounded up to a power of two"},
};
const size_t manifest_n_service_fields = G_N_ELEMENTS(manifest_service_fields);

uint32_t service_id(const struct name *name)
{
	return XXH32(name->data, name->len, 0);
}

void manifest_init(struct manifest *manifest)
{
	memset(manifest, 0, sizeof(*manifest));
}

void manifest_finish(struct manifest *manifest)
{
	g_free(manifest->zones);
	g_free(manifest->services);
	manifest_init(manifest);
}

static void read_zones(struct manifest *manifest, const json_t *root,
		       struct json_errors *errors)
{
	const json_t *array = json_reader_array(
		root, "", "zones", MANIFEST_MAX_ZONES, false, errors);
	char path[PATH_MAX_BYTES];

	if (!array)
		return;
	manifest->n_zones = json_array_size(array);
	manifest->zones = g_new0(struct zone, manifest->n_zones);
	for (size_t i = 0; i < manifest->n_zones; i++) {
		snprintf(path, sizeof(path), "zones[%zu]", i);
		json_reader_object(json_array_get(array, i), path,
				   manifest_zone_fields, manifest_n_zone_fields,
				   &manifest->zones[i], errors);
	}
}

static void read_services(struct manifest *manifest, const json_t *root,
			  struct json_errors *errors)
{
	const json_t *array = json_reader_array(
		root, "", "services", MANIFEST_MAX_SERVICES, false, errors);
	char path[PATH_MAX_BYTES];

	if (!array)
		return;
	manifest->n_services = json_array_size(array);
	manifest->services = g_new0(struct service, manifest->n_services);
	for (size_t i = 0; i < manifest->n_services; i++) {
		struct service *service = &manifest->services[i];

		snprintf(path, sizeof(path), "services[%zu]", i);
		json_reader_object(json_array_get(array, i), path,
				   manifest_service_fields,
				   manifest_n_service_fields, service, errors);
		service->id = service_id(&service->name);
	}
}

static void check_zones(const struct manifest *manifest,
			struct json_errors *errors)
{
	char path[PATH_MAX_BYTES];

	for (size_t i = 0; i < manifest->n_zones; i++)
		for (size_t j = 0; j < i; j++) {
			if (!name_equal(&manifest->zones[i].name,
					&manifest->zones[j].name))
				continue;
			snprintf(path, sizeof(path), "zones[%zu].name", i);
			json_errors_add(errors, path,
					"found \"%s\" again, allowed is a "
					"name not used by zones[%zu]",
					manifest->zones[i].name.data, j);
		}
}

static int service_id_order(const void *a, const void *b)
{
	const struct service *x = *(const struct service *const *)a;
	const struct service *y = *(const struct service *const *)b;

	if (x->id != y->id)
		return x->id < y->id ? -1 : 1;
	return x < y ? -1 : 1;
}

static int service_address_order(const void *a, const void *b)
{
	const struct service *x = *(const struct service *const *)a;
	const struct service *y = *(const struct service *const *)b;
	int order = memcmp(&x->address, &y->address, sizeof(x->address));

	if (order)
		return order;
	if (x->port != y->port)
		return x->port < y->port ? -1 : 1;
	return x < y ? -1 : 1;
}

static void add_id_error(const struct manifest *manifest,
			 const struct service *first,
			 const struct service *again,
			 struct json_errors *errors)
{
	char path[PATH_MAX_BYTES];

	snprintf(path, sizeof(path), "services[%td].name",
		 again - manifest->services);
	json_errors_add(errors, path,
			"found \"%s\", allowed is a name whose identifier "
			"differs from services[%td]",
			again->name.data, first - manifest->services);
}

static void add_address_error(const struct manifest *manifest,
			      const struct service *first,
			      const struct service *again,
			      struct json_errors *errors)
{
	char path[PATH_MAX_BYTES];

	snprintf(path, sizeof(path), "services[%td].address",
		 again - manifest->services);
	json_errors_add(errors, path,
			"overlaps the address and port of services[%td]",
			first - manifest->services);
}

/* A port that only looks guarded would run orders twice. */
static void check_guards(const struct manifest *manifest,
			 struct json_errors *errors)
{
	char path[PATH_MAX_BYTES];

	for (size_t i = 0; i < manifest->n_services; i++) {
		if (manifest->services[i].guard != GUARD_ORDERS)
			continue;
		snprintf(path, sizeof(path), "services[%zu].guard", i);
		json_errors_add(errors, path,
				"found \"orders\", allowed is \"none\": this "
				"version has no request gate in its agents");
	}
}

/* Sorting brings what must differ side by side. */
static void check_services(const struct manifest *manifest,
			   struct json_errors *errors)
{
	size_t n = manifest->n_services;
	const struct service **sorted;

	if (!n)
		return;
	sorted = g_new(const struct service *, n);
	for (size_t i = 0; i < n; i++)
		sorted[i] = &manifest->services[i];
	qsort(sorted, n, sizeof(const struct service *), service_id_order);
	for (size_t i = 1; i < n; i++)
		if (sorted[i - 1]->id == sorted[i]->id)
			add_id_error(manifest, sorted[i - 1], sorted[i],
				     errors);
	qsort(sorted, n, sizeof(const struct service *), service_address_order);
	for (size_t i = 1; i < n; i++)
		if (sorted[i - 1]->port == sorted[i]->port &&
		    ip_addr_equal(&sorted[i - 1]->address, &sorted[i]->address))
			add_address_error(manifest, sorted[i - 1], sorted[i],
					  errors);
	g_free(sorted);
}

void manifest_read(struct manifest *manifest, const json_t *root,
		   struct json_errors *errors)
{
	json_reader_object(root, "", manifest_fields, manifest_n_fields,
			   manifest, errors);
	if (!json_is_object(root))
		return;
	read_zones(manifest, root, errors);
	read_services(manifest, root, errors);
	check_zones(manifest, errors);
	check_guards(manifest, errors);
	check_services(manifest, errors);
}

static enum status_code manifest_take(struct manifest *manifest, json_t *root,
				      struct json_errors *errors,
				      struct status *status)
{
	enum status_code code;

	if (root)
		manifest_read(manifest, root, errors);
	json_decref(root);
	code = json_errors_status(errors, status);
	json_errors_finish(errors);
	return code;
}

enum status_code manifest_load(struct manifest *manifest, const char *path,
			       struct status *status)
{
	struct json_errors errors;
	json_t *root;

	json_errors_init(&errors, path);
	root = json_reader_load(path, &errors);
	return manifest_take(manifest, root, &errors, status);
}

enum status_code manifest_parse(struct manifest *manifest, struct str text,
				const char *source, struct status *status)
{
	struct json_errors errors;
	json_t *root;

	json_errors_init(&errors, source);
	root = json_reader_parse(text, &errors);
	return manifest_take(manifest, root, &errors, status);
}

static json_t *zone_json(const struct zone *zone)
{
	json_t *object = json_pack("{s:s,s:s}", "name", zone->name.data,
				   "state", zone_states[zone->state]);

	if (zone->region.len)
		json_object_set_new(object, "region",
				    json_string(zone->region.data));
	return object;
}

static json_t *service_json(const struct service *service)
{
	char address[IP_ADDR_TEXT_MAX];

	return json_pack("{s:s,s:s,s:I,s:s,s:I,s:I,s:I,s:I,s:I,s:I}", "name",
			 service->name.data, "address",
			 ip_addr_format(&service->address, address), "port",
			 (json_int_t)service->port, "guard",
			 guards[service->guard], "connections",
			 (json_int_t)service->connections, "slots",
			 (json_int_t)service->slots, "drain_deadline_s",
			 (json_int_t)service->drain_deadline_s,
			 "idle_timeout_s", (json_int_t)service->idle_timeout_s,
			 "answer_ms", (json_int_t)service->answer_ms, "buckets",
			 (json_int_t)service->buckets);
}

void manifest_write(const struct manifest *manifest, struct strbuf *out)
{
	json_t *zones = json_array();
	json_t *services = json_array();
	json_t *root;
	char *text;

	for (size_t i = 0; i < manifest->n_zones; i++)
		json_array_append_new(zones, zone_json(&manifest->zones[i]));
	for (size_t i = 0; i < manifest->n_services; i++)
		json_array_append_new(services,
				      service_json(&manifest->services[i]));
	root = json_pack("{s:s,s:I,s:o,s:o}", "deployment",
			 manifest->deployment.data, "release",
			 (json_int_t)manifest->release, "zones", zones,
			 "services", services);
	text = json_dumps(root, JSON_COMPACT);
	strbuf_add(out, text, strlen(text));
	free(text);
	json_decref(root);
}

const struct service *manifest_service_at(const struct manifest *manifest,
					  const struct ip_addr *address,
					  uint16_t port)
{
	for (size_t i = 0; i < manifest->n_services; i++)
		if (manifest->services[i].port == port &&
		    ip_addr_equal(&manifest->services[i].address, address))
			return &manifest->services[i];
	return NULL;
}

const struct service *manifest_service(const struct manifest *manifest,
				       const struct name *name)
{
	for (size_t i = 0; i < manifest->n_services; i++)
		if (name_equal(&manifest->services[i].name, name))
			return &manifest->services[i];
	return NULL;
}

const struct zone *manifest_zone(const struct manifest *manifest,
				 const struct name *name)
{
	for (size_t i = 0; i < manifest->n_zones; i++)
		if (name_equal(&manifest->zones[i].name, name))
			return &manifest->zones[i];
	return NULL;
}
