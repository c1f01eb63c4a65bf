#include "tarragonflow/manifest/manifest.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define FIELD_PATH_MAX 64
#define PORT_MAX 65535
#define CONNECTIONS_MAX 1000000
#define SLOTS_MAX 10000
#define DRAIN_DEADLINE_MAX_S (7 * 24 * 3600)
#define IDLE_TIMEOUT_MAX_S (24 * 3600)
#define ANSWER_MAX_MS 600000
#define BUCKETS_MIN 64
#define BUCKETS_MAX 65536
#define COLD_PER_S_MAX 1000000
#define PRIORITY_MAX 1000
#define TIMEOUT_MAX_MS (24 * 3600 * 1000)
#define WEIGHT_MAX 1000000

/* Texts of enum zone_state, enum service_guard and enum route_kind. */
static const char *const zone_state_texts[] = {"in", "out", NULL};
static const char *const guard_texts[] = {"none", "orders", NULL};
static const char *const route_kind_texts[] = {"safe", "unsafe", "upload",
					       NULL};

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
	 .help = "release number, greater than that of any earlier release"},
	{.name = "zones",
	 .type = FIELD_NESTED,
	 .required = true,
	 .help = "availability zones; an empty list: every zone is in service"},
	{.name = "services",
	 .type = FIELD_NESTED,
	 .required = true,
	 .help = "services"},
	{.name = "routes",
	 .type = FIELD_NESTED,
	 .help = "additional addresses that callers connect to"},
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
	 .help = "region of the zone; processes probe members of their region"},
	{.name = "state",
	 .type = FIELD_CHOICE,
	 .offset = offsetof(struct zone, state),
	 .choices = zone_state_texts,
	 .default_value = ZONE_IN_SERVICE,
	 .help = "whether the backend servers of the zone are used"},
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
	 .help = "address that callers connect to; none: through routes only"},
	{.name = "port",
	 .type = FIELD_INT,
	 .offset = offsetof(struct service, port),
	 .min = 1,
	 .max = PORT_MAX,
	 .help = "TCP port that callers connect to"},
	{.name = "guard",
	 .type = FIELD_CHOICE,
	 .offset = offsetof(struct service, guard),
	 .choices = guard_texts,
	 .default_value = GUARD_NONE,
	 .help = "whether requests pass through the agent's request gate"},
	{.name = "connections",
	 .type = FIELD_INT,
	 .offset = offsetof(struct service, connections),
	 .min = 1,
	 .max = CONNECTIONS_MAX,
	 .default_value = 2000,
	 .unit = "connections",
	 .help = "connections that a backend server carries once warmed up"},
	{.name = "slots",
	 .type = FIELD_INT,
	 .offset = offsetof(struct service, slots),
	 .min = 1,
	 .max = SLOTS_MAX,
	 .default_value = 5,
	 .unit = "requests",
	 .help = "requests that a backend server processes concurrently"},
	{.name = "drain_deadline_s",
	 .type = FIELD_INT,
	 .offset = offsetof(struct service, drain_deadline_s),
	 .min = 0,
	 .max = DRAIN_DEADLINE_MAX_S,
	 .default_value = 3600,
	 .unit = "s",
	 .help = "time that a draining server keeps its connections"},
	{.name = "idle_timeout_s",
	 .type = FIELD_INT,
	 .offset = offsetof(struct service, idle_timeout_s),
	 .min = 10,
	 .max = IDLE_TIMEOUT_MAX_S,
	 .default_value = 3600,
	 .unit = "s",
	 .help = "time without packets after which a connection expires"},
	{.name = "answer_ms",
	 .type = FIELD_INT,
	 .offset = offsetof(struct service, answer_ms),
	 .min = 1,
	 .max = ANSWER_MAX_MS,
	 .default_value = 20,
	 .unit = "ms",
	 .help = "time within which a warmed-up server responds"},
	{.name = "buckets",
	 .type = FIELD_INT,
	 .offset = offsetof(struct service, buckets),
	 .min = BUCKETS_MIN,
	 .max = BUCKETS_MAX,
	 .default_value = 1024,
	 .help = "hash buckets, 64 for each planned backend server; rounded "
		 "up to a power of two"},
	{.name = "cold_per_s",
	 .type = FIELD_INT,
	 .offset = offsetof(struct service, cold_per_s),
	 .min = 0,
	 .max = COLD_PER_S_MAX,
	 .default_value = 0,
	 .unit = "connections/s",
	 .help = "new connections of a server that is warming up; 0: "
		 "estimated from its responses"},
};
const size_t manifest_n_service_fields = G_N_ELEMENTS(manifest_service_fields);

const struct field manifest_route_fields[] = {
	{.name = "name",
	 .type = FIELD_NAME,
	 .offset = offsetof(struct route, name),
	 .required = true,
	 .help = "name of the route"},
	{.name = "address",
	 .type = FIELD_ADDRESS,
	 .offset = offsetof(struct route, address),
	 .required = true,
	 .help = "address that callers connect to"},
	{.name = "port",
	 .type = FIELD_INT,
	 .offset = offsetof(struct route, port),
	 .required = true,
	 .min = 1,
	 .max = PORT_MAX,
	 .help = "TCP port that callers connect to"},
	{.name = "kind",
	 .type = FIELD_CHOICE,
	 .offset = offsetof(struct route, kind),
	 .choices = route_kind_texts,
	 .default_value = ROUTE_NON_IDEMPOTENT,
	 .help = "whether a request that may have run may be repeated (safe)"},
	{.name = "priority",
	 .type = FIELD_INT,
	 .offset = offsetof(struct route, priority),
	 .min = 0,
	 .max = PRIORITY_MAX,
	 .default_value = 0,
	 .help = "order under load; 0 is served first"},
	{.name = "timeout_ms",
	 .type = FIELD_INT,
	 .offset = offsetof(struct route, timeout_ms),
	 .min = 0,
	 .max = TIMEOUT_MAX_MS,
	 .default_value = 0,
	 .unit = "ms",
	 .help = "time after which a caller abandons a request; 0: unknown"},
	{.name = "objective_ms",
	 .type = FIELD_INT,
	 .offset = offsetof(struct route, objective_ms),
	 .min = 0,
	 .max = TIMEOUT_MAX_MS,
	 .default_value = 0,
	 .unit = "ms",
	 .help = "target response time; 0: unknown"},
	{.name = "backends",
	 .type = FIELD_NESTED,
	 .required = true,
	 .help = "services that share the new connections"},
};
const size_t manifest_n_route_fields = G_N_ELEMENTS(manifest_route_fields);

const struct field manifest_backend_fields[] = {
	{.name = "service",
	 .type = FIELD_NAME,
	 .offset = offsetof(struct route_backend, service),
	 .required = true,
	 .help = "a service of this manifest"},
	{.name = "weight",
	 .type = FIELD_INT,
	 .offset = offsetof(struct route_backend, weight),
	 .min = 0,
	 .max = WEIGHT_MAX,
	 .default_value = 1,
	 .help = "share of the new connections"},
};
const size_t manifest_n_backend_fields = G_N_ELEMENTS(manifest_backend_fields);

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
	g_free(manifest->routes);
	manifest_init(manifest);
}

static void read_zones(struct manifest *manifest, const json_t *root,
		       struct json_errors *errors)
{
	const json_t *array = json_reader_array(
		root, "", "zones", MANIFEST_MAX_ZONES, false, errors);
	char path[FIELD_PATH_MAX];

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
	char path[FIELD_PATH_MAX];

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

static void read_backends(struct route *route, const json_t *object,
			  const char *path, struct json_errors *errors)
{
	const json_t *array = json_reader_array(
		object, path, "backends", ROUTE_BACKENDS_MAX, false, errors);
	char backend_path[2 * FIELD_PATH_MAX];

	if (!array)
		return;
	route->n_backends = json_array_size(array);
	for (size_t i = 0; i < route->n_backends; i++) {
		snprintf(backend_path, sizeof(backend_path), "%s.backends[%zu]",
			 path, i);
		json_reader_object(json_array_get(array, i), backend_path,
				   manifest_backend_fields,
				   manifest_n_backend_fields,
				   &route->backends[i], errors);
	}
}

static void read_routes(struct manifest *manifest, const json_t *root,
			struct json_errors *errors)
{
	const json_t *array = json_reader_array(
		root, "", "routes", MANIFEST_MAX_ROUTES, false, errors);
	char path[FIELD_PATH_MAX];

	if (!array)
		return;
	manifest->n_routes = json_array_size(array);
	manifest->routes = g_new0(struct route, manifest->n_routes);
	for (size_t i = 0; i < manifest->n_routes; i++) {
		const json_t *object = json_array_get(array, i);

		snprintf(path, sizeof(path), "routes[%zu]", i);
		json_reader_object(object, path, manifest_route_fields,
				   manifest_n_route_fields,
				   &manifest->routes[i], errors);
		if (json_is_object(object))
			read_backends(&manifest->routes[i], object, path,
				      errors);
	}
}

static void check_zone_names(const struct manifest *manifest,
			     struct json_errors *errors)
{
	char path[FIELD_PATH_MAX];

	for (size_t i = 0; i < manifest->n_zones; i++)
		for (size_t j = 0; j < i; j++) {
			if (!name_equal(&manifest->zones[i].name,
					&manifest->zones[j].name))
				continue;
			snprintf(path, sizeof(path), "zones[%zu].name", i);
			json_errors_add(errors, path,
					"found \"%s\" again, allowed is a "
					"name that differs from zones[%zu]",
					manifest->zones[i].name.data, j);
		}
}

static int compare_service_ids(const void *a, const void *b)
{
	const struct service *x = *(const struct service *const *)a;
	const struct service *y = *(const struct service *const *)b;

	if (x->id != y->id)
		return x->id < y->id ? -1 : 1;
	return x < y ? -1 : 1;
}

/** An address and port that callers connect to, and its service or route. */
struct frontend {
	const struct ip_addr *address;
	int64_t port;
	/** List of the manifest that it is from: "services" or "routes". */
	const char *list;
	/** Its index in that list. */
	size_t index;
};

static int compare_frontends(const void *a, const void *b)
{
	const struct frontend *x = a, *y = b;
	int order = memcmp(x->address, y->address, sizeof(*x->address));

	if (order)
		return order;
	if (x->port != y->port)
		return x->port < y->port ? -1 : 1;
	order = strcmp(y->list, x->list);
	if (order)
		return order;
	return x->index < y->index ? -1 : 1;
}

static void add_service_id_error(const struct manifest *manifest,
				 const struct service *first,
				 const struct service *second,
				 struct json_errors *errors)
{
	char path[FIELD_PATH_MAX];

	snprintf(path, sizeof(path), "services[%td].name",
		 second - manifest->services);
	json_errors_add(errors, path,
			"found \"%s\", allowed is a name whose hash differs "
			"from services[%td]",
			second->name.data, first - manifest->services);
}

/*
 * Refuses an address and port that two services or routes use. Sorts all of
 * them, so that duplicates are adjacent.
 */
static void check_frontends(const struct manifest *manifest,
			    struct json_errors *errors)
{
	size_t n = 0;
	struct frontend *frontends = g_new(
		struct frontend, manifest->n_services + manifest->n_routes);
	char path[FIELD_PATH_MAX];

	for (size_t i = 0; i < manifest->n_services; i++)
		if (manifest->services[i].port)
			frontends[n++] = (struct frontend){
				&manifest->services[i].address,
				manifest->services[i].port, "services", i};
	for (size_t i = 0; i < manifest->n_routes; i++)
		frontends[n++] = (struct frontend){&manifest->routes[i].address,
						   manifest->routes[i].port,
						   "routes", i};
	if (n)
		qsort(frontends, n, sizeof(*frontends), compare_frontends);
	for (size_t i = 1; i < n; i++) {
		if (frontends[i - 1].port != frontends[i].port ||
		    !ip_addr_equal(frontends[i - 1].address,
				   frontends[i].address))
			continue;
		snprintf(path, sizeof(path), "%s[%zu].address",
			 frontends[i].list, frontends[i].index);
		json_errors_add(errors, path,
				"overlaps the address and port of %s[%zu]",
				frontends[i - 1].list, frontends[i - 1].index);
	}
	g_free(frontends);
}

/* Checks the services that route number @i sends connections to. */
static void check_backends(const struct manifest *manifest, size_t i,
			   struct json_errors *errors)
{
	const struct route *route = &manifest->routes[i];
	char path[2 * FIELD_PATH_MAX];

	if (!route->n_backends) {
		snprintf(path, sizeof(path), "routes[%zu].backends", i);
		json_errors_add(errors, path, "found none, allowed are 1 to %d",
				ROUTE_BACKENDS_MAX);
	}
	for (size_t j = 0; j < route->n_backends; j++) {
		if (manifest_find_service(manifest,
					  &route->backends[j].service))
			continue;
		snprintf(path, sizeof(path),
			 "routes[%zu].backends[%zu].service", i, j);
		json_errors_add(errors, path,
				"found \"%s\", allowed is the name of a "
				"service",
				route->backends[j].service.data);
	}
}

/* A service has both an address and a port, or neither. */
static void check_addresses(const struct manifest *manifest,
			    struct json_errors *errors)
{
	static const struct ip_addr no_address;
	char path[FIELD_PATH_MAX];

	for (size_t i = 0; i < manifest->n_services; i++) {
		const struct service *service = &manifest->services[i];
		bool has_address =
			!ip_addr_equal(&service->address, &no_address);

		if (has_address == (service->port != 0))
			continue;
		snprintf(path, sizeof(path), "services[%zu].%s", i,
			 has_address ? "port" : "address");
		json_errors_add(errors, path, "missing, needed with %s",
				has_address ? "address" : "port");
	}
}

/*
 * Refuses the guard "orders", as agents have no request gate yet: without a
 * gate, requests that must run at most once could run twice.
 */
static void check_guards(const struct manifest *manifest,
			 struct json_errors *errors)
{
	char path[FIELD_PATH_MAX];

	for (size_t i = 0; i < manifest->n_services; i++) {
		if (manifest->services[i].guard != GUARD_REQUESTS)
			continue;
		snprintf(path, sizeof(path), "services[%zu].guard", i);
		json_errors_add(errors, path,
				"found \"orders\", allowed is \"none\": this "
				"version has no request gate in its agents");
	}
}

/*
 * Refuses services whose names have the same hash. Sorts all services by it, so
 * that duplicates are adjacent.
 */
static void check_service_ids(const struct manifest *manifest,
			      struct json_errors *errors)
{
	size_t n = manifest->n_services;
	const struct service **sorted;

	if (!n)
		return;
	sorted = g_new(const struct service *, n);
	for (size_t i = 0; i < n; i++)
		sorted[i] = &manifest->services[i];
	qsort(sorted, n, sizeof(const struct service *), compare_service_ids);
	for (size_t i = 1; i < n; i++)
		if (sorted[i - 1]->id == sorted[i]->id)
			add_service_id_error(manifest, sorted[i - 1], sorted[i],
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
	read_routes(manifest, root, errors);
	check_zone_names(manifest, errors);
	check_guards(manifest, errors);
	check_service_ids(manifest, errors);
	check_addresses(manifest, errors);
	check_frontends(manifest, errors);
	for (size_t i = 0; i < manifest->n_routes; i++)
		check_backends(manifest, i, errors);
}

static enum status_code read_document(struct manifest *manifest, json_t *root,
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
	return read_document(manifest, root, &errors, status);
}

enum status_code manifest_parse(struct manifest *manifest, struct str text,
				const char *source, struct status *status)
{
	struct json_errors errors;
	json_t *root;

	json_errors_init(&errors, source);
	root = json_reader_parse(text, &errors);
	return read_document(manifest, root, &errors, status);
}

static json_t *zone_to_json(const struct zone *zone)
{
	json_t *object = json_pack("{s:s,s:s}", "name", zone->name.data,
				   "state", zone_state_texts[zone->state]);

	if (zone->region.len)
		json_object_set_new(object, "region",
				    json_string(zone->region.data));
	return object;
}

static json_t *service_to_json(const struct service *service)
{
	char address[IP_ADDR_TEXT_MAX];
	json_t *object = json_pack(
		"{s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:I}", "name", service->name.data,
		"guard", guard_texts[service->guard], "connections",
		(json_int_t)service->connections, "slots",
		(json_int_t)service->slots, "drain_deadline_s",
		(json_int_t)service->drain_deadline_s, "idle_timeout_s",
		(json_int_t)service->idle_timeout_s, "answer_ms",
		(json_int_t)service->answer_ms, "buckets",
		(json_int_t)service->buckets);

	if (service->port) {
		ip_addr_format(&service->address, address);
		json_object_set_new(object, "address", json_string(address));
		json_object_set_new(object, "port",
				    json_integer(service->port));
	}
	if (service->cold_per_s)
		json_object_set_new(object, "cold_per_s",
				    json_integer(service->cold_per_s));
	return object;
}

static json_t *route_to_json(const struct route *route)
{
	json_t *backends = json_array();
	char address[IP_ADDR_TEXT_MAX];

	for (size_t i = 0; i < route->n_backends; i++)
		json_array_append_new(
			backends,
			json_pack("{s:s,s:I}", "service",
				  route->backends[i].service.data, "weight",
				  (json_int_t)route->backends[i].weight));
	return json_pack(
		"{s:s,s:s,s:I,s:s,s:I,s:I,s:I,s:o}", "name", route->name.data,
		"address", ip_addr_format(&route->address, address), "port",
		(json_int_t)route->port, "kind", route_kind_texts[route->kind],
		"priority", (json_int_t)route->priority, "timeout_ms",
		(json_int_t)route->timeout_ms, "objective_ms",
		(json_int_t)route->objective_ms, "backends", backends);
}

void manifest_write(const struct manifest *manifest, struct strbuf *out)
{
	json_t *zones = json_array();
	json_t *services = json_array();
	json_t *root;
	char *text;

	for (size_t i = 0; i < manifest->n_zones; i++)
		json_array_append_new(zones, zone_to_json(&manifest->zones[i]));
	for (size_t i = 0; i < manifest->n_services; i++)
		json_array_append_new(services,
				      service_to_json(&manifest->services[i]));
	root = json_pack("{s:s,s:I,s:o,s:o}", "deployment",
			 manifest->deployment.data, "release",
			 (json_int_t)manifest->release, "zones", zones,
			 "services", services);
	if (manifest->n_routes) {
		json_t *routes = json_array();

		for (size_t i = 0; i < manifest->n_routes; i++)
			json_array_append_new(
				routes, route_to_json(&manifest->routes[i]));
		json_object_set_new(root, "routes", routes);
	}
	text = json_dumps(root, JSON_COMPACT);
	strbuf_add(out, text, strlen(text));
	free(text);
	json_decref(root);
}

const struct service *manifest_find_service_at(const struct manifest *manifest,
					       const struct ip_addr *address,
					       uint16_t port)
{
	for (size_t i = 0; i < manifest->n_services; i++)
		if (manifest->services[i].port == port &&
		    ip_addr_equal(&manifest->services[i].address, address))
			return &manifest->services[i];
	return NULL;
}

const struct service *manifest_find_service(const struct manifest *manifest,
					    const struct name *name)
{
	for (size_t i = 0; i < manifest->n_services; i++)
		if (name_equal(&manifest->services[i].name, name))
			return &manifest->services[i];
	return NULL;
}

const struct zone *manifest_find_zone(const struct manifest *manifest,
				      const struct name *name)
{
	for (size_t i = 0; i < manifest->n_zones; i++)
		if (name_equal(&manifest->zones[i].name, name))
			return &manifest->zones[i];
	return NULL;
}

bool manifest_zone_in_service(const struct manifest *manifest,
			      const struct name *name)
{
	const struct zone *zone = manifest_find_zone(manifest, name);

	return zone ? zone->state == ZONE_IN_SERVICE : !manifest->n_zones;
}
