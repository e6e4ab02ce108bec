#include "simulation.h"

#include "carobtrail/errors.h"

#include <jansson.h>
#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>
#include <regex.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_BOUND_US (3 * 1000 * 1000)
#define GAP_BOUND_US	(8 * 1000 * 1000)
#define PATH_MAX_BYTES	4096

/* State of a running script. */
typedef struct script {
	simulation_t *sim;
	uint64_t seed;
	bool trace;
	carob_ledger_listener_t listener;
	json_t *rows; /* recorded by a measurement, or NULL */
} script_t;

static const char *const policy_names[] = {
	"carobtrail", "two-choices", "consistent-hashing", "round-robin", NULL};

/*
 * Names of the mutations, the deliberately wrong variants, as used by the
 * scenarios; in the order of carob_entry_mutation_t.
 */
static const char *const entry_mutations[] = {
	"none",
	"forget-owner",
	"retry-after-timeout",
	"false-not-run",
	"ignore-service",
	"match-by-mid-only",
	"cancel-keeps-slot",
	"drain-drops",
	"run-expired",
};

/* In the order of carob_scheduler_mutation_t. */
static const char *const scheduler_mutations[] = {
	"none",		"place-on-draining", "any-service",
	"ignore-slots", "keep-expired",	     "everybody-schedules",
};

static script_t *script_of(lua_State *lua)
{
	return *(script_t **)lua_getextraspace(lua);
}

static simulation_t *simulation_of(lua_State *lua)
{
	simulation_t *sim = script_of(lua)->sim;

	if (!sim)
		luaL_error(lua, "no simulation: begin() was not called");
	return sim;
}

static double table_number(lua_State *lua, const char *name, double fallback)
{
	double value = fallback;

	if (lua_getfield(lua, 1, name) == LUA_TNUMBER)
		value = lua_tonumber(lua, -1);
	lua_pop(lua, 1);
	return value;
}

static bool table_bool(lua_State *lua, int table, const char *name, bool *out)
{
	bool present = lua_getfield(lua, table, name) != LUA_TNIL;

	if (present)
		*out = lua_toboolean(lua, -1);
	lua_pop(lua, 1);
	return present;
}

static void set_mutation(lua_State *lua, simulation_t *sim, const char *name)
{
	if (strcmp(name, "revert") == 0) {
		sim->revert_mutation = true;
		return;
	}
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(entry_mutations); i++) {
		if (strcmp(name, entry_mutations[i]) == 0) {
			sim->entry_mutation = (carob_entry_mutation_t)i;
			return;
		}
	}
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(scheduler_mutations); i++) {
		if (strcmp(name, scheduler_mutations[i]) == 0) {
			sim->scheduler_mutation = (carob_scheduler_mutation_t)i;
			return;
		}
	}
	luaL_error(lua, "unknown mutation \"%s\"", name);
}

/* begin(policy, mutation): replaces the simulation by a new one. */
static int l_begin(lua_State *lua)
{
	script_t *s = script_of(lua);
	int policy = luaL_checkoption(lua, 1, NULL, policy_names);

	if (s->sim)
		simulation_free(s->sim);
	s->sim = simulation_new(s->seed, (policy_t)policy);
	s->sim->trace = s->trace;
	if (lua_isstring(lua, 2))
		set_mutation(lua, s->sim, lua_tostring(lua, 2));
	return 0;
}

static int l_publish(lua_State *lua)
{
	size_t len;
	const char *json = luaL_checklstring(lua, 1, &len);
	carob_manifest_t *manifest;

	if (carob_manifest_parse(&manifest, "scenario",
				 (carob_str_t){json, len}) != 0)
		return luaL_error(lua, "%s", carob_error_last());
	simulation_publish(simulation_of(lua), manifest);
	carob_manifest_free(manifest);
	return 0;
}

static int l_zone_names(lua_State *lua)
{
	const simulation_t *sim = simulation_of(lua);

	lua_newtable(lua);
	for (size_t i = 0; i < sim->zone_count; i++) {
		lua_pushstring(lua, sim->zones[i].name);
		lua_rawseti(lua, -2, (lua_Integer)i + 1);
	}
	return 1;
}

static int l_run(lua_State *lua)
{
	simulation_run(simulation_of(lua),
		       (uint64_t)(luaL_checknumber(lua, 1) * CAROB_NS_PER_S));
	return 0;
}

/* Returns the last started run of the instance whose id is argument 1. */
static instance_t *instance_arg(lua_State *lua)
{
	simulation_t *sim = simulation_of(lua);
	uint32_t id = (uint32_t)luaL_checkinteger(lua, 1);

	for (size_t i = sim->instance_count; i > 0; i--)
		if (sim->instances[i - 1]->id.id == id)
			return sim->instances[i - 1];
	luaL_error(lua, "instance %d was never started", (int)id);
	return NULL;
}

static int l_start(lua_State *lua)
{
	instance_start(simulation_of(lua), (uint32_t)luaL_checkinteger(lua, 1),
		       luaL_checkstring(lua, 2));
	return 0;
}

static int l_kill(lua_State *lua)
{
	instance_kill(instance_arg(lua));
	return 0;
}

static int l_freeze(lua_State *lua)
{
	instance_pause(instance_arg(lua));
	return 0;
}

static int l_wake(lua_State *lua)
{
	instance_resume(instance_arg(lua));
	return 0;
}

static int l_leave(lua_State *lua)
{
	instance_leave(instance_arg(lua));
	return 0;
}

static int l_is_running(lua_State *lua)
{
	lua_pushboolean(lua, instance_arg(lua)->running);
	return 1;
}

static void change_host(lua_State *lua, host_t *h)
{
	double cold_s;
	bool dead = h->dead;

	h->service_ms = table_number(lua, "service_ms", h->service_ms);
	h->cold_factor = table_number(lua, "cold_factor", h->cold_factor);
	cold_s = table_number(lua, "cold_s", 0);
	if (cold_s > 0)
		h->cold_until_ns = simulation_now(h->sim) +
				   (uint64_t)(cold_s * CAROB_NS_PER_S);
	table_bool(lua, 1, "mute", &h->mute);
	table_bool(lua, 1, "shedding", &h->shedding);
	table_bool(lua, 1, "frozen_report", &h->frozen_report);
	table_bool(lua, 1, "unhealthy", &h->reports_unhealthy);
	if (!table_bool(lua, 1, "dead", &dead) || dead == h->dead)
		return;
	if (dead)
		host_crash(h);
	else
		h->dead = false;
}

/* host(pattern, changes): changes all hosts whose name matches. */
static int l_host(lua_State *lua)
{
	simulation_t *sim = simulation_of(lua);
	const char *pattern = luaL_checkstring(lua, 1);
	regex_t regex;

	luaL_checktype(lua, 2, LUA_TTABLE);
	if (regcomp(&regex, pattern, REG_EXTENDED | REG_NOSUB) != 0)
		return luaL_error(lua, "invalid regular expression \"%s\"",
				  pattern);
	lua_remove(lua, 1);
	for (size_t i = 0; i < sim->host_count; i++)
		if (regexec(&regex, sim->hosts[i]->name, 0, NULL, 0) == 0)
			change_host(lua, sim->hosts[i]);
	regfree(&regex);
	return 0;
}

static int l_network(lua_State *lua)
{
	simulation_t *sim = simulation_of(lua);

	luaL_checktype(lua, 1, LUA_TTABLE);
	sim->faults.loss = table_number(lua, "loss", sim->faults.loss);
	sim->faults.duplicate =
		table_number(lua, "duplicate", sim->faults.duplicate);
	sim->faults.reorder = table_number(lua, "reorder", sim->faults.reorder);
	return 0;
}

/*
 * cut(zone, is_cut): cuts a zone off from all others and from the platform, or
 * reconnects it.
 */
static int l_cut(lua_State *lua)
{
	simulation_t *sim = simulation_of(lua);
	carob_zone_t name = {{0}};
	int zone;

	strncpy(name.name, luaL_checkstring(lua, 1), CAROB_ZONE_NAME_MAX);
	zone = simulation_zone_index(sim, &name);
	if (zone == NO_ZONE)
		return luaL_error(lua, "unknown zone \"%s\"", name.name);
	sim->platform_cut[zone] = lua_toboolean(lua, 2);
	for (size_t i = 0; i < sim->zone_count; i++) {
		if ((int)i == zone)
			continue;
		sim->zone_cut[i][zone] = lua_toboolean(lua, 2);
		sim->zone_cut[zone][i] = lua_toboolean(lua, 2);
	}
	return 0;
}

/* silence(instance, host): paths that are open now lose every packet. */
static int l_silence(lua_State *lua)
{
	instance_t *in = instance_arg(lua);
	host_t *h =
		host_find_by_name(simulation_of(lua), luaL_checkstring(lua, 2));

	if (!h)
		return luaL_error(lua, "unknown upstream host");
	in->silent_path_host = h->index + 1;
	in->silent_path_below = in->newest_path + 1;
	return 0;
}

static uint32_t service_arg(lua_State *lua, const char *name)
{
	const carob_manifest_service_t *services;
	size_t count;

	services =
		carob_manifest_services(simulation_of(lua)->manifest, &count);
	for (size_t i = 0; i < count; i++)
		if (carob_str_eq(services[i].name, carob_str_from(name)))
			return services[i].id;
	luaL_error(lua, "unknown service \"%s\"", name);
	return 0;
}

static int l_traffic(lua_State *lua)
{
	simulation_t *sim = simulation_of(lua);
	traffic_t t = {0};

	luaL_checktype(lua, 1, LUA_TTABLE);
	lua_getfield(lua, 1, "service");
	t.service_id = service_arg(lua, luaL_checkstring(lua, -1));
	t.flows_per_s = table_number(lua, "rate", 1);
	t.requests = (uint32_t)table_number(lua, "requests", 1);
	t.think_ms = table_number(lua, "think_ms", 100);
	t.post_share = table_number(lua, "post", 0);
	t.cancel_share = table_number(lua, "cancel", 0);
	t.cancel_ms = table_number(lua, "cancel_ms", 100);
	t.deadline_ms = (uint32_t)table_number(lua, "deadline_ms", 5000);
	t.feed_s = table_number(lua, "feed_s", 0);
	table_bool(lua, 1, "retry", &t.retry);
	table_bool(lua, 1, "tokens_reused", &t.tokens_reused);
	if (lua_getfield(lua, 1, "then_service") == LUA_TSTRING)
		t.then_service_id = service_arg(lua, lua_tostring(lua, -1));
	t.until_ns =
		simulation_now(sim) +
		(uint64_t)(table_number(lua, "seconds", 10) * CAROB_NS_PER_S);
	traffic_start(sim, &t);
	return 0;
}

static void set_number(lua_State *lua, const char *name, double value)
{
	lua_pushnumber(lua, value);
	lua_setfield(lua, -2, name);
}

static int l_begin_window(lua_State *lua)
{
	simulation_begin_window(simulation_of(lua));
	return 0;
}

static void push_use(lua_State *lua, const simulation_t *sim,
		     uint32_t service_id)
{
	double seconds = (double)(simulation_now(sim) - sim->window_start_ns) /
			 CAROB_NS_PER_S;

	lua_newtable(lua);
	for (size_t i = 0; i < sim->host_count; i++) {
		host_t *h = sim->hosts[i];

		if (h->service_id != service_id)
			continue;
		host_update_use(h);
		set_number(lua, h->name, h->use_integral / seconds);
	}
	lua_setfield(lua, -2, "use");
}

/* stats(service): statistics of the service since begin_window(). */
static int l_stats(lua_State *lua)
{
	simulation_t *sim = simulation_of(lua);
	uint32_t id = service_arg(lua, luaL_checkstring(lua, 1));
	const carob_manifest_service_t *service =
		carob_manifest_find_service(sim->manifest, id);
	const service_stats_t *s =
		&sim->stats[simulation_service_index(sim, id)];

	lua_newtable(lua);
	set_number(lua, "seconds",
		   (double)(simulation_now(sim) - sim->window_start_ns) /
			   CAROB_NS_PER_S);
	set_number(lua, "slots",
		   (double)service->slots * (double)service->upstream_count);
	set_number(lua, "imbalance", simulation_imbalance(sim, id));
	set_number(lua, "broken_sessions", (double)s->broken_sessions);
	set_number(lua, "shed", (double)s->shed);
	set_number(lua, "useful_s", s->useful_s);
	set_number(lua, "busy_s", s->busy_s);
	set_number(lua, "abandoned_s", s->abandoned_s);
	push_use(lua, sim, id);
	return 1;
}

/*
 * last_new(host): seconds from the last publication of a manifest to the last
 * new flow of the host; 0 if it got none since.
 */
static int l_last_new(lua_State *lua)
{
	const simulation_t *sim = simulation_of(lua);
	const host_t *h = host_find_by_name(sim, luaL_checkstring(lua, 1));
	double s = 0;

	if (!h)
		return luaL_error(lua, "unknown upstream host");
	if (h->last_session_ns > sim->published_ns)
		s = (double)(h->last_session_ns - sim->published_ns) /
		    CAROB_NS_PER_S;
	lua_pushnumber(lua, s);
	return 1;
}

/*
 * in_force(): the longest time in seconds that an instance took to apply a
 * generation, and the number of instances without the last generation.
 */
static int l_in_force(lua_State *lua)
{
	const simulation_t *sim = simulation_of(lua);
	lua_Integer behind = 0;

	for (size_t i = 0; i < sim->instance_count; i++)
		if (sim->instances[i]->running &&
		    sim->instances[i]->generation != sim->generation)
			behind++;
	lua_pushnumber(lua, (double)sim->slowest_apply_ns / CAROB_NS_PER_S);
	lua_pushinteger(lua, behind);
	return 2;
}

static void on_ledger_fault(carob_ledger_listener_t *listener,
			    carob_ledger_fault_t fault, uint64_t rid)
{
	script_t *s = CAROB_CONTAINER_OF(listener, script_t, listener);

	if (s->trace)
		fprintf(stderr, "%s: request %llu\n",
			carob_ledger_fault_key(fault), (unsigned long long)rid);
}

static void push_report(lua_State *lua, const carob_ledger_report_t *r)
{
	set_number(lua, "calls", (double)r->calls);
	set_number(lua, "feeds", (double)r->feeds);
	set_number(lua, "answered", (double)r->answered);
	set_number(lua, "cancelled", (double)r->cancelled);
	set_number(lua, "refused", (double)r->refused);
	set_number(lua, "unknown", (double)r->unknown);
	set_number(lua, "runs", (double)r->runs);
	set_number(lua, "busy_s", (double)r->busy_us / 1e6);
	set_number(lua, "wasted_s", (double)r->wasted_us / 1e6);
	for (int i = 0; i < CAROB_FAULT_COUNT; i++)
		set_number(lua, carob_ledger_fault_key((carob_ledger_fault_t)i),
			   (double)r->faults[i]);
}

/* close(): callers finish open requests and begin no new ones. */
static int l_close(lua_State *lua)
{
	simulation_of(lua)->closing = true;
	return 0;
}

/* verdict(): ends all traffic and returns what the ledger check found. */
static int l_verdict(lua_State *lua)
{
	script_t *s = script_of(lua);
	simulation_t *sim = simulation_of(lua);
	carob_ledger_bounds_t bounds = {
		.answer_us = ANSWER_BOUND_US,
		.gap_us = GAP_BOUND_US,
		.listener = &s->listener,
	};
	carob_ledger_report_t report;
	double broken = 0;
	double expired = 0;

	callers_free(sim);
	for (size_t i = 0; i < sim->host_count; i++)
		host_crash(sim->hosts[i]);
	for (size_t i = 0; i < SERVICES_MAX; i++) {
		broken += (double)sim->stats[i].broken_sessions;
		expired += (double)sim->stats[i].expired_runs;
	}
	s->listener.fault = on_ledger_fault;
	carob_ledger_check(&report, sim->ledger, &bounds);
	lua_newtable(lua);
	push_report(lua, &report);
	set_number(lua, "broken_sessions", broken);
	set_number(lua, "expired_runs", expired);
	set_number(lua, "reverts", (double)sim->reverts);
	return 1;
}

static int l_read_file(lua_State *lua)
{
	FILE *file = fopen(luaL_checkstring(lua, 1), "rb");
	luaL_Buffer buffer;
	size_t len;

	if (!file)
		return luaL_error(lua, "cannot read %s", lua_tostring(lua, 1));
	luaL_buffinit(lua, &buffer);
	do {
		char *chunk = luaL_prepbuffer(&buffer);

		len = fread(chunk, 1, LUAL_BUFFERSIZE, file);
		luaL_addsize(&buffer, len);
	} while (len > 0);
	fclose(file);
	luaL_pushresult(&buffer);
	return 1;
}

/* record(row): adds a row of strings and numbers to the measurement. */
static int l_record(lua_State *lua)
{
	script_t *s = script_of(lua);
	json_t *row = json_object();

	luaL_checktype(lua, 1, LUA_TTABLE);
	json_object_set_new(row, "seed", json_integer((json_int_t)s->seed));
	for (lua_pushnil(lua); lua_next(lua, 1); lua_pop(lua, 1)) {
		const char *key = lua_tostring(lua, -2);

		if (lua_type(lua, -1) == LUA_TNUMBER)
			json_object_set_new(row, key,
					    json_real(lua_tonumber(lua, -1)));
		else
			json_object_set_new(row, key,
					    json_string(lua_tostring(lua, -1)));
	}
	if (s->rows)
		json_array_append_new(s->rows, row);
	else
		json_decref(row);
	return 0;
}

static const luaL_Reg functions[] = {
	{"begin", l_begin},
	{"publish", l_publish},
	{"zone_names", l_zone_names},
	{"run", l_run},
	{"start", l_start},
	{"kill", l_kill},
	{"freeze", l_freeze},
	{"wake", l_wake},
	{"leave", l_leave},
	{"is_running", l_is_running},
	{"host", l_host},
	{"network", l_network},
	{"cut", l_cut},
	{"silence", l_silence},
	{"traffic", l_traffic},
	{"begin_window", l_begin_window},
	{"stats", l_stats},
	{"last_new", l_last_new},
	{"in_force", l_in_force},
	{"close", l_close},
	{"verdict", l_verdict},
	{"read_file", l_read_file},
	{"record", l_record},
};

static int run_file(lua_State *lua, const char *path)
{
	char prelude[PATH_MAX_BYTES];
	const char *slash = strrchr(path, '/');

	snprintf(prelude, sizeof(prelude), "%.*sprelude.lua",
		 slash ? (int)(slash - path + 1) : 0, path);
	if (luaL_dofile(lua, prelude) || luaL_dofile(lua, path)) {
		fprintf(stderr, "%s\n", lua_tostring(lua, -1));
		return 2;
	}
	return 0;
}

/* Returns whether this expectation failed, or any if `name` is NULL. */
static bool has_failed(lua_State *lua, const char *name)
{
	bool found = false;

	lua_getglobal(lua, "failures");
	lua_call(lua, 0, 1);
	for (lua_Integer i = 1; lua_rawgeti(lua, -1, i) != LUA_TNIL; i++) {
		if (!name || strcmp(lua_tostring(lua, -1), name) == 0)
			found = true;
		lua_pop(lua, 1);
	}
	lua_pop(lua, 2);
	return found;
}

static int script_status(lua_State *lua, const char *mutation,
			 const char *expected)
{
	if (!mutation)
		return has_failed(lua, NULL) ? 1 : 0;
	if (has_failed(lua, expected)) {
		printf("%s was caught as %s\n", mutation, expected);
		return 0;
	}
	printf("%s was not caught as %s\n", mutation, expected);
	return 1;
}

static lua_State *new_state(script_t *s, const char *mutation)
{
	lua_State *lua = luaL_newstate();

	if (!lua)
		return NULL;
	*(script_t **)lua_getextraspace(lua) = s;
	luaL_openlibs(lua);
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(functions); i++)
		lua_register(lua, functions[i].name, functions[i].func);
	if (mutation) {
		lua_pushstring(lua, mutation);
		lua_setglobal(lua, "wrong");
	}
	return lua;
}

static void end_state(script_t *s, lua_State *lua)
{
	if (s->sim)
		simulation_free(s->sim);
	s->sim = NULL;
	lua_close(lua);
}

int script_run(const char *path, uint64_t seed, const char *mutation,
	       const char *expected, bool trace)
{
	script_t s = {.seed = seed, .trace = trace};
	lua_State *lua = new_state(&s, mutation);
	int status;

	if (!lua)
		return 2;
	status = run_file(lua, path);
	if (status == 0)
		status = script_status(lua, mutation, expected);
	end_state(&s, lua);
	return status;
}

static int measure_seed(script_t *s, const char *path)
{
	lua_State *lua = new_state(s, NULL);
	int status;

	if (!lua)
		return 2;
	status = run_file(lua, path);
	end_state(s, lua);
	return status;
}

int script_measure(const char *path, uint64_t first, uint64_t last,
		   const char *output)
{
	script_t s = {.rows = json_array()};
	json_t *result;
	int status = 0;

	for (uint64_t seed = first; status == 0 && seed <= last; seed++) {
		s.seed = seed;
		status = measure_seed(&s, path);
	}
	result = json_pack("{s:s, s:I, s:I, s:o}", "script", path, "first_seed",
			   (json_int_t)first, "last_seed", (json_int_t)last,
			   "rows", s.rows);
	if (status == 0 &&
	    json_dump_file(result, output,
			   JSON_INDENT(1) | JSON_SORT_KEYS |
				   JSON_REAL_PRECISION(6)) != 0) {
		fprintf(stderr, "cannot write %s\n", output);
		status = 2;
	}
	json_decref(result);
	return status;
}
