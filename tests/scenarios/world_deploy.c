#include <stdio.h>
#include <string.h>

#include "tarragonflow/flow/handover.h"
#include "world_internal.h"

/* Adding processes, and planned changes to them. */
#define DATA_PORT 4701
#define CONTROL_PORT 4702
#define ADMIN_PORT 4703
#define BALANCER_NET 0x7f4d0100u /* 127.77.1.0 */
#define AGENT_NET 0x7f4d1000u	 /* 127.77.16.0 */

static void member_init(struct world *world, struct member *self,
			enum member_role role, uint32_t ip, size_t zone)
{
	const struct manifest *manifest = &world->manifest;

	memset(self, 0, sizeof(*self));
	self->role = role;
	self->zone = manifest->zones[zone % manifest->n_zones].name;
	self->data = (struct endpoint){ip, DATA_PORT};
	self->control = (struct endpoint){ip, CONTROL_PORT};
	self->admin = (struct endpoint){ip, ADMIN_PORT};
}

struct world_node *world_add_balancer(struct world *world)
{
	uint32_t number = ++world->n_balancers;
	char text[NAME_MAX_LEN];
	struct member self;

	member_init(world, &self, MEMBER_BALANCER, BALANCER_NET + number,
		    number - 1);
	snprintf(text, sizeof(text), "balancer-%u", number);
	name_set(&self.name, str_from(text));
	return world_add_node(world, &self);
}

static uint32_t count_servers(struct world *world, const struct name *service)
{
	uint32_t n = 0;

	for (guint i = 0; i < world->nodes->len; i++) {
		const struct world_node *node =
			g_ptr_array_index(world->nodes, i);

		n += name_equal(&node->options.self.service, service);
	}
	return n;
}

static struct world_node *
add_server_at(struct world *world, const struct service *service, uint32_t ip)
{
	uint32_t number = count_servers(world, &service->name) + 1;
	char text[2 * NAME_MAX_LEN];
	struct member self;

	member_init(world, &self, MEMBER_AGENT, ip, number - 1);
	self.service = service->name;
	self.connections = (uint32_t)service->connections;
	self.slots = (uint32_t)service->slots;
	snprintf(text, sizeof(text), "%s-%u", service->name.data, number);
	name_set(&self.name, str_from(text));
	return world_add_node(world, &self);
}

struct world_node *world_add_server(struct world *world,
				    const struct service *service)
{
	return add_server_at(world, service, AGENT_NET + ++world->n_agents);
}

struct world_node *world_reuse_address(struct world_node *node,
				       const struct service *service)
{
	world_kill_node(node);
	return add_server_at(node->world, service, node->options.self.data.ip);
}

void world_drain(struct world_node *node)
{
	if (node->options.self.role == MEMBER_AGENT)
		agent_drain(&node->agent);
	node->drained_at_ms = node->world->now_ms;
	control_set_state(&node->control, MEMBER_DRAINING, node->world->now_ms,
			  &node->control_sink);
}

void world_replace_agent(struct world_node *node)
{
	struct strbuf flows;

	strbuf_init(&flows);
	handover_export(&node->agent, node->world->now_ms, &flows);
	world_start_node(node);
	handover_import(&node->agent, (const uint8_t *)flows.data, flows.len,
			node->world->now_ms);
	strbuf_finish(&flows);
}

void world_restart_server(struct world_node *node, int64_t cold_ms)
{
	backend_restart(&node->backend);
	node->cold_until_ms = node->world->now_ms + cold_ms;
	node->backend.cold = cold_ms > 0;
}
