#include "bench_deployment.h"

#include <stdio.h>
#include <string.h>

#define BALANCER_NET 0x7f4d0100u
#define AGENT_NET 0x7f4d0200u
#define SERVICE_NET 0x0a4d0000u
#define SERVERS_PER_SERVICE_MAX 64
#define CONNECTION_LIMIT 2000
#define LONG_TIMEOUT_S 3600
#define RESPONSE_MS 20
#define BUCKETS 1024

const struct deployment_spec deployment_huon = {
	.name = "huon",
	.zones = {"tas-a", "tas-b", "tas-c"},
	.n_zones = 3,
	.services = {"orders", "assessing"},
	.n_servers = {7, 3},
	.slots = 5,
};

const struct deployment_spec deployment_birchknot = {
	.name = "birchknot",
	.zones = {"inverness-a", "inverness-b", "elgin", "nairn"},
	.n_zones = 4,
	.services = {"shopfront", "sortdesk"},
	.n_servers = {7, 4},
	.slots = 6,
};

static void make_service(struct service *service, const char *name, int i,
			 int slots)
{
	uint32_t ip = GUINT32_TO_BE(SERVICE_NET + (uint32_t)(i + 1) * 10);

	name_set(&service->name, str_from(name));
	service->id = service_id(&service->name);
	ip_addr_from_v4(&service->address, (const uint8_t *)&ip);
	service->port = 8080;
	service->connections = CONNECTION_LIMIT;
	service->slots = slots;
	service->drain_deadline_s = LONG_TIMEOUT_S;
	service->idle_timeout_s = LONG_TIMEOUT_S;
	service->answer_ms = RESPONSE_MS;
	service->buckets = BUCKETS;
}

static void make_manifest(struct manifest *manifest,
			  const struct deployment_spec *spec)
{
	name_set(&manifest->deployment, str_from(spec->name));
	manifest->release = 1;
	manifest->n_zones = spec->n_zones;
	manifest->zones = g_new0(struct zone, spec->n_zones);
	for (size_t i = 0; i < spec->n_zones; i++)
		name_set(&manifest->zones[i].name, str_from(spec->zones[i]));
	manifest->n_services = G_N_ELEMENTS(spec->services);
	manifest->services = g_new0(struct service, manifest->n_services);
	for (int i = 0; i < (int)manifest->n_services; i++)
		make_service(&manifest->services[i], spec->services[i], i,
			     spec->slots);
}

/* Sets the key of control messages: they are authenticated as in production. */
static void set_control_key(struct world_node *node)
{
	struct keyring keys;
	struct status status;

	keyring_init(&keys);
	status_init(&status);
	keyring_add(&keys, 1, str_from("000102030405060708090a0b0c0d0e0f"),
		    &status);
	node->options.keys = keys;
	control_set_keys(&node->control, &keys);
	keyring_finish(&keys);
}

static struct world_node *add_process(struct world *world, const char *prefix,
				      int number, uint32_t ip,
				      const struct service *service)
{
	const struct manifest *manifest = &world->manifest;
	struct world_node *node;
	struct member self;
	char text[NAME_MAX_LEN];

	memset(&self, 0, sizeof(self));
	snprintf(text, sizeof(text), "%s-%d", prefix, number);
	name_set(&self.name, str_from(text));
	self.zone = manifest->zones[(size_t)number % manifest->n_zones].name;
	self.role = service ? MEMBER_AGENT : MEMBER_BALANCER;
	self.data = (struct endpoint){ip, 4701};
	self.control = (struct endpoint){ip, 4702};
	self.admin = (struct endpoint){ip, 4703};
	if (service) {
		self.service = service->name;
		self.connections = (uint32_t)service->connections;
		self.slots = (uint32_t)service->slots;
	}
	node = world_add_node(world, &self);
	set_control_key(node);
	return node;
}

struct world_node *deployment_add_server(struct world *world, int service,
					 int number)
{
	const struct service *config = &world->manifest.services[service];

	return add_process(
		world, config->name.data, number,
		AGENT_NET +
			(uint32_t)(service * SERVERS_PER_SERVICE_MAX + number),
		config);
}

void deployment_start(struct world *world, const struct deployment_spec *spec,
		      uint32_t seed)
{
	struct status status;

	status_init(&status);
	world_init(world, seed);
	make_manifest(&world->manifest, spec);
	if (world_apply(world, &status) != STATUS_OK)
		g_error("cannot apply release: %s", status.message);
	for (int i = 1; i <= DEPLOYMENT_BALANCERS; i++)
		add_process(world, "balancer", i, BALANCER_NET + (uint32_t)i,
			    NULL);
	for (int i = 0; i < (int)G_N_ELEMENTS(spec->services); i++)
		for (int j = 1; j <= spec->n_servers[i]; j++)
			deployment_add_server(world, i, j);
}
