#include "operations.h"

#include "carobtrail/errors.h"
#include "host.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define HOST_PORT	 8080
#define HOST_ADDRESSES	 150 /* number of addresses, from the base address on */
#define ADDRESS_REUSE_MS 2000 /* pause before an address is used again */
/* Time from a host's crash until its entry is removed from the store, as if the
 * entry expired after three missing heartbeats of the host. */
#define ENTRY_EXPIRY_MS	 3600
#define DRAIN_EXTRA_MS	 2500 /* random extra time that a host drains */
#define CUT_MS		 3000 /* duration of the partition of a zone */
#define LOSS_MS		 2000 /* duration of a period of packet loss */
#define LOSS_PER_MILLE	 30
#define COLD_MS		 3000 /* slow start of the hosts of an evacuated zone */
#define ROUTE_IP	 0xc6120001
#define ROUTE_PORT_FIRST 443
#define INITIAL_ROUTES	 3

/* A delayed action, for one host or for all. */
typedef struct delayed {
	carob_timer_t timer;
	operations_t *operations;
	void (*run)(operations_t *operations, uint64_t number);
	uint64_t number;
	struct delayed *prev;
	struct delayed *next;
} delayed_t;

struct operations {
	carob_udp_handler_t handler; /* for responses of the store */
	testbed_t *testbed;
	operations_options_t options;
	carob_udp_t *udp;
	carob_timer_t next_event;
	bool events_stopped;
	uint64_t config_version;
	uint64_t next_number;
	uint64_t reports; /* entries of hosts written so far */
	uint16_t next_port;
	uint64_t address_free_ns[HOST_ADDRESSES];
	delayed_t *delayed_actions;
};

static const char *const service_names[TESTBED_SERVICES] = {"desk", "yard"};

/* Ignores the store's responses to commands. */
static void on_response(carob_udp_handler_t *handler, const carob_addr_t *from,
			carob_str_t data)
{
	(void)handler;
	(void)from;
	(void)data;
}

static void send_store_command(operations_t *self, json_t *command)
{
	char *text = json_dumps(command, JSON_COMPACT);

	if (text)
		carob_udp_send(self->udp, &self->testbed->store, text,
			       strlen(text));
	free(text);
	json_decref(command);
}

static void store_put(operations_t *self, const char *key, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	send_store_command(self,
			   json_pack("{s:s,s:s,s:s}", "command", "put", "key",
				     key, "value", text ? text : ""));
	free(text);
	json_decref(value);
}

static void store_remove(operations_t *self, const char *key)
{
	send_store_command(self, json_pack("{s:s,s:s}", "command", "remove",
					   "key", key));
}

static void format_key(char out[64], uint64_t number)
{
	(void)snprintf(out, 64, "servers/i-%010" PRIx64, number);
}

static void store_remove_host(operations_t *self, uint64_t number)
{
	char key[64];

	format_key(key, number);
	store_remove(self, key);
}

static void store_put_host(operations_t *self, const host_t *host)
{
	const host_options_t *options = host_options(host);
	char addr[CAROB_ADDR_TEXT_MAX];
	char key[64];

	format_key(key, options->number);
	carob_addr_format(addr, &options->addr);
	store_put(self, key,
		  json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}", "service",
			    service_names[options->service], "address", addr,
			    "zone", self->testbed->zones[options->zone],
			    "version", "v1", "slots", (int)options->slots,
			    "state",
			    host_state(host) == HOST_DRAINING ? "draining"
							      : "ready",
			    "cold_ms", (int)host_cold_ms(host), "seq",
			    (int)++self->reports, "born",
			    (json_int_t)(host_started_ns(host) /
					 CAROB_NS_PER_MS)));
}

static json_t *route_json(const testbed_route_t *route, size_t index)
{
	char name[16];
	char prefix[16];

	(void)snprintf(name, sizeof(name), "r-%zu", index);
	(void)snprintf(prefix, sizeof(prefix), "/%u/", route->endpoint.port);
	return json_pack("{s:s,s:s,s:s,s:s,s:s}", "name", name, "hostname",
			 "198.18.0.1", "prefix", prefix, "route_type",
			 route->idempotent ? "safe" : "unsafe", "service",
			 service_names[route->service]);
}

/* Writes the configuration with the present version. */
static void put_config(operations_t *self)
{
	json_t *routes = json_array();

	for (size_t i = 0; i < self->testbed->route_count; i++)
		if (self->testbed->routes[i].listed)
			json_array_append_new(
				routes,
				route_json(&self->testbed->routes[i], i));
	store_put(self, "op/config",
		  json_pack("{s:I,s:o,s:{s:i}}", "version",
			    (json_int_t)self->config_version, "routes", routes,
			    "limits", "idle_timeout_ms", 15000));
}

static void publish_config(operations_t *self)
{
	self->config_version += 1 + carob_rng_below(&self->testbed->rng, 3);
	put_config(self);
}

static void add_route(operations_t *self, size_t service, bool idempotent)
{
	testbed_t *testbed = self->testbed;

	if (testbed->route_count == TESTBED_ROUTES_MAX)
		return;
	testbed->routes[testbed->route_count++] = (testbed_route_t){
		.endpoint = {ROUTE_IP, self->next_port++},
		.service = service,
		.idempotent = idempotent,
		.listed = true,
		.changed_ns = testbed_now_ns(testbed),
	};
}

static int reserve_address(operations_t *self)
{
	uint64_t now = testbed_now_ns(self->testbed);
	size_t first = carob_rng_below(&self->testbed->rng, HOST_ADDRESSES);

	for (size_t i = 0; i < HOST_ADDRESSES; i++) {
		size_t index = (first + i) % HOST_ADDRESSES;

		if (now >= self->address_free_ns[index]) {
			self->address_free_ns[index] = UINT64_MAX;
			return (int)index;
		}
	}
	return -1;
}

static void release_address(operations_t *self, const host_t *host)
{
	const carob_addr_t *addr = &host_options(host)->addr;
	size_t index = addr->ip[3] - self->testbed->base.ip[3];

	if (index < HOST_ADDRESSES)
		self->address_free_ns[index] =
			testbed_now_ns(self->testbed) +
			ADDRESS_REUSE_MS * CAROB_NS_PER_MS;
}

static int start_host(operations_t *self, size_t zone, size_t service)
{
	testbed_t *testbed = self->testbed;
	int index = reserve_address(self);
	host_options_t options = {
		.number = self->next_number++ << 12 |
			  carob_rng_below(&testbed->rng, 4096),
		.zone = zone,
		.service = service,
		.slots = 3,
		.queue = 8,
		.mean_run_ms = service == 0 ? 30 : 5,
	};
	int error;

	if (index < 0 || testbed->host_count == CHECKER_HOSTS_MAX)
		return carob_error_set(CAROB_ELIMIT,
				       "no address or table entry is free for "
				       "another host");
	options.addr = testbed_addr(testbed, (uint32_t)index, HOST_PORT);
	error = host_new(&testbed->hosts[testbed->host_count], testbed,
			 &options);
	if (!error)
		store_put_host(self, testbed->hosts[testbed->host_count++]);
	return error;
}

static void on_delayed(carob_timer_t *timer)
{
	delayed_t *delayed = CAROB_CONTAINER_OF(timer, delayed_t, timer);
	operations_t *self = delayed->operations;

	DL_DELETE(self->delayed_actions, delayed);
	delayed->run(self, delayed->number);
	free(delayed);
}

static void run_delayed(operations_t *self, uint32_t ms, uint64_t number,
			void (*run)(operations_t *, uint64_t))
{
	delayed_t *delayed = calloc(1, sizeof(*delayed));

	if (!delayed)
		return;
	delayed->timer.fire = on_delayed;
	delayed->operations = self;
	delayed->run = run;
	delayed->number = number;
	DL_APPEND(self->delayed_actions, delayed);
	(void)carob_timer_arm(self->testbed->program.kernel, &delayed->timer,
			      testbed_now_ns(self->testbed) +
				      ms * CAROB_NS_PER_MS);
}

static size_t find_host(const testbed_t *testbed, uint64_t number)
{
	for (size_t i = 0; i < testbed->host_count; i++)
		if (testbed->hosts[i] &&
		    host_options(testbed->hosts[i])->number == number)
			return i;
	return testbed->host_count;
}

static void remove_host(operations_t *self, uint64_t number)
{
	testbed_t *testbed = self->testbed;
	size_t index = find_host(testbed, number);

	if (index == testbed->host_count)
		return;
	store_remove_host(self, number);
	release_address(self, testbed->hosts[index]);
	host_free(testbed->hosts[index]);
	testbed->hosts[index] = NULL;
}

static void rewrite_host(operations_t *self, uint64_t number)
{
	size_t index = find_host(self->testbed, number);

	if (index < self->testbed->host_count &&
	    host_state(self->testbed->hosts[index]) != HOST_CRASHED)
		store_put_host(self, self->testbed->hosts[index]);
}

static void rewrite_config(operations_t *self, uint64_t number)
{
	(void)number;
	put_config(self);
}

/* Writes the key that evacuates a zone, or removes it. */
static void store_evacuation(operations_t *self, size_t zone)
{
	char key[64];

	(void)snprintf(key, sizeof(key), "op/evacuate/%s",
		       self->testbed->zones[zone]);
	if (zone == self->testbed->evacuated_zone)
		store_put(self, key, json_object());
	else
		store_remove(self, key);
}

/* The copy that the store came back from may have a key of an evacuation that
 * has ended, or lack the key of the present one. */
static void rewrite_evacuations(operations_t *self, uint64_t number)
{
	(void)number;
	for (size_t zone = 0; zone < self->testbed->zone_count; zone++)
		store_evacuation(self, zone);
}

/* Ends the evacuation. The hosts of the zone had no new load and are cold. */
static void restore_zone(operations_t *self, uint64_t number)
{
	testbed_t *testbed = self->testbed;
	size_t zone = testbed->evacuated_zone;

	(void)number;
	for (size_t i = 0; i < testbed->host_count; i++) {
		host_t *host = testbed->hosts[i];

		if (!host || host_options(host)->zone != zone ||
		    host_state(host) != HOST_READY)
			continue;
		host_set_cold(host, COLD_MS);
		store_put_host(self, host);
	}
	testbed->evacuated_zone = testbed->zone_count;
	store_evacuation(self, zone);
}

void operations_evacuate_zone(operations_t *self, uint32_t ms)
{
	testbed_t *testbed = self->testbed;

	if (testbed->evacuated_zone < testbed->zone_count ||
	    testbed->zone_count < 2)
		return;
	testbed->evacuated_zone =
		carob_rng_below(&testbed->rng, (uint32_t)testbed->zone_count);
	testbed->evacuated_ns = testbed_now_ns(testbed);
	store_evacuation(self, testbed->evacuated_zone);
	run_delayed(self, ms, 0, restore_zone);
}

void operations_rewrite(operations_t *self, uint32_t within_ms)
{
	const testbed_t *testbed = self->testbed;
	carob_rng_t *rng = &self->testbed->rng;

	run_delayed(self, carob_rng_below(rng, within_ms + 1), 0,
		    rewrite_config);
	run_delayed(self, carob_rng_below(rng, within_ms + 1), 0,
		    rewrite_evacuations);
	for (size_t i = 0; i < testbed->host_count; i++)
		if (testbed->hosts[i])
			run_delayed(self, carob_rng_below(rng, within_ms + 1),
				    host_options(testbed->hosts[i])->number,
				    rewrite_host);
}

/* Returns a random ready host, or NULL. */
static host_t *choose_host(operations_t *self)
{
	testbed_t *testbed = self->testbed;
	host_t *chosen = NULL;
	uint32_t ready_count = 0;

	for (size_t i = 0; i < testbed->host_count; i++)
		if (testbed->hosts[i] &&
		    host_state(testbed->hosts[i]) == HOST_READY &&
		    carob_rng_below(&testbed->rng, ++ready_count) == 0)
			chosen = testbed->hosts[i];
	return chosen;
}

/* Starts a new host and drains an old one of the same zone and service. */
static void replace_host(operations_t *self)
{
	host_t *host = choose_host(self);

	if (!host || start_host(self, host_options(host)->zone,
				host_options(host)->service) != 0)
		return;
	host_set_state(host, HOST_DRAINING);
	store_put_host(self, host);
	run_delayed(self,
		    TESTBED_DRAIN_MS + 500 +
			    carob_rng_below(&self->testbed->rng,
					    DRAIN_EXTRA_MS),
		    host_options(host)->number, remove_host);
}

/* Starts a new host and crashes an old one of the same zone and service. */
static void crash_host(operations_t *self)
{
	host_t *host = choose_host(self);

	if (!host || start_host(self, host_options(host)->zone,
				host_options(host)->service) != 0)
		return;
	checker_record_store_fault(&self->testbed->checker, 0);
	host_record_fault(host, ENTRY_EXPIRY_MS);
	host_set_state(host, HOST_CRASHED);
	run_delayed(self, ENTRY_EXPIRY_MS, host_options(host)->number,
		    remove_host);
}

/* Restarts a host under the same id and address, without its flows. */
static void restart_host(operations_t *self)
{
	host_t *host = choose_host(self);
	host_options_t options;
	size_t index;

	if (!host)
		return;
	options = *host_options(host);
	index = find_host(self->testbed, options.number);
	host_free(host);
	self->testbed->hosts[index] = NULL;
	if (host_new(&self->testbed->hosts[index], self->testbed, &options) !=
	    0)
		return;
	host_record_fault(self->testbed->hosts[index], 0);
	store_put_host(self, self->testbed->hosts[index]);
}

/* Adds a route of the same kind as a random existing one. Also toggles whether
 * the existing route is listed, unless it is one of the initial routes, which
 * always stay listed. */
static void change_routes(operations_t *self)
{
	testbed_t *testbed = self->testbed;
	testbed_route_t *route = &testbed->routes[carob_rng_below(
		&testbed->rng, (uint32_t)testbed->route_count)];

	add_route(self, route->service, route->idempotent);
	if (route >= &testbed->routes[INITIAL_ROUTES]) {
		route->listed = !route->listed;
		route->changed_ns = testbed_now_ns(testbed);
	}
	publish_config(self);
}

/* Writes an entry of a host that instances must ignore. */
static void put_malformed_entry(operations_t *self)
{
	static const char *const values[] = {
		"{}",
		"{\"service\":7}",
		"not json",
		"{\"service\":\"desk\",\"address\":\"127.0.0.1\",\"zone\":"
		"\"hou-a\",\"state\":\"asleep\",\"slots\":2}",
	};
	uint32_t i =
		carob_rng_below(&self->testbed->rng, CAROB_ARRAY_SIZE(values));

	send_store_command(self,
			   json_pack("{s:s,s:s,s:s}", "command", "put", "key",
				     "servers/i-0", "value", values[i]));
}

static void record_fault_everywhere(operations_t *self, uint32_t ms)
{
	testbed_t *testbed = self->testbed;

	for (size_t i = 0; i < testbed->instance_count; i++)
		checker_record_instance_fault(&testbed->checker, i, ms);
	for (size_t i = 0; i < testbed->host_count; i++)
		if (testbed->hosts[i])
			host_record_fault(testbed->hosts[i], ms);
}

static void heal_cut(operations_t *self, uint64_t number)
{
	(void)number;
	self->testbed->cut_zone = self->testbed->zone_count;
}

static void cut_zone(operations_t *self)
{
	testbed_t *testbed = self->testbed;

	record_fault_everywhere(self, CUT_MS);
	testbed->cut_zone =
		carob_rng_below(&testbed->rng, (uint32_t)testbed->zone_count);
	run_delayed(self, CUT_MS, 0, heal_cut);
}

static void end_loss(operations_t *self, uint64_t number)
{
	(void)number;
	self->testbed->loss_per_mille = 0;
}

static void lose_packets(operations_t *self)
{
	record_fault_everywhere(self, LOSS_MS);
	self->testbed->loss_per_mille = LOSS_PER_MILLE;
	run_delayed(self, LOSS_MS, 0, end_loss);
}

static const struct {
	void (*run)(operations_t *self);
	bool planned;
} events[] = {
	{replace_host, true},  {replace_host, true},
	{change_routes, true}, {put_malformed_entry, true},
	{crash_host, false},   {restart_host, false},
	{cut_zone, false},     {lose_packets, false},
};

static void on_event(carob_timer_t *timer)
{
	operations_t *self =
		CAROB_CONTAINER_OF(timer, operations_t, next_event);
	uint32_t index =
		carob_rng_below(&self->testbed->rng, CAROB_ARRAY_SIZE(events));

	if (self->events_stopped)
		return;
	if (events[index].planned || self->options.faults)
		events[index].run(self);
	operations_schedule_event(self);
}

void operations_schedule_event(operations_t *self)
{
	uint32_t gap_ms = self->options.gap_ms;

	if (gap_ms == 0)
		return;
	(void)carob_timer_arm(
		self->testbed->program.kernel, &self->next_event,
		testbed_now_ns(self->testbed) +
			(gap_ms / 2 +
			 carob_rng_below(&self->testbed->rng, gap_ms)) *
				CAROB_NS_PER_MS);
}

void operations_stop_events(operations_t *self)
{
	self->events_stopped = true;
}

static int start_hosts(operations_t *self)
{
	int error = 0;

	for (size_t zone = 0; !error && zone < self->testbed->zone_count;
	     zone++) {
		for (uint32_t i = 0; !error && i < self->options.hosts_a_zone;
		     i++)
			error = start_host(self, zone, 0);
		if (!error)
			error = start_host(self, zone, 1);
	}
	return error;
}

int operations_new(operations_t **out, testbed_t *testbed,
		   const operations_options_t *options)
{
	operations_t *self = calloc(1, sizeof(*self));
	carob_addr_t local = testbed_addr(testbed, HOST_ADDRESSES, 0);
	int error;

	if (!self)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate operations");
	self->handler.receive = on_response;
	self->testbed = testbed;
	self->options = *options;
	self->next_event.fire = on_event;
	self->next_number = 1;
	self->next_port = ROUTE_PORT_FIRST;
	error = carob_udp_open(&self->udp, testbed->program.hub, &local,
			       &self->handler);
	if (error) {
		free(self);
		return error;
	}
	*out = self;
	add_route(self, 0, true);
	add_route(self, 0, false);
	add_route(self, 1, true);
	publish_config(self);
	return start_hosts(self);
}

void operations_free(operations_t *self)
{
	delayed_t *delayed;
	delayed_t *next;

	if (!self)
		return;
	carob_timer_cancel(self->testbed->program.kernel, &self->next_event);
	DL_FOREACH_SAFE (self->delayed_actions, delayed, next) {
		carob_timer_cancel(self->testbed->program.kernel,
				   &delayed->timer);
		free(delayed);
	}
	carob_udp_close(self->udp);
	free(self);
}
