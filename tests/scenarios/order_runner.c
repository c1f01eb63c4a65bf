#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "order_world.h"

/*
 * Runs order scenarios: Lua scripts with the verbs of docs/ORDER-SCENARIOS.md
 * over the product's gates in a simulated world. Usage: order_scenario FILE
 * [SEED].
 */
static struct order_world world;
static uint64_t seed = 1;

static double field_number(lua_State *lua, const char *name,
			   double default_value)
{
	double value;

	lua_getfield(lua, 1, name);
	value = lua_isnil(lua, -1) ? default_value : luaL_checknumber(lua, -1);
	lua_pop(lua, 1);
	return value;
}

static int64_t field_ms(lua_State *lua, const char *name, double default_value)
{
	return (int64_t)field_number(lua, name, default_value);
}

static int verb_gates(lua_State *lua)
{
	uint32_t agents = (uint32_t)field_number(lua, "agents", 7);

	luaL_argcheck(lua, agents <= ORDER_WORLD_AGENTS, 1, "too many agents");
	order_world_init(&world, seed, agents,
			 (uint32_t)field_number(lua, "slots", 5),
			 field_ms(lua, "retention_ms", 60000));
	return 0;
}

static int verb_orders(lua_State *lua)
{
	struct order_load load = {
		.orders = (uint64_t)field_number(lua, "count", 1000),
		.per_s = field_number(lua, "per_s", 100),
		.idempotent_share = field_number(lua, "idempotent", 0),
		.keyless_share = field_number(lua, "keyless", 0),
		.upload_share = field_number(lua, "upload", 0),
		.early_repeat_share = field_number(lua, "repeat_soon", 0),
		.late_repeat_share = field_number(lua, "repeat_late", 0),
		.late_repeat_mean_ms = field_ms(lua, "repeat_late_ms", 20000),
		.cancel_share = field_number(lua, "cancel", 0),
		.retry_share = field_number(lua, "retry", 0),
		.service_ms = field_ms(lua, "service_ms", 20),
		.deadline_ms = field_ms(lua, "deadline_ms", 2000),
		.target_agents = (uint32_t)field_number(lua, "spread", 0),
	};

	order_world_load(&world, &load);
	return 0;
}

static int verb_faults(lua_State *lua)
{
	world.faults = (struct order_faults){
		.server_fails_before = field_number(lua, "die_before", 0),
		.server_fails_during = field_number(lua, "die_during", 0),
		.server_fails_after = field_number(lua, "die_after", 0),
		.connect_fails = field_number(lua, "no_connect", 0),
		.response_late = field_number(lua, "late", 0),
		.response_duplicated = field_number(lua, "doubled", 0),
		.response_truncated = field_number(lua, "cut_short", 0),
		.message_lost = field_number(lua, "loss", 0),
		.message_duplicated = field_number(lua, "message_doubled", 0),
		.message_delayed = field_number(lua, "slow", 0),
		.message_delay_ms = field_ms(lua, "slow_ms", 1000),
		.kill_interval_ms = field_ms(lua, "kill_every_ms", 0),
		.double_kill_share = field_number(lua, "kill_two", 0),
		.downtime_ms = field_ms(lua, "away_ms", 2000),
		.lag_interval_ms = field_ms(lua, "lag_every_ms", 0),
		.lag_duration_ms = field_ms(lua, "lag_ms", 1000),
		.partition_interval_ms = field_ms(lua, "cut_every_ms", 0),
		.partition_duration_ms = field_ms(lua, "cut_ms", 1000),
		.platform_down = field_number(lua, "platform_down", 0) != 0,
	};
	return 0;
}

static int verb_run(lua_State *lua)
{
	order_world_run(&world, (int64_t)luaL_checknumber(lua, 1));
	return 0;
}

static uint32_t check_agent(lua_State *lua)
{
	lua_Integer number = luaL_checkinteger(lua, 1);

	luaL_argcheck(lua, number >= 1 && number <= (int)world.n_agents, 1,
		      "no such agent");
	return (uint32_t)number - 1;
}

static int verb_kill(lua_State *lua)
{
	order_world_kill(&world, check_agent(lua));
	return 0;
}

static int verb_start(lua_State *lua)
{
	order_world_start(&world, check_agent(lua));
	return 0;
}

static int verb_drain(lua_State *lua)
{
	order_world_drain(&world, check_agent(lua));
	return 0;
}

static int verb_judge(lua_State *lua)
{
	(void)lua;
	order_world_count_outcomes(&world);
	return 0;
}

static double read_figure(lua_State *lua, const char *name)
{
	const struct order_figures *figures = &world.figures;
	const struct {
		const char *name;
		uint64_t value;
	} table[] = {
		{"orders", figures->orders},
		{"told_done", figures->reported_done},
		{"told_not_run", figures->reported_not_run},
		{"told_unknown", figures->reported_unknown},
		{"run_twice", figures->run_twice},
		{"not_run_but_run", figures->ran_despite_not_run},
		{"wrong_answers", figures->wrong_responses},
		{"told_twice", figures->reported_twice},
		{"never_told", figures->never_reported},
		{"unknown", figures->unknown},
		{"unknown_without_fault", figures->unknown_without_fault},
		{"slots_exceeded", figures->slots_exceeded},
		{"shutdown_cut", figures->shutdown_cut},
		{"completed", figures->completed},
		{"homes", world.platform.n},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(table); i++)
		if (!strcmp(table[i].name, name))
			return (double)table[i].value;
	for (int i = 0; i < COUNTER_COUNT; i++)
		if (!strcmp(counter_name((enum counter_id)i), name))
			return (double)counter_get(&world.counters,
						   (enum counter_id)i);
	return luaL_error(lua, "no figure '%s'", name);
}

static int verb_expect(lua_State *lua)
{
	const char *name = luaL_checkstring(lua, 1);
	const char *op = luaL_checkstring(lua, 2);
	double bound = luaL_checknumber(lua, 3);
	double value = read_figure(lua, name);
	bool met = (!strcmp(op, "==") && value == bound) ||
		   (!strcmp(op, "<=") && value <= bound) ||
		   (!strcmp(op, ">=") && value >= bound);

	printf("%s %g %s %g %s\n", name, value, op, bound, met ? "ok" : "FAIL");
	if (!met)
		return luaL_error(lua, "expectation of %s failed", name);
	return 0;
}

static const luaL_Reg verbs[] = {
	{"gates", verb_gates}, {"orders", verb_orders}, {"faults", verb_faults},
	{"run", verb_run},     {"kill", verb_kill},	{"start", verb_start},
	{"drain", verb_drain}, {"judge", verb_judge},	{"expect", verb_expect},
	{NULL, NULL},
};

int main(int argc, char **argv)
{
	const char *text = getenv("SEED");
	lua_State *lua = luaL_newstate();
	int failed;

	if (argc < 2) {
		fprintf(stderr, "usage: order_scenario FILE [SEED]\n");
		return 2;
	}
	if (argc > 2)
		text = argv[2];
	if (text && *text)
		seed = g_ascii_strtoull(text, NULL, 10);
	luaL_openlibs(lua);
	for (const luaL_Reg *verb = verbs; verb->name; verb++)
		lua_register(lua, verb->name, verb->func);
	failed = luaL_dofile(lua, argv[1]);
	if (failed)
		fprintf(stderr, "%s\n", lua_tostring(lua, -1));
	lua_close(lua);
	if (world.events)
		order_world_finish(&world);
	return failed ? 1 : 0;
}
