#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

/*
 * Runs a scenario: a Lua script that drives the simulation of world.h with
 * the verbs of docs/SCENARIOS.md. Usage: scenario FILE [SEED].
 */
#define DEFAULT_CONNECTIONS 2000
#define DEFAULT_SLOTS 5
#define DEFAULT_ANSWER_MS 20
#define DEFAULT_BUCKETS 1024
#define SERVICE_NET 0x0a4d0000u /* 10.77.0.0 */
#define MAX_SERVICES 64

static struct world world;

static double field_number(lua_State *lua, const char *name, double fallback)
{
	double value;

	lua_getfield(lua, 1, name);
	value = lua_isnil(lua, -1) ? fallback : luaL_checknumber(lua, -1);
	lua_pop(lua, 1);
	return value;
}

static void set_name(lua_State *lua, struct name *name, const char *text)
{
	if (!text || !name_set(name, str_from(text)))
		luaL_error(lua, "'%s' is not a valid name",
			   text ? text : "nil");
}

static void read_zones(lua_State *lua)
{
	lua_getfield(lua, 1, "zones");
	luaL_checktype(lua, -1, LUA_TTABLE);
	world.manifest.n_zones = lua_rawlen(lua, -1);
	world.manifest.zones = g_new0(struct zone, world.manifest.n_zones);
	for (size_t i = 0; i < world.manifest.n_zones; i++) {
		lua_rawgeti(lua, -1, (lua_Integer)i + 1);
		set_name(lua, &world.manifest.zones[i].name,
			 lua_tostring(lua, -1));
		lua_pop(lua, 1);
	}
	lua_pop(lua, 1);
}

static int64_t subfield_int(lua_State *lua, const char *name, int64_t fallback)
{
	int64_t value = fallback;

	lua_getfield(lua, -1, name);
	if (!lua_isnil(lua, -1))
		value = (int64_t)luaL_checknumber(lua, -1);
	lua_pop(lua, 1);
	return value;
}

/* Reads the service at the top of the stack; returns its server count. */
static size_t read_service(lua_State *lua, struct service *service, size_t i)
{
	uint32_t ip = GUINT32_TO_BE(SERVICE_NET + (uint32_t)(i + 1) * 10);

	lua_getfield(lua, -1, "name");
	set_name(lua, &service->name, lua_tostring(lua, -1));
	lua_pop(lua, 1);
	service->id = service_id(&service->name);
	ip_addr_from_v4(&service->address, (const uint8_t *)&ip);
	service->port = 8080;
	service->connections =
		subfield_int(lua, "connections", DEFAULT_CONNECTIONS);
	service->slots = subfield_int(lua, "slots", DEFAULT_SLOTS);
	service->drain_deadline_s = 3600;
	service->idle_timeout_s = 3600;
	service->answer_ms = subfield_int(lua, "answer_ms", DEFAULT_ANSWER_MS);
	service->buckets = subfield_int(lua, "buckets", DEFAULT_BUCKETS);
	return (size_t)subfield_int(lua, "servers", 1);
}

/* deploy{zones={...}, balancers=N, strong_reads=0|1,
 *        services={{name=, servers=, ...}}} */
static int verb_deploy(lua_State *lua)
{
	size_t servers[MAX_SERVICES] = {0};
	struct status status;

	status_init(&status);
	luaL_checktype(lua, 1, LUA_TTABLE);
	set_name(lua, &world.manifest.deployment, "scenario");
	world.manifest.release = 1;
	read_zones(lua);
	lua_getfield(lua, 1, "services");
	luaL_checktype(lua, -1, LUA_TTABLE);
	world.manifest.n_services = lua_rawlen(lua, -1);
	if (world.manifest.n_services > MAX_SERVICES)
		return luaL_error(lua, "too many services");
	world.manifest.services =
		g_new0(struct service, world.manifest.n_services);
	for (size_t i = 0; i < world.manifest.n_services; i++) {
		lua_rawgeti(lua, -1, (lua_Integer)i + 1);
		servers[i] = read_service(lua, &world.manifest.services[i], i);
		lua_pop(lua, 1);
	}
	lua_pop(lua, 1);
	world.strong_reads = field_number(lua, "strong_reads", 0) != 0;
	if (world_apply(&world, &status) != STATUS_OK)
		return luaL_error(lua, "apply: %s", status.message);
	for (int i = (int)field_number(lua, "balancers", 3); i > 0; i--)
		world_add_balancer(&world);
	for (size_t i = 0; i < world.manifest.n_services; i++)
		for (size_t j = 1; j <= servers[i]; j++)
			world_add_server(&world, &world.manifest.services[i]);
	return 0;
}

static const struct service *check_service(lua_State *lua, const char *text)
{
	const struct service *service;
	struct name name;

	set_name(lua, &name, text);
	service = manifest_find_service(&world.manifest, &name);
	if (!service)
		luaL_error(lua, "no service '%s'", text);
	return service;
}

/* load{service=, connections=, over_ms=, lines=, gap_ms=} */
static int verb_load(lua_State *lua)
{
	int n_connections = (int)field_number(lua, "connections", 100);
	int over_ms = (int)field_number(lua, "over_ms", 1000);
	int lines = (int)field_number(lua, "lines", 10);
	int gap_ms = (int)field_number(lua, "gap_ms", 500);
	const struct service *service;

	lua_getfield(lua, 1, "service");
	service = check_service(lua, lua_tostring(lua, -1));
	for (int i = 0; i < n_connections; i++)
		caller_pool_add(&world.callers, service,
				world.now_ms + g_rand_int_range(world.rand, 0,
								over_ms + 1),
				lines, gap_ms);
	return 0;
}

static struct world_node *check_node(lua_State *lua)
{
	const char *name = luaL_checkstring(lua, 1);
	struct world_node *node = world_find_node(&world, name);

	if (!node)
		luaL_error(lua, "no process '%s'", name);
	return node;
}

static int verb_run(lua_State *lua)
{
	world_run(&world, (int64_t)luaL_checknumber(lua, 1));
	return 0;
}

static int verb_kill(lua_State *lua)
{
	world_kill_node(check_node(lua));
	return 0;
}

static int verb_start(lua_State *lua)
{
	world_start_node(check_node(lua));
	return 0;
}

static int verb_add_balancer(lua_State *lua)
{
	(void)lua;
	world_add_balancer(&world);
	return 0;
}

static int verb_drain(lua_State *lua)
{
	world_drain(check_node(lua));
	return 0;
}

/* reuse(name, service): a server of @service gets the address of a dead one */
static int verb_reuse(lua_State *lua)
{
	world_reuse_address(check_node(lua),
			    check_service(lua, luaL_checkstring(lua, 2)));
	return 0;
}

static int verb_replace(lua_State *lua)
{
	world_replace_agent(check_node(lua));
	return 0;
}

/* restart_server(name, cold_ms) */
static int verb_restart_server(lua_State *lua)
{
	world_restart_server(check_node(lua),
			     (int64_t)luaL_optnumber(lua, 2, 0));
	return 0;
}

/* lag(name, ms): sets the delay of new views of the process */
static int verb_lag(lua_State *lua)
{
	check_node(lua)->view_delay_ms = (int64_t)luaL_checknumber(lua, 2);
	return 0;
}

/* add_server(service): one more backend server with its agent */
static int verb_add_server(lua_State *lua)
{
	world_add_server(&world, check_service(lua, luaL_checkstring(lua, 1)));
	return 0;
}

static int verb_pause(lua_State *lua)
{
	check_node(lua)->paused_until_ms =
		world.now_ms + (int64_t)luaL_checknumber(lua, 2);
	return 0;
}

/* cut(name, n): puts the process in network partition n; 0: reaches all */
static int verb_cut(lua_State *lua)
{
	check_node(lua)->network_partition = (int)luaL_checkinteger(lua, 2);
	return 0;
}

static int verb_cut_platform(lua_State *lua)
{
	check_node(lua)->platform_unreachable = lua_toboolean(lua, 2);
	return 0;
}

/* network{data_loss=, control_loss=, delay_min_ms=, ...} */
static int verb_network(lua_State *lua)
{
	struct world_faults *faults = &world.faults;

	faults->data_loss = field_number(lua, "data_loss", faults->data_loss);
	faults->data_duplication =
		field_number(lua, "data_double", faults->data_duplication);
	faults->control_loss =
		field_number(lua, "control_loss", faults->control_loss);
	faults->control_duplication = field_number(lua, "control_double",
						   faults->control_duplication);
	faults->control_forgery =
		field_number(lua, "control_forge", faults->control_forgery);
	faults->control_truncation = field_number(lua, "control_truncate",
						  faults->control_truncation);
	faults->control_replay =
		field_number(lua, "control_replay", faults->control_replay);
	faults->delay_min_ms = (int64_t)field_number(
		lua, "delay_min_ms", (double)faults->delay_min_ms);
	faults->delay_max_ms = (int64_t)field_number(
		lua, "delay_max_ms", (double)faults->delay_max_ms);
	return 0;
}

/* Takes the snapshot when the platform starts to serve it. */
static void set_serve_snapshot(bool serve_snapshot)
{
	if (serve_snapshot && !world.platform.serve_snapshot)
		memory_store_copy(&world.platform.store,
				  &world.platform.snapshot);
	world.platform.serve_snapshot = serve_snapshot;
}

/* keys([name,] id, ...): sets the control keys of all processes or of one */
static int verb_keys(lua_State *lua)
{
	struct world_node *one_node = lua_isnumber(lua, 1) ? NULL
							   : check_node(lua);
	struct keyring keys;
	struct status status;
	char hex[2 * KEYRING_KEY_BYTES + 1];

	keyring_init(&keys);
	status_init(&status);
	for (int i = one_node ? 2 : 1; i <= lua_gettop(lua); i++) {
		int id = (int)luaL_checkinteger(lua, i);

		snprintf(hex, sizeof(hex), "%032x", id);
		if (keyring_add(&keys, (uint8_t)id, str_from(hex), &status) !=
		    STATUS_OK)
			return luaL_error(lua, "keys: %s", status.message);
	}
	for (guint i = 0; i < world.nodes->len; i++) {
		struct world_node *node = g_ptr_array_index(world.nodes, i);

		if (one_node && one_node != node)
			continue;
		node->options.keys = keys;
		if (node->up)
			control_set_keys(&node->control, &keys);
	}
	keyring_finish(&keys);
	return 0;
}

/* meter(): resets the meters of control bytes */
static int verb_meter(lua_State *lua)
{
	(void)lua;
	world_reset_meters(&world);
	return 0;
}

/* platform{down=0|1, latency_ms=, lose_answers=, races=, stale=, forget=1,
 *          backup=1, restore=1, other_writes=} */
static int verb_platform(lua_State *lua)
{
	struct world_platform *platform = &world.platform;

	platform->down = field_number(lua, "down", platform->down) != 0;
	platform->latency_ms = (int64_t)field_number(
		lua, "latency_ms", (double)platform->latency_ms);
	platform->responses_to_lose = (int)field_number(
		lua, "lose_answers", platform->responses_to_lose);
	platform->conflicts_to_inject =
		(int)field_number(lua, "races", platform->conflicts_to_inject);
	set_serve_snapshot(
		field_number(lua, "stale", platform->serve_snapshot) != 0);
	if (field_number(lua, "forget", 0) != 0)
		memory_store_drop_history(&platform->store);
	if (field_number(lua, "backup", 0) != 0)
		memory_store_copy(&platform->store, &platform->backup);
	if (field_number(lua, "restore", 0) != 0)
		world_restore_store(&world);
	world_write_other_objects(&world,
				  (int)field_number(lua, "other_writes", 0));
	return 0;
}

/* order(zone, "in"|"out"): an order on one zone; ends all others */
static int verb_order(lua_State *lua)
{
	struct name name;

	set_name(lua, &name, luaL_checkstring(lua, 1));
	world_order_zone(&world, &name,
			 !strcmp(luaL_checkstring(lua, 2), "out"));
	return 0;
}

/* zone(name, "in"|"out"): whether the next release has it in service */
static int verb_zone(lua_State *lua)
{
	const char *state = luaL_checkstring(lua, 2);
	struct name name;

	set_name(lua, &name, luaL_checkstring(lua, 1));
	for (size_t i = 0; i < world.manifest.n_zones; i++) {
		if (!name_equal(&world.manifest.zones[i].name, &name))
			continue;
		world.manifest.zones[i].state = strcmp(state, "out")
							? ZONE_IN_SERVICE
							: ZONE_OUT_OF_SERVICE;
		return 0;
	}
	return luaL_error(lua, "no zone '%s'", name.data);
}

/*
 * apply([release]): applies the next release or the one given. Returns whether
 * it was accepted, and the status name.
 */
static int verb_apply(lua_State *lua)
{
	int64_t before = world.manifest.release;
	struct status status;

	status_init(&status);
	world.manifest.release =
		(int64_t)luaL_optnumber(lua, 1, (double)(before + 1));
	if (world_apply(&world, &status) != STATUS_OK)
		world.manifest.release = before;
	lua_pushboolean(lua, status.code == STATUS_OK);
	lua_pushstring(lua, status_name(status.code));
	return 2;
}

/* apply_race(): two operators apply at once; returns both status names */
static int verb_apply_race(lua_State *lua)
{
	struct status second_status;
	enum status_code code =
		world_apply_concurrently(&world, &second_status);

	if (code != STATUS_OK && second_status.code != STATUS_OK)
		world.manifest.release--;
	lua_pushstring(lua, status_name(code));
	lua_pushstring(lua, status_name(second_status.code));
	return 2;
}

static int verb_figure(lua_State *lua)
{
	const char *process = luaL_optstring(lua, 2, NULL);
	struct world_node *node = process ? world_find_node(&world, process)
					  : NULL;
	double value;

	if (process) {
		if (!node || !world_node_read_figure(
				     node, luaL_checkstring(lua, 1), &value))
			return luaL_error(lua,
					  "process '%s' has no such figure",
					  process);
		lua_pushnumber(lua, value);
		return 1;
	}
	if (!world_read_figure(&world, luaL_checkstring(lua, 1), &value))
		return luaL_error(lua, "no figure '%s'", lua_tostring(lua, 1));
	lua_pushnumber(lua, value);
	return 1;
}

static bool compare(lua_State *lua, double value, const char *op, double bound)
{
	if (!strcmp(op, "=="))
		return value == bound;
	if (!strcmp(op, "<="))
		return value <= bound;
	if (!strcmp(op, ">="))
		return value >= bound;
	luaL_error(lua, "operator '%s' is not ==, <= or >=", op);
	return false;
}

/*
 * expect(name, op, bound[, value]): prints the comparison of the figure, or of
 * @value, with the bound; ends the scenario when it does not hold.
 */
static int verb_expect(lua_State *lua)
{
	const char *name = luaL_checkstring(lua, 1);
	const char *op = luaL_checkstring(lua, 2);
	double bound = luaL_checknumber(lua, 3);
	double value;

	if (lua_isnumber(lua, 4))
		value = lua_tonumber(lua, 4);
	else if (!world_read_figure(&world, name, &value))
		return luaL_error(lua, "no figure '%s'", name);
	printf("%s %g %s %g\n", name, value, op, bound);
	if (!compare(lua, value, op, bound))
		return luaL_error(lua, "%s is %f, expected %s %f", name, value,
				  op, bound);
	return 0;
}

static const luaL_Reg verbs[] = {
	{"deploy", verb_deploy},
	{"load", verb_load},
	{"run", verb_run},
	{"kill", verb_kill},
	{"start", verb_start},
	{"add_balancer", verb_add_balancer},
	{"add_server", verb_add_server},
	{"drain", verb_drain},
	{"replace", verb_replace},
	{"reuse", verb_reuse},
	{"restart_server", verb_restart_server},
	{"lag", verb_lag},
	{"pause", verb_pause},
	{"cut", verb_cut},
	{"cut_platform", verb_cut_platform},
	{"network", verb_network},
	{"platform", verb_platform},
	{"zone", verb_zone},
	{"keys", verb_keys},
	{"meter", verb_meter},
	{"order", verb_order},
	{"apply", verb_apply},
	{"apply_race", verb_apply_race},
	{"figure", verb_figure},
	{"expect", verb_expect},
	{NULL, NULL},
};

int main(int argc, char **argv)
{
	const char *seed = getenv("SEED");
	lua_State *lua;
	int failed;

	if (argc < 2) {
		fprintf(stderr, "usage: scenario FILE [SEED]\n");
		return 2;
	}
	if (argc > 2)
		seed = argv[2];
	world_init(&world,
		   (uint32_t)g_ascii_strtoull(seed ? seed : "1", NULL, 10));
	lua = luaL_newstate();
	luaL_openlibs(lua);
	lua_pushglobaltable(lua);
	luaL_setfuncs(lua, verbs, 0);
	lua_pop(lua, 1);
	failed = luaL_dofile(lua, argv[1]);
	if (failed)
		fprintf(stderr, "FAIL %s\n", lua_tostring(lua, -1));
	else
		printf("OK %s\n", argv[1]);
	lua_close(lua);
	world_finish(&world);
	return failed ? 1 : 0;
}
